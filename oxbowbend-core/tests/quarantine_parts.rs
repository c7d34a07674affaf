//! Quarantine of a part that crashes endpoints under different requests, without blocking the parts
//! beside it.

use std::time::{Duration, Instant};

use oxbowbend_core::cell::ReportDetail;
use oxbowbend_core::ids::EndpointKey;
use oxbowbend_core::quarantine::{
    CrashRecord, InterruptedAttempt, Quarantine, QuarantineUpdate, SendPermission,
    CRASH_SETTLING_TIME,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Parts that crash endpoints, and some that do not.
const CRASHING: u64 = 70;
const ALSO_CRASHING: u64 = 71;
const FIRST: u64 = 10;
const TEMPLATES: [u64; 2] = [20, 21];
/// Time between two crashes of a series.
const APART: Duration = Duration::from_millis(200);

fn new_quarantine(name: &str) -> Quarantine {
    Quarantine::new(&name.into())
}

/// Crashes an endpoint under requests with these parts.
fn crash(q: &mut Quarantine, now: Instant, key: EndpointKey, in_flight: &[(u64, &[u64])]) {
    for (fingerprint, parts) in in_flight {
        let attempt = InterruptedAttempt { fingerprint: *fingerprint, awaiting_response: true };
        q.attempt_interrupted(now, &"e".into(), key, attempt, parts);
    }
    q.endpoint_crashed(now, key);
    q.evaluate(now + CRASH_SETTLING_TIME);
}

fn is_blocked(q: &Quarantine, now: Instant, part: u64) -> bool {
    q.blocked_for(now, 9999, &[part]).is_some()
}

/// Returns the blocked parts; fingerprints of requests are greater.
fn blocked(q: &Quarantine, now: Instant) -> Vec<u64> {
    (1..100).filter(|part| is_blocked(q, now, *part)).collect()
}

#[test]
fn quarantines_only_a_part_that_explains_enough_crashes() {
    struct Case {
        name: &'static str,
        /// Parts that were answered ten seconds before.
        answered: &'static [u64],
        /// Requests in flight at each crash, with their parts.
        crashes: &'static [&'static [(u64, &'static [u64])]],
        blocked: &'static [u64],
    }
    let cases = [
        Case {
            name: "two crashes",
            answered: &[10],
            crashes: &[&[(1, &[10, 70])], &[(2, &[10, 70])]],
            blocked: &[],
        },
        Case {
            name: "three requests",
            answered: &[10],
            crashes: &[&[(1, &[10, 70])], &[(2, &[10, 70])], &[(3, &[70, 10])]],
            blocked: &[70],
        },
        Case {
            name: "one request is its own explanation",
            answered: &[10],
            crashes: &[&[(1, &[70])], &[(1, &[70])], &[(1, &[70])], &[(1, &[70])], &[(1, &[70])]],
            blocked: &[],
        },
        Case {
            name: "two requests, one of them in quarantine before",
            answered: &[10],
            crashes: &[
                &[(1, &[10, 70])],
                &[(1, &[10, 70])],
                &[(1, &[10, 70])],
                &[(2, &[10, 70])],
                &[(2, &[10, 70])],
            ],
            blocked: &[70],
        },
        Case {
            name: "bystanders with other parts",
            answered: &[10, 20, 21],
            crashes: &[
                &[(1, &[10, 70]), (4, &[10, 20])],
                &[(2, &[10, 70]), (5, &[10, 21])],
                &[(3, &[10, 70]), (6, &[10, 22])],
            ],
            blocked: &[70],
        },
        Case {
            name: "a template beside it that was answered",
            answered: &[10, 20],
            crashes: &[&[(1, &[10, 20, 70])], &[(2, &[10, 20, 70])], &[(3, &[10, 20, 70])]],
            blocked: &[70],
        },
        Case {
            name: "a part beside it each time that nobody answered, until five crashes",
            answered: &[10],
            crashes: &[&[(1, &[60, 70])], &[(2, &[60, 70])], &[(3, &[60, 70])], &[(4, &[60, 70])]],
            blocked: &[],
        },
        Case {
            name: "the same at five crashes: either may be the cause, and nobody misses them",
            answered: &[10],
            crashes: &[
                &[(1, &[60, 70])],
                &[(2, &[60, 70])],
                &[(3, &[60, 70])],
                &[(4, &[60, 70])],
                &[(5, &[60, 70])],
            ],
            blocked: &[60, 70],
        },
        Case {
            name: "the same, once it is not there",
            answered: &[10],
            crashes: &[&[(1, &[60, 70])], &[(2, &[60, 70])], &[(3, &[60, 70])], &[(4, &[70])]],
            blocked: &[70],
        },
        Case {
            name: "two parts",
            answered: &[10],
            crashes: &[
                &[(1, &[10, 70])],
                &[(2, &[10, 71])],
                &[(3, &[10, 70])],
                &[(4, &[10, 71])],
                &[(5, &[10, 70])],
                &[(6, &[10, 71])],
            ],
            blocked: &[70, 71],
        },
        Case {
            name: "a part that was answered before turns bad",
            answered: &[70],
            crashes: &[&[(1, &[70])], &[(2, &[70])], &[(3, &[70])], &[(4, &[70])], &[(5, &[70])]],
            blocked: &[70],
        },
        Case {
            name: "the same beside another one that was answered before",
            answered: &[10, 70],
            crashes: &[
                &[(1, &[10, 70])],
                &[(2, &[10, 70])],
                &[(3, &[10, 70])],
                &[(4, &[10, 70])],
                &[(5, &[10, 70])],
            ],
            blocked: &[],
        },
    ];
    for Case { name, answered, crashes, blocked: expected } in cases {
        let (mut q, start) = (new_quarantine("a"), Instant::now());
        q.parts_succeeded(start, answered);
        let mut now = start + Duration::from_secs(10);
        for (key, in_flight) in crashes.iter().enumerate() {
            let in_flight: Vec<_> = in_flight.iter().map(|(f, parts)| (f + 100, *parts)).collect();
            crash(&mut q, now, key as u32, &in_flight);
            now += APART;
        }
        assert_eq!(blocked(&q, now), expected, "{name}");
    }
}

/// A part that is not convicted, such as one that a caller invents for a request that crashes
/// endpoints, must not keep another one from it.
#[test]
fn an_invented_part_does_not_protect_another_one() {
    const INVENTED: u64 = 90;
    let (mut q, start) = (new_quarantine("a"), Instant::now());
    q.parts_succeeded(start, &[CRASHING]);
    let mut now = start + Duration::from_secs(10);
    for key in 0..6 {
        crash(&mut q, now, key, &[(100, &[INVENTED])]);
        now += APART;
    }
    for key in 10..15 {
        crash(&mut q, now, key, &[(u64::from(key) + 100, &[CRASHING])]);
        now += APART;
    }
    assert_eq!(blocked(&q, now), [CRASHING]);
}

/// A part may crash endpoints that answered it a moment before, with other software or weights.
#[test]
fn a_part_that_turns_bad_is_known_within_the_bound() {
    let (mut q, start) = (new_quarantine("a"), Instant::now());
    q.parts_succeeded(start, &[FIRST, CRASHING]);
    let (mut now, mut crashes) = (start, Vec::new());
    while !is_blocked(&q, now, CRASHING) {
        now += APART;
        crash(&mut q, now, crashes.len() as u32, &[(crashes.len() as u64 + 100, &[CRASHING])]);
        crashes.push(now);
        assert!(crashes.len() < 30, "never known");
    }
    let since_fifth = now.saturating_duration_since(crashes[4]);
    assert!(since_fifth < Duration::from_secs(2), "{since_fifth:?}");
}

/// A failure of several endpoints at once has a cause of its own.
#[test]
fn endpoints_that_crash_at_the_same_time_convict_no_part() {
    let (mut q, now) = (new_quarantine("a"), Instant::now());
    for key in 0..12 {
        crash(&mut q, now, key, &[(u64::from(key) + 100, &[FIRST])]);
    }
    assert!(blocked(&q, now).is_empty());
}

/// Endpoints that lose power together break connections only when they are back, one after the other and long after the last
/// answer to any part.
#[test]
fn a_part_that_was_answered_until_the_endpoints_fell_silent_is_sound() {
    struct Case {
        name: &'static str,
        /// Milliseconds from the answer to the endpoints' last sign of life.
        silent_from_ms: u64,
        blocked: &'static [u64],
    }
    let cases = [
        Case { name: "answered until then", silent_from_ms: 100, blocked: &[] },
        Case { name: "not answered for some time", silent_from_ms: 1500, blocked: &[CRASHING] },
    ];
    for Case { name, silent_from_ms, blocked: expected } in cases {
        let (mut a, mut b, start) = (new_quarantine("a"), new_quarantine("b"), Instant::now());
        a.parts_succeeded(start, &[CRASHING]);
        for key in 0..6 {
            a.endpoint_alive(start + Duration::from_millis(silent_from_ms), key);
        }
        let mut now = start + Duration::from_secs(4);
        for key in 0..6 {
            crash(&mut a, now, key, &[(u64::from(key) + 100, &[CRASHING])]);
            b.apply_update(now, &a.make_update(now, ReportDetail::Changes, false));
            now += APART;
            b.evaluate(now);
        }
        assert_eq!(blocked(&a, now), expected, "{name}");
        assert_eq!(blocked(&b, now), expected, "{name}, at another instance");
    }
}

#[test]
fn a_part_that_is_answered_meanwhile_is_sound() {
    let (mut q, mut now) = (new_quarantine("a"), Instant::now());
    for key in 0..20 {
        crash(&mut q, now, key, &[(u64::from(key) + 100, &[FIRST, CRASHING])]);
        now += APART;
        q.parts_succeeded(now, &[FIRST]);
    }
    assert_eq!(blocked(&q, now), [CRASHING]);
}

/// An instance that has seen no answer must not convict what others know to be sound.
#[test]
fn answers_that_others_have_seen_clear_a_part() {
    let (mut a, mut b, mut now) = (new_quarantine("a"), new_quarantine("b"), Instant::now());
    b.parts_succeeded(now, &[FIRST]);
    now += Duration::from_secs(10);
    for key in 0..3 {
        crash(&mut a, now, key, &[(u64::from(key) + 100, &[FIRST])]);
        let update = a.make_update(now, ReportDetail::Changes, false);
        b.apply_update(now, &update);
        let update = b.make_update(now, ReportDetail::Changes, false);
        a.apply_update(now, &update);
        now += APART;
    }
    b.evaluate(now);
    assert_eq!((blocked(&a, now), blocked(&b, now)), (vec![], vec![]));
}

#[test]
fn an_answer_releases_a_part_on_all_instances() {
    let (mut a, mut b, mut now) = (new_quarantine("a"), new_quarantine("b"), Instant::now());
    for key in 0..3 {
        crash(&mut a, now, key, &[(u64::from(key) + 100, &[FIRST])]);
        now += APART;
    }
    b.apply_update(now, &a.make_update(now, ReportDetail::Full, true));
    assert_eq!((blocked(&a, now), blocked(&b, now)), (vec![FIRST], vec![FIRST]));
    // Requests that were in flight before show that it is sound.
    b.parts_succeeded(now, &[FIRST]);
    a.apply_update(now, &b.make_update(now, ReportDetail::Changes, false));
    assert_eq!((blocked(&a, now), blocked(&b, now)), (vec![], vec![]));
}

#[test]
fn one_request_tries_a_part_after_its_quarantine() {
    let (mut q, mut now) = (new_quarantine("a"), Instant::now());
    for key in 0..3 {
        crash(&mut q, now, key, &[(u64::from(key) + 100, &[FIRST, CRASHING])]);
        now += APART;
        q.parts_succeeded(now, &[FIRST]);
    }
    assert!(matches!(q.check_send(now, 1, &[FIRST, CRASHING]), SendPermission::Blocked(_)));
    assert_eq!(q.check_send(now, 1, &[FIRST]), SendPermission::Allowed);
    now += Duration::from_secs(71);
    assert_eq!(q.check_send(now, 2, &[FIRST, CRASHING]), SendPermission::Trial);
    assert!(matches!(q.check_send(now, 3, &[CRASHING]), SendPermission::Blocked(_)));
    q.parts_succeeded(now, &[FIRST, CRASHING]);
    assert_eq!(q.check_send(now, 4, &[CRASHING]), SendPermission::Allowed);
}

/// A caller that names many parts must neither hide the one that crashes endpoints nor push out what
/// is known.
#[test]
fn requests_with_many_parts_hide_nothing() {
    let (mut q, mut now) = (new_quarantine("a"), Instant::now());
    let sound: Vec<u64> = (1000..1100).collect();
    q.parts_succeeded(now, &sound);
    now += Duration::from_secs(10);
    for key in 0..4 {
        let parts: Vec<u64> = sound.iter().copied().chain([CRASHING]).collect();
        let invented: Vec<u64> = (0..100).map(|n| 10_000 + u64::from(key) * 100 + n).collect();
        let request = u64::from(key) + 100;
        crash(&mut q, now, key, &[(request, &parts), (request + 50, &invented)]);
        now += APART;
    }
    assert!(is_blocked(&q, now, CRASHING));
    assert!(sound.iter().all(|part| !is_blocked(&q, now, *part)));
    let update = q.make_update(now, ReportDetail::Full, false);
    let bytes = serde_json::to_vec(&update).expect("serializable").len();
    assert!(bytes < 16_000, "{bytes} bytes");
}

/// Programs of an earlier version report no parts and ignore those of others.
#[test]
fn records_without_parts_are_read() {
    let old = r#"{"e":[{"k":1,"a":5,"r":[[7,true]]}]}"#;
    let update: QuarantineUpdate = serde_json::from_str(old).expect("readable");
    assert_eq!(update.crashes[0].parts, []);
    let (mut q, now) = (new_quarantine("a"), Instant::now());
    crash(&mut q, now, 1, &[(7, &[])]);
    let update = q.make_update(now, ReportDetail::Changes, false);
    assert!(!serde_json::to_string(&update).expect("serializable").contains("\"p\""));
}

/// Instances whose reports are late or lost, with sound requests beside those that crash endpoints.
#[test]
fn random_histories_end_with_the_crashing_part_alone() {
    const INSTANCES: usize = 4;
    for seed in 0..1_500 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut qs: Vec<_> = (0..INSTANCES).map(|n| new_quarantine(&format!("i-{n}"))).collect();
        let bad = if rng.random_bool(0.5) { vec![CRASHING] } else { vec![CRASHING, ALSO_CRASHING] };
        let mut reports: Vec<(Instant, usize, QuarantineUpdate)> = Vec::new();
        let (mut key, mut sends_after_known) = (0, 0);
        let mut crashes: Vec<Vec<CrashRecord>> = vec![Vec::new(); bad.len()];
        // Sound traffic before.
        for q in &mut qs {
            q.parts_succeeded(now, &[FIRST, TEMPLATES[0], TEMPLATES[1]]);
        }
        for step in 0..160 {
            now += Duration::from_millis(rng.random_range(40..120));
            let at = rng.random_range(0..INSTANCES);
            let template = *TEMPLATES.choose(&mut rng).expect("some");
            if rng.random_bool(0.4) {
                let which = rng.random_range(0..bad.len());
                let parts = [FIRST, template, bad[which]];
                let request = 1_000 + step;
                if !matches!(qs[at].check_send(now, request, &parts), SendPermission::Blocked(_)) {
                    let known = crashes[which].get(4).is_some_and(|fifth| fifth.age_ms > 3_000);
                    sends_after_known += u32::from(known);
                    key += 1;
                    let bystander = [FIRST, TEMPLATES[rng.random_range(0..TEMPLATES.len())]];
                    let mut in_flight: Vec<(u64, &[u64])> = vec![(request, &parts)];
                    if rng.random_bool(0.3) {
                        in_flight.push((5_000 + step, &bystander));
                    }
                    crash(&mut qs[at], now, key, &in_flight);
                    let record = CrashRecord {
                        endpoint: key,
                        age_ms: 0,
                        alive_age_ms: None,
                        attempts: Vec::new(),
                        parts: Vec::new(),
                    };
                    crashes[which].push(record);
                }
            } else if qs[at].blocked_for(now, 1, &[FIRST, template]).is_none() {
                qs[at].parts_succeeded(now, &[FIRST, template]);
            }
            // Every second report is lost, others are late.
            let update = qs[at].make_update(now, ReportDetail::Full, false);
            for to in (0..INSTANCES).filter(|to| *to != at) {
                if rng.random_bool(0.5) {
                    let delay = Duration::from_millis(rng.random_range(1..400));
                    reports.push((now + delay, to, update.clone()));
                }
            }
            for (_, to, update) in reports.extract_if(.., |(at, ..)| *at <= now) {
                qs[to].apply_update(now, &update);
            }
            qs.iter_mut().for_each(|q| q.evaluate(now));
            for crash in crashes.iter_mut().flatten() {
                crash.age_ms += 80;
            }
        }
        for (n, q) in qs.iter().enumerate() {
            let sound = [FIRST, TEMPLATES[0], TEMPLATES[1]];
            let held: Vec<_> = sound.iter().filter(|part| is_blocked(q, now, **part)).collect();
            assert!(held.is_empty(), "seed {seed}, instance {n}: {held:?} are blocked");
        }
        assert!(sends_after_known <= 3, "seed {seed}: {sends_after_known} sends late");
    }
}
