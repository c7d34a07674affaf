//! Endpoints that restart under the same id, and addresses reused by another endpoint.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, placed, want, MS};
use oxbowbend_core::cell::{Cell, Outcome, ReportDetail, REPORT_DELAY};
use oxbowbend_core::routes::Endpoint;

fn endpoint_started_at(n: u8, slots: u32, started_at_ms: u64) -> Endpoint {
    Endpoint { started_at_ms, ..endpoint(n, slots) }
}

fn enqueue(cell: &mut Cell, now: Instant, requests: u32) {
    for _ in 0..requests {
        cell.enqueue(want(0, 100, now));
    }
}

#[test]
fn a_restarted_endpoint_has_all_its_slots() {
    let now = Instant::now();
    let (old, new) = (endpoint_started_at(0, 2, 1000), endpoint_started_at(0, 2, 2000));
    let mut cell = cell("a", std::slice::from_ref(&old));
    enqueue(&mut cell, now, 2);
    assert_eq!(placed(&mut cell, now).len(), 2);
    cell.set_endpoints([new.clone()]);
    enqueue(&mut cell, now, 3);
    assert_eq!(placed(&mut cell, now).len(), 2);
    // The end of a request from the earlier run frees no slot of the new one.
    (0..2).for_each(|_| cell.finish(now, old.key(), 100, Outcome::Bad));
    assert_eq!(placed(&mut cell, now).len(), 0);
    assert_eq!(cell.load(now, new.key()), 2);
    cell.finish(now, new.key(), 100, Outcome::Good);
    assert_eq!(placed(&mut cell, now).len(), 1);
}

#[test]
fn a_restarted_endpoint_is_judged_by_its_own_results() {
    let now = Instant::now();
    let (old, new) = (endpoint_started_at(0, 4, 1000), endpoint_started_at(0, 4, 2000));
    let other = endpoint_started_at(2, 4, 1000);
    let mut cell = cell("a", &[old.clone(), other.clone()]);
    (0..10).for_each(|_| cell.record_first_event(now, old.key(), 700, 0, 400 * MS));
    (0..10).for_each(|_| cell.record_first_event(now, other.key(), 700, 0, 20 * MS));
    (0..4).for_each(|_| cell.record_outcome(now, old.key(), Outcome::Bad));
    cell.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut cell, now)[0].1, "e2");
    assert_eq!(cell.take_ejections().len(), 1);
    cell.set_endpoints([new.clone(), other.clone()]);
    // Neither the pace nor any failures of the earlier run apply, including those reported late.
    assert_eq!(cell.known_paces(now), [(other.key(), 20_000)]);
    (0..4).for_each(|_| cell.record_outcome(now, old.key(), Outcome::Bad));
    cell.record_slow_response(now, old.key(), now);
    enqueue(&mut cell, now, 4);
    let used = placed(&mut cell, now);
    assert!(used.iter().any(|(_, endpoint)| endpoint == "e0"), "{used:?}");
    assert_eq!(cell.take_ejections(), []);
}

#[test]
fn reports_about_an_earlier_start_are_ignored() {
    let now = Instant::now();
    let (old, new) = (endpoint_started_at(0, 1, 1000), endpoint_started_at(0, 1, 2000));
    let (mut a, mut b) =
        (cell("a", std::slice::from_ref(&old)), cell("b", std::slice::from_ref(&new)));
    a.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut a, now).len(), 1);
    (0..10).for_each(|_| a.record_first_event(now, old.key(), 700, 0, 400 * MS));
    (0..9).for_each(|_| a.record_outcome(now, old.key(), Outcome::Bad));
    b.receive_report(now, a.report(now, ReportDetail::Full), true);
    assert_eq!(b.load(now, new.key()), 0);
    assert_eq!(b.known_paces(now), []);
    b.enqueue(want(0, 100, now - REPORT_DELAY));
    assert_eq!(placed(&mut b, now).len(), 1);
    // Reports about the same run apply.
    let mut c = cell("c", std::slice::from_ref(&old));
    c.receive_report(now, a.report(now, ReportDetail::Full), true);
    assert_eq!(c.load(now, old.key()), 1);
    assert_eq!(c.known_paces(now).len(), 1);
}

#[test]
fn an_endpoint_whose_address_belongs_to_another_is_paused() {
    let now = Instant::now();
    let (absent, other) = (endpoint_started_at(0, 4, 1000), endpoint_started_at(2, 1, 1000));
    let mut cell = cell("a", &[absent.clone(), other]);
    cell.enqueue(want(0, 100, now));
    cell.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut cell, now).len(), 2);
    // One such response is enough, even if it pauses half of a service.
    cell.finish(now, absent.key(), 100, Outcome::Absent);
    assert_eq!(cell.take_ejections().len(), 1);
    cell.enqueue(want(0, 100, now));
    assert_eq!(placed(&mut cell, now), []);
    // After a pause it is probed with one request at a time.
    let later = now + Duration::from_secs(1);
    cell.enqueue(want(0, 100, later));
    let tried = placed(&mut cell, later);
    assert_eq!(tried.len(), 1);
    assert_eq!(tried[0].1, "e0");
    cell.finish(later, absent.key(), 100, Outcome::Absent);
    assert_eq!(cell.take_ejections()[0].duration, Duration::from_secs(2));
}
