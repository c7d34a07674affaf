//! Shedding what is too much, without shedding a higher tier above a lower one that is kept.

use std::time::{Duration, Instant};

use super::{Directory, Floor, Mirror, Scheduler, FLOOR_TRUST};
use crate::ids;
use crate::message;
use crate::node;
use crate::selection::SelectionPolicy;

/// Time between two sendings of a shed floor that is in force.
const FLOOR_RENEW: Duration = Duration::from_millis(500);
/// Part of the queue bound under which a shed floor is lifted.
const FLOOR_LIFT: f64 = 0.8;

impl<C: SelectionPolicy> Scheduler<C> {
    /// Sheds what is too much: the lowest tier at once, a higher one only when every entry that
    /// may keep requests of the pool has promised to keep none of a lower tier.
    pub(super) fn bound_queue(
        &mut self,
        now: Instant,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) {
        while self.queue.len() > self.queue_bound {
            let Some(victim) = self.queue.victim().map(|i| (i.id.clone(), i.tier)) else { return };
            let (id, tier) = victim;
            if !directory.is_lowest(tier) && !self.floor_holds(now, tier, directory, out) {
                return;
            }
            self.refuse(now, &id, message::Refusal::Shed, out);
        }
        let low = (self.queue_bound as f64 * FLOOR_LIFT) as usize;
        if self.floor.is_some() && self.queue.len() <= low {
            self.floor = None;
            self.send_floor(None, directory, out);
        }
    }

    fn floor_holds(
        &mut self,
        now: Instant,
        tier: ids::TierLevel,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) -> bool {
        let renew = self
            .floor
            .as_ref()
            .is_none_or(|f| f.keep != tier || now.duration_since(f.renewed) >= FLOOR_RENEW);
        if renew {
            let seq = self.send_floor(Some(tier), directory, out);
            let former = self.floor.take().filter(|f| f.keep == tier);
            let mut sent = former.map(|f| f.sent).unwrap_or_default();
            sent.insert(seq, now);
            self.floor = Some(Floor { keep: tier, sent, renewed: now });
        }
        let Some(floor) = &mut self.floor else { return false };
        floor.sent.retain(|_, at| now.duration_since(*at) < FLOOR_TRUST);
        let entries = directory.entries(&self.pool);
        let mirrors = &self.mirrors;
        let echoes =
            |id| mirrors.get(id).is_some_and(|m: &Mirror| floor.sent.contains_key(&m.floor));
        entries.iter().all(echoes)
    }

    fn send_floor(
        &mut self,
        keep: Option<ids::TierLevel>,
        directory: &impl Directory,
        out: &mut Vec<node::Action>,
    ) -> u64 {
        self.next_floor += 1;
        let seq = self.next_floor;
        for entry in directory.entries(&self.pool) {
            let message = message::Message::Floor { pool: self.pool.clone(), seq, keep };
            out.push(node::Action::send(&entry, message));
        }
        seq
    }
}
