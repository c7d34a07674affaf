//! How long ago a caller first tried, read from the time that it has left.
//!
//! A caller that comes back after a refusal, or after a connection that brought nothing, is a new request
//! here, but its objective runs since its first try, and so does its own deadline. Callers of a route give
//! the same time at first, so one that gives less has waited already. What was traded: a caller with a
//! shorter deadline than others of its route is taken for one that has come back, if the difference is
//! one that callers wait.

use std::collections::HashMap;
use std::time::Duration;

/// Part of its time that a caller may have waited to be taken for one that has come back: it waits a third
/// of it at most when told to, and the refusal took some time too.
const MAX_AGE_SHARE: f64 = 0.5;
/// Differences that are the way to this instance.
const MIN_AGE: Duration = Duration::from_millis(20);

/// The times that callers give at first, by route.
#[derive(Debug, Default)]
pub struct AgeEstimator {
    initial_timeouts: HashMap<String, Duration>,
}

impl AgeEstimator {
    /// Forgets everything, as with a new configuration.
    pub fn clear(&mut self) {
        self.initial_timeouts.clear();
    }

    /// Time since the first try of a caller of that route who has so much time left.
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
