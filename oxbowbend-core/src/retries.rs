//! How many requests may be sent to a further endpoint, over a sliding window.
//!
//! The platform bounds repeats of a service over all instances: a share of the requests for it
//! plus a fixed number in any window. Each instance keeps to the share of its own requests and to
//! an equal part of the fixed number, so no messages are needed; instances that may still join are
//! counted in.
//!
//! The load that this answers: hundreds of repeats within seconds, right after a crest of requests. The
//! platform looks at every window that holds such repeats, also at those that begin while requests are
//! getting fewer, and sets against them the requests of that window, or of the one half a window or a
//! whole one before it. So the share is of the fewest requests that any of these windows is sure to
//! have: counting those of the last window alone passed the bound by 1 in 100 where requests fell by 5
//! in 100. What was traded: within a window's length of a start, up to a quarter of the share.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServiceId;

/// Part of the fixed number that is used; the rest covers instances that nobody has counted.
const FIXED_SHARE: f64 = 0.7;

/// Steps in which the windows are looked at that may hold a repeat, for each window's length.
const WINDOW_STEPS: u32 = 10;

/// Bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside that, over all instances.
    pub fixed: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Times of requests, the oldest first.
#[derive(Debug, Default)]
struct Times(VecDeque<Instant>);

#[derive(Debug, Default)]
struct Counts {
    requests: Times,
    retries: Times,
}

/// Repeats of all services at one instance.
#[derive(Debug)]
pub struct RetryLimiter {
    limit: RetryLimit,
    services: HashMap<ServiceId, Counts>,
}

impl RetryLimiter {
    /// Counts nothing yet.
    pub fn new(limit: RetryLimit) -> RetryLimiter {
        RetryLimiter { limit, services: HashMap::new() }
    }

    /// Counts a request that a caller has sent.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        self.counts(now, service).requests.add(now);
    }

    /// Whether a request may be sent once more; counts it if so.
    pub fn try_retry(&mut self, now: Instant, service: &str, instances: usize) -> bool {
        let RetryLimit { ratio, fixed, window } = self.limit;
        let counts = self.counts(now, service);
        let fixed = fixed * FIXED_SHARE / instances.max(1) as f64;
        let allowed = counts.min_window_requests(now, window) as f64 * ratio + fixed;
        if (counts.retries.len() + 1) as f64 > allowed {
            return false;
        }
        counts.retries.add(now);
        true
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
    /// The fewest requests that any window with a repeat of now in it is sure to be set against.
    fn min_window_requests(&self, now: Instant, window: Duration) -> usize {
        let ages = (0..WINDOW_STEPS).map(|step| window * step / WINDOW_STEPS);
        ages.map(|age| self.requests_counted_for(now, age, window)).min().unwrap_or(0)
    }

    /// Requests so far that a window is set against that began so long ago: its own, or those of the windows
    /// half a length and a whole one before it, whichever has most.
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

    /// How many there were in a window that began so long before now.
    fn count_in_window(&self, now: Instant, age: Duration, window: Duration) -> usize {
        let is_before = |age: Duration| move |t: &Instant| now.saturating_duration_since(*t) > age;
        let begin = self.0.partition_point(is_before(age));
        match age.checked_sub(window) {
            Some(end) => self.0.partition_point(is_before(end)).saturating_sub(begin),
            None => self.0.len() - begin,
        }
    }
}
