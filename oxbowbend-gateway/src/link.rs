//! When an instance passes the configuration on.

use std::time::{Duration, Instant};

/// Bytes a second that the link of a small machine takes.
const BYTES: f64 = 1_250_000.0;

/// The link of this instance, as far as documents go.
///
/// A document of 0.4 MB, with 2,000 routes, takes a link of 10 Mbit/s 0.3 s. Asked by all of its cell at once, an
/// instance sent eight together, none of which came within the time limit, and all asked again: the configuration came
/// in force after 5.9 s. Sent one after the other, each instance that has it passes it on.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_gateway::link::Link;
///
/// let now = oxbowbend_clock::now();
/// let mut link = Link::default();
/// assert!(link.admits(now, 400_000));
/// assert!(!link.admits(now + Duration::from_millis(300), 400_000));
/// assert!(link.admits(now + Duration::from_millis(320), 400_000));
/// ```
#[derive(Debug, Default)]
pub struct Link {
    busy_until: Option<Instant>,
}

impl Link {
    /// Whether a document of so many bytes may be sent now; notes that it is.
    pub fn admits(&mut self, now: Instant, bytes: usize) -> bool {
        if self.busy_until.is_some_and(|until| now < until) {
            return false;
        }
        self.busy_until = Some(now + Duration::from_secs_f64(bytes as f64 / BYTES));
        true
    }
}
