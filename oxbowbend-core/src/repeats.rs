//! How many requests may be sent to a further endpoint, over a sliding window.
//!
//! The platform bounds repeats of a service over all instances: a share of the requests for it
//! plus a fixed number in any window. Each instance keeps to the share of its own requests and to
//! an equal part of the fixed number, so no messages are needed; instances that may still join are
//! counted in.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServiceId;

/// Part of the fixed number that is used; the rest covers instances that nobody has counted.
const USED: f64 = 0.7;

/// Bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside that, over all instances.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    first: VecDeque<Instant>,
    again: VecDeque<Instant>,
}

/// Repeats of all services at one instance.
#[derive(Debug)]
pub struct Repeats {
    allowance: Allowance,
    services: HashMap<ServiceId, Counts>,
}

impl Repeats {
    /// Counts nothing yet.
    pub fn new(allowance: Allowance) -> Repeats {
        Repeats { allowance, services: HashMap::new() }
    }

    /// Counts a request that a caller has sent.
    pub fn requested(&mut self, now: Instant, service: &str) {
        self.counts(now, service).first.push_back(now);
    }

    /// Whether a request may be sent once more; counts it if so.
    pub fn repeat(&mut self, now: Instant, service: &str, instances: usize) -> bool {
        let Allowance { ratio, fixed, .. } = self.allowance;
        let counts = self.counts(now, service);
        let fixed = fixed * USED / instances.max(1) as f64;
        let allowed = counts.first.len() as f64 * ratio + fixed;
        if (counts.again.len() + 1) as f64 > allowed {
            return false;
        }
        counts.again.push_back(now);
        true
    }

    fn counts(&mut self, now: Instant, service: &str) -> &mut Counts {
        let window = self.allowance.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Counts::default());
        }
        let counts = self.services.get_mut(service).expect("inserted above");
        for times in [&mut counts.first, &mut counts.again] {
            while times.front().is_some_and(|t| now.saturating_duration_since(*t) > window) {
                times.pop_front();
            }
        }
        counts
    }
}
