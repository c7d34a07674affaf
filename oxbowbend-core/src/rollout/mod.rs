//! Rollouts: moving the requests of a service to another version of its endpoints on an operator's
//! order, while both versions run.
//!
//! The new version may fail some requests or be several times slower, at once or later, under load,
//! or on one route only. A rollout therefore starts as a canary. Each instance sends a small share
//! of its own requests to the new version, which keeps the fleet within the operator's limit
//! without coordination, and only to as many endpoints as that share keeps as busy as the others.
//! Instances exchange response statistics ([`responses`]), and any instance that finds the version
//! worse ([`detector`]) rolls it back. The canary lasts until the remaining time is needed to drain
//! the other versions; then all traffic shifts. Once nothing is in flight on them the rollout is
//! complete, and the platform stops them.
//!
//! Phases only move forward, in whatever order records arrive, and the last ones are final. If two
//! instances decide differently, the status that is written in the store first wins.
//!
//! Detection takes time: a version that regresses after the shift serves all requests for up to a
//! second. Responses reported before an instance first hears of the rollout are not counted there.

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

/// Share of the exposure limit that is used, leaving room for the requests in flight when a
/// regression is found.
const TARGET_EXPOSURE_FRACTION: f64 = 0.8;
/// How long after completion the other versions stay excluded. Their entries expire after three
/// heartbeats of 1.2 s.
const RETIRE_DELAY: Duration = Duration::from_secs(10);
/// How long the in-flight requests reported by an instance count.
const PEER_RECORD_TTL: Duration = Duration::from_millis(1500);
/// Separates the service from the version in the name of a candidate service.
const VERSION_SEPARATOR: char = '\u{1f}';

/// Limits set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Largest share of a service's requests that a bad version may get.
    pub max_candidate_share: f64,
}

/// An operator's order for a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutSpec {
    /// The service.
    pub service: ServiceId,
    /// The version to move to.
    pub destination: VersionId,
    /// Time within which the rollout should complete.
    pub duration: Duration,
}

impl RolloutSpec {
    /// Returns the identifier of the rollout. A repeated order has the same one, so that earlier
    /// decisions remain in force.
    pub fn id(&self) -> RolloutId {
        xxh3_64(format!("{}{VERSION_SEPARATOR}{}", self.service, self.destination).as_bytes())
            as RolloutId
    }
}

/// The status of a rollout, as written to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Both versions run.
    Running,
    /// All requests go to the new version.
    Complete,
    /// No requests go to the new version.
    RolledBack,
}

/// Why a rollout entered a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PhaseReason {
    /// It was ordered.
    Ordered,
    /// The new version is worse.
    Worse(Regression),
    /// The time of the previous phase ran out.
    Time,
    /// The new version had no endpoints at the deadline.
    NoEndpoints,
    /// The service has only endpoints of the new version.
    Idle,
    /// The order was cancelled.
    Cancelled,
    /// Another instance or the store reported the phase.
    Told,
}

/// A phase change of a rollout, for logging.
#[derive(Clone, Debug, PartialEq)]
pub struct PhaseChange {
    /// The service.
    pub service: ServiceId,
    /// The version to move to.
    pub destination: VersionId,
    /// The phase entered.
    pub phase: Phase,
    /// Why the phase was entered.
    pub reason: PhaseReason,
    /// Time since the order.
    pub age: Duration,
    /// Responses of both version groups so far.
    pub responses: GroupCounts,
}

/// The role of an endpoint in the rollout of its service.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointRole {
    /// It receives the requests to the service.
    Service,
    /// It receives the requests to this candidate service.
    Version(ServiceId),
    /// It receives no requests.
    Excluded,
}

/// The rollouts as one instance sees them.
#[derive(Debug)]
pub struct Rollouts {
    limits: RolloutLimits,
    rollouts: BTreeMap<ServiceId, Rollout>,
    /// Responses seen by this instance, by others of its cell, and by other cells.
    local_counters: BTreeMap<ResponseCounterKey, u64>,
    peer_counters: BTreeMap<ResponseCounterKey, u64>,
    remote_counters: BTreeMap<ResponseCounterKey, u64>,
    changes: Vec<PhaseChange>,
    /// Whether all instances of the fleet are heard.
    is_fleet_heard: bool,
}

impl Rollouts {
    /// Creates an empty set of rollouts.
    pub fn new(limits: RolloutLimits) -> Rollouts {
        Rollouts {
            limits,
            rollouts: BTreeMap::new(),
            local_counters: BTreeMap::new(),
            peer_counters: BTreeMap::new(),
            remote_counters: BTreeMap::new(),
            changes: Vec::new(),
            is_fleet_heard: true,
        }
    }

    /// Sets whether all instances of the fleet are heard. While they are not, that nobody tells of
    /// requests at the version before does not mean that there are none.
    pub fn set_fleet_heard(&mut self, is_fleet_heard: bool) {
        self.is_fleet_heard = is_fleet_heard;
    }

    /// Notes that this process was suspended: it has not heard that nothing ran meanwhile.
    pub fn resume(&mut self) {
        self.rollouts.values_mut().for_each(|rollout| rollout.drained_since = None);
    }

    /// Starts a rollout. A repeated order has no effect; an order for another version replaces the
    /// current one. `max_request_duration` is the longest time a request to the service may take.
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

    /// Cancels the rollout of a service by rolling it back.
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

    /// Applies the status that the store has for a rollout.
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

    /// Forgets the known contents of the store, which may have been restored from a backup.
    pub fn forget_stored_statuses(&mut self) {
        self.rollouts.values_mut().for_each(|rollout| rollout.stored_status = None);
    }

    /// Returns the statuses to write to the store.
    pub fn due_status_writes(&self, now: Instant) -> Vec<(RolloutSpec, Status)> {
        let due = self.rollouts.values().filter_map(|rollout| {
            let status = rollout.desired_status(now)?;
            (rollout.stored_status != Some(status)).then(|| (rollout.spec.clone(), status))
        });
        due.collect()
    }

    /// Updates the endpoints; returns the role of each, in the same order.
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

    /// Returns the endpoints that serve canary requests: as many as their share of the requests
    /// keeps as busy as the others.
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

    /// Returns the service or candidate service to send a request to, and counts the request.
    /// `has_candidate` is whether this instance knows endpoints of the new version, and
    /// `is_first_attempt` whether the request has not been sent before; retries don't go to a
    /// canary.
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

    /// Returns the candidate service of a service, if it has a rollout.
    pub fn candidate_service(&self, service: &ServiceId) -> Option<ServiceId> {
        self.rollouts.get(service).map(Rollout::candidate_service)
    }

    /// Records that a request was sent to an endpoint.
    pub fn request_started(&mut self, endpoint: &Endpoint) {
        if let Some(rollout) = self.rollouts.get_mut(base_service(&endpoint.service)) {
            if rollout.group(endpoint) == Some(VersionGroup::Baseline) {
                rollout.baseline_in_flight += 1;
            }
        }
    }

    /// Records that a request to an endpoint ended, with its outcome if that says something about
    /// the endpoint.
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

    /// Adds responses reported by another instance or cell.
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
        let counter = counters.entry(key).or_default();
        *counter = counter.saturating_add(n);
    }

    /// Returns the responses seen by this instance.
    pub fn local_counters(&self) -> impl Iterator<Item = (&ResponseCounterKey, u64)> {
        self.local_counters.iter().map(|(key, n)| (key, *n))
    }

    /// Returns the responses seen by this cell, as far as reported here.
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

    /// Returns the responses seen by other cells, as far as reported here.
    pub fn remote_counters(&self) -> impl Iterator<Item = (&ResponseCounterKey, u64)> {
        self.remote_counters.iter().map(|(key, n)| (key, *n))
    }

    /// Advances rollouts according to the time and the responses so far.
    pub fn advance(&mut self, now: Instant) {
        for rollout in self.rollouts.values_mut() {
            self.changes.extend(rollout.advance(now, self.is_fleet_heard));
        }
        let is_over =
            |r: &Rollout| r.phase == Phase::Complete && now >= r.phase_entered_at + RETIRE_DELAY;
        for rollout in self.rollouts.values_mut().filter(|r| is_over(r)) {
            self.changes.extend(rollout.enter_phase(now, Phase::Retired, PhaseReason::Time));
        }
    }

    /// Returns the number of rollouts in progress.
    pub fn in_progress(&self) -> usize {
        self.rollouts.values().filter(|r| r.phase < Phase::RolledBack).count()
    }

    /// Takes the phase changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PhaseChange> {
        std::mem::take(&mut self.changes)
    }
}

/// Returns the service that a service or candidate service belongs to.
fn base_service(service: &ServiceId) -> &str {
    service.split(VERSION_SEPARATOR).next().unwrap_or(service)
}
