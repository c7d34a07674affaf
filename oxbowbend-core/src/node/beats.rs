//! Offers of free permits, and heartbeats between entries and schedulers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{Action, Node, Peer, BEAT, OFFERS_EVERY, PROBE_SUSPECT, SUSPECT};
use crate::ids;
use crate::message;

impl Node {
    /// Tells schedulers of the permits whose numbers have changed; says whether there were any.
    pub(super) fn offer_changes(&mut self) -> bool {
        let changed = self.permits.take_changed();
        let mut offers: BTreeMap<ids::InstanceId, Vec<message::Offer>> = BTreeMap::new();
        for endpoint in changed {
            let Some(pool) = self.view.topology.pool_of(&endpoint).cloned() else { continue };
            let Some(scheduler) = self.entry.scheduler(&pool).cloned() else { continue };
            let offer = self.offer(&pool, endpoint, &scheduler);
            offers.entry(scheduler).or_default().push(offer);
        }
        let any = !offers.is_empty();
        for (scheduler, offers) in offers {
            self.actions.push(Action::send(&scheduler, message::Message::Offer(offers)));
        }
        any
    }

    pub(super) fn offer(
        &self,
        pool: &ids::PoolId,
        endpoint: ids::EndpointId,
        scheduler: &ids::InstanceId,
    ) -> message::Offer {
        let (free, owned) = self.permits.count(&message::PermitKey::Endpoint(endpoint.clone()));
        let asks_seen = self.asks_seen.get(scheduler).copied().unwrap_or(0);
        message::Offer { pool: pool.clone(), endpoint, free, owned, asks_seen }
    }

    pub(super) fn pool_offers(
        &self,
        pool: &ids::PoolId,
        scheduler: &ids::InstanceId,
    ) -> Vec<message::Offer> {
        let Some(config) = self.view.topology.pools.get(pool) else { return Vec::new() };
        let offers = config.endpoints.keys().map(|e| self.offer(pool, e.clone(), scheduler));
        offers.filter(|o| o.owned > 0).collect()
    }

    pub(super) fn offer_pool(&mut self, pool: &ids::PoolId) {
        let Some(scheduler) = self.entry.scheduler(pool).cloned() else { return };
        let offers = self.pool_offers(pool, &scheduler);
        if !offers.is_empty() {
            self.actions.push(Action::send(&scheduler, message::Message::Offer(offers)));
        }
    }

    pub(super) fn withdraw_offers(&mut self, pool: &ids::PoolId, former: Option<ids::InstanceId>) {
        let Some(former) = former else { return };
        let mut offers = self.pool_offers(pool, &former);
        offers.iter_mut().for_each(|o| (o.free, o.owned) = (0, 0));
        if !offers.is_empty() {
            self.actions.push(Action::send(&former, message::Message::Offer(offers)));
        }
    }

    pub(super) fn beat(&mut self, now: Instant, to: &ids::InstanceId) {
        self.beat_seq += 1;
        let pools = self.entry.beats(to);
        self.actions.push(Action::send(to, message::Message::Beat { seq: self.beat_seq, pools }));
        if *to == self.me {
            return;
        }
        let first = Peer { beating_since: now, last_beat: None, last_ack: None };
        self.peers.entry(to.clone()).or_insert(first).last_beat = Some(now);
    }

    pub(super) fn beaten(
        &mut self,
        from: &ids::InstanceId,
        seq: u64,
        pools: Vec<message::PoolBeat>,
    ) {
        let mut resync = Vec::new();
        for beat in pools {
            let mut differs = false;
            self.schedule(&beat.pool, |s| differs = s.beat(from, &beat));
            if differs {
                resync.push(beat.pool);
            }
        }
        self.actions.push(Action::send(from, message::Message::BeatAck { seq, resync }));
    }

    pub(super) fn acked(&mut self, now: Instant, from: &ids::InstanceId, resync: &[ids::PoolId]) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_ack = Some(now);
        }
        if self.view.members.trust(from) {
            self.retarget(now);
        }
        for pool in resync {
            if self.entry.scheduler(pool) == Some(from) {
                self.entry.report(now, pool, &mut self.actions);
                self.offer_pool(pool);
            }
        }
    }

    pub(super) fn peer_down(&mut self, now: Instant, id: &ids::InstanceId) {
        if self.view.members.contains(id) && self.view.members.suspect(id) {
            self.retarget(now);
        }
    }

    pub(super) fn beat_schedulers(&mut self, now: Instant) {
        let topology = self.view.topology.clone();
        let mut due: BTreeSet<ids::InstanceId> =
            topology.pools.keys().filter_map(|p| self.entry.scheduler(p).cloned()).collect();
        due.retain(|id| self.beat_is_due(now, id, BEAT));
        let suspects: Vec<ids::InstanceId> = self.view.members.suspects().cloned().collect();
        due.extend(suspects.into_iter().filter(|id| self.beat_is_due(now, id, PROBE_SUSPECT)));
        for id in due {
            self.beat(now, &id);
            if self.beat_seq.is_multiple_of(OFFERS_EVERY) {
                self.repeat_offers(&id);
            }
        }
    }

    pub(super) fn beat_is_due(
        &self,
        now: Instant,
        id: &ids::InstanceId,
        interval: Duration,
    ) -> bool {
        let last = self.peers.get(id).and_then(|p| p.last_beat);
        last.is_none_or(|last| now.duration_since(last) >= interval)
    }

    pub(super) fn repeat_offers(&mut self, scheduler: &ids::InstanceId) {
        let topology = self.view.topology.clone();
        for pool in topology.pools.keys() {
            if self.entry.scheduler(pool) == Some(scheduler) {
                self.offer_pool(pool);
            }
        }
    }

    pub(super) fn suspect_silent(&mut self, now: Instant) {
        let silent = |p: &Peer| {
            let heard = p.last_ack.unwrap_or(p.beating_since).max(p.beating_since);
            let still_beating = p.last_beat.is_some_and(|b| now.duration_since(b) < SUSPECT);
            still_beating && now.duration_since(heard) >= SUSPECT
        };
        let silent: Vec<ids::InstanceId> =
            self.peers.iter().filter(|(_, p)| silent(p)).map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.peer_down(now, &id);
        }
    }
}
