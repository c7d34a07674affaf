//! Rate limits that endpoints set for all instances together.
//!
//! Each instance has a token bucket with its share of the limit and sends without asking others.
//! Since a full bucket can be spent at once, the capacities of all buckets together stay within the
//! burst that is allowed in a window of [`WINDOW_SECS`] seconds: [`BURST_FRACTION`] of the limit and
//! [`BURST_REQUESTS`] requests.
//!
//! If the burst is less than one request per instance, only the first instances in the order of a
//! hash of endpoint and instance get a share. All instances compute this from the same list of
//! instances, so the bound holds in whatever order requests, responses and reports arrive, and
//! whichever are lost.
//!
//! Quotas of client accounts instead count what other instances report. That does not work here:
//! one request per instance before the first report would already exceed the limit.
//!
//! The share of an idle instance is not used by others, nor is that of a terminated one until its
//! registry entry expires.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::signals::{Audience, Origin, SignalValue};
use crate::ids::{EndpointKey, InstanceId};

/// Window in which the bound holds.
const WINDOW_SECS: f64 = 4.0;
/// Fraction of the limit that may be exceeded within a window.
const BURST_FRACTION: f64 = 0.5;
/// Requests that may be sent within a window beyond that.
const BURST_REQUESTS: f64 = 5.0;
/// Fraction of [`BURST_FRACTION`] and number of [`BURST_REQUESTS`] kept in reserve for delayed
/// requests and for instances that others do not know of yet.
const BURST_MARGIN: (f64, f64) = (0.25, 1.0);
/// Minimum rate, even for a limit of 0, so that a response can signal that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.2;
/// Time for which the removal of a limit is reported.
const REPORT_REMOVAL_FOR: Duration = Duration::from_secs(3);
/// Time for which the limit of an unlisted endpoint is kept after its last response.
const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// Maximum number of limits in a report, the latest first.
const MAX_REPORTED: usize = 16;

/// Set of instances that share the limit of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// The instances of this cell.
    Cell,
    /// All instances of the fleet.
    Fleet,
}

/// A limit in a report. Serialized as an array of its fields in this order.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(EndpointKey, Option<f64>, u32)", into = "(EndpointKey, Option<f64>, u32)")]
pub struct ReportedLimit {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Requests per second; `None` if the limit has been removed.
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
    /// Requests per second; `None` if the limit has been removed.
    pub per_s: Option<f64>,
    /// Previous value of `per_s`.
    pub previous: Option<f64>,
    /// Where the change was learned from.
    pub origin: Origin,
    /// Time since the response that made the change.
    pub age: Duration,
}

/// Token bucket with this instance's share of a limit.
#[derive(Clone, Copy, Debug)]
struct LimitShare {
    /// The whole limit. With `generation` and `scope`, it determines the share.
    limit: f64,
    generation: u64,
    scope: Scope,
    refill_per_s: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Instant,
}

#[derive(Clone, Debug)]
struct KnownLimit {
    per_s: Option<f64>,
    /// Time of the response that set the limit.
    answered_at: Instant,
    origin: Origin,
    share: Option<LimitShare>,
}

/// Known limits of all endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    own_hash: u64,
    /// Hashes of the names of all instances of the cell and of the fleet.
    cell_hashes: Vec<u64>,
    fleet_hashes: Vec<u64>,
    /// Incremented whenever the instances change.
    generation: u64,
    known_limits: HashMap<EndpointKey, KnownLimit>,
    changes: Vec<LimitChange>,
}

impl RateLimits {
    pub(super) fn new(me: &InstanceId) -> RateLimits {
        let own_hash = xxh3_64(me.as_bytes());
        RateLimits {
            own_hash,
            cell_hashes: vec![own_hash],
            fleet_hashes: vec![own_hash],
            ..RateLimits::default()
        }
    }

    /// Sets the instances that share the limits.
    pub(super) fn set_instances<'a>(
        &mut self,
        cell: impl Iterator<Item = &'a InstanceId>,
        fleet: impl Iterator<Item = &'a InstanceId>,
    ) {
        let hash = |name: &InstanceId| xxh3_64(name.as_bytes());
        (self.cell_hashes, self.fleet_hashes) =
            (cell.map(hash).collect(), fleet.map(hash).collect());
        self.generation += 1;
    }

    /// Applies the signal in a response to a request that was sent at `sent_at`.
    ///
    /// Responses may arrive out of order, so a stricter limit takes effect at once, but a looser
    /// one only if its request was sent after the stricter one became known.
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
        let known = self.known_limits.get(&endpoint);
        let is_looser =
            |known: &KnownLimit| rate_or_infinity(per_s) > rate_or_infinity(known.per_s);
        if known.is_none() && per_s.is_none()
            || known.is_some_and(|known| is_looser(known) && sent_at <= known.answered_at)
        {
            return;
        }
        self.set_limit(now, endpoint, per_s, now, Origin::Answer);
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
            let is_newer = match self.known_limits.get(&endpoint) {
                // An unchanged limit is not refreshed, or instances would keep each other's copies
                // alive.
                Some(known) => known.per_s != per_s && answered_at > known.answered_at,
                None => per_s.is_some(),
            };
            if is_newer && per_s.is_none_or(|n| n.is_finite() && n >= 0.0) {
                self.set_limit(now, endpoint, per_s, answered_at, origin);
            }
        }
    }

    fn set_limit(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        per_s: Option<f64>,
        answered_at: Instant,
        origin: Origin,
    ) {
        let known = self.known_limits.remove(&endpoint);
        let (previous, share) = known.map_or((None, None), |known| (known.per_s, known.share));
        if previous != per_s {
            let age = now.saturating_duration_since(answered_at);
            self.changes.push(LimitChange { endpoint, per_s, previous, origin, age });
        }
        let share = share.filter(|_| per_s.is_some());
        self.known_limits.insert(endpoint, KnownLimit { per_s, answered_at, origin, share });
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
        let mut reported: Vec<_> = self.known_limits.iter().filter(should_report).collect();
        reported.sort_by_key(|(key, known)| (age(known), **key));
        let to_reported = |(key, known): (&EndpointKey, &KnownLimit)| ReportedLimit {
            endpoint: *key,
            per_s: known.per_s,
            age_ms: age(known).as_millis().min(u128::from(u32::MAX)) as u32,
        };
        reported.into_iter().take(MAX_REPORTED).map(to_reported).collect()
    }

    /// Returns the number of requests that this instance may send to an endpoint now; `None` if it
    /// has no limit.
    pub(super) fn available_requests(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        scope: Scope,
    ) -> Option<u32> {
        self.share(now, endpoint, scope).map(|share| share.tokens as u32)
    }

    /// Takes the token of one request from this instance's share.
    pub(super) fn take(&mut self, now: Instant, endpoint: EndpointKey, scope: Scope) {
        if let Some(share) = self.share(now, endpoint, scope) {
            share.tokens -= 1.0;
        }
    }

    /// Returns the time until this instance may send the next request, or, if it has no share,
    /// until another one may; `None` if there is no limit.
    pub(super) fn time_to_next_request(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        scope: Scope,
    ) -> Option<Duration> {
        let share = self.share(now, endpoint, scope)?;
        let seconds = match share.refill_per_s > 0.0 {
            true => (1.0 - share.tokens).max(0.0) / share.refill_per_s,
            false => 1.0 / share.limit.max(MIN_RATE_PER_S),
        };
        Some(Duration::from_secs_f64(seconds.min(UNLISTED_TTL.as_secs_f64())))
    }

    /// Returns this instance's refilled share; `None` if there is no limit.
    fn share(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        scope: Scope,
    ) -> Option<&mut LimitShare> {
        let limit = self.known_limits.get(&endpoint)?.per_s?;
        let previous = self.known_limits.get(&endpoint)?.share;
        let is_current = |share: &LimitShare| {
            (share.limit, share.generation, share.scope) == (limit, self.generation, scope)
        };
        let share = match previous.filter(is_current) {
            Some(share) => share.refilled(now),
            None => self.compute_share(now, endpoint, limit, scope, previous),
        };
        let known = self.known_limits.get_mut(&endpoint)?;
        Some(known.share.insert(share))
    }

    fn compute_share(
        &self,
        now: Instant,
        endpoint: EndpointKey,
        limit: f64,
        scope: Scope,
        previous: Option<LimitShare>,
    ) -> LimitShare {
        let instances = match scope {
            Scope::Cell => &self.cell_hashes,
            Scope::Fleet => &self.fleet_hashes,
        };
        let per_s = limit.max(MIN_RATE_PER_S);
        let burst = BURST_FRACTION * WINDOW_SECS * per_s * (1.0 - BURST_MARGIN.0) + BURST_REQUESTS
            - BURST_MARGIN.1;
        let shares = burst.floor().min(instances.len() as f64);
        let order = |name: &u64| xxh3_64_with_seed(&name.to_le_bytes(), endpoint.into());
        let own_order = order(&self.own_hash);
        let rank = instances.iter().filter(|name| order(name) < own_order).count();
        let (refill_per_s, capacity) = match (rank as f64) < shares {
            true => (per_s / shares, burst / shares),
            false => (0.0, 0.0),
        };
        let tokens = match previous {
            Some(previous) => previous.refilled(now).tokens.min(capacity),
            // Starts at a level that depends on the instance, so that not all send at the same
            // time.
            None => (own_order >> 11) as f64 / (1_u64 << 53) as f64 * capacity.min(1.0),
        };
        LimitShare {
            limit,
            generation: self.generation,
            scope,
            refill_per_s,
            capacity,
            tokens,
            updated_at: now,
        }
    }

    /// Returns the endpoints that have a limit.
    pub(super) fn limited_endpoints(&self) -> Vec<EndpointKey> {
        let limited = self.known_limits.iter().filter(|(_, known)| known.per_s.is_some());
        limited.map(|(key, _)| *key).collect()
    }

    /// Drops removed limits and limits of unlisted endpoints after [`UNLISTED_TTL`].
    pub(super) fn prune(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_expired =
            |known: &KnownLimit| now.saturating_duration_since(known.answered_at) > UNLISTED_TTL;
        self.known_limits
            .retain(|key, known| !is_expired(known) || known.per_s.is_some() && is_listed(key));
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}

impl LimitShare {
    fn refilled(self, now: Instant) -> LimitShare {
        let time = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let tokens = (self.tokens + self.refill_per_s * time).min(self.capacity);
        LimitShare { tokens, updated_at: now.max(self.updated_at), ..self }
    }
}

fn rate_or_infinity(per_s: Option<f64>) -> f64 {
    per_s.unwrap_or(f64::INFINITY)
}
