//! Endpoints that have rejected a request and asked this instance to back off, or to which it backs off
//! by itself, since it does not know what else runs there.
//!
//! A backoff applies to one instance only, so it is not reported to others, and it does not count
//! as a failure of the endpoint.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::EndpointKey;

/// Time after a backoff in which an endpoint that has not accepted a request since may reject the
/// next one too.
const UNPROVEN_TTL: Duration = Duration::from_secs(10);

/// Backoff after a rejection for lack of room; doubles with each further one until the endpoint accepts
/// a request.
const REJECTION_BACKOFF: Duration = Duration::from_millis(20);
const MAX_REJECTION_BACKOFF: Duration = Duration::from_millis(320);

/// Backoffs of this instance, by endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoffs {
    /// Rejections for lack of room since the endpoint last accepted a request.
    rejections: HashMap<EndpointKey, u32>,
    /// Their ends. Those that have ended are kept until the endpoint accepts a request.
    until: HashMap<EndpointKey, Instant>,
}

impl Backoffs {
    /// Starts a backoff, or extends the current one. Never shortens it.
    pub(super) fn extend(&mut self, now: Instant, endpoint: EndpointKey, backoff: Duration) {
        let until = self.until.entry(endpoint).or_insert(now);
        *until = (*until).max(now + backoff);
    }

    /// Starts a backoff after a rejection for lack of room.
    pub(super) fn record_full(&mut self, now: Instant, endpoint: EndpointKey) {
        let rejections = self.rejections.entry(endpoint).or_default();
        let backoff = REJECTION_BACKOFF.saturating_mul(1 << (*rejections).min(8));
        *rejections += 1;
        self.extend(now, endpoint, backoff.min(MAX_REJECTION_BACKOFF));
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
            self.rejections.remove(&endpoint);
        }
    }

    /// Returns whether an endpoint's backoff has ended and it has not accepted a request since.
    pub(super) fn is_unproven(&self, now: Instant, endpoint: EndpointKey) -> bool {
        self.until.get(&endpoint).is_some_and(|until| *until <= now)
    }

    /// Drops backoffs that ended long ago.
    pub(super) fn prune(&mut self, now: Instant) {
        self.until.retain(|_, until| *until + UNPROVEN_TTL > now);
        self.rejections.retain(|endpoint, _| self.until.contains_key(endpoint));
    }
}
