//! Claims, by which permits change their owner.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Action, Node, CLAIM_RETRY_INTERVAL};
use crate::ids;
use crate::membership;
use crate::message;

impl Node {
    pub(super) fn start_claim(&mut self, now: Instant) {
        if self.fenced || self.draining || !self.view.members.contains(&self.me) {
            return;
        }
        let others: BTreeSet<ids::InstanceId> = self.view.members.others().cloned().collect();
        let claim = self.permits.start_claim(&self.desired, others.clone());
        let Some((nonce, permits)) = claim else {
            self.next_claim = None;
            return;
        };
        for to in &others {
            let (list, permits) = (self.view.members.list().clone(), permits.clone());
            self.actions.push(Action::send(to, message::Message::Claim { nonce, list, permits }));
        }
        self.next_claim = Some(now + CLAIM_RETRY_INTERVAL);
        self.complete_claim(now);
    }

    pub(super) fn handle_claim(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        nonce: u64,
        list: &membership::InstanceList,
        permits: &[message::Permit],
    ) {
        if self.view.members.adopt(list) {
            self.handle_member_change(now);
        }
        let desired = &self.desired;
        let (held, ceded) = self.permits.answer_claim(permits, |p| desired.contains(p));
        let used = self.ingress.uses_of(permits);
        let reply = message::Message::ClaimReply { nonce, held, ceded, used };
        self.actions.push(Action::send(from, reply));
    }

    pub(super) fn complete_claim(&mut self, now: Instant) {
        let claimed: Vec<message::Permit> = self.permits.claimed_permits().cloned().collect();
        let own = self.ingress.uses_of(&claimed);
        self.permits.add_own_uses(&self.me, &own);
        let preexisting = &self.preexisting;
        let is_new = |p: &message::Permit| preexisting.get(&p.key).is_none_or(|n| p.index >= *n);
        self.permits.complete_claim(now, is_new);
    }
}
