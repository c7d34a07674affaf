//! Placement and order of requests by latency estimates.

mod cells;

use std::time::Instant;

use cells::{cell, endpoint, key, placed, want, MS};
use oxbowbend_core::cell::{Outcome, PrefillStall, QueuedRequest, ReportDetail};

#[test]
fn long_prompt_does_not_stall_streams_at_a_slow_endpoint() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 1)]);
    (0..10).for_each(|_| cell.record_first_event(now, key("e0"), 700, 0, 86 * MS));
    (0..10).for_each(|_| cell.record_first_event(now, key("e2"), 700, 0, 25 * MS));
    let stall = PrefillStall { chunk_tokens: 3000, max_gap_ms: 200 };
    let long = QueuedRequest { stall, objective: 1000 * MS, ..want(0, 3000, now) };
    cell.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut cell, now)[0].1, "e2");
    // 3,000 tokens take 258 ms at e0, where no other stream would stall.
    cell.enqueue(long.clone());
    assert_eq!(placed(&mut cell, now)[0].1, "e0");
    cell.record_first_event(now, key("e0"), 3000, 0, 258 * MS);
    // Now it would stall that stream, so the next request waits for e2, for up to half of its
    // objective.
    cell.enqueue(long);
    assert_eq!(placed(&mut cell, now).len(), 0);
    assert_eq!(placed(&mut cell, now + 510 * MS)[0].1, "e0");
}

#[test]
fn unmeasured_endpoint_is_tried_by_requests_with_slack() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 4), endpoint(2, 4)];
    // At 50 us per unit, 400 units take 20 ms, or 60 ms in the worst case, and 5,000 take 250 ms or
    // 750 ms. The objective is 500 ms.
    for (prompt, expected) in [(100, "e2"), (4700, "e0")] {
        let mut cell = cell("a", &endpoints);
        (0..10).for_each(|_| cell.record_first_event(now, key("e0"), 700, 0, 50 * MS));
        cell.enqueue(want(0, prompt, now));
        assert_eq!(placed(&mut cell, now)[0].1, expected, "{prompt} tokens");
    }
}

#[test]
fn restored_latency_is_used_until_measured() {
    let now = Instant::now();
    let mut old = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    old.record_first_event(now, key("e0"), 700, 0, 90 * MS);
    old.record_first_event(now, key("e2"), 700, 0, 30 * MS);
    let mut fresh = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    fresh.record_first_event(now, key("e2"), 700, 0, 20 * MS);
    old.known_paces(now).iter().for_each(|(e, ns)| fresh.restore_pace(*e, *ns));
    let mut known = [(key("e0"), 90_000), (key("e2"), 20_000)];
    known.sort();
    assert_eq!(fresh.known_paces(now), known);
}

#[test]
fn request_does_not_queue_behind_a_long_prompt() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 4), endpoint(2, 4)];
    // An objective so short that differences of milliseconds matter.
    let short = QueuedRequest { objective: 50 * MS, ..want(0, 100, now) };
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    for cell in [&mut a, &mut b] {
        (0..10).for_each(|_| cell.record_first_event(now, key("e0"), 700, 0, 20 * MS));
        (0..10).for_each(|_| cell.record_first_event(now, key("e2"), 700, 0, 40 * MS));
    }
    a.enqueue(QueuedRequest { objective: 5000 * MS, ..want(0, 30_000, now) });
    assert_eq!(placed(&mut a, now)[0].1, "e0");
    b.receive_report(now, a.report(now, ReportDetail::Loads), true);
    b.enqueue(short.clone());
    assert_eq!(placed(&mut b, now)[0].1, "e2");
    // After its prefill, the long prompt no longer counts.
    a.record_first_event(now, key("e0"), 30_000, 0, 600 * MS);
    b.receive_report(now, a.report(now, ReportDetail::Loads), true);
    b.enqueue(short.clone());
    assert_eq!(placed(&mut b, now)[0].1, "e0");
}

#[test]
fn long_answers_avoid_slow_endpoints_and_short_ones_do_not() {
    let now = Instant::now();
    // 400 tokens take 1.25 s at the fast endpoints and 4.5 s at the slow one.
    for (output, slow) in [(1, true), (400, false)] {
        let mut cell = cell("a", &[endpoint(0, 20), endpoint(2, 20), endpoint(4, 20)]);
        for (id, ms) in [("e0", 12), ("e2", 12), ("e4", 45)] {
            (0..10).for_each(|_| cell.record_first_event(now, key(id), 700, 0, ms * MS));
        }
        for n in 0..40 {
            let prompt = 10 + n;
            cell.enqueue(QueuedRequest {
                output_tokens: output,
                objective: 400 * MS,
                ..want(0, prompt, now)
            });
        }
        let used = placed(&mut cell, now).iter().filter(|(_, e)| e == "e4").count();
        assert_eq!(used > 0, slow, "{output} tokens: {used} at the slow endpoint");
    }
}

#[test]
fn rank_then_answer_length_decides_the_order() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 1)]);
    cell.record_first_event(now, key("e0"), 700, 0, 12 * MS);
    let long = cell.enqueue(QueuedRequest { output_tokens: 2000, ..want(0, 100, now - 10 * MS) });
    let lower = cell.enqueue(QueuedRequest { output_tokens: 10, ..want(1, 100, now - 100 * MS) });
    let short = cell.enqueue(QueuedRequest { output_tokens: 200, ..want(0, 100, now) });
    for expected in [short, long, lower] {
        assert_eq!(placed(&mut cell, now)[0].0, expected);
        cell.finish(now, key("e0"), 100, Outcome::Good);
    }
}

#[test]
fn shortest_answer_first_serves_more_callers_under_a_burst() {
    // 60 requests for one slot within 600 ms, every sixth of them thirty times as long as the
    // others.
    let start = Instant::now();
    let served = |report_length: bool| {
        let mut cell = cell("a", &[endpoint(0, 1)]);
        cell.record_first_event(start, key("e0"), 700, 0, 10 * MS);
        let (mut free_at, mut served, mut runs) = (start, 0, std::collections::HashMap::new());
        for ms in 0..600_u32 {
            let now = start + ms * MS;
            if ms % 10 == 0 {
                let output = if (ms / 10) % 6 == 0 { 120 } else { 4 };
                let reported_output = if report_length { output } else { 0 };
                let ticket = cell
                    .enqueue(QueuedRequest { output_tokens: reported_output, ..want(0, 10, now) });
                runs.insert(ticket, output * 2);
            }
            if now < free_at {
                continue;
            }
            if free_at > start {
                cell.finish(now, key("e0"), 0, Outcome::Good);
            }
            for assignment in cell.assign(now) {
                free_at = now + runs[&assignment.ticket] * MS;
                served += 1;
            }
        }
        served
    };
    let (by_age, by_length) = (served(false), served(true));
    assert!(by_length >= by_age * 3 / 2, "{by_length} of 60 served, by age {by_age}");
}

#[test]
fn partitioned_instance_uses_its_share_of_each_endpoint() {
    let now = Instant::now();
    for (share, expected) in [(1.0, 20), (0.5, 10), (1.0 / 6.0, 4)] {
        let mut cell = cell("a", &[endpoint(0, 10), endpoint(2, 10)]);
        cell.set_visible_share(share);
        for _ in 0..30 {
            cell.enqueue(want(0, 100, now));
        }
        assert_eq!(placed(&mut cell, now).len(), expected, "a share of {share}");
    }
}

#[test]
fn unresponsive_endpoint_is_ejected_before_its_requests_time_out() {
    let start = Instant::now();
    for (is_silent, ejected) in [(true, 1), (false, 0)] {
        let mut cell = cell("a", &[endpoint(0, 10), endpoint(2, 10)]);
        for id in ["e0", "e2"] {
            cell.record_first_event(start, key(id), 700, 0, 20 * MS);
            (0..3).for_each(|_| cell.finish(start, key(id), 0, Outcome::Good));
        }
        let later = start + 4000 * MS;
        for _ in 0..10 {
            cell.enqueue(want(0, 100, later));
        }
        cell.assign(later);
        if !is_silent {
            cell.record_first_event(later + 100 * MS, key("e0"), 100, 0, 100 * MS);
        }
        (0..4).for_each(|_| cell.record_slow_response(later + 500 * MS, key("e0"), later));
        cell.assign(later + 500 * MS);
        assert_eq!(cell.take_ejections().len(), ejected, "silent: {is_silent}");
    }
}

/// Each change of what is persisted is a call to the store, of every cell.
#[test]
fn persisted_latency_changes_only_with_a_much_slower_or_faster_endpoint() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    // Time to the first event of 1,000 units at e0, and what is persisted then.
    for (ms, persisted) in [(100, 100_000), (140, 100_000), (80, 100_000), (400, 161_920)] {
        cell.record_first_event(now, key("e0"), 700, 0, ms * MS);
        assert_eq!(cell.paces_to_persist(now), [(key("e0"), persisted)], "{ms} ms");
    }
    cell.record_first_event(now, key("e2"), 700, 0, 30 * MS);
    assert_eq!(cell.paces_to_persist(now).len(), 2);
    cell.set_endpoints([endpoint(2, 4)]);
    assert_eq!(cell.paces_to_persist(now), [(key("e2"), 30_000)]);
}
