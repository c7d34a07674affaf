//! A model of the contents of an endpoint's prefix cache.
//!
//! Engines publish cache events late and incompletely, so the model is derived from the prompts
//! that the scheduler sends: their blocks stay cached until newer tokens evict them. The model is
//! inaccurate if the engine does not evict in least-recently-used order; cached-token counts
//! reported by runs are not used to correct it.

use std::collections::{BTreeMap, HashMap};

/// Number of prompt tokens covered by one prefix hash.
pub const BLOCK_TOKENS: u32 = 64;

/// A least-recently-used model of one endpoint's prefix cache.
///
/// ```
/// use oxbowbend_core::cache::{PrefixCache, BLOCK_TOKENS};
/// let mut cache = PrefixCache::new(1024);
/// cache.insert(&[1, 2, 3]);
/// assert_eq!(cache.cached_tokens(&[1, 2, 9]), 2 * BLOCK_TOKENS);
/// ```
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    last_used: HashMap<u64, u64>,
    by_recency: BTreeMap<u64, u64>,
    tick: u64,
}

impl PrefixCache {
    /// Creates an empty model of a cache with room for `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> PrefixCache {
        let capacity_blocks = (capacity_tokens / u64::from(BLOCK_TOKENS)) as usize;
        PrefixCache {
            capacity_blocks,
            last_used: HashMap::new(),
            by_recency: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Records a prompt sent to the endpoint, given its cumulative block hashes.
    pub fn insert(&mut self, prefix: &[u64]) {
        for hash in prefix.iter().take(self.capacity_blocks) {
            self.tick += 1;
            if let Some(old) = self.last_used.insert(*hash, self.tick) {
                self.by_recency.remove(&old);
            }
            self.by_recency.insert(self.tick, *hash);
        }
        while self.last_used.len() > self.capacity_blocks {
            let Some((_, hash)) = self.by_recency.pop_first() else { break };
            self.last_used.remove(&hash);
        }
    }

    /// Returns the number of prompt tokens that are probably cached.
    pub fn cached_tokens(&self, prefix: &[u64]) -> u32 {
        let hits = prefix.iter().take_while(|h| self.last_used.contains_key(h)).count();
        hits as u32 * BLOCK_TOKENS
    }
}
