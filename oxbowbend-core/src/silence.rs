//! Early suspicion of endpoints that do not respond.
//!
//! An endpoint that hangs accepts requests without answering, and waiting for each request's
//! deadline would fill its slots. An endpoint is therefore suspected as soon as a response takes
//! several times as long as expected and exceeds the objective.
//!
//! A request that can be retried is abandoned on suspicion, at the risk of discarding a late
//! answer. A request that cannot be retried, or that has no attempt left, keeps waiting while new
//! requests avoid the endpoint. A request that reaches its deadline first does not count against the
//! endpoint.

use std::time::Duration;

/// Multiple of the expected time after which an endpoint is suspected.
const EXPECTED_TIME_FACTOR: u32 = 4;
/// Minimum delay before an endpoint is suspected, to tolerate short stalls.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// What to do with a request that has no response after the suspicion delay or at its deadline,
/// whichever comes first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutAction {
    /// The request has reached its deadline.
    Fail,
    /// Abandon the request here; it may be sent to another endpoint.
    Retry,
    /// Keep waiting, and mark the endpoint as suspect.
    MarkSuspect,
}

/// Time after which an endpoint that has not responded is suspected.
pub fn delay(expected: Duration, objective: Duration) -> Duration {
    (expected * EXPECTED_TIME_FACTOR).max(objective).max(MIN_DELAY)
}

/// Decides what to do once the shorter of `suspicion_delay` and `time_left` has passed without a response.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_core::silence::{self, TimeoutAction};
///
/// let delay = silence::delay(Duration::from_millis(100), Duration::from_millis(300));
/// assert_eq!(delay, Duration::from_millis(400));
/// let action = silence::timeout_action(delay, Duration::from_secs(1), true);
/// assert_eq!(action, TimeoutAction::Retry);
/// ```
pub fn timeout_action(
    suspicion_delay: Duration,
    time_left: Duration,
    is_retryable: bool,
) -> TimeoutAction {
    if suspicion_delay >= time_left {
        TimeoutAction::Fail
    } else if is_retryable {
        TimeoutAction::Retry
    } else {
        TimeoutAction::MarkSuspect
    }
}
