//! Endpoints that say in an answer that they leave get nothing more from anybody, and runs there end in peace.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, placed, want, MS};
use oxbowbend_core::cell::{Cell, Extent, Origin, Outcome, Signals};
use oxbowbend_core::routes::Endpoint;

const LEAVES: Signals = Signals {
    rate_limit: oxbowbend_core::cell::Said::Nothing,
    is_draining: true,
    backoff: oxbowbend_core::cell::Said::Nothing,
};

fn hears_from(to: &mut Cell, from: &mut Cell, now: Instant) {
    to.hear(now, from.report(now, Extent::Changes), true);
}

#[test]
fn it_gets_nothing_more_and_what_runs_there_ends() {
    let now = Instant::now();
    let mut cell = cell("a", &[endpoint(0, 4), endpoint(2, 4)]);
    cell.arrive(want(0, 1, now));
    let first = placed(&mut cell, now);
    let (leaver, other) = if first[0].1 == "e0" { ("e0", "e2") } else { ("e2", "e0") };
    cell.endpoint_said(now, key(leaver), now, LEAVES);
    assert_eq!((cell.leavers(), cell.load(now, key(leaver))), (1, 1));
    assert!(!cell.may_send(now, key(leaver)) && cell.may_send(now, key(other)));
    (0..6).for_each(|_| _ = cell.arrive(want(0, 1, now)));
    let placed = placed(&mut cell, now + 20 * MS);
    assert_eq!(placed.len(), 4, "two wait");
    assert!(placed.iter().all(|(_, endpoint)| endpoint == other));
    cell.finish(now, key(leaver), 1, Outcome::Good);
    assert_eq!(cell.load(now, key(leaver)), 0);
}

#[test]
fn an_entry_is_told_like_an_answer() {
    let now = Instant::now();
    let (mut reader, mut copier) = (cell("a", &[endpoint(0, 4)]), cell("b", &[endpoint(0, 4)]));
    reader.leaves_by_entry(now, key("e0"));
    hears_from(&mut copier, &mut reader, now);
    assert!(!copier.may_send(now, key("e0")));
    assert_eq!(copier.take_leavers()[0].origin, Origin::Cell);
}

#[test]
fn all_tell_it_and_a_new_start_is_not_meant() {
    let now = Instant::now();
    let endpoints = [endpoint(0, 4)];
    let mut cells: Vec<_> = ["a", "b", "c"].map(|name| cell(name, &endpoints)).into();
    cells[0].endpoint_said(now, key("e0"), now, LEAVES);
    let (a, rest) = cells.split_at_mut(1);
    hears_from(&mut rest[0], &mut a[0], now);
    let leaver = rest[0].take_leavers()[0];
    assert_eq!((leaver.endpoint, leaver.origin), (key("e0"), Origin::Cell));
    // The first one may be gone when another one starts.
    let (b, c) = rest.split_at_mut(1);
    hears_from(&mut c[0], &mut b[0], now);
    c[0].arrive(want(0, 1, now));
    assert!(c[0].assign(now + 20 * MS).is_empty());
    assert!(!c[0].serves(&"s".into()));
    c[0].set_endpoints([Endpoint { started_at_ms: 1, ..endpoint(0, 4) }]);
    assert_eq!(c[0].assign(now + 20 * MS).len(), 1);
    // One of another cell is told on to whoever starts, if the platform lists it.
    let mut other = cell("d", &[endpoint(2, 4)]);
    for listed in [0, 1] {
        other.set_listed([key("e0")].into_iter().take(listed));
        other.hear(now + 20 * MS * listed as u32, b[0].report(now, Extent::Changes), false);
        assert_eq!(other.introduce_endpoints(now).leaving.len(), listed);
    }
    // Of one that is not listed nothing is told, and it is forgotten.
    assert!(c[0].report(now, Extent::Changes).said.leaving.is_empty());
    hears_from(&mut c[0], &mut b[0], now + 10 * MS);
    c[0].forget(now + Duration::from_secs(61));
    assert_eq!(c[0].leavers(), 0);
}
