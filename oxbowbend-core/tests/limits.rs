//! Limits that endpoints name: what all instances together send stays within the users' bound, and uses the limit.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, want, MS};
use oxbowbend_core::cell::{Cell, Origin, Outcome, ReportDetail, SignalValue, Signals};
use oxbowbend_core::ids::InstanceId;
use rand::{Rng, SeedableRng};

/// What the users allow in any 4 s, in requests: half as much again as the limit, and five.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

fn names(n: usize) -> Vec<InstanceId> {
    (0..n).map(|i| format!("i{i}").as_str().into()).collect()
}

/// An instance of a fleet whose endpoints belong to all.
fn instance(n: usize, all: &[InstanceId]) -> Cell {
    let mut cell = cell(&all[n], &[endpoint(0, 1000)]);
    cell.set_sharers(all.iter().take(12), all.iter(), ["s".into()].into());
    cell
}

fn says(limit: Option<f64>) -> Signals {
    Signals {
        rate_limit: limit.map_or(SignalValue::Nothing, SignalValue::Value),
        ..Signals::default()
    }
}

/// Sends all that may be sent, up to `most`; returns how many.
fn press(cell: &mut Cell, now: Instant, most: usize) -> usize {
    let tickets: Vec<_> = (0..most).map(|_| cell.enqueue(want(0, 1, now - 20 * MS))).collect();
    let sent = cell.assign(now).len();
    tickets.into_iter().for_each(|ticket| _ = cell.dequeue(ticket));
    (0..sent).for_each(|_| cell.finish(now, key("e0"), 1, Outcome::Good));
    sent
}

/// The most that there is in any 4 s.
fn most_in_window(sent: &[(Duration, usize)]) -> usize {
    let window = Duration::from_secs(4);
    let sum = |from: Duration| {
        let within = sent.iter().filter(|(at, _)| *at >= from && *at < from + window);
        within.map(|(_, n)| n).sum()
    };
    sent.iter().map(|(from, _)| sum(*from)).max().unwrap_or(0)
}

#[test]
fn fleets_of_all_sizes_keep_a_limit_and_use_it() {
    for n in [1, 7, 13, 74, 295] {
        for limit in [0.0, 0.5, 1.5, 5.0, 20.0, 50.0] {
            let all = names(n);
            let start = Instant::now() + Duration::from_secs(60);
            let mut cells: Vec<_> = (0..n).map(|i| instance(i, &all)).collect();
            // They hear of it one after the other.
            for (i, cell) in cells.iter_mut().enumerate() {
                let heard = start + 2000 * MS * i as u32 / n as u32;
                cell.endpoint_said(heard, key("e0"), heard, says(Some(limit)));
            }
            // A limit of 0 is tried now and then, so that its end is heard of.
            let length = Duration::from_secs(if limit > 0.0 { 14 } else { 40 });
            let mut sent = Vec::new();
            let mut at = 2000 * MS;
            while at < length {
                let now = start + at;
                sent.push((at, cells.iter_mut().map(|cell| press(cell, now, 8)).sum::<usize>()));
                at += 100 * MS;
            }
            let most = most_in_window(&sent);
            let steady = sent.iter().filter(|(at, _)| *at >= 6000 * MS).map(|(_, n)| n);
            let steady = steady.sum::<usize>();
            let used = steady as f64 / (8.0 * limit);
            println!(
                "{n} instances, {limit} a second: {most} of {} in 4 s, used {used:.2}",
                allowed(limit)
            );
            assert!(
                most as f64 <= allowed(limit),
                "{n} instances, {limit} a second: {most} in 4 s"
            );
            let is_used = if limit > 0.0 { used >= 0.7 } else { steady > 0 };
            assert!(is_used, "{n} instances, {limit} a second: only {steady} sent");
        }
    }
}

/// Requests come at random, three times as many as the limit in all, spread over the instances: of an instance without one its part is not used.
#[test]
fn most_of_a_limit_is_used_where_each_instance_has_few_requests() {
    let (mut rng, mut unused) = (rand_pcg::Pcg64::seed_from_u64(74), Vec::new());
    for n in [7, 74, 295] {
        for limit in [1.5, 20.0, 50.0] {
            let all = names(n);
            let start = Instant::now() + Duration::from_secs(60);
            let mut cells: Vec<_> = (0..n).map(|i| instance(i, &all)).collect();
            for cell in &mut cells {
                cell.endpoint_said(start, key("e0"), start, says(Some(limit)));
            }
            let chance = 3.0 * limit / n as f64 * 0.1;
            let mut sent = Vec::new();
            for step in 0..200 {
                let at = 100 * MS * step;
                let mut wanted = || usize::from(rng.random_bool(f64::min(chance, 1.0)));
                let all = cells.iter_mut().map(|cell| press(cell, start + at, wanted()));
                sent.push((at, all.sum::<usize>()));
            }
            let most = most_in_window(&sent);
            let used = sent.iter().map(|(_, n)| n).sum::<usize>() as f64 / (20.0 * limit);
            println!(
                "{n} instances, {limit} a second, few requests each: {most} in 4 s, used {used:.2}"
            );
            assert!(
                most as f64 <= allowed(limit),
                "{n} instances, {limit} a second: {most} in 4 s"
            );
            if used < 0.5 {
                unused.push(format!("{n} instances, {limit} a second: {used:.2} used"));
            }
        }
    }
    assert!(unused.is_empty(), "{}", unused.join("; "));
}

#[test]
fn the_bound_holds_whatever_is_saved_up() {
    for n in [3, 7, 74, 295] {
        for limit in [0.5, 1.5, 5.0, 20.0] {
            let all = names(n);
            let start = Instant::now() + Duration::from_secs(60);
            let mut cells: Vec<_> = (0..n).map(|i| instance(i, &all)).collect();
            for cell in &mut cells {
                cell.endpoint_said(start, key("e0"), start, says(Some(limit)));
            }
            // Nobody has a request for a minute, then all have many.
            let mut sent = Vec::new();
            for step in 0..45 {
                let at = Duration::from_secs(60) + 100 * MS * step;
                let now = start + at;
                sent.push((at, cells.iter_mut().map(|cell| press(cell, now, 100)).sum::<usize>()));
            }
            let most = most_in_window(&sent);
            assert!(
                most as f64 <= allowed(limit),
                "{n} instances, {limit} a second: {most} in 4 s"
            );
        }
    }
}

#[test]
fn what_is_stricter_holds_at_once_and_what_is_looser_from_a_later_request() {
    let now = Instant::now() + Duration::from_secs(60);
    let at = |ms: u64| now + Duration::from_millis(ms);
    // When each request was sent and answered, what the answer says, and what is believed then.
    for (answers, expected) in [
        (&[(0, 10, Some(2.0)), (5, 20, Some(1.0))][..], Some(1.0)),
        (&[(0, 10, Some(1.0)), (5, 20, Some(2.0))], Some(1.0)),
        (&[(0, 10, Some(1.0)), (11, 20, Some(2.0))], Some(2.0)),
        (&[(0, 10, Some(1.0)), (5, 20, None)], Some(1.0)),
        (&[(0, 10, Some(1.0)), (11, 20, None)], None),
        (&[(0, 10, Some(1.0)), (11, 20, None), (12, 30, Some(1.0))], Some(1.0)),
    ] {
        let mut cell = instance(0, &names(1));
        for (sent, answered, limit) in answers {
            cell.endpoint_said(at(*answered), key("e0"), at(*sent), says(*limit));
        }
        let believed = cell.take_limit_changes().last().and_then(|change| change.per_s);
        assert_eq!(believed, expected, "{answers:?}");
    }
    let mut cell = instance(0, &names(1));
    cell.endpoint_said(at(0), key("e0"), at(0), says(Some(1.0)));
    let unreadable = Signals { rate_limit: SignalValue::Unreadable, ..Signals::default() };
    cell.endpoint_said(at(20), key("e0"), at(10), unreadable);
    assert_eq!(cell.limited(), 1, "what cannot be read ends no limit");
}

#[test]
fn an_instance_knows_from_others_and_others_know_the_end() {
    let all = names(2);
    let now = Instant::now() + Duration::from_secs(60);
    let (mut a, mut b) = (instance(0, &all), instance(1, &all));
    a.endpoint_said(now, key("e0"), now, says(Some(1.0)));
    b.receive_report(now + 50 * MS, a.report(now + 40 * MS, ReportDetail::Changes), true);
    let change = b.take_limit_changes()[0];
    assert_eq!((change.per_s, change.origin, change.age), (Some(1.0), Origin::Cell, 40 * MS));
    // What it was told it tells nobody of its cell.
    assert!(b.report(now + 60 * MS, ReportDetail::Changes).endpoint_notices.limits.is_empty());
    assert_eq!(b.tell_others_of_endpoints(now + 60 * MS).limits.len(), 1);
    b.endpoint_said(now + 200 * MS, key("e0"), now + 100 * MS, says(None));
    a.receive_report(now + 250 * MS, b.report(now + 240 * MS, ReportDetail::Changes), true);
    assert_eq!((a.limited(), b.limited()), (0, 0));
    // An old word does not bring it back.
    let mut late = a.report(now + 260 * MS, ReportDetail::Changes);
    late.endpoint_notices.limits = vec![oxbowbend_core::cell::ToldLimit {
        endpoint: key("e0"),
        per_s: Some(1.0),
        age_ms: 300,
    }];
    b.receive_report(now + 270 * MS, late, true);
    assert_eq!(b.limited(), 0);
}

#[test]
fn requests_go_to_others_or_are_told_when_to_come_back() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut cell = cell("i0", &[endpoint(0, 4), endpoint(2, 4)]);
    cell.endpoint_said(now, key("e0"), now, says(Some(0.5)));
    let later = now + 20 * MS;
    (0..10).for_each(|_| _ = cell.enqueue(want(0, 1, now)));
    let placed = cell.assign(later);
    let at_limited = placed.iter().filter(|a| &*a.endpoint.id == "e0").count();
    assert!(at_limited <= 4, "{at_limited} at once");
    assert!(placed.len() - at_limited == 4, "the other one takes all that it has room for");
    assert_eq!(cell.opens_in(later, &"s".into()), None, "the other one wants any number");
    cell.endpoint_said(now, key("e2"), now, says(Some(0.5)));
    while !cell.assign(later).is_empty() {
        (0..4).for_each(|_| cell.finish(later, key("e0"), 1, Outcome::Good));
        (0..4).for_each(|_| cell.finish(later, key("e2"), 1, Outcome::Good));
        (0..10).for_each(|_| _ = cell.enqueue(want(0, 1, now)));
    }
    let opens_in = cell.opens_in(later, &"s".into()).expect("both want none");
    assert!(opens_in > Duration::ZERO && opens_in <= Duration::from_secs(2), "{opens_in:?}");
}
