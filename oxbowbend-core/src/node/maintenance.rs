//! Periodic work, endpoints that are leaving, and shutdown.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Action, Node, LEAVING_TTL};
use crate::ids;
use crate::message;

/// Time between checks of permits in doubt. At 250 ms, an account can exceed its limit after a
/// pause of 2 s.
const IN_DOUBT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn tick(&mut self, now: Instant) {
        self.ingress.tick(now, &mut self.actions);
        self.update_preexisting(now);
        self.send_heartbeats(now);
        self.suspect_unresponsive(now);
        for (owner, uses) in self.permits.due_usage_queries(now) {
            self.actions.push(Action::send(&owner, message::Message::QueryUsage { uses }));
        }
        if self.next_claim.is_some_and(|at| at <= now) {
            self.start_claim(now);
        }
        if self.next_in_doubt_check.is_none_or(|at| at <= now) {
            self.next_in_doubt_check = Some(now + IN_DOUBT_CHECK_INTERVAL);
            self.resolve_in_doubt(now);
        }
        self.dirty_pools.extend(self.schedulers.keys().cloned());
    }

    /// Queries endpoints about runs and permits in doubt, and repeats messages that may be lost.
    pub(super) fn resolve_in_doubt(&mut self, now: Instant) {
        let topology = self.view.topology.clone();
        self.permits.expire(now, |key| topology.max_run_of(key));
        for (endpoint, grant) in self.permits.orphaned_runs() {
            self.actions.push(Action::QueryRun { endpoint, grant });
        }
        let mut endpoints = self.permits.endpoints_in_doubt();
        if self.permits.has_accounts_in_doubt() {
            let pools = self.view.topology.pools.values();
            endpoints.extend(pools.flat_map(|p| p.endpoints.keys().cloned()));
        }
        self.actions.extend(endpoints.into_iter().map(Action::QueryLoad));
        if self.draining {
            self.broadcast_leaving();
        }
        let expired = |since: &Instant| now.duration_since(*since) >= LEAVING_TTL;
        if self.leaving_endpoints.values().any(expired) {
            self.configure_schedulers(now);
        }
    }

    pub(super) fn handle_endpoint_leaving(
        &mut self,
        now: Instant,
        endpoint: ids::EndpointId,
        broadcast: bool,
    ) {
        if self.leaving_endpoints.insert(endpoint.clone(), now).is_none() {
            self.configure_schedulers(now);
        }
        if broadcast {
            for to in self.view.members.others() {
                let message = message::Message::EndpointLeaving(endpoint.clone());
                self.actions.push(Action::send(to, message));
            }
        }
    }

    pub(super) fn handle_load(
        &mut self,
        endpoint: &ids::EndpointId,
        running: u32,
        requested_at: Instant,
    ) {
        let Some(lag) = self.view.topology.report_lag_of(endpoint) else { return };
        let Some(observed_at) = requested_at.checked_sub(lag) else { return };
        self.permits.resolve_endpoint(endpoint, running, observed_at);
        if running == 0 {
            self.idle_since.insert(endpoint.clone(), observed_at);
        }
        let pools = self.view.topology.pools.values();
        let mut endpoints = pools.flat_map(|p| p.endpoints.keys()).peekable();
        if endpoints.peek().is_some() {
            let idle = endpoints.map(|e| self.idle_since.get(e).copied());
            if let Some(earliest) =
                idle.collect::<Option<Vec<_>>>().and_then(|v| v.into_iter().min())
            {
                self.permits.resolve_accounts(earliest);
            }
        }
        if let Some(pool) = self.view.topology.pool_of(endpoint) {
            if let Some(scheduler) = self.schedulers.get_mut(pool) {
                scheduler.handle_load(endpoint, running);
            }
        }
    }

    pub(super) fn drain(&mut self, now: Instant) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.broadcast_leaving();
        self.handle_member_change(now);
    }

    pub(super) fn broadcast_leaving(&mut self) {
        for to in self.view.members.others() {
            self.actions.push(Action::send(to, message::Message::Leaving));
        }
    }

    /// Whether this instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether this instance is shutting down and holds no more requests.
    pub fn is_drained(&self) -> bool {
        self.draining && self.ingress.is_empty()
    }

    /// Whether no permits are owned here, or no other instance can own them.
    pub fn has_ceded_permits(&self) -> bool {
        let everywhere = BTreeSet::new();
        let has_successor = self.view.members.owners(&everywhere).any(|id| *id != self.me);
        self.permits.keys().next().is_none() || !has_successor
    }
}
