//! The slots that this instance grants, and its role as their owner.

use std::time::{Duration, Instant};

use oxbowbend_core::ids::EndpointKey;
use oxbowbend_core::slot_leases::{
    Decision, DenialReason, Holder, Owner, OwnerLoad, OwnershipChange, Sender, SlotGroup,
    SlotMessage, SlotRequest,
};

use super::Table;
use crate::observe;

/// Most candidates that a change of role logs.
const MAX_CANDIDATES_LOGGED: usize = 3;

impl Table {
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        sender: &Sender,
        group: SlotGroup,
        wanted: SlotRequest,
    ) {
        self.record_asked(now, &group);
        self.expire_leases(now, &group);
        let holder = holder(sender);
        let decisions = match self.owners.get_mut(&group) {
            Some(owner) => owner.request(now, holder, wanted),
            None => vec![not_owner(holder, wanted.request)],
        };
        self.send_decisions(&group, decisions);
    }

    pub(super) fn handle_renewal(
        &mut self,
        now: Instant,
        sender: &Sender,
        group: SlotGroup,
        leases: &[(u64, EndpointKey)],
    ) {
        self.record_asked(now, &group);
        let holder = holder(sender);
        match self.owners.get_mut(&group) {
            Some(owner) => owner.renew(now, &holder, leases),
            None => {
                let denials =
                    leases.iter().map(|(request, _)| not_owner(holder.clone(), *request)).collect();
                self.send_decisions(&group, denials);
            }
        }
    }

    /// Returns leases and withdraws waiting requests.
    pub(super) fn handle_release(
        &mut self,
        now: Instant,
        sender: &Sender,
        group: &SlotGroup,
        requests: &[u64],
    ) {
        self.expire_leases(now, group);
        let Some(owner) = self.owners.get_mut(group) else { return };
        let decisions = owner.release(now, &holder(sender), requests);
        self.send_decisions(group, decisions);
    }

    /// Updates whether this instance is the owner. `cause` tells for the log what led to a loss.
    pub(super) fn update_role(&mut self, now: Instant, group: &SlotGroup, cause: &str) {
        let Some(ownership) = self.ownerships.get_mut(group) else { return };
        match ownership.tick(now) {
            Some(OwnershipChange::Acquired) => self.acquire(now, group),
            Some(OwnershipChange::Lost) => self.lose(now, group, cause),
            None => {}
        }
    }

    pub(super) fn acquire(&mut self, now: Instant, group: &SlotGroup) {
        let mut owner = Owner::new(now);
        owner.set_visible_share(self.visible_share);
        let endpoints = self.endpoints.get(group).cloned().unwrap_or_default();
        let decisions = owner.set_endpoints(now, endpoints);
        self.owners.insert(group.clone(), owner);
        self.send_decisions(group, decisions);
        observe::slot_owner_changed("acquired");
        let ownership = self.ownerships.get(group);
        let first = ownership.and_then(|ownership| ownership.candidates().first());
        let why = match first == Some(&self.local.instance) {
            true => "first_candidate",
            false => "candidates_before_silent",
        };
        self.log_role("slot_owner", why, now, group);
    }

    pub(super) fn lose(&mut self, now: Instant, group: &SlotGroup, cause: &str) {
        let Some(owner) = self.owners.remove(group) else { return };
        self.send_decisions(group, owner.close());
        observe::slot_owner_changed("lost");
        self.log_role("slot_owner_lost", cause, now, group);
    }

    pub(super) fn log_role(&self, event: &str, why: &str, now: Instant, group: &SlotGroup) {
        let Some(ownership) = self.ownerships.get(group) else { return };
        let candidates = ownership.candidates();
        let position = candidates.iter().position(|name| *name == self.local.instance);
        let first: Vec<_> = candidates.iter().take(MAX_CANDIDATES_LOGGED).map(|n| &**n).collect();
        log::info!(
            "event={event} service={} zone={} why={why} position={} candidates={} first={} \
             first_live={} share={:.3}",
            group.service,
            group.zone,
            position.map_or(-1, |position| position as i64),
            candidates.len(),
            first.join(","),
            ownership.first_live(now).map_or("-", |name| name),
            self.visible_share
        );
    }

    pub(super) fn probe_candidates(&mut self, now: Instant, group: &SlotGroup) {
        let Some(ownership) = self.ownerships.get_mut(group) else { return };
        let due = ownership.take_due_probes(now);
        let is_owner = self.owners.contains_key(group);
        let probes =
            due.into_iter().map(|name| (name, group.clone(), SlotMessage::Probe { is_owner }));
        self.queue.extend(probes);
    }

    /// Frees the slots of leases that have expired.
    pub(super) fn expire_leases(&mut self, now: Instant, group: &SlotGroup) {
        let Some(owner) = self.owners.get_mut(group) else { return };
        let before = owner.load().granted as usize;
        let decisions = owner.tick(now);
        let granted = decisions.iter().filter(|d| matches!(d, Decision::Grant { .. })).count();
        let expired = (before + granted).saturating_sub(owner.load().granted as usize);
        if expired > 0 {
            observe::slot_leases_expired(expired);
            log::info!(
                "event=slot_leases_expired service={} zone={} expired={expired}",
                group.service,
                group.zone
            );
        }
        self.send_decisions(group, decisions);
    }

    pub(super) fn send_decisions(&mut self, group: &SlotGroup, decisions: Vec<Decision>) {
        for decision in decisions {
            let (to, message) = match decision {
                Decision::Grant { holder, request, endpoint, lease } => {
                    observe::slot_granted();
                    log::debug!(
                        "event=slot_granted to={} request={request} endpoint={endpoint}",
                        holder.instance
                    );
                    let lease_ms = lease.as_millis() as u32;
                    (holder.instance, SlotMessage::Grant { request, endpoint, lease_ms })
                }
                Decision::Denial { holder, request, reason, available_in } => {
                    self.record_denial(group, &holder, request, (reason, available_in));
                    let available_in_ms = available_in.as_millis() as u32;
                    (holder.instance, SlotMessage::Denial { request, reason, available_in_ms })
                }
                Decision::Waiting { holder, request, available_in } => {
                    let available_in_ms = available_in.as_millis() as u32;
                    (holder.instance, SlotMessage::Waiting { request, available_in_ms })
                }
            };
            self.queue.push_back((to, group.clone(), message));
        }
    }

    pub(super) fn record_denial(
        &self,
        group: &SlotGroup,
        holder: &Holder,
        request: u64,
        (reason, available_in): (DenialReason, Duration),
    ) {
        observe::slot_denied(reason_name(reason));
        let OwnerLoad { slots, granted, waiting, .. } =
            self.owners.get(group).map(Owner::load).unwrap_or_default();
        log::info!(
            "event=slot_denied service={} zone={} to={} request={request} reason={} \
             available_in_ms={} slots={slots} granted={granted} waiting={waiting}",
            group.service,
            group.zone,
            holder.instance,
            reason_name(reason),
            available_in.as_millis()
        );
    }

    /// Load of all slots that this instance grants.
    pub(in crate::slot_leases) fn load(&self) -> OwnerLoad {
        let mut sum = OwnerLoad::default();
        for load in self.owners.values().map(Owner::load) {
            sum.slots = sum.slots.saturating_add(load.slots);
            sum.granted = sum.granted.saturating_add(load.granted);
            sum.waiting = sum.waiting.saturating_add(load.waiting);
        }
        sum
    }
}

fn holder(sender: &Sender) -> Holder {
    Holder { instance: sender.instance.clone(), incarnation: sender.incarnation }
}

fn not_owner(holder: Holder, request: u64) -> Decision {
    let reason = DenialReason::NotOwner;
    Decision::Denial { holder, request, reason, available_in: Duration::ZERO }
}

pub(super) fn reason_name(reason: DenialReason) -> &'static str {
    match reason {
        DenialReason::Full => "full",
        DenialReason::NotOwner => "not_owner",
        DenialReason::Recovering => "recovering",
        DenialReason::NoEndpoint => "no_endpoint",
    }
}
