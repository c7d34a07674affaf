//! Assignment of waiting requests to free endpoint slots.
//!
//! Every instance of a cell runs the same deterministic computation over its own waiting requests
//! and those that its peers report, and dispatches only its own share of the result.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::brittle::Admission;
use super::choice::{choose, expected_generation_time, time_to_first_event, Target};
use super::gate::Allowances;
use super::order::{Candidate, Priority, RankOrder};
use super::{Cell, QueuedRequest, Ticket, WAITING_TTL};
use crate::ids::{EndpointKey, ServiceId};
use crate::routes::Endpoint;
use crate::saturating;

/// Estimate before anything has been measured: 50 tokens per millisecond.
const DEFAULT_NS_PER_UNIT: f64 = 20_000.0;

/// Time after its arrival in which peers cannot know of a request: the report interval of 5 ms and
/// the network delay.
pub const REPORT_DELAY: Duration = Duration::from_millis(10);
/// Number of free slots of a service up to which a request waits for [`REPORT_DELAY`] first, since
/// simultaneous arrivals at several instances would take the same slots and exceed an endpoint's
/// number by up to six.
const CONTENDED_SLOTS: u32 = 3;
/// Maximum age of cached estimates. Recomputing them is the most expensive part of an assignment.
const LATENCY_CACHE_TTL: Duration = Duration::from_millis(50);

/// Latency estimates of all endpoints, combined from the measurements of all instances.
#[derive(Debug, Default)]
pub(super) struct LatencyCache {
    pub(super) ns_per_unit: HashMap<EndpointKey, f64>,
    pub(super) median_ns: f64,
    updated_at: Option<Instant>,
}

/// A request that has been assigned a slot.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Identifies the request.
    pub ticket: Ticket,
    /// The endpoint to send it to.
    pub endpoint: Endpoint,
    /// Number of requests at the endpoint, including this one.
    pub load: u32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens queued at the endpoint ahead of this request.
    pub backlog_tokens: u32,
    /// Expected time to the first event.
    pub expected_first_event: Duration,
    /// Expected time to the end of the answer; `None` if the caller gave no estimate of its length.
    pub expected_total: Option<Duration>,
    /// Number of endpoints of the service that have a free slot but are throttled.
    pub throttled_endpoints: u32,
}

impl Cell {
    /// Assigns waiting requests to free slots and returns the assignments of this instance, which
    /// count as running from now on.
    pub fn assign(&mut self, now: Instant) -> Vec<Assignment> {
        self.eject_failing_endpoints(now);
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.refresh_latency_cache(now);
        self.move_requests_below_floor(now);
        let allowances = self.allowances(now);
        let admissions = self.brittle_admissions(now);
        let assignments = self.compute_assignments(now, &allowances, admissions);
        for a in &assignments {
            self.record_dispatch(now, a.endpoint.key());
            if let Some(want) = self.waiting.remove(&a.ticket) {
                self.record_handed_out(now, a, &want);
                self.shedding.record_placed(now, &want.service, want.rank);
            }
            if let Some(site) = self.endpoints.get_mut(&a.endpoint.key()) {
                site.running += 1;
                saturating::add(&mut site.pending_prompt_tokens, a.prompt_tokens);
            }
        }
        assignments
    }

    /// Assigns a request to an endpoint at which the caller holds a slot, and counts it as running.
    /// Returns `None` if the endpoint accepts no request of this instance now: it drains, is ejected,
    /// has reached a limit or is on probation and in use. Whether it has a free slot is not checked,
    /// because the reports of this cell do not tell what other cells run there.
    pub fn assign_to(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        request: &QueuedRequest,
    ) -> Option<Assignment> {
        if !self.may_send(now, endpoint) {
            return None;
        }
        self.refresh_latency_cache(now);
        let allowances = self.allowances(now);
        let admissions = self.brittle_admissions(now);
        let is_on_probation = self.endpoints.get(&endpoint)?.health.is_on_probation();
        let targets = self.targets(now, &allowances, admissions);
        let candidate = self.candidate(now, 0, request);
        let target = targets.iter().find(|t| t.endpoint.key() == endpoint)?;
        if target.allowance == Some(0)
            || !target.admits(&candidate)
            || is_on_probation && target.load > 0
        {
            return None;
        }
        let expected = time_to_first_event(target, &candidate);
        let expected_total = (request.output_tokens > 0)
            .then(|| expected + expected_generation_time(target, &candidate));
        let assignment = Assignment {
            ticket: 0,
            endpoint: target.endpoint.clone(),
            load: target.load.saturating_add(1),
            prompt_tokens: request.prompt_tokens,
            backlog_tokens: target.pending_tokens,
            expected_first_event: expected,
            expected_total,
            throttled_endpoints: throttled_by_service(&targets)
                .get(&request.service)
                .copied()
                .unwrap_or(0),
        };
        self.record_dispatch(now, endpoint);
        self.record_handed_out(now, &assignment, request);
        self.shedding.record_placed(now, &request.service, request.rank);
        let state = self.endpoints.get_mut(&endpoint)?;
        state.running += 1;
        saturating::add(&mut state.pending_prompt_tokens, request.prompt_tokens);
        Some(assignment)
    }

    fn compute_assignments(
        &self,
        now: Instant,
        allowances: &Allowances,
        admissions: HashMap<EndpointKey, Admission>,
    ) -> Vec<Assignment> {
        let mut targets = self.targets(now, allowances, admissions);
        let throttled_by_service = throttled_by_service(&targets);
        targets.retain(|t| t.allowance != Some(0));
        targets
            .iter_mut()
            .for_each(|t| t.free_slots = t.free_slots.min(t.allowance.unwrap_or(t.free_slots)));
        let mut assignments = Vec::new();
        // Skips sorting the candidates in the common case under load.
        if targets.iter().all(|t| t.free_slots == 0) {
            return assignments;
        }
        let free_slots_by_service = free_slots_by_service(&targets);
        let brittle = brittle_services(&targets);
        let is_alone = self.live_peer_count(now) == 0;
        for candidate in self.candidates(now) {
            let free_slots = free_slots_by_service.get(candidate.service).copied().unwrap_or(0);
            if free_slots == 0
                || !is_alone
                    && (free_slots <= CONTENDED_SLOTS || brittle.contains(candidate.service))
                    && candidate.is_unreported(now)
            {
                continue;
            }
            let Some((target, expected)) = choose(&mut targets, &candidate, now) else { continue };
            let (prompt_tokens, backlog_tokens) = (candidate.prompt_tokens, target.pending_tokens);
            target.record(&candidate);
            if let Some(ticket) = candidate.ticket {
                let (endpoint, load) = (target.endpoint.clone(), target.load);
                let expected_total = (candidate.output_tokens > 0)
                    .then(|| expected + expected_generation_time(target, &candidate));
                assignments.push(Assignment {
                    ticket,
                    endpoint,
                    load,
                    prompt_tokens,
                    backlog_tokens,
                    expected_first_event: expected,
                    expected_total,
                    throttled_endpoints: throttled_by_service
                        .get(candidate.service)
                        .copied()
                        .unwrap_or(0),
                });
            }
        }
        assignments
    }

    /// Returns a request of this instance as a candidate.
    fn candidate<'a>(
        &'a self,
        now: Instant,
        ticket: Ticket,
        want: &'a QueuedRequest,
    ) -> Candidate<'a> {
        Candidate {
            priority: self.priority(now, ticket, want),
            ticket: Some(ticket),
            arrived: want.arrived_at,
            service: &want.service,
            zone: &self.zone,
            instance_hash: xxh3_64(self.local_id.as_bytes()),
            objective: want.objective,
            prompt_tokens: want.prompt_tokens,
            output_tokens: want.output_tokens,
            stall: want.stall,
            avoid: &want.excluded_endpoints,
            version: want.version.as_ref(),
        }
    }

    pub(super) fn candidates(&self, now: Instant) -> Vec<Candidate<'_>> {
        let own = self.waiting.iter().map(move |(ticket, want)| self.candidate(now, *ticket, want));
        let reported = self.peers.values().filter(|p| p.is_live(now, WAITING_TTL)).flat_map(|p| {
            let instance_hash = xxh3_64(p.report.instance.as_bytes());
            p.report.waiting.iter().filter_map(move |claim| {
                let waited = Duration::from_millis(claim.waited_ms.into());
                let arrived = p.last_heard.checked_sub(waited)?;
                let objective = Duration::from_millis(claim.objective_ms.into());
                let deadline = arrived + objective;
                Some(Candidate {
                    priority: Priority::new(
                        now,
                        RankOrder::of_reported(claim),
                        deadline,
                        claim.output_tokens,
                        self.latency_cache.median_ns,
                    ),
                    ticket: None,
                    arrived,
                    service: &claim.service,
                    zone: &p.report.zone,
                    instance_hash,
                    objective,
                    prompt_tokens: claim.prompt_tokens,
                    output_tokens: claim.output_tokens,
                    stall: claim.stall,
                    avoid: &[],
                    version: claim.version.as_ref(),
                })
            })
        });
        let mut all: Vec<_> = own.chain(reported).collect();
        all.sort_by_key(|c| c.priority);
        all
    }

    pub(super) fn targets(
        &self,
        now: Instant,
        allowances: &Allowances,
        mut admissions: HashMap<EndpointKey, Admission>,
    ) -> Vec<Target<'_>> {
        let mut loads: HashMap<EndpointKey, (u32, u32)> = HashMap::new();
        for reported in self.reported_loads(now) {
            let load = loads.entry(reported.endpoint).or_default();
            saturating::add(&mut load.0, reported.running);
            saturating::add(&mut load.1, reported.pending_prompt_tokens);
        }
        let LatencyCache { ns_per_unit, median_ns, .. } = &self.latency_cache;
        let available = self.endpoints.iter().filter(|(key, s)| self.is_available(now, **key, s));
        let usage = |key: &EndpointKey, s: &'_ super::EndpointState| {
            let (running, pending_tokens) = loads.get(key).copied().unwrap_or_default();
            let load = s.running.saturating_add(running);
            let usable = (f64::from(s.endpoint.slots) * self.visible_share).ceil() as u32;
            let slots = if s.health.is_on_probation() { 1 } else { usable };
            (
                load,
                slots.saturating_sub(load),
                s.pending_prompt_tokens.saturating_add(pending_tokens),
            )
        };
        available
            .map(|(key, s)| {
                let (load, free_slots, pending_tokens) = usage(key, s);
                let measured = ns_per_unit.get(key).copied();
                let (ns_per_unit, is_unmeasured) =
                    (measured.unwrap_or(*median_ns), measured.is_none());
                Target {
                    endpoint: &s.endpoint,
                    hash: s.hash,
                    load,
                    free_slots,
                    pending_tokens,
                    ns_per_unit,
                    median_ns: *median_ns,
                    is_unmeasured,
                    allowance: allowances.get(key).copied(),
                    admission: admissions.remove(key),
                    is_unproven: self.backoffs.is_unproven(now, *key),
                }
            })
            .collect()
    }

    /// Recomputes the estimates if they have expired or there are none.
    pub(super) fn refresh_latency_cache(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= LATENCY_CACHE_TTL;
        if self.latency_cache.ns_per_unit.is_empty()
            || self.latency_cache.updated_at.is_none_or(is_expired)
        {
            let ns_per_unit = self.paces(now);
            let median_ns = median(ns_per_unit.values().copied()).unwrap_or(DEFAULT_NS_PER_UNIT);
            self.latency_cache = LatencyCache { ns_per_unit, median_ns, updated_at: Some(now) };
        }
    }

    /// Ejects failing endpoints, at most half of each service. Returns early unless there was a
    /// recent failure, because this runs on every report and at the end of every request and took 3%
    /// of an instance's processor time.
    fn eject_failing_endpoints(&mut self, now: Instant) {
        let is_expired =
            |at: Instant| now.saturating_duration_since(at) > super::health::OUTCOME_WINDOW;
        if self.last_failure.is_none_or(is_expired) {
            return;
        }
        let mut services: HashMap<ServiceId, (usize, usize)> = HashMap::new();
        for (_, site) in self.endpoints.iter().filter(|(key, s)| !self.is_draining(**key, s)) {
            let (all, ejected) = services.entry(site.endpoint.service.clone()).or_default();
            *all += 1;
            *ejected += usize::from(site.health.is_ejected(now));
        }
        for site in self.endpoints.values_mut() {
            if site.health.is_ejected(now) || !site.health.is_failing(now) {
                continue;
            }
            let Some((all, ejected)) = services.get_mut(&site.endpoint.service) else { continue };
            if (*ejected + 1) * 2 > *all {
                continue;
            }
            *ejected += 1;
            let pause = site.health.eject(now);
            self.ejections
                .push(super::Ejection { endpoint: site.endpoint.id.clone(), duration: pause });
        }
    }
}

fn free_slots_by_service<'a>(targets: &[Target<'a>]) -> HashMap<&'a ServiceId, u32> {
    let mut free_slots_by_service = HashMap::new();
    for target in targets {
        let free = free_slots_by_service.entry(&target.endpoint.service).or_default();
        saturating::add(free, target.free_slots);
    }
    free_slots_by_service
}

/// Counts the endpoints of each service that have a free slot but are throttled.
fn throttled_by_service<'a>(targets: &[Target<'a>]) -> HashMap<&'a ServiceId, u32> {
    let mut throttled_by_service = HashMap::new();
    for target in targets.iter().filter(|t| t.free_slots > 0 && t.allowance == Some(0)) {
        *throttled_by_service.entry(&target.endpoint.service).or_default() += 1;
    }
    throttled_by_service
}

/// Services that have brittle endpoints.
fn brittle_services<'a>(targets: &[Target<'a>]) -> HashSet<&'a ServiceId> {
    targets.iter().filter(|t| t.admission.is_some()).map(|t| &t.endpoint.service).collect()
}

/// Returns the median; `None` if there are no values.
pub(super) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
