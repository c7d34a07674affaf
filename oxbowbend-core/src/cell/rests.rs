//! Endpoints that have turned a request away and asked this instance for rest.
//!
//! A rest is between one endpoint and one instance, so others are not told. It says nothing against the endpoint, which is
//! there again when it is over.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointKey;

/// Until when endpoints want nothing from this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Rests {
    until: HashMap<EndpointKey, Instant>,
}

impl Rests {
    /// Grants a rest from now on. A shorter one does not end one that goes on.
    pub(super) fn grant(&mut self, now: Instant, endpoint: EndpointKey, rest: Duration) {
        let until = self.until.entry(endpoint).or_insert(now);
        *until = (*until).max(now + rest);
    }

    /// What is left of an endpoint's rest.
    pub(super) fn left(&self, now: Instant, endpoint: EndpointKey) -> Option<Duration> {
        let left = self.until.get(&endpoint)?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Endpoints that rest.
    pub(super) fn resting(&self, now: Instant) -> impl Iterator<Item = EndpointKey> + '_ {
        self.until.iter().filter(move |(_, until)| **until > now).map(|(key, _)| *key)
    }

    /// Forgets rests that are over.
    pub(super) fn forget(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
