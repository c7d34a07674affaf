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
//!
//! Where nothing is expected of a service, as after a start of all instances, a silence says nothing,
//! and a request waits for as long as leaves another attempt the same time.

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

/// Share of the time that is left for which a request waits where nothing is expected, and the most
/// that a wait is made longer by waits in vain.
const UNEXPECTED_SHARE: f64 = 0.5;

/// What is expected of a request at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Expectation {
    /// Expected time to the first event; `None` if nothing has been measured.
    pub first_event: Option<Duration>,
    /// How often the wait for the service has been doubled since its last answer.
    pub doublings: u32,
}

/// Time after which an endpoint that has not responded to a request with `time_left` is suspected.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_core::silence::{self, Expectation};
///
/// let (objective, left) = (Duration::from_millis(300), Duration::from_secs(4));
/// let measured = Expectation { first_event: Some(Duration::from_millis(100)), doublings: 0 };
/// assert_eq!(silence::delay(measured, objective, left), Duration::from_millis(400));
/// let in_vain = Expectation { doublings: 1, ..measured };
/// assert_eq!(silence::delay(in_vain, objective, left), Duration::from_millis(800));
/// let unmeasured = Expectation::default();
/// assert_eq!(silence::delay(unmeasured, objective, left), Duration::from_secs(2));
/// ```
pub fn delay(expectation: Expectation, objective: Duration, time_left: Duration) -> Duration {
    let most = time_left.mul_f64(UNEXPECTED_SHARE);
    let least = objective.max(MIN_DELAY);
    match expectation.first_event {
        Some(expected) => {
            let delay = (expected * EXPECTED_TIME_FACTOR).max(least);
            delay.max(most.min(delay * (1 << expectation.doublings.min(8))))
        }
        None => most.max(least),
    }
}

/// Time between two looks at what is expected, while a request waits. What others learn meanwhile
/// changes for how long it waits.
pub fn look_interval(objective: Duration) -> Duration {
    objective.max(MIN_DELAY)
}

/// Decides what to do once the shorter of `suspicion_delay` and `time_left` has passed without a response.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_core::silence::{self, TimeoutAction};
///
/// let action = silence::timeout_action(Duration::from_millis(400), Duration::from_secs(1), true);
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
