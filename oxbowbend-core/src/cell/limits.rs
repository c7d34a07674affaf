//! Rate limits that endpoints name for all instances together.
//!
//! The load that this answers: an endpoint in need takes a few requests a second or fewer, and up to hundreds of
//! instances send to it. They hear of the limit one after the other, come and go and lose each other. What all of
//! them send within [`WINDOW_SECS`] must stay below one and a half times the limit and [`BURST_REQUESTS`] requests.
//!
//! Each instance has a part of the limit, a token bucket of its own, and asks nobody before it sends. A full
//! bucket can be spent at once whatever its rate, so the buckets together hold no more than the users' bound has beyond the rate.
//! Where that is less than one request for each instance, only the first ones by a hash of endpoint and instance have parts; all
//! agree on who they are, from the list of instances. So the bound holds for any order in which requests, answers and reports arrive,
//! and for any that are lost.
//!
//! Quotas of accounts are kept in another way, by counting what others tell that they have admitted. Their bounds are wide enough for what
//! is not told yet; here one request of each instance before the first word of the others is too much.
//!
//! What was traded: the part of an instance with no request for the endpoint is not used by others, and that of one that is gone not before
//! its entry has lapsed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::signals::{Audience, Origin, Said};
use crate::ids::{EndpointKey, InstanceId};

/// Seconds of the window in which the users count.
const WINDOW_SECS: f64 = 4.0;
/// Part of the limit that it may get beyond it in a window.
const BURST_FRACTION: f64 = 0.5;
/// Requests that it may get beyond that.
const BURST_REQUESTS: f64 = 5.0;
/// Part of the overage, and requests of the slack, that are left to requests that are late on their way and to instances that
/// start while others do not know of them.
const BURST_MARGIN: (f64, f64) = (0.25, 1.0);
/// Least rate that is used, so that an answer tells of the end of a limit of next to nothing.
const MIN_RATE_PER_S: f64 = 0.2;
/// Time for which the end of a limit is told.
const REPORT_REMOVAL_FOR: Duration = Duration::from_secs(3);
/// Time after the last word of an endpoint that is not listed for which its limit is kept.
const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// Limits that a report tells at most, the newest first.
const MAX_REPORTED: usize = 16;

/// Who shares an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// The instances of one cell.
    Cell,
    /// All instances of the fleet.
    Fleet,
}

/// A limit as instances tell it to each other. It travels as a list of its parts in this order.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(EndpointKey, Option<f64>, u32)", into = "(EndpointKey, Option<f64>, u32)")]
pub struct ReportedLimit {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests a second; none if it names no limit any more.
    pub per_s: Option<f64>,
    /// Milliseconds since an answer said so.
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

/// A change of what is believed of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests a second; none if there is no limit any more.
    pub per_s: Option<f64>,
    /// The same before.
    pub previous: Option<f64>,
    /// From whom that is known.
    pub origin: Origin,
    /// Time since an answer said so.
    pub age: Duration,
}

/// This instance's part of a limit.
#[derive(Clone, Copy, Debug)]
struct LimitShare {
    /// What it was worked out from.
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
    /// When an answer said so.
    answered_at: Instant,
    origin: Origin,
    share: Option<LimitShare>,
}

/// What is believed of all endpoints' limits.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    own_hash: u64,
    /// Hashes of the names of all instances of the cell and of the fleet.
    cell_hashes: Vec<u64>,
    fleet_hashes: Vec<u64>,
    /// Rises with each change of these.
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

    /// Sets who shares the limits.
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

    /// Takes in what an answer says to a request that was sent at `sent_at`. What is stricter holds at once; what is
    /// looser only from an answer to a request that was sent after the stricter word, since answers overtake each other.
    pub(super) fn record_response(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        sent_at: Instant,
        signal: Said<f64>,
    ) {
        let per_s = match signal {
            Said::Nothing => None,
            Said::Value(per_s) => Some(per_s),
            Said::Unreadable => return,
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

    /// Takes in what another instance tells.
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
                // A limit that is known would get younger with each time that it is told.
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

    /// What to tell of endpoints of which others are told.
    pub(super) fn to_report(
        &self,
        now: Instant,
        audience: Audience,
        is_relevant: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<ReportedLimit> {
        let age = |known: &KnownLimit| now.saturating_duration_since(known.answered_at);
        let should_report = |(key, known): &(&EndpointKey, &KnownLimit)| {
            audience.is_told(known.origin)
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

    /// Requests that this instance may send to an endpoint now; none if it has no limit.
    pub(super) fn available_requests(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        scope: Scope,
    ) -> Option<u32> {
        self.share(now, endpoint, scope).map(|share| share.tokens as u32)
    }

    /// Takes a request from this instance's part.
    pub(super) fn take(&mut self, now: Instant, endpoint: EndpointKey, scope: Scope) {
        if let Some(share) = self.share(now, endpoint, scope) {
            share.tokens -= 1.0;
        }
    }

    /// Time until this instance, or if it has no part another one, may send the next request; none if there is no limit.
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

    /// This instance's part as of now; none if there is no limit.
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
            // Parts that all began empty, or full, would let all send at the same moment.
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

    /// Endpoints that have a limit.
    pub(super) fn limited_endpoints(&self) -> Vec<EndpointKey> {
        let limited = self.known_limits.iter().filter(|(_, known)| known.per_s.is_some());
        limited.map(|(key, _)| *key).collect()
    }

    /// Forgets endpoints that are not listed any more.
    pub(super) fn prune(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_expired =
            |known: &KnownLimit| now.saturating_duration_since(known.answered_at) > UNLISTED_TTL;
        self.known_limits
            .retain(|key, known| !is_expired(known) || known.per_s.is_some() && is_listed(key));
    }

    /// What is newly believed since the last call.
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

/// Requests a second that are allowed.
fn rate_or_infinity(per_s: Option<f64>) -> f64 {
    per_s.unwrap_or(f64::INFINITY)
}
