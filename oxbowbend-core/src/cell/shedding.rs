//! What a request may expect that does not get a place at once: whether to wait, and when its caller
//! should come back instead.
//!
//! The load that this answers: more requests than places for seconds, as in a burst or after the loss of
//! engines. Then a rank gets what more urgent ones leave, often nothing. Both answers rest on one
//! measurement, which part of the requests of a service and rank that came to this instance within the
//! last second got a place.
//!
//! - While that is next to nothing, a few requests wait for what may come free, and the others hear at once
//!   that they will not be served, instead of after most of their objective.
//! - While a rank gets half of its places or more, a refused caller that comes back soon will probably still
//!   be in time. Otherwise nothing drains before fewer requests come, and a caller that came back soon
//!   would be refused for a second and mostly last time; so it is told to come back as late as it would.
//!
//! What was traded: the last second is behind at the beginning and the end of a burst. At its end places
//! are free, and a request that finds one is asked nothing.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServiceId;

/// Time over which requests are counted. A rank has 5 to 20 of them a second at one instance of the
/// users' sites, so less would count too few.
const WINDOW: Duration = Duration::from_secs(1);
/// Refusals within that time below which nothing follows: a few come with any small burst.
const MIN_REFUSALS: usize = 4;
/// Requests of a rank that wait at an instance all the same, so that a place that comes free is taken.
const MIN_WAITING: usize = 2;
/// Placements for each refusal below which a rank gets next to nothing.
const STARVED_RATIO: f64 = 0.1;
/// Part that must get places for refused callers to come back soon.
const EARLY_RETRY_MIN_SHARE: f64 = 0.5;
/// Parts of the objective between which these come back.
const EARLY_RETRY: (f64, f64) = (0.15, 0.4);
/// Parts of the longest time between which the others do. The spread keeps them from returning as one.
const LATE_RETRY: (f64, f64) = (0.6, 1.0);

/// Requests of one service and rank.
#[derive(Debug, Default)]
struct RecentOutcomes {
    placed: VecDeque<Instant>,
    refused: VecDeque<Instant>,
}

/// What has lately become of requests, by service and rank.
#[derive(Debug, Default)]
pub(super) struct LoadShedder {
    recent: HashMap<(ServiceId, u16), RecentOutcomes>,
}

/// How long a caller waits when told to come back, and how much of that is chosen.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Time from the first event's being asked for to its being due.
    pub objective: Duration,
    /// Longest time for which the caller would wait.
    pub max_delay: Duration,
    /// From 0 to 1, chosen at random, so that refused callers do not return as one.
    pub jitter: f64,
}

/// What the caller of a refused request is told, and from what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAfter {
    /// Time to wait.
    pub delay: Duration,
    /// Requests of its service and rank that got places here within the last second.
    pub placed: usize,
    /// Those that were refused, this one included.
    pub refused: usize,
    /// Whether all endpoints that could take it want no request now.
    pub is_throttled: bool,
}

impl RetryAfter {
    /// For a caller for whom there is nothing before an endpoint wants a request again.
    pub(super) fn throttled(self, available_in: Duration, policy: RetryPolicy) -> RetryAfter {
        let delay = available_in.mul_f64(1.0 + policy.jitter).min(policy.max_delay);
        RetryAfter { delay, is_throttled: true, ..self }
    }
}

impl LoadShedder {
    /// Notes that a request got a place.
    pub(super) fn record_placed(&mut self, now: Instant, service: &ServiceId, rank: u16) {
        self.recent(now, service, rank).placed.push_back(now);
    }

    /// Whether a further request is not to get a place, with so many of its rank waiting already.
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

    /// Notes that a request was refused, and tells when its caller should come back.
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
        RetryAfter { delay, placed, refused, is_throttled: false }
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
