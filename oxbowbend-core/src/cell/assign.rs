//! The assignment of waiting requests to free places, the same at every instance of a cell.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::backpressure::Allowances;
use super::{Cell, Stall, Ticket, Want, CLAIM_TTL, FIXED_WORK_UNITS};
use crate::ids::{EndpointId, EndpointKey, ServiceId, ZoneId};
use crate::routes::Endpoint;

/// Added to the first event's time for each place in use, as a share: a batch slows with its size.
const LOAD_SLOWDOWN: f64 = 0.3;
/// Extra time of an endpoint in another availability zone, also to save the traffic between zones.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(10);
/// Largest part by which an instance's own taste for an endpoint adds to its time. Reports take 3 to 30 ms
/// at the users' small machines; with a hundred requests a second in a cell, instances that all prefer
/// the same place take it twice in a third of the cases (measured: kalemdar-tutanak-grown scale-1). It is
/// far less than the factor of 4.4 between slow and fast engines.
const MAX_PREFERENCE_PENALTY: f64 = 0.3;
/// Part of the objective below which it does not matter how soon the first event comes. Without such a
/// bound the differences of what was measured outweigh all taste.
const FIRST_EVENT_FLOOR_SHARE: f64 = 0.15;
/// Part of a stream's longest pause that the reading of another prompt may take. What is learned of
/// an endpoint's pace is a little slower than its reading alone.
const STALL_TOLERANCE_SHARE: f64 = 0.9;
/// Part of the objective that must be left for a request to wait for a place where it holds nobody
/// up. With less, its own time goes before the others' pauses.
const STALL_WAIT_MIN_SHARE: f64 = 0.5;
/// How much slower than the usual an endpoint may be of which nothing is known. Engines at the users'
/// sites differ by 3.0 to 0.68.
const UNMEASURED_SLOWDOWN: f64 = 3.0;
/// Part of the usual at which such an endpoint is taken for a request that would be in time even if
/// it were so slow: it is tried first, by those whom that costs nothing.
const EXPLORATION_FACTOR: f64 = 0.9;
/// Part of the time left within which that is so.
const EXPLORATION_MAX_SHARE: f64 = 0.5;
/// Nanoseconds for a unit of work where nothing has been measured: 50 tokens in a millisecond.
const DEFAULT_NS_PER_UNIT: f64 = 20_000.0;

/// Units of work of a token of an answer: engines at the users' sites make one in the time in which
/// they read 190 to 300 tokens.
const WORK_UNITS_PER_OUTPUT_TOKEN: f64 = 250.0;
/// Times the usual pace up to which endpoints are alike for the length of an answer. What is learned of
/// equal engines differs by up to a half.
const SIMILAR_SPEED_RATIO: f64 = 1.5;

/// Time after its arrival for which the others cannot know of a request: 5 ms until the next report,
/// and the way of that.
pub const REPORT_DELAY: Duration = Duration::from_millis(10);
/// Free places of a service up to which a request that the others cannot know of leaves them to
/// those that wait. With so few left, arrivals within the same 10 ms would all take the same ones
/// (kalemdar-tutanak-grown scale-1: up to six requests above an endpoint's slots).
const CONTENDED_SLOTS: u32 = 3;
/// Age up to which paces are used again. They change little from one request to the next, and working
/// them out takes longer than all else in an assignment.
const LATENCY_CACHE_TTL: Duration = Duration::from_millis(50);

/// Paces of endpoints, worked out from what all instances have measured.
#[derive(Debug, Default)]
pub(super) struct LatencyCache {
    ns_per_unit: HashMap<EndpointKey, f64>,
    /// The middle one.
    median_ns: f64,
    updated_at: Option<Instant>,
}

/// Place of a request in the order: rank, then the time at which it should be answered and would be
/// done, so that of equal age the shorter one goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Priority {
    rank: u16,
    /// What is late already goes after what is not.
    is_overdue: bool,
    expected_end: Instant,
    deadline: Instant,
}

impl Priority {
    fn new(
        now: Instant,
        rank: u16,
        deadline: Instant,
        output_tokens: u32,
        median_ns: f64,
    ) -> Priority {
        Priority {
            rank,
            is_overdue: deadline < now,
            deadline,
            expected_end: deadline + generation_time(output_tokens, median_ns),
        }
    }
}

/// A request that has got a place.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The request.
    pub ticket: Ticket,
    /// Where it goes.
    pub endpoint: Endpoint,
    /// Requests at the endpoint, this one included.
    pub load: u32,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of prompts that the endpoint has to read before.
    pub backlog_tokens: u32,
    /// Expected time to the first event.
    pub expected_first_event: Duration,
    /// Expected time to the end of the answer; none if the caller gave no estimate.
    pub expected_total: Option<Duration>,
    /// Endpoints of its service that would have had a place and want no request now.
    pub throttled_endpoints: u32,
}

/// A waiting request of this instance or another one.
struct Candidate<'a> {
    priority: Priority,
    ticket: Option<Ticket>,
    arrived: Instant,
    service: &'a ServiceId,
    zone: &'a ZoneId,
    /// Hash of the instance at which it waits.
    instance_hash: u64,
    objective: Duration,
    prompt_tokens: u32,
    output_tokens: u32,
    stall: Stall,
    avoid: &'a [EndpointId],
}

impl Candidate<'_> {
    /// Whether it waits here and the others cannot know of it yet.
    fn is_unreported(&self, now: Instant) -> bool {
        self.ticket.is_some() && now.saturating_duration_since(self.arrived) < REPORT_DELAY
    }
}

/// An endpoint with what it could still take.
struct Target<'a> {
    endpoint: &'a Endpoint,
    /// Hash of the endpoint.
    hash: u64,
    load: u32,
    free_slots: u32,
    pending_tokens: u32,
    ns_per_unit: f64,
    /// Nanoseconds for a unit of work at the usual endpoint.
    median_ns: f64,
    /// Whether the pace is only a guess.
    is_unmeasured: bool,
    /// Requests that it wants from this instance, if that is not any number. Others have parts of their own.
    allowance: Option<u32>,
}

impl Cell {
    /// Assigns what waits to free places and returns this instance's part of that, which counts
    /// as running from now on.
    pub fn assign(&mut self, now: Instant) -> Vec<Assignment> {
        self.eject_failing_endpoints(now);
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.refresh_latency_cache(now);
        // An endpoint that names a limit gets no more than that from all instances together, by whatever way a request comes to it.
        let allowances = self.allowances(now);
        let assignments = self.compute_assignments(now, &allowances);
        for a in &assignments {
            self.record_dispatch(now, a.endpoint.key());
            if let Some(want) = self.waiting.remove(&a.ticket) {
                self.shedding.record_placed(now, &want.service, want.rank);
            }
            if let Some(site) = self.sites.get_mut(&a.endpoint.key()) {
                site.running += 1;
                site.unread += a.prompt_tokens;
            }
        }
        assignments
    }

    fn compute_assignments(&self, now: Instant, allowances: &Allowances) -> Vec<Assignment> {
        let mut targets = self.targets(now, allowances);
        let throttled_by_service = throttled_by_service(&targets);
        targets.retain(|t| t.allowance != Some(0));
        targets
            .iter_mut()
            .for_each(|t| t.free_slots = t.free_slots.min(t.allowance.unwrap_or(t.free_slots)));
        let mut assignments = Vec::new();
        // Most reports change no place, and there are many of both when there is most to do.
        if targets.iter().all(|t| t.free_slots == 0) {
            return assignments;
        }
        let free_slots_by_service = free_slots_by_service(&targets);
        let is_alone = self.heard(now) == 0;
        for candidate in self.candidates(now) {
            let free_slots = free_slots_by_service.get(candidate.service).copied().unwrap_or(0);
            if free_slots == 0
                || !is_alone && free_slots <= CONTENDED_SLOTS && candidate.is_unreported(now)
            {
                continue;
            }
            let Some((target, expected)) = choose(&mut targets, &candidate, now) else { continue };
            target.free_slots -= 1;
            target.load += 1;
            let (prompt_tokens, backlog_tokens) = (candidate.prompt_tokens, target.pending_tokens);
            target.pending_tokens = target.pending_tokens.saturating_add(prompt_tokens);
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

    /// Place of a request of this instance.
    pub(super) fn priority(&self, now: Instant, want: &Want) -> Priority {
        let deadline = want.arrived + want.objective;
        Priority::new(now, want.rank, deadline, want.output, self.latency_cache.median_ns)
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate<'_>> {
        let instance_hash = xxh3_64(self.me.as_bytes());
        let own = self.waiting.iter().map(move |(ticket, want)| Candidate {
            priority: self.priority(now, want),
            ticket: Some(*ticket),
            arrived: want.arrived,
            service: &want.service,
            zone: &self.zone,
            instance_hash,
            objective: want.objective,
            prompt_tokens: want.prompt,
            output_tokens: want.output,
            stall: want.stall,
            avoid: &want.avoid,
        });
        let reported = self.peers.values().filter(|p| p.is_live(now, CLAIM_TTL)).flat_map(|p| {
            let instance_hash = xxh3_64(p.report.instance.as_bytes());
            p.report.claims.iter().filter_map(move |claim| {
                let waited = Duration::from_millis(claim.waited_ms.into());
                let arrived = p.heard.checked_sub(waited)?;
                let objective = Duration::from_millis(claim.objective_ms.into());
                let deadline = arrived + objective;
                Some(Candidate {
                    priority: Priority::new(
                        now,
                        claim.rank,
                        deadline,
                        claim.output,
                        self.latency_cache.median_ns,
                    ),
                    ticket: None,
                    arrived,
                    service: &claim.service,
                    zone: &p.report.zone,
                    instance_hash,
                    objective,
                    prompt_tokens: claim.prompt,
                    output_tokens: claim.output,
                    stall: claim.stall,
                    avoid: &[],
                })
            })
        });
        let mut all: Vec<_> = own.chain(reported).collect();
        all.sort_by_key(|c| c.priority);
        all
    }

    fn targets(&self, now: Instant, allowances: &Allowances) -> Vec<Target<'_>> {
        let mut loads: HashMap<EndpointKey, (u32, u32)> = HashMap::new();
        for reported in self.live_reports(now).flat_map(|r| &r.loads) {
            let load = loads.entry(reported.endpoint).or_default();
            *load = (load.0 + reported.running, load.1.saturating_add(reported.unread));
        }
        let LatencyCache { ns_per_unit, median_ns, .. } = &self.latency_cache;
        let available = self.sites.iter().filter(|(key, s)| self.is_available(now, **key, s));
        let usage = |key: &EndpointKey, s: &'_ super::Site| {
            let (running, pending_tokens) = loads.get(key).copied().unwrap_or_default();
            let load = s.running + running;
            let usable = (f64::from(s.endpoint.slots) * self.share).ceil() as u32;
            let slots = if s.health.is_on_trial() { 1 } else { usable };
            (load, slots.saturating_sub(load), s.unread.saturating_add(pending_tokens))
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
                }
            })
            .collect()
    }

    /// Works out the paces anew if they are old, or if there are none.
    fn refresh_latency_cache(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= LATENCY_CACHE_TTL;
        if self.latency_cache.ns_per_unit.is_empty()
            || self.latency_cache.updated_at.is_none_or(is_expired)
        {
            let ns_per_unit = self.paces(now);
            let median_ns = median(ns_per_unit.values().copied());
            self.latency_cache = LatencyCache { ns_per_unit, median_ns, updated_at: Some(now) };
        }
    }

    /// Sets failing endpoints aside, at most half of a service. Looking at all of them at every report and every
    /// end of a request took 3 in 100 of an instance's processor time; without a late failure there is
    /// nothing to find.
    fn eject_failing_endpoints(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > super::health::WINDOW;
        if self.last_bad.is_none_or(is_expired) {
            return;
        }
        let mut services: HashMap<ServiceId, (usize, usize)> = HashMap::new();
        for (_, site) in self.sites.iter().filter(|(key, s)| !self.is_draining(**key, s)) {
            let (all, ejected) = services.entry(site.endpoint.service.clone()).or_default();
            *all += 1;
            *ejected += usize::from(site.health.is_aside(now));
        }
        for site in self.sites.values_mut() {
            if site.health.is_aside(now) || !site.health.is_failing(now) {
                continue;
            }
            let Some((all, ejected)) = services.get_mut(&site.endpoint.service) else { continue };
            if (*ejected + 1) * 2 > *all {
                continue;
            }
            *ejected += 1;
            let pause = site.health.set_aside(now);
            self.news.push(super::SetAside { endpoint: site.endpoint.id.clone(), pause });
        }
    }
}

/// The best place for a request, if there is one. A request that would miss its time at every free
/// place, but not at one that is in use now, waits for that one; so does one that would hold up the
/// streams at every free place, while it has time.
fn choose<'a, 'b>(
    targets: &'b mut [Target<'a>],
    candidate: &Candidate<'_>,
    now: Instant,
) -> Option<(&'b mut Target<'a>, Duration)> {
    let time_left = candidate.priority.deadline.saturating_duration_since(now);
    let fits = |t: &Target<'_>| {
        t.endpoint.service == *candidate.service
            && !candidate.avoid.contains(&t.endpoint.id)
            && (t.allowance.is_none() || candidate.ticket.is_some())
    };
    let can_meet_deadline =
        targets.iter().any(|t| fits(t) && time_to_first_event(t, candidate) <= time_left);
    let can_wait = time_left > candidate.objective.mul_f64(STALL_WAIT_MIN_SHARE)
        && targets.iter().any(|t| fits(t) && !would_stall(t, candidate, 1));
    let free = targets.iter_mut().filter(|t| t.free_slots > 0 && fits(t));
    let best =
        free.min_by_key(|t| (would_stall(t, candidate, t.load), cost(t, candidate, time_left)))?;
    let expected_first_event = time_to_first_event(best, candidate);
    if expected_first_event > time_left && can_meet_deadline
        || can_wait && would_stall(best, candidate, best.load)
    {
        return None;
    }
    Some((best, expected_first_event))
}

/// Whether reading the prompt would hold up so many streams beside it for too long.
fn would_stall(target: &Target<'_>, candidate: &Candidate<'_>, load: u32) -> bool {
    let Stall { tokens, pause_ms } = candidate.stall;
    let prefill_ms = f64::from(tokens) * target.ns_per_unit / 1e6;
    load > 0 && pause_ms > 0 && prefill_ms > f64::from(pause_ms) * STALL_TOLERANCE_SHARE
}

/// Expected time to the first event.
fn time_to_first_event(target: &Target<'_>, candidate: &Candidate<'_>) -> Duration {
    let units =
        f64::from(candidate.prompt_tokens + FIXED_WORK_UNITS) + f64::from(target.pending_tokens);
    Duration::from_nanos((target.ns_per_unit * units * load_factor(target)) as u64)
}

/// Free places by service.
fn free_slots_by_service<'a>(targets: &[Target<'a>]) -> HashMap<&'a ServiceId, u32> {
    let mut free_slots_by_service = HashMap::new();
    for target in targets {
        *free_slots_by_service.entry(&target.endpoint.service).or_default() += target.free_slots;
    }
    free_slots_by_service
}

/// Endpoints by service that have a place and want no request.
fn throttled_by_service<'a>(targets: &[Target<'a>]) -> HashMap<&'a ServiceId, u32> {
    let mut throttled_by_service = HashMap::new();
    for target in targets.iter().filter(|t| t.free_slots > 0 && t.allowance == Some(0)) {
        *throttled_by_service.entry(&target.endpoint.service).or_default() += 1;
    }
    throttled_by_service
}

/// How much slower an endpoint is for what runs there.
fn load_factor(target: &Target<'_>) -> f64 {
    1.0 + LOAD_SLOWDOWN * f64::from(target.load) / f64::from(target.endpoint.slots.max(1))
}

fn cost(target: &Target<'_>, candidate: &Candidate<'_>, time_left: Duration) -> Duration {
    let zone_penalty =
        if target.endpoint.zone == *candidate.zone { Duration::ZERO } else { CROSS_ZONE_PENALTY };
    let floor = candidate.objective.mul_f64(FIRST_EVENT_FLOOR_SHARE * load_factor(target));
    let first_event = assumed_first_event(target, candidate, time_left).max(floor);
    first_event.mul_f64(1.0 + MAX_PREFERENCE_PENALTY * preference_penalty(target, candidate))
        + zone_penalty
        + excess_generation_time(target, candidate)
}

/// Expected time from the first event to the end of the answer.
fn expected_generation_time(target: &Target<'_>, candidate: &Candidate<'_>) -> Duration {
    generation_time(candidate.output_tokens, target.ns_per_unit)
}

/// Time that the tokens of an answer take at a pace in nanoseconds for a unit of work.
fn generation_time(output_tokens: u32, ns_per_unit: f64) -> Duration {
    Duration::from_nanos(
        (f64::from(output_tokens) * WORK_UNITS_PER_OUTPUT_TOKEN * ns_per_unit) as u64,
    )
}

/// How much longer the whole answer takes at a slow endpoint than at the usual one.
fn excess_generation_time(target: &Target<'_>, candidate: &Candidate<'_>) -> Duration {
    let excess_ns_per_unit = (target.ns_per_unit - target.median_ns * SIMILAR_SPEED_RATIO).max(0.0);
    generation_time(candidate.output_tokens, excess_ns_per_unit)
}

/// The time to the first event that is taken for the choice.
fn assumed_first_event(
    target: &Target<'_>,
    candidate: &Candidate<'_>,
    time_left: Duration,
) -> Duration {
    let time_to_first_event = time_to_first_event(target, candidate);
    if !target.is_unmeasured {
        return time_to_first_event;
    }
    let worst_case = time_to_first_event.mul_f64(UNMEASURED_SLOWDOWN);
    let is_harmless = worst_case <= time_left.mul_f64(EXPLORATION_MAX_SHARE);
    if is_harmless {
        time_to_first_event.mul_f64(EXPLORATION_FACTOR)
    } else {
        worst_case
    }
}

/// From 0 to 1, how little the candidate's instance likes a place: the same at all instances, and other
/// for each of them, so that they do not all prefer the same place.
fn preference_penalty(target: &Target<'_>, candidate: &Candidate<'_>) -> f64 {
    let hash = xxh3_64(&(target.hash ^ candidate.instance_hash).to_le_bytes());
    (hash >> 40) as f64 / (1_u64 << 24) as f64
}

/// The middle of what has been measured, for endpoints that have not been.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(DEFAULT_NS_PER_UNIT)
}
