//! What requests without a place are told while there are more requests than places.

mod cells;

use std::time::{Duration, Instant};

use cells::key;
use oxbowbend_core::cell::{Cell, Outcome, Patience, Stall, Ticket, Want};
use oxbowbend_core::ids::ServiceId;
use oxbowbend_core::routes::Endpoint;

const MS: Duration = Duration::from_millis(1);
const OBJECTIVE: Duration = Duration::from_millis(300);

fn cell(slots: u32) -> Cell {
    let mut cell = Cell::new("a".into(), "z".into(), 1);
    cell.set_endpoints([Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots,
        leaving: false,
        started_at_ms: 0,
        version: "".into(),
    }]);
    cell
}

fn want(rank: u16, arrived: Instant) -> Want {
    Want {
        service: "s".into(),
        rank,
        prompt: 100,
        output: 0,
        stall: Stall::default(),
        arrived,
        objective: OBJECTIVE,
        avoid: Vec::new(),
    }
}

fn service() -> ServiceId {
    "s".into()
}

fn patience(spread: f64) -> Patience {
    Patience { objective: OBJECTIVE, longest: 4000 * MS, spread }
}

/// A request that is refused for want of a place.
fn refuse(cell: &mut Cell, now: Instant, rank: u16) -> Duration {
    let ticket = cell.arrive(want(rank, now));
    assert!(cell.assign(now).is_empty(), "a place came free");
    cell.withdraw(ticket);
    cell.refuse(now, &service(), rank, patience(0.0)).after
}

#[test]
fn where_a_rank_gets_nothing_few_wait_and_the_others_are_told_at_once() {
    let now = Instant::now();
    let mut cell = cell(1);
    cell.arrive(want(0, now));
    assert_eq!(cell.assign(now).len(), 1);
    let waiting: Vec<Ticket> = (0..3).map(|_| cell.arrive(want(1, now))).collect();
    // Nothing is known yet, so all wait.
    assert!(waiting.iter().all(|ticket| !cell.should_shed(now, *ticket)));
    for _ in 0..4 {
        refuse(&mut cell, now, 1);
    }
    let one_more = cell.arrive(want(1, now));
    assert!(cell.should_shed(now, one_more));
    cell.withdraw(one_more);
    // A more urgent one is not concerned, nor one of few.
    let urgent = cell.arrive(want(0, now));
    assert!(!cell.should_shed(now, urgent));
    cell.withdraw(urgent);
    for ticket in &waiting[1..] {
        cell.withdraw(*ticket);
    }
    assert!(!cell.should_shed(now, waiting[0]));
    // A place that comes free goes to the one that stayed.
    cell.finish(now, key("e"), 100, Outcome::Good);
    assert_eq!(cell.assign(now)[0].ticket, waiting[0]);
}

#[test]
fn refusals_of_more_than_a_second_ago_do_not_count() {
    let now = Instant::now();
    let mut cell = cell(1);
    cell.arrive(want(0, now));
    cell.assign(now);
    for _ in 0..4 {
        refuse(&mut cell, now, 1);
    }
    let later = now + 1100 * MS;
    let waiting: Vec<Ticket> = (0..4).map(|_| cell.arrive(want(1, later))).collect();
    assert!(!cell.should_shed(later, waiting[3]));
}

#[test]
fn who_will_probably_be_in_time_comes_back_soon_and_others_late() {
    let now = Instant::now();
    for (places, refused, soon) in [(9, 1, true), (5, 5, true), (2, 8, false), (0, 3, false)] {
        let mut cell = cell(places);
        for _ in 0..places {
            cell.arrive(want(1, now));
        }
        assert_eq!(cell.assign(now).len() as u32, places);
        let told = (0..refused).map(|_| refuse(&mut cell, now, 1)).last().expect("a refusal");
        let expected = if soon { OBJECTIVE.mul_f64(0.15) } else { (4000 * MS).mul_f64(0.6) };
        assert_eq!(told, expected, "{places} placed, {refused} refused");
    }
}

#[test]
fn times_to_come_back_are_spread_and_never_beyond_the_longest() {
    let now = Instant::now();
    let mut cell = cell(0);
    let at = |cell: &mut Cell, spread| cell.refuse(now, &service(), 1, patience(spread)).after;
    assert!(at(&mut cell, 0.2) < at(&mut cell, 0.7));
    assert_eq!(at(&mut cell, 1.0), 4000 * MS);
    let short = Patience { longest: 10 * MS, ..patience(1.0) };
    assert!(cell.refuse(now, &service(), 1, short).after <= 10 * MS);
}

#[test]
fn a_caller_that_has_waited_before_goes_first_while_it_can_be_in_time() {
    let now = Instant::now();
    let mut cell = cell(1);
    cell.arrive(want(0, now));
    cell.assign(now);
    let fresh = cell.arrive(want(1, now));
    let back = cell.arrive(Want { objective: OBJECTIVE - 150 * MS, ..want(1, now) });
    let late = cell.arrive(Want { objective: Duration::ZERO, ..want(1, now - MS) });
    for expected in [back, fresh, late] {
        cell.finish(now, key("e"), 100, Outcome::Good);
        assert_eq!(cell.assign(now)[0].ticket, expected);
    }
}
