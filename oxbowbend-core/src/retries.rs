//! Limits retries of requests over a sliding window.
//!
//! The platform limits the retries of a service over all instances: in any window, to a share of
//! its requests plus a fixed number. Each instance applies the ratio to its own requests and uses
//! an equal part of the fixed number, so the instances need no coordination.
//!
//! The platform compares the retries in a window with the requests in that window, or in one that
//! starts half a length or a whole length earlier, whichever are most. Retries come in bursts after
//! a peak of requests, and later windows that contain the same burst have fewer requests. The ratio
//! is therefore applied to the smallest number of requests that is certain for any window
//! containing the retry. For one window after a start, this leaves up to a quarter of the ratio
//! unused.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServiceId;

/// Share of the fixed number that is used; the rest covers instances that are not yet known.
const FIXED_SHARE: f64 = 0.7;

/// Number of window positions that are checked for a retry.
const WINDOW_STEPS: u32 = 10;

/// Limit on retries over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Whether a request may be retried, and what that follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether it may be retried.
    pub is_allowed: bool,
    /// Retries of the last window, without this one.
    pub retries: usize,
    /// Requests to which the ratio applies.
    pub requests: usize,
    /// Part of the fixed number that this instance may use.
    pub fixed_part: f64,
}

/// Times of requests, oldest first.
#[derive(Debug, Default)]
struct Times(VecDeque<Instant>);

#[derive(Debug, Default)]
struct Counts {
    requests: Times,
    retries: Times,
}

/// Limits the retries that one instance sends, by service.
#[derive(Debug)]
pub struct RetryLimiter {
    limit: RetryLimit,
    services: HashMap<ServiceId, Counts>,
}

impl RetryLimiter {
    /// Creates a limiter without recorded requests.
    pub fn new(limit: RetryLimit) -> RetryLimiter {
        RetryLimiter { limit, services: HashMap::new() }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        self.counts(now, service).requests.add(now);
    }

    /// Takes back the last recorded request, which a peer serves and records instead.
    pub fn forget_request(&mut self, now: Instant, service: &str) {
        self.counts(now, service).requests.0.pop_back();
    }

    /// Decides whether a request may be retried, and records the retry if so.
    pub fn try_retry(&mut self, now: Instant, service: &str, instances: usize) -> RetryDecision {
        let RetryLimit { ratio, fixed, window } = self.limit;
        let counts = self.counts(now, service);
        let fixed_part = fixed * FIXED_SHARE / instances.max(1) as f64;
        let (retries, requests) = (counts.retries.len(), counts.min_window_requests(now, window));
        let is_allowed = (retries + 1) as f64 <= requests as f64 * ratio + fixed_part;
        if is_allowed {
            counts.retries.add(now);
        }
        RetryDecision { is_allowed, retries, requests, fixed_part }
    }

    fn counts(&mut self, now: Instant, service: &str) -> &mut Counts {
        let window = self.limit.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Counts::default());
        }
        let counts = self.services.get_mut(service).expect("inserted above");
        counts.requests.expire(now, window * 2);
        counts.retries.expire(now, window);
        counts
    }
}

impl Counts {
    /// Returns the smallest number of requests that applies to any window containing `now`.
    fn min_window_requests(&self, now: Instant, window: Duration) -> usize {
        let ages = (0..WINDOW_STEPS).map(|step| window * step / WINDOW_STEPS);
        ages.map(|age| self.requests_counted_for(now, age, window)).min().unwrap_or(0)
    }

    /// Returns the number of requests that applies to a window that started `age` ago: the most in
    /// that window and those starting half a length and a whole length earlier.
    fn requests_counted_for(&self, now: Instant, age: Duration, window: Duration) -> usize {
        let starts = [age, age + window / 2, age + window];
        let counts = starts.map(|start| self.requests.count_in_window(now, start, window));
        counts.into_iter().max().unwrap_or(0)
    }
}

impl Times {
    fn add(&mut self, now: Instant) {
        self.0.push_back(now);
    }

    fn len(&self) -> usize {
        self.0.len()
    }

    fn expire(&mut self, now: Instant, keep: Duration) {
        while self.0.front().is_some_and(|t| now.saturating_duration_since(*t) > keep) {
            self.0.pop_front();
        }
    }

    /// Returns the number of requests in a window that started `age` ago.
    fn count_in_window(&self, now: Instant, age: Duration, window: Duration) -> usize {
        let is_before = |age: Duration| move |t: &Instant| now.saturating_duration_since(*t) > age;
        let begin = self.0.partition_point(is_before(age));
        match age.checked_sub(window) {
            Some(end) => self.0.partition_point(is_before(end)).saturating_sub(begin),
            None => self.0.len() - begin,
        }
    }
}
