//! The assignment of waiting requests to free places, the same at every instance of a cell.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::gate::Rooms;
use super::{Cell, PrefillStall, QueuedRequest, Ticket, FIXED_UNITS, WAITING_TTL};
use crate::ids::{EndpointId, EndpointKey, ServiceId, ZoneId};
use crate::routes::Endpoint;

/// Added to the first event's time for each place in use, as a share: a batch slows with its size.
const CROWDING: f64 = 0.3;
/// Extra time of an endpoint in another availability zone, also to save the traffic between zones.
const OTHER_ZONE: Duration = Duration::from_millis(10);
/// Largest part by which an instance's own taste for an endpoint adds to its time. Reports take 3 to 30 ms
/// at the users' small machines; with a hundred requests a second in a cell, instances that all prefer
/// the same place take it twice in a third of the cases (measured: kalemdar-tutanak-grown scale-1). It is
/// far less than the factor of 4.4 between slow and fast engines.
const TASTE: f64 = 0.3;
/// Part of the objective below which it does not matter how soon the first event comes. Without such a
/// bound the differences of what was measured outweigh all taste.
const EARLY_SHARE: f64 = 0.15;
/// Part of a stream's longest pause that the reading of another prompt may take. What is learned of
/// an endpoint's pace is a little slower than its reading alone.
const STALL_SHARE: f64 = 0.9;
/// Part of the objective that must be left for a request to wait for a place where it holds nobody
/// up. With less, its own time goes before the others' pauses.
const PATIENT_SHARE: f64 = 0.5;
/// How much slower than the usual an endpoint may be of which nothing is known. Engines at the users'
/// sites differ by 3.0 to 0.68.
const UNKNOWN_TIMES: f64 = 3.0;
/// Part of the usual at which such an endpoint is taken for a request that would be in time even if
/// it were so slow: it is tried first, by those whom that costs nothing.
const TRY_TIMES: f64 = 0.9;
/// Part of the time left within which that is so.
const TRY_SHARE: f64 = 0.5;
/// Nanoseconds for a unit of work where nothing has been measured: 50 tokens in a millisecond.
const UNKNOWN_NS: f64 = 20_000.0;

/// Units of work of a token of an answer: engines at the users' sites make one in the time in which
/// they read 190 to 300 tokens.
const OUTPUT_UNITS: f64 = 250.0;
/// Times the usual pace up to which endpoints are alike for the length of an answer. What is learned of
/// equal engines differs by up to a half.
const ALIKE_TIMES: f64 = 1.5;

/// Time after its arrival for which the others cannot know of a request: 5 ms until the next report,
/// and the way of that.
pub const UNHEARD: Duration = Duration::from_millis(10);
/// Free places of a service up to which a request that the others cannot know of leaves them to
/// those that wait. With so few left, arrivals within the same 10 ms would all take the same ones
/// (kalemdar-tutanak-grown scale-1: up to six requests above an endpoint's slots).
const CONTENDED: u32 = 3;
/// Age up to which paces are used again. They change little from one request to the next, and working
/// them out takes longer than all else in an assignment.
const PACES_AGE: Duration = Duration::from_millis(50);

/// Paces of endpoints, worked out from what all instances have measured.
#[derive(Debug, Default)]
pub(super) struct KnownPaces {
    paces: HashMap<EndpointKey, f64>,
    /// The middle one.
    usual: f64,
    at: Option<Instant>,
}

/// Place of a request in the order: rank, then the time at which it should be answered and would be
/// done, so that of equal age the shorter one goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    rank: u16,
    /// What is late already goes after what is not.
    is_late: bool,
    done: Instant,
    due: Instant,
}

impl Order {
    fn new(now: Instant, rank: u16, due: Instant, output: u32, usual_ns: f64) -> Order {
        Order { rank, is_late: due < now, due, done: due + answer_time(output, usual_ns) }
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
    pub prompt: u32,
    /// Tokens of prompts that the endpoint has to read before.
    pub backlog: u32,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Expected time to the end of the answer; none if the caller gave no estimate.
    pub whole: Option<Duration>,
    /// Endpoints of its service that would have had a place and want no request now.
    pub withheld: u32,
}

/// A waiting request of this instance or another one.
struct Candidate<'a> {
    order: Order,
    ticket: Option<Ticket>,
    arrived: Instant,
    service: &'a ServiceId,
    zone: &'a ZoneId,
    /// Hash of the instance at which it waits.
    taste: u64,
    objective: Duration,
    prompt: u32,
    output: u32,
    stall: PrefillStall,
    avoid: &'a [EndpointId],
}

impl Candidate<'_> {
    /// Whether it waits here and the others cannot know of it yet.
    fn is_unheard(&self, now: Instant) -> bool {
        self.ticket.is_some() && now.saturating_duration_since(self.arrived) < UNHEARD
    }
}

/// An endpoint with what it could still take.
struct Place<'a> {
    endpoint: &'a Endpoint,
    /// Hash of the endpoint.
    hash: u64,
    load: u32,
    room: u32,
    unread: u32,
    ns: f64,
    /// Nanoseconds for a unit of work at the usual endpoint.
    usual_ns: f64,
    /// Whether the pace is only a guess.
    is_guess: bool,
    /// Requests that it wants from this instance, if that is not any number. Others have parts of their own.
    wanted: Option<u32>,
}

impl Cell {
    /// Assigns what waits to free places and returns this instance's part of that, which counts
    /// as running from now on.
    pub fn assign(&mut self, now: Instant) -> Vec<Assignment> {
        self.set_failing_aside(now);
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.know_paces(now);
        // An endpoint that names a limit gets no more than that from all instances together, by whatever way a request comes to it.
        let rooms = self.rooms(now);
        let assignments = self.work_out(now, &rooms);
        for a in &assignments {
            self.pass(now, a.endpoint.key());
            if let Some(want) = self.waiting.remove(&a.ticket) {
                self.shedding.placed(now, &want.service, want.rank);
            }
            if let Some(site) = self.endpoints.get_mut(&a.endpoint.key()) {
                site.running += 1;
                site.pending_prompt_tokens += a.prompt;
            }
        }
        assignments
    }

    fn work_out(&self, now: Instant, rooms: &Rooms) -> Vec<Assignment> {
        let mut places = self.places(now, rooms);
        let withheld = withheld(&places);
        places.retain(|p| p.wanted != Some(0));
        places.iter_mut().for_each(|p| p.room = p.room.min(p.wanted.unwrap_or(p.room)));
        let mut assignments = Vec::new();
        // Most reports change no place, and there are many of both when there is most to do.
        if places.iter().all(|p| p.room == 0) {
            return assignments;
        }
        let free = free(&places);
        let is_alone = self.live_peer_count(now) == 0;
        for candidate in self.candidates(now) {
            let free = free.get(candidate.service).copied().unwrap_or(0);
            if free == 0 || !is_alone && free <= CONTENDED && candidate.is_unheard(now) {
                continue;
            }
            let Some((place, expected)) = choose(&mut places, &candidate, now) else { continue };
            place.room -= 1;
            place.load += 1;
            let (prompt, backlog) = (candidate.prompt, place.unread);
            place.unread = place.unread.saturating_add(prompt);
            if let Some(ticket) = candidate.ticket {
                let (endpoint, load) = (place.endpoint.clone(), place.load);
                let whole = (candidate.output > 0).then(|| expected + run(place, &candidate));
                assignments.push(Assignment {
                    ticket,
                    endpoint,
                    load,
                    prompt,
                    backlog,
                    expected,
                    whole,
                    withheld: withheld.get(candidate.service).copied().unwrap_or(0),
                });
            }
        }
        assignments
    }

    /// Place of a request of this instance.
    pub(super) fn order(&self, now: Instant, want: &QueuedRequest) -> Order {
        let due = want.arrived_at + want.objective;
        Order::new(now, want.rank, due, want.output_tokens, self.known.usual)
    }

    fn candidates(&self, now: Instant) -> Vec<Candidate<'_>> {
        let taste = xxh3_64(self.local_id.as_bytes());
        let mine = self.waiting.iter().map(move |(ticket, want)| Candidate {
            order: self.order(now, want),
            ticket: Some(*ticket),
            arrived: want.arrived_at,
            service: &want.service,
            zone: &self.zone,
            taste,
            objective: want.objective,
            prompt: want.prompt_tokens,
            output: want.output_tokens,
            stall: want.stall,
            avoid: &want.excluded_endpoints,
        });
        let others = self.peers.values().filter(|p| p.is_live(now, WAITING_TTL)).flat_map(|p| {
            let taste = xxh3_64(p.report.instance.as_bytes());
            p.report.waiting.iter().filter_map(move |claim| {
                let waited = Duration::from_millis(claim.waited_ms.into());
                let arrived = p.last_heard.checked_sub(waited)?;
                let objective = Duration::from_millis(claim.objective_ms.into());
                let due = arrived + objective;
                Some(Candidate {
                    order: Order::new(now, claim.rank, due, claim.output_tokens, self.known.usual),
                    ticket: None,
                    arrived,
                    service: &claim.service,
                    zone: &p.report.zone,
                    taste,
                    objective,
                    prompt: claim.prompt_tokens,
                    output: claim.output_tokens,
                    stall: claim.stall,
                    avoid: &[],
                })
            })
        });
        let mut all: Vec<_> = mine.chain(others).collect();
        all.sort_by_key(|c| c.order);
        all
    }

    fn places(&self, now: Instant, rooms: &Rooms) -> Vec<Place<'_>> {
        let mut loads: HashMap<EndpointKey, (u32, u32)> = HashMap::new();
        for told in self.live_reports(now).flat_map(|r| &r.loads) {
            let load = loads.entry(told.endpoint).or_default();
            *load = (load.0 + told.running, load.1.saturating_add(told.pending_prompt_tokens));
        }
        let KnownPaces { paces, usual, .. } = &self.known;
        let open = self.endpoints.iter().filter(|(key, s)| self.is_open(now, **key, s));
        let place = |key: &EndpointKey, s: &'_ super::EndpointState| {
            let (running, unread) = loads.get(key).copied().unwrap_or_default();
            let load = s.running + running;
            let usable = (f64::from(s.endpoint.slots) * self.visible_share).ceil() as u32;
            let slots = if s.health.is_on_probation() { 1 } else { usable };
            (load, slots.saturating_sub(load), s.pending_prompt_tokens.saturating_add(unread))
        };
        open.map(|(key, s)| {
            let (load, room, unread) = place(key, s);
            let known = paces.get(key).copied();
            let (ns, is_guess) = (known.unwrap_or(*usual), known.is_none());
            Place {
                endpoint: &s.endpoint,
                hash: s.hash,
                load,
                room,
                unread,
                ns,
                usual_ns: *usual,
                is_guess,
                wanted: rooms.get(key).copied(),
            }
        })
        .collect()
    }

    /// Works out the paces anew if they are old, or if there are none.
    fn know_paces(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= PACES_AGE;
        if self.known.paces.is_empty() || self.known.at.is_none_or(is_old) {
            let paces = self.paces(now);
            let usual = usual(paces.values().copied());
            self.known = KnownPaces { paces, usual, at: Some(now) };
        }
    }

    /// Sets failing endpoints aside, at most half of a service. Looking at all of them at every report and every
    /// end of a request took 3 in 100 of an instance's processor time; without a late failure there is
    /// nothing to find.
    fn set_failing_aside(&mut self, now: Instant) {
        let is_old =
            |at: Instant| now.saturating_duration_since(at) > super::health::OUTCOME_WINDOW;
        if self.last_failure.is_none_or(is_old) {
            return;
        }
        let mut services: HashMap<ServiceId, (usize, usize)> = HashMap::new();
        for (_, site) in self.endpoints.iter().filter(|(key, s)| !self.is_leaving(**key, s)) {
            let (all, aside) = services.entry(site.endpoint.service.clone()).or_default();
            *all += 1;
            *aside += usize::from(site.health.is_ejected(now));
        }
        for site in self.endpoints.values_mut() {
            if site.health.is_ejected(now) || !site.health.is_failing(now) {
                continue;
            }
            let Some((all, aside)) = services.get_mut(&site.endpoint.service) else { continue };
            if (*aside + 1) * 2 > *all {
                continue;
            }
            *aside += 1;
            let pause = site.health.eject(now);
            self.ejections
                .push(super::Ejection { endpoint: site.endpoint.id.clone(), duration: pause });
        }
    }
}

/// The best place for a request, if there is one. A request that would miss its time at every free
/// place, but not at one that is in use now, waits for that one; so does one that would hold up the
/// streams at every free place, while it has time.
fn choose<'a, 'b>(
    places: &'b mut [Place<'a>],
    candidate: &Candidate<'_>,
    now: Instant,
) -> Option<(&'b mut Place<'a>, Duration)> {
    let left = candidate.order.due.saturating_duration_since(now);
    let fits = |p: &Place<'_>| {
        p.endpoint.service == *candidate.service
            && !candidate.avoid.contains(&p.endpoint.id)
            && (p.wanted.is_none() || candidate.ticket.is_some())
    };
    let in_time = places.iter().any(|p| fits(p) && first(p, candidate) <= left);
    let is_patient = left > candidate.objective.mul_f64(PATIENT_SHARE)
        && places.iter().any(|p| fits(p) && !stalls(p, candidate, 1));
    let free = places.iter_mut().filter(|p| p.room > 0 && fits(p));
    let best = free.min_by_key(|p| (stalls(p, candidate, p.load), cost(p, candidate, left)))?;
    let expected = first(best, candidate);
    if expected > left && in_time || is_patient && stalls(best, candidate, best.load) {
        return None;
    }
    Some((best, expected))
}

/// Whether reading the prompt would hold up so many streams beside it for too long.
fn stalls(place: &Place<'_>, candidate: &Candidate<'_>, load: u32) -> bool {
    let PrefillStall { chunk_tokens: tokens, max_gap_ms: pause_ms } = candidate.stall;
    let takes_ms = f64::from(tokens) * place.ns / 1e6;
    load > 0 && pause_ms > 0 && takes_ms > f64::from(pause_ms) * STALL_SHARE
}

/// Expected time to the first event.
fn first(place: &Place<'_>, candidate: &Candidate<'_>) -> Duration {
    let units = f64::from(candidate.prompt + FIXED_UNITS) + f64::from(place.unread);
    Duration::from_nanos((place.ns * units * crowd(place)) as u64)
}

/// Free places by service.
fn free<'a>(places: &[Place<'a>]) -> HashMap<&'a ServiceId, u32> {
    let mut free = HashMap::new();
    for place in places {
        *free.entry(&place.endpoint.service).or_default() += place.room;
    }
    free
}

/// Endpoints by service that have a place and want no request.
fn withheld<'a>(places: &[Place<'a>]) -> HashMap<&'a ServiceId, u32> {
    let mut withheld = HashMap::new();
    for place in places.iter().filter(|p| p.room > 0 && p.wanted == Some(0)) {
        *withheld.entry(&place.endpoint.service).or_default() += 1;
    }
    withheld
}

/// How much slower an endpoint is for what runs there.
fn crowd(place: &Place<'_>) -> f64 {
    1.0 + CROWDING * f64::from(place.load) / f64::from(place.endpoint.slots.max(1))
}

fn cost(place: &Place<'_>, candidate: &Candidate<'_>, left: Duration) -> Duration {
    let zone = if place.endpoint.zone == *candidate.zone { Duration::ZERO } else { OTHER_ZONE };
    let early = candidate.objective.mul_f64(EARLY_SHARE * crowd(place));
    let time = assumed(place, candidate, left).max(early);
    time.mul_f64(1.0 + TASTE * taste(place, candidate)) + zone + excess(place, candidate)
}

/// Expected time from the first event to the end of the answer.
fn run(place: &Place<'_>, candidate: &Candidate<'_>) -> Duration {
    answer_time(candidate.output, place.ns)
}

/// Time that the tokens of an answer take at a pace in nanoseconds for a unit of work.
fn answer_time(output: u32, ns_per_unit: f64) -> Duration {
    Duration::from_nanos((f64::from(output) * OUTPUT_UNITS * ns_per_unit) as u64)
}

/// How much longer the whole answer takes at a slow endpoint than at the usual one.
fn excess(place: &Place<'_>, candidate: &Candidate<'_>) -> Duration {
    let slower = (place.ns - place.usual_ns * ALIKE_TIMES).max(0.0);
    answer_time(candidate.output, slower)
}

/// The time to the first event that is taken for the choice.
fn assumed(place: &Place<'_>, candidate: &Candidate<'_>, left: Duration) -> Duration {
    let first = first(place, candidate);
    if !place.is_guess {
        return first;
    }
    let at_worst = first.mul_f64(UNKNOWN_TIMES);
    let is_harmless = at_worst <= left.mul_f64(TRY_SHARE);
    if is_harmless {
        first.mul_f64(TRY_TIMES)
    } else {
        at_worst
    }
}

/// From 0 to 1, how little the candidate's instance likes a place: the same at all instances, and other
/// for each of them, so that they do not all prefer the same place.
fn taste(place: &Place<'_>, candidate: &Candidate<'_>) -> f64 {
    let mixed = xxh3_64(&(place.hash ^ candidate.taste).to_le_bytes());
    (mixed >> 40) as f64 / (1_u64 << 24) as f64
}

/// The middle of what has been measured, for endpoints that have not been.
fn usual(paces: impl Iterator<Item = f64>) -> f64 {
    let mut paces: Vec<_> = paces.collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 2).copied().unwrap_or(UNKNOWN_NS)
}
