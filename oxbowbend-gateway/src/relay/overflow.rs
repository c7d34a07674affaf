//! Requests that find no free slot in this cell, offered to instances of cells that have some.
//!
//! A request is offered before it is counted and before it waits here, so that a quota counts it once
//! at any time: at the instance that accepts it, or here if nobody does. It keeps its time of arrival
//! and with it its place in the queue. Decisions are in [`oxbowbend_core::overflow`].

use std::net::SocketAddr;
use std::time::Instant;

use async_std::future;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::queue_objective;
use oxbowbend_core::handover::ChosenPeer;
use oxbowbend_core::ids::InstanceId;
use oxbowbend_core::overflow::{
    response_timeout, should_offer, ChosenInstance, Criteria, MAX_OFFERS,
};

use super::handover::{NotAccepted, Offer, Purpose};
use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::run::AttemptResponse;
use super::{time_until, AttemptHistory, Origin, Relay};
use crate::observe;
use crate::seam::Wire;
use crate::shared::State;

impl<W: Wire> Relay<W> {
    /// Offers a client's request to another cell if this one has no slot for it, and rejects one that
    /// another cell offers if there is no slot for it here. Returns `None` if the request is to be
    /// served here.
    pub(super) async fn overflow(
        &self,
        request: &AdmittedRequest,
        history: &mut AttemptHistory,
    ) -> Option<Result<AttemptResponse, Refusal>> {
        if !history.is_empty() {
            return None;
        }
        match request.origin {
            Origin::Client => self.offer_to_other_cells(request, history).await,
            Origin::Peer => None,
            Origin::FullCell => self.check_free_slot(request).err().map(Err),
        }
    }

    async fn offer_to_other_cells(
        &self,
        request: &AdmittedRequest,
        history: &mut AttemptHistory,
    ) -> Option<Result<AttemptResponse, Refusal>> {
        let mut excluded = Vec::new();
        while excluded.len() < MAX_OFFERS {
            // A request without time for this may still get a slot here.
            self.check_time_for_peer(request).ok()?;
            let (chosen, address) = self.choose_other_cell(request, history, &excluded)?;
            let peer = ChosenPeer {
                instance: chosen.instance.clone(),
                address,
                report_age: chosen.report_age,
            };
            let offer = self.offer_watched(request, history, &peer).await;
            self.log_offer(request, &chosen, &offer);
            match offer {
                Offer::Response(response) => return Some(self.accept(request, history, response)),
                Offer::NotAccepted(reason) => {
                    history.note_unexecuted(request);
                    self.record_not_accepted(request, &chosen, address, reason);
                    excluded.push(chosen.instance);
                }
                Offer::Unknown(refusal) => {
                    self.leave_out(address, &chosen.instance);
                    let can_retry = self.can_retry_unknown(request, history, &refusal);
                    return (!can_retry).then(|| history.final_result(refusal));
                }
            }
        }
        None
    }

    /// Offers a request. While a response is overdue, the instance is left out of other choices: one
    /// that is stopped or cut off still has connections, on which requests are lost.
    async fn offer_watched(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
        peer: &ChosenPeer,
    ) -> Offer {
        let mut offer = Box::pin(self.offer(request, history, peer, Purpose::Overflow));
        let (service, tokens) = (&request.service, request.metadata.prompt);
        let expectation =
            self.shared.lock().cell.service_expectation(clock::now(), service, tokens);
        let (objective, left) = (request.route.objective, time_until(request.deadline));
        let limit = response_timeout(expectation.first_event, objective, left);
        if let Ok(offer) = future::timeout(limit, &mut offer).await {
            return offer;
        }
        self.leave_out(peer.address, &peer.instance);
        offer.await
    }

    /// Leaves an instance out, and drops its idle connections, which may be lost with it. While this
    /// instance is at its own limit, its silence says nothing.
    fn leave_out(&self, address: SocketAddr, instance: &InstanceId) {
        let mut state = self.shared.lock();
        if state.is_at_limit {
            return;
        }
        state.overflow.record_silent(clock::now(), instance);
        drop(state);
        self.pool.forget(address);
    }

    /// Chooses an instance of another cell for a request that would wait long in this one.
    fn choose_other_cell(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
        excluded: &[InstanceId],
    ) -> Option<(ChosenInstance, SocketAddr)> {
        if time_until(request.deadline).is_zero() {
            return None;
        }
        let (now, mut state) = (clock::now(), self.shared.lock());
        if !state.should_offer(now, request, history) {
            return None;
        }
        let State { overflow, group, zone, .. } = &mut *state;
        let (service, cells) = (&request.service, &group.other_cells);
        let criteria = Criteria { service, zone, cells, excluded };
        let chosen = overflow.choose(now, criteria, &mut rand::rng())?;
        let address = state.address_of(now, &chosen.instance);
        if address.is_none() {
            state.overflow.record_silent(now, &chosen.instance);
        }
        Some((chosen, SocketAddr::new(address?.ip(), self.handover_port)))
    }

    fn log_offer(&self, request: &AdmittedRequest, chosen: &ChosenInstance, offer: &Offer) {
        let result = match offer {
            Offer::Response(_) => "accepted",
            Offer::NotAccepted(reason) => reason.name(),
            Offer::Unknown(_) => "unknown",
        };
        observe::overflow_offered(result);
        log::info!(
            "event=overflow id={} cell={} peer={} free={} report_age_ms={} result={result}",
            request.metadata.id,
            chosen.cell,
            chosen.instance,
            chosen.free,
            chosen.report_age.as_millis()
        );
    }

    fn record_not_accepted(
        &self,
        request: &AdmittedRequest,
        chosen: &ChosenInstance,
        address: SocketAddr,
        reason: NotAccepted,
    ) {
        match reason {
            NotAccepted::Full => {
                let overflow = &mut self.shared.lock().overflow;
                overflow.record_rejected(chosen.cell, &request.service);
            }
            // Another instance of the cell may accept requests.
            NotAccepted::Unreachable | NotAccepted::Rejected => {
                self.leave_out(address, &chosen.instance);
            }
        }
    }

    /// Checks that there is a free slot for a request of another cell.
    fn check_free_slot(&self, request: &AdmittedRequest) -> Result<(), Refusal> {
        let mut state = self.shared.lock();
        let is_admitted =
            !state.is_at_limit && state.cell.admits_overflow(clock::now(), &request.service);
        drop(state);
        observe::overflow_received(if is_admitted { "accepted" } else { "full" });
        if is_admitted {
            Ok(())
        } else {
            Err(Refusal::NoFreeSlot)
        }
    }
}

impl State {
    /// Whether a request should be offered to other cells.
    fn should_offer(
        &mut self,
        now: Instant,
        request: &AdmittedRequest,
        history: &AttemptHistory,
    ) -> bool {
        let service = &request.service;
        if !self.features().overflow
            || history.bound_to.is_some()
            || self.group.shared_services.contains(service)
            || !self.overflow.has_free_slots(now, service)
        {
            return false;
        }
        let objective = queue_objective(request.route.objective, request.age);
        let queued = request.queued(service.clone(), objective, history);
        let outlook = self.cell.queue_outlook(now, &queued);
        should_offer(outlook, queued.objective) && self.is_within_quota(now, request)
    }

    /// Whether the quota of the account admits a request. Nothing is counted: it would be refused
    /// wherever it is offered, and its body sent in vain.
    fn is_within_quota(&mut self, now: Instant, request: &AdmittedRequest) -> bool {
        let Some(account) = &request.account else { return true };
        let (units, tier) = (request.quota_units, request.route.tier);
        let is_admitted = self.admission.admit(now, account, units, tier).is_ok();
        if is_admitted {
            self.admission.refund(account, units);
        }
        is_admitted
    }

    /// Where another instance is reached, by its entry or its reports.
    pub(crate) fn address_of(&self, now: Instant, instance: &InstanceId) -> Option<SocketAddr> {
        let entered = self.world.instances().get(instance).map(|entry| entry.address);
        let mut reports = self.cell.remote_reports(now);
        entered.or_else(|| reports.find(|r| r.instance == *instance)?.address)
    }
}
