//! The one gate to endpoints that want fewer requests: no request gets a place that the endpoint does not want, whether it
//! is sent for the first time or again, continues a stream, or is a trial.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::leaving::Leaver;
use super::limits::{LimitChange, Scope};
use super::report::EndpointNotices;
use super::signals::{Audience, Origin, SignalValue, Signals};
use super::{Cell, EndpointState};
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
        self.shared_services = shared;
    }

    /// Sets which endpoints the platform lists, of all cells.
    pub fn set_listed(&mut self, listed: impl Iterator<Item = EndpointKey>) {
        self.listed_endpoints = listed.collect();
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
        if signals.is_draining {
            self.leaving.hear(now, endpoint, Origin::Answer);
        }
        if let SignalValue::Value(rest) = signals.backoff {
            self.rests.grant(now, endpoint, rest);
        }
    }

    /// Takes in that an endpoint leaves by its entry. With it the word reaches all instances in beats, whoever of them
    /// reads the store: those that copy another one's list learned it up to two seconds later.
    pub fn leaves_by_entry(&mut self, now: Instant, endpoint: EndpointKey) {
        self.leaving.hear(now, endpoint, Origin::Entry);
    }

    /// Takes in what another instance tells of endpoints, whether they are listed here yet or not.
    pub fn told_of_endpoints(&mut self, now: Instant, said: &EndpointNotices, is_near: bool) {
        let origin = if is_near { Origin::Cell } else { Origin::Fleet };
        self.limits.told(now, &said.limits, origin);
        said.leaving.iter().for_each(|key| self.leaving.hear(now, *key, origin));
    }

    /// The same from a report. Of endpoints that are not listed nothing is believed: it would be told from one to the other for ever.
    pub(super) fn hear_of_endpoints(
        &mut self,
        now: Instant,
        said: &EndpointNotices,
        is_near: bool,
    ) {
        let listed = said.leaving.iter().filter(|key| self.is_listed(**key));
        let leaving = listed.copied().collect();
        let listed = EndpointNotices { leaving, limits: said.limits.clone() };
        self.told_of_endpoints(now, &listed, is_near);
    }

    /// What its cell is told of endpoints.
    pub(super) fn tell_of_endpoints(&self, now: Instant) -> EndpointNotices {
        let audience = match self.is_representative {
            true => Audience::RepresentedCell,
            false => Audience::Cell,
        };
        self.tell(now, audience, |key| self.endpoints.contains_key(key))
    }

    /// What other cells are told: limits of endpoints that belong to all cells, and all who leave, since an endpoint may come to
    /// another cell, and an instance that has just started asks any for the list of endpoints.
    pub fn tell_others_of_endpoints(&self, now: Instant) -> EndpointNotices {
        let is_shared = |key: &EndpointKey| {
            let service = self.endpoints.get(key).map(|s| &s.endpoint.service);
            service.is_some_and(|service| self.shared_services.contains(service))
        };
        self.tell(now, Audience::OtherCells, is_shared)
    }

    /// What an instance is told that has just started.
    pub fn introduce_endpoints(&self, now: Instant) -> EndpointNotices {
        self.tell(now, Audience::Newcomer, |key| self.is_listed(*key))
    }

    fn tell(
        &self,
        now: Instant,
        audience: Audience,
        is_for: impl Fn(&EndpointKey) -> bool,
    ) -> EndpointNotices {
        let limits = self.limits.tell(now, audience, is_for);
        let leaving = self.leaving.tell(now, audience, |key| self.is_listed(*key));
        EndpointNotices { limits, leaving }
    }

    /// What was newly believed of limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.limits.take_changes()
    }

    /// Endpoints that are newly known to leave since the last call.
    pub fn take_leavers(&mut self) -> Vec<Leaver> {
        self.leaving.take_changes()
    }

    /// Endpoints that have said that they leave.
    pub fn leavers(&self) -> usize {
        self.leaving.count()
    }

    /// Endpoints that rest.
    pub fn resting(&self, now: Instant) -> usize {
        self.rests.resting(now).count()
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
        let open = self.endpoints.iter().filter(|(key, s)| self.is_open(now, **key, s));
        let of_service = open.filter(|(_, s)| s.endpoint.service == *service);
        let keys: Vec<_> = of_service.map(|(key, s)| (*key, self.scope(s))).collect();
        if keys.iter().any(|(key, _)| rooms.get(key).is_none_or(|room| *room > 0)) {
            return None;
        }
        let opens_in = |(key, scope)| {
            let opens_in = [self.limits.opens_in(now, key, scope), self.rests.left(now, key)];
            opens_in.into_iter().flatten().max()
        };
        keys.into_iter().filter_map(opens_in).min()
    }

    /// What this instance may send to endpoints that want fewer requests.
    pub(super) fn rooms(&mut self, now: Instant) -> Rooms {
        let mut rooms = Rooms::new();
        for key in self.limits.limited() {
            let Some(scope) = self.endpoints.get(&key).map(|s| self.scope(s)) else { continue };
            rooms.extend(self.limits.room(now, key, scope).map(|room| (key, room)));
        }
        // Who sent to an endpoint that rests would be turned away again, and be taken for the reason of its need.
        rooms.extend(self.rests.resting(now).map(|key| (key, 0)));
        rooms
    }

    /// Notes that a request goes to an endpoint.
    pub(super) fn pass(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(scope) = self.endpoints.get(&endpoint).map(|s| self.scope(s)) else { return };
        self.limits.take(now, endpoint, scope);
    }

    /// Whether a request that has its place may still be sent: the endpoint may have said meanwhile that it leaves, or wants rest.
    pub fn may_send(&self, now: Instant, endpoint: EndpointKey) -> bool {
        !self.leaving.has(endpoint) && self.rests.left(now, endpoint).is_none()
    }

    /// Forgets what was said by endpoints that are not listed any more.
    pub(super) fn forget_said(&mut self, now: Instant) {
        let (sites, listed) = (&self.endpoints, &self.listed_endpoints);
        let is_listed = |key: &EndpointKey| sites.contains_key(key) || listed.contains(key);
        self.limits.forget(now, is_listed);
        self.rests.forget(now);
        self.leaving.forget(now, is_listed);
    }

    fn is_listed(&self, key: EndpointKey) -> bool {
        self.endpoints.contains_key(&key) || self.listed_endpoints.contains(&key)
    }

    /// Whether an endpoint leaves, by its entry or its own word: one belief, whichever comes first. While the store is away only the
    /// endpoint itself can say so.
    pub(super) fn is_leaving(&self, key: EndpointKey, site: &EndpointState) -> bool {
        site.endpoint.leaving || self.leaving.has(key)
    }

    /// Whether an endpoint takes requests at all.
    pub(super) fn is_open(&self, now: Instant, key: EndpointKey, site: &EndpointState) -> bool {
        !self.is_leaving(key, site) && !site.health.is_ejected(now)
    }

    fn scope(&self, site: &EndpointState) -> Scope {
        match self.shared_services.contains(&site.endpoint.service) {
            true => Scope::Fleet,
            false => Scope::Cell,
        }
    }
}
