//! Endpoints that have turned a request away and asked this instance for rest.
//!
//! A rest is between one endpoint and one instance, so others are not told. It says nothing against the endpoint, which is
//! there again when it is over.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointKey;

/// Until when endpoints want nothing from this instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoffs {
    until: HashMap<EndpointKey, Instant>,
}

impl Backoffs {
    /// Grants a rest from now on. A shorter one does not end one that goes on.
    pub(super) fn extend(&mut self, now: Instant, endpoint: EndpointKey, backoff: Duration) {
        let until = self.until.entry(endpoint).or_insert(now);
        *until = (*until).max(now + backoff);
    }

    /// What is left of an endpoint's rest.
    pub(super) fn remaining(&self, now: Instant, endpoint: EndpointKey) -> Option<Duration> {
        let remaining = self.until.get(&endpoint)?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Endpoints that rest.
    pub(super) fn active(&self, now: Instant) -> impl Iterator<Item = EndpointKey> + '_ {
        self.until.iter().filter(move |(_, until)| **until > now).map(|(key, _)| *key)
    }

    /// Forgets rests that are over.
    pub(super) fn prune(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }
}
