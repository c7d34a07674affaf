//! Assignment of schedulers and permits to instances when members or the configuration change.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::{Node, LEAVING_TTL, MAX_LIST_LAG};
use crate::ids;
use crate::membership;
use crate::message;
use crate::topology;

impl Node {
    pub(super) fn handle_list(&mut self, now: Instant, list: &membership::InstanceList) {
        let listed = list.members.contains_key(&self.me);
        if listed {
            self.fenced = false;
        }
        if !self.view.members.adopt(list) {
            return;
        }
        if !listed && self.listed_since.take().is_some() {
            self.permits.discard_all();
            self.ingress.handle_delisted(&mut self.actions);
        }
        self.handle_member_change(now);
    }

    pub(super) fn handle_member_change(&mut self, now: Instant) {
        if self.draining {
            self.view.members.mark_leaving(&self.me);
        }
        let members = &self.view.members;
        if members.contains(&self.me) && self.listed_since.is_none() {
            self.listed_since = Some(now);
        }
        self.permits.mark_orphaned(now, |id| members.contains(id));
        self.permits.stop_awaiting(|id| members.contains(id));
        self.peers.retain(|id, _| members.contains(id));
        self.last_grant_seq.retain(|id, _| members.contains(id));
        for (pool, scheduler) in &mut self.schedulers {
            scheduler.retain_members(|id| members.contains(id));
            self.dirty_pools.insert(pool.clone());
        }
        self.reassign(now);
    }

    pub(super) fn configure(&mut self, now: Instant, topology: Arc<topology::Topology>) {
        self.view.topology = topology;
        self.configure_schedulers(now);
        self.update_preexisting(now);
        self.reassign(now);
    }

    pub(super) fn configure_schedulers(&mut self, now: Instant) {
        self.leaving_endpoints.retain(|_, since| now.duration_since(*since) < LEAVING_TTL);
        let pools: Vec<ids::PoolId> = self.schedulers.keys().cloned().collect();
        for pool in pools {
            let config = self.pool_config(&pool);
            if let Some(scheduler) = self.schedulers.get_mut(&pool) {
                scheduler.configure(&config);
            }
            self.dirty_pools.insert(pool);
        }
    }

    /// Returns the configuration of a pool, in which endpoints that announced their shutdown are
    /// marked as leaving.
    pub(super) fn pool_config(&self, pool: &str) -> topology::Pool {
        let mut config = self.view.topology.pools.get(pool).cloned().unwrap_or_default();
        for (endpoint, declared) in &mut config.endpoints {
            declared.leaving |= self.leaving_endpoints.contains_key(endpoint);
        }
        config
    }

    /// Records the permits that existed before every claimant was sure to ask this instance.
    pub(super) fn update_preexisting(&mut self, now: Instant) {
        let settled = self.listed_since.is_some_and(|t| now.duration_since(t) >= MAX_LIST_LAG);
        if settled {
            return;
        }
        for (key, count) in permit_counts(&self.view.topology) {
            let known = self.preexisting.entry(key).or_default();
            *known = (*known).max(count);
        }
    }

    /// Reassigns schedulers and permits after a change of members, suspicions or configuration.
    pub(super) fn reassign(&mut self, now: Instant) {
        let topology = self.view.topology.clone();
        let zone = self.zone.clone();
        for (id, pool) in topology.pools.iter().filter(|(_, p)| p.zones.contains(&zone)) {
            let scheduler = self.view.members.preferred(&pool.zones, id);
            let former = self.ingress.scheduler(id).cloned();
            if former == scheduler {
                continue;
            }
            self.ingress.set_scheduler(now, id, scheduler, &mut self.actions);
            self.withdraw_offers(id, former);
            self.send_offers_of_pool(id);
        }
        self.reassign_permits();
        self.next_claim = Some(now);
        self.start_claim(now);
    }

    pub(super) fn reassign_permits(&mut self) {
        let topology = self.view.topology.clone();
        let counts = permit_counts(&topology);
        self.permits.remove_undeclared(|p| counts.get(&p.key).is_some_and(|n| p.index < *n));
        let members = &self.view.members;
        let mut desired = BTreeSet::new();
        for pool in topology.pools.values().filter(|p| p.zones.contains(&self.zone)) {
            let ranking = membership::Ranking::new(members.owners(&pool.zones));
            for (endpoint, declared) in &pool.endpoints {
                let key = message::PermitKey::Endpoint(endpoint.clone());
                add_desired(&self.me, &key, declared.slots, &ranking, &mut desired);
            }
        }
        let everywhere = BTreeSet::new();
        let ranking = membership::Ranking::new(members.owners(&everywhere));
        let mut account_owners = BTreeMap::new();
        for (account, limits) in &topology.accounts {
            let Some(limit) = limits.max_running else { continue };
            let key = message::PermitKey::Account(account.clone());
            let shares = add_desired(&self.me, &key, limit, &ranking, &mut desired);
            account_owners.insert(account.clone(), shares);
        }
        self.desired = desired;
        self.view.account_owners = account_owners;
    }
}

/// Adds the permits of `key` assigned to `me` to `desired`; returns the permit count of each owner.
fn add_desired(
    me: &ids::InstanceId,
    key: &message::PermitKey,
    count: u32,
    ranking: &membership::Ranking,
    desired: &mut BTreeSet<message::Permit>,
) -> Vec<(ids::InstanceId, u32)> {
    let mut shares: BTreeMap<ids::InstanceId, u32> = BTreeMap::new();
    let name = ranking_name(key);
    for index in 0..count {
        let Some(owner) = ranking.pick(&name, index) else { continue };
        *shares.entry(owner.clone()).or_default() += 1;
        if owner == me {
            desired.insert(message::Permit { key: key.clone(), index });
        }
    }
    shares.into_iter().collect()
}

fn permit_counts(topology: &topology::Topology) -> HashMap<message::PermitKey, u32> {
    let endpoints = topology.pools.values().flat_map(|p| &p.endpoints);
    let endpoints = endpoints.map(|(id, e)| (message::PermitKey::Endpoint(id.clone()), e.slots));
    let accounts = topology.accounts.iter().filter_map(|(id, a)| Some((id, a.max_running?)));
    endpoints.chain(accounts.map(|(id, n)| (message::PermitKey::Account(id.clone()), n))).collect()
}

fn ranking_name(key: &message::PermitKey) -> String {
    match key {
        message::PermitKey::Endpoint(id) => format!("endpoint/{id}"),
        message::PermitKey::Account(id) => format!("account/{id}"),
    }
}
