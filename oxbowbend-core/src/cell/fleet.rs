//! Aggregated state of other cells, exchanged by representatives.
//!
//! The representative of a cell is its first reachable instance by name. Representatives exchange
//! the totals of their cells, and each forwards the totals of all other cells to its own. An
//! instance therefore receives reports from its cell only, and a representative one more for each
//! other cell; all-to-all reports would grow with the size of the fleet.
//!
//! There is no election. While two instances consider themselves representatives, both are
//! accepted, and totals that both report are counted once. When a representative fails, the next
//! one takes over after [`PEER_TTL`] and learns the addresses of the other representatives from the
//! reports of the failed one.
//!
//! Account usage reaches other cells after two additional hops (0.2 to 0.4 s). An instance that no
//! other instance of its cell can reach does not count as reachable in other cells.

use std::net::SocketAddr;
use std::time::Instant;

use super::report::Report;
use super::{Cell, PEER_TTL};
use crate::ids::{AccountId, ServiceId};
use crate::quota::RecentUsage;
use crate::rollout::responses::ResponseCounterKey;
use crate::saturating;

/// What a representative reports to its own cell about the other cells.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FleetSummary {
    /// Number of their instances.
    #[serde(rename = "b")]
    pub remote_instances: RemoteInstances,
    /// Units that they have admitted, by client account, as received by the representative in its
    /// incarnation.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub admitted_units: Vec<(AccountId, u64)>,
    /// The part of these units admitted recently. Only sent by a new representative.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub recent_units: Vec<(AccountId, RecentUsage)>,
    /// Answer counters of versions being rolled out, counted like `admitted_units`.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<(ResponseCounterKey, u64)>,
    /// Their free slots. Complete in heartbeats, left out in other reports.
    #[serde(rename = "F", default, skip_serializing_if = "Vec::is_empty")]
    pub free_slots: Vec<CellFreeSlots>,
    /// Whether all non-zero counters are included.
    #[serde(rename = "f", default)]
    pub is_complete: bool,
}

/// Free slots of another cell at endpoints of one service. Serialized as a tuple of its fields in
/// this order.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(u32, ServiceId, u32)", into = "(u32, ServiceId, u32)")]
pub struct CellFreeSlots {
    /// Index of the cell.
    pub cell: u32,
    /// The service.
    pub service: ServiceId,
    /// Number of free slots.
    pub free: u32,
}

impl From<(u32, ServiceId, u32)> for CellFreeSlots {
    fn from((cell, service, free): (u32, ServiceId, u32)) -> CellFreeSlots {
        CellFreeSlots { cell, service, free }
    }
}

impl From<CellFreeSlots> for (u32, ServiceId, u32) {
    fn from(slots: CellFreeSlots) -> (u32, ServiceId, u32) {
        (slots.cell, slots.service, slots.free)
    }
}

/// Number of instances in other cells.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RemoteInstances {
    /// Instances reachable by their representatives, including the representatives.
    #[serde(rename = "h")]
    pub reachable: u32,
    /// Reachable instances that accept requests.
    #[serde(rename = "y")]
    pub ready: u32,
}

impl Cell {
    /// Last report of this cell's representative, if it is another instance.
    pub fn representative(&self, now: Instant) -> Option<&Report> {
        let all = self.live_reports(now).filter(|r| r.is_representative);
        all.min_by(|a, b| a.instance.cmp(&b.instance))
    }

    /// Instances of other cells, as reported by their representatives to this instance.
    pub fn remote_instances(&self, now: Instant) -> RemoteInstances {
        let mut total = RemoteInstances::default();
        for report in self.remote_reports(now).filter(|r| r.is_representative) {
            saturating::add(&mut total.reachable, report.reachable_count.unwrap_or(1));
            saturating::add(&mut total.ready, report.cell_ready);
        }
        total
    }

    /// Instances of other cells, as reported by this cell's representatives, including the previous
    /// one: a new representative reports none until it has heard from the others, about 0.3 s
    /// later.
    pub fn reported_remote_instances(&self, now: Instant) -> RemoteInstances {
        let summaries = self.peers.values().filter_map(|p| p.live_remote_instances(now, PEER_TTL));
        summaries.max_by_key(|instances| instances.reachable).unwrap_or_default()
    }

    /// Addresses of representatives of other cells, as reported by all known instances.
    pub fn representative_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let all = self.peers.values().chain(self.remote_peers.values());
        all.flat_map(|p| p.report.representative_addresses.iter().copied())
    }
}
