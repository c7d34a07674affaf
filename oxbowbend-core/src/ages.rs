//! Estimates the time since a caller's first attempt from its remaining timeout.
//!
//! A retry after a refusal or a failed connection arrives as a new request, but its latency
//! objective and its deadline count from the first attempt. Callers of a route start with the same
//! timeout, so one that sends a smaller value has already waited. A first attempt with a timeout
//! slightly shorter than usual for its route is mistaken for a retry.

use std::collections::HashMap;
use std::time::Duration;

/// Largest estimated age, as a share of the initial timeout. A caller waits at most a third of its
/// timeout when refused, plus the time that the refusal took.
const MAX_AGE_SHARE: f64 = 0.5;
/// Smallest estimated age; shorter differences are network delay.
const MIN_AGE: Duration = Duration::from_millis(20);

/// Estimates request ages from the initial timeout of each route.
#[derive(Debug, Default)]
pub struct AgeEstimator {
    initial_timeouts: HashMap<String, Duration>,
}

impl AgeEstimator {
    /// Discards all initial timeouts, for a new configuration.
    pub fn clear(&mut self) {
        self.initial_timeouts.clear();
    }

    /// Returns the estimated time since the first attempt of a caller of `route`, given the time
    /// that remains until its deadline.
    pub fn estimate(
        &mut self,
        route: &str,
        remaining: Option<Duration>,
        timeout: Duration,
    ) -> Duration {
        let Some(remaining) = remaining else { return Duration::ZERO };
        let max_remaining = timeout * 4;
        let initial = match self.initial_timeouts.get_mut(route) {
            Some(initial) => initial,
            None => self.initial_timeouts.entry(route.to_owned()).or_default(),
        };
        if remaining <= max_remaining {
            *initial = remaining.max(*initial);
        }
        let age = initial.saturating_sub(remaining);
        match age < MIN_AGE || age > initial.mul_f64(MAX_AGE_SHARE) {
            true => Duration::ZERO,
            false => age,
        }
    }
}
