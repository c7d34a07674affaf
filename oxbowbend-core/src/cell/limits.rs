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

use super::announced::{AnnouncedLimits, LimitChange, ReportedLimit, UNLISTED_TTL};
use super::sharing::{Scope, SharingInstances};
use super::signals::{Audience, Origin, SignalValue};
use crate::ids::EndpointKey;

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

/// Known limits of all endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    announced: AnnouncedLimits,
    /// Shares of endpoints that have a limit.
    shares: HashMap<EndpointKey, LimitShare>,
}

impl RateLimits {
    /// Applies the signal in a response to a request that was sent at `sent_at`.
    pub(super) fn record_response(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        sent_at: Instant,
        signal: SignalValue<f64>,
    ) {
        self.announced.record_response(now, endpoint, sent_at, signal);
        self.drop_ended_shares();
    }

    /// Merges limits reported by another instance.
    pub(super) fn merge_reported(
        &mut self,
        now: Instant,
        reported: &[ReportedLimit],
        origin: Origin,
    ) {
        self.announced.merge_reported(now, reported, origin);
        self.drop_ended_shares();
    }

    /// Drops the shares of limits that have ended, so that a later limit starts with a new one.
    fn drop_ended_shares(&mut self) {
        let announced = &self.announced;
        self.shares.retain(|key, _| announced.get(*key).is_some());
    }

    /// Returns the relevant limits to report.
    pub(super) fn to_report(
        &self,
        now: Instant,
        audience: Audience,
        is_relevant: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<ReportedLimit> {
        self.announced.to_report(now, audience, is_relevant)
    }

    /// Returns the number of requests that this instance may send to an endpoint now; `None` if it
    /// has no limit.
    pub(super) fn available_requests(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        instances: &SharingInstances,
        scope: Scope,
    ) -> Option<u32> {
        self.share(now, endpoint, instances, scope).map(|share| share.tokens as u32)
    }

    /// Takes the token of one request from this instance's share.
    pub(super) fn take(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        instances: &SharingInstances,
        scope: Scope,
    ) {
        if let Some(share) = self.share(now, endpoint, instances, scope) {
            share.tokens -= 1.0;
        }
    }

    /// Returns the time until this instance may send the next request, or, if it has no share,
    /// until another one may; `None` if there is no limit.
    pub(super) fn time_to_next_request(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        instances: &SharingInstances,
        scope: Scope,
    ) -> Option<Duration> {
        let share = self.share(now, endpoint, instances, scope)?;
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
        instances: &SharingInstances,
        scope: Scope,
    ) -> Option<&mut LimitShare> {
        let limit = self.announced.get(endpoint)?;
        let previous = self.shares.get(&endpoint).copied();
        let generation = instances.generation();
        let is_current = |share: &LimitShare| {
            (share.limit, share.generation, share.scope) == (limit, generation, scope)
        };
        let share = match previous.filter(is_current) {
            Some(share) => share.refilled(now),
            None => compute_share(now, endpoint, limit, (instances, scope), previous),
        };
        Some(self.shares.entry(endpoint).insert_entry(share).into_mut())
    }

    /// Returns the endpoints that have a limit.
    pub(super) fn limited_endpoints(&self) -> Vec<EndpointKey> {
        self.announced.endpoints().collect()
    }

    /// Drops limits that have ended and those of unlisted endpoints.
    pub(super) fn prune(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        self.announced.prune(now, is_listed);
        self.drop_ended_shares();
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<LimitChange> {
        self.announced.take_changes()
    }
}

impl LimitShare {
    fn refilled(self, now: Instant) -> LimitShare {
        let time = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let tokens = (self.tokens + self.refill_per_s * time).min(self.capacity);
        LimitShare { tokens, updated_at: now.max(self.updated_at), ..self }
    }
}

fn compute_share(
    now: Instant,
    endpoint: EndpointKey,
    limit: f64,
    (instances, scope): (&SharingInstances, Scope),
    previous: Option<LimitShare>,
) -> LimitShare {
    let per_s = limit.max(MIN_RATE_PER_S);
    let burst = BURST_FRACTION * WINDOW_SECS * per_s * (1.0 - BURST_MARGIN.0) + BURST_REQUESTS
        - BURST_MARGIN.1;
    let shares = burst.floor().min(instances.count(scope) as f64);
    let own_order = instances.own_order(endpoint);
    let rank = instances.rank(endpoint, scope);
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
        generation: instances.generation(),
        scope,
        refill_per_s,
        capacity,
        tokens,
        updated_at: now,
    }
}
