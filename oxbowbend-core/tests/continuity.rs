//! What an instance that was suspended concludes from not having heard of the others.

use std::time::{Duration, Instant};

use oxbowbend_core::admission::AdmissionController;
use oxbowbend_core::continuity::{Continuity, CATCH_UP_TIME, MAX_GAP};
use oxbowbend_core::quota::QuotaPolicy;
use oxbowbend_core::rollout::{RolloutLimits, RolloutSpec, Rollouts, Status};
use oxbowbend_core::routes::{Endpoint, Quota};

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
const POLICY: QuotaPolicy =
    QuotaPolicy { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 };
const QUOTA: Quota = Quota { per_s: 100.0, burst: 200.0 };

/// Guards against an instance that relies on what it had heard before a suspension, and against one that takes late
/// timers of a busy machine for a suspension, which would hold requests up.
#[test]
fn a_suspension_is_noticed_by_the_first_step_after_it_only() {
    for (gap, is_suspension) in [
        (75 * MS, false),
        (MAX_GAP - MS, false),
        (MAX_GAP, true),
        (Duration::from_secs(3), true),
        (Duration::from_secs(3600), true),
    ] {
        let start = Instant::now();
        let mut continuity = Continuity::new(start);
        let resumed = start + gap;
        assert_eq!(continuity.record_step(resumed).is_some(), is_suspension, "{gap:?}");
        assert_eq!(continuity.record_step(resumed), None, "{gap:?}");
        assert_eq!(continuity.catch_up_left(resumed).is_some(), is_suspension, "{gap:?}");
        let then = resumed + CATCH_UP_TIME - MS;
        assert_eq!(continuity.catch_up_left(then).is_some(), is_suspension, "{gap:?}");
        assert_eq!(continuity.catch_up_left(resumed + CATCH_UP_TIME), None, "{gap:?}");
    }
}

/// Guards against a step whose time was taken before another one's: it is no gap and ends no catching up.
#[test]
fn steps_out_of_order_neither_begin_nor_end_a_suspension() {
    let start = Instant::now();
    let mut continuity = Continuity::new(start);
    let resumed = start + Duration::from_secs(2);
    assert!(continuity.record_step(resumed).is_some());
    assert_eq!(continuity.record_step(start + 10 * MS), None);
    assert_eq!(continuity.record_step(resumed + MS), None);
    assert!(continuity.catch_up_left(resumed + MS).is_some());
}

/// Units that an instance which was suspended admits at once, of an account that used `per_s` at the others meanwhile.
/// Until it hears them, it hears a quarter of the fleet.
fn admitted_after(suspended_for: Duration, per_s: f64) -> usize {
    let start = Instant::now() + Duration::from_secs(60);
    let mut admission = AdmissionController::new(POLICY);
    admission.configure([(&"a".into(), QUOTA)]);
    assert!(admission.admit(start, "a", 1, 0).is_ok());
    let now = start + suspended_for;
    admission.resume(now);
    admission.set_reachable_share(0.25);
    admission.record_remote(now, "a", per_s * suspended_for.as_secs_f64(), true);
    admission.set_reachable_share(1.0);
    (0..1000).filter(|_| admission.admit(now, "a", 1, 0).is_ok()).count()
}

/// Guards against buckets that refill for the time of a suspension by the small part of the fleet that is heard right
/// after it, and are then charged all that the others admitted: accounts within their quota were refused.
#[test]
fn an_account_within_its_rate_finds_its_burst_after_a_suspension() {
    for (suspended_for, per_s, least, most) in [
        (2 * S, 0.0, 200, 200),
        (2 * S, 50.0, 200, 200),
        (3 * S, 60.0, 200, 200),
        // Others have used half of what it may use at once, or all.
        (2 * S, 150.0, 99, 99),
        (2 * S, 200.0, 0, 0),
    ] {
        let admitted = admitted_after(suspended_for, per_s);
        assert!(
            (least..=most).contains(&admitted),
            "{admitted} units after {suspended_for:?}, {per_s} used per second"
        );
    }
}

/// A roll-out of 20 s in which all requests have moved to the new version 15 s after its start.
fn shifted(start: Instant, is_fleet_heard: bool) -> Rollouts {
    let endpoint = |id: &str, version: &str| Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 4,
        leaving: false,
        started_at_ms: 0,
        version: version.into(),
    };
    let mut rollouts = Rollouts::new(RolloutLimits { max_candidate_share: 0.1 });
    let spec = RolloutSpec { service: "s".into(), destination: "2".into(), duration: 20 * S };
    rollouts.start(start, spec, 4 * S);
    rollouts.set_endpoints(start, &[endpoint("a", "1"), endpoint("b", "2")]);
    rollouts.set_fleet_heard(is_fleet_heard);
    // The first step after 14.5 s moves the requests, the next one finds nothing at the version before.
    rollouts.advance(start + 15 * S - MS);
    rollouts.advance(start + 15 * S);
    rollouts
}

fn is_complete(rollouts: &Rollouts, now: Instant) -> bool {
    rollouts.due_status_writes(now).iter().any(|(_, status)| *status == Status::Complete)
}

/// Guards against an instance that is cut off from others and takes their silence for the end of their requests at the
/// version before, which the platform then stops under them.
#[test]
fn a_rollout_completes_early_only_where_the_whole_fleet_is_heard() {
    for (is_fleet_heard, completes_after) in [(true, 16 * S), (false, 18 * S + 500 * MS)] {
        let start = Instant::now();
        let mut rollouts = shifted(start, is_fleet_heard);
        let first = (15_000..20_000).step_by(25).find(|ms| {
            let now = start + Duration::from_millis(*ms);
            rollouts.advance(now);
            is_complete(&rollouts, now)
        });
        let first = first.map(Duration::from_millis);
        assert_eq!(first, Some(completes_after), "whole fleet heard: {is_fleet_heard}");
    }
}

/// Guards against a second that was slept through and counts as one in which nobody told of a request there.
#[test]
fn a_suspension_is_no_silence_of_the_version_before() {
    let start = Instant::now();
    let mut rollouts = shifted(start, true);
    let resumed = start + 17 * S;
    rollouts.resume();
    assert!(!is_complete(&rollouts, resumed));
    rollouts.advance(resumed);
    assert!(!is_complete(&rollouts, resumed + 900 * MS));
    assert!(is_complete(&rollouts, resumed + S));
}
