//! Scheduling order, choice of endpoints, agreement between instances, and ejection of failing
//! endpoints.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, placed, want, MS};
use oxbowbend_core::cell::{
    EndpointLoad, Outcome, QueuedRequest, ReportDeltas, ReportDetail, PEER_TTL, REPORT_DELAY,
    WAITING_TTL,
};
use oxbowbend_core::routes::Endpoint;

#[test]
fn higher_rank_precedes_older_request() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 1)]);
    let _old = cell.enqueue(want(2, 100, now - 50 * MS));
    let urgent = cell.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut cell, now), [(urgent, "e0".to_owned())]);
    assert_eq!(cell.waiting_count(), 1);
}

#[test]
fn slots_are_not_exceeded_and_are_released_on_finish() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 2)]);
    for _ in 0..3 {
        cell.enqueue(want(0, 100, now));
    }
    assert_eq!(placed(&mut cell, now).len(), 2);
    assert_eq!(placed(&mut cell, now).len(), 0);
    cell.finish(now, key("e0"), 0, Outcome::Good);
    assert_eq!(placed(&mut cell, now).len(), 1);
}

#[test]
fn peer_load_occupies_slots_until_the_peer_times_out() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 1)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    a.enqueue(want(0, 100, now));
    assert_eq!(a.assign(now).len(), 1);
    b.receive_report(now, a.report(now, ReportDetail::Full), true);
    b.enqueue(want(0, 100, now));
    assert_eq!(b.assign(now).len(), 0);
    assert_eq!(b.assign(now + PEER_TTL).len(), 1);
}

#[test]
fn two_instances_agree_who_gets_the_last_slot() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 1)];
    for (rank_a, rank_b, first) in [(0, 1, "a"), (1, 0, "b")] {
        let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
        a.enqueue(want(rank_a, 100, now - REPORT_DELAY));
        b.enqueue(want(rank_b, 100, now - REPORT_DELAY));
        let (from_a, from_b) =
            (a.report(now, ReportDetail::Full), b.report(now, ReportDetail::Full));
        a.receive_report(now, from_b, true);
        b.receive_report(now, from_a, true);
        let assigned = (a.assign(now).len(), b.assign(now).len());
        assert_eq!(assigned, if first == "a" { (1, 0) } else { (0, 1) });
    }
}

#[test]
fn claims_of_a_silent_instance_expire() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 1)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    a.enqueue(want(0, 100, now));
    b.receive_report(now, a.report(now, ReportDetail::Full), true);
    b.enqueue(want(1, 100, now));
    assert_eq!(b.assign(now).len(), 0);
    assert_eq!(b.assign(now + WAITING_TTL).len(), 1);
}

#[test]
fn stale_report_is_ignored() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 1)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    let stale = a.report(now, ReportDetail::Full);
    a.enqueue(want(0, 100, now));
    a.assign(now);
    assert!(b.receive_report(now, a.report(now, ReportDetail::Full), true).is_some());
    assert!(b.receive_report(now, stale, true).is_none());
    assert_eq!(b.load(now, key("e0")), 1);
}

#[test]
fn faster_endpoint_is_chosen() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    (0..10).for_each(|_| cell.record_first_event(now, key("e0"), 1000, 0, 300 * MS));
    (0..10).for_each(|_| cell.record_first_event(now, key("e2"), 1000, 0, 60 * MS));
    let ticket = cell.enqueue(want(0, 1000, now));
    assert_eq!(placed(&mut cell, now), [(ticket, "e2".to_owned())]);
}

#[test]
fn request_waits_for_a_slot_that_meets_its_deadline() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 1), endpoint(2, 1)]);
    (0..10).for_each(|_| cell.record_first_event(now, key("e0"), 700, 0, 300 * MS));
    (0..10).for_each(|_| cell.record_first_event(now, key("e2"), 700, 0, 50 * MS));
    cell.enqueue(want(0, 700, now));
    assert_eq!(placed(&mut cell, now)[0].1, "e2");
    // 4,700 tokens take 1.5 s at e0 and 0.3 s at e2; the objective is 0.5 s.
    cell.enqueue(want(0, 4700, now));
    assert_eq!(placed(&mut cell, now).len(), 0);
    // Once it would miss its deadline at both, it takes the free slot.
    assert_eq!(placed(&mut cell, now + 400 * MS)[0].1, "e0");
}

#[test]
fn draining_and_already_tried_endpoints_are_skipped() {
    let now = Instant::now();
    let leaving = Endpoint { leaving: true, ..endpoint(0, 1) };
    let mut cell = cell("a", &[leaving, endpoint(2, 1)]);
    cell.enqueue(QueuedRequest { excluded_endpoints: vec!["e2".into()], ..want(0, 100, now) });
    assert_eq!(cell.assign(now).len(), 0);
}

#[test]
fn a_request_that_needs_a_version_waits_for_it_and_holds_up_nobody() {
    let now = Instant::now();
    let of = |n, version: &str| Endpoint { version: version.into(), ..endpoint(n, 1) };
    let endpoints = [of(0, "v1"), of(2, "v2")];
    let needs = |version: &str| QueuedRequest {
        version: Some(version.into()),
        ..want(0, 100, now - 2 * REPORT_DELAY)
    };
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    let first = a.enqueue(needs("v1"));
    assert_eq!(placed(&mut a, now), [(first, "e0".to_owned())]);
    let bound = a.enqueue(needs("v1"));
    // A peer knows that the request is none for the other version.
    b.receive_report(now, a.report(now, ReportDetail::Full), true);
    let later = b.enqueue(want(0, 100, now - REPORT_DELAY));
    assert_eq!(placed(&mut b, now), [(later, "e2".to_owned())]);
    assert_eq!(placed(&mut a, now), []);
    a.finish(now, key("e0"), 0, Outcome::Good);
    assert_eq!(placed(&mut a, now), [(bound, "e0".to_owned())]);
    assert!(a.serves_version(&"s".into(), &"v1".into()));
    assert!(!a.serves_version(&"s".into(), &"v3".into()));
}

#[test]
fn failures_reported_by_a_peer_eject_an_endpoint() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 8), endpoint(2, 8)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    b.receive_report(now, a.report(now, ReportDetail::Full), true);
    (0..4).for_each(|_| a.record_outcome(now, key("e0"), Outcome::Bad));
    b.receive_report(now, a.report(now, ReportDetail::Full), true);
    let ticket = b.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut b, now), [(ticket, "e2".to_owned())]);
    assert_eq!(b.take_ejections().len(), 1);
}

#[test]
fn at_most_half_of_a_service_is_ejected() {
    let now = Instant::now();
    let endpoints: Vec<_> = (0..5).map(|n| endpoint(n, 1)).collect();
    let mut cell = cell("a", &endpoints);
    for e in &endpoints {
        (0..9).for_each(|_| cell.record_outcome(now, e.key(), Outcome::Bad));
    }
    for _ in 0..5 {
        cell.enqueue(want(0, 100, now));
    }
    assert_eq!(cell.assign(now).len(), 3);
    assert_eq!(cell.take_ejections().len(), 2);
}

#[test]
fn reinstated_endpoint_gets_one_request_at_a_time() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 4), endpoint(2, 0)];
    let mut cell = cell("a", &endpoints);
    (0..4).for_each(|_| cell.record_outcome(now, key("e0"), Outcome::Bad));
    for _ in 0..4 {
        cell.enqueue(want(0, 100, now));
    }
    assert_eq!(cell.assign(now).len(), 0);
    let later = now + Duration::from_secs(2);
    for _ in 0..3 {
        assert_eq!(cell.assign(later).len(), 1);
        cell.finish(later, key("e0"), 0, Outcome::Good);
    }
    for _ in 0..4 {
        cell.enqueue(want(0, 100, now));
    }
    assert_eq!(cell.assign(later).len(), 4);
}

/// Requests that were sent before an ejection and fail during it tell nothing new.
#[test]
fn a_silence_of_a_second_ejects_an_endpoint_once() {
    let start = Instant::now();
    let endpoints = [endpoint(0, 8), endpoint(2, 8)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    b.receive_report(start, a.report(start, ReportDetail::Full), true);
    a.receive_report(start, b.report(start, ReportDetail::Full), true);
    let fail = |cell: &mut oxbowbend_core::cell::Cell, ms: u32| {
        cell.finish(start + ms * MS, key("e0"), 0, Outcome::Bad);
    };
    (0..4).for_each(|_| fail(&mut a, 300));
    a.assign(start + 300 * MS);
    // Of its own requests and of those of another instance.
    (0..4).for_each(|_| fail(&mut a, 900));
    (0..4).for_each(|_| fail(&mut b, 900));
    a.receive_report(start + 950 * MS, b.report(start + 950 * MS, ReportDetail::Full), true);
    a.assign(start + 1400 * MS);
    assert_eq!(a.take_ejections().len(), 1);
    // It is on probation, and two requests that are sent now and fail set it aside again.
    (0..2).for_each(|_| fail(&mut a, 1700));
    a.assign(start + 1700 * MS);
    assert_eq!(a.take_ejections().len(), 1);
}

#[test]
fn background_failure_rate_does_not_eject_an_endpoint() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    for n in 0..50 {
        let outcome = if n % 7 == 0 { Outcome::Bad } else { Outcome::Good };
        cell.record_outcome(now, key("e0"), outcome);
    }
    cell.assign(now);
    assert_eq!(cell.take_ejections(), []);
}

#[test]
fn usage_before_the_first_report_is_not_counted() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 1)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    let with_spent = |mut report: oxbowbend_core::cell::Report, units| {
        report.admitted_units = vec![("acc".into(), units)];
        report
    };
    let spent = |heard: Option<ReportDeltas>| {
        heard.expect("report is new").admitted_units.own_cell.first().map(|(_, u)| *u)
    };
    assert_eq!(
        spent(b.receive_report(now, with_spent(a.report(now, ReportDetail::Full), 1000), true)),
        Some(0)
    );
    assert_eq!(
        spent(b.receive_report(now, with_spent(a.report(now, ReportDetail::Full), 1200), true)),
        Some(200)
    );
}

#[test]
fn counters_start_at_the_first_full_report() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 1), endpoint(2, 1)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    (0..9).for_each(|_| a.record_outcome(now, key("e0"), Outcome::Bad));
    b.receive_report(now, a.report(now, ReportDetail::Loads), true);
    let mut full = a.report(now, ReportDetail::Full);
    full.admitted_units = vec![("acc".into(), 1000)];
    let heard = b.receive_report(now, full, true).expect("report is new");
    assert_eq!(heard.admitted_units.own_cell[0].1, 0);
    b.assign(now);
    assert_eq!(b.take_ejections(), []);
}

#[test]
fn changes_report_contains_only_recent_changes() {
    let now = Instant::now();
    let mut a = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    a.record_outcome(now, key("e0"), Outcome::Good);
    let later = now + 1000 * MS;
    a.record_outcome(later, key("e2"), Outcome::Good);
    let tally_count = |report: oxbowbend_core::cell::Report| report.endpoint_stats.len();
    assert_eq!(tally_count(a.report(later, ReportDetail::Loads)), 0);
    assert_eq!(tally_count(a.report(later, ReportDetail::Changes)), 1);
    assert_eq!(tally_count(a.report(later, ReportDetail::Full)), 2);
}

#[test]
fn tally_omitted_from_a_changes_report_is_not_counted_again() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 4), endpoint(2, 4), endpoint(4, 4)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    // Failures from before the first full report do not count.
    (0..9).for_each(|_| a.record_outcome(now, key("e0"), Outcome::Bad));
    let later = now + 1000 * MS;
    a.record_outcome(later, key("e2"), Outcome::Good);
    b.receive_report(later, a.report(later, ReportDetail::Changes), true);
    b.receive_report(later, a.report(later, ReportDetail::Full), true);
    b.assign(later);
    assert_eq!(b.take_ejections(), []);
    // Later ones do.
    (0..9).for_each(|_| a.record_outcome(later, key("e0"), Outcome::Bad));
    b.receive_report(later, a.report(later, ReportDetail::Changes), true);
    b.assign(later);
    assert_eq!(b.take_ejections().len(), 1);
}

/// Requests that wait for a version that is rolled back move to another version.
#[test]
fn waiting_requests_can_move_to_another_service() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 1)]);
    let ticket = cell.enqueue(QueuedRequest { service: "t".into(), ..want(0, 100, now) });
    assert!(cell.assign(now).is_empty());
    assert!(cell.serves(&"s".into()) && !cell.serves(&"t".into()));
    cell.change_service(&"t".into(), &"s".into());
    assert_eq!(placed(&mut cell, now), [(ticket, "e0".to_owned())]);
}

#[test]
fn only_the_representative_reports_totals_of_another_cell() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 1)];
    let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
    b.set_representative(true);
    let mut added = |is_cell_told, is_representative, cell_spent: u64| {
        let mut report = a.report(now, ReportDetail::Loads);
        report.has_all_cell_counters = is_cell_told;
        report.is_representative = is_representative;
        report.cell_admitted_units = vec![("acc".into(), cell_spent)];
        let news = b.receive_report(now, report, false).expect("report is new");
        news.admitted_units.other_cells.first().map_or(0, |(_, units)| *units)
    };
    assert_eq!(added(true, false, 1000), 0, "total of the first report");
    assert_eq!(added(true, false, 1100), 0, "not the representative");
    assert_eq!(added(true, true, 1250), 0, "reported by the previous representative");
    assert_eq!(added(false, true, 1300), 50);
}

/// Guards against instances overloading one endpoint while their reports are in flight.
#[test]
fn instances_prefer_different_endpoints_among_equals() {
    let now = Instant::now();
    let endpoints: Vec<_> = (0..12).map(|n| endpoint(2 * n, 4)).collect();
    let first = |name: String| {
        let mut cell = cell(&name, &endpoints);
        cell.enqueue(want(0, 1000, now));
        placed(&mut cell, now)[0].1.clone()
    };
    let chosen: std::collections::BTreeSet<_> = (0..12).map(|n| first(format!("i{n}"))).collect();
    assert!(chosen.len() >= 6, "{chosen:?}");
}

/// Guards against two instances assigning requests to the same slot.
#[test]
fn instances_leave_endpoints_to_the_peers_that_prefer_them() {
    let now = Instant::now();
    let endpoints: Vec<_> = (0..12).map(|n| endpoint(2 * n, 1)).collect();
    let names: Vec<_> = (0..12).map(|n| format!("i{n}")).collect();
    let mut cells: Vec<_> = names.iter().map(|name| cell(name, &endpoints)).collect();
    for (n, cell) in cells.iter_mut().enumerate() {
        cell.enqueue(want(0, 1000, now - MS * n as u32));
    }
    let reports: Vec<_> = cells.iter_mut().map(|c| c.report(now, ReportDetail::Full)).collect();
    let mut used = std::collections::BTreeSet::new();
    for cell in &mut cells {
        reports.iter().for_each(|r| drop(cell.receive_report(now, r.clone(), true)));
        used.extend(placed(cell, now).into_iter().map(|(_, endpoint)| endpoint));
    }
    assert_eq!(used.len(), 12);
}

/// Guards against instances taking the same slot for requests that have not been reported yet.
#[test]
fn last_free_slots_go_to_reported_requests() {
    let now = Instant::now();
    // Free slots, age in milliseconds, whether there is a peer, number of placed requests.
    for (free, age, has_peer, placed) in
        [(1, 0, true, 0), (3, 9, true, 0), (3, 10, true, 1), (4, 0, true, 1), (1, 0, false, 1)]
    {
        let endpoints = [endpoint(0, free)];
        let (mut a, mut b) = (cell("a", &endpoints), cell("b", &endpoints));
        if has_peer {
            a.receive_report(now, b.report(now, ReportDetail::Loads), true);
        }
        a.enqueue(want(0, 100, now - MS * age));
        assert_eq!(a.assign(now).len(), placed, "{free} free, {age} ms, peer: {has_peer}");
    }
}

/// Guards against losing the load of an endpoint that moves to another cell.
#[test]
fn load_on_a_removed_endpoint_is_still_reported() {
    let now = Instant::now();
    let mut a = cell("a", &[endpoint(0, 4)]);
    a.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut a, now).len(), 1);
    a.set_endpoints([endpoint(2, 4)]);
    let loads = a.report(now, ReportDetail::Loads).loads;
    assert_eq!(
        loads,
        [EndpointLoad { endpoint: key("e0"), running: 1, pending_prompt_tokens: 100 }]
    );
    a.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut a, now)[0].1, "e2", "no further requests");
    a.finish(now, key("e0"), 100, Outcome::Good);
    a.set_endpoints([endpoint(2, 4)]);
    assert_eq!(a.report(now, ReportDetail::Loads).loads.len(), 1);
}
