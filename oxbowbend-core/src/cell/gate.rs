//! The one gate to endpoints that want fewer requests: no request gets a place that the endpoint does not want, whether it
//! is sent for the first time or again, continues a stream, or is a trial.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::limits::{LimitChange, Scope, ToldLimit};
use super::signals::Signals;
use super::{Cell, Site};
use crate::ids::{EndpointKey, InstanceId, ServiceId};

/// Requests that this instance may send to endpoints that want fewer; others take what they have places for.
pub(super) type Rooms = HashMap<EndpointKey, u32>;

impl Cell {
    /// Sets who shares the endpoints: the instances of this cell, and those of the fleet for services whose endpoints belong
    /// to all cells.
    pub fn set_sharers<'a>(
        &mut self,
        cell: impl Iterator<Item = &'a InstanceId>,
        fleet: impl Iterator<Item = &'a InstanceId>,
        shared: BTreeSet<ServiceId>,
    ) {
        self.limits.set_instances(cell, fleet);
        self.shared = shared;
    }

    /// Takes in what an answer says of its endpoint, to a request that was sent at `sent`.
    pub fn endpoint_said(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        sent: Instant,
        signals: Signals,
    ) {
        self.limits.answered(now, endpoint, sent, signals.rate_limit);
    }

    /// Limits that other cells are told.
    pub fn limits_for_others(&self, now: Instant) -> Vec<ToldLimit> {
        let is_shared = |(_, s): &(&EndpointKey, &Site)| self.shared.contains(&s.endpoint.service);
        let shared = self.sites.iter().filter(is_shared).map(|(key, _)| *key).collect();
        self.limits.tell(now, true, Some(&shared))
    }

    /// What was newly believed of limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.limits.take_changes()
    }

    /// Endpoints that are believed to have a limit.
    pub fn limited(&self) -> usize {
        self.limits.limited().len()
    }

    /// Time until an endpoint of a service wants a request again, if all that could take one want none now.
    pub fn opens_in(&mut self, now: Instant, service: &ServiceId) -> Option<Duration> {
        let rooms = self.rooms(now);
        if rooms.is_empty() {
            return None;
        }
        let open = self.sites.iter().filter(|(_, s)| s.is_open(now));
        let of_service = open.filter(|(_, s)| s.endpoint.service == *service);
        let keys: Vec<_> = of_service.map(|(key, s)| (*key, self.scope(s))).collect();
        if keys.iter().any(|(key, _)| rooms.get(key).is_none_or(|room| *room > 0)) {
            return None;
        }
        keys.into_iter().filter_map(|(key, scope)| self.limits.opens_in(now, key, scope)).min()
    }

    /// What this instance may send to endpoints that want fewer requests.
    pub(super) fn rooms(&mut self, now: Instant) -> Rooms {
        let mut rooms = Rooms::new();
        for key in self.limits.limited() {
            let Some(scope) = self.sites.get(&key).map(|s| self.scope(s)) else { continue };
            rooms.extend(self.limits.room(now, key, scope).map(|room| (key, room)));
        }
        rooms
    }

    /// Notes that a request goes to an endpoint.
    pub(super) fn pass(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(scope) = self.sites.get(&endpoint).map(|s| self.scope(s)) else { return };
        self.limits.take(now, endpoint, scope);
    }

    /// Forgets what was said by endpoints that are not listed any more.
    pub(super) fn forget_said(&mut self, now: Instant) {
        let sites = &self.sites;
        self.limits.forget(now, |key| sites.contains_key(key));
    }

    fn scope(&self, site: &Site) -> Scope {
        match self.shared.contains(&site.endpoint.service) {
            true => Scope::Fleet,
            false => Scope::Cell,
        }
    }
}

impl Site {
    /// Whether it takes requests at all.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        !self.endpoint.leaving && !self.health.is_aside(now)
    }
}
