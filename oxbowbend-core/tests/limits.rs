//! Rate limits set by endpoints: all instances together stay within the bound and use most of the
//! limit.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, want, MS};
use oxbowbend_core::cell::{Cell, Origin, Outcome, ReportDetail, SignalValue, Signals};
use oxbowbend_core::ids::InstanceId;
use rand::{Rng, SeedableRng};

/// Maximum number of requests in any window of 4 s.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

fn names(n: usize) -> Vec<InstanceId> {
    (0..n).map(|i| format!("i{i}").as_str().into()).collect()
}

/// Returns an instance of a fleet whose endpoints belong to all cells.
fn instance(n: usize, all: &[InstanceId]) -> Cell {
    let mut cell = cell(&all[n], &[endpoint(0, 1000)]);
    cell.set_sharing_instances(all.iter().take(12), all.iter(), ["s".into()].into());
    cell
}

fn limit_signal(limit: Option<f64>) -> Signals {
    Signals {
        rate_limit: limit.map_or(SignalValue::Nothing, SignalValue::Value),
        ..Signals::default()
    }
}

/// Sends as many requests as allowed, up to `max_sent`, and returns their number.
fn send_all(cell: &mut Cell, now: Instant, max_sent: usize) -> usize {
    let tickets: Vec<_> = (0..max_sent).map(|_| cell.enqueue(want(0, 1, now - 20 * MS))).collect();
    let sent = cell.assign(now).len();
    tickets.into_iter().for_each(|ticket| _ = cell.dequeue(ticket));
    (0..sent).for_each(|_| cell.finish(now, key("e0"), 1, Outcome::Good));
    sent
}

/// Returns the maximum number of requests in any window of 4 s.
fn max_in_window(sent: &[(Duration, usize)]) -> usize {
    let window = Duration::from_secs(4);
    let sum = |from: Duration| {
        let within = sent.iter().filter(|(at, _)| *at >= from && *at < from + window);
        within.map(|(_, n)| n).sum()
    };
    sent.iter().map(|(from, _)| sum(*from)).max().unwrap_or(0)
}

#[test]
fn fleets_of_all_sizes_respect_and_use_a_limit() {
    for n in [1, 7, 13, 74, 295] {
        for limit in [0.0, 0.5, 1.5, 5.0, 20.0, 50.0] {
            let all = names(n);
            let start = Instant::now() + Duration::from_secs(60);
            let mut cells: Vec<_> = (0..n).map(|i| instance(i, &all)).collect();
            // Instances learn of the limit one after the other.
            for (i, cell) in cells.iter_mut().enumerate() {
                let heard = start + 2000 * MS * i as u32 / n as u32;
                cell.apply_signals(heard, key("e0"), heard, limit_signal(Some(limit)));
            }
            // With a limit of 0, occasional requests probe whether it has ended.
            let length = Duration::from_secs(if limit > 0.0 { 14 } else { 40 });
            let mut sent = Vec::new();
            let mut at = 2000 * MS;
            while at < length {
                let now = start + at;
                sent.push((at, cells.iter_mut().map(|cell| send_all(cell, now, 8)).sum::<usize>()));
                at += 100 * MS;
            }
            let max_sent = max_in_window(&sent);
            let steady = sent.iter().filter(|(at, _)| *at >= 6000 * MS).map(|(_, n)| n);
            let steady = steady.sum::<usize>();
            let used = steady as f64 / (8.0 * limit);
            println!(
                "{n} instances, {limit} per second: {max_sent} of {} in 4 s, used {used:.2}",
                allowed(limit)
            );
            assert!(
                max_sent as f64 <= allowed(limit),
                "{n} instances, {limit} per second: {max_sent} in 4 s"
            );
            let is_used = if limit > 0.0 { used >= 0.7 } else { steady > 0 };
            assert!(is_used, "{n} instances, {limit} per second: only {steady} sent");
        }
    }
}

/// Guards against losing the shares of idle instances: requests arrive at random at three times the
/// limit, spread over all instances.
#[test]
fn most_of_a_limit_is_used_where_each_instance_has_few_requests() {
    let (mut rng, mut unused) = (rand_pcg::Pcg64::seed_from_u64(74), Vec::new());
    for n in [7, 74, 295] {
        for limit in [1.5, 20.0, 50.0] {
            let all = names(n);
            let start = Instant::now() + Duration::from_secs(60);
            let mut cells: Vec<_> = (0..n).map(|i| instance(i, &all)).collect();
            for cell in &mut cells {
                cell.apply_signals(start, key("e0"), start, limit_signal(Some(limit)));
            }
            let chance = 3.0 * limit / n as f64 * 0.1;
            let mut sent = Vec::new();
            for step in 0..200 {
                let at = 100 * MS * step;
                let mut wanted = || usize::from(rng.random_bool(f64::min(chance, 1.0)));
                let all = cells.iter_mut().map(|cell| send_all(cell, start + at, wanted()));
                sent.push((at, all.sum::<usize>()));
            }
            let max_sent = max_in_window(&sent);
            let used = sent.iter().map(|(_, n)| n).sum::<usize>() as f64 / (20.0 * limit);
            println!(
                "{n} instances, {limit} per second, few requests each: {max_sent} in 4 s, used {used:.2}"
            );
            assert!(
                max_sent as f64 <= allowed(limit),
                "{n} instances, {limit} per second: {max_sent} in 4 s"
            );
            if used < 0.5 {
                unused.push(format!("{n} instances, {limit} per second: {used:.2} used"));
            }
        }
    }
    assert!(unused.is_empty(), "{}", unused.join("; "));
}

#[test]
fn bound_holds_after_an_idle_period() {
    for n in [3, 7, 74, 295] {
        for limit in [0.5, 1.5, 5.0, 20.0] {
            let all = names(n);
            let start = Instant::now() + Duration::from_secs(60);
            let mut cells: Vec<_> = (0..n).map(|i| instance(i, &all)).collect();
            for cell in &mut cells {
                cell.apply_signals(start, key("e0"), start, limit_signal(Some(limit)));
            }
            // A minute without requests, then many at all instances.
            let mut sent = Vec::new();
            for step in 0..45 {
                let at = Duration::from_secs(60) + 100 * MS * step;
                let now = start + at;
                sent.push((
                    at,
                    cells.iter_mut().map(|cell| send_all(cell, now, 100)).sum::<usize>(),
                ));
            }
            let max_sent = max_in_window(&sent);
            assert!(
                max_sent as f64 <= allowed(limit),
                "{n} instances, {limit} per second: {max_sent} in 4 s"
            );
        }
    }
}

#[test]
fn stricter_limit_applies_at_once_and_looser_only_from_a_later_request() {
    let now = Instant::now() + Duration::from_secs(60);
    let at = |ms: u64| now + Duration::from_millis(ms);
    // Times in milliseconds at which each request was sent and answered, the limit in the response,
    // and the limit known in the end.
    for (responses, expected) in [
        (&[(0, 10, Some(2.0)), (5, 20, Some(1.0))][..], Some(1.0)),
        (&[(0, 10, Some(1.0)), (5, 20, Some(2.0))], Some(1.0)),
        (&[(0, 10, Some(1.0)), (11, 20, Some(2.0))], Some(2.0)),
        (&[(0, 10, Some(1.0)), (5, 20, None)], Some(1.0)),
        (&[(0, 10, Some(1.0)), (11, 20, None)], None),
        (&[(0, 10, Some(1.0)), (11, 20, None), (12, 30, Some(1.0))], Some(1.0)),
    ] {
        let mut cell = instance(0, &names(1));
        for (sent, answered, limit) in responses {
            cell.apply_signals(at(*answered), key("e0"), at(*sent), limit_signal(*limit));
        }
        let known_limit = cell.take_limit_changes().last().and_then(|change| change.per_s);
        assert_eq!(known_limit, expected, "{responses:?}");
    }
    let mut cell = instance(0, &names(1));
    cell.apply_signals(at(0), key("e0"), at(0), limit_signal(Some(1.0)));
    let unreadable = Signals { rate_limit: SignalValue::Unreadable, ..Signals::default() };
    cell.apply_signals(at(20), key("e0"), at(10), unreadable);
    assert_eq!(cell.limited_count(), 1, "an unreadable limit does not end the known one");
}

#[test]
fn limits_and_their_removal_propagate_between_instances() {
    let all = names(2);
    let now = Instant::now() + Duration::from_secs(60);
    let (mut a, mut b) = (instance(0, &all), instance(1, &all));
    a.apply_signals(now, key("e0"), now, limit_signal(Some(1.0)));
    b.receive_report(now + 50 * MS, a.report(now + 40 * MS, ReportDetail::Changes), true);
    let change = b.take_limit_changes()[0];
    assert_eq!((change.per_s, change.origin, change.age), (Some(1.0), Origin::Cell, 40 * MS));
    // A limit learned from the cell is not reported back to it.
    assert!(b.report(now + 60 * MS, ReportDetail::Changes).endpoint_notices.limits.is_empty());
    assert_eq!(b.signals_for_other_cells(now + 60 * MS).limits.len(), 1);
    b.apply_signals(now + 200 * MS, key("e0"), now + 100 * MS, limit_signal(None));
    a.receive_report(now + 250 * MS, b.report(now + 240 * MS, ReportDetail::Changes), true);
    assert_eq!((a.limited_count(), b.limited_count()), (0, 0));
    // An older report does not restore the limit.
    let mut late = a.report(now + 260 * MS, ReportDetail::Changes);
    late.endpoint_notices.limits = vec![oxbowbend_core::cell::ReportedLimit {
        endpoint: key("e0"),
        per_s: Some(1.0),
        age_ms: 300,
    }];
    b.receive_report(now + 270 * MS, late, true);
    assert_eq!(b.limited_count(), 0);
}

#[test]
fn requests_use_other_endpoints_or_get_a_retry_delay() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut cell = cell("i0", &[endpoint(0, 4), endpoint(2, 4)]);
    cell.apply_signals(now, key("e0"), now, limit_signal(Some(0.5)));
    let later = now + 20 * MS;
    (0..10).for_each(|_| _ = cell.enqueue(want(0, 1, now)));
    let placed = cell.assign(later);
    let at_limited = placed.iter().filter(|a| &*a.endpoint.id == "e0").count();
    assert!(at_limited <= 4, "{at_limited} at once");
    assert!(placed.len() - at_limited == 4, "the other one fills all of its slots");
    assert_eq!(cell.available_in(later, &"s".into()), None, "the other one is not throttled");
    cell.apply_signals(now, key("e2"), now, limit_signal(Some(0.5)));
    while !cell.assign(later).is_empty() {
        (0..4).for_each(|_| cell.finish(later, key("e0"), 1, Outcome::Good));
        (0..4).for_each(|_| cell.finish(later, key("e2"), 1, Outcome::Good));
        (0..10).for_each(|_| _ = cell.enqueue(want(0, 1, now)));
    }
    let available_in = cell.available_in(later, &"s".into()).expect("both are throttled");
    assert!(
        available_in > Duration::ZERO && available_in <= Duration::from_secs(2),
        "{available_in:?}"
    );
}
