//! Whom this instance tells of its requests at endpoints of other cells: instances or endpoints have moved while they
//! ran, and the endpoint's cell would use its slots a second time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oxbowbend_core::cell::EndpointLoad;

use crate::audience::Reach;
use crate::shared::State;

/// Time after a change of the layout in which every heartbeat tells, since the new cells know nothing yet.
const NEWS_PERIOD: Duration = Duration::from_secs(1);
/// Heartbeats of which one tells after that. Three of them fit into the time for which a report counts.
const PACE: u64 = 4;

/// What was told of requests at endpoints of other cells.
#[derive(Debug, Default)]
pub(crate) struct ToldMoved {
    /// Who was told last. They are told once more when there are none left.
    addresses: BTreeSet<SocketAddr>,
}

impl ToldMoved {
    /// The addresses to tell at a heartbeat. A representative tells them only together with other cells:
    /// the sums in a report that goes out count as told to all of these.
    pub(crate) fn due(
        &mut self,
        state: &State,
        now: Instant,
        reach: Reach,
        beat: u64,
    ) -> BTreeSet<SocketAddr> {
        let is_news = state.cell.has_layout_changed_within(now, NEWS_PERIOD);
        let is_held_back = !reach.is_far() && state.is_representative(now);
        if is_held_back || !is_news && !beat.is_multiple_of(PACE) {
            return BTreeSet::new();
        }
        let owners = state.group.owners(state.cell.endpoints_in_use());
        let current: BTreeSet<_> =
            owners.filter_map(|instance| state.address_of(now, instance)).collect();
        let last = std::mem::replace(&mut self.addresses, current);
        last.union(&self.addresses).copied().collect()
    }
}

impl State {
    /// What this instance runs at endpoints of other cells, of all that it runs.
    pub(crate) fn moved_loads(&self, loads: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let is_moved =
            |load: &&EndpointLoad| self.group.other_endpoints.contains_key(&load.endpoint);
        loads.iter().filter(is_moved).copied().collect()
    }
}
