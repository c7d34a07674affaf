//! Which endpoints fail, judged by what all instances have seen of them.
//!
//! A health check can be good while requests fail, so only the outcome of requests counts. An
//! endpoint that fails too often is set aside for a while and then tried with one request at a
//! time. At most half of a service is set aside: if all fail, the cause is not the endpoint.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which outcomes count: about 18 requests an endpoint at the users' sites.
pub(super) const OUTCOME_WINDOW: Duration = Duration::from_secs(3);
/// Failures in the window below which nothing follows.
const MIN_FAILURES: u32 = 4;
/// Failures that end a trial badly. One may be the request's own.
const PROBATION_FAILURES: u32 = 2;
/// Good answers that end a trial well.
const PROBATION_SUCCESSES: u32 = 3;
/// Share of failures from which an endpoint is set aside. The users' services fail up to 14 in
/// 100 requests of one kind by themselves; a failing endpoint fails 40 in 100.
const FAILURE_RATIO: f64 = 0.3;
/// First time for which an endpoint is set aside.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(1000);
/// Longest such time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// What a service's endpoint has lately done.
#[derive(Clone, Debug, Default)]
pub struct Health {
    outcomes: VecDeque<(Instant, u32, u32)>,
    ejected_until: Option<Instant>,
    ejection_count: u32,
    is_on_probation: bool,
    probation_successes: u32,
}

impl Health {
    /// Notes outcomes.
    pub fn record(&mut self, now: Instant, successes: u32, failures: u32) {
        if successes + failures == 0 {
            return;
        }
        self.outcomes.push_back((now, successes, failures));
        self.probation_successes += successes;
        if self.is_on_probation && self.probation_successes >= PROBATION_SUCCESSES {
            self.is_on_probation = false;
            self.ejection_count = 0;
        }
    }

    /// Whether the endpoint has failed enough to be set aside.
    pub fn is_failing(&mut self, now: Instant) -> bool {
        while self.outcomes.front().is_some_and(|(t, ..)| now.duration_since(*t) > OUTCOME_WINDOW) {
            self.outcomes.pop_front();
        }
        let successes: u32 = self.outcomes.iter().map(|(_, g, _)| g).sum();
        let failures: u32 = self.outcomes.iter().map(|(.., b)| b).sum();
        let min_failures = if self.is_on_probation { PROBATION_FAILURES } else { MIN_FAILURES };
        failures >= min_failures
            && f64::from(failures) >= FAILURE_RATIO * f64::from(successes + failures)
    }

    /// Sets the endpoint aside; returns for how long.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let duration =
            (BASE_EJECTION_TIME * (1 << self.ejection_count.min(4))).min(MAX_EJECTION_TIME);
        self.ejection_count += 1;
        self.is_on_probation = true;
        self.probation_successes = 0;
        self.ejected_until = Some(now + duration);
        self.outcomes.clear();
        duration
    }

    /// Whether the endpoint is set aside now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it may have one request at a time only.
    pub fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }
}
