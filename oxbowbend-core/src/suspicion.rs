//! What an endpoint's silence says of it, before the request runs out of time.
//!
//! The load that this answers: endpoints that have gone dark take requests on and answer nothing. Waiting for
//! each request's own deadline fills their slots meanwhile. So an endpoint is suspected once it takes several
//! times as long as expected, and as the objective allows.
//!
//! What was traded: a request that may be repeated is given up on a suspicion, so an answer that would have come
//! late costs a repeat. One that may not be repeated waits on; only others are kept away. A request whose time
//! runs out first says nothing of its endpoint.

use std::time::Duration;

/// Times the expected time after which an endpoint that has not begun is suspected.
const EXPECTED_TIME_FACTOR: u32 = 4;
/// Least time before that, so that a short stall of either side is no suspicion.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// What to do about a request that its endpoint has not begun to answer when the earlier of the suspicion and
/// the request's limit has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeoutAction {
    /// The request has run out of time.
    Fail,
    /// The request is given up here and may be sent elsewhere.
    Retry,
    /// The request waits on; those that follow avoid the endpoint.
    MarkSuspect,
}

/// Time after which an endpoint is suspected.
pub fn delay(expected: Duration, objective: Duration) -> Duration {
    (expected * EXPECTED_TIME_FACTOR).max(objective).max(MIN_DELAY)
}

/// Judges a silence that has lasted for the shorter of both times.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_core::suspicion::{self, TimeoutAction};
///
/// let delay = suspicion::delay(Duration::from_millis(100), Duration::from_millis(300));
/// assert_eq!(delay, Duration::from_millis(400));
/// assert_eq!(suspicion::timeout_action(delay, Duration::from_secs(1), true), TimeoutAction::Retry);
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
