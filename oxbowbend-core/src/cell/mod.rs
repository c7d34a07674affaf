//! A cell: instances that share a set of endpoints and decide alike, without a scheduler.
//!
//! Every instance tells the others what it runs and what waits at it. From that each works out the
//! same order of everything that waits and the same assignment to free places, and dispatches what
//! falls to its own requests. What was traded: two instances may take the same place within the
//! few milliseconds that a report travels; the endpoint then queues one of the two. Nobody waits
//! for anybody: an instance that is cut off, or has just started, serves with what it knows.
//!
//! This stands in for the pool's [`crate::scheduler`] where slots are no promise of the endpoint.

mod assign;
mod fleet;
mod gate;
mod health;
mod layout;
mod leaving;
mod limits;
mod pace;
mod peer;
mod reachability;
mod receive;
mod report;
mod rests;
mod shedding;
mod signals;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use assign::{Assignment, UNHEARD};
pub use fleet::{FleetSummary, RemoteInstances};
pub use layout::{CellLayout, DEFAULT_MAX_CELL_SIZE};
pub use leaving::Leaver;
pub use limits::{LimitChange, ToldLimit};
pub use pace::FIXED_UNITS;
pub use reachability::{InstanceFilter, Reachability};
pub use receive::{CounterDeltas, ReportDeltas};
pub use report::{EndpointLoad, EndpointNotices, EndpointStats, Report, WaitingRequest};
pub use shedding::{Patience, RetryAfter};
pub use signals::{Origin, SignalValue, Signals};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{EndpointId, EndpointKey, InstanceId, ServiceId, ZoneId};
use crate::routes::Endpoint;

/// Silence after which an instance's waiting requests hold nobody else's back.
pub const WAITING_TTL: Duration = Duration::from_millis(400);
/// Silence after which what an instance had running is taken to have ended with it.
pub const PEER_TTL: Duration = Duration::from_millis(1500);
/// Waiting requests told to others, the first in order. Only few places are free when requests wait, so
/// those further behind have no say; 32 of them made up most of the bytes between zones under a burst.
const MAX_REPORTED_WAITING: usize = 6;
/// Time after a change of an endpoint's counters for which every report with tallies tells them: three
/// such reports, so that one gets through in spite of losses.
const CHANGED_STATS_PERIOD: Duration = Duration::from_millis(400);
/// The same for reports that tell all tallies, for those who have missed the others.
const FULL_STATS_PERIOD: Duration = Duration::from_secs(3);

/// Measurements for which a noted pace counts, so that new ones soon outweigh it.
const RESTORED_SAMPLES: u32 = 3;

/// Number of a waiting or running request at this instance.
pub type Ticket = u64;

/// What a request needs to be placed.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Service that must execute it.
    pub service: ServiceId,
    /// Rank; 0 goes first.
    pub rank: u16,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that its answer is expected to have.
    pub output_tokens: u32,
    /// How it holds up the streams beside it.
    pub stall: PrefillStall,
    /// When it arrived.
    pub arrived_at: Instant,
    /// Time from its arrival within which its first event should be there.
    pub objective: Duration,
    /// Endpoints that it has been sent to already.
    pub excluded_endpoints: Vec<EndpointId>,
}

/// How a request holds up the streams that run beside it while its prompt is read, and how much of
/// that streams of its kind bear.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PrefillStall {
    /// Tokens of the prompt that may be read between two events of another stream.
    #[serde(rename = "t")]
    pub chunk_tokens: u32,
    /// Milliseconds between two events that are still in time; 0 if it does not matter.
    #[serde(rename = "p")]
    pub max_gap_ms: u32,
}

/// How a run at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With a whole answer.
    Good,
    /// The endpoint failed: no connection, a broken or spoilt answer, or an error of its own.
    Bad,
    /// Nothing that speaks for or against the endpoint, such as a caller that left.
    Neutral,
    /// Whoever answers at the endpoint's address is not this endpoint.
    Absent,
}

/// A change in what this instance believes of an endpoint, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// For how long.
    pub duration: Duration,
}

/// How much a report tells beside what runs and what waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportDetail {
    /// Nothing more.
    Loads,
    /// Counters that have just changed.
    Changes,
    /// Counters of all endpoints that were used lately.
    Full,
}

#[derive(Debug)]
struct EndpointState {
    endpoint: Endpoint,
    /// Hash of its id, from which tastes are worked out.
    hash: u64,
    running: u32,
    /// Tokens of prompts without a first event. Engines read prompts one after the other.
    pending_prompt_tokens: u32,
    successes: u64,
    failures: u64,
    pace: pace::Pace,
    health: health::Health,
    last_used: Option<Instant>,
    /// When it last began or ended an answer.
    last_answer: Option<Instant>,
}

/// One instance's part in its cell.
#[derive(Debug)]
pub struct Cell {
    local_id: InstanceId,
    zone: ZoneId,
    incarnation: u64,
    sequence: u64,
    endpoints: BTreeMap<EndpointKey, EndpointState>,
    waiting: BTreeMap<Ticket, QueuedRequest>,
    next_ticket: Ticket,
    /// Instances of this cell.
    peers: HashMap<InstanceId, peer::Peer>,
    /// Instances of other cells: their representatives, and whoever has been heard for another reason.
    remote_peers: HashMap<InstanceId, peer::Peer>,
    known: assign::KnownPaces,
    ejections: Vec<Ejection>,
    /// When a failure was last noted.
    last_failure: Option<Instant>,
    /// Part of the fleet that is heard, this instance included.
    visible_share: f64,
    /// Instances of the cell that are heard, this one included.
    reachable_count: u32,
    /// Their names.
    reachable_filter: reachability::InstanceFilter,
    shedding: shedding::Shedding,
    /// Whether this instance represents the cell.
    is_representative: bool,
    /// When it was last heard what each other cell has admitted, and what all of them have.
    cell_totals_at: BTreeMap<u32, Instant>,
    fleet_totals_at: Option<Instant>,
    /// Limits that endpoints name.
    limits: limits::Limits,
    /// Endpoints that have said that they leave.
    leaving: leaving::Leaving,
    /// Those that have asked this instance for rest.
    rests: rests::Rests,
    /// Services whose endpoints belong to all cells.
    shared_services: BTreeSet<ServiceId>,
    /// Endpoints that the platform lists, of all cells.
    listed_endpoints: HashSet<EndpointKey>,
}

impl Cell {
    /// Starts with no endpoints and no other instances. `life` is a random number that tells this
    /// life from others of the same name.
    pub fn new(local_id: InstanceId, zone: ZoneId, incarnation: u64) -> Cell {
        Cell {
            limits: limits::Limits::new(&local_id),
            leaving: leaving::Leaving::default(),
            rests: rests::Rests::default(),
            shared_services: BTreeSet::new(),
            listed_endpoints: HashSet::new(),
            local_id,
            zone,
            incarnation,
            sequence: 0,
            endpoints: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            peers: HashMap::new(),
            remote_peers: HashMap::new(),
            known: assign::KnownPaces::default(),
            ejections: Vec::new(),
            last_failure: None,
            visible_share: 1.0,
            reachable_count: 1,
            reachable_filter: reachability::InstanceFilter::default(),
            shedding: shedding::Shedding::default(),
            is_representative: false,
            cell_totals_at: BTreeMap::new(),
            fleet_totals_at: None,
        }
    }

    /// Puts the list of endpoints in force; what is known of those that stay is kept. Others get no
    /// further requests, but are told to have those that still run there: they may be in another cell. Of one
    /// that has started again nothing is known, and nothing runs there.
    pub fn set_endpoints(&mut self, endpoints: impl IntoIterator<Item = Endpoint>) {
        let mut previous = std::mem::take(&mut self.endpoints);
        let mut ids = HashSet::new();
        for endpoint in endpoints {
            ids.insert(endpoint.id.clone());
            let state = match previous.remove(&endpoint.key()) {
                Some(state) => EndpointState { endpoint, ..state },
                None => EndpointState {
                    hash: xxh3_64(endpoint.id.as_bytes()),
                    endpoint,
                    running: 0,
                    pending_prompt_tokens: 0,
                    successes: 0,
                    failures: 0,
                    pace: pace::Pace::default(),
                    health: health::Health::default(),
                    last_used: None,
                    last_answer: None,
                },
            };
            self.endpoints.insert(state.endpoint.key(), state);
        }
        let is_still_used =
            |state: &EndpointState| state.running > 0 && !ids.contains(&state.endpoint.id);
        for (key, mut state) in previous.into_iter().filter(|(_, state)| is_still_used(state)) {
            state.endpoint.leaving = true;
            self.endpoints.insert(key, state);
        }
    }

    /// What to tell the others, but for what only the caller knows: revision, version, address and
    /// peers.
    pub fn report(&mut self, now: Instant, detail: ReportDetail) -> Report {
        self.sequence += 1;
        let period = match detail {
            ReportDetail::Loads => Duration::ZERO,
            ReportDetail::Changes => CHANGED_STATS_PERIOD,
            ReportDetail::Full => FULL_STATS_PERIOD,
        };
        let running = self.endpoints.iter().filter(|(_, s)| s.running > 0);
        let load = |(key, s): (&EndpointKey, &EndpointState)| EndpointLoad {
            endpoint: *key,
            running: s.running,
            pending_prompt_tokens: s.pending_prompt_tokens,
        };
        let loads = running.map(load).collect();
        let is_recent =
            |s: &EndpointState| s.last_used.is_some_and(|t| now.duration_since(t) < period);
        let recent = self.endpoints.iter().filter(|(_, s)| is_recent(s));
        let endpoint_stats = recent.map(|(key, s)| {
            let (ns_per_unit, samples) = s.pace.as_parts();
            EndpointStats {
                endpoint: *key,
                successes: s.successes,
                failures: s.failures,
                ns_per_unit,
                samples,
            }
        });
        let endpoint_stats = endpoint_stats.collect();
        let mut waiting: Vec<_> = self.waiting.values().collect();
        waiting.sort_by_key(|w| self.order(now, w));
        let is_heartbeat = detail != ReportDetail::Loads;
        let reported = waiting.into_iter().take(MAX_REPORTED_WAITING).map(|w| WaitingRequest {
            service: w.service.clone(),
            rank: w.rank,
            waited_ms: now.saturating_duration_since(w.arrived_at).as_millis() as u32,
            objective_ms: w.objective.as_millis() as u32,
            prompt_tokens: w.prompt_tokens,
            output_tokens: w.output_tokens,
            stall: w.stall,
        });
        let mut report = Report {
            instance: self.local_id.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            has_all_counters: detail == ReportDetail::Full,
            reachable_count: is_heartbeat.then_some(self.reachable_count),
            reachable_filter: is_heartbeat.then_some(self.reachable_filter),
            loads,
            endpoint_stats,
            waiting: reported.collect(),
            ..Report::default()
        };
        if is_heartbeat {
            report.endpoint_notices = self.tell_of_endpoints(now);
        }
        report
    }

    /// Sets the part of the fleet that is heard, this instance included. Of each endpoint no larger part is
    /// used, since those that are not heard use the rest.
    pub fn set_visible_share(&mut self, share: f64) {
        self.visible_share = share.clamp(0.0, 1.0);
    }

    /// Brings in a request that waits for a place.
    pub fn enqueue(&mut self, request: QueuedRequest) -> Ticket {
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, request);
        self.next_ticket
    }

    /// Lets what waits for a service wait for another one.
    pub fn change_service(&mut self, from: &ServiceId, to: &ServiceId) {
        let waiting = self.waiting.values_mut().filter(|request| request.service == *from);
        waiting.for_each(|request| request.service = to.clone());
    }

    /// Whether this cell has an endpoint of a service that takes requests.
    pub fn serves(&self, service: &ServiceId) -> bool {
        let is_open = |(key, s): (&EndpointKey, &EndpointState)| {
            s.endpoint.service == *service && !self.is_leaving(*key, s)
        };
        self.endpoints.iter().any(is_open)
    }

    /// Takes a request out of the queue; `false` means that it has been placed.
    pub fn dequeue(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Whether a request that waits here is not to get a place in time.
    pub fn should_shed(&mut self, now: Instant, ticket: Ticket) -> bool {
        let Some(request) = self.waiting.get(&ticket) else { return false };
        let (service, rank) = (request.service.clone(), request.rank);
        let same_class = self.waiting.values().filter(|w| w.rank == rank && w.service == service);
        let others = same_class.count() - 1;
        self.shedding.should_shed(now, &service, rank, others)
    }

    /// Notes that a request found no place; tells when its caller should come back.
    pub fn refuse(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        patience: Patience,
    ) -> RetryAfter {
        let retry = self.shedding.refused(now, service, rank, patience);
        match self.opens_in(now, service) {
            Some(opens_in) => retry.not_before(opens_in, patience),
            None => retry,
        }
    }

    /// Requests that wait here.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Notes the time that an endpoint took to the first event of a request, before whose prompt it
    /// had so many tokens to read.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        prompt_tokens: u32,
        backlog: u32,
        time_to_first_event: Duration,
    ) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.pending_prompt_tokens = state.pending_prompt_tokens.saturating_sub(prompt_tokens);
            state.pace.learn(prompt_tokens.saturating_add(backlog), time_to_first_event);
            (state.last_used, state.last_answer) = (Some(now), Some(now));
        }
    }

    /// Notes that a request sent at `since` has had no answer for longer than expected. That speaks against the
    /// endpoint if it has answered nobody here meanwhile; else it may be the request.
    pub fn record_slow_response(&mut self, now: Instant, endpoint: EndpointKey, sent_at: Instant) {
        let last_answer = self.endpoints.get(&endpoint).and_then(|state| state.last_answer);
        if last_answer.is_none_or(|at| at <= sent_at) {
            self.record_outcome(now, endpoint, Outcome::Bad);
        }
    }

    /// Ends a run; `unread` are the tokens of its prompt if there was no first event.
    pub fn finish(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        pending_prompt_tokens: u32,
        outcome: Outcome,
    ) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        state.running = state.running.saturating_sub(1);
        state.pending_prompt_tokens =
            state.pending_prompt_tokens.saturating_sub(pending_prompt_tokens);
        self.record_outcome(now, endpoint, outcome);
    }

    /// Notes what a run that goes on says of its endpoint.
    pub fn record_outcome(&mut self, now: Instant, endpoint: EndpointKey, outcome: Outcome) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        let (successes, failures) = match outcome {
            Outcome::Good => (1, 0),
            Outcome::Bad => (0, 1),
            Outcome::Neutral | Outcome::Absent => (0, 0),
        };
        if outcome == Outcome::Absent && !state.health.is_ejected(now) {
            let duration = state.health.eject(now);
            self.ejections.push(Ejection { endpoint: state.endpoint.id.clone(), duration });
            return;
        }
        state.last_used = Some(now);
        if outcome == Outcome::Good {
            state.last_answer = Some(now);
        }
        if failures > 0 {
            self.last_failure = Some(now);
        }
        state.successes += u64::from(successes);
        state.failures += u64::from(failures);
        state.health.record(now, successes, failures);
    }

    /// The paces of all endpoints that are known, to note for later lives.
    pub fn known_paces(&self, now: Instant) -> Vec<(EndpointKey, u64)> {
        let mut paces: Vec<_> = self.paces(now).into_iter().map(|(e, ns)| (e, ns as u64)).collect();
        paces.sort();
        paces
    }

    /// Starts from a pace that an earlier life noted, unless there is a measurement.
    pub fn restore_pace(&mut self, endpoint: EndpointKey, ns_per_unit: u64) {
        let state = self.endpoints.get_mut(&endpoint).filter(|s| s.pace.as_parts().1 == 0);
        if let Some(state) = state {
            state.pace = pace::Pace::reported(ns_per_unit, RESTORED_SAMPLES);
        }
    }

    /// What was newly believed of endpoints since the last call.
    pub fn take_ejections(&mut self) -> Vec<Ejection> {
        std::mem::take(&mut self.ejections)
    }

    /// Requests at an endpoint, of all instances that are heard.
    pub fn load(&self, now: Instant, endpoint: EndpointKey) -> u32 {
        let local = self.endpoints.get(&endpoint).map_or(0, |s| s.running);
        let loads = self.live_reports(now).flat_map(|r| &r.loads);
        local + loads.filter(|l| l.endpoint == endpoint).map(|l| l.running).sum::<u32>()
    }

    fn paces(&self, now: Instant) -> HashMap<EndpointKey, f64> {
        let mut all: HashMap<EndpointKey, Vec<pace::Pace>> = HashMap::new();
        for (endpoint, pace) in self.live_peers(now).flat_map(|p| &p.paces) {
            all.entry(*endpoint).or_default().push(*pace);
        }
        let of = |(key, s): (&EndpointKey, &EndpointState)| {
            let others = all.get(key).into_iter().flatten().copied();
            Some((*key, pace::Pace::combine(others.chain([s.pace]))?))
        };
        self.endpoints.iter().filter_map(of).collect()
    }
}
