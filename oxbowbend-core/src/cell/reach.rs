//! Which instances' shares of account quotas an instance may use.
//!
//! An instance may use the shares of instances that it can reach, because it counts what they
//! admit. During a partial network partition an instance can be reachable from both sides, and each
//! side would use its share. So the share of an instance that reaches some instance this one cannot
//! is left to others.
//!
//! This bounds the sum of all shares by the whole quota: no share is usable by two instances that
//! cannot reach each other, because any instance that both of them reach is uncovered for each. The
//! shares of instances that reach both sides of a partition may go partly unused.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Cell, PEER_TTL};
use crate::ids::InstanceId;

/// Time for which a peer must have reached additional instances before it counts as uncovered.
/// Instances notice starts and failures within two heartbeats of each other.
const UNCOVERED_DELAY: Duration = Duration::from_millis(400);
/// Bits set per name. With 12 instances in the filter the false positive rate is 1.5%.
const HASHES_PER_NAME: u64 = 3;

/// Reachability of the instances of a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reachability {
    /// Other instances that this one can reach.
    pub reachable: usize,
    /// Reachable instances that reach no instance this one cannot.
    pub covered: usize,
}

/// A Bloom filter of instance names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct InstanceFilter([u64; 2]);

impl InstanceFilter {
    fn insert(&mut self, name: &str) {
        for seed in 0..HASHES_PER_NAME {
            let hash = xxh3_64_with_seed(name.as_bytes(), seed);
            self.0[(hash >> 6 & 1) as usize] |= 1 << (hash & 63);
        }
    }

    fn is_subset_of(self, other: InstanceFilter) -> bool {
        self.0[0] & !other.0[0] == 0 && self.0[1] & !other.0[1] == 0
    }
}

impl Cell {
    /// Recomputes which instances of the cell are reachable. Later reports include the result.
    pub fn update_reachability(
        &mut self,
        now: Instant,
        is_same_cell: impl Fn(&InstanceId) -> bool,
    ) -> Reachability {
        let mut reachable_filter = InstanceFilter::default();
        reachable_filter.insert(&self.local_id);
        let mut peers = Vec::new();
        for peer in self.peers.values_mut().filter(|p| p.is_live(now, PEER_TTL)) {
            if is_same_cell(&peer.report.instance) {
                reachable_filter.insert(&peer.report.instance);
                peers.push(peer);
            }
        }
        let reachable = peers.len();
        let covered = peers
            .into_iter()
            .filter_map(|p| (!p.is_uncovered(now, reachable_filter)).then_some(()));
        let covered = covered.count();
        (self.reachable_filter, self.reachable_count) = (reachable_filter, reachable as u32 + 1);
        Reachability { reachable, covered }
    }

    /// Number of reachable instances of the cell, including this one.
    pub fn reachable_count(&self) -> u32 {
        self.reachable_count
    }
}

impl super::peer::Peer {
    /// Whether the peer has for some time reached an instance that is not in `reachable`.
    fn is_uncovered(&mut self, now: Instant, reachable: InstanceFilter) -> bool {
        if self.report.reachable_filter.unwrap_or_default().is_subset_of(reachable) {
            self.uncovered_since = None;
            return false;
        }
        let since = *self.uncovered_since.get_or_insert(now);
        now.saturating_duration_since(since) >= UNCOVERED_DELAY
    }
}
