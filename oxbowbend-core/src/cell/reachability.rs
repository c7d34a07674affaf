//! Whose parts of the accounts' quotas an instance may use.
//!
//! The load that this answers: accounts that flood while the fleet is cut apart so that some instances hear
//! both sides. Each instance may use the parts of those that it hears, as what they admit is counted here. But
//! an instance that hears both sides is heard by both, and if it admits little itself both use its part:
//! with one of six instances cut off from three of the others, the two sides together used 8 sixths of a
//! quota. So the part of an instance that hears somebody whom this one does not is left to those that do.
//!
//! Why that keeps the sum within the whole: of instances that do not hear each other, no two may use the same
//! part, since whoever is heard by both hears somebody whom either does not; and any set of such instances that
//! cannot be added to is heard, together, by all. What was traded: while the fleet is cut so, the sides
//! leave what the instances between them do not use.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Cell, PEER_TTL};
use crate::ids::InstanceId;

/// Time for which it must have heard others. Instances notice within two beats of each other that one
/// has started or fallen silent.
const UNCOVERED_DELAY: Duration = Duration::from_millis(400);
/// Bits of a name in a set of names. With 12 names 1.5 in 100 others are taken to be in the set.
const HASHES_PER_NAME: u64 = 3;

/// What an instance hears of its cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reachability {
    /// Other instances that it hears.
    pub reachable: usize,
    /// Those of them that hear nobody whom it does not hear.
    pub covered: usize,
}

/// A set of instances as a Bloom filter, which is enough to tell whether one hears somebody whom another does not.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct InstanceFilter([u64; 2]);

impl InstanceFilter {
    fn insert(&mut self, name: &str) {
        for seed in 0..HASHES_PER_NAME {
            let hash = xxh3_64_with_seed(name.as_bytes(), seed);
            self.0[(hash >> 6 & 1) as usize] |= 1 << (hash & 63);
        }
    }

    /// Whether all of these are among others.
    fn is_subset_of(self, other: InstanceFilter) -> bool {
        self.0[0] & !other.0[0] == 0 && self.0[1] & !other.0[1] == 0
    }
}

impl Cell {
    /// Works out what is heard of those that belong to the cell; reports tell of it from now on.
    pub fn update_reachability(
        &mut self,
        now: Instant,
        is_same_cell: impl Fn(&InstanceId) -> bool,
    ) -> Reachability {
        let mut filter = InstanceFilter::default();
        filter.insert(&self.local_id);
        let mut peers = Vec::new();
        for peer in self.peers.values_mut().filter(|p| p.is_live(now, PEER_TTL)) {
            if is_same_cell(&peer.report.instance) {
                filter.insert(&peer.report.instance);
                peers.push(peer);
            }
        }
        let reachable = peers.len();
        let covered =
            peers.into_iter().filter_map(|p| (!p.is_uncovered(now, filter)).then_some(()));
        let covered = covered.count();
        (self.reachable_filter, self.reachable_count) = (filter, reachable as u32 + 1);
        Reachability { reachable, covered }
    }

    /// Instances of the cell that are heard, this one included.
    pub fn reachable_count(&self) -> u32 {
        self.reachable_count
    }
}

impl super::peer::Peer {
    /// Whether it has long heard somebody who is not among these.
    fn is_uncovered(&mut self, now: Instant, reachable: InstanceFilter) -> bool {
        if self.report.reachable_filter.unwrap_or_default().is_subset_of(reachable) {
            self.uncovered_since = None;
            return false;
        }
        let since = *self.uncovered_since.get_or_insert(now);
        now.saturating_duration_since(since) >= UNCOVERED_DELAY
    }
}
