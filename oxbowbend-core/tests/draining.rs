//! Draining endpoints get no new requests from any instance, and running ones finish.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, placed, want, MS};
use oxbowbend_core::cell::{Cell, Origin, Outcome, ReportDetail, Signals};
use oxbowbend_core::routes::Endpoint;

const DRAINING: Signals = Signals {
    rate_limit: oxbowbend_core::cell::SignalValue::Nothing,
    is_draining: true,
    backoff: oxbowbend_core::cell::SignalValue::Nothing,
    rejection_tolerance: oxbowbend_core::cell::SignalValue::Nothing,
    is_rejection: false,
};

fn deliver_report(to: &mut Cell, from: &mut Cell, now: Instant) {
    to.receive_report(now, from.report(now, ReportDetail::Changes), true);
}

#[test]
fn draining_endpoint_gets_no_new_requests_and_finishes_running_ones() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    cell.enqueue(want(0, 1, now));
    let first = placed(&mut cell, now);
    let (draining, other) = if first[0].1 == "e0" { ("e0", "e2") } else { ("e2", "e0") };
    cell.apply_signals(now, key(draining), now, DRAINING);
    assert_eq!((cell.draining_count(), cell.load(now, key(draining))), (1, 1));
    assert!(!cell.may_send(now, key(draining)) && cell.may_send(now, key(other)));
    (0..6).for_each(|_| _ = cell.enqueue(want(0, 1, now)));
    let placed = placed(&mut cell, now + 20 * MS);
    assert_eq!(placed.len(), 4, "two requests wait");
    assert!(placed.iter().all(|(_, endpoint)| endpoint == other));
    cell.finish(now, key(draining), 1, Outcome::Good);
    assert_eq!(cell.load(now, key(draining)), 0);
}

#[test]
fn draining_entry_is_reported_like_a_response() {
    let now = Instant::now();
    let (mut reader, mut follower) = (cell("a", &[endpoint(0, 4)]), cell("b", &[endpoint(0, 4)]));
    reader.mark_draining(now, key("e0"));
    deliver_report(&mut follower, &mut reader, now);
    assert!(!follower.may_send(now, key("e0")));
    assert_eq!(follower.take_drain_notices()[0].origin, Origin::Cell);
}

#[test]
fn draining_is_relayed_and_does_not_apply_to_a_restarted_endpoint() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 4)];
    let mut cells: Vec<_> = ["a", "b", "c"].map(|name| cell(name, &endpoints)).into();
    cells[0].apply_signals(now, key("e0"), now, DRAINING);
    let (a, rest) = cells.split_at_mut(1);
    deliver_report(&mut rest[0], &mut a[0], now);
    let notice = rest[0].take_drain_notices()[0];
    assert_eq!((notice.endpoint, notice.origin), (key("e0"), Origin::Cell));
    // A third instance learns it from the second one.
    let (b, c) = rest.split_at_mut(1);
    deliver_report(&mut c[0], &mut b[0], now);
    c[0].enqueue(want(0, 1, now));
    assert!(c[0].assign(now + 20 * MS).is_empty());
    assert!(!c[0].serves(&"s".into()));
    c[0].set_endpoints([Endpoint { started_at_ms: 1, ..endpoint(0, 4) }]);
    assert_eq!(c[0].assign(now + 20 * MS).len(), 1);
    // A draining endpoint of another cell is passed on to new instances only if it is listed.
    let mut other = cell("d", &[endpoint(2, 4)]);
    for listed in [0, 1] {
        other.set_listed_endpoints([key("e0")].into_iter().take(listed));
        other.receive_report(
            now + 20 * MS * listed as u32,
            b[0].report(now, ReportDetail::Changes),
            false,
        );
        assert_eq!(other.signals_for_new_instance(now).leaving.len(), listed);
    }
    // An unlisted endpoint is not reported, and is forgotten.
    assert!(c[0].report(now, ReportDetail::Changes).endpoint_notices.leaving.is_empty());
    deliver_report(&mut c[0], &mut b[0], now + 10 * MS);
    c[0].expire_peers(now + Duration::from_secs(61));
    assert_eq!(c[0].draining_count(), 0);
}
