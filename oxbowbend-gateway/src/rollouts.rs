//! Roll-outs as the parts of a gateway share them: what instances and the store tell, the status that the operator
//! is told, and their lines in the log.

use std::time::{Duration, Instant};

use async_std::task;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::Report;
use oxbowbend_core::ids::ServiceId;
use oxbowbend_core::rollout::responses::{GroupCounts, ResponseOutcome};
use oxbowbend_core::rollout::{
    EndpointRole, PeerLocation, Phase, PhaseChange, PhaseReason, RolloutRecord, RolloutSpec, Status,
};
use oxbowbend_core::routes::{Endpoint, RoutingTable};

use crate::observe;
use crate::seam::{NotedStatus, Store, StoreError};
use crate::shared::{Shared, State};
use crate::world::News;

/// How often it is looked whether the operator must be told something.
const LOOK: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

impl State {
    /// Takes in what the store holds of roll-outs.
    pub(crate) fn take_rollouts(&mut self, now: Instant, news: &[News]) {
        for item in news {
            match item {
                News::Rollout(order) => {
                    let longest = self.longest(&order.service);
                    self.rollouts.start(now, order.clone(), longest);
                }
                News::RolloutCancelled(service) => self.rollouts.cancel(now, service),
                News::RolloutStatus { service, destination, status } => {
                    self.rollouts.apply_stored_status(now, service, destination, *status);
                }
                News::Restored { .. } => self.rollouts.forget_stored_statuses(),
                _ => {}
            }
        }
        self.follow_rollouts(now);
    }

    /// Starts from what was noted in the store before.
    pub(crate) fn restore_rollouts(&mut self, now: Instant) {
        let noted = self.world.instances().values().flat_map(|entry| &entry.rollouts);
        for told in noted.cloned().collect::<Vec<_>>() {
            let longest = self.longest(&told.service);
            self.rollouts.restore(now, &told, longest);
        }
    }

    /// Takes in what another instance tells.
    pub(crate) fn hear_of_rollouts(&mut self, now: Instant, report: &Report, is_near: bool) {
        if report.rollouts.is_empty() {
            return;
        }
        let teller = if is_near { PeerLocation::SameCell } else { PeerLocation::OtherCell };
        let table = self.world.table().cloned();
        let longest = |service: &ServiceId| longest(table.as_deref(), service);
        self.rollouts.apply_records(now, &report.instance, teller, &report.rollouts, longest);
        self.follow_rollouts(now);
    }

    /// Decides what time and evidence bring.
    pub(crate) fn settle_rollouts(&mut self, now: Instant) {
        let is_fleet_heard = self.heard(now) + 1 >= self.instances;
        self.rollouts.set_fleet_heard(is_fleet_heard);
        self.rollouts.advance(now);
        self.follow_rollouts(now);
    }

    /// Puts changes into force and into the log.
    fn follow_rollouts(&mut self, now: Instant) {
        let changes = self.rollouts.take_changes();
        if changes.is_empty() {
            return;
        }
        changes.iter().for_each(log_change);
        for PhaseChange { service, phase, .. } in &changes {
            self.move_waiting(service, *phase);
        }
        observe::rollouts(self.rollouts.in_progress());
        self.regroup(now);
    }

    /// Lets what waits for the part of a service that is sent nothing any more wait for the other one.
    fn move_waiting(&mut self, service: &ServiceId, phase: Phase) {
        let Some(part) = self.rollouts.candidate_service(service) else { return };
        match phase {
            Phase::Canary | Phase::Shift => {}
            Phase::RolledBack | Phase::Retired => self.cell.change_service(&part, service),
            Phase::Complete => self.cell.change_service(service, &part),
        }
    }

    /// The endpoints by what they are sent: those of a version that is rolled out by a name of their own.
    pub(crate) fn endpoints_by_version(&mut self, now: Instant) -> Vec<Endpoint> {
        let endpoints: Vec<_> = self.world.endpoints().cloned().collect();
        let parts = self.rollouts.set_endpoints(now, &endpoints);
        let placed = endpoints.into_iter().zip(parts).filter_map(|(endpoint, part)| match part {
            EndpointRole::Service => Some(endpoint),
            EndpointRole::Version(service) => Some(Endpoint { service, ..endpoint }),
            EndpointRole::Excluded => None,
        });
        placed.collect()
    }

    /// The name under which a request to a service waits for a place.
    pub(crate) fn deal(&mut self, service: &ServiceId, is_first: bool) -> ServiceId {
        let Some(part) = self.rollouts.candidate_service(service) else { return service.clone() };
        let has_new = self.cell.serves(&part);
        self.rollouts.assign_request(service, has_new, is_first)
    }

    /// What later lives start from.
    pub(crate) fn rollout_notes(&self, now: Instant) -> Vec<RolloutRecord> {
        match self.rollouts.in_progress() {
            0 => Vec::new(),
            _ => self.rollouts.make_records(now, PeerLocation::SameCell),
        }
    }

    /// Longest time that a request to a service may take.
    fn longest(&self, service: &ServiceId) -> Duration {
        longest(self.world.table().map(|table| &**table), service)
    }

    /// Whether it is on this instance to tell the operator: it is the first by name of those that hear each
    /// other and that the store answers.
    fn writes_statuses(&self, now: Instant) -> bool {
        let is_before = |r: &Report| r.has_store && r.instance < self.me;
        let mut all = self.cell.live_reports(now).chain(self.cell.remote_reports(now));
        self.has_store() && !all.any(is_before)
    }
}

fn longest(table: Option<&RoutingTable>, service: &ServiceId) -> Duration {
    table.map_or(Duration::ZERO, |table| table.max_timeout(service))
}

impl Shared {
    /// Notes that a request began to run at an endpoint.
    pub(crate) fn run_began(&self, endpoint: &Endpoint) {
        self.lock().rollouts.request_started(endpoint);
    }

    /// Notes that it ended.
    pub(crate) fn run_ended(
        &self,
        endpoint: &Endpoint,
        route: &str,
        answer: Option<ResponseOutcome>,
    ) {
        self.lock().rollouts.request_finished(clock::now(), endpoint, route, answer);
    }

    fn due_statuses(&self) -> Vec<(RolloutSpec, Status)> {
        let now = clock::now();
        let mut state = self.lock();
        state.record_step(now);
        let due = state.rollouts.due_status_writes(now);
        if due.is_empty() || !state.writes_statuses(now) {
            return Vec::new();
        }
        due
    }
}

/// Tells the operator how roll-outs stand, for as long as this instance runs.
pub(crate) async fn keep_statuses<S: Store>(store: S, shared: Shared) {
    loop {
        task::sleep(LOOK).await;
        for (order, status) in shared.due_statuses() {
            if let Err(e) = tell_operator(&store, &shared, &order, status).await {
                observe::store_call("rollout", "failed");
                let service = &order.service;
                log::warn!(
                    "event=rollout_status_not_written service={service} status={status:?} \
                     error=\"{e}\""
                );
                task::sleep(PAUSE).await;
            }
        }
    }
}

/// Writes a status, unless the store says that the roll-out is over already.
async fn tell_operator<S: Store>(
    store: &S,
    shared: &Shared,
    order: &RolloutSpec,
    status: Status,
) -> Result<(), StoreError> {
    let noted = store.rollout_status(&order.service).await?;
    let revision = noted.as_ref().map_or(0, |noted| noted.revision);
    let same = noted.filter(|noted| noted.destination == order.destination);
    let is_over = |noted: &NotedStatus| noted.status != Status::Running || noted.status == status;
    let known = match same.filter(is_over) {
        Some(noted) => noted.status,
        None => {
            store.note_rollout(order, status, revision).await?;
            log::info!(
                "event=rollout_status service={} destination={} status={status:?}",
                order.service,
                order.destination
            );
            status
        }
    };
    observe::store_call("rollout", "ok");
    let now = clock::now();
    let mut state = shared.lock();
    state.rollouts.apply_stored_status(now, &order.service, &order.destination, known);
    state.follow_rollouts(now);
    drop(state);
    shared.tell_others();
    Ok(())
}

fn log_change(change: &PhaseChange) {
    let PhaseChange { service, destination, phase, reason: why, age, responses: answers } = change;
    let GroupCounts { baseline: old, candidate: new } = answers;
    let why = match why {
        PhaseReason::Worse(f) => format!(
            "worse bad={} of={} old_bad={} old_of={} ratio={:.1} slow_from={:?}",
            f.candidate.bad,
            f.candidate.total,
            f.baseline.bad,
            f.baseline.total,
            f.log_ratio,
            f.slow_bucket
        ),
        why => format!("{why:?}"),
    };
    log::warn!(
        "event=rollout service={service} destination={destination} phase={phase:?} age_ms={} new={} \
         new_failed={} old={} old_failed={} why=\"{why}\"",
        age.as_millis(),
        new.total(),
        new.failed(),
        old.total(),
        old.failed()
    );
}
