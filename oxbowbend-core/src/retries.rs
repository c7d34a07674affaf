//! Limits retries of requests over a sliding window.
//!
//! The platform limits the retries of a service over all instances: in any window, to a share of
//! its requests plus a fixed number. The requests are those of that window, or of one that starts
//! half a length or a whole length earlier, whichever are most.
//!
//! Each instance applies the ratio to its own requests and uses an equal part of the fixed number,
//! so the instances need no coordination. Their sum keeps the limit because of two properties:
//!
//! - All apply the ratio to the same windows. Where requests move from some instances to others,
//!   each has its most requests in another window, and the sum of these is more than any window of
//!   all instances has. The ratio is therefore applied to the mean of the retries' window and the
//!   one before it, which is never more than the better of the two. An instance that starts has
//!   retries as soon as it has requests, and a sudden failure finds half a window's retries unused.
//! - The parts of the fixed number add up over the starts of an instance, which can't know what its
//!   predecessor has used. For one window after its start it has a small part only, and the parts of
//!   all leave room for several starts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::ServiceId;

/// Share of the fixed number that instances use which have run for a window.
const SETTLED_SHARE: f64 = 0.4;
/// Share that instances use which have started since. With it, five starts of every instance in one
/// window keep the limit, besides what they used before.
const STARTED_SHARE: f64 = 0.12;

/// Time for which a number of instances applies after fewer are seen. Entries of instances that still
/// run may lapse in an outage of the store, and reports be lost in a cut.
const INSTANCES_RETENTION: Duration = Duration::from_secs(60);

/// Number of slices into which a window is divided.
const SLICES: u64 = 40;
/// Number of slices that are kept: those of the oldest window that contains the current slice, and
/// of the window before it.
const KEPT_SLICES: usize = 2 * SLICES as usize + 1;

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
    /// Retries in the window that allows the fewest more, and pending ones, without this one.
    pub retries: u64,
    /// Requests in that window and in the one before it; the ratio applies to half of them.
    pub requests: u64,
    /// Part of the fixed number that this instance may use.
    pub fixed_part: f64,
    /// Instances that share the fixed number.
    pub instances: usize,
}

/// Counts of events by slice of time.
#[derive(Debug)]
struct SliceCounts {
    /// Counts of the newest slice and those before it, at the slice modulo the length.
    counts: [u32; KEPT_SLICES],
    newest: u64,
}

#[derive(Debug, Default)]
struct Counts {
    requests: SliceCounts,
    retries: SliceCounts,
    /// Retries that are allowed and neither sent nor cancelled yet.
    pending: u64,
}

/// Limits the retries that one instance sends, by service.
#[derive(Debug)]
pub struct RetryLimiter {
    limit: RetryLimit,
    started_at: Instant,
    /// The most instances seen lately, and when.
    instances: usize,
    instances_seen_at: Instant,
    services: HashMap<ServiceId, Counts>,
}

impl RetryLimiter {
    /// Creates a limiter without recorded requests.
    pub fn new(limit: RetryLimit, now: Instant) -> RetryLimiter {
        RetryLimiter {
            limit,
            started_at: now,
            instances: 1,
            instances_seen_at: now,
            services: HashMap::new(),
        }
    }

    /// Sets the number of instances that share the limit. It is called often, as the highest number
    /// lately seen applies.
    pub fn set_instances(&mut self, now: Instant, instances: usize) {
        let is_old = now.saturating_duration_since(self.instances_seen_at) >= INSTANCES_RETENTION;
        if instances >= self.instances || is_old {
            (self.instances, self.instances_seen_at) = (instances, now);
        }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        let slice = self.slice(now);
        self.counts(service).requests.add(slice);
    }

    /// Takes back the last recorded request, which a peer serves and records instead.
    pub fn forget_request(&mut self, service: &str) {
        self.counts(service).requests.remove_last();
    }

    /// Decides whether a request may be retried. If so, the retry is pending until it is sent or
    /// cancelled. It may wait for an endpoint meanwhile, so it counts in every window until then.
    pub fn try_retry(&mut self, now: Instant, service: &str) -> RetryDecision {
        let ratio = self.limit.ratio;
        let (fixed_part, instances) = (self.fixed_part(now), self.instances);
        let slice = self.slice(now);
        let counts = self.counts(service);
        let (requests, retries) = counts.tightest_window(slice, ratio);
        let is_allowed = (retries + 1) as f64 <= requests as f64 / 2.0 * ratio + fixed_part;
        if is_allowed {
            counts.pending += 1;
        }
        RetryDecision { is_allowed, retries, requests, fixed_part, instances }
    }

    /// Records that a pending retry is sent.
    pub fn retry_sent(&mut self, now: Instant, service: &str) {
        let slice = self.slice(now);
        let counts = self.counts(service);
        counts.pending = counts.pending.saturating_sub(1);
        counts.retries.add(slice);
    }

    /// Gives back a pending retry that is not sent.
    pub fn retry_cancelled(&mut self, service: &str) {
        let counts = self.counts(service);
        counts.pending = counts.pending.saturating_sub(1);
    }

    /// Returns the part of the fixed number that this instance may use.
    fn fixed_part(&self, now: Instant) -> f64 {
        let is_settled = now.saturating_duration_since(self.started_at) >= self.limit.window;
        let share = if is_settled { SETTLED_SHARE } else { STARTED_SHARE };
        self.limit.fixed * share / self.instances.max(1) as f64
    }

    /// Returns the number of the slice that contains `now`. Those of the two windows before the start
    /// have numbers, too.
    fn slice(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.started_at);
        let slices = age.as_nanos() * u128::from(SLICES) / self.limit.window.as_nanos().max(1);
        2 * SLICES + slices as u64
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), Counts::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}

impl Counts {
    /// Returns the requests and the retries, pending ones included, of the window that allows the
    /// fewest more retries, of all windows that contain the slice `now`.
    ///
    /// Windows that start in the same slice are taken together: with the retries of the whole slice,
    /// and with the requests that all of them count.
    fn tightest_window(&self, now: u64, ratio: f64) -> (u64, u64) {
        let newest = now + 2 - SLICES..=now;
        let mut requests: u64 = newest.map(|slice| self.requests.get(slice)).sum();
        let mut retries = self.pending;
        let windows = (now - SLICES..=now).rev().map(|start| {
            requests += self.requests.get(start + 1 - SLICES);
            retries += self.retries.get(start);
            (requests, retries)
        });
        let allowed =
            |(requests, retries): &(u64, u64)| *requests as f64 / 2.0 * ratio - *retries as f64;
        let tightest = windows.min_by(|a, b| allowed(a).total_cmp(&allowed(b)));
        tightest.unwrap_or_default()
    }
}

impl Default for SliceCounts {
    fn default() -> SliceCounts {
        SliceCounts { counts: [0; KEPT_SLICES], newest: 0 }
    }
}

impl SliceCounts {
    fn add(&mut self, slice: u64) {
        let skipped = (self.newest + 1..=slice).rev().take(KEPT_SLICES);
        skipped.for_each(|slice| self.counts[index(slice)] = 0);
        self.newest = self.newest.max(slice);
        self.counts[index(self.newest)] += 1;
    }

    fn remove_last(&mut self) {
        if let Some(last) = self.kept().rev().map(index).find(|i| self.counts[*i] > 0) {
            self.counts[last] -= 1;
        }
    }

    /// Returns the number of events in a slice.
    fn get(&self, slice: u64) -> u64 {
        match self.kept().contains(&slice) {
            true => u64::from(self.counts[index(slice)]),
            false => 0,
        }
    }

    fn kept(&self) -> std::ops::RangeInclusive<u64> {
        (self.newest + 1).saturating_sub(KEPT_SLICES as u64)..=self.newest
    }
}

fn index(slice: u64) -> usize {
    slice as usize % KEPT_SLICES
}
