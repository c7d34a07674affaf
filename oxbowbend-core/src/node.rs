//! Everything that one instance decides, composed of its parts.
//!
//! A [`Node`] is fed events and returns actions. Messages to itself never leave it, so an instance
//! that schedules its own requests pays no round trip. The node also watches its own clock: a gap
//! between two events means that the process was paused, and then it trusts nothing it owned.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::choose::Predicted;
use crate::entry::Entry;
use crate::ids::{AccountId, EndpointId, InstanceId, PoolId, RequestId, TierLevel, ZoneId};
use crate::membership::{InstanceList, Membership, Ranking};
use crate::message::{
    Grant, GrantRef, Message, Offer, Permit, PermitKey, Record, Refusal, RunReport,
};
use crate::permits::Permits;
use crate::scheduler::{Directory, Scheduler};
use crate::topology::Topology;

/// Longest time between two [`Event::Tick`]s of a healthy instance.
pub const TICK: Duration = Duration::from_millis(100);
/// Gap between two events that counts as a pause. The platform must take longer than this to drop
/// an instance from its list.
pub const PAUSE: Duration = Duration::from_secs(3);
/// Time between two heartbeats to a scheduler.
pub const BEAT: Duration = Duration::from_millis(500);
/// Time without an answer to heartbeats after which an instance is suspected.
pub const SUSPECT: Duration = Duration::from_millis(1500);
/// Time between two heartbeats to a suspect.
const PROBE_SUSPECT: Duration = Duration::from_secs(2);
/// Heartbeats between two repetitions of all offers.
const OFFERS_EVERY: u64 = 4;
/// Time between two claims when the last one left something open.
const RECLAIM: Duration = Duration::from_secs(2);
/// Time for which an endpoint's own word that it is leaving is believed.
const LEAVING_KEEP: Duration = Duration::from_secs(30);
/// Longest lag of the platform's list. Until an instance has been listed for so long, others may
/// have made claims without asking it.
pub const LIST_LAG: Duration = Duration::from_secs(10);

/// Something that has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Nothing but the passing of time; due at least every [`TICK`].
    Tick,
    /// The platform's list was read.
    List(InstanceList),
    /// The configuration has changed.
    Topology(Arc<Topology>),
    /// A message came from another instance.
    Peer {
        /// Sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// Another instance refused a connection or cut it.
    PeerDown(InstanceId),
    /// A caller's request came in and is ready to be scheduled.
    Arrive(Record),
    /// A caller went away, or the daemon gave its waiting request up.
    Withdraw(RequestId),
    /// A run ended, well or badly.
    Finish {
        /// The request.
        request: RequestId,
        /// What was seen of the run.
        report: RunReport,
    },
    /// A run never began, though granted; the request waits again.
    Requeue {
        /// The request.
        request: RequestId,
        /// What was seen.
        report: RunReport,
    },
    /// An endpoint itself said that it is leaving.
    EndpointLeaving(EndpointId),
    /// An endpoint's report of its load.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests running or waiting there.
        running: u32,
        /// When the request for the report was sent.
        asked_at: Instant,
    },
    /// An orphaned run is known to be over, or never to have reached its endpoint.
    RunOver(GrantRef),
    /// The instance is stopping.
    Drain,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another instance.
    Send {
        /// Receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Dispatch a request held here to the endpoint named in the grant.
    Dispatch(Grant),
    /// Give a caller its final answer: the request was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Duration,
    },
    /// Ask an endpoint whether a run whose entry instance is gone is over.
    AskRun {
        /// The endpoint.
        endpoint: EndpointId,
        /// The run.
        grant: GrantRef,
    },
    /// Ask an endpoint for its load.
    AskLoad(EndpointId),
}

impl Action {
    pub(crate) fn send(to: &InstanceId, message: Message) -> Action {
        Action::Send { to: to.clone(), message }
    }

    pub(crate) fn refuse(request: RequestId, reason: Refusal, retry_after: Duration) -> Action {
        Action::Refuse { request, reason, retry_after }
    }

    pub(crate) fn release(to: &InstanceId, grant: &Grant, key: &PermitKey) -> Action {
        let (request, attempt) = (grant.request.clone(), grant.attempt);
        Action::send(to, Message::Release { request, attempt, key: key.clone() })
    }
}

#[derive(Clone, Debug)]
struct Peer {
    beating_since: Instant,
    last_beat: Option<Instant>,
    last_ack: Option<Instant>,
}

/// The other instances and the configuration, as this instance sees them.
#[derive(Clone, Debug)]
struct View {
    members: Membership,
    topology: Arc<Topology>,
    account_shares: BTreeMap<AccountId, Vec<(InstanceId, u32)>>,
}

impl Directory for View {
    fn account_owners(&self, account: &AccountId) -> Option<&[(InstanceId, u32)]> {
        self.account_shares.get(account).map(Vec::as_slice)
    }

    fn entries(&self, pool: &PoolId) -> Vec<InstanceId> {
        let Some(pool) = self.topology.pools.get(pool) else { return Vec::new() };
        let members = &self.members.list().members;
        members
            .iter()
            .filter(|(_, m)| pool.zones.contains(&m.zone))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn is_lowest(&self, tier: TierLevel) -> bool {
        tier >= self.topology.lowest_tier
    }
}

/// One instance's decisions.
#[derive(Clone, Debug)]
pub struct Node {
    me: InstanceId,
    zone: ZoneId,
    view: View,
    permits: Permits,
    entry: Entry,
    pools: BTreeMap<PoolId, Scheduler<Predicted>>,
    peers: BTreeMap<InstanceId, Peer>,
    local: VecDeque<Message>,
    actions: Vec<Action>,
    dirty: BTreeSet<PoolId>,
    desired: BTreeSet<Permit>,
    baseline: HashMap<PermitKey, u32>,
    listed_since: Option<Instant>,
    next_claim: Option<Instant>,
    idle_since: BTreeMap<EndpointId, Instant>,
    asks_seen: BTreeMap<InstanceId, u64>,
    leaving_endpoints: BTreeMap<EndpointId, Instant>,
    beat_seq: u64,
    last_event: Option<Instant>,
    next_check: Option<Instant>,
    quarantined: bool,
    draining: bool,
}

impl Node {
    /// Creates the node of instance `me` in availability zone `zone`. `seed` must differ between
    /// the lives of an instance.
    pub fn new(me: InstanceId, zone: ZoneId, seed: u64) -> Node {
        let members = Membership::new(me.clone());
        Node {
            entry: Entry::new(me.clone()),
            me,
            zone,
            view: View { members, topology: Arc::default(), account_shares: BTreeMap::new() },
            permits: Permits::new(seed),
            pools: BTreeMap::new(),
            peers: BTreeMap::new(),
            local: VecDeque::new(),
            actions: Vec::new(),
            dirty: BTreeSet::new(),
            desired: BTreeSet::new(),
            baseline: HashMap::new(),
            listed_since: None,
            next_claim: None,
            idle_since: BTreeMap::new(),
            asks_seen: BTreeMap::new(),
            leaving_endpoints: BTreeMap::new(),
            beat_seq: 0,
            last_event: None,
            next_check: None,
            quarantined: false,
            draining: false,
        }
    }

    /// Takes in an event and returns what is to be done about it, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.notice_pause(now);
        self.dispatch(now, event);
        self.run_local(now);
        std::mem::take(&mut self.actions)
    }

    /// After a pause others may have taken over what this instance owned.
    fn notice_pause(&mut self, now: Instant) {
        let last = self.last_event.replace(now);
        if last.is_some_and(|last| now.saturating_duration_since(last) >= PAUSE) {
            self.permits.forget();
            self.quarantined = true;
            // It may have been dropped from the list and entered again meanwhile.
            self.entry.dropped(&mut self.actions);
        }
    }

    fn dispatch(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::List(list) => self.list(now, &list),
            Event::Topology(topology) => self.configure(now, topology),
            Event::Peer { from, message } => self.message(now, &from, message),
            Event::PeerDown(id) => self.peer_down(now, &id),
            Event::Arrive(record) => self.entry.arrive(now, record, &mut self.actions),
            Event::Withdraw(request) => {
                self.entry.withdraw(&request, &mut self.actions);
            }
            Event::Finish { request, report } => {
                self.entry.finish(&request, report, &mut self.actions);
            }
            Event::Requeue { request, report } => {
                self.entry.requeue(now, &request, report, &mut self.actions);
            }
            Event::EndpointLeaving(endpoint) => self.endpoint_leaving(now, endpoint, true),
            Event::Load { endpoint, running, asked_at } => {
                self.load(&endpoint, running, asked_at);
            }
            Event::RunOver(grant) => self.permits.release(&grant, None),
            Event::Drain => self.drain(now),
        }
    }

    /// Delivers messages to this instance itself until none is left, letting the schedulers that
    /// were touched decide in between.
    fn run_local(&mut self, now: Instant) {
        loop {
            self.collect_local();
            if let Some(message) = self.local.pop_front() {
                let me = self.me.clone();
                self.message(now, &me, message);
            } else if let Some(pool) = self.dirty.pop_first() {
                if let Some(scheduler) = self.pools.get_mut(&pool) {
                    scheduler.pump(now, &self.view, &mut self.actions);
                }
            } else if !self.offer_changes() {
                return;
            }
        }
    }

    fn collect_local(&mut self) {
        let me = self.me.clone();
        let is_local = |a: &Action| matches!(a, Action::Send { to, .. } if *to == me);
        if !self.actions.iter().any(is_local) {
            return;
        }
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            match action {
                Action::Send { to, message } if to == me => self.local.push_back(message),
                other => self.actions.push(other),
            }
        }
    }

    fn message(&mut self, now: Instant, from: &InstanceId, message: Message) {
        match message {
            Message::Enqueue(r) => self.schedule(&r.pool.clone(), |s| s.enqueue(now, from, r)),
            Message::Withdraw { pool, request, attempt } => {
                self.schedule(&pool, |s| s.withdraw(&(request, attempt)));
            }
            Message::Taken { pool, request, attempt } => {
                self.schedule(&pool, |s| s.taken(&(request, attempt)));
            }
            Message::Done { pool, request, attempt, report } => {
                self.schedule(&pool, |s| s.done(now, &(request, attempt), &report));
            }
            Message::Report { pool, waiting, running } => {
                self.schedule(&pool, |s| s.report(now, from, waiting, running));
            }
            Message::Offer(offers) => {
                for offer in offers {
                    self.schedule(&offer.pool, |s| s.offer(from, &offer));
                }
            }
            Message::Denied { grant, key } => {
                self.schedule(&grant.pool, |s| s.denied(now, &grant, &key));
            }
            Message::Beat { seq, pools } => self.beaten(from, seq, pools),
            Message::BeatAck { resync, .. } => self.acked(now, from, &resync),
            Message::Grant(grant) => self.grant(now, grant),
            Message::Release { request, attempt, key } => {
                self.permits.release(&(request, attempt), Some(&key));
            }
            Message::Inquire { uses } => {
                self.entry.inquired(now, from, uses, &mut self.actions);
            }
            Message::NotUsed { uses } => uses.iter().for_each(|u| self.permits.not_used(u)),
            Message::Used { grants } => self.permits.confirm(now, &grants),
            Message::Refuse { request, attempt, reason, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.entry.refused(&(request, attempt), reason, retry_after, &mut self.actions);
            }
            Message::Floor { pool, seq, keep } => {
                self.entry.set_floor(now, from, &pool, seq, keep, &mut self.actions);
                self.beat(now, from);
            }
            Message::Claim { nonce, list, permits } => {
                self.claimed(now, from, nonce, &list, &permits);
            }
            Message::ClaimReply { nonce, held, ceded, used } => {
                self.permits.answered(from, nonce, &held, &ceded, &used);
                self.settle_claim(now);
            }
            Message::Leaving => {
                if self.view.members.mark_leaving(from) {
                    self.members_changed(now);
                }
            }
            Message::EndpointLeaving(endpoint) => self.endpoint_leaving(now, endpoint, false),
        }
    }

    /// Lets the scheduler of `pool` take something in; it decides afterwards.
    fn schedule(&mut self, pool: &PoolId, with: impl FnOnce(&mut Scheduler<Predicted>)) {
        let Some(config) = self.view.topology.pools.get(pool) else { return };
        let scheduler = self
            .pools
            .entry(pool.clone())
            .or_insert_with(|| Scheduler::new(self.me.clone(), pool.clone(), config, Predicted));
        with(scheduler);
        self.dirty.insert(pool.clone());
    }

    // Grants.

    fn grant(&mut self, now: Instant, grant: Grant) {
        match grant.hops.iter().position(|h| h.index.is_none()) {
            Some(at) if grant.hops[at].owner == self.me => self.reserve(now, grant, at),
            Some(_) => {}
            None => self.grant_arrived(grant),
        }
    }

    fn reserve(&mut self, now: Instant, mut grant: Grant, at: usize) {
        let key = grant.hops[at].key.clone();
        if matches!(key, PermitKey::Endpoint(_)) {
            let seen = self.asks_seen.entry(grant.scheduler.clone()).or_default();
            *seen = (*seen).max(grant.ask);
        }
        // For an entry that is not listed nobody would ever notice that the permit is not used.
        let listed = self.view.members.contains(&grant.entry);
        let reserved = listed.then(|| self.permits.reserve(now, &key, &grant)).flatten();
        let Some(index) = reserved else {
            self.deny(grant, key);
            return;
        };
        grant.hops[at].index = Some(index);
        let next = grant.hops.get(at + 1).map_or(&grant.entry, |h| &h.owner).clone();
        self.actions.push(Action::send(&next, Message::Grant(grant)));
    }

    fn deny(&mut self, grant: Grant, key: PermitKey) {
        for hop in grant.hops.iter().filter(|h| h.index.is_some()) {
            self.actions.push(Action::release(&hop.owner, &grant, &hop.key));
        }
        let scheduler = grant.scheduler.clone();
        self.actions.push(Action::send(&scheduler, Message::Denied { grant, key }));
    }

    /// A grant is good only if every owner that reserved for it is still listed: one that was
    /// dropped may have been replaced, and its word no longer counts.
    fn grant_arrived(&mut self, grant: Grant) {
        let listed = grant.hops.iter().all(|h| self.view.members.contains(&h.owner));
        let valid = listed && !self.quarantined && self.may_dispatch(&grant.endpoint);
        self.entry.granted(grant, valid, &mut self.actions);
    }

    /// Whether new work may be sent to an endpoint, by everything known here.
    pub fn may_dispatch(&self, endpoint: &str) -> bool {
        let pools = &self.view.topology.pools;
        let declared = pools.values().find_map(|p| p.endpoints.get(endpoint));
        declared.is_some_and(|e| !e.leaving) && !self.leaving_endpoints.contains_key(endpoint)
    }

    // Membership and configuration.

    fn list(&mut self, now: Instant, list: &InstanceList) {
        let listed = list.members.contains_key(&self.me);
        if listed {
            self.quarantined = false;
        }
        if !self.view.members.adopt(list) {
            return;
        }
        if !listed && self.listed_since.take().is_some() {
            self.permits.forget();
            self.entry.dropped(&mut self.actions);
        }
        self.members_changed(now);
    }

    fn members_changed(&mut self, now: Instant) {
        if self.draining {
            self.view.members.mark_leaving(&self.me);
        }
        let members = &self.view.members;
        if members.contains(&self.me) && self.listed_since.is_none() {
            self.listed_since = Some(now);
        }
        self.permits.orphan(now, |id| members.contains(id));
        self.permits.excuse(|id| members.contains(id));
        self.peers.retain(|id, _| members.contains(id));
        self.asks_seen.retain(|id, _| members.contains(id));
        for (pool, scheduler) in &mut self.pools {
            scheduler.retain_members(|id| members.contains(id));
            self.dirty.insert(pool.clone());
        }
        self.retarget(now);
    }

    fn configure(&mut self, now: Instant, topology: Arc<Topology>) {
        self.view.topology = topology;
        self.configure_schedulers(now);
        self.fix_baseline(now);
        self.retarget(now);
    }

    fn configure_schedulers(&mut self, now: Instant) {
        self.leaving_endpoints.retain(|_, since| now.duration_since(*since) < LEAVING_KEEP);
        for (pool, scheduler) in &mut self.pools {
            let mut config = self.view.topology.pools.get(pool).cloned().unwrap_or_default();
            for (endpoint, declared) in &mut config.endpoints {
                declared.leaving |= self.leaving_endpoints.contains_key(endpoint);
            }
            scheduler.configure(&config);
            self.dirty.insert(pool.clone());
        }
    }

    /// Remembers which permits existed before this instance could be sure to be asked about them.
    fn fix_baseline(&mut self, now: Instant) {
        let settled = self.listed_since.is_some_and(|t| now.duration_since(t) >= LIST_LAG);
        if settled {
            return;
        }
        for (key, count) in permit_counts(&self.view.topology) {
            let known = self.baseline.entry(key).or_default();
            *known = (*known).max(count);
        }
    }

    /// Works out anew who does what, after members, suspicion or configuration have changed.
    fn retarget(&mut self, now: Instant) {
        let topology = self.view.topology.clone();
        let zone = self.zone.clone();
        for (id, pool) in topology.pools.iter().filter(|(_, p)| p.zones.contains(&zone)) {
            let scheduler = self.view.members.preferred(&pool.zones, id);
            let former = self.entry.scheduler(id).cloned();
            if former == scheduler {
                continue;
            }
            self.entry.set_scheduler(now, id, scheduler, &mut self.actions);
            self.withdraw_offers(id, former);
            self.offer_pool(id);
        }
        self.retarget_permits();
        self.next_claim = Some(now);
        self.claim(now);
    }

    fn retarget_permits(&mut self) {
        let topology = self.view.topology.clone();
        let counts = permit_counts(&topology);
        self.permits.trim(|p| counts.get(&p.key).is_some_and(|n| p.index < *n));
        let members = &self.view.members;
        let mut desired = BTreeSet::new();
        for pool in topology.pools.values().filter(|p| p.zones.contains(&self.zone)) {
            let ranking = Ranking::new(members.owners(&pool.zones));
            for (endpoint, declared) in &pool.endpoints {
                let key = PermitKey::Endpoint(endpoint.clone());
                desire(&self.me, &key, declared.slots, &ranking, &mut desired);
            }
        }
        let everywhere = BTreeSet::new();
        let ranking = Ranking::new(members.owners(&everywhere));
        let mut account_shares = BTreeMap::new();
        for (account, limits) in &topology.accounts {
            let Some(limit) = limits.max_running else { continue };
            let key = PermitKey::Account(account.clone());
            let shares = desire(&self.me, &key, limit, &ranking, &mut desired);
            account_shares.insert(account.clone(), shares);
        }
        self.desired = desired;
        self.view.account_shares = account_shares;
    }

    // Claims.

    fn claim(&mut self, now: Instant) {
        if self.quarantined || self.draining || !self.view.members.contains(&self.me) {
            return;
        }
        let others: BTreeSet<InstanceId> = self.view.members.others().cloned().collect();
        let claim = self.permits.start_claim(&self.desired, others.clone());
        let Some((nonce, permits)) = claim else {
            self.next_claim = None;
            return;
        };
        for to in &others {
            let (list, permits) = (self.view.members.list().clone(), permits.clone());
            self.actions.push(Action::send(to, Message::Claim { nonce, list, permits }));
        }
        self.next_claim = Some(now + RECLAIM);
        self.settle_claim(now);
    }

    fn claimed(
        &mut self,
        now: Instant,
        from: &InstanceId,
        nonce: u64,
        list: &InstanceList,
        permits: &[Permit],
    ) {
        if self.view.members.adopt(list) {
            self.members_changed(now);
        }
        let desired = &self.desired;
        let (held, ceded) = self.permits.answer_claim(permits, |p| desired.contains(p));
        let used = self.entry.users_of(permits);
        let reply = Message::ClaimReply { nonce, held, ceded, used };
        self.actions.push(Action::send(from, reply));
    }

    fn settle_claim(&mut self, now: Instant) {
        let claimed: Vec<Permit> = self.permits.claimed().cloned().collect();
        let own = self.entry.users_of(&claimed);
        self.permits.note_own_uses(&self.me, &own);
        let baseline = &self.baseline;
        let fresh = |p: &Permit| baseline.get(&p.key).is_none_or(|n| p.index >= *n);
        self.permits.settle(now, fresh);
    }

    // Offers and heartbeats.

    /// Tells schedulers of the permits whose numbers have changed; says whether there were any.
    fn offer_changes(&mut self) -> bool {
        let changed = self.permits.take_changed();
        let mut offers: BTreeMap<InstanceId, Vec<Offer>> = BTreeMap::new();
        for endpoint in changed {
            let Some(pool) = self.view.topology.pool_of(&endpoint).cloned() else { continue };
            let Some(scheduler) = self.entry.scheduler(&pool).cloned() else { continue };
            let offer = self.offer(&pool, endpoint, &scheduler);
            offers.entry(scheduler).or_default().push(offer);
        }
        let any = !offers.is_empty();
        for (scheduler, offers) in offers {
            self.actions.push(Action::send(&scheduler, Message::Offer(offers)));
        }
        any
    }

    fn offer(&self, pool: &PoolId, endpoint: EndpointId, scheduler: &InstanceId) -> Offer {
        let (free, owned) = self.permits.count(&PermitKey::Endpoint(endpoint.clone()));
        let asks_seen = self.asks_seen.get(scheduler).copied().unwrap_or(0);
        Offer { pool: pool.clone(), endpoint, free, owned, asks_seen }
    }

    fn pool_offers(&self, pool: &PoolId, scheduler: &InstanceId) -> Vec<Offer> {
        let Some(config) = self.view.topology.pools.get(pool) else { return Vec::new() };
        let offers = config.endpoints.keys().map(|e| self.offer(pool, e.clone(), scheduler));
        offers.filter(|o| o.owned > 0).collect()
    }

    fn offer_pool(&mut self, pool: &PoolId) {
        let Some(scheduler) = self.entry.scheduler(pool).cloned() else { return };
        let offers = self.pool_offers(pool, &scheduler);
        if !offers.is_empty() {
            self.actions.push(Action::send(&scheduler, Message::Offer(offers)));
        }
    }

    fn withdraw_offers(&mut self, pool: &PoolId, former: Option<InstanceId>) {
        let Some(former) = former else { return };
        let mut offers = self.pool_offers(pool, &former);
        offers.iter_mut().for_each(|o| (o.free, o.owned) = (0, 0));
        if !offers.is_empty() {
            self.actions.push(Action::send(&former, Message::Offer(offers)));
        }
    }

    fn beat(&mut self, now: Instant, to: &InstanceId) {
        self.beat_seq += 1;
        let pools = self.entry.beats(to);
        self.actions.push(Action::send(to, Message::Beat { seq: self.beat_seq, pools }));
        if *to == self.me {
            return;
        }
        let first = Peer { beating_since: now, last_beat: None, last_ack: None };
        self.peers.entry(to.clone()).or_insert(first).last_beat = Some(now);
    }

    fn beaten(&mut self, from: &InstanceId, seq: u64, pools: Vec<crate::message::PoolBeat>) {
        let mut resync = Vec::new();
        for beat in pools {
            let mut differs = false;
            self.schedule(&beat.pool, |s| differs = s.beat(from, &beat));
            if differs {
                resync.push(beat.pool);
            }
        }
        self.actions.push(Action::send(from, Message::BeatAck { seq, resync }));
    }

    fn acked(&mut self, now: Instant, from: &InstanceId, resync: &[PoolId]) {
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

    fn peer_down(&mut self, now: Instant, id: &InstanceId) {
        if self.view.members.contains(id) && self.view.members.suspect(id) {
            self.retarget(now);
        }
    }

    // Time.

    fn tick(&mut self, now: Instant) {
        self.entry.tick(now, &mut self.actions);
        self.fix_baseline(now);
        self.beat_schedulers(now);
        self.suspect_silent(now);
        for (owner, uses) in self.permits.inquiries(now) {
            self.actions.push(Action::send(&owner, Message::Inquire { uses }));
        }
        if self.next_claim.is_some_and(|at| at <= now) {
            self.claim(now);
        }
        if self.next_check.is_none_or(|at| at <= now) {
            self.next_check = Some(now + Duration::from_secs(1));
            self.check_doubts(now);
        }
        self.dirty.extend(self.pools.keys().cloned());
    }

    /// Once a second: ask about what is in doubt, and repeat what may have been lost.
    fn check_doubts(&mut self, now: Instant) {
        let topology = self.view.topology.clone();
        self.permits.expire(now, |key| topology.max_run_of(key));
        for (endpoint, grant) in self.permits.orphans() {
            self.actions.push(Action::AskRun { endpoint, grant });
        }
        let mut doubtful = self.permits.doubtful();
        if self.permits.doubtful_accounts() {
            let pools = self.view.topology.pools.values();
            doubtful.extend(pools.flat_map(|p| p.endpoints.keys().cloned()));
        }
        self.actions.extend(doubtful.into_iter().map(Action::AskLoad));
        if self.draining {
            self.announce_leaving();
        }
        let expired = |since: &Instant| now.duration_since(*since) >= LEAVING_KEEP;
        if self.leaving_endpoints.values().any(expired) {
            self.configure_schedulers(now);
        }
    }

    fn beat_schedulers(&mut self, now: Instant) {
        let topology = self.view.topology.clone();
        let mut due: BTreeSet<InstanceId> =
            topology.pools.keys().filter_map(|p| self.entry.scheduler(p).cloned()).collect();
        due.retain(|id| self.beat_is_due(now, id, BEAT));
        let suspects: Vec<InstanceId> = self.view.members.suspects().cloned().collect();
        due.extend(suspects.into_iter().filter(|id| self.beat_is_due(now, id, PROBE_SUSPECT)));
        for id in due {
            self.beat(now, &id);
            if self.beat_seq.is_multiple_of(OFFERS_EVERY) {
                self.repeat_offers(&id);
            }
        }
    }

    fn beat_is_due(&self, now: Instant, id: &InstanceId, interval: Duration) -> bool {
        let last = self.peers.get(id).and_then(|p| p.last_beat);
        last.is_none_or(|last| now.duration_since(last) >= interval)
    }

    fn repeat_offers(&mut self, scheduler: &InstanceId) {
        let topology = self.view.topology.clone();
        for pool in topology.pools.keys() {
            if self.entry.scheduler(pool) == Some(scheduler) {
                self.offer_pool(pool);
            }
        }
    }

    fn suspect_silent(&mut self, now: Instant) {
        let silent = |p: &Peer| {
            let heard = p.last_ack.unwrap_or(p.beating_since).max(p.beating_since);
            let still_beating = p.last_beat.is_some_and(|b| now.duration_since(b) < SUSPECT);
            still_beating && now.duration_since(heard) >= SUSPECT
        };
        let silent: Vec<InstanceId> =
            self.peers.iter().filter(|(_, p)| silent(p)).map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.peer_down(now, &id);
        }
    }

    // Endpoints.

    fn endpoint_leaving(&mut self, now: Instant, endpoint: EndpointId, tell: bool) {
        if self.leaving_endpoints.insert(endpoint.clone(), now).is_none() {
            self.configure_schedulers(now);
        }
        if tell {
            for to in self.view.members.others() {
                let message = Message::EndpointLeaving(endpoint.clone());
                self.actions.push(Action::send(to, message));
            }
        }
    }

    fn load(&mut self, endpoint: &EndpointId, running: u32, asked_at: Instant) {
        let Some(shown) = asked_at.checked_sub(self.view.topology.report_lag) else { return };
        self.permits.prove(endpoint, running, shown);
        if running == 0 {
            self.idle_since.insert(endpoint.clone(), shown);
        }
        let pools = self.view.topology.pools.values();
        let mut endpoints = pools.flat_map(|p| p.endpoints.keys()).peekable();
        if endpoints.peek().is_some() {
            let idle = endpoints.map(|e| self.idle_since.get(e).copied());
            if let Some(earliest) =
                idle.collect::<Option<Vec<_>>>().and_then(|v| v.into_iter().min())
            {
                self.permits.prove_accounts(earliest);
            }
        }
        if let Some(pool) = self.view.topology.pool_of(endpoint) {
            if let Some(scheduler) = self.pools.get_mut(pool) {
                scheduler.load(endpoint, running);
            }
        }
    }

    // Stopping.

    fn drain(&mut self, now: Instant) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.announce_leaving();
        self.members_changed(now);
    }

    fn announce_leaving(&mut self) {
        for to in self.view.members.others() {
            self.actions.push(Action::send(to, Message::Leaving));
        }
    }

    /// Whether this instance is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether a stopping instance holds no request any more.
    pub fn is_drained(&self) -> bool {
        self.draining && self.entry.is_empty()
    }

    /// Whether every permit has been ceded to another instance, or no other is there to stay.
    pub fn is_ceded(&self) -> bool {
        let everywhere = BTreeSet::new();
        let heir = self.view.members.owners(&everywhere).any(|id| *id != self.me);
        self.permits.keys().next().is_none() || !heir
    }

    // Views for status pages, metrics and tests.

    /// The requests held here.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// The permits owned here.
    pub fn permits(&self) -> &Permits {
        &self.permits
    }

    /// The instances known.
    pub fn members(&self) -> &Membership {
        &self.view.members
    }

    /// The scheduler that this instance runs for a pool, if it was chosen for it.
    pub fn scheduler(&self, pool: &str) -> Option<&Scheduler<Predicted>> {
        self.pools.get(pool)
    }

    /// The configuration in use.
    pub fn topology(&self) -> &Arc<Topology> {
        &self.view.topology
    }
}

/// Adds to `desired` the permits of `key` that `me` should own, and counts everybody's.
fn desire(
    me: &InstanceId,
    key: &PermitKey,
    count: u32,
    ranking: &Ranking,
    desired: &mut BTreeSet<Permit>,
) -> Vec<(InstanceId, u32)> {
    let mut shares: BTreeMap<InstanceId, u32> = BTreeMap::new();
    let name = permit_name(key);
    for index in 0..count {
        let Some(owner) = ranking.pick(&name, index) else { continue };
        *shares.entry(owner.clone()).or_default() += 1;
        if owner == me {
            desired.insert(Permit { key: key.clone(), index });
        }
    }
    shares.into_iter().collect()
}

fn permit_counts(topology: &Topology) -> HashMap<PermitKey, u32> {
    let endpoints = topology.pools.values().flat_map(|p| &p.endpoints);
    let endpoints = endpoints.map(|(id, e)| (PermitKey::Endpoint(id.clone()), e.slots));
    let accounts = topology.accounts.iter().filter_map(|(id, a)| Some((id, a.max_running?)));
    endpoints.chain(accounts.map(|(id, n)| (PermitKey::Account(id.clone()), n))).collect()
}

fn permit_name(key: &PermitKey) -> String {
    match key {
        PermitKey::Endpoint(id) => format!("endpoint/{id}"),
        PermitKey::Account(id) => format!("account/{id}"),
    }
}
