//! Endpoints that have said in an answer that they leave.
//!
//! The platform's list says the same, but not while the store is away, and later. What one instance has read all tell each other, so that
//! nobody begins what the endpoint may not end, and that an instance that starts knows it too. A word is of one start of an endpoint and
//! holds for good: one that comes back under its id has another key. So nothing is told of those that are not listed, and it ends with them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::signals::{Audience, Origin};
use crate::ids::EndpointKey;

/// Time after its word for which an endpoint that is not listed is remembered.
const FORGET: Duration = Duration::from_secs(60);
/// Time for which an instance tells what it has learned: some 40 beats. Who starts later is told all.
const TELL: Duration = Duration::from_secs(5);
/// Endpoints that are told at most, the last ones first.
const MAX_TOLD: usize = 64;

/// An endpoint that is newly known to leave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leaver {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// From whom that is known.
    pub origin: Origin,
}

#[derive(Clone, Copy, Debug)]
struct Word {
    first: Instant,
    last: Instant,
}

/// All endpoints that have said that they leave.
#[derive(Clone, Debug, Default)]
pub(super) struct Leaving {
    known: HashMap<EndpointKey, Word>,
    changes: Vec<Leaver>,
}

impl Leaving {
    /// Takes in that an endpoint leaves.
    pub(super) fn hear(&mut self, now: Instant, endpoint: EndpointKey, origin: Origin) {
        if let Some(word) = self.known.get_mut(&endpoint) {
            word.last = now;
            return;
        }
        self.known.insert(endpoint, Word { first: now, last: now });
        self.changes.push(Leaver { endpoint, origin });
    }

    /// Whether an endpoint has said that it leaves.
    pub(super) fn has(&self, endpoint: EndpointKey) -> bool {
        self.known.contains_key(&endpoint)
    }

    /// How many have.
    pub(super) fn count(&self) -> usize {
        self.known.len()
    }

    /// What to tell of listed endpoints: what is new, or everything to an instance that has just started.
    pub(super) fn tell(
        &self,
        now: Instant,
        audience: Audience,
        is_listed: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<EndpointKey> {
        let is_new = |word: &Word| now.saturating_duration_since(word.first) < TELL;
        let is_told = |(key, word): &(&EndpointKey, &Word)| {
            is_listed(key) && (audience == Audience::Newcomer || is_new(word))
        };
        let mut all: Vec<_> = self.known.iter().filter(is_told).collect();
        all.sort_by_key(|(key, word)| (std::cmp::Reverse(word.first), **key));
        all.into_iter().take(MAX_TOLD).map(|(key, _)| *key).collect()
    }

    /// Forgets endpoints that are not listed any more.
    pub(super) fn forget(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_late = |at: Instant| now.saturating_duration_since(at) > FORGET;
        self.known.retain(|key, word| !is_late(word.last) || is_listed(key));
    }

    /// Those that are newly known since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<Leaver> {
        std::mem::take(&mut self.changes)
    }
}
