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
const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// Time for which an instance tells what it has learned: some 40 beats. Who starts later is told all.
const REPORT_NEW_FOR: Duration = Duration::from_secs(5);
/// Endpoints that are told at most, the last ones first.
const MAX_REPORTED: usize = 64;

/// An endpoint that is newly known to leave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainNotice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// From whom that is known.
    pub origin: Origin,
}

#[derive(Clone, Copy, Debug)]
struct DrainRecord {
    first_heard: Instant,
    last_heard: Instant,
}

/// All endpoints that have said that they leave.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainingEndpoints {
    records: HashMap<EndpointKey, DrainRecord>,
    notices: Vec<DrainNotice>,
}

impl DrainingEndpoints {
    /// Takes in that an endpoint leaves.
    pub(super) fn record(&mut self, now: Instant, endpoint: EndpointKey, origin: Origin) {
        if let Some(record) = self.records.get_mut(&endpoint) {
            record.last_heard = now;
            return;
        }
        self.records.insert(endpoint, DrainRecord { first_heard: now, last_heard: now });
        self.notices.push(DrainNotice { endpoint, origin });
    }

    /// Whether an endpoint has said that it leaves.
    pub(super) fn contains(&self, endpoint: EndpointKey) -> bool {
        self.records.contains_key(&endpoint)
    }

    /// How many have.
    pub(super) fn count(&self) -> usize {
        self.records.len()
    }

    /// What to tell of listed endpoints: what is new, or everything to an instance that has just started.
    pub(super) fn to_report(
        &self,
        now: Instant,
        audience: Audience,
        is_listed: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<EndpointKey> {
        let is_new = |record: &DrainRecord| {
            now.saturating_duration_since(record.first_heard) < REPORT_NEW_FOR
        };
        let should_report = |(key, record): &(&EndpointKey, &DrainRecord)| {
            is_listed(key) && (audience == Audience::Newcomer || is_new(record))
        };
        let mut all: Vec<_> = self.records.iter().filter(should_report).collect();
        all.sort_by_key(|(key, record)| (std::cmp::Reverse(record.first_heard), **key));
        all.into_iter().take(MAX_REPORTED).map(|(key, _)| *key).collect()
    }

    /// Forgets endpoints that are not listed any more.
    pub(super) fn prune(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > UNLISTED_TTL;
        self.records.retain(|key, record| !is_expired(record.last_heard) || is_listed(key));
    }

    /// Those that are newly known since the last call.
    pub(super) fn take_notices(&mut self) -> Vec<DrainNotice> {
        std::mem::take(&mut self.notices)
    }
}
