//! Age estimates of requests from the remaining timeout.

use std::time::Duration;

use oxbowbend_core::ages::AgeEstimator;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_age_is_the_used_part_of_the_initial_timeout() {
    let s = Duration::from_secs;
    for (remaining, age) in [
        (Some(s(12)), s(0)),
        (Some(s(12) - 5 * MS), s(0)),
        (Some(s(12) - 400 * MS), 400 * MS),
        (Some(s(8)), s(4)),
        // Too long for a retry; the caller started with a shorter timeout.
        (Some(s(2)), s(0)),
        (None, s(0)),
    ] {
        let mut estimator = AgeEstimator::default();
        estimator.estimate("r", Some(s(12)), s(12));
        assert_eq!(estimator.estimate("r", remaining, s(12)), age, "{remaining:?} remaining");
    }
}

#[test]
fn an_unusually_long_timeout_does_not_raise_the_initial_timeout() {
    let mut estimator = AgeEstimator::default();
    estimator.estimate("r", Some(Duration::from_secs(3600)), Duration::from_secs(12));
    assert_eq!(
        estimator.estimate("r", Some(Duration::from_secs(12)), Duration::from_secs(12)),
        Duration::ZERO
    );
}
