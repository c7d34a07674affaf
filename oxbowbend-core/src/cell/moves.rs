//! Endpoints at which instances of other cells run requests: those that have moved here while they ran, and
//! those that all cells share.
//!
//! Whoever still runs requests at an endpoint of another cell reports them to the instances of that cell,
//! which count them like their own. What is not known by that, such as requests of a cell whose list of
//! instances differs, shows as a rejection for lack of room. It says nothing of the endpoint then.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::report::EndpointLoad;
use super::sharing::Scope;
use super::{Cell, EndpointState, Outcome};
use crate::ids::EndpointKey;

/// Time after which the new cell of an endpoint has heard what runs there: two heartbeats, and the
/// difference of the moments at which instances learn of a change.
const TAKEOVER_PERIOD: Duration = Duration::from_millis(300);
/// Time after a change of the layout in which others may still use endpoints of this cell: their lists of
/// instances differ for some tenths of a second, and what they sent takes seconds to end.
const UNSETTLED_PERIOD: Duration = Duration::from_secs(3);

impl Cell {
    /// Records that instances or endpoints have gone to other cells.
    pub fn record_layout_change(&mut self, now: Instant) {
        self.layout_changed_at = Some(now);
    }

    /// Whether instances or endpoints have gone to other cells within the last `time`.
    pub fn has_layout_changed_within(&self, now: Instant, time: Duration) -> bool {
        self.layout_changed_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Endpoints at which this instance runs requests.
    pub fn endpoints_in_use(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.endpoints.iter().filter(|(_, s)| s.running > 0).map(|(key, _)| *key)
    }

    /// Loads that other instances report: those of this cell, and those of other cells that still run
    /// requests at endpoints that have moved here.
    pub(super) fn reported_loads(&self, now: Instant) -> impl Iterator<Item = &EndpointLoad> {
        self.live_reports(now).chain(self.remote_reports(now)).flat_map(|r| &r.loads)
    }

    /// Leaves endpoints that have come from other cells alone until their instances can have reported what
    /// they run there, unless the service has no other endpoint here.
    pub fn record_taken_over(&mut self, now: Instant, endpoints: &HashSet<EndpointKey>) {
        let services: HashSet<_> = self
            .endpoints
            .iter()
            .filter(|(key, _)| !endpoints.contains(*key))
            .map(|(_, s)| s.endpoint.service.clone())
            .collect();
        for key in endpoints {
            let service = self.endpoints.get(key).map(|s| &s.endpoint.service);
            if service.is_some_and(|service| services.contains(service)) {
                self.backoffs.extend(now, *key, TAKEOVER_PERIOD);
            }
        }
    }

    /// Records that an endpoint rejected a request for lack of room, and returns what that says of it.
    /// `load` is the number of requests that this instance believed to be there, that one included. Where
    /// other instances run requests that it does not know, an endpoint may be full at any load: ejecting it
    /// would leave the others with its load, which they have no room for either. This instance backs off
    /// instead.
    pub fn record_full(&mut self, now: Instant, endpoint: EndpointKey, load: u32) -> Outcome {
        let Some(site) = self.endpoints.get(&endpoint) else { return Outcome::Neutral };
        if load > site.endpoint.slots {
            return Outcome::Neutral;
        }
        if self.knows_load(now, site) {
            return Outcome::Bad;
        }
        self.backoffs.record_full(now, endpoint);
        Outcome::Neutral
    }

    /// Whether all requests at an endpoint are known here: it belongs to this cell alone, whose instances
    /// are all heard, and did so some time ago.
    fn knows_load(&self, now: Instant, site: &EndpointState) -> bool {
        self.scope(site) == Scope::Cell
            && self.visible_share >= 1.0
            && !self.has_layout_changed_within(now, UNSETTLED_PERIOD)
    }
}
