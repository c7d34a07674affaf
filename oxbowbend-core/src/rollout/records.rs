//! What instances tell each other of roll-outs, and note in the store.

use std::time::{Duration, Instant};

use super::state::{PeerInFlight, Rollout};
use super::{PhaseReason, RolloutSpec, Rollouts, PEER_RECORD_TTL};
use crate::ids::{InstanceId, ServiceId, VersionId};

/// Phase of a roll-out. Later ones take the place of earlier ones.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Phase {
    /// A small part of the requests goes to the new version.
    Canary,
    /// All new requests go there.
    Shift,
    /// None do: the version is bad.
    RolledBack,
    /// All do, and the other versions are stopped.
    Complete,
    /// As if there had been no order: versions are alike again.
    Retired,
}

/// What one report tells of a roll-out. Times left are sent instead of times, since no two clocks agree.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RolloutRecord {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// The version.
    #[serde(rename = "d")]
    pub destination: VersionId,
    /// Milliseconds since the order.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Milliseconds from the order to the deadline.
    #[serde(rename = "t")]
    pub duration_ms: u32,
    /// The phase.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Requests at other versions, of the sender or, told to other cells, of its cell; one more for each instance that
    /// still sends some there.
    #[serde(rename = "r", default)]
    pub baseline_in_flight: u32,
    /// Those of other cells, from a representative to its cell.
    #[serde(rename = "b", default)]
    pub remote_in_flight: u32,
}

/// Who tells of a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerLocation {
    /// An instance of this cell.
    SameCell,
    /// A representative of another cell.
    OtherCell,
}

impl Rollouts {
    /// What to tell an instance of this cell, or those of others.
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

    /// Takes in what another instance tells. `longest` is the longest time that a request to a service may take.
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

    /// Takes in what an instance noted in the store before this one's start.
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

    /// An order that is not known, or that is younger than the one that is, takes its place; of the same one the
    /// later phase holds.
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
            // Ages differ by what a report takes.
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
    /// Requests of this instance at other versions; one more if it still sends some there.
    fn local_baseline_in_flight(&self) -> u32 {
        self.baseline_in_flight + u32::from(self.phase < Phase::Shift)
    }

    /// Those of its cell, as far as is heard.
    fn cell_baseline_in_flight(&self, now: Instant) -> u32 {
        let same_cell = self.live_peers(now).filter(|peer| peer.location == PeerLocation::SameCell);
        self.local_baseline_in_flight() + same_cell.map(|peer| peer.baseline_in_flight).sum::<u32>()
    }

    /// Those of other cells: as their representatives told, or one of this cell did.
    fn remote_baseline_in_flight(&self, now: Instant) -> u32 {
        let relayed = self
            .live_peers(now)
            .filter(|peer| peer.location == PeerLocation::SameCell)
            .map(|peer| peer.remote_in_flight);
        self.reported_by_other_cells(now).max(relayed.max().unwrap_or(0))
    }

    /// Those that other cells told this instance of. Only these are told on: what two instances of a cell told each
    /// other on would stay for ever.
    fn reported_by_other_cells(&self, now: Instant) -> u32 {
        self.live_peers(now)
            .filter(|peer| peer.location == PeerLocation::OtherCell)
            .map(|peer| peer.baseline_in_flight)
            .sum()
    }

    /// Those of the fleet.
    pub(super) fn fleet_baseline_in_flight(&self, now: Instant) -> u32 {
        self.cell_baseline_in_flight(now) + self.remote_baseline_in_flight(now)
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
