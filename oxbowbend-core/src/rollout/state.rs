//! The state of one rollout.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::detector;
use super::responses::{ResponseHistory, RolloutId, VersionGroup};
use super::{
    base_service, EndpointRole, PeerLocation, Phase, PhaseChange, PhaseReason, RolloutSpec, Status,
    VERSION_SEPARATOR,
};
use crate::ids::{InstanceId, ServiceId};
use crate::routes::Endpoint;

/// Smallest fraction of the rollout's duration spent in the canary phase, however long the baseline
/// may take to drain.
const MIN_CANARY_FRACTION: f64 = 0.6;
/// How long before the deadline a rollout completes even if requests are still in flight on the
/// baseline. An order takes up to 0.7 s to arrive, and writing the status up to 0.5 s.
const STATUS_WRITE_MARGIN: Duration = Duration::from_millis(1500);
/// How long no instance may have reported requests in flight on the baseline. Reports are sent
/// every 130 ms and may pass through two representatives.
const DRAIN_CONFIRMATION_PERIOD: Duration = Duration::from_millis(1000);
/// How long a service must have had only endpoints of the candidate version for its rollout to skip
/// the canary.
const SINGLE_VERSION_PERIOD: Duration = Duration::from_secs(3);

/// Number of a service's endpoints by version group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct EndpointCounts {
    pub(super) baseline: usize,
    pub(super) candidate: usize,
}

#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) spec: RolloutSpec,
    pub(super) id: RolloutId,
    pub(super) started_at: Instant,
    pub(super) deadline: Instant,
    /// Longest time a request to the service may take.
    pub(super) max_request_duration: Duration,
    pub(super) phase: Phase,
    pub(super) phase_entered_at: Instant,
    pub(super) responses: ResponseHistory,
    pub(super) endpoint_counts: EndpointCounts,
    pub(super) candidate_only_since: Option<Instant>,
    /// Requests sent by this instance, and how many of them to the candidate.
    pub(super) requests_sent: u64,
    pub(super) candidate_requests_sent: u64,
    /// Requests of this instance in flight on the baseline.
    pub(super) baseline_in_flight: u32,
    pub(super) peers: HashMap<InstanceId, PeerInFlight>,
    pub(super) drained_since: Option<Instant>,
    /// The status last read from the store or written to it.
    pub(super) stored_status: Option<Status>,
}

/// In-flight requests on the baseline as reported by an instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerInFlight {
    pub(super) received_at: Instant,
    pub(super) location: PeerLocation,
    pub(super) baseline_in_flight: u32,
    pub(super) remote_in_flight: u32,
}

impl Rollout {
    pub(super) fn new(
        now: Instant,
        spec: RolloutSpec,
        deadline: Instant,
        max_request_duration: Duration,
        phase: Phase,
    ) -> Rollout {
        Rollout {
            id: spec.id(),
            spec,
            started_at: now,
            deadline,
            max_request_duration,
            phase,
            phase_entered_at: now,
            responses: ResponseHistory::default(),
            endpoint_counts: EndpointCounts::default(),
            candidate_only_since: None,
            requests_sent: 0,
            candidate_requests_sent: 0,
            baseline_in_flight: 0,
            peers: HashMap::new(),
            drained_since: None,
            stored_status: None,
        }
    }

    pub(super) fn phase_change(&self, now: Instant, reason: PhaseReason) -> PhaseChange {
        PhaseChange {
            service: self.spec.service.clone(),
            destination: self.spec.destination.clone(),
            phase: self.phase,
            reason,
            age: now.saturating_duration_since(self.started_at),
            responses: self.responses.totals(),
        }
    }

    pub(super) fn enter_phase(
        &mut self,
        now: Instant,
        phase: Phase,
        reason: PhaseReason,
    ) -> Option<PhaseChange> {
        (self.phase, self.phase_entered_at) = (phase, now);
        self.drained_since = None;
        Some(self.phase_change(now, reason))
    }

    /// Returns the version group of an endpoint, if it belongs to the service.
    pub(super) fn group(&self, endpoint: &Endpoint) -> Option<VersionGroup> {
        if base_service(&endpoint.service) != &*self.spec.service {
            return None;
        }
        let is_candidate = endpoint.version == self.spec.destination;
        Some(if is_candidate { VersionGroup::Candidate } else { VersionGroup::Baseline })
    }

    pub(super) fn candidate_service(&self) -> ServiceId {
        format!("{}{VERSION_SEPARATOR}{}", self.spec.service, self.spec.destination).as_str().into()
    }

    pub(super) fn endpoint_role(&self, endpoint: &Endpoint, is_canary: bool) -> EndpointRole {
        let is_candidate = self.group(endpoint) == Some(VersionGroup::Candidate);
        match self.phase {
            Phase::Canary if is_candidate && !is_canary => EndpointRole::Excluded,
            Phase::RolledBack if is_candidate => EndpointRole::Excluded,
            Phase::Complete if !is_candidate => EndpointRole::Excluded,
            Phase::Retired => EndpointRole::Service,
            _ if is_candidate => EndpointRole::Version(self.candidate_service()),
            _ => EndpointRole::Service,
        }
    }

    pub(super) fn set_endpoints(&mut self, now: Instant, endpoints: &[Endpoint]) {
        let mut counts = EndpointCounts::default();
        for endpoint in endpoints.iter().filter(|e| !e.leaving) {
            match self.group(endpoint) {
                Some(VersionGroup::Baseline) => counts.baseline += 1,
                Some(VersionGroup::Candidate) => counts.candidate += 1,
                None => {}
            }
        }
        self.endpoint_counts = counts;
        self.candidate_only_since = match counts {
            EndpointCounts { baseline: 0, candidate } if candidate > 0 => {
                self.candidate_only_since.or(Some(now))
            }
            _ => None,
        };
    }

    pub(super) fn assign_request(
        &mut self,
        share: f64,
        has_candidate: bool,
        is_first_attempt: bool,
    ) -> VersionGroup {
        self.requests_sent += 1;
        let is_within_share =
            (self.candidate_requests_sent + 1) as f64 <= share * self.requests_sent as f64;
        let group = match self.phase {
            // There are no other endpoints.
            Phase::Canary if has_candidate && self.endpoint_counts.baseline == 0 => {
                VersionGroup::Candidate
            }
            Phase::Canary if has_candidate && is_first_attempt && is_within_share => {
                VersionGroup::Candidate
            }
            Phase::Shift | Phase::Complete if has_candidate => VersionGroup::Candidate,
            _ => VersionGroup::Baseline,
        };
        self.candidate_requests_sent += u64::from(group == VersionGroup::Candidate);
        group
    }

    /// Returns the latest time at which all traffic shifts: as soon as the rest is needed to drain
    /// the baseline.
    pub(super) fn latest_shift_at(&self) -> Instant {
        let duration = self.deadline.saturating_duration_since(self.started_at);
        let reserve = (self.max_request_duration + STATUS_WRITE_MARGIN)
            .min(duration.mul_f64(1.0 - MIN_CANARY_FRACTION));
        self.deadline.checked_sub(reserve).unwrap_or(self.started_at)
    }

    pub(super) fn advance(&mut self, now: Instant, is_fleet_heard: bool) -> Option<PhaseChange> {
        if self.phase >= Phase::RolledBack {
            return None;
        }
        let has_lasted =
            |since: Instant| now.saturating_duration_since(since) >= SINGLE_VERSION_PERIOD;
        if self.candidate_only_since.is_some_and(has_lasted) && self.phase == Phase::Canary {
            return self.enter_phase(now, Phase::Shift, PhaseReason::Idle);
        }
        if let Some(regression) = detector::find_regression(&self.responses) {
            return self.enter_phase(now, Phase::RolledBack, PhaseReason::Worse(regression));
        }
        self.update_drained(now, is_fleet_heard);
        match self.phase {
            Phase::Canary
                if self.endpoint_counts.candidate == 0
                    && now >= self.deadline
                    && self.endpoint_counts.baseline > 0 =>
            {
                self.enter_phase(now, Phase::RolledBack, PhaseReason::NoEndpoints)
            }
            Phase::Canary
                if self.endpoint_counts.candidate > 0 && now >= self.latest_shift_at() =>
            {
                self.enter_phase(now, Phase::Shift, PhaseReason::Time)
            }
            _ => None,
        }
    }

    fn update_drained(&mut self, now: Instant, is_fleet_heard: bool) {
        let is_drained =
            self.phase == Phase::Shift && is_fleet_heard && self.fleet_baseline_in_flight(now) == 0;
        self.drained_since = if is_drained { self.drained_since.or(Some(now)) } else { None };
    }

    /// Returns the status that the store should have.
    pub(super) fn desired_status(&self, now: Instant) -> Option<Status> {
        if self.endpoint_counts == EndpointCounts::default() {
            return None;
        }
        let is_drained = self
            .drained_since
            .is_some_and(|at| now.saturating_duration_since(at) >= DRAIN_CONFIRMATION_PERIOD);
        let is_final =
            now + STATUS_WRITE_MARGIN >= self.deadline || self.candidate_only_since.is_some();
        match self.phase {
            Phase::Canary => Some(Status::Running),
            Phase::Shift if is_drained || is_final => Some(Status::Complete),
            Phase::Shift => Some(Status::Running),
            Phase::RolledBack => Some(Status::RolledBack),
            Phase::Complete | Phase::Retired => Some(Status::Complete),
        }
    }
}
