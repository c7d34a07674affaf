//! Notices that this process did not run for a while, as when its machine was suspended.
//!
//! What other instances reported meanwhile waits in a socket, or was lost when the socket's buffer was
//! full. Nothing that rests on having heard nothing holds until they have been heard again. The task
//! that would notice may run later than the requests that wait in other sockets, so whoever relies on
//! the reports asks here at the moment of use.

use std::time::{Duration, Instant};

/// Time without a step after which the process was suspended: several steps, and three heartbeats of
/// other instances.
pub const MAX_GAP: Duration = Duration::from_millis(400);
/// Time within which the others are heard again: a heartbeat, and the reports that waited.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// Whether this process has run all the time.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::continuity::{Continuity, CATCH_UP_TIME};
///
/// let start = Instant::now();
/// let mut continuity = Continuity::new(start);
/// assert!(continuity.record_step(start + Duration::from_millis(75)).is_none());
/// let resumed = start + Duration::from_secs(2);
/// assert!(continuity.record_step(resumed).is_some());
/// assert_eq!(continuity.catch_up_left(resumed), Some(CATCH_UP_TIME));
/// assert_eq!(continuity.catch_up_left(resumed + CATCH_UP_TIME), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Continuity {
    stepped_at: Instant,
    resumed_at: Option<Instant>,
}

impl Continuity {
    /// Starts with a process that runs.
    pub fn new(now: Instant) -> Continuity {
        Continuity { stepped_at: now, resumed_at: None }
    }

    /// Records that the process runs. Returns for how long it had not, if it was suspended.
    pub fn record_step(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.stepped_at);
        self.stepped_at = now.max(self.stepped_at);
        if gap < MAX_GAP {
            return None;
        }
        self.resumed_at = Some(now);
        Some(gap)
    }

    /// Returns the time until the others have been heard again, if the process was suspended until
    /// shortly before `now`.
    pub fn catch_up_left(&self, now: Instant) -> Option<Duration> {
        let until = self.resumed_at? + CATCH_UP_TIME;
        Some(until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }
}
