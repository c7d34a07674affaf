//! New connections of a server that is near its limits.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use oxbowbend_clock as clock;

/// Time between two connections that are taken while the gate is closed. A balancer, or an operator's
/// limit that is too low, must not find an instance that is ready and takes none at all.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Closes new connections unread while it is closed, but for a few.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_http::h1::ConnectionGate;
///
/// let (gate, now) = (ConnectionGate::default(), oxbowbend_clock::now());
/// assert!(gate.admits(now));
/// gate.set_open(false);
/// assert!(!gate.admits(now + Duration::from_millis(100)));
/// assert!(gate.admits(now + Duration::from_millis(300)));
/// assert_eq!(gate.closed(), 1);
/// ```
#[derive(Debug)]
pub struct ConnectionGate {
    is_open: AtomicBool,
    closed: AtomicU64,
    admitted_at: Mutex<Instant>,
}

impl Default for ConnectionGate {
    fn default() -> ConnectionGate {
        ConnectionGate {
            is_open: AtomicBool::new(true),
            closed: AtomicU64::new(0),
            admitted_at: Mutex::new(clock::now()),
        }
    }
}

impl ConnectionGate {
    /// Opens or closes the gate.
    pub fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::SeqCst);
    }

    /// Returns whether a connection that comes now is served, and counts it.
    pub fn admits(&self, now: Instant) -> bool {
        let mut admitted_at = self.admitted_at.lock().expect("no panic under lock");
        let is_due = now.saturating_duration_since(*admitted_at) >= MIN_INTERVAL;
        let is_admitted = is_due || self.is_open.load(Ordering::SeqCst);
        if is_admitted {
            *admitted_at = now;
        } else {
            self.closed.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Number of connections that were closed unread.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }
}
