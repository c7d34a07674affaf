//! What an instance that has been told to stop still takes on.
//!
//! The load that this answers: instances stop one after the other, so close that for seconds all of them
//! are stopping, or all of an availability zone, and callers go on coming since there is nobody else. One that
//! stops is then the best that its callers have. It goes on taking every request that will certainly end
//! before the instance must, and tells the others at once that they have not run. While enough others are
//! ready it takes nothing more and ends with its last answer, so that it is back before the next ones stop.
//!
//! What was traded: where nobody else is ready, an instance that callers go on coming to stays until the end
//! of its grace time.

use std::time::{Duration, Instant};

/// Part of the grace time after which whatever is left is cut off. The platform kills the process at the end
/// of it.
const GRACE_SHARE: f64 = 0.95;
/// Times the expected length of an answer that must be left. Callers' estimates are off by a factor of
/// 1.6 (standard deviation of the logarithm 0.5), so one in 60,000 takes longer.
const SAFETY_FACTOR: f64 = 8.0;
/// Time that must be left beside that, for the way to the endpoint and back.
const NETWORK_MARGIN: Duration = Duration::from_millis(300);
/// Time for which answers of unknown length are taken on. The balancer takes two questions a second apart to
/// notice that the instance is not ready.
const FULL_SERVICE_TIME: Duration = Duration::from_millis(2500);

/// Time without a request after which nothing more is expected.
const IDLE_WITHOUT_PEERS: Duration = Duration::from_millis(300);

/// Time without a request after which none has arrived that is not read yet.
const IDLE_WITH_PEERS: Duration = Duration::from_millis(30);

/// A stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    started_at: Instant,
    grace_period: Duration,
}

impl Shutdown {
    /// A stop that began then and may take that long.
    pub fn new(started_at: Instant, grace_period: Duration) -> Shutdown {
        Shutdown { started_at, grace_period }
    }

    /// When whatever is left is cut off.
    pub fn deadline(&self) -> Instant {
        self.started_at + self.grace_period.mul_f64(GRACE_SHARE)
    }

    /// Until when the instance serves as before.
    pub fn full_service_until(&self) -> Instant {
        self.started_at + FULL_SERVICE_TIME.min(self.grace_period / 3)
    }

    /// Whether the instance may end: nothing is in progress, and nobody has come for a moment, which need not be
    /// long if others are ready.
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

    /// How long a request may wait for a place that would otherwise wait for `wait`: no longer than it can
    /// still be told that it has not run.
    pub fn cap_wait(&self, now: Instant, wait: Duration) -> Duration {
        wait.min((self.deadline() - NETWORK_MARGIN).saturating_duration_since(now))
    }

    /// Whether to take on an answer of that expected length; none if the length is not known.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use oxbowbend_core::shutdown::Shutdown;
    ///
    /// let now = Instant::now();
    /// let shutdown = Shutdown::new(now, Duration::from_secs(8));
    /// assert!(shutdown.admits(now + Duration::from_secs(5), Some(Duration::from_millis(200)), false));
    /// assert!(!shutdown.admits(now + Duration::from_secs(5), Some(Duration::from_secs(2)), false));
    /// assert!(!shutdown.admits(now + Duration::from_secs(5), None, false));
    /// // Others are ready.
    /// assert!(!shutdown.admits(now + Duration::from_secs(5), Some(Duration::from_millis(200)), true));
    /// ```
    pub fn admits(
        &self,
        now: Instant,
        expected_time: Option<Duration>,
        others_ready: bool,
    ) -> bool {
        match expected_time {
            _ if now < self.full_service_until() => true,
            _ if others_ready => false,
            Some(expected_time) => {
                now + expected_time.mul_f64(SAFETY_FACTOR) + NETWORK_MARGIN <= self.deadline()
            }
            None => false,
        }
    }
}
