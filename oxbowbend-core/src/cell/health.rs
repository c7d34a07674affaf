//! Outlier detection: ejects endpoints that fail too many requests.
//!
//! Only request outcomes count, since an endpoint can pass health checks while requests fail. After
//! an ejection an endpoint is on probation, limited to one request at a time. At most half of a
//! service's endpoints are ejected: if all of them fail, the cause is elsewhere.

use crate::saturating;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Period over which outcomes are counted: about 18 requests at an endpoint.
pub(super) const OUTCOME_WINDOW: Duration = Duration::from_secs(3);
/// Minimum number of failures for an ejection, outside probation.
const MIN_FAILURES: u32 = 4;
/// Failures that end a probation with another ejection. A single one may be the request's fault.
const PROBATION_FAILURES: u32 = 2;
/// Successes that end a probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Failure rate from which an endpoint is ejected: above that of some healthy services (up to 14%)
/// and below that of a failing endpoint (about 40%).
const FAILURE_RATIO: f64 = 0.3;
/// Length of the first ejection; doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(1000);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Recent outcomes of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    outcomes: VecDeque<(Instant, u32, u32)>,
    ejected_until: Option<Instant>,
    ejection_count: u32,
    is_on_probation: bool,
    probation_successes: u32,
}

impl Health {
    /// Records outcomes. Failures during an ejection are of requests sent before it and say nothing
    /// about the endpoint after it.
    pub fn record(&mut self, now: Instant, successes: u32, failures: u32) {
        let failures = if self.is_ejected(now) { 0 } else { failures };
        if successes == 0 && failures == 0 {
            return;
        }
        self.outcomes.push_back((now, successes, failures));
        saturating::add(&mut self.probation_successes, successes);
        if self.is_on_probation && self.probation_successes >= PROBATION_SUCCESSES {
            self.is_on_probation = false;
            self.ejection_count = 0;
        }
    }

    /// Whether the endpoint should be ejected.
    pub fn is_failing(&mut self, now: Instant) -> bool {
        while self.outcomes.front().is_some_and(|(t, ..)| now.duration_since(*t) > OUTCOME_WINDOW) {
            self.outcomes.pop_front();
        }
        let successes = saturating::sum(self.outcomes.iter().map(|(_, s, _)| *s));
        let failures = saturating::sum(self.outcomes.iter().map(|(.., f)| *f));
        let min_failures = if self.is_on_probation { PROBATION_FAILURES } else { MIN_FAILURES };
        failures >= min_failures
            && f64::from(failures) >= FAILURE_RATIO * (f64::from(successes) + f64::from(failures))
    }

    /// Ejects the endpoint and returns for how long.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let duration =
            (BASE_EJECTION_TIME * (1 << self.ejection_count.min(4))).min(MAX_EJECTION_TIME);
        saturating::add(&mut self.ejection_count, 1);
        self.is_on_probation = true;
        self.probation_successes = 0;
        self.ejected_until = Some(now + duration);
        self.outcomes.clear();
        duration
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint is limited to one request at a time.
    pub fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }
}
