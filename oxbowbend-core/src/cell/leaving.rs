//! Endpoints that have said in an answer that they leave.
//!
//! The platform's list says the same, but not while the store is away, and later. What one instance has read all tell each other, so that
//! nobody begins what the endpoint may not end, and that an instance that starts knows it too. A word is of one start of an endpoint and
//! holds for good: one that comes back under its id has another key. So nothing is told of those that are not listed, and it ends with them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::signals::Origin;
use crate::ids::EndpointKey;

/// Time after its word for which an endpoint that is not listed is remembered.
const FORGET: Duration = Duration::from_secs(60);
/// Endpoints that a report tells at most, the last ones first.
const MAX_TOLD: usize = 32;

/// An endpoint that is newly known to leave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leaver {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// From whom that is known.
    pub origin: Origin,
}

/// All endpoints that have said that they leave.
#[derive(Clone, Debug, Default)]
pub(super) struct Leaving {
    /// With the time of the last word.
    known: HashMap<EndpointKey, Instant>,
    changes: Vec<Leaver>,
}

impl Leaving {
    /// Takes in that an endpoint leaves.
    pub(super) fn hear(&mut self, now: Instant, endpoint: EndpointKey, origin: Origin) {
        if self.known.insert(endpoint, now).is_none() {
            self.changes.push(Leaver { endpoint, origin });
        }
    }

    /// Whether an endpoint has said that it leaves.
    pub(super) fn has(&self, endpoint: EndpointKey) -> bool {
        self.known.contains_key(&endpoint)
    }

    /// How many have.
    pub(super) fn count(&self) -> usize {
        self.known.len()
    }

    /// What to tell of endpoints of which others are told.
    pub(super) fn tell(&self, is_for: impl Fn(&EndpointKey) -> bool) -> Vec<EndpointKey> {
        let mut all: Vec<_> = self.known.iter().filter(|(key, _)| is_for(key)).collect();
        all.sort_by_key(|(key, at)| (std::cmp::Reverse(**at), **key));
        all.into_iter().take(MAX_TOLD).map(|(key, _)| *key).collect()
    }

    /// Forgets endpoints that are not listed any more.
    pub(super) fn forget(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_late = |at: Instant| now.saturating_duration_since(at) > FORGET;
        self.known.retain(|key, at| !is_late(*at) || is_listed(key));
    }

    /// Those that are newly known since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<Leaver> {
        std::mem::take(&mut self.changes)
    }
}
