//! Suspicion of endpoints that do not respond.

use std::time::Duration;

use oxbowbend_core::silence::{self, TimeoutAction};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_request_at_its_deadline_does_not_blame_its_endpoint() {
    // Expected time to the first event, objective, time left, whether the request can be retried.
    for (expected, objective, time_left, is_retryable, action) in [
        (50, 300, 2000, true, TimeoutAction::Retry),
        (50, 300, 2000, false, TimeoutAction::MarkSuspect),
        (50, 300, 300, true, TimeoutAction::Fail),
        (50, 300, 200, false, TimeoutAction::Fail),
        (600, 300, 2400, false, TimeoutAction::Fail),
        (600, 300, 2401, false, TimeoutAction::MarkSuspect),
        (1, 1, 251, true, TimeoutAction::Retry),
        (1, 1, 250, true, TimeoutAction::Fail),
    ] {
        let delay = silence::delay(expected * MS, objective * MS);
        let case = format!("{expected} {objective} {time_left} {is_retryable}");
        assert_eq!(silence::timeout_action(delay, time_left * MS, is_retryable), action, "{case}");
    }
}
