//! Signs of life of endpoint starts, as far as this instance has seen them.
//!
//! An entry outlives its endpoint by some heartbeats, and longer while the store is away. An instance
//! that starts beside such entries sends requests to endpoints that were gone before, and then sees
//! their entries removed. Without a sign of life this says nothing about the requests.

use std::collections::HashMap;
use std::time::Instant;

use crate::ids::EndpointKey;

/// Maximum number of starts that are remembered. The one whose last sign of life is oldest is evicted
/// first.
const MAX_STARTS: usize = 2048;

/// The last sign of life of each known start; `None` if there was none.
#[derive(Debug, Default)]
pub(super) struct KnownStarts {
    last_signs: HashMap<EndpointKey, Option<Instant>>,
}

impl KnownStarts {
    /// Records a start that may be gone. Earlier signs of life remain known.
    pub(super) fn record_listed(&mut self, start: EndpointKey) {
        if !self.last_signs.contains_key(&start) {
            self.make_room();
            self.last_signs.insert(start, None);
        }
    }

    pub(super) fn record_sign(&mut self, now: Instant, start: EndpointKey) {
        if !self.last_signs.contains_key(&start) {
            self.make_room();
        }
        self.last_signs.insert(start, Some(now));
    }

    /// Returns the last sign of life of a start, if there was one.
    pub(super) fn last_sign(&self, start: EndpointKey) -> Option<Instant> {
        self.last_signs.get(&start).copied().flatten()
    }

    /// Whether a start was found in a list and has not shown any sign of life since.
    pub(super) fn is_unproven(&self, start: EndpointKey) -> bool {
        self.last_signs.get(&start) == Some(&None)
    }

    fn make_room(&mut self) {
        if self.last_signs.len() < MAX_STARTS {
            return;
        }
        let signs =
            self.last_signs.iter().filter_map(|(start, sign)| Some((*sign.as_ref()?, *start)));
        let Some((_, oldest)) = signs.min() else { return self.last_signs.clear() };
        self.last_signs.remove(&oldest);
    }
}
