//! Admission of requests during a graceful shutdown.
//!
//! In a rolling restart, all instances of a fleet or an availability zone may be shutting down at
//! the same time. If too few others are ready, an instance therefore keeps admitting requests that
//! are certain to complete before its deadline, and refuses the rest at once as not run. If enough
//! others are ready, it admits no more requests and exits after its last response. An instance
//! without ready peers that keeps receiving requests stays until the end of its grace period.
//!
//! The rule is the same for every way that a request can take: to an endpoint of this instance's
//! cell or of another one, through a peer, or to one more endpoint after a failure. Whoever executes
//! it, the response passes through this process.

use std::time::{Duration, Instant};

use crate::silence::Expectation;

/// Share of the grace period after which remaining requests are aborted. The platform kills the
/// process at the end of the grace period.
const GRACE_SHARE: f64 = 0.95;
/// Multiple of the expected duration of a request that must remain until the deadline. Estimates
/// have a standard deviation of 0.5 in the logarithm, so one request in 60,000 takes longer.
const SAFETY_FACTOR: f64 = 8.0;
/// Additional time that must remain, for network delay.
const NETWORK_MARGIN: Duration = Duration::from_millis(300);
/// Time before the deadline at which requests without a response are answered with an error: that
/// of a machine at its limit to write the responses, and of its clients to read them.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// Time for which all requests are admitted. The load balancer needs two failed probes, one second
/// apart, to stop sending requests.
const FULL_SERVICE_TIME: Duration = Duration::from_millis(2500);

/// Time without requests before an exit if others are not ready.
const IDLE_WITHOUT_PEERS: Duration = Duration::from_millis(300);

/// Time without requests before an exit if others are ready; covers requests received but not yet
/// read.
const IDLE_WITH_PEERS: Duration = Duration::from_millis(30);

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    started_at: Instant,
    grace_period: Duration,
}

impl Shutdown {
    /// Creates a shutdown that started at `started_at` and must end within `grace_period`.
    pub fn new(started_at: Instant, grace_period: Duration) -> Shutdown {
        Shutdown { started_at, grace_period }
    }

    /// Returns the time at which remaining requests are aborted.
    pub fn deadline(&self) -> Instant {
        self.started_at + self.grace_period.mul_f64(GRACE_SHARE)
    }

    /// Returns the time at which requests that have no response yet are answered with an error. A
    /// client whose connection closes without one cannot tell what became of its request.
    pub fn response_deadline(&self) -> Instant {
        self.deadline() - FINAL_RESPONSE_TIME
    }

    /// Returns the time until which all requests are admitted.
    pub fn full_service_until(&self) -> Instant {
        self.started_at + FULL_SERVICE_TIME.min(self.grace_period / 3)
    }

    /// Returns whether the instance may exit: no requests are in flight and none has arrived for a
    /// while, which is shorter if others are ready.
    pub fn can_exit(
        &self,
        now: Instant,
        in_flight: usize,
        idle: Duration,
        others_ready: bool,
    ) -> bool {
        let required_idle = if others_ready { IDLE_WITH_PEERS } else { IDLE_WITHOUT_PEERS };
        now >= self.full_service_until() && in_flight == 0 && idle >= required_idle
    }

    /// Shortens the time for which a request waits for a slot, so that it can be refused as not run
    /// before the deadline.
    pub fn cap_wait(&self, now: Instant, wait: Duration) -> Duration {
        wait.min((self.deadline() - NETWORK_MARGIN).saturating_duration_since(now))
    }

    /// Returns whether to admit a request, given its expected duration or `None` if that is
    /// unknown.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use oxbowbend_core::shutdown::Shutdown;
    ///
    /// let now = Instant::now();
    /// let shutdown = Shutdown::new(now, Duration::from_secs(8));
    /// let later = now + Duration::from_secs(5);
    /// assert!(shutdown.admits(later, Some(Duration::from_millis(200)), false));
    /// assert!(!shutdown.admits(later, Some(Duration::from_secs(2)), false));
    /// assert!(!shutdown.admits(later, None, false));
    /// // Others are ready.
    /// assert!(!shutdown.admits(later, Some(Duration::from_millis(200)), true));
    /// ```
    pub fn admits(
        &self,
        now: Instant,
        expected_time: Option<Duration>,
        others_ready: bool,
    ) -> bool {
        match now < self.full_service_until() {
            true => true,
            false => !others_ready && self.completes_in_time(now, expected_time),
        }
    }

    /// Returns whether a response that has begun may go on at another endpoint, where it is expected
    /// to take `expected_time`. Whether others are ready does not matter: the client would have to
    /// begin anew there.
    pub fn may_continue(&self, now: Instant, expected_time: Option<Duration>) -> bool {
        now < self.full_service_until() || self.completes_in_time(now, expected_time)
    }

    fn completes_in_time(&self, now: Instant, expected_time: Option<Duration>) -> bool {
        expected_time.is_some_and(|expected| {
            let required = Duration::try_from_secs_f64(expected.as_secs_f64() * SAFETY_FACTOR);
            let left = self.deadline().saturating_duration_since(now);
            required.is_ok_and(|required| required.saturating_add(NETWORK_MARGIN) <= left)
        })
    }
}

/// Returns the expected duration of a request without a stream: its objective, or what endpoints
/// have taken if that is longer. It is unknown while none has responded in the time that was expected.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_core::shutdown::expected_response_time;
/// use oxbowbend_core::silence::Expectation;
///
/// let objective = Duration::from_millis(100);
/// let expected = |ms: Option<u64>, doublings| {
///     let first_event = ms.map(Duration::from_millis);
///     expected_response_time(objective, Expectation { first_event, doublings })
/// };
/// assert_eq!(expected(Some(20), 0), Some(objective));
/// assert_eq!(expected(Some(900), 1), Some(Duration::from_millis(1800)));
/// assert_eq!((expected(None, 0), expected(None, 1)), (Some(objective), None));
/// ```
pub fn expected_response_time(objective: Duration, measured: Expectation) -> Option<Duration> {
    let Expectation { first_event, doublings } = measured;
    match first_event {
        Some(time) => Some(time.saturating_mul(2_u32.saturating_pow(doublings)).max(objective)),
        None => (doublings == 0).then_some(objective),
    }
}
