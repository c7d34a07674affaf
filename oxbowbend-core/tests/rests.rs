//! Endpoints that ask an instance for rest get it from that instance, and are not taken for failing ones.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, placed, want, MS};
use oxbowbend_core::cell::{Cell, Outcome, Patience, ReportDetail, SignalValue, Signals};

fn asks_for_rest(cell: &mut Cell, now: Instant, name: &str, ms: u64) {
    let backoff = SignalValue::Value(Duration::from_millis(ms));
    cell.endpoint_said(now, key(name), now, Signals { backoff, ..Signals::default() });
}

fn is_used(cell: &mut Cell, now: Instant) -> bool {
    let ticket = cell.enqueue(want(0, 1, now - 20 * MS));
    let is_placed = !placed(cell, now).is_empty();
    cell.dequeue(ticket);
    if is_placed {
        cell.finish(now, key("e0"), 1, Outcome::Neutral);
    }
    is_placed
}

#[test]
fn it_gets_the_time_it_asks_for_and_no_more() {
    let now = Instant::now() + Duration::from_secs(10);
    // When it asks for how long, and until when it rests.
    for (asked, until) in [
        (&[(0, 1000)][..], 1000),
        (&[(0, 1000), (500, 1000)], 1500),
        (&[(0, 1000), (500, 100)], 1000),
        (&[(0, 0)], 0),
        (&[(0, 3_600_000)], 3_600_000),
    ] {
        let mut cell = cell("a", &[endpoint(0, 4)]);
        for (at, ms) in asked {
            asks_for_rest(&mut cell, now + MS * *at, "e0", *ms);
        }
        if until > 0 {
            assert!(!cell.may_send(now + MS * (until - 1), key("e0")), "{asked:?}");
            assert!(!is_used(&mut cell, now + MS * (until - 1)), "{asked:?}");
        }
        assert!(cell.may_send(now + MS * until, key("e0")), "{asked:?}");
        assert!(is_used(&mut cell, now + MS * until), "{asked:?}");
    }
}

#[test]
fn others_go_on_and_callers_are_told_when_it_is_over() {
    let now = Instant::now() + Duration::from_secs(10);
    let (mut a, mut b) = (cell("a", &[endpoint(0, 4)]), cell("b", &[endpoint(0, 4)]));
    asks_for_rest(&mut a, now, "e0", 1000);
    b.receive_report(now, a.report(now, ReportDetail::Full), true);
    assert!(is_used(&mut b, now) && !is_used(&mut a, now));
    let patience = Patience { objective: 100 * MS, longest: Duration::from_secs(3), spread: 0.0 };
    let told = a.refuse(now + 400 * MS, &"s".into(), 0, patience);
    assert_eq!((told.after, told.is_withheld), (600 * MS, true));
    assert!(!b.refuse(now + 400 * MS, &"s".into(), 0, patience).is_withheld);
}
