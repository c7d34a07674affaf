//! Endpoints that have rejected a request and asked this instance to back off.
//!
//! A backoff applies to one instance only, so it is not reported to others, and it does not count
//! as a failure of the endpoint.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointKey;

/// Time after a backoff in which an endpoint that has not accepted a request since may reject the
/// next one too.
const UNPROVEN_TTL: Duration = Duration::from_secs(10);

/// Backoffs of this instance, by endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoffs {
    /// Their ends. Those that have ended are kept until the endpoint accepts a request.
    until: HashMap<EndpointKey, Instant>,
}

impl Backoffs {
    /// Starts a backoff, or extends the current one. Never shortens it.
    pub(super) fn extend(&mut self, now: Instant, endpoint: EndpointKey, backoff: Duration) {
        let until = self.until.entry(endpoint).or_insert(now);
        *until = (*until).max(now + backoff);
    }

    /// Returns the remaining time of an endpoint's backoff, if there is one.
    pub(super) fn remaining(&self, now: Instant, endpoint: EndpointKey) -> Option<Duration> {
        let remaining = self.until.get(&endpoint)?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the endpoints whose backoff has not ended.
    pub(super) fn active(&self, now: Instant) -> impl Iterator<Item = EndpointKey> + '_ {
        self.until.iter().filter(move |(_, until)| **until > now).map(|(key, _)| *key)
    }

    /// Records that an endpoint accepted a request that was sent at `sent_at`.
    pub(super) fn record_accepted(&mut self, sent_at: Instant, endpoint: EndpointKey) {
        if self.until.get(&endpoint).is_some_and(|until| *until <= sent_at) {
            self.until.remove(&endpoint);
        }
    }

    /// Returns whether an endpoint's backoff has ended and it has not accepted a request since.
    pub(super) fn is_unproven(&self, now: Instant, endpoint: EndpointKey) -> bool {
        self.until.get(&endpoint).is_some_and(|until| *until <= now)
    }

    /// Drops backoffs that ended long ago.
    pub(super) fn prune(&mut self, now: Instant) {
        self.until.retain(|_, until| *until + UNPROVEN_TTL > now);
    }
}
