//! What is known of the answers of the versions of a service.
//!
//! Each instance counts the answers that it saw: by route, by version, by the time that they took for a unit of work,
//! and failures. The counters are told like those of client accounts, as sums that only grow, and what they
//! grow by is kept here by time, since a version may turn bad late.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Number of an order: a hash of what it asks for.
pub type RolloutId = u32;
/// Number of a route: a hash of its name.
pub type RouteKey = u16;

/// Classes of time, each up to twice that of the one before. Engines differ by 4.4, and answers of a bad version are
/// several times slower.
const LATENCY_BUCKETS: usize = 14;
/// Class of failures.
const FAILURE_BUCKET: u8 = LATENCY_BUCKETS as u8;
/// Nanoseconds for a unit of work up to which an answer is in the first class.
const BUCKET_BASE_NS: f64 = 1_000.0;
/// Time for which answers are added up.
const SLOT_DURATION: Duration = Duration::from_millis(500);
/// Times that are kept: what is older says nothing of a version that has turned bad since.
const MAX_SLOTS: usize = 240;

/// Version of an endpoint's software, as far as an order tells them apart.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum VersionGroup {
    /// Any version but the one that is ordered.
    #[serde(rename = "o")]
    Baseline,
    /// The one that is ordered.
    #[serde(rename = "n")]
    Candidate,
}

/// What an endpoint made of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseOutcome {
    /// A good answer that took so many nanoseconds for a unit of work.
    Success {
        /// Nanoseconds.
        ns_per_unit: f64,
    },
    /// An error of its own, a broken answer, or none.
    Failure,
}

/// What a counter counts.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct ResponseCounterKey {
    /// The order.
    #[serde(rename = "o")]
    pub rollout: RolloutId,
    /// The route.
    #[serde(rename = "r")]
    pub route: RouteKey,
    /// The version.
    #[serde(rename = "s")]
    pub group: VersionGroup,
    /// Class of time, or failures.
    #[serde(rename = "c")]
    bucket: u8,
}

impl ResponseCounterKey {
    /// The counter for an answer.
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

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResponseCounts {
    /// Good answers by class of time.
    by_latency: [u32; LATENCY_BUCKETS],
    failed: u32,
}

impl ResponseCounts {
    /// All answers.
    pub fn total(&self) -> u32 {
        self.by_latency.iter().sum::<u32>() + self.failed
    }

    /// Failures.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Failures, and good answers of a class of time or a slower one.
    pub fn failed_or_slow(&self, bucket: usize) -> u32 {
        self.failed + self.by_latency.iter().skip(bucket).sum::<u32>()
    }

    fn add(&mut self, bucket: u8, n: u32) {
        match self.by_latency.get_mut(usize::from(bucket)) {
            Some(count) => *count += n,
            None => self.failed += n,
        }
    }

    fn merge(&mut self, other: &ResponseCounts) {
        self.by_latency.iter_mut().zip(other.by_latency).for_each(|(sum, n)| *sum += n);
        self.failed += other.failed;
    }
}

/// Classes of time, slower ones later.
pub(super) fn slow_buckets() -> std::ops::Range<usize> {
    1..LATENCY_BUCKETS
}

/// Answers of both versions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupCounts {
    /// Of the versions that run.
    pub baseline: ResponseCounts,
    /// Of the one that is ordered.
    pub candidate: ResponseCounts,
}

/// Answers of both versions in a span.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Comparison {
    /// All of them.
    pub total: GroupCounts,
    /// Those of moments in which the versions that run have answered at least as often. At other moments, as
    /// after the shift, nothing tells a slow version from slow machines.
    pub controlled: GroupCounts,
    /// Of these, those of the new version in its two worst slots that failed or were of a class of time or a slower one.
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

    /// Answers of the new version in its two worst moments that failed or were of a class of time or a slower one.
    pub fn worst_failed_or_slow(&self, bucket: usize) -> u32 {
        self.worst_slots[bucket].0 + self.worst_slots[bucket].1
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

/// Answers of all instances, by time.
#[derive(Debug, Default)]
pub struct ResponseHistory {
    slots: VecDeque<TimeSlot>,
}

impl ResponseHistory {
    /// Adds answers.
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

    /// Answers of the last seconds, of all of them, and of spans between: each of twice as many slots as the one
    /// before. Each with routes by themselves and all routes together.
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

    /// All answers so far, of all routes.
    pub fn totals(&self) -> GroupCounts {
        self.window(self.slots.len()).pop().unwrap_or_default().total
    }
}
