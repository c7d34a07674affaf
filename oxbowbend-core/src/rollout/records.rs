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
    pub fn make_records(&self, now: Instant, to: PeerLocation) -> Vec<RolloutRecord> {
        let tell = |rollout: &Rollout| RolloutRecord {
            service: rollout.spec.service.clone(),
            destination: rollout.spec.destination.clone(),
            age_ms: millis(now.saturating_duration_since(rollout.started_at)),
            duration_ms: millis(rollout.deadline.saturating_duration_since(rollout.started_at)),
            phase: rollout.phase,
            baseline_in_flight: match to {
                PeerLocation::SameCell => rollout.local_baseline_in_flight(),
                PeerLocation::OtherCell => rollout.cell_baseline_in_flight(now),
            },
            remote_in_flight: match to {
                PeerLocation::SameCell => rollout.reported_by_other_cells(now),
                PeerLocation::OtherCell => 0,
            },
        };
        self.rollouts.values().map(tell).collect()
    }

    /// Takes in what another instance tells. `longest` is the longest time that a request to a service may take.
    pub fn apply_records(
        &mut self,
        now: Instant,
        from: &InstanceId,
        teller: PeerLocation,
        told: &[RolloutRecord],
        longest: impl Fn(&ServiceId) -> Duration,
    ) {
        for told in told {
            self.apply_record_from(now, from, teller, told, longest(&told.service));
        }
    }

    /// Takes in what an instance noted in the store before this one's start.
    pub fn restore(&mut self, now: Instant, told: &RolloutRecord, longest: Duration) {
        self.merge_record(now, told, longest);
    }

    fn apply_record_from(
        &mut self,
        now: Instant,
        from: &InstanceId,
        teller: PeerLocation,
        told: &RolloutRecord,
        longest: Duration,
    ) {
        self.merge_record(now, told, longest);
        let is_same = |r: &&mut Rollout| r.spec.destination == told.destination;
        if let Some(rollout) = self.rollouts.get_mut(&told.service).filter(is_same) {
            let (running, beyond) = (told.baseline_in_flight, told.remote_in_flight);
            let others = PeerInFlight {
                received_at: now,
                location: teller,
                baseline_in_flight: running,
                remote_in_flight: beyond,
            };
            rollout.peers.insert(from.clone(), others);
        }
    }

    /// An order that is not known, or that is younger than the one that is, takes its place; of the same one the
    /// later phase holds.
    fn merge_record(&mut self, now: Instant, told: &RolloutRecord, longest: Duration) {
        let age = Duration::from_millis(told.age_ms.into());
        let ordered = now.checked_sub(age).unwrap_or(now);
        let destination = told.destination.clone();
        let Some(known) = self.rollouts.get_mut(&told.service) else {
            return self.start_from_record(now, told, ordered, longest);
        };
        if known.spec.destination != destination {
            // Ages differ by what a report takes.
            if ordered > known.started_at + PEER_RECORD_TTL {
                self.start_from_record(now, told, ordered, longest);
            }
            return;
        }
        known.started_at = known.started_at.min(ordered);
        let duration = Duration::from_millis(told.duration_ms.into());
        known.deadline = known.deadline.min(ordered + duration);
        if told.phase > known.phase {
            self.changes.extend(known.enter_phase(now, told.phase, PhaseReason::Told));
        }
    }

    fn start_from_record(
        &mut self,
        now: Instant,
        told: &RolloutRecord,
        ordered: Instant,
        longest: Duration,
    ) {
        let duration = Duration::from_millis(told.duration_ms.into());
        let (service, destination) = (told.service.clone(), told.destination.clone());
        let order = RolloutSpec { service, destination, duration };
        self.insert(now, order, ordered + duration, longest, told.phase, PhaseReason::Told);
        if let Some(rollout) = self.rollouts.get_mut(&told.service) {
            rollout.started_at = ordered;
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
        let near = self.live_peers(now).filter(|o| o.location == PeerLocation::SameCell);
        self.local_baseline_in_flight() + near.map(|o| o.baseline_in_flight).sum::<u32>()
    }

    /// Those of other cells: as their representatives told, or one of this cell did.
    fn remote_baseline_in_flight(&self, now: Instant) -> u32 {
        let beyond = self
            .live_peers(now)
            .filter(|o| o.location == PeerLocation::SameCell)
            .map(|o| o.remote_in_flight);
        self.reported_by_other_cells(now).max(beyond.max().unwrap_or(0))
    }

    /// Those that other cells told this instance of. Only these are told on: what two instances of a cell told each
    /// other on would stay for ever.
    fn reported_by_other_cells(&self, now: Instant) -> u32 {
        self.live_peers(now)
            .filter(|o| o.location == PeerLocation::OtherCell)
            .map(|o| o.baseline_in_flight)
            .sum()
    }

    /// Those of the fleet.
    pub(super) fn fleet_baseline_in_flight(&self, now: Instant) -> u32 {
        self.cell_baseline_in_flight(now) + self.remote_baseline_in_flight(now)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &PeerInFlight> {
        let is_live =
            move |o: &&PeerInFlight| now.saturating_duration_since(o.received_at) < PEER_RECORD_TTL;
        self.peers.values().filter(is_live)
    }
}

fn millis(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}
