//! The one gate to endpoints that want fewer requests: no request gets a place that the endpoint does not want, whether it
//! is sent for the first time or again, continues a stream, or is a trial.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::draining::DrainNotice;
use super::limits::{LimitChange, Scope};
use super::report::ToldEndpoints;
use super::signals::{Audience, Origin, Said, Signals};
use super::{Cell, Site};
use crate::ids::{EndpointKey, InstanceId, ServiceId};

/// Requests that this instance may send to endpoints that want fewer; others take what they have places for.
pub(super) type Allowances = HashMap<EndpointKey, u32>;

impl Cell {
    /// Sets who shares the endpoints: the instances of this cell, and those of the fleet for services whose endpoints belong
    /// to all cells.
    pub fn set_sharing_instances<'a>(
        &mut self,
        cell: impl Iterator<Item = &'a InstanceId>,
        fleet: impl Iterator<Item = &'a InstanceId>,
        shared: BTreeSet<ServiceId>,
    ) {
        self.limits.set_instances(cell, fleet);
        self.shared = shared;
    }

    /// Sets which endpoints the platform lists, of all cells.
    pub fn set_listed_endpoints(&mut self, listed: impl Iterator<Item = EndpointKey>) {
        self.listed = listed.collect();
    }

    /// Takes in what an answer says of its endpoint, to a request that was sent at `sent_at`.
    pub fn apply_signals(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        sent_at: Instant,
        signals: Signals,
    ) {
        self.limits.record_response(now, endpoint, sent_at, signals.rate_limit);
        if signals.is_draining {
            self.draining.record(now, endpoint, Origin::Answer);
        }
        if let Said::Value(backoff) = signals.backoff {
            self.backoffs.extend(now, endpoint, backoff);
        }
    }

    /// Takes in that an endpoint leaves by its entry. With it the word reaches all instances in beats, whoever of them
    /// reads the store: those that copy another one's list learned it up to two seconds later.
    pub fn mark_draining(&mut self, now: Instant, endpoint: EndpointKey) {
        self.draining.record(now, endpoint, Origin::Entry);
    }

    /// Takes in what another instance tells of endpoints, whether they are listed here yet or not.
    pub fn merge_endpoint_signals(
        &mut self,
        now: Instant,
        reported: &ToldEndpoints,
        is_same_cell: bool,
    ) {
        let origin = if is_same_cell { Origin::Cell } else { Origin::Fleet };
        self.limits.merge_reported(now, &reported.limits, origin);
        reported.leaving.iter().for_each(|key| self.draining.record(now, *key, origin));
    }

    /// The same from a report. Of endpoints that are not listed nothing is believed: it would be told from one to the other for ever.
    pub(super) fn merge_reported_signals(
        &mut self,
        now: Instant,
        reported: &ToldEndpoints,
        is_same_cell: bool,
    ) {
        let listed = reported.leaving.iter().filter(|key| self.is_listed(**key));
        let leaving = listed.copied().collect();
        let listed = ToldEndpoints { leaving, limits: reported.limits.clone() };
        self.merge_endpoint_signals(now, &listed, is_same_cell);
    }

    /// What its cell is told of endpoints.
    pub(super) fn signals_for_cell(&self, now: Instant) -> ToldEndpoints {
        let audience = match self.is_representative {
            true => Audience::CellOfRepresentative,
            false => Audience::Cell,
        };
        self.signals_for(now, audience, |key| self.sites.contains_key(key))
    }

    /// What other cells are told: limits of endpoints that belong to all cells, and all who leave, since an endpoint may come to
    /// another cell, and an instance that has just started asks any for the list of endpoints.
    pub fn signals_for_other_cells(&self, now: Instant) -> ToldEndpoints {
        let is_shared = |key: &EndpointKey| {
            let service = self.sites.get(key).map(|s| &s.endpoint.service);
            service.is_some_and(|service| self.shared.contains(service))
        };
        self.signals_for(now, Audience::Others, is_shared)
    }

    /// What an instance is told that has just started.
    pub fn signals_for_new_instance(&self, now: Instant) -> ToldEndpoints {
        self.signals_for(now, Audience::Newcomer, |key| self.is_listed(*key))
    }

    fn signals_for(
        &self,
        now: Instant,
        audience: Audience,
        is_relevant: impl Fn(&EndpointKey) -> bool,
    ) -> ToldEndpoints {
        let limits = self.limits.to_report(now, audience, is_relevant);
        let leaving = self.draining.to_report(now, audience, |key| self.is_listed(*key));
        ToldEndpoints { limits, leaving }
    }

    /// What was newly believed of limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.limits.take_changes()
    }

    /// Endpoints that are newly known to leave since the last call.
    pub fn take_drain_notices(&mut self) -> Vec<DrainNotice> {
        self.draining.take_notices()
    }

    /// Endpoints that have said that they leave.
    pub fn draining_count(&self) -> usize {
        self.draining.count()
    }

    /// Endpoints that rest.
    pub fn backing_off_count(&self, now: Instant) -> usize {
        self.backoffs.active(now).count()
    }

    /// Endpoints that are believed to have a limit.
    pub fn limited_count(&self) -> usize {
        self.limits.limited_endpoints().len()
    }

    /// Time until an endpoint of a service wants a request again, if all that could take one want none now.
    pub fn available_in(&mut self, now: Instant, service: &ServiceId) -> Option<Duration> {
        let allowances = self.allowances(now);
        if allowances.is_empty() {
            return None;
        }
        let available = self.sites.iter().filter(|(key, s)| self.is_available(now, **key, s));
        let of_service = available.filter(|(_, s)| s.endpoint.service == *service);
        let keys: Vec<_> = of_service.map(|(key, s)| (*key, self.scope(s))).collect();
        if keys.iter().any(|(key, _)| allowances.get(key).is_none_or(|allowance| *allowance > 0)) {
            return None;
        }
        let available_in = |(key, scope)| {
            let available_in = [
                self.limits.time_to_next_request(now, key, scope),
                self.backoffs.remaining(now, key),
            ];
            available_in.into_iter().flatten().max()
        };
        keys.into_iter().filter_map(available_in).min()
    }

    /// What this instance may send to endpoints that want fewer requests.
    pub(super) fn allowances(&mut self, now: Instant) -> Allowances {
        let mut allowances = Allowances::new();
        for key in self.limits.limited_endpoints() {
            let Some(scope) = self.sites.get(&key).map(|s| self.scope(s)) else { continue };
            allowances.extend(
                self.limits.available_requests(now, key, scope).map(|allowance| (key, allowance)),
            );
        }
        // Who sent to an endpoint that rests would be turned away again, and be taken for the reason of its need.
        allowances.extend(self.backoffs.active(now).map(|key| (key, 0)));
        allowances
    }

    /// Notes that a request goes to an endpoint.
    pub(super) fn record_dispatch(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(scope) = self.sites.get(&endpoint).map(|s| self.scope(s)) else { return };
        self.limits.take(now, endpoint, scope);
    }

    /// Whether a request that has its place may still be sent: the endpoint may have said meanwhile that it leaves, or wants rest.
    pub fn may_send(&self, now: Instant, endpoint: EndpointKey) -> bool {
        !self.draining.contains(endpoint) && self.backoffs.remaining(now, endpoint).is_none()
    }

    /// Forgets what was said by endpoints that are not listed any more.
    pub(super) fn prune_endpoint_signals(&mut self, now: Instant) {
        let (sites, listed) = (&self.sites, &self.listed);
        let is_listed = |key: &EndpointKey| sites.contains_key(key) || listed.contains(key);
        self.limits.prune(now, is_listed);
        self.backoffs.prune(now);
        self.draining.prune(now, is_listed);
    }

    fn is_listed(&self, key: EndpointKey) -> bool {
        self.sites.contains_key(&key) || self.listed.contains(&key)
    }

    /// Whether an endpoint leaves, by its entry or its own word: one belief, whichever comes first. While the store is away only the
    /// endpoint itself can say so.
    pub(super) fn is_draining(&self, key: EndpointKey, site: &Site) -> bool {
        site.endpoint.leaving || self.draining.contains(key)
    }

    /// Whether an endpoint takes requests at all.
    pub(super) fn is_available(&self, now: Instant, key: EndpointKey, site: &Site) -> bool {
        !self.is_draining(key, site) && !site.health.is_aside(now)
    }

    fn scope(&self, site: &Site) -> Scope {
        match self.shared.contains(&site.endpoint.service) {
            true => Scope::Fleet,
            false => Scope::Cell,
        }
    }
}
