//! Load shedding, and the retry delay of refused requests.
//!
//! In fleets of one cell, and in others while the rate of slots is unknown (see
//! [`super::expected_wait`]), both depend on the outcomes of the requests of the same service and
//! rank at this instance within the last second:
//!
//! - If almost none were placed, only a few requests wait for a slot and all others are refused on
//!   arrival, instead of after most of their objective.
//! - If at least half were placed, a refused caller that retries soon will probably still meet its
//!   objective. Otherwise the overload will last, so the caller is told to retry as late as it can.
//!
//! The counts lag by up to a second at the start and the end of a burst. Requests that find a free
//! slot are never shed, so the lag at the end does no harm.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::expected_wait::WaitForecast;
use crate::ids::ServiceId;

/// Time over which outcomes are counted. A shorter window would hold too few requests of a rank.
pub(super) const WINDOW: Duration = Duration::from_secs(1);
/// Minimum number of refusals for shedding; a few occur in any small burst.
const MIN_REFUSALS: usize = 4;
/// Number of requests that always wait, so that a released slot is used at once.
pub(super) const MIN_WAITING: usize = 2;
/// Ratio of placed to refused requests below which a rank is starved.
const STARVED_RATIO: f64 = 0.1;
/// Minimum fraction of placed requests for an early retry.
const EARLY_RETRY_MIN_SHARE: f64 = 0.5;
/// Range of the delay of an early retry, as fractions of the objective.
const EARLY_RETRY: (f64, f64) = (0.15, 0.4);
/// Range of the delay of a late retry, as fractions of the maximum delay.
const LATE_RETRY: (f64, f64) = (0.6, 1.0);

/// Times of the recent outcomes of one service and rank.
#[derive(Debug, Default)]
struct RecentOutcomes {
    placed: VecDeque<Instant>,
    refused: VecDeque<Instant>,
}

/// Recent outcomes by service and rank.
#[derive(Debug, Default)]
pub(super) struct LoadShedder {
    recent: HashMap<(ServiceId, u16), RecentOutcomes>,
}

/// Bounds of a caller's retry delay.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Time within which the first event is due.
    pub objective: Duration,
    /// Longest delay after which the caller would still retry.
    pub max_delay: Duration,
    /// Random number from 0 to 1 that spreads the retries.
    pub jitter: f64,
}

/// Retry delay of a refused request, and what it was computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAfter {
    /// Time to wait before the retry.
    pub delay: Duration,
    /// Number of requests of its service and rank that this instance placed within the last second.
    pub placed: usize,
    /// Number of those that were refused, including this one.
    pub refused: usize,
    /// Whether all endpoints that could take it are throttled.
    pub is_throttled: bool,
    /// The expected wait that the delay was computed from, in fleets of several cells.
    pub forecast: Option<WaitForecast>,
}

impl RetryAfter {
    /// Replaces the delay for a request whose endpoints are all throttled for `available_in`.
    pub(super) fn throttled(self, available_in: Duration, policy: RetryPolicy) -> RetryAfter {
        let delay = available_in.mul_f64(1.0 + policy.jitter).min(policy.max_delay);
        RetryAfter { delay, is_throttled: true, ..self }
    }
}

impl LoadShedder {
    /// Records that a request was assigned a slot.
    pub(super) fn record_placed(&mut self, now: Instant, service: &ServiceId, rank: u16) {
        self.recent(now, service, rank).placed.push_back(now);
    }

    /// Whether to refuse a request on arrival while `waiting` others of its service and rank are
    /// waiting.
    pub(super) fn should_shed(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        waiting: usize,
    ) -> bool {
        let recent = self.recent(now, service, rank);
        let (placed, refused) = (recent.placed.len(), recent.refused.len());
        let is_starved =
            refused >= MIN_REFUSALS && (placed as f64) < STARVED_RATIO * refused as f64;
        waiting >= MIN_WAITING && is_starved
    }

    /// Records that a request was refused and returns its retry delay.
    pub(super) fn record_refused(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        policy: RetryPolicy,
    ) -> RetryAfter {
        let recent = self.recent(now, service, rank);
        recent.refused.push_back(now);
        let (placed, refused) = (recent.placed.len(), recent.refused.len());
        let ((from, to), of) =
            match placed as f64 >= EARLY_RETRY_MIN_SHARE * (placed + refused) as f64 {
                true => (EARLY_RETRY, policy.objective),
                false => (LATE_RETRY, policy.max_delay),
            };
        let delay = of.mul_f64(from + (to - from) * policy.jitter).min(policy.max_delay);
        RetryAfter { delay, placed, refused, is_throttled: false, forecast: None }
    }

    /// Numbers of requests that were assigned a slot within the last second, by service and rank.
    pub(super) fn dispatched(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (ServiceId, u16, u32)> + '_ {
        self.recent.iter().filter_map(move |((service, rank), recent)| {
            let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= WINDOW;
            let n = recent.placed.iter().rev().take_while(is_recent).count() as u32;
            (n > 0).then(|| (service.clone(), *rank, n))
        })
    }

    fn recent(&mut self, now: Instant, service: &ServiceId, rank: u16) -> &mut RecentOutcomes {
        let recent = self.recent.entry((service.clone(), rank)).or_default();
        for times in [&mut recent.placed, &mut recent.refused] {
            while times.front().is_some_and(|t| now.saturating_duration_since(*t) > WINDOW) {
                times.pop_front();
            }
        }
        recent
    }
}
