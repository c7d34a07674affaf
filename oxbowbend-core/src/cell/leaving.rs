//! Endpoints known to be draining.
//!
//! An endpoint signals in a response that it is draining. The platform's list of endpoints says so
//! too, but later, and not while the store is unreachable. Instances report the signal to each
//! other, so that none starts a request that the endpoint may not finish.
//!
//! Draining is final: an endpoint that restarts under the same id has a new key. Unlisted endpoints
//! are neither reported nor remembered for long.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::signals::{Audience, Origin};
use crate::ids::EndpointKey;

/// Time after its last signal for which an unlisted endpoint is remembered.
const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// Time for which a new signal is included in reports, some 40 of them. Instances that start later
/// get all.
const REPORT_NEW_FOR: Duration = Duration::from_secs(5);
/// Maximum number of endpoints in a report, the latest first.
const MAX_REPORTED: usize = 64;

/// An endpoint that is newly known to be draining.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainNotice {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Where the signal came from.
    pub origin: Origin,
}

#[derive(Clone, Copy, Debug)]
struct DrainRecord {
    first_heard: Instant,
    last_heard: Instant,
}

/// All endpoints that are known to be draining.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainingEndpoints {
    records: HashMap<EndpointKey, DrainRecord>,
    notices: Vec<DrainNotice>,
}

impl DrainingEndpoints {
    /// Records that an endpoint is draining.
    pub(super) fn record(&mut self, now: Instant, endpoint: EndpointKey, origin: Origin) {
        if let Some(record) = self.records.get_mut(&endpoint) {
            record.last_heard = now;
            return;
        }
        self.records.insert(endpoint, DrainRecord { first_heard: now, last_heard: now });
        self.notices.push(DrainNotice { endpoint, origin });
    }

    pub(super) fn contains(&self, endpoint: EndpointKey) -> bool {
        self.records.contains_key(&endpoint)
    }

    pub(super) fn count(&self) -> usize {
        self.records.len()
    }

    /// Returns the listed endpoints to report: those newly known, or all of them to an instance
    /// that has just started.
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

    /// Drops unlisted endpoints after [`UNLISTED_TTL`].
    pub(super) fn prune(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > UNLISTED_TTL;
        self.records.retain(|key, record| !is_expired(record.last_heard) || is_listed(key));
    }

    /// Returns the notices since the last call.
    pub(super) fn take_notices(&mut self) -> Vec<DrainNotice> {
        std::mem::take(&mut self.notices)
    }
}
