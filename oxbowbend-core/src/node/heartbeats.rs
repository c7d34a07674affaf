//! Offers of free permits, and heartbeats from instances to schedulers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{
    Action, Node, Peer, HEARTBEATS_PER_OFFER, HEARTBEAT_INTERVAL, SUSPECT_PROBE_INTERVAL,
    SUSPECT_TIMEOUT,
};
use crate::ids;
use crate::message;

impl Node {
    /// Sends schedulers the permit counts that have changed; returns whether there were any.
    pub(super) fn send_changed_offers(&mut self) -> bool {
        let changed = self.permits.take_changed();
        let mut offers: BTreeMap<ids::InstanceId, Vec<message::Offer>> = BTreeMap::new();
        for endpoint in changed {
            let Some(pool) = self.view.topology.pool_of(&endpoint).cloned() else { continue };
            let Some(scheduler) = self.ingress.scheduler(&pool).cloned() else { continue };
            let offer = self.offer_for(&pool, endpoint, &scheduler);
            offers.entry(scheduler).or_default().push(offer);
        }
        let any = !offers.is_empty();
        for (scheduler, offers) in offers {
            self.actions.push(Action::send(&scheduler, message::Message::Offer(offers)));
        }
        any
    }

    pub(super) fn offer_for(
        &self,
        pool: &ids::PoolId,
        endpoint: ids::EndpointId,
        scheduler: &ids::InstanceId,
    ) -> message::Offer {
        let (free, owned) = self.permits.count(&message::PermitKey::Endpoint(endpoint.clone()));
        let last_seq = self.last_grant_seq.get(scheduler).copied().unwrap_or(0);
        message::Offer { pool: pool.clone(), endpoint, free, owned, last_seq }
    }

    pub(super) fn offers_of_pool(
        &self,
        pool: &ids::PoolId,
        scheduler: &ids::InstanceId,
    ) -> Vec<message::Offer> {
        let Some(config) = self.view.topology.pools.get(pool) else { return Vec::new() };
        let offers = config.endpoints.keys().map(|e| self.offer_for(pool, e.clone(), scheduler));
        offers.filter(|o| o.owned > 0).collect()
    }

    pub(super) fn send_offers_of_pool(&mut self, pool: &ids::PoolId) {
        let Some(scheduler) = self.ingress.scheduler(pool).cloned() else { return };
        let offers = self.offers_of_pool(pool, &scheduler);
        if !offers.is_empty() {
            self.actions.push(Action::send(&scheduler, message::Message::Offer(offers)));
        }
    }

    pub(super) fn withdraw_offers(&mut self, pool: &ids::PoolId, former: Option<ids::InstanceId>) {
        let Some(former) = former else { return };
        let mut offers = self.offers_of_pool(pool, &former);
        offers.iter_mut().for_each(|o| (o.free, o.owned) = (0, 0));
        if !offers.is_empty() {
            self.actions.push(Action::send(&former, message::Message::Offer(offers)));
        }
    }

    pub(super) fn send_heartbeat(&mut self, now: Instant, to: &ids::InstanceId) {
        self.heartbeat_seq += 1;
        let pools = self.ingress.pool_digests(to);
        self.actions
            .push(Action::send(to, message::Message::Heartbeat { seq: self.heartbeat_seq, pools }));
        if *to == self.me {
            return;
        }
        let first = Peer { heartbeats_since: now, last_heartbeat: None, last_ack: None };
        self.peers.entry(to.clone()).or_insert(first).last_heartbeat = Some(now);
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        from: &ids::InstanceId,
        seq: u64,
        pools: Vec<message::PoolDigest>,
    ) {
        let mut resync = Vec::new();
        for digest in pools {
            let mut differs = false;
            self.with_scheduler(&digest.pool, |s| differs = s.handle_digest(from, &digest));
            if differs {
                resync.push(digest.pool);
            }
        }
        self.actions.push(Action::send(from, message::Message::HeartbeatAck { seq, resync }));
    }

    pub(super) fn handle_heartbeat_ack(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        resync: &[ids::PoolId],
    ) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_ack = Some(now);
        }
        if self.view.members.trust(from) {
            self.reassign(now);
        }
        for pool in resync {
            if self.ingress.scheduler(pool) == Some(from) {
                self.ingress.send_snapshot(now, pool, &mut self.actions);
                self.send_offers_of_pool(pool);
            }
        }
    }

    pub(super) fn handle_peer_down(&mut self, now: Instant, id: &ids::InstanceId) {
        if self.view.members.contains(id) && self.view.members.suspect(id) {
            self.reassign(now);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let topology = self.view.topology.clone();
        let mut due: BTreeSet<ids::InstanceId> =
            topology.pools.keys().filter_map(|p| self.ingress.scheduler(p).cloned()).collect();
        due.retain(|id| self.is_heartbeat_due(now, id, HEARTBEAT_INTERVAL));
        let suspects: Vec<ids::InstanceId> = self.view.members.suspects().cloned().collect();
        due.extend(
            suspects
                .into_iter()
                .filter(|id| self.is_heartbeat_due(now, id, SUSPECT_PROBE_INTERVAL)),
        );
        for id in due {
            self.send_heartbeat(now, &id);
            if self.heartbeat_seq.is_multiple_of(HEARTBEATS_PER_OFFER) {
                self.resend_offers(&id);
            }
        }
    }

    pub(super) fn is_heartbeat_due(
        &self,
        now: Instant,
        id: &ids::InstanceId,
        interval: Duration,
    ) -> bool {
        let last = self.peers.get(id).and_then(|p| p.last_heartbeat);
        last.is_none_or(|last| now.duration_since(last) >= interval)
    }

    pub(super) fn resend_offers(&mut self, scheduler: &ids::InstanceId) {
        let topology = self.view.topology.clone();
        for pool in topology.pools.keys() {
            if self.ingress.scheduler(pool) == Some(scheduler) {
                self.send_offers_of_pool(pool);
            }
        }
    }

    pub(super) fn suspect_unresponsive(&mut self, now: Instant) {
        let silent = |p: &Peer| {
            let heard = p.last_ack.unwrap_or(p.heartbeats_since).max(p.heartbeats_since);
            let sends_heartbeats =
                p.last_heartbeat.is_some_and(|b| now.duration_since(b) < SUSPECT_TIMEOUT);
            sends_heartbeats && now.duration_since(heard) >= SUSPECT_TIMEOUT
        };
        let silent: Vec<ids::InstanceId> =
            self.peers.iter().filter(|(_, p)| silent(p)).map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.handle_peer_down(now, &id);
        }
    }
}
