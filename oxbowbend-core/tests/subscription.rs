//! Detection of stale watches: single cases, then every combination of store outage, configuration
//! change and instance failure in simulated time.

mod followers;

use std::time::{Duration, Instant};

use followers::{Outage, OutageMode, Simulation};
use oxbowbend_core::subscription::{CancelReason, Role, Subscription, WatchFailure};

const MS: Duration = Duration::from_millis(1);
/// Time within which a change must be in force.
const IN_FORCE: Duration = Duration::from_millis(2000);
/// Time after an outage from which `IN_FORCE` applies again.
const RECOVERY: Duration = Duration::from_millis(3000);

fn up_to_date(now: Instant, rank: usize) -> (Subscription, Role) {
    let mut subscription = Subscription::default();
    subscription.reset(now);
    (subscription, Role::new(rank, IN_FORCE))
}

#[test]
fn other_instances_take_over_verification_in_order_of_rank() {
    let now = Instant::now();
    for (rank, wait, expected) in [
        (0, 1200, None),
        (1, 30_000, Some(1700)),
        (2, 30_000, Some(1800)),
        (40, 30_000, Some(2400)),
    ] {
        let (mut subscription, role) = up_to_date(now, rank);
        assert_eq!(subscription.start_watch(now, role).wait, wait * MS, "rank {rank}");
        let cancelled_at =
            (0..3000).find(|ms| subscription.check_cancel(now + *ms * MS, role).is_some());
        assert_eq!(cancelled_at, expected, "rank {rank}");
        if cancelled_at.is_some() {
            assert_eq!(subscription.start_watch(now + IN_FORCE, role).wait, Duration::ZERO);
        }
    }
}

#[test]
fn confirmation_of_the_same_state_to_another_instance_counts() {
    let now = Instant::now();
    for (is_same, expected) in [(true, None), (false, Some(CancelReason::Unverified))] {
        let (mut subscription, role) = up_to_date(now, 1);
        subscription.start_watch(now, role);
        subscription.record_peer(now + 1650 * MS, now + 1600 * MS, is_same);
        assert_eq!(subscription.check_cancel(now + 1750 * MS, role), expected);
    }
}

#[test]
fn a_watch_that_missed_a_change_is_cancelled() {
    let now = Instant::now();
    let (mut subscription, role) = up_to_date(now, 1);
    subscription.start_watch(now, role);
    let mut gaps = Vec::new();
    let mut last = now + 400 * MS;
    // The difference persists although the store confirms the state each time.
    for ms in (400..12_000).step_by(20) {
        let at = now + ms * MS;
        subscription.record_peer(at, at - 10 * MS, false);
        let Some(reason) = subscription.check_cancel(at, role) else { continue };
        if reason == CancelReason::Overtaken {
            gaps.push(at - last);
            last = at;
        }
        subscription.start_watch(at, role);
        subscription.record_answer(at);
        subscription.start_watch(at, role);
    }
    assert!(gaps.len() >= 4, "{gaps:?}");
    assert!(gaps[0] >= 300 * MS && gaps[0] < 330 * MS, "{gaps:?}");
    assert!(gaps[1] < gaps[2] && gaps[2] < gaps[3], "{gaps:?}");
}

#[test]
fn an_older_state_of_another_instance_is_ignored() {
    let now = Instant::now();
    let (mut subscription, role) = up_to_date(now, 1);
    subscription.start_watch(now, role);
    for ms in 0..1500 {
        subscription.record_peer(now + ms * MS, now - 5 * MS, false);
        assert_eq!(subscription.check_cancel(now + ms * MS, role), None);
    }
}

#[test]
fn the_store_is_unavailable_after_a_refusal_or_an_unanswered_probe() {
    let now = Instant::now();
    let (mut subscription, role) = up_to_date(now, 0);
    let mut timeouts = Vec::new();
    for is_unavailable in [false, true, true, true] {
        let params = subscription.start_watch(now, role);
        timeouts.push((params.timeout - params.wait).as_millis());
        assert_eq!(subscription.record_failure(WatchFailure::Unanswered), is_unavailable);
    }
    assert_eq!(timeouts, [500, 1000, 1500, 1500]);
    let (mut subscription, role) = up_to_date(now, 0);
    subscription.start_watch(now, role);
    assert!(subscription.record_failure(WatchFailure::Refused));
}

#[test]
fn every_change_is_in_force_in_time_in_all_outages() {
    let mut combinations = 0;
    for start_ms in (0..2600).step_by(200) {
        for duration_ms in [60, 400, 1500, 5300] {
            for mode in [
                OutageMode::DropRequests,
                OutageMode::DropAnswers,
                OutageMode::DropBoth,
                OutageMode::Refuse,
            ] {
                for crash in [None, Some(0), Some(duration_ms), Some(duration_ms + 400)] {
                    for change in [
                        -60,
                        30,
                        duration_ms / 2,
                        duration_ms + 20,
                        duration_ms + 1000,
                        duration_ms + 2900,
                    ] {
                        let outage = Outage { start_ms, duration_ms, mode };
                        let mut simulation = Simulation::new(outage, crash, start_ms + change);
                        if let Err(violation) = simulation.run(IN_FORCE, RECOVERY) {
                            panic!(
                                "{outage:?}, crash at {crash:?}, change at {change}: {violation}"
                            );
                        }
                        combinations += 1;
                    }
                }
            }
        }
    }
    println!("{combinations} combinations simulated");
}
