//! Placement of requests within a cell: a group of instances that share a set of endpoints.
//!
//! Instances broadcast reports of their running and waiting requests. Each instance computes the
//! same ordering and the same assignment from these reports and dispatches only its own requests;
//! there is no scheduler and no coordination round trip. An instance that is partitioned or has
//! just started keeps serving with what it knows.
//!
//! Two instances can assign the same slot within the few milliseconds that a report takes. The
//! endpoint then queues one of the two requests.
//!
//! This module is used in place of a pool's [`crate::scheduler`] where an endpoint does not
//! guarantee its slots.

mod announced;
mod assign;
mod brittle;
mod choice;
mod expectation;
mod expected_wait;
mod fleet;
mod free_slots;
mod gate;
mod groups;
mod health;
mod hear;
mod leaving;
mod limits;
mod moves;
mod order;
mod pace;
mod peer;
mod rank_floor;
mod reach;
mod report;
mod rests;
mod return_times;
mod sharing;
mod shedding;
mod signals;
mod slot_rate;
mod slot_time;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use announced::{LimitChange, ReportedLimit};
pub use assign::{Assignment, REPORT_DELAY};
pub use expected_wait::WaitForecast;
pub use fleet::{CellFreeSlots, FleetSummary, RemoteInstances};
pub use free_slots::QueueOutlook;
pub use groups::{CellLayout, OtherCells, DEFAULT_MAX_CELL_SIZE};
pub use hear::{CounterDeltas, ReportDeltas};
pub use leaving::DrainNotice;
pub use pace::FIXED_WORK_UNITS;
pub use rank_floor::{FloorChange, RankFloor, RANK_FLOOR};
pub use reach::{InstanceFilter, Reachability};
pub use report::{
    CountsByRank, EndpointLoad, EndpointNotices, EndpointStats, Report, WaitingRequest,
};
pub use return_times::queue_objective;
pub use shedding::{RetryAfter, RetryPolicy};
pub use signals::{Origin, SignalValue, Signals};
pub use slot_time::SlotUsage;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{EndpointId, EndpointKey, InstanceId, ServiceId, VersionId, ZoneId};
use crate::routes::Endpoint;
use crate::saturating;

/// Age of a report after which its waiting requests are ignored.
pub const WAITING_TTL: Duration = Duration::from_millis(400);
/// Time without a report after which an instance counts as failed and its running requests as
/// ended.
pub const PEER_TTL: Duration = Duration::from_millis(1500);
/// Time after a change for which [`ReportDetail::Changes`] includes an endpoint's counters: three
/// such reports, to tolerate packet loss.
const CHANGED_STATS_PERIOD: Duration = Duration::from_millis(400);
/// Time after a change for which [`ReportDetail::Full`] includes an endpoint's counters.
const FULL_STATS_PERIOD: Duration = Duration::from_secs(3);

/// Sample count given to a restored estimate. Small, so that new measurements soon outweigh it.
const RESTORED_SAMPLES: u32 = 3;

/// Identifies a waiting or running request at this instance.
pub type Ticket = u64;

/// A request waiting for placement.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Service that must execute the request.
    pub service: ServiceId,
    /// Priority; 0 is the most urgent.
    pub rank: u16,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer in tokens.
    pub output_tokens: u32,
    /// How its prefill stalls concurrent streams.
    pub stall: PrefillStall,
    /// Arrival time.
    pub arrived_at: Instant,
    /// Target time from arrival to the first event.
    pub objective: Duration,
    /// Endpoints that the request was already sent to.
    pub excluded_endpoints: Vec<EndpointId>,
    /// Software version that must execute the request, since it goes on with a stream of that
    /// version; any if `None`.
    pub version: Option<VersionId>,
    /// Whether its client account is over its fair share ([`crate::fair_share`]). Such requests go
    /// after all others of their rank.
    pub is_over_share: bool,
}

/// How long the prefill of a request stalls streams on the same endpoint, and how long a stall they
/// tolerate.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PrefillStall {
    /// Prompt tokens that may be processed between two events of another stream.
    #[serde(rename = "t")]
    pub chunk_tokens: u32,
    /// Longest acceptable gap between two events in milliseconds; 0 if unbounded.
    #[serde(rename = "p")]
    pub max_gap_ms: u32,
}

/// Outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint returned a complete answer.
    Good,
    /// The endpoint failed: no connection, a broken or invalid answer, or a server error.
    Bad,
    /// The outcome says nothing about the endpoint, for example because the caller disconnected.
    Neutral,
    /// The server at the endpoint's address is a different endpoint.
    Absent,
}

/// The ejection of an endpoint, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Length of the ejection.
    pub duration: Duration,
}

/// Which counters a report contains, in addition to running and waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportDetail {
    /// No counters.
    Loads,
    /// Counters that changed recently.
    Changes,
    /// Counters of all recently used endpoints.
    Full,
}

#[derive(Debug)]
struct EndpointState {
    endpoint: Endpoint,
    /// Hash of the endpoint's id, used to spread instances over equally good endpoints.
    hash: u64,
    running: u32,
    /// Prompt tokens of requests without a first event. Engines process prompts sequentially.
    pending_prompt_tokens: u32,
    successes: u64,
    failures: u64,
    pace: pace::LatencyEstimate,
    silence: expectation::Silence,
    health: health::Health,
    last_used: Option<Instant>,
    /// When the endpoint last started or completed an answer.
    last_answer: Option<Instant>,
}

/// One instance's view of its cell.
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
    /// Instances of other cells, mainly their representatives.
    remote_peers: HashMap<InstanceId, peer::Peer>,
    latency_cache: assign::LatencyCache,
    persisted_paces: pace::PersistedPaces,
    /// Waits in vain, by service, since the last answer of any of its endpoints.
    silences: HashMap<ServiceId, expectation::Silence>,
    ejections: Vec<Ejection>,
    last_failure: Option<Instant>,
    /// Fraction of the fleet that is reachable, including this instance.
    visible_share: f64,
    /// Number of reachable instances of the cell, including this one.
    reachable_count: u32,
    /// The reachable instances of the cell.
    reachable_filter: reach::InstanceFilter,
    shedding: shedding::LoadShedder,
    forecasts: expected_wait::Forecasts,
    /// The floor of ranks below the first; `None` in fleets of one cell.
    floor: Option<order::CellFloor>,
    is_representative: bool,
    /// When the totals of each other cell, and of all other cells together, were last received.
    cell_totals_at: BTreeMap<u32, Instant>,
    fleet_totals_at: Option<Instant>,
    /// The instances that share what endpoints allow.
    instances: sharing::SharingInstances,
    /// Rate limits announced by endpoints.
    limits: limits::RateLimits,
    /// Endpoints that fall over if they reject too many requests.
    brittle: brittle::BrittleEndpoints,
    /// Endpoints that are draining.
    draining: leaving::DrainingEndpoints,
    /// Endpoints that asked this instance to back off.
    backoffs: rests::Backoffs,
    /// Services whose endpoints are shared by all cells.
    shared_services: BTreeSet<ServiceId>,
    /// Endpoints of all cells in the platform's list.
    listed_endpoints: HashSet<EndpointKey>,
    /// Slots that requests of this instance have freed recently.
    freed_slots: free_slots::FreedSlots,
    /// When instances or endpoints last went to other cells.
    layout_changed_at: Option<Instant>,
}

impl Cell {
    /// Creates a cell without endpoints or other instances. `incarnation` is a random number that
    /// distinguishes this process from earlier ones with the same id.
    pub fn new(local_id: InstanceId, zone: ZoneId, incarnation: u64) -> Cell {
        Cell {
            instances: sharing::SharingInstances::new(&local_id),
            limits: limits::RateLimits::default(),
            brittle: brittle::BrittleEndpoints::default(),
            draining: leaving::DrainingEndpoints::default(),
            backoffs: rests::Backoffs::default(),
            shared_services: BTreeSet::new(),
            listed_endpoints: HashSet::new(),
            freed_slots: free_slots::FreedSlots::default(),
            layout_changed_at: None,
            local_id,
            zone,
            incarnation,
            sequence: 0,
            endpoints: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            peers: HashMap::new(),
            remote_peers: HashMap::new(),
            latency_cache: assign::LatencyCache::default(),
            persisted_paces: pace::PersistedPaces::default(),
            silences: HashMap::new(),
            ejections: Vec::new(),
            last_failure: None,
            visible_share: 1.0,
            reachable_count: 1,
            reachable_filter: reach::InstanceFilter::default(),
            shedding: shedding::LoadShedder::default(),
            forecasts: expected_wait::Forecasts::default(),
            floor: None,
            is_representative: false,
            cell_totals_at: BTreeMap::new(),
            fleet_totals_at: None,
        }
    }

    /// Replaces the list of endpoints and keeps the state of those that remain. A removed endpoint
    /// receives no new requests, but is kept while requests run there, since it may have moved to
    /// another cell. State of an endpoint that restarted is discarded.
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
                    pace: pace::LatencyEstimate::default(),
                    silence: expectation::Silence::default(),
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

    /// Builds a report. The caller fills in what this type does not know, such as the store
    /// revision, the configuration version and the addresses.
    pub fn report(&mut self, now: Instant, detail: ReportDetail) -> Report {
        self.sequence += 1;
        self.sample_slots(now);
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
        let is_heartbeat = detail != ReportDetail::Loads;
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
            waiting: self.waiting_to_report(now),
            rejections: self.brittle.rejections_to_report(now),
            ..Report::default()
        };
        if is_heartbeat {
            report.endpoint_notices = self.signals_for_cell(now);
        }
        self.report_slot_use(now, detail, &mut report);
        report
    }

    /// Sets the fraction of the fleet that is reachable, including this instance. At most that
    /// fraction of an endpoint's slots is used, since unreachable instances use the rest.
    pub fn set_visible_share(&mut self, share: f64) {
        self.visible_share = share.clamp(0.0, 1.0);
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, request: QueuedRequest) -> Ticket {
        self.next_ticket += 1;
        if let Some(floor) = &mut self.floor {
            floor.record_output(&request);
        }
        self.waiting.insert(self.next_ticket, request);
        self.next_ticket
    }

    /// Moves requests waiting for service `from` to service `to`.
    pub fn change_service(&mut self, from: &ServiceId, to: &ServiceId) {
        let waiting = self.waiting.values_mut().filter(|request| request.service == *from);
        waiting.for_each(|request| request.service = to.clone());
    }

    /// Whether the cell has an endpoint of `service` that accepts requests.
    pub fn serves(&self, service: &ServiceId) -> bool {
        let is_open = |(key, s): (&EndpointKey, &EndpointState)| {
            s.endpoint.service == *service && !self.is_draining(*key, s)
        };
        self.endpoints.iter().any(is_open)
    }

    /// Whether the cell has an endpoint of `service` with a software version that accepts requests.
    pub fn serves_version(&self, service: &ServiceId, version: &VersionId) -> bool {
        let is_open = |(key, s): (&EndpointKey, &EndpointState)| {
            s.endpoint.service == *service
                && s.endpoint.version == *version
                && !self.is_draining(*key, s)
        };
        self.endpoints.iter().any(is_open)
    }

    /// Removes a request from the queue. Returns `false` if it was already placed.
    pub fn dequeue(&mut self, ticket: Ticket) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Number of requests waiting at this instance.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Records the time to the first event of a request with `prompt_tokens` tokens, sent while
    /// `backlog` prompt tokens were queued at the endpoint.
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
            state.pace.record(prompt_tokens.saturating_add(backlog), time_to_first_event);
            (state.last_used, state.last_answer) = (Some(now), Some(now));
        }
        self.end_silence(now, endpoint);
        if let Some(sent_at) = now.checked_sub(time_to_first_event) {
            self.brittle.record_accepted(endpoint, sent_at);
        }
    }

    /// Records that a request sent at `since` is overdue. It counts as a failure of the endpoint
    /// only if no other request has been answered there since; otherwise the request itself may be
    /// the cause.
    pub fn record_slow_response(&mut self, now: Instant, endpoint: EndpointKey, sent_at: Instant) {
        let last_answer = self.endpoints.get(&endpoint).and_then(|state| state.last_answer);
        if last_answer.is_none_or(|at| at <= sent_at) {
            self.record_outcome(now, endpoint, Outcome::Bad);
        }
    }

    /// Records the end of a request. `pending_prompt_tokens` is its prompt length if no first event
    /// arrived, else 0.
    pub fn finish(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        pending_prompt_tokens: u32,
        outcome: Outcome,
    ) {
        self.record_slot_released(now, endpoint);
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        state.running = state.running.saturating_sub(1);
        self.freed_slots.record(now, &state.endpoint.service);
        state.pending_prompt_tokens =
            state.pending_prompt_tokens.saturating_sub(pending_prompt_tokens);
        self.record_outcome(now, endpoint, outcome);
    }

    /// Records an outcome for the endpoint without ending the request.
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

    /// Latency estimates of all endpoints, to be persisted for later incarnations. They change only
    /// where an endpoint has become much slower or faster.
    pub fn paces_to_persist(&mut self, now: Instant) -> Vec<(EndpointKey, u64)> {
        let known = self.known_paces(now);
        self.persisted_paces.update(known)
    }

    /// Latency estimates of all endpoints.
    pub fn known_paces(&self, now: Instant) -> Vec<(EndpointKey, u64)> {
        let mut paces: Vec<_> = self.paces(now).into_iter().map(|(e, ns)| (e, ns as u64)).collect();
        paces.sort();
        paces
    }

    /// Number of endpoints of the cell.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Restores a persisted latency estimate unless there are measurements already.
    pub fn restore_pace(&mut self, endpoint: EndpointKey, ns_per_unit: u64) {
        let state = self.endpoints.get_mut(&endpoint).filter(|s| s.pace.as_parts().1 == 0);
        if let Some(state) = state {
            state.pace = pace::LatencyEstimate::from_report(ns_per_unit, RESTORED_SAMPLES);
        }
    }

    /// Returns the ejections since the last call.
    pub fn take_ejections(&mut self) -> Vec<Ejection> {
        std::mem::take(&mut self.ejections)
    }

    /// Requests running at an endpoint, from all reachable instances.
    pub fn load(&self, now: Instant, endpoint: EndpointKey) -> u32 {
        let local = self.endpoints.get(&endpoint).map_or(0, |s| s.running);
        let loads = self.reported_loads(now);
        let remote = loads.filter(|l| l.endpoint == endpoint).map(|l| l.running);
        saturating::sum(remote.chain([local]))
    }

    fn paces(&self, now: Instant) -> HashMap<EndpointKey, f64> {
        let mut all: HashMap<EndpointKey, Vec<pace::LatencyEstimate>> = HashMap::new();
        for (endpoint, pace) in self.live_peers(now).flat_map(|p| &p.paces) {
            all.entry(*endpoint).or_default().push(*pace);
        }
        let of = |(key, s): (&EndpointKey, &EndpointState)| {
            let others = all.get(key).into_iter().flatten().copied();
            Some((*key, pace::LatencyEstimate::weighted_mean(others.chain([s.pace]))?))
        };
        self.endpoints.iter().filter_map(of).collect()
    }
}
