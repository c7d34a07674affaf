//! Transfer of permits between owners.
//!
//! A claim is sent to every listed instance. A live owner cedes the permits that are free and no
//! longer assigned to it, and keeps all others. Each reply also names the claimed permits that the
//! sender's own requests use. A permit that is neither ceded nor in use is in doubt. The nonce of a
//! claim distinguishes its replies from those to earlier claims.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Instant;

use super::{PendingClaim, PermitState, Permits, Reservation};
use crate::ids;
use crate::message;

impl Permits {
    /// Starts a claim to the permits of `desired` that this instance does not own, addressed to
    /// `others`.
    ///
    /// Returns the nonce and the claimed permits, or `None` if all of them are owned already.
    pub fn start_claim(
        &mut self,
        desired: &BTreeSet<message::Permit>,
        others: BTreeSet<ids::InstanceId>,
    ) -> Option<(u64, Vec<message::Permit>)> {
        let missing: BTreeSet<message::Permit> =
            desired.iter().filter(|p| !self.owns(p)).cloned().collect();
        if missing.is_empty() {
            self.claim = None;
            return None;
        }
        self.next_nonce += 1;
        let permits = missing.iter().cloned().collect();
        self.claim = Some(PendingClaim {
            nonce: self.next_nonce,
            permits: missing,
            awaiting: others,
            ceded: HashSet::new(),
            uses: HashMap::new(),
        });
        Some((self.next_nonce, permits))
    }

    /// Answers a claim of another instance.
    ///
    /// Cedes the permits that are free and not assigned to this instance according to
    /// `is_desired`. Returns the permits that the claimant must not take, and those ceded.
    pub fn answer_claim(
        &mut self,
        permits: &[message::Permit],
        is_desired: impl Fn(&message::Permit) -> bool,
    ) -> (Vec<message::Permit>, Vec<message::Permit>) {
        let mut held = Vec::new();
        let mut ceded = Vec::new();
        for permit in permits {
            let state = self.sets.get(&permit.key).and_then(|s| s.states.get(&permit.index));
            match state.cloned() {
                Some(PermitState::Free) if !is_desired(permit) => {
                    self.cede(permit);
                    ceded.push(permit.clone());
                }
                Some(_) => held.push(permit.clone()),
                None if self.keeps_contested(permit, &is_desired) => held.push(permit.clone()),
                None => {
                    self.owned_elsewhere.insert(permit.clone());
                }
            }
        }
        (held, ceded)
    }

    /// Resolves a conflict of two claims to one permit: the instance that it is assigned to keeps
    /// its claim. Returns whether that is this instance.
    fn keeps_contested(
        &mut self,
        permit: &message::Permit,
        is_desired: &impl Fn(&message::Permit) -> bool,
    ) -> bool {
        let Some(claim) = &mut self.claim else { return false };
        if !claim.permits.contains(permit) {
            return false;
        }
        if is_desired(permit) {
            return true;
        }
        claim.permits.remove(permit);
        false
    }

    fn cede(&mut self, permit: &message::Permit) {
        self.owned_elsewhere.insert(permit.clone());
        if let Some(set) = self.sets.get_mut(&permit.key) {
            set.states.remove(&permit.index);
            set.free.remove(&permit.index);
            if set.states.is_empty() {
                self.sets.remove(&permit.key);
            }
        }
        self.mark_changed(&permit.key);
    }

    /// Handles a reply to this instance's claim.
    pub fn handle_claim_reply(
        &mut self,
        from: &ids::InstanceId,
        nonce: u64,
        held: &[message::Permit],
        ceded: &[message::Permit],
        uses: &[message::PermitUse],
    ) {
        let Some(claim) = self.claim.as_mut().filter(|c| c.nonce == nonce) else { return };
        claim.awaiting.remove(from);
        held.iter().for_each(|p| {
            claim.permits.remove(p);
        });
        claim.ceded.extend(ceded.iter().cloned());
        for u in uses {
            claim.uses.insert(u.permit.clone(), (from.clone(), u.clone()));
        }
    }

    /// The permits being claimed.
    pub fn claimed_permits(&self) -> impl Iterator<Item = &message::Permit> {
        self.claim.iter().flat_map(|c| &c.permits)
    }

    /// Adds the uses of claimed permits by this instance's own requests.
    pub fn add_own_uses(&mut self, me: &ids::InstanceId, uses: &[message::PermitUse]) {
        let Some(claim) = &mut self.claim else { return };
        for u in uses {
            claim.uses.insert(u.permit.clone(), (me.clone(), u.clone()));
        }
    }

    /// Stops waiting for replies of instances that are no longer listed.
    pub fn stop_awaiting(&mut self, listed: impl Fn(&str) -> bool) {
        if let Some(claim) = &mut self.claim {
            claim.awaiting.retain(|id| listed(id));
        }
    }

    /// Takes over the claimed permits once all replies have arrived; returns whether they have.
    ///
    /// `is_new` tells whether a permit was created after this instance joined. Such a permit cannot
    /// have been used before.
    pub fn complete_claim(
        &mut self,
        now: Instant,
        is_new: impl Fn(&message::Permit) -> bool,
    ) -> bool {
        if self.claim.as_ref().is_none_or(|c| !c.awaiting.is_empty()) {
            return false;
        }
        let Some(claim) = self.claim.take() else { return false };
        for permit in &claim.permits {
            let was_ceded = claim.ceded.contains(permit);
            let never_used = is_new(permit) && !self.owned_elsewhere.contains(permit);
            match claim.uses.get(permit) {
                Some((ingress, u)) => self.add_reserved(now, ingress, u),
                None if was_ceded || never_used => self.add_free(permit),
                None => self.insert(permit, PermitState::InDoubt { since: now }),
            }
            self.owned_elsewhere.remove(permit);
        }
        true
    }

    fn add_free(&mut self, permit: &message::Permit) {
        self.insert(permit, PermitState::Free);
        self.set_free(permit);
    }

    fn add_reserved(&mut self, now: Instant, ingress: &ids::InstanceId, u: &message::PermitUse) {
        let (request, attempt) = u.grant.clone();
        let (ingress, endpoint) = (ingress.clone(), u.endpoint.clone());
        let reservation =
            Reservation { request, attempt, ingress, endpoint, query_at: now, orphaned_at: None };
        self.insert(&u.permit, PermitState::Reserved(reservation));
        self.by_grant.entry(u.grant.clone()).or_default().push(u.permit.clone());
    }

    fn insert(&mut self, permit: &message::Permit, state: PermitState) {
        let set = self.sets.entry(permit.key.clone()).or_default();
        set.states.insert(permit.index, state);
        self.mark_changed(&permit.key);
    }
}
