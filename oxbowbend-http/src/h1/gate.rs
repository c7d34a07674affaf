//! New connections of a server that is near its limits.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use oxbowbend_clock as clock;

/// Connections that may come at once within the limit.
const BURST: u32 = 2;

/// Closes new connections unread that exceed a limit.
///
/// ```
/// use std::time::Duration;
///
/// use oxbowbend_http::h1::ConnectionGate;
///
/// let (gate, now) = (ConnectionGate::default(), oxbowbend_clock::now());
/// gate.set_limit(Some(10.0));
/// let admitted = (0..20).filter(|n| gate.admits(now + Duration::from_millis(50) * *n)).count();
/// assert!((10..=12).contains(&admitted));
/// gate.set_limit(None);
/// assert!(gate.admits(now));
/// ```
#[derive(Debug)]
pub struct ConnectionGate {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Time between two connections, if they are limited.
    interval: Option<Duration>,
    /// When the next connection is due if they come evenly.
    due_at: Instant,
    counts: ConnectionCounts,
}

/// Connections since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCounts {
    /// Connections that were served.
    pub taken: u64,
    /// Connections that were closed unread.
    pub closed: u64,
}

impl Default for ConnectionGate {
    fn default() -> ConnectionGate {
        let counts = ConnectionCounts::default();
        let state = State { interval: None, due_at: clock::now(), counts };
        ConnectionGate { state: Mutex::new(state) }
    }
}

impl ConnectionGate {
    /// Sets the connections to take per second; all if `None`.
    pub fn set_limit(&self, per_s: Option<f64>) {
        self.lock().interval = per_s.map(|per_s| Duration::from_secs_f64(1.0 / per_s));
    }

    /// Returns whether a connection that comes now is served, and counts it.
    pub fn admits(&self, now: Instant) -> bool {
        let mut state = self.lock();
        let interval = state.interval;
        let is_admitted =
            interval.is_none_or(|interval| state.due_at <= now + interval * (BURST - 1));
        if is_admitted {
            state.due_at = state.due_at.max(now) + interval.unwrap_or_default();
            state.counts.taken += 1;
        } else {
            state.counts.closed += 1;
        }
        is_admitted
    }

    /// Connections so far.
    pub fn counts(&self) -> ConnectionCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }
}
