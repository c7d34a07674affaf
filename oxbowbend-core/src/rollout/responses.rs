//! Response statistics for each version of a service.
//!
//! Each instance counts the responses it sees, by route, version and latency per unit of work, and
//! the failures. Instances exchange these as monotonic counters, and their increments are kept here
//! by time, because a version may regress late.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::saturating;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a rollout: a hash of its service and destination.
pub type RolloutId = u32;
/// Identifies a route: a hash of its name.
pub type RouteKey = u16;

/// Number of latency buckets. Engines differ in speed by a factor of up to 4.4, and a regression
/// slows responses down several times.
const LATENCY_BUCKETS: usize = 14;
const FAILURE_BUCKET: u8 = LATENCY_BUCKETS as u8;
/// Bucket `n` covers latencies from this times 2ⁿ to twice that, in nanoseconds per unit of work;
/// the first also covers shorter ones, and the last longer ones.
const BUCKET_BASE_NS: f64 = 1_000.0;
const SLOT_DURATION: Duration = Duration::from_millis(500);
/// Two minutes of traffic; older responses say nothing about a late regression.
const MAX_SLOTS: usize = 240;

/// Which side of the comparison a version is on.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum VersionGroup {
    /// Any version other than the destination of the rollout.
    #[serde(rename = "o")]
    Baseline,
    /// The destination version.
    #[serde(rename = "n")]
    Candidate,
}

/// The result of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseOutcome {
    /// A successful response.
    Success {
        /// Latency in nanoseconds per unit of work.
        ns_per_unit: f64,
    },
    /// A server error, a truncated response, or none.
    Failure,
}

/// The key of a response counter.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct ResponseCounterKey {
    /// The rollout.
    #[serde(rename = "o")]
    pub rollout: RolloutId,
    /// The route.
    #[serde(rename = "r")]
    pub route: RouteKey,
    /// The version group.
    #[serde(rename = "s")]
    pub group: VersionGroup,
    /// The latency bucket, or the one for failures.
    #[serde(rename = "c")]
    bucket: u8,
}

impl ResponseCounterKey {
    /// Returns the key of the counter for a response.
    pub fn new(
        rollout: RolloutId,
        route: &str,
        group: VersionGroup,
        outcome: ResponseOutcome,
    ) -> ResponseCounterKey {
        let bucket = match outcome {
            ResponseOutcome::Failure => FAILURE_BUCKET,
            ResponseOutcome::Success { ns_per_unit } => latency_bucket(ns_per_unit),
        };
        ResponseCounterKey { rollout, route: xxh3_64(route.as_bytes()) as RouteKey, group, bucket }
    }
}

fn latency_bucket(ns_per_unit: f64) -> u8 {
    let exponent = (ns_per_unit / BUCKET_BASE_NS).max(1.0).log2();
    (exponent as usize).min(LATENCY_BUCKETS - 1) as u8
}

/// Response counts of one version group on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResponseCounts {
    /// Successful responses by latency bucket.
    by_latency: [u32; LATENCY_BUCKETS],
    failed: u32,
}

impl ResponseCounts {
    /// Returns the number of responses.
    pub fn total(&self) -> u32 {
        self.failed_or_slow(0)
    }

    /// Returns the number of failures.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Returns the number of failures and of successes in the given bucket or a slower one.
    pub fn failed_or_slow(&self, bucket: usize) -> u32 {
        let slow = self.by_latency.iter().skip(bucket).copied();
        saturating::sum(slow.chain([self.failed]))
    }

    fn add(&mut self, bucket: u8, n: u32) {
        match self.by_latency.get_mut(usize::from(bucket)) {
            Some(count) => saturating::add(count, n),
            None => saturating::add(&mut self.failed, n),
        }
    }

    fn merge(&mut self, other: &ResponseCounts) {
        let counts = self.by_latency.iter_mut().zip(other.by_latency);
        counts.for_each(|(sum, n)| saturating::add(sum, n));
        saturating::add(&mut self.failed, other.failed);
    }
}

/// Returns the buckets that may serve as a threshold for slow responses.
pub(super) fn slow_buckets() -> std::ops::Range<usize> {
    1..LATENCY_BUCKETS
}

/// Response counts of both version groups.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupCounts {
    /// Responses of the baseline.
    pub baseline: ResponseCounts,
    /// Responses of the candidate.
    pub candidate: ResponseCounts,
}

/// Responses of both version groups within a time window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Comparison {
    /// All responses.
    pub total: GroupCounts,
    /// Responses in the time slots in which the baseline responded at least as often. In others,
    /// such as those after the shift, slow machines can't be told from a slow version.
    pub controlled: GroupCounts,
    /// By bucket, the failed or slow candidate responses in each of the two worst controlled slots.
    worst_slots: [(u32, u32); LATENCY_BUCKETS],
}

impl Comparison {
    fn add(&mut self, slot: &GroupCounts) {
        self.total.merge(slot);
        if slot.baseline.total() < slot.candidate.total() {
            return;
        }
        self.controlled.merge(slot);
        for bucket in slow_buckets() {
            let (first, second) = self.worst_slots[bucket];
            let bad = slot.candidate.failed_or_slow(bucket);
            self.worst_slots[bucket] = (first.max(bad), second.max(first.min(bad)));
        }
    }

    /// Returns the number of candidate responses in the two worst slots that failed or fell in the
    /// given bucket or a slower one.
    pub fn worst_failed_or_slow(&self, bucket: usize) -> u32 {
        let (first, second) = self.worst_slots[bucket];
        first.saturating_add(second)
    }
}

impl GroupCounts {
    fn group_mut(&mut self, group: VersionGroup) -> &mut ResponseCounts {
        match group {
            VersionGroup::Baseline => &mut self.baseline,
            VersionGroup::Candidate => &mut self.candidate,
        }
    }

    fn merge(&mut self, other: &GroupCounts) {
        self.baseline.merge(&other.baseline);
        self.candidate.merge(&other.candidate);
    }
}

#[derive(Debug)]
struct TimeSlot {
    start: Instant,
    routes: BTreeMap<RouteKey, GroupCounts>,
}

/// Responses seen by all instances, by time.
#[derive(Debug, Default)]
pub struct ResponseHistory {
    slots: VecDeque<TimeSlot>,
}

impl ResponseHistory {
    /// Adds `n` responses to the current time slot.
    pub fn add(&mut self, now: Instant, key: ResponseCounterKey, n: u64) {
        let n = n.min(u64::from(u32::MAX)) as u32;
        let is_open = |slot: &TimeSlot| now.saturating_duration_since(slot.start) < SLOT_DURATION;
        if !self.slots.back().is_some_and(is_open) {
            self.slots.push_back(TimeSlot { start: now, routes: BTreeMap::new() });
            if self.slots.len() > MAX_SLOTS {
                self.slots.pop_front();
            }
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.routes.entry(key.route).or_default().group_mut(key.group).add(key.bucket, n);
        }
    }

    /// Returns the comparisons for time windows that end now, each twice as long as the one before
    /// and the last covering the whole history. A window has one comparison for each route and one
    /// for all routes together.
    pub fn windows(&self) -> impl Iterator<Item = Vec<Comparison>> + '_ {
        let count = self.slots.len();
        let lengths = std::iter::successors(Some(1_usize), |n| Some(n * 2));
        let lengths = lengths.take_while(move |n| *n < count * 2).map(move |n| n.min(count));
        lengths.map(|length| self.window(length))
    }

    fn window(&self, slots: usize) -> Vec<Comparison> {
        let mut routes: BTreeMap<RouteKey, Comparison> = BTreeMap::new();
        let mut total = Comparison::default();
        for slot in self.slots.iter().rev().take(slots) {
            let mut all_routes = GroupCounts::default();
            for (route, counts) in &slot.routes {
                routes.entry(*route).or_default().add(counts);
                all_routes.merge(counts);
            }
            total.add(&all_routes);
        }
        routes.into_values().chain([total]).collect()
    }

    /// Returns the response counts of the whole history on all routes.
    pub fn totals(&self) -> GroupCounts {
        self.window(self.slots.len()).pop().unwrap_or_default().total
    }
}
