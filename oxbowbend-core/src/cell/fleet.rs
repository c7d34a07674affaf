//! The fleet beyond an instance's own cell, as representatives tell it.
//!
//! Each cell is represented by the first of its instances by name that is heard. Representatives tell each other
//! sums of their cells, and each tells its cell the sums of all others. So an instance hears from its cell and from
//! nobody else, whatever the size of the fleet, and a representative from one more for each cell. Telling
//! everybody everything once a second cost an instance of a fleet of 295 a datagram each 3.5 ms, most of its
//! processor time and of the bytes between zones.
//!
//! There is no election: who hears nobody before itself by name represents its cell. While two do, both are
//! listened to, and what both tell of other cells is counted once. When one falls silent, the next one takes over as
//! soon as it takes the silence for its end, and knows from it where the other representatives are.
//!
//! What was traded: what accounts use is known in other cells after two hops more, 0.2 to 0.4 s, and an instance
//! that nobody of its cell hears does not count as heard elsewhere.

use std::net::SocketAddr;
use std::time::Instant;

use super::report::Report;
use super::{Cell, LOAD_TTL};
use crate::ids::AccountId;
use crate::quota::Lately;
use crate::rollout::responses::ResponseCounterKey;

/// What a representative tells its cell of the other cells.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct FleetView {
    /// Their instances.
    #[serde(rename = "b")]
    pub beyond: Beyond,
    /// Units that they have admitted, as far as the representative has heard in its life, by client account.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub spent: Vec<(AccountId, u64)>,
    /// What of these units was admitted lately. Told by one that has begun to represent its cell.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lately: Vec<(AccountId, Lately)>,
    /// Answers of versions that are rolled out, likewise.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<(ResponseCounterKey, u64)>,
    /// Whether all counters of which there are any are among these.
    #[serde(rename = "f", default)]
    pub is_full: bool,
}

/// Instances of other cells.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Beyond {
    /// Those that their representatives hear, these included.
    #[serde(rename = "h")]
    pub heard: u32,
    /// Those of them that take on requests.
    #[serde(rename = "y")]
    pub ready: u32,
}

impl Cell {
    /// Last report of the instance that represents this cell, if that is another one.
    pub fn representative(&self, now: Instant) -> Option<&Report> {
        let all = self.live_reports(now).filter(|r| r.is_representative);
        all.min_by(|a, b| a.instance.cmp(&b.instance))
    }

    /// What this instance hears of other cells as its cell's representative.
    pub fn beyond(&self, now: Instant) -> Beyond {
        let mut beyond = Beyond::default();
        for report in self.other_reports(now).filter(|r| r.is_representative) {
            beyond.heard += report.reach.unwrap_or(1);
            beyond.ready += report.cell_ready;
        }
        beyond
    }

    /// What this instance knows of other cells from its representatives, the last one included: one that has just
    /// started or stepped in hears of the others 0.3 s later, and until then says that there are none.
    pub fn told_beyond(&self, now: Instant) -> Beyond {
        let told = self.peers.values().filter_map(|p| p.live_view(now, LOAD_TTL));
        told.max_by_key(|beyond| beyond.heard).unwrap_or_default()
    }

    /// Where representatives of other cells are, as instances of this cell and of others have told.
    pub fn told_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let all = self.peers.values().chain(self.others.values());
        all.flat_map(|p| p.report.peers.iter().copied())
    }
}
