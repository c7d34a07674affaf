//! Rollout records exchanged between instances and written to the store.

use std::time::{Duration, Instant};

use super::state::{PeerInFlight, Rollout};
use super::{PhaseReason, RolloutSpec, Rollouts, PEER_RECORD_TTL};
use crate::ids::{InstanceId, ServiceId, VersionId};
use crate::saturating;

/// Phases of a rollout, in order. A later one supersedes an earlier one.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Phase {
    /// A small share of the requests goes to the new version.
    Canary,
    /// All new requests go to the new version.
    Shift,
    /// No requests go to the new version.
    RolledBack,
    /// All requests go to the new version, and the other versions are stopped.
    Complete,
    /// The rollout is over, and versions are no longer distinguished.
    Retired,
}

/// The state of a rollout in a report. It contains durations instead of times, because clocks
/// differ.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RolloutRecord {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// The version to move to.
    #[serde(rename = "d")]
    pub destination: VersionId,
    /// Milliseconds since the order.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Milliseconds from the order to the deadline.
    #[serde(rename = "t")]
    pub duration_ms: u32,
    /// The current phase.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Requests in flight on the baseline, of the sender or, in a report to other cells, of its
    /// cell. Each instance that still sends requests there adds one.
    #[serde(rename = "r", default)]
    pub baseline_in_flight: u32,
    /// The same of other cells, in a report from a representative to its cell.
    #[serde(rename = "b", default)]
    pub remote_in_flight: u32,
}

/// Where a peer is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerLocation {
    /// An instance in the same cell.
    SameCell,
    /// A representative of another cell.
    OtherCell,
}

impl Rollouts {
    /// Returns the records to include in a report to the given peers.
    pub fn make_records(&self, now: Instant, recipient: PeerLocation) -> Vec<RolloutRecord> {
        let make_record = |rollout: &Rollout| RolloutRecord {
            service: rollout.spec.service.clone(),
            destination: rollout.spec.destination.clone(),
            age_ms: millis(now.saturating_duration_since(rollout.started_at)),
            duration_ms: millis(rollout.deadline.saturating_duration_since(rollout.started_at)),
            phase: rollout.phase,
            baseline_in_flight: match recipient {
                PeerLocation::SameCell => rollout.local_baseline_in_flight(),
                PeerLocation::OtherCell => rollout.cell_baseline_in_flight(now),
            },
            remote_in_flight: match recipient {
                PeerLocation::SameCell => rollout.reported_by_other_cells(now),
                PeerLocation::OtherCell => 0,
            },
        };
        self.rollouts.values().map(make_record).collect()
    }

    /// Applies the records in a report. `max_request_duration` returns the longest time a request
    /// to a service may take.
    pub fn apply_records(
        &mut self,
        now: Instant,
        from: &InstanceId,
        location: PeerLocation,
        records: &[RolloutRecord],
        max_request_duration: impl Fn(&ServiceId) -> Duration,
    ) {
        for record in records {
            self.apply_record_from(
                now,
                from,
                location,
                record,
                max_request_duration(&record.service),
            );
        }
    }

    /// Applies a record that was stored before this instance started.
    pub fn restore(
        &mut self,
        now: Instant,
        record: &RolloutRecord,
        max_request_duration: Duration,
    ) {
        self.merge_record(now, record, max_request_duration);
    }

    fn apply_record_from(
        &mut self,
        now: Instant,
        from: &InstanceId,
        location: PeerLocation,
        record: &RolloutRecord,
        max_request_duration: Duration,
    ) {
        self.merge_record(now, record, max_request_duration);
        let is_same = |r: &&mut Rollout| r.spec.destination == record.destination;
        if let Some(rollout) = self.rollouts.get_mut(&record.service).filter(is_same) {
            let (baseline_in_flight, remote_in_flight) =
                (record.baseline_in_flight, record.remote_in_flight);
            let peer =
                PeerInFlight { received_at: now, location, baseline_in_flight, remote_in_flight };
            rollout.peers.insert(from.clone(), peer);
        }
    }

    /// Adopts an order that is unknown or newer than the known one. Of the same order, the later
    /// phase wins.
    fn merge_record(
        &mut self,
        now: Instant,
        record: &RolloutRecord,
        max_request_duration: Duration,
    ) {
        let age = Duration::from_millis(record.age_ms.into());
        let started_at = now.checked_sub(age).unwrap_or(now);
        let destination = record.destination.clone();
        let Some(known) = self.rollouts.get_mut(&record.service) else {
            return self.start_from_record(now, record, started_at, max_request_duration);
        };
        if known.spec.destination != destination {
            // Ages are imprecise by the time a report takes.
            if started_at > known.started_at + PEER_RECORD_TTL {
                self.start_from_record(now, record, started_at, max_request_duration);
            }
            return;
        }
        known.started_at = known.started_at.min(started_at);
        let duration = Duration::from_millis(record.duration_ms.into());
        known.deadline = known.deadline.min(started_at + duration);
        if record.phase > known.phase {
            self.changes.extend(known.enter_phase(now, record.phase, PhaseReason::Told));
        }
    }

    fn start_from_record(
        &mut self,
        now: Instant,
        record: &RolloutRecord,
        started_at: Instant,
        max_request_duration: Duration,
    ) {
        let duration = Duration::from_millis(record.duration_ms.into());
        let (service, destination) = (record.service.clone(), record.destination.clone());
        let spec = RolloutSpec { service, destination, duration };
        self.insert(
            now,
            spec,
            started_at + duration,
            max_request_duration,
            record.phase,
            PhaseReason::Told,
        );
        if let Some(rollout) = self.rollouts.get_mut(&record.service) {
            rollout.started_at = started_at;
        }
    }
}

impl Rollout {
    /// Returns the requests of this instance in flight on the baseline, plus one if it still sends
    /// some there.
    fn local_baseline_in_flight(&self) -> u32 {
        self.baseline_in_flight.saturating_add(u32::from(self.phase < Phase::Shift))
    }

    /// Returns the same for its cell, as far as reported.
    fn cell_baseline_in_flight(&self, now: Instant) -> u32 {
        let same_cell = self.live_peers(now).filter(|peer| peer.location == PeerLocation::SameCell);
        let same_cell = same_cell.map(|peer| peer.baseline_in_flight);
        saturating::sum(same_cell.chain([self.local_baseline_in_flight()]))
    }

    /// Returns the same for other cells, as reported by their representatives or relayed within the
    /// cell.
    fn remote_baseline_in_flight(&self, now: Instant) -> u32 {
        let relayed = self
            .live_peers(now)
            .filter(|peer| peer.location == PeerLocation::SameCell)
            .map(|peer| peer.remote_in_flight);
        self.reported_by_other_cells(now).max(relayed.max().unwrap_or(0))
    }

    /// Returns what other cells reported to this instance. Only this is relayed: two instances of a
    /// cell that relayed each other's counts would keep them alive forever.
    fn reported_by_other_cells(&self, now: Instant) -> u32 {
        let other = self.live_peers(now).filter(|peer| peer.location == PeerLocation::OtherCell);
        saturating::sum(other.map(|peer| peer.baseline_in_flight))
    }

    /// Returns the requests in flight on the baseline in the whole fleet.
    pub(super) fn fleet_baseline_in_flight(&self, now: Instant) -> u32 {
        self.cell_baseline_in_flight(now).saturating_add(self.remote_baseline_in_flight(now))
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &PeerInFlight> {
        let is_live = move |peer: &&PeerInFlight| {
            now.saturating_duration_since(peer.received_at) < PEER_RECORD_TTL
        };
        self.peers.values().filter(is_live)
    }
}

fn millis(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}
