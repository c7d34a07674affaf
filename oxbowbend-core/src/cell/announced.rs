//! Limits that endpoints announce in their responses, and how the instances come to agree on them.
//!
//! A stricter limit is believed at once, a looser one or its end only from an answer to a request
//! that was sent after the stricter one became known.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::signals::{Audience, Origin, SignalValue};
use crate::ids::EndpointKey;

/// Time for which the removal of a limit is reported.
const REPORT_REMOVAL_FOR: Duration = Duration::from_secs(3);
/// Time for which the limit of an unlisted endpoint is kept after its last response.
pub(super) const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// Maximum number of limits in a report, the latest first.
pub(super) const MAX_REPORTED: usize = 16;

/// A limit in a report. Serialized as an array of its fields in this order.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(EndpointKey, Option<f64>, u32)", into = "(EndpointKey, Option<f64>, u32)")]
pub struct ReportedLimit {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// What is limited, per second; `None` if the limit has been removed.
    pub per_s: Option<f64>,
    /// Milliseconds since the response that set it.
    pub age_ms: u32,
}

impl From<(EndpointKey, Option<f64>, u32)> for ReportedLimit {
    fn from((endpoint, per_s, age_ms): (EndpointKey, Option<f64>, u32)) -> ReportedLimit {
        ReportedLimit { endpoint, per_s, age_ms }
    }
}

impl From<ReportedLimit> for (EndpointKey, Option<f64>, u32) {
    fn from(reported: ReportedLimit) -> (EndpointKey, Option<f64>, u32) {
        (reported.endpoint, reported.per_s, reported.age_ms)
    }
}

/// A change of an endpoint's limit as known to this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// What is limited, per second; `None` if the limit has been removed.
    pub per_s: Option<f64>,
    /// Previous value of `per_s`.
    pub previous: Option<f64>,
    /// Where the change was learned from.
    pub origin: Origin,
    /// Time since the response that made the change.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    per_s: Option<f64>,
    /// Time of the response that set the limit.
    answered_at: Instant,
    origin: Origin,
}

/// Known limits of one kind, by endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct AnnouncedLimits {
    known: HashMap<EndpointKey, KnownLimit>,
    changes: Vec<LimitChange>,
}

impl AnnouncedLimits {
    /// Applies the signal in a response to a request that was sent at `sent_at`.
    pub(super) fn record_response(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        sent_at: Instant,
        signal: SignalValue<f64>,
    ) {
        let per_s = match signal {
            SignalValue::Nothing => None,
            SignalValue::Value(per_s) => Some(per_s),
            SignalValue::Unreadable => return,
        };
        let known = self.known.get(&endpoint);
        let is_looser =
            |known: &KnownLimit| rate_or_infinity(per_s) > rate_or_infinity(known.per_s);
        if known.is_none() && per_s.is_none()
            || known.is_some_and(|known| is_looser(known) && sent_at <= known.answered_at)
        {
            return;
        }
        self.set(now, endpoint, per_s, now, Origin::Answer);
    }

    /// Merges limits reported by another instance.
    pub(super) fn merge_reported(
        &mut self,
        now: Instant,
        reported: &[ReportedLimit],
        origin: Origin,
    ) {
        for ReportedLimit { endpoint, per_s, age_ms } in reported.iter().copied() {
            let Some(answered_at) = now.checked_sub(Duration::from_millis(age_ms.into())) else {
                continue;
            };
            let is_newer = match self.known.get(&endpoint) {
                // An unchanged limit is not refreshed, or instances would keep each other's copies
                // alive.
                Some(known) => known.per_s != per_s && answered_at > known.answered_at,
                None => per_s.is_some(),
            };
            if is_newer && per_s.is_none_or(|n| n.is_finite() && n >= 0.0) {
                self.set(now, endpoint, per_s, answered_at, origin);
            }
        }
    }

    fn set(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        per_s: Option<f64>,
        answered_at: Instant,
        origin: Origin,
    ) {
        let known = KnownLimit { per_s, answered_at, origin };
        let previous = self.known.insert(endpoint, known).and_then(|known| known.per_s);
        if previous != per_s {
            let age = now.saturating_duration_since(answered_at);
            self.changes.push(LimitChange { endpoint, per_s, previous, origin, age });
        }
    }

    /// Returns the limit of an endpoint.
    pub(super) fn get(&self, endpoint: EndpointKey) -> Option<f64> {
        self.known.get(&endpoint)?.per_s
    }

    /// Whether an endpoint has, or had, a limit.
    pub(super) fn is_known(&self, endpoint: EndpointKey) -> bool {
        self.known.contains_key(&endpoint)
    }

    /// Returns the endpoints that have a limit.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.known.iter().filter(|(_, known)| known.per_s.is_some()).map(|(key, _)| *key)
    }

    /// Returns the relevant limits to report.
    pub(super) fn to_report(
        &self,
        now: Instant,
        audience: Audience,
        is_relevant: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<ReportedLimit> {
        let age = |known: &KnownLimit| now.saturating_duration_since(known.answered_at);
        let should_report = |(key, known): &(&EndpointKey, &KnownLimit)| {
            audience.receives(known.origin)
                && (known.per_s.is_some() || age(known) < REPORT_REMOVAL_FOR)
                && is_relevant(key)
        };
        let mut reported: Vec<_> = self.known.iter().filter(should_report).collect();
        reported.sort_by_key(|(key, known)| (age(known), **key));
        let to_reported = |(key, known): (&EndpointKey, &KnownLimit)| ReportedLimit {
            endpoint: *key,
            per_s: known.per_s,
            age_ms: age(known).as_millis().min(u128::from(u32::MAX)) as u32,
        };
        reported.into_iter().take(MAX_REPORTED).map(to_reported).collect()
    }

    /// Drops removed limits and limits of unlisted endpoints after [`UNLISTED_TTL`].
    pub(super) fn prune(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_expired =
            |known: &KnownLimit| now.saturating_duration_since(known.answered_at) > UNLISTED_TTL;
        self.known
            .retain(|key, known| !is_expired(known) || known.per_s.is_some() && is_listed(key));
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}

fn rate_or_infinity(per_s: Option<f64>) -> f64 {
    per_s.unwrap_or(f64::INFINITY)
}
