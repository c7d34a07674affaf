//! Backpressure from endpoints: rate limits, draining, backoff and brittleness.
//!
//! Every dispatch is checked here, including retries, resumed streams and probes of ejected
//! endpoints.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::announced::LimitChange;
use super::brittle::{Admission, CURRENT_REPORT_AGE};
use super::leaving::DrainNotice;
use super::report::EndpointNotices;
use super::sharing::Scope;
use super::signals::{Audience, Origin, SignalValue, Signals};
use super::{Cell, EndpointState};
use crate::ids::{EndpointKey, InstanceId, ServiceId};

/// Number of requests that this instance may send, by endpoint. Endpoints without a rate limit or
/// backoff have no entry.
pub(super) type Allowances = HashMap<EndpointKey, u32>;

impl Cell {
    /// Sets the instances that share the rate limits: those of this cell, and all of the fleet for
    /// the services in `shared`, whose endpoints belong to all cells.
    pub fn set_sharing_instances<'a>(
        &mut self,
        cell: impl Iterator<Item = &'a InstanceId>,
        fleet: impl Iterator<Item = &'a InstanceId>,
        shared: BTreeSet<ServiceId>,
    ) {
        self.instances.set(cell, fleet);
        self.shared_services = shared;
    }

    /// Sets the endpoints of all cells that the platform lists.
    pub fn set_listed_endpoints(&mut self, listed: impl Iterator<Item = EndpointKey>) {
        self.listed_endpoints = listed.collect();
    }

    /// Applies the signals in an endpoint's response to a request that was sent at `sent_at`.
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
        let service = self.endpoints.get(&endpoint).map(|s| &s.endpoint.service);
        let tolerance = signals.rejection_tolerance;
        self.brittle.record_response(now, (endpoint, service), sent_at, tolerance);
        if signals.is_rejection {
            self.brittle.record_rejected(now, endpoint, sent_at);
        }
        if let SignalValue::Value(backoff) = signals.backoff {
            self.backoffs.extend(now, endpoint, backoff);
        } else if !signals.is_rejection {
            self.backoffs.record_accepted(sent_at, endpoint);
        }
    }

    /// Marks an endpoint as draining by its registry entry. Reports then pass this on to instances
    /// that do not read the store themselves, which would otherwise learn it seconds later.
    pub fn mark_draining(&mut self, now: Instant, endpoint: EndpointKey) {
        self.draining.record(now, endpoint, Origin::Entry);
    }

    /// Merges signals from another instance, including those of endpoints that are not listed here
    /// yet.
    pub fn merge_endpoint_signals(
        &mut self,
        now: Instant,
        reported: &EndpointNotices,
        is_same_cell: bool,
    ) {
        let origin = if is_same_cell { Origin::Cell } else { Origin::Fleet };
        self.limits.merge_reported(now, &reported.limits, origin);
        let endpoints = &self.endpoints;
        let service = |key| endpoints.get(&key).map(|s| &s.endpoint.service);
        self.brittle.merge_reported(now, &reported.brittle, origin, service);
        reported.leaving.iter().for_each(|key| self.draining.record(now, *key, origin));
    }

    /// Merges signals from a report. Ignores unlisted draining endpoints, which instances would
    /// otherwise keep reporting to each other forever.
    pub(super) fn merge_reported_signals(
        &mut self,
        now: Instant,
        reported: &EndpointNotices,
        is_same_cell: bool,
    ) {
        let listed = reported.leaving.iter().filter(|key| self.is_listed(**key));
        let leaving = listed.copied().collect();
        let listed = EndpointNotices { leaving, ..reported.clone() };
        self.merge_endpoint_signals(now, &listed, is_same_cell);
    }

    /// Returns the signals to report to other instances of this cell.
    pub(super) fn signals_for_cell(&self, now: Instant) -> EndpointNotices {
        let audience = match self.is_representative {
            true => Audience::RepresentedCell,
            false => Audience::Cell,
        };
        self.signals_for(now, audience, |key| self.endpoints.contains_key(key))
    }

    /// Returns the signals to report to other cells: limits of endpoints that belong to all cells,
    /// and all draining endpoints, since an endpoint may move to another cell and a new instance
    /// may fetch the list from any.
    pub fn signals_for_other_cells(&self, now: Instant) -> EndpointNotices {
        let is_shared = |key: &EndpointKey| {
            let service = self.endpoints.get(key).map(|s| &s.endpoint.service);
            service.is_some_and(|service| self.shared_services.contains(service))
        };
        self.signals_for(now, Audience::OtherCells, is_shared)
    }

    /// Returns the signals for an instance that has just started.
    pub fn signals_for_new_instance(&self, now: Instant) -> EndpointNotices {
        self.signals_for(now, Audience::Newcomer, |key| self.is_listed(*key))
    }

    fn signals_for(
        &self,
        now: Instant,
        audience: Audience,
        is_relevant: impl Fn(&EndpointKey) -> bool,
    ) -> EndpointNotices {
        let limits = self.limits.to_report(now, audience, &is_relevant);
        let leaving = self.draining.to_report(now, audience, |key| self.is_listed(*key));
        let brittle = self.brittle.to_report(now, audience, is_relevant);
        EndpointNotices { limits, leaving, brittle }
    }

    /// Returns the changes of limits since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.limits.take_changes()
    }

    /// Returns the changes of the rejections that endpoints tolerate since the last call.
    pub fn take_brittle_changes(&mut self) -> Vec<LimitChange> {
        self.brittle.take_changes()
    }

    /// Returns the endpoints that have started draining since the last call.
    pub fn take_drain_notices(&mut self) -> Vec<DrainNotice> {
        self.draining.take_notices()
    }

    /// Number of endpoints known to be draining.
    pub fn draining_count(&self) -> usize {
        self.draining.count()
    }

    /// Number of endpoints that have asked this instance to back off.
    pub fn backing_off_count(&self, now: Instant) -> usize {
        self.backoffs.active(now).count()
    }

    /// Number of endpoints with a known limit.
    pub fn limited_count(&self) -> usize {
        self.limits.limited_endpoints().len()
    }

    /// Number of endpoints known to be brittle.
    pub fn brittle_count(&self) -> usize {
        self.brittle.count()
    }

    /// Returns the time until an endpoint of a service accepts a request again, or `None` unless
    /// all available endpoints of the service are throttled.
    pub fn available_in(&mut self, now: Instant, service: &ServiceId) -> Option<Duration> {
        let allowances = self.allowances(now);
        if allowances.is_empty() {
            return None;
        }
        let available = self.endpoints.iter().filter(|(key, s)| self.is_available(now, **key, s));
        let of_service = available.filter(|(_, s)| s.endpoint.service == *service);
        let keys: Vec<_> = of_service.map(|(key, s)| (*key, self.scope(s))).collect();
        if keys.iter().any(|(key, _)| allowances.get(key).is_none_or(|allowance| *allowance > 0)) {
            return None;
        }
        let available_in = |(key, scope)| {
            let available_in = [
                self.limits.time_to_next_request(now, key, &self.instances, scope),
                self.backoffs.remaining(now, key),
            ];
            available_in.into_iter().flatten().max()
        };
        keys.into_iter().filter_map(available_in).min()
    }

    /// Returns the allowances of throttled endpoints. An endpoint that asked for a backoff gets none: it
    /// would reject the request and blame this instance for its overload.
    pub(super) fn allowances(&mut self, now: Instant) -> Allowances {
        let mut allowances = Allowances::new();
        for key in self.limits.limited_endpoints() {
            let Some(scope) = self.endpoints.get(&key).map(|s| self.scope(s)) else { continue };
            allowances.extend(
                self.limits
                    .available_requests(now, key, &self.instances, scope)
                    .map(|allowance| (key, allowance)),
            );
        }
        allowances.extend(self.backoffs.active(now).map(|key| (key, 0)));
        allowances
    }

    /// Returns who may send how much to brittle endpoints.
    pub(super) fn brittle_admissions(&mut self, now: Instant) -> HashMap<EndpointKey, Admission> {
        if self.brittle.is_empty() {
            return HashMap::new();
        }
        let tolerance = |(key, site): (&EndpointKey, &EndpointState)| {
            Some((*key, self.rejection_tolerance(now, *key, site)?, self.scope(site)))
        };
        let brittle: Vec<_> = self.endpoints.iter().filter_map(tolerance).collect();
        let knows_loads = self.live_peers(now).all(|p| p.is_live(now, CURRENT_REPORT_AGE));
        let mut admission = |(key, per_s, scope)| {
            let sharing = (&self.instances, scope);
            (key, self.brittle.admission(now, (key, per_s), sharing, knows_loads))
        };
        brittle.into_iter().map(&mut admission).collect()
    }

    fn rejection_tolerance(
        &self,
        now: Instant,
        key: EndpointKey,
        site: &EndpointState,
    ) -> Option<f64> {
        let has_answered = site.last_answer.is_some();
        self.brittle.tolerance(now, key, &site.endpoint.service, has_answered)
    }

    /// Counts a request against the rate limit of its endpoint.
    pub(super) fn record_dispatch(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(scope) = self.endpoints.get(&endpoint).map(|s| self.scope(s)) else { return };
        self.limits.take(now, endpoint, &self.instances, scope);
        let site = self.endpoints.get(&endpoint);
        if site.and_then(|site| self.rejection_tolerance(now, endpoint, site)).is_some() {
            self.brittle.record_dispatch(now, endpoint);
        }
    }

    /// Whether an assigned request may still be sent. The endpoint may have started draining or
    /// asked for a backoff since the assignment.
    pub fn may_send(&self, now: Instant, endpoint: EndpointKey) -> bool {
        !self.draining.contains(endpoint) && self.backoffs.remaining(now, endpoint).is_none()
    }

    /// Whether an endpoint is known to be draining by its own signal or a change of its entry.
    pub fn has_drain_notice(&self, endpoint: EndpointKey) -> bool {
        self.draining.contains(endpoint)
    }

    /// Whether a request may be sent to an endpoint of another cell: only if the endpoint has no
    /// limit, since that is shared out among the instances of its own cell.
    pub fn may_send_beyond(&self, now: Instant, endpoint: EndpointKey) -> bool {
        self.may_send(now, endpoint)
            && self.brittle.is_empty()
            && !self.limits.limited_endpoints().contains(&endpoint)
    }

    /// Drops signals of endpoints that are no longer listed, and backoffs that ended long ago.
    pub(super) fn prune_endpoint_signals(&mut self, now: Instant) {
        let (sites, listed) = (&self.endpoints, &self.listed_endpoints);
        let is_listed = |key: &EndpointKey| sites.contains_key(key) || listed.contains(key);
        self.limits.prune(now, is_listed);
        self.brittle.prune(now, is_listed);
        self.backoffs.prune(now);
        self.draining.prune(now, is_listed);
    }

    fn is_listed(&self, key: EndpointKey) -> bool {
        self.endpoints.contains_key(&key) || self.listed_endpoints.contains(&key)
    }

    /// Whether an endpoint is draining, by its registry entry or its own signal. While the store is
    /// unreachable, only the signal is current.
    pub(super) fn is_draining(&self, key: EndpointKey, site: &EndpointState) -> bool {
        site.endpoint.leaving || self.draining.contains(key)
    }

    /// Whether an endpoint is neither draining nor ejected.
    pub(super) fn is_available(
        &self,
        now: Instant,
        key: EndpointKey,
        site: &EndpointState,
    ) -> bool {
        !self.is_draining(key, site) && !site.health.is_ejected(now)
    }

    pub(super) fn scope(&self, site: &EndpointState) -> Scope {
        match self.shared_services.contains(&site.endpoint.service) {
            true => Scope::Fleet,
            false => Scope::Cell,
        }
    }
}
