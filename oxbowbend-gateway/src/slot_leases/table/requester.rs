//! The searches of waiting requests, and the leases that this instance holds.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use oxbowbend_core::ids::{EndpointKey, InstanceId, ServiceId};
use oxbowbend_core::slot_leases::{
    self, DenialReason, HeldLease, Requester, RequesterAction, SlotGroup, SlotMessage, SlotRequest,
};

use super::owner::reason_name;
use super::{NoGrant, Search, SearchResult, Table, Wanted};
use crate::observe;

impl Table {
    /// Starts the search for a slot; `None` if the slots of the service are not leased.
    pub(in crate::slot_leases) fn start_search(
        &mut self,
        now: Instant,
        wanted: Wanted,
    ) -> Option<(u64, oneshot::Receiver<SearchResult>)> {
        let Wanted { service, rank, wait, excluded } = wanted;
        let groups = self.endpoints.keys().filter(|group| group.service == service).cloned();
        self.last_request += 1;
        let request = self.last_request;
        let groups = slot_leases::group_order(&self.zone, request, groups);
        if groups.is_empty() {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let wanted = SlotRequest { request, rank, wait, excluded };
        let (requester, actions) = Requester::start(now, wanted, groups, &self.ownerships);
        let search =
            Search { requester, service, began_at: now, last_denial: None, result: Some(tx) };
        self.searches.insert(request, search);
        self.carry_out(now, request, actions);
        Some((request, rx))
    }

    /// Ends the search or the lease of a request.
    pub(in crate::slot_leases) fn end(&mut self, now: Instant, request: u64) {
        if let Some(mut search) = self.searches.remove(&request) {
            let actions = search.requester.withdraw();
            self.carry_out(now, request, actions);
        }
        if let Some(HeldLease { group, owner, .. }) = self.held.remove(request) {
            self.queue.push_back((owner, group, SlotMessage::Release { requests: vec![request] }));
        }
    }

    pub(super) fn handle_grant(
        &mut self,
        now: Instant,
        owner: InstanceId,
        group: SlotGroup,
        request: u64,
        endpoint: EndpointKey,
    ) {
        let Some(search) = self.searches.get_mut(&request) else {
            // The request has ended.
            let release = SlotMessage::Release { requests: vec![request] };
            return self.queue.push_back((owner, group, release));
        };
        let actions = search.requester.granted(now, &owner, &group, endpoint);
        self.carry_out(now, request, actions);
    }

    pub(super) fn handle_denial(
        &mut self,
        now: Instant,
        owner: &InstanceId,
        group: &SlotGroup,
        request: u64,
        (reason, available_in): (DenialReason, Duration),
    ) {
        if reason == DenialReason::NotOwner {
            self.held.not_owner(now, request, owner, &self.ownerships);
        }
        let Some(search) = self.searches.get_mut(&request) else { return };
        search.last_denial = Some(reason);
        let actions =
            search.requester.denied(now, (owner, group), reason, available_in, &self.ownerships);
        self.carry_out(now, request, actions);
    }

    pub(super) fn carry_out(&mut self, now: Instant, request: u64, actions: Vec<RequesterAction>) {
        for action in actions {
            match action {
                RequesterAction::Ask { owner, group, request } => {
                    let SlotRequest { request, rank, wait, excluded } = request;
                    let wait_ms = wait.as_millis() as u32;
                    let ask = SlotMessage::Request { request, rank, wait_ms, excluded };
                    self.queue.push_back((owner, group, ask));
                }
                RequesterAction::Release { owner, group, request } => {
                    let release = SlotMessage::Release { requests: vec![request] };
                    self.queue.push_back((owner, group, release));
                }
                RequesterAction::Place { owner, group, endpoint } => {
                    self.held.insert(now, HeldLease { request, group, owner, endpoint });
                    self.finish_search(now, request, SearchResult::Granted(endpoint));
                }
                RequesterAction::GiveUp { available_in } => {
                    self.finish_search(now, request, SearchResult::Denied { available_in });
                }
                RequesterAction::PlaceUnleased => {
                    let Some(search) = self.searches.get(&request) else { continue };
                    let last_denial = search.last_denial.map(reason_name);
                    let owners = self.shown_owners(now, &search.service);
                    let result = SearchResult::Unleased(NoGrant { last_denial, owners });
                    self.finish_search(now, request, result);
                }
            }
        }
    }

    pub(super) fn finish_search(&mut self, now: Instant, request: u64, result: SearchResult) {
        let Some(search) = self.searches.get_mut(&request) else { return };
        if let SearchResult::Granted(_) = result {
            observe::slot_obtained(&search.service, now.duration_since(search.began_at));
        }
        if let Some(tx) = search.result.take() {
            // A receiver that is gone has a guard that returns the lease.
            let _ = tx.send(result);
        }
    }

    /// The believed owner of each zone's slots of a service, for the log.
    pub(super) fn shown_owners(&self, now: Instant, service: &ServiceId) -> String {
        let groups = self.ownerships.iter().filter(|(group, _)| group.service == *service);
        let shown = groups.map(|(group, ownership)| {
            let owner = ownership.first_live(now).map_or("-", |name| name);
            format!("{}:{owner}", group.zone)
        });
        shown.collect::<Vec<_>>().join(",")
    }
}
