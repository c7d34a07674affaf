//! Roll-outs: an operator orders that a service's requests move to another version of its endpoints, which run beside
//! the others meanwhile.
//!
//! A version may be bad: it fails a part of its requests or is several times slower, at once or later, under load or
//! on one route only. So a roll-out begins as a canary: each instance sends the version a small part of its own
//! requests, which keeps the fleet within the operator's bound whoever hears whom, and only to as many
//! endpoints as that part keeps as busy as the others. All instances tell each other what became of both versions'
//! requests ([`responses`]), and whoever finds the version worse ([`detector`]) rolls back. Time that is left is time
//! for evidence: only when the rest is needed for what still runs at the other versions does all traffic shift.
//! Once nothing runs there any more the roll-out is complete, and the platform stops them.
//!
//! Phases only go forward, whoever tells of them and in whatever order, and the last ones are final: of two instances that
//! decide apart, the one that has the status written in the store is right.
//!
//! What was traded: a version that turns bad after the shift has had up to a second of all requests; and
//! evidence from before an instance was first heard is lost.

pub mod detector;
mod records;
pub mod responses;
mod state;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{EndpointId, ServiceId, VersionId};
use crate::routes::Endpoint;
use detector::Regression;
pub use records::{PeerLocation, Phase, RolloutRecord};
use responses::{GroupCounts, ResponseCounterKey, ResponseOutcome, RolloutId, VersionGroup};
use state::Rollout;

/// Part of the bound on exposure that is used: what is on its way when a version is found to be bad comes on top.
const TARGET_EXPOSURE_FRACTION: f64 = 0.8;
/// Time after a complete roll-out for which the other versions are left alone: their entries go after three
/// heartbeats of 1.2 s.
const RETIRE_DELAY: Duration = Duration::from_secs(10);
/// Age up to which what an instance tells of its runs counts.
const PEER_RECORD_TTL: Duration = Duration::from_millis(1500);
/// Separates a service's name from the version in the name of the part that is moved to.
const VERSION_SEPARATOR: char = '\u{1f}';

/// Bounds of the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Largest share of a service's requests that a version may get that turns out to be bad.
    pub max_candidate_share: f64,
}

/// What an operator orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSpec {
    /// The service.
    pub service: ServiceId,
    /// The version to move to.
    pub destination: VersionId,
    /// Time from the order within which it should be complete.
    pub duration: Duration,
}

impl RolloutSpec {
    /// Its number. The same asked for again is the same order, and what was decided on it stands.
    pub fn id(&self) -> RolloutId {
        xxh3_64(format!("{}{VERSION_SEPARATOR}{}", self.service, self.destination).as_bytes())
            as RolloutId
    }
}

/// What the operator is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Both versions run.
    Running,
    /// All requests go to the new version.
    Complete,
    /// No request goes there.
    RolledBack,
}

/// Why a roll-out is in another phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PhaseReason {
    /// It was ordered.
    Ordered,
    /// The version answers worse.
    Worse(Regression),
    /// The time of the phase before is over.
    Time,
    /// The deadline has come, and there was nothing to move to.
    NoEndpoints,
    /// Nothing is left at the other versions.
    Idle,
    /// The order was taken back.
    Cancelled,
    /// Another instance, or the store, says so.
    Told,
}

/// A roll-out is in another phase, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct PhaseChange {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub destination: VersionId,
    /// The phase.
    pub phase: Phase,
    /// Why.
    pub reason: PhaseReason,
    /// Since the order.
    pub age: Duration,
    /// What is known of both versions' answers.
    pub responses: GroupCounts,
}

/// Where an endpoint of a service stands in its roll-out.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointRole {
    /// It serves what is sent to the service.
    Service,
    /// It serves what is sent to this name.
    Version(ServiceId),
    /// It is sent nothing.
    Excluded,
}

/// All roll-outs as one instance sees them.
#[derive(Debug)]
pub struct Rollouts {
    limits: RolloutLimits,
    rollouts: BTreeMap<ServiceId, Rollout>,
    /// Answers that this instance saw, those that its cell told of, and those of other cells.
    local_counters: BTreeMap<ResponseCounterKey, u64>,
    peer_counters: BTreeMap<ResponseCounterKey, u64>,
    remote_counters: BTreeMap<ResponseCounterKey, u64>,
    changes: Vec<PhaseChange>,
}

impl Rollouts {
    /// None yet.
    pub fn new(limits: RolloutLimits) -> Rollouts {
        Rollouts {
            limits,
            rollouts: BTreeMap::new(),
            local_counters: BTreeMap::new(),
            peer_counters: BTreeMap::new(),
            remote_counters: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Takes in an order. `longest` is the longest time that a request to the service may take. The same order
    /// again changes nothing; one for another version takes the place of the one before.
    pub fn start(&mut self, now: Instant, spec: RolloutSpec, max_request_duration: Duration) {
        if self.rollouts.get(&spec.service).is_some_and(|r| r.id == spec.id()) {
            return;
        }
        let deadline = now + spec.duration;
        self.insert(now, spec, deadline, max_request_duration, Phase::Canary, PhaseReason::Ordered);
    }

    fn insert(
        &mut self,
        now: Instant,
        spec: RolloutSpec,
        deadline: Instant,
        max_request_duration: Duration,
        phase: Phase,
        reason: PhaseReason,
    ) {
        let service = spec.service.clone();
        let rollout = Rollout::new(now, spec, deadline, max_request_duration, phase);
        for counters in
            [&mut self.local_counters, &mut self.peer_counters, &mut self.remote_counters]
        {
            counters.retain(|key, _| key.rollout == rollout.id);
        }
        self.changes.push(rollout.phase_change(now, reason));
        self.rollouts.insert(service, rollout);
    }

    /// Takes an order back.
    pub fn cancel(&mut self, now: Instant, service: &ServiceId) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            if rollout.phase < Phase::RolledBack {
                self.changes.extend(rollout.enter_phase(
                    now,
                    Phase::RolledBack,
                    PhaseReason::Cancelled,
                ));
            }
        }
    }

    /// Takes in what the store says of an order for a version.
    pub fn apply_stored_status(
        &mut self,
        now: Instant,
        service: &ServiceId,
        destination: &VersionId,
        status: Status,
    ) {
        let rollout = self.rollouts.get_mut(service).filter(|r| r.spec.destination == *destination);
        let Some(rollout) = rollout else { return };
        rollout.stored_status = Some(status);
        let phase = match status {
            Status::Running => return,
            Status::Complete => Phase::Complete,
            Status::RolledBack => Phase::RolledBack,
        };
        if rollout.phase != phase {
            self.changes.extend(rollout.enter_phase(now, phase, PhaseReason::Told));
        }
    }

    /// Forgets what the store said, since it may not hold it any more.
    pub fn forget_stored_statuses(&mut self) {
        self.rollouts.values_mut().for_each(|rollout| rollout.stored_status = None);
    }

    /// What the store should say and does not, as far as is known.
    pub fn due_status_writes(&self, now: Instant) -> Vec<(RolloutSpec, Status)> {
        let due = self.rollouts.values().filter_map(|rollout| {
            let status = rollout.desired_status(now)?;
            (rollout.stored_status != Some(status)).then(|| (rollout.spec.clone(), status))
        });
        due.collect()
    }

    /// Takes in the list of all endpoints; returns where each stands.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: &[Endpoint]) -> Vec<EndpointRole> {
        for rollout in self.rollouts.values_mut() {
            rollout.set_endpoints(now, endpoints);
        }
        let canaries = self.select_canaries(endpoints);
        let role = |endpoint: &Endpoint| match self.rollouts.get(&endpoint.service) {
            Some(rollout) => rollout.endpoint_role(endpoint, canaries.contains(&&endpoint.id)),
            None => EndpointRole::Service,
        };
        endpoints.iter().map(role).collect()
    }

    /// Endpoints of versions that are tried: as many as the part of the requests that they get keeps as busy as the
    /// others.
    fn select_canaries<'a>(&self, endpoints: &'a [Endpoint]) -> Vec<&'a EndpointId> {
        let mut canaries = Vec::new();
        for rollout in self.rollouts.values().filter(|r| r.phase == Phase::Canary) {
            let candidates = endpoints
                .iter()
                .filter(|e| rollout.group(e) == Some(VersionGroup::Candidate) && !e.leaving);
            let mut candidates: Vec<_> = candidates.map(|e| &e.id).collect();
            candidates.sort_by_key(|id| xxh3_64(id.as_bytes()));
            let target = rollout.endpoint_counts.baseline.max(candidates.len()) as f64
                * self.limits.max_candidate_share
                * TARGET_EXPOSURE_FRACTION;
            let count = if rollout.endpoint_counts.baseline == 0 {
                candidates.len()
            } else {
                target.ceil() as usize
            };
            canaries.extend(candidates.into_iter().take(count));
        }
        canaries
    }

    /// Where to send a request to a service, by name of the part; counts it. `has_new` if this instance has
    /// endpoints of the new version, `is_first` if the request was sent nowhere before: one that has failed is not
    /// tried out again.
    pub fn assign_request(
        &mut self,
        service: &ServiceId,
        has_candidate: bool,
        is_first_attempt: bool,
    ) -> ServiceId {
        let share = self.limits.max_candidate_share * TARGET_EXPOSURE_FRACTION;
        let Some(rollout) = self.rollouts.get_mut(service) else { return service.clone() };
        match rollout.assign_request(share, has_candidate, is_first_attempt) {
            VersionGroup::Baseline => service.clone(),
            VersionGroup::Candidate => rollout.candidate_service(),
        }
    }

    /// Name of the part of a service that is moved to, if there is one.
    pub fn candidate_service(&self, service: &ServiceId) -> Option<ServiceId> {
        self.rollouts.get(service).map(Rollout::candidate_service)
    }

    /// Notes that a request began to run at an endpoint.
    pub fn request_started(&mut self, endpoint: &Endpoint) {
        if let Some(rollout) = self.rollouts.get_mut(base_service(&endpoint.service)) {
            if rollout.group(endpoint) == Some(VersionGroup::Baseline) {
                rollout.baseline_in_flight += 1;
            }
        }
    }

    /// Notes that a request ended at an endpoint, and with what answer if that says something of the endpoint.
    pub fn request_finished(
        &mut self,
        now: Instant,
        endpoint: &Endpoint,
        route: &str,
        outcome: Option<ResponseOutcome>,
    ) {
        let Some(rollout) = self.rollouts.get_mut(base_service(&endpoint.service)) else { return };
        let Some(group) = rollout.group(endpoint) else { return };
        if group == VersionGroup::Baseline {
            rollout.baseline_in_flight = rollout.baseline_in_flight.saturating_sub(1);
        }
        let Some(outcome) = outcome.filter(|_| rollout.phase < Phase::RolledBack) else { return };
        let key = ResponseCounterKey::new(rollout.id, route, group, outcome);
        rollout.responses.add(now, key, 1);
        *self.local_counters.entry(key).or_default() += 1;
    }

    /// Adds answers that another instance told of, or another cell.
    pub fn add_peer_responses(
        &mut self,
        now: Instant,
        key: ResponseCounterKey,
        n: u64,
        is_same_cell: bool,
    ) {
        let Some(rollout) = self.rollouts.values_mut().find(|r| r.id == key.rollout) else {
            return;
        };
        rollout.responses.add(now, key, n);
        let counters =
            if is_same_cell { &mut self.peer_counters } else { &mut self.remote_counters };
        *counters.entry(key).or_default() += n;
    }

    /// Answers that this instance saw.
    pub fn local_counters(&self) -> impl Iterator<Item = (&ResponseCounterKey, u64)> {
        self.local_counters.iter().map(|(key, n)| (key, *n))
    }

    /// Answers that this cell saw, as far as it has heard.
    pub fn cell_counters(&self) -> impl Iterator<Item = (&ResponseCounterKey, u64)> {
        let keys = self
            .local_counters
            .keys()
            .chain(self.peer_counters.keys().filter(|k| !self.local_counters.contains_key(k)));
        let n = |counters: &BTreeMap<ResponseCounterKey, u64>, key| counters.get(key).copied();
        keys.map(move |key| {
            (
                key,
                n(&self.local_counters, key).unwrap_or(0)
                    + n(&self.peer_counters, key).unwrap_or(0),
            )
        })
    }

    /// Answers that other cells saw, likewise.
    pub fn remote_counters(&self) -> impl Iterator<Item = (&ResponseCounterKey, u64)> {
        self.remote_counters.iter().map(|(key, n)| (key, *n))
    }

    /// Decides what time and evidence bring.
    pub fn advance(&mut self, now: Instant) {
        for rollout in self.rollouts.values_mut() {
            self.changes.extend(rollout.advance(now));
        }
        let is_over =
            |r: &Rollout| r.phase == Phase::Complete && now >= r.phase_entered_at + RETIRE_DELAY;
        for rollout in self.rollouts.values_mut().filter(|r| is_over(r)) {
            self.changes.extend(rollout.enter_phase(now, Phase::Retired, PhaseReason::Time));
        }
    }

    /// Roll-outs in progress.
    pub fn in_progress(&self) -> usize {
        self.rollouts.values().filter(|r| r.phase < Phase::RolledBack).count()
    }

    /// What has changed since the last call.
    pub fn take_changes(&mut self) -> Vec<PhaseChange> {
        std::mem::take(&mut self.changes)
    }
}

/// A service's name without that of a part.
fn base_service(service: &ServiceId) -> &str {
    service.split(VERSION_SEPARATOR).next().unwrap_or(service)
}
