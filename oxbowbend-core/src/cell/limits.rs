//! Rate limits that endpoints name for all instances together.
//!
//! The load that this answers: an endpoint in need takes a few requests a second or fewer, and up to hundreds of
//! instances send to it. They hear of the limit one after the other, come and go and lose each other. What all of
//! them send within [`WINDOW_S`] must stay below one and a half times the limit and [`SLACK`] requests.
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

use super::signals::{Audience, Origin, SignalValue};
use crate::ids::{EndpointKey, InstanceId};

/// Seconds of the window in which the users count.
const WINDOW_S: f64 = 4.0;
/// Part of the limit that it may get beyond it in a window.
const OVERAGE: f64 = 0.5;
/// Requests that it may get beyond that.
const SLACK: f64 = 5.0;
/// Part of the overage, and requests of the slack, that are left to requests that are late on their way and to instances that
/// start while others do not know of them.
const MARGIN: (f64, f64) = (0.25, 1.0);
/// Least rate that is used, so that an answer tells of the end of a limit of next to nothing.
const LEAST_PER_S: f64 = 0.2;
/// Time for which the end of a limit is told.
const TELL_END: Duration = Duration::from_secs(3);
/// Time after the last word of an endpoint that is not listed for which its limit is kept.
const FORGET: Duration = Duration::from_secs(60);
/// Limits that a report tells at most, the newest first.
const MAX_TOLD: usize = 16;

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
pub struct ToldLimit {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests a second; none if it names no limit any more.
    pub per_s: Option<f64>,
    /// Milliseconds since an answer said so.
    pub age_ms: u32,
}

impl From<(EndpointKey, Option<f64>, u32)> for ToldLimit {
    fn from((endpoint, per_s, age_ms): (EndpointKey, Option<f64>, u32)) -> ToldLimit {
        ToldLimit { endpoint, per_s, age_ms }
    }
}

impl From<ToldLimit> for (EndpointKey, Option<f64>, u32) {
    fn from(told: ToldLimit) -> (EndpointKey, Option<f64>, u32) {
        (told.endpoint, told.per_s, told.age_ms)
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
    pub before: Option<f64>,
    /// From whom that is known.
    pub origin: Origin,
    /// Time since an answer said so.
    pub age: Duration,
}

/// This instance's part of a limit.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// What it was worked out from.
    limit: f64,
    generation: u64,
    scope: Scope,
    per_s: f64,
    most: f64,
    level: f64,
    at: Instant,
}

#[derive(Clone, Debug)]
struct Belief {
    per_s: Option<f64>,
    /// When an answer said so.
    heard: Instant,
    origin: Origin,
    part: Option<Part>,
}

/// What is believed of all endpoints' limits.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    me: u64,
    /// Hashes of the names of all instances of the cell and of the fleet.
    cell: Vec<u64>,
    fleet: Vec<u64>,
    /// Rises with each change of these.
    generation: u64,
    beliefs: HashMap<EndpointKey, Belief>,
    changes: Vec<LimitChange>,
}

impl Limits {
    pub(super) fn new(me: &InstanceId) -> Limits {
        let me = xxh3_64(me.as_bytes());
        Limits { me, cell: vec![me], fleet: vec![me], ..Limits::default() }
    }

    /// Sets who shares the limits.
    pub(super) fn set_instances<'a>(
        &mut self,
        cell: impl Iterator<Item = &'a InstanceId>,
        fleet: impl Iterator<Item = &'a InstanceId>,
    ) {
        let hash = |name: &InstanceId| xxh3_64(name.as_bytes());
        (self.cell, self.fleet) = (cell.map(hash).collect(), fleet.map(hash).collect());
        self.generation += 1;
    }

    /// Takes in what an answer says to a request that was sent at `sent`. What is stricter holds at once; what is
    /// looser only from an answer to a request that was sent after the stricter word, since answers overtake each other.
    pub(super) fn answered(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        sent: Instant,
        said: SignalValue<f64>,
    ) {
        let per_s = match said {
            SignalValue::Nothing => None,
            SignalValue::Value(per_s) => Some(per_s),
            SignalValue::Unreadable => return,
        };
        let before = self.beliefs.get(&endpoint);
        let is_looser = |b: &Belief| rate(per_s) > rate(b.per_s);
        if before.is_none() && per_s.is_none()
            || before.is_some_and(|b| is_looser(b) && sent <= b.heard)
        {
            return;
        }
        self.believe(now, endpoint, per_s, now, Origin::Answer);
    }

    /// Takes in what another instance tells.
    pub(super) fn told(&mut self, now: Instant, told: &[ToldLimit], origin: Origin) {
        for ToldLimit { endpoint, per_s, age_ms } in told.iter().copied() {
            let Some(heard) = now.checked_sub(Duration::from_millis(age_ms.into())) else {
                continue;
            };
            let is_news = match self.beliefs.get(&endpoint) {
                // A limit that is known would get younger with each time that it is told.
                Some(belief) => belief.per_s != per_s && heard > belief.heard,
                None => per_s.is_some(),
            };
            if is_news && per_s.is_none_or(|n| n.is_finite() && n >= 0.0) {
                self.believe(now, endpoint, per_s, heard, origin);
            }
        }
    }

    fn believe(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        per_s: Option<f64>,
        heard: Instant,
        origin: Origin,
    ) {
        let before = self.beliefs.remove(&endpoint);
        let (before, part) = before.map_or((None, None), |b| (b.per_s, b.part));
        if before != per_s {
            let age = now.saturating_duration_since(heard);
            self.changes.push(LimitChange { endpoint, per_s, before, origin, age });
        }
        let part = part.filter(|_| per_s.is_some());
        self.beliefs.insert(endpoint, Belief { per_s, heard, origin, part });
    }

    /// What to tell of endpoints of which others are told.
    pub(super) fn tell(
        &self,
        now: Instant,
        audience: Audience,
        is_for: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<ToldLimit> {
        let age = |b: &Belief| now.saturating_duration_since(b.heard);
        let is_told = |(key, b): &(&EndpointKey, &Belief)| {
            audience.receives(b.origin) && (b.per_s.is_some() || age(b) < TELL_END) && is_for(key)
        };
        let mut told: Vec<_> = self.beliefs.iter().filter(is_told).collect();
        told.sort_by_key(|(key, b)| (age(b), **key));
        let tell = |(key, b): (&EndpointKey, &Belief)| ToldLimit {
            endpoint: *key,
            per_s: b.per_s,
            age_ms: age(b).as_millis().min(u128::from(u32::MAX)) as u32,
        };
        told.into_iter().take(MAX_TOLD).map(tell).collect()
    }

    /// Requests that this instance may send to an endpoint now; none if it has no limit.
    pub(super) fn room(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        scope: Scope,
    ) -> Option<u32> {
        self.part(now, endpoint, scope).map(|part| part.level as u32)
    }

    /// Takes a request from this instance's part.
    pub(super) fn take(&mut self, now: Instant, endpoint: EndpointKey, scope: Scope) {
        if let Some(part) = self.part(now, endpoint, scope) {
            part.level -= 1.0;
        }
    }

    /// Time until this instance, or if it has no part another one, may send the next request; none if there is no limit.
    pub(super) fn opens_in(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        scope: Scope,
    ) -> Option<Duration> {
        let part = self.part(now, endpoint, scope)?;
        let seconds = match part.per_s > 0.0 {
            true => (1.0 - part.level).max(0.0) / part.per_s,
            false => 1.0 / part.limit.max(LEAST_PER_S),
        };
        Some(Duration::from_secs_f64(seconds.min(FORGET.as_secs_f64())))
    }

    /// This instance's part as of now; none if there is no limit.
    fn part(&mut self, now: Instant, endpoint: EndpointKey, scope: Scope) -> Option<&mut Part> {
        let limit = self.beliefs.get(&endpoint)?.per_s?;
        let known = self.beliefs.get(&endpoint)?.part;
        let is_current =
            |p: &Part| (p.limit, p.generation, p.scope) == (limit, self.generation, scope);
        let part = match known.filter(is_current) {
            Some(part) => part.refilled(now),
            None => self.work_out(now, endpoint, limit, scope, known),
        };
        let belief = self.beliefs.get_mut(&endpoint)?;
        Some(belief.part.insert(part))
    }

    fn work_out(
        &self,
        now: Instant,
        endpoint: EndpointKey,
        limit: f64,
        scope: Scope,
        known: Option<Part>,
    ) -> Part {
        let instances = match scope {
            Scope::Cell => &self.cell,
            Scope::Fleet => &self.fleet,
        };
        let per_s = limit.max(LEAST_PER_S);
        let saved = OVERAGE * WINDOW_S * per_s * (1.0 - MARGIN.0) + SLACK - MARGIN.1;
        let parts = saved.floor().min(instances.len() as f64);
        let order = |name: &u64| xxh3_64_with_seed(&name.to_le_bytes(), endpoint.into());
        let mine = order(&self.me);
        let before = instances.iter().filter(|name| order(name) < mine).count();
        let (per_s, most) = match (before as f64) < parts {
            true => (per_s / parts, saved / parts),
            false => (0.0, 0.0),
        };
        let level = match known {
            Some(known) => known.refilled(now).level.min(most),
            // Parts that all began empty, or full, would let all send at the same moment.
            None => (mine >> 11) as f64 / (1_u64 << 53) as f64 * most.min(1.0),
        };
        Part { limit, generation: self.generation, scope, per_s, most, level, at: now }
    }

    /// Endpoints that have a limit.
    pub(super) fn limited(&self) -> Vec<EndpointKey> {
        let limited = self.beliefs.iter().filter(|(_, b)| b.per_s.is_some());
        limited.map(|(key, _)| *key).collect()
    }

    /// Forgets endpoints that are not listed any more.
    pub(super) fn forget(&mut self, now: Instant, is_listed: impl Fn(&EndpointKey) -> bool) {
        let is_late = |b: &Belief| now.saturating_duration_since(b.heard) > FORGET;
        self.beliefs.retain(|key, b| !is_late(b) || b.per_s.is_some() && is_listed(key));
    }

    /// What is newly believed since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}

impl Part {
    fn refilled(self, now: Instant) -> Part {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        let level = (self.level + self.per_s * time).min(self.most);
        Part { level, at: now.max(self.at), ..self }
    }
}

/// Requests a second that are allowed.
fn rate(per_s: Option<f64>) -> f64 {
    per_s.unwrap_or(f64::INFINITY)
}
