//! Slots of services that all cells share, which their owners grant.

use std::time::Duration;

use oxbowbend_clock as clock;
use oxbowbend_core::cell::QueuedRequest;
use oxbowbend_core::ids::EndpointId;
use oxbowbend_core::slot_leases;

use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::{log_placed, Relay, Slot};
use crate::observe;
use crate::seam::Wire;
use crate::slot_leases::{NoGrant, SearchResult, Wanted};

/// Minimum delay of a refused request as a fraction of its objective, the same as that of requests
/// that the cell refuses.
const MIN_RETRY_DELAY_FRACTION: f64 = 0.15;

impl<W: Wire> Relay<W> {
    /// Waits for a slot that its owner grants. Returns `None` if the request is to be placed by what
    /// the cell knows: slots of its service are not leased, no owner answers, or this instance may
    /// send it to none of the endpoints now.
    pub(super) async fn get_leased_slot(
        &self,
        request: &AdmittedRequest,
        queued: &QueuedRequest,
        wait: Duration,
    ) -> Option<Result<Slot, Refusal>> {
        if !self.leases.covers(&queued.service) {
            return None;
        }
        let began_at = clock::now();
        let mut excluded = self.excluded_from_leases(queued);
        let mut not_accepting = 0;
        loop {
            let left = wait.saturating_sub(clock::since(began_at));
            let (service, rank) = (queued.service.clone(), queued.rank);
            let wanted = Wanted { service, rank, wait: left, excluded: excluded.clone() };
            let (lease, result) = self.leases.search(wanted).await?;
            match result {
                SearchResult::Granted(endpoint) => {
                    let now = clock::now();
                    let mut state = self.shared.lock();
                    let assignment = state.cell.assign_to(now, endpoint, queued);
                    let id = state.endpoint_id(endpoint);
                    drop(state);
                    if let Some(assignment) = assignment {
                        self.shared.tell_others();
                        log_placed(request, &assignment, clock::since(began_at));
                        return Some(Ok(Slot { assignment, lease: Some(lease) }));
                    }
                    // The endpoint is unknown here, or accepts nothing from this instance.
                    not_accepting += 1;
                    let Some(id) = id.filter(|id| !excluded.contains(id)) else {
                        log_unleased(request, "unknown_endpoint", not_accepting, "", left);
                        return None;
                    };
                    excluded.push(id);
                }
                SearchResult::Denied { .. } if not_accepting > 0 => {
                    log_unleased(request, "not_accepting", not_accepting, "", left);
                    return None;
                }
                SearchResult::Denied { available_in } => {
                    let on_arrival = clock::since(began_at) < slot_leases::REPLY_TIMEOUT;
                    return Some(Err(self.busy_until(request, available_in, on_arrival)));
                }
                SearchResult::Unleased(NoGrant { last_denial, owners }) => {
                    let reason = last_denial.unwrap_or("no_answer");
                    let left = wait.saturating_sub(clock::since(began_at));
                    log_unleased(request, reason, not_accepting, &owners, left);
                    return None;
                }
            }
        }
    }

    /// Endpoints that the request may not be sent to: those that it was already sent to, and those of
    /// other versions than its stream.
    fn excluded_from_leases(&self, queued: &QueuedRequest) -> Vec<EndpointId> {
        let mut excluded = queued.excluded_endpoints.clone();
        if let Some(version) = &queued.version {
            let state = self.shared.lock();
            let endpoints = state.listed_endpoints().iter();
            let others = endpoints.filter(|e| e.service == queued.service && e.version != *version);
            excluded.extend(others.map(|e| e.id.clone()));
        }
        excluded
    }

    /// The refusal of a request that could get a slot after that time.
    fn busy_until(
        &self,
        request: &AdmittedRequest,
        available_in: Duration,
        on_arrival: bool,
    ) -> Refusal {
        let min_delay = request.route.objective.mul_f64(MIN_RETRY_DELAY_FRACTION);
        let max_delay = self.max_retry_delay(request);
        match self.busy_refusal(request, on_arrival) {
            Refusal::Busy { retry_after, on_arrival } if !retry_after.is_throttled => {
                let mut retry_after = retry_after;
                retry_after.delay = available_in.max(min_delay).min(max_delay);
                Refusal::Busy { retry_after, on_arrival }
            }
            refusal => refusal,
        }
    }
}

fn log_unleased(
    request: &AdmittedRequest,
    reason: &'static str,
    not_accepting: u32,
    owners: &str,
    left: Duration,
) {
    observe::slot_unleased(reason);
    log::info!(
        "event=slot_unleased id={} service={} reason={reason} not_accepting={not_accepting} \
         owners={owners} wait_left_ms={}",
        request.metadata.id,
        request.service,
        left.as_millis()
    );
}
