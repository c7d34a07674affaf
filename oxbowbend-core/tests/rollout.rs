//! Roll-outs: how much a version gets, when it is found to be bad, and what instances that do not hear each other do.

use std::time::{Duration, Instant};

use oxbowbend_core::rollout::detector::find_regression;
use oxbowbend_core::rollout::responses::{
    ResponseCounterKey, ResponseHistory, ResponseOutcome, VersionGroup,
};
use oxbowbend_core::rollout::{
    EndpointRole, PeerLocation, Phase, PhaseReason, RolloutLimits, RolloutRecord, RolloutSpec,
    Rollouts, Status,
};
use oxbowbend_core::routes::Endpoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const BOUNDS: RolloutLimits = RolloutLimits { max_candidate_share: 0.1 };
const DURATION: Duration = Duration::from_secs(20);
const LONGEST: Duration = Duration::from_secs(4);
/// The order of the simulated evidence.
const ORDER: u32 = 1;

fn order(destination: &str) -> RolloutSpec {
    RolloutSpec { service: "s".into(), destination: destination.into(), duration: DURATION }
}

fn endpoint(id: &str, version: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 4,
        leaving: false,
        started_at_ms: 0,
        version: version.into(),
    }
}

/// Twenty endpoints of version 1, and as many of version 2.
fn endpoints() -> Vec<Endpoint> {
    let of =
        |version: &'static str| (0..20).map(move |n| endpoint(&format!("e{version}-{n}"), version));
    of("1").chain(of("2")).collect()
}

fn ordered(now: Instant) -> Rollouts {
    let mut rollouts = Rollouts::new(BOUNDS);
    rollouts.start(now, order("2"), LONGEST);
    rollouts.set_endpoints(now, &endpoints());
    rollouts
}

fn phase(rollouts: &mut Rollouts, now: Instant) -> Phase {
    rollouts.make_records(now, PeerLocation::SameCell)[0].phase
}

/// How a version answers.
#[derive(Clone, Copy)]
struct Answers {
    /// Share of failures, and of answers that are so many times slower.
    failing: f64,
    slow: f64,
    times: f64,
    /// Seconds after which that begins.
    from: u64,
    /// Routes, of six, on which it is so.
    routes: u16,
}

const WELL: Answers = Answers { failing: 0.01, slow: 0.0, times: 1.0, from: 0, routes: 6 };

/// Trouble that comes to both versions alike.
#[derive(Clone, Copy)]
enum Around {
    Nothing,
    /// For seconds a quarter of all answers are failures.
    Crashes,
    /// For seconds all answers take four times as long.
    Crest,
    /// The same from a second after the shift on, from which all requests go to the new version.
    CrestAfterShift,
    /// All endpoints of the new version are slow engines, as a third of the others.
    SlowCanary,
    /// Now and then an endpoint stands still for a moment; the new version has one, the others ten.
    Stalls,
}

/// Tick of a quarter second at which the shift comes, in that case.
const SHIFT: u32 = 48;

/// Simulates 20 s of a service with so many requests a second, of which a thirteenth goes to the new version. Returns
/// when that is found to be bad.
fn detected(seed: u64, per_s: u32, version: Answers, around: Around) -> Option<Duration> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let (start, mut evidence) = (Instant::now(), ResponseHistory::default());
    for tick in 0..80_u32 {
        let now = start + tick * 250 * MS;
        let may_stall = if matches!(around, Around::Stalls) { 0.08 } else { 0.0 };
        let stalls: Vec<bool> = (0..11).map(|_| rng.random_bool(may_stall)).collect();
        for n in 0..per_s / 4 {
            let is_shifted = matches!(around, Around::CrestAfterShift) && tick >= SHIFT;
            let is_new = is_shifted || (n + tick).is_multiple_of(13);
            let side = if is_new { VersionGroup::Candidate } else { VersionGroup::Baseline };
            let route = rng.random_range(0..6_u16);
            let is_bad_here = side == VersionGroup::Candidate
                && u64::from(tick) >= version.from * 4
                && route < version.routes;
            let answers = if is_bad_here { version } else { WELL };
            let is_trouble = (24..36).contains(&tick);
            let failing = match around {
                Around::Crashes if is_trouble => 0.25,
                _ => answers.failing,
            };
            // A third of the endpoints is 4.4 times slower, and prompts differ.
            let is_slow_canary =
                side == VersionGroup::Candidate && matches!(around, Around::SlowCanary);
            let engine = if is_slow_canary || rng.random_bool(1.0 / 3.0) { 4.4 } else { 1.0 };
            let stalled = if side == VersionGroup::Candidate {
                stalls[0]
            } else {
                stalls[1 + n as usize % 10]
            };
            let stall = if stalled { 20.0 } else { 1.0 };
            let is_crest = match around {
                Around::Crest => is_trouble,
                Around::CrestAfterShift => tick >= SHIFT + 4,
                _ => false,
            };
            let crest = if is_crest { 4.0 } else { 1.0 };
            let slow = if rng.random_bool(answers.slow) { answers.times } else { 1.0 };
            let ns_per_unit = 20_000.0 * engine * crest * slow * stall * rng.random_range(0.5..2.0);
            let answer = match rng.random_bool(failing) {
                true => ResponseOutcome::Failure,
                false => ResponseOutcome::Success { ns_per_unit },
            };
            evidence.add(now, ResponseCounterKey::new(ORDER, &route.to_string(), side, answer), 1);
        }
        if find_regression(&evidence).is_some() {
            return Some(now - start);
        }
    }
    None
}

/// Rows: what is wrong with a version, and by when it must be known for half of the seeds and for all, in seconds
/// after it has begun.
#[test]
fn bad_versions_are_found() {
    let bad = |failing, slow, from, routes| Answers { failing, slow, times: 5.0, from, routes };
    let rows = [
        ("fails 30 of 100", 560, bad(0.3, 0.0, 0, 6), 2.0, 5.0),
        ("fails 30 of 100 from 10 s on", 560, bad(0.3, 0.0, 10, 6), 3.0, 6.0),
        ("fails 50 of 100 on one route", 560, bad(0.5, 0.0, 0, 1), 4.0, 9.0),
        ("is 5 times slower for 60 of 100", 560, bad(0.01, 0.6, 0, 6), 3.0, 8.0),
        ("fails 30 of 100, little traffic", 120, bad(0.3, 0.0, 0, 6), 6.0, 15.0),
    ];
    for (what, per_s, version, half, all) in rows {
        let found = |seed| detected(seed, per_s, version, Around::Nothing);
        let mut times: Vec<f64> = (0..20)
            .map(|seed| found(seed).map_or(f64::INFINITY, |t| t.as_secs_f64()))
            .map(|t| t - version.from as f64)
            .collect();
        times.sort_by(f64::total_cmp);
        println!("{what}: {:.2} s, at the latest {:.2} s", times[10], times[19]);
        assert!(times[10] <= half && times[19] <= all, "{what}: {times:?}");
    }
}

/// A good version was rolled back in its canary: of 28 of its answers in a span 18 took longer than a bound, of 323 of the others 61. They
/// came from one or two endpoints, on a machine that was busy: what slows one endpoint down for a moment makes several slow answers at once, which
/// were taken for so many signs, and an endpoint may be one of the slower ones from the beginning.
///
/// ```text
/// event=rollout phase=RolledBack age_ms=4762 new=48 new_failed=0 old=556 old_failed=0 why="worse bad=18 of=28 old_bad=61 old_of=323 ratio=12.3 slow_from=Some(6)"
/// ```
///
/// At the shift the other versions get no more requests, so a span over it holds their answers of one moment and the new version's of
/// the next: machines that slow down between made it look slow, too.
#[test]
fn good_versions_are_not_found_to_be_bad() {
    for (name, around) in [
        ("calm", Around::Nothing),
        ("crashes", Around::Crashes),
        ("a crest", Around::Crest),
        ("a crest after the shift", Around::CrestAfterShift),
        ("a canary of slow engines", Around::SlowCanary),
        ("stalls", Around::Stalls),
    ] {
        for per_s in [120, 560] {
            let wrong: Vec<_> =
                (0..60).filter_map(|seed| detected(seed, per_s, WELL, around)).collect();
            println!("{name} at {per_s}/s: {} of 60 found to be bad", wrong.len());
            assert!(wrong.is_empty(), "{name} at {per_s}/s: {wrong:?}");
        }
    }
}

#[test]
fn a_version_gets_no_more_than_its_share_of_each_instance() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    let mut new = 0;
    for n in 1..=5000_u32 {
        new += u32::from(rollouts.assign_request(&"s".into(), true, true) != "s".into());
        assert!(f64::from(new) <= f64::from(n) * BOUNDS.max_candidate_share, "{new} of {n}");
    }
    assert!(new > 350, "{new}");
    // What has failed once is not tried out, nor is anything without an endpoint for it.
    assert_eq!(rollouts.assign_request(&"s".into(), true, false), "s".into());
    assert_eq!(rollouts.assign_request(&"s".into(), false, true), "s".into());
    assert_eq!(rollouts.assign_request(&"other".into(), true, true), "other".into());
}

#[test]
fn few_endpoints_are_tried_and_as_busy_as_the_others() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    let parts = rollouts.set_endpoints(now, &endpoints());
    let count = |wanted: fn(&EndpointRole) -> bool| parts.iter().filter(|p| wanted(p)).count();
    assert_eq!(count(|p| *p == EndpointRole::Service), 20);
    // Eight of a hundred requests for twenty endpoints are the share of two.
    assert_eq!(count(|p| matches!(p, EndpointRole::Version(_))), 2);
    assert_eq!(count(|p| *p == EndpointRole::Excluded), 18);
}

/// A good version: canary, shift, complete once nothing runs at the others, and these are left alone afterwards.
#[test]
fn a_good_version_is_complete_before_its_deadline() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    let old = endpoint("e1-0", "1");
    rollouts.request_started(&old);
    let mut complete = None;
    for tick in 0..200_u32 {
        let at = now + tick * 100 * MS;
        rollouts.advance(at);
        let shifted = phase(&mut rollouts, at) == Phase::Shift;
        if shifted && tick % 160 == 0 {
            rollouts.request_finished(at, &old, "r", None);
        }
        let due = rollouts.due_status_writes(at);
        if due.iter().any(|(_, status)| *status == Status::Complete) {
            complete.get_or_insert(at);
            rollouts.apply_stored_status(at, &"s".into(), &"2".into(), Status::Complete);
        }
    }
    let complete = complete.expect("it is complete");
    // What runs at the others is waited for up to a moment before the deadline.
    assert!(complete > now + 16 * S && complete < now + DURATION, "{:?}", complete - now);
    let parts = rollouts.set_endpoints(complete, &endpoints());
    assert!(parts[..20].iter().all(|p| *p == EndpointRole::Excluded));
    assert!(parts[20..].iter().all(|p| matches!(p, EndpointRole::Version(_))));
    rollouts.advance(complete + 11 * S);
    assert!(rollouts
        .set_endpoints(complete, &endpoints())
        .iter()
        .all(|p| *p == EndpointRole::Service));
    assert_eq!(rollouts.assign_request(&"s".into(), true, true), "s".into());
}

#[test]
fn a_bad_version_is_rolled_back_and_never_tried_again() {
    let now = Instant::now();
    let mut rollouts = ordered(now);
    let (old, new) = (endpoint("e1-0", "1"), endpoint("e2-0", "2"));
    for n in 0..400 {
        let answer = ResponseOutcome::Success { ns_per_unit: 20_000.0 };
        rollouts.request_finished(now, &old, "r", Some(answer));
        if n % 13 == 0 {
            rollouts.request_finished(now, &new, "r", Some(ResponseOutcome::Failure));
        }
    }
    rollouts.advance(now);
    let changes = rollouts.take_changes();
    assert!(matches!(changes.last().map(|c| c.reason), Some(PhaseReason::Worse(_))), "{changes:?}");
    for again in [order("2"), RolloutSpec { duration: S, ..order("2") }] {
        rollouts.start(now, again, LONGEST);
        assert_eq!(rollouts.assign_request(&"s".into(), true, true), "s".into());
        assert_eq!(rollouts.due_status_writes(now)[0].1, Status::RolledBack);
    }
    // Another version is another order.
    rollouts.start(now, order("3"), LONGEST);
    assert_eq!(phase(&mut rollouts, now), Phase::Canary);
}

#[test]
fn an_order_for_the_version_that_runs_is_complete_by_itself() {
    let now = Instant::now();
    let mut rollouts = Rollouts::new(BOUNDS);
    rollouts.start(now, order("1"), LONGEST);
    let all = [endpoint("a", "1"), endpoint("b", "1")];
    let parts = rollouts.set_endpoints(now, &all);
    // Meanwhile all of it is served by all of them.
    assert!(parts.iter().all(|part| matches!(part, EndpointRole::Version(_))), "{parts:?}");
    (0..20).for_each(|_| assert_ne!(rollouts.assign_request(&"s".into(), true, true), "s".into()));
    rollouts.advance(now);
    assert_eq!(rollouts.due_status_writes(now)[0].1, Status::Running);
    rollouts.advance(now + 4 * S);
    assert_eq!(rollouts.due_status_writes(now + 4 * S)[0].1, Status::Complete);
}

#[test]
fn an_order_without_endpoints_does_no_harm() {
    let now = Instant::now();
    let mut rollouts = Rollouts::new(BOUNDS);
    rollouts.start(now, order("2"), LONGEST);
    rollouts.advance(now + DURATION);
    assert!(
        rollouts.due_status_writes(now + DURATION).is_empty(),
        "of an unknown service nothing is told"
    );
    rollouts.set_endpoints(now, &[endpoint("a", "1")]);
    rollouts.advance(now + DURATION);
    assert_eq!(rollouts.due_status_writes(now + DURATION)[0].1, Status::RolledBack);
}

/// What can happen to three instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    /// An instance reads the order.
    Order(usize),
    /// It sees a bad answer of the new version after some good ones of the old one.
    Bad(usize),
    /// It tells another one what it knows.
    Tell(usize, usize),
    /// Time passes until the shift.
    Time,
    /// It starts again, knowing nothing.
    Restart(usize),
    /// It writes the status that it thinks is due, or takes the final one that is there.
    Write(usize),
    /// The store comes back from a copy without any status.
    Restore,
}

const INSTANCES: usize = 3;

fn events() -> Vec<Event> {
    let mut all = vec![Event::Time, Event::Restore];
    for n in 0..INSTANCES {
        all.extend([Event::Order(n), Event::Bad(n), Event::Restart(n), Event::Write(n)]);
        all.push(Event::Tell(n, (n + 1) % INSTANCES));
    }
    all
}

struct Fleet {
    now: Instant,
    instances: Vec<Rollouts>,
    status: Option<Status>,
    /// Final statuses since the last restored copy.
    finals: Vec<Status>,
}

impl Fleet {
    fn new() -> Fleet {
        let instances = (0..INSTANCES).map(|_| Rollouts::new(BOUNDS)).collect();
        Fleet { now: Instant::now(), instances, status: None, finals: Vec::new() }
    }

    fn play(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Order(n) => {
                self.instances[n].start(now, order("2"), LONGEST);
                self.instances[n].set_endpoints(now, &endpoints());
            }
            Event::Bad(n) => {
                let (old, new) = (endpoint("e1-0", "1"), endpoint("e2-0", "2"));
                let good = ResponseOutcome::Success { ns_per_unit: 20_000.0 };
                (0..60)
                    .for_each(|_| self.instances[n].request_finished(now, &old, "r", Some(good)));
                (0..9).for_each(|_| {
                    self.instances[n].request_finished(
                        now,
                        &new,
                        "r",
                        Some(ResponseOutcome::Failure),
                    )
                });
                self.instances[n].advance(now);
            }
            Event::Tell(from, to) => {
                let told = self.instances[from].make_records(now, PeerLocation::SameCell);
                let name = format!("i{from}").as_str().into();
                self.instances[to]
                    .apply_records(now, &name, PeerLocation::SameCell, &told, |_| LONGEST);
                self.instances[to].set_endpoints(now, &endpoints());
            }
            Event::Time => {
                self.now += 15 * S;
                self.instances.iter_mut().for_each(|i| i.advance(now + 15 * S));
            }
            Event::Restart(n) => {
                self.instances[n] = Rollouts::new(BOUNDS);
                self.instances[n].set_endpoints(now, &endpoints());
            }
            Event::Write(n) => self.write(n),
            Event::Restore => {
                self.status = None;
                self.finals.clear();
                self.instances.iter_mut().for_each(Rollouts::forget_stored_statuses);
            }
        }
    }

    fn write(&mut self, n: usize) {
        let Some((order, status)) = self.instances[n].due_status_writes(self.now).pop() else {
            return;
        };
        let known = match self.status {
            Some(Status::Complete | Status::RolledBack) => self.status.unwrap_or(status),
            _ => status,
        };
        if known != Status::Running && self.status != Some(known) {
            self.finals.push(known);
        }
        self.status = Some(known);
        self.instances[n].apply_stored_status(self.now, &order.service, &order.destination, known);
    }

    fn check(&mut self, history: &[Event]) {
        assert!(self.finals.len() <= 1, "{history:?}: {:?}", self.finals);
        for instance in &mut self.instances {
            for RolloutRecord { phase, .. } in
                instance.make_records(self.now, PeerLocation::SameCell)
            {
                let dealt = instance.assign_request(&"s".into(), true, false);
                let is_new = dealt != "s".into();
                let may = matches!(phase, Phase::Shift | Phase::Complete);
                assert_eq!(is_new, may, "{history:?}: {phase:?}");
            }
        }
    }
}

fn replay(history: &[Event]) -> Fleet {
    let mut fleet = Fleet::new();
    for event in history {
        fleet.play(*event);
        fleet.check(history);
    }
    fleet
}

/// All histories of four events after an order that two of the three have read: no second final status, nothing
/// sent to a version that is rolled back, whoever restarts, is not heard, or loses the store's word.
#[test]
fn three_instances_never_come_to_two_ends() {
    let all = events();
    let begin = [Event::Order(0), Event::Order(1)];
    let mut finals = 0;
    for n in 0..all.len().pow(4) {
        let digits = (0..4).map(|place| all[n / all.len().pow(place) % all.len()]);
        let history: Vec<_> = begin.into_iter().chain(digits).collect();
        finals += replay(&history).finals.len();
    }
    assert!(finals > 1000, "{finals}");
}

/// A later phase is never given up for an earlier one, in whatever order reports come.
#[test]
fn phases_go_forward_only() {
    let now = Instant::now();
    let all = [Phase::Canary, Phase::Shift, Phase::RolledBack, Phase::Complete, Phase::Retired];
    for first in all {
        for second in all {
            let mut rollouts = ordered(now);
            let mut told = rollouts.make_records(now, PeerLocation::SameCell);
            for phase in [first, second] {
                told[0].phase = phase;
                rollouts
                    .apply_records(now, &"i".into(), PeerLocation::SameCell, &told, |_| LONGEST);
            }
            assert_eq!(phase(&mut rollouts, now), first.max(second));
        }
    }
}
