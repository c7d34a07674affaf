//! Load shedding, in strict order of tiers.

use std::time::{Duration, Instant};

use super::{Directory, IngressState, Scheduler, ShedThreshold, THRESHOLD_CONFIRMATION_TTL};
use crate::ids;
use crate::message;
use crate::node;
use crate::selection::SelectionPolicy;

/// Time between two messages that renew a shed threshold.
const THRESHOLD_RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// The shed threshold is lifted when the queue length falls to this fraction of its bound.
const THRESHOLD_LIFT_FRACTION: f64 = 0.8;

impl<C: SelectionPolicy> Scheduler<C> {
    /// Sheds requests until the queue is within its bound.
    ///
    /// Requests of the lowest tier are shed at once. Those of a higher tier are shed only after
    /// every ingress instance of the pool has confirmed that it keeps no requests of a lower tier.
    pub(super) fn shed_excess(
        &mut self,
        now: Instant,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) {
        while self.queue.len() > self.queue_bound {
            let Some(victim) = self.queue.victim().map(|i| (i.id.clone(), i.tier)) else { return };
            let (id, tier) = victim;
            if !directory.is_lowest_tier(tier)
                && !self.is_threshold_confirmed(now, tier, directory, out)
            {
                return;
            }
            self.refuse(now, &id, message::RefusalReason::Shed, out);
        }
        let low = (self.queue_bound as f64 * THRESHOLD_LIFT_FRACTION) as usize;
        if self.shed_threshold.is_some() && self.queue.len() <= low {
            self.shed_threshold = None;
            self.send_shed_threshold(None, directory, out);
        }
    }

    fn is_threshold_confirmed(
        &mut self,
        now: Instant,
        tier: ids::TierLevel,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) -> bool {
        let renew = self.shed_threshold.as_ref().is_none_or(|t| {
            t.lowest_kept != tier || now.duration_since(t.renewed_at) >= THRESHOLD_RENEW_INTERVAL
        });
        if renew {
            let seq = self.send_shed_threshold(Some(tier), directory, out);
            let former = self.shed_threshold.take().filter(|t| t.lowest_kept == tier);
            let mut sent_at = former.map(|t| t.sent_at).unwrap_or_default();
            sent_at.insert(seq, now);
            self.shed_threshold =
                Some(ShedThreshold { lowest_kept: tier, sent_at, renewed_at: now });
        }
        let Some(threshold) = &mut self.shed_threshold else { return false };
        threshold.sent_at.retain(|_, at| now.duration_since(*at) < THRESHOLD_CONFIRMATION_TTL);
        let ingress_instances = directory.ingress_instances(&self.pool);
        let ingress_states = &self.ingress_states;
        let is_confirmed = |id| {
            ingress_states
                .get(id)
                .is_some_and(|s: &IngressState| threshold.sent_at.contains_key(&s.threshold_seq))
        };
        ingress_instances.iter().all(is_confirmed)
    }

    fn send_shed_threshold(
        &mut self,
        lowest_kept: Option<ids::TierLevel>,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) -> u64 {
        self.last_threshold_seq += 1;
        let seq = self.last_threshold_seq;
        for ingress in directory.ingress_instances(&self.pool) {
            let message =
                message::Message::ShedThreshold { pool: self.pool.clone(), seq, lowest_kept };
            out.push(node::Action::send(&ingress, message));
        }
        seq
    }
}
