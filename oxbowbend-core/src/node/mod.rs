//! Everything that one instance decides, composed of its parts.
//!
//! A [`Node`] is fed events and returns actions. Messages to itself never leave it, so an instance
//! that schedules its own requests pays no round trip. The node also watches its own clock: a gap
//! between two events means that the process was paused, and then it trusts nothing it owned.

mod beats;
mod claims;
mod duties;
mod upkeep;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry;
use crate::ids;
use crate::membership;
use crate::message;
use crate::permits;
use crate::scheduler::{self, Directory};
use crate::selection;
use crate::topology;

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
    List(membership::InstanceList),
    /// The configuration has changed.
    Topology(Arc<topology::Topology>),
    /// A message came from another instance.
    Peer {
        /// Sender.
        from: ids::InstanceId,
        /// The message.
        message: message::Message,
    },
    /// Another instance refused a connection or cut it.
    PeerDown(ids::InstanceId),
    /// A caller's request came in and is ready to be scheduled.
    Arrive(message::Record),
    /// A caller went away, or the daemon gave its waiting request up.
    Withdraw(ids::RequestId),
    /// A run ended, well or badly.
    Finish {
        /// The request.
        request: ids::RequestId,
        /// What was seen of the run.
        report: message::RunReport,
    },
    /// A run never began, though granted; the request waits again.
    Requeue {
        /// The request.
        request: ids::RequestId,
        /// What was seen.
        report: message::RunReport,
    },
    /// An endpoint itself said that it is leaving.
    EndpointLeaving(ids::EndpointId),
    /// An endpoint's report of its load.
    Load {
        /// The endpoint.
        endpoint: ids::EndpointId,
        /// Requests running or waiting there.
        running: u32,
        /// When the request for the report was sent.
        asked_at: Instant,
    },
    /// An orphaned run is known to be over, or never to have reached its endpoint.
    RunOver(message::GrantRef),
    /// The instance is stopping.
    Drain,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another instance.
    Send {
        /// Receiver.
        to: ids::InstanceId,
        /// The message.
        message: message::Message,
    },
    /// Dispatch a request held here to the endpoint named in the grant.
    Dispatch(message::Grant),
    /// Give a caller its final answer: the request was not run.
    Refuse {
        /// The request.
        request: ids::RequestId,
        /// Why.
        reason: message::Refusal,
        /// When to come back.
        retry_after: Duration,
    },
    /// Ask an endpoint whether a run whose entry instance is gone is over.
    AskRun {
        /// The endpoint.
        endpoint: ids::EndpointId,
        /// The run.
        grant: message::GrantRef,
    },
    /// Ask an endpoint for its load.
    AskLoad(ids::EndpointId),
}

impl Action {
    pub(crate) fn send(to: &ids::InstanceId, message: message::Message) -> Action {
        Action::Send { to: to.clone(), message }
    }

    pub(crate) fn refuse(
        request: ids::RequestId,
        reason: message::Refusal,
        retry_after: Duration,
    ) -> Action {
        Action::Refuse { request, reason, retry_after }
    }

    pub(crate) fn release(
        to: &ids::InstanceId,
        grant: &message::Grant,
        key: &message::PermitKey,
    ) -> Action {
        let (request, attempt) = (grant.request.clone(), grant.attempt);
        Action::send(to, message::Message::Release { request, attempt, key: key.clone() })
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
    members: membership::Membership,
    topology: Arc<topology::Topology>,
    account_shares: BTreeMap<ids::AccountId, Vec<(ids::InstanceId, u32)>>,
}

impl Directory for View {
    fn account_owners(&self, account: &ids::AccountId) -> Option<&[(ids::InstanceId, u32)]> {
        self.account_shares.get(account).map(Vec::as_slice)
    }

    fn entries(&self, pool: &ids::PoolId) -> Vec<ids::InstanceId> {
        let Some(pool) = self.topology.pools.get(pool) else { return Vec::new() };
        let members = &self.members.list().members;
        members
            .iter()
            .filter(|(_, m)| pool.zones.contains(&m.zone))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn is_lowest(&self, tier: ids::TierLevel) -> bool {
        tier >= self.topology.lowest_tier
    }
}

/// One instance's decisions.
///
/// ```
/// use std::time::Instant;
/// use oxbowbend_core::membership::{InstanceList, Member};
/// use oxbowbend_core::node::{Event, Node};
/// let now = Instant::now();
/// let mut node = Node::new("a".into(), "zone".into(), 1);
/// let member = Member { zone: "zone".into(), address: "10.0.0.1:1".into(), leaving: false };
/// let list = InstanceList { version: 1, members: [("a".into(), member)].into() };
/// node.handle(now, Event::List(list));
/// assert!(node.members().contains("a"));
/// ```
#[derive(Clone, Debug)]
pub struct Node {
    me: ids::InstanceId,
    zone: ids::ZoneId,
    view: View,
    permits: permits::Permits,
    entry: entry::Entry,
    pools: BTreeMap<ids::PoolId, scheduler::Scheduler<selection::EarliestFinish>>,
    peers: BTreeMap<ids::InstanceId, Peer>,
    local: VecDeque<message::Message>,
    actions: Vec<Action>,
    dirty: BTreeSet<ids::PoolId>,
    desired: BTreeSet<message::Permit>,
    baseline: HashMap<message::PermitKey, u32>,
    listed_since: Option<Instant>,
    next_claim: Option<Instant>,
    idle_since: BTreeMap<ids::EndpointId, Instant>,
    asks_seen: BTreeMap<ids::InstanceId, u64>,
    leaving_endpoints: BTreeMap<ids::EndpointId, Instant>,
    beat_seq: u64,
    last_event: Option<Instant>,
    next_check: Option<Instant>,
    quarantined: bool,
    draining: bool,
}

impl Node {
    /// Creates the node of instance `me` in availability zone `zone`. `seed` must differ between
    /// the lives of an instance.
    pub fn new(me: ids::InstanceId, zone: ids::ZoneId, seed: u64) -> Node {
        let members = membership::Membership::new(me.clone());
        Node {
            entry: entry::Entry::new(me.clone()),
            me,
            zone,
            view: View { members, topology: Arc::default(), account_shares: BTreeMap::new() },
            permits: permits::Permits::new(seed),
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

    fn message(&mut self, now: Instant, from: &ids::InstanceId, message: message::Message) {
        match message {
            message::Message::Enqueue(r) => {
                self.schedule(&r.pool.clone(), |s| s.enqueue(now, from, r))
            }
            message::Message::Withdraw { pool, request, attempt } => {
                self.schedule(&pool, |s| s.withdraw(&(request, attempt)));
            }
            message::Message::Taken { pool, request, attempt } => {
                self.schedule(&pool, |s| s.taken(&(request, attempt)));
            }
            message::Message::Done { pool, request, attempt, report } => {
                self.schedule(&pool, |s| s.done(now, &(request, attempt), &report));
            }
            message::Message::Report { pool, waiting, running } => {
                self.schedule(&pool, |s| s.report(now, from, waiting, running));
            }
            message::Message::Offer(offers) => {
                for offer in offers {
                    self.schedule(&offer.pool, |s| s.offer(from, &offer));
                }
            }
            message::Message::Denied { grant, key } => {
                self.schedule(&grant.pool, |s| s.denied(now, &grant, &key));
            }
            message::Message::Beat { seq, pools } => self.beaten(from, seq, pools),
            message::Message::BeatAck { resync, .. } => self.acked(now, from, &resync),
            message::Message::Grant(grant) => self.grant(now, grant),
            message::Message::Release { request, attempt, key } => {
                self.permits.release(&(request, attempt), Some(&key));
            }
            message::Message::Inquire { uses } => {
                self.entry.inquired(now, from, uses, &mut self.actions);
            }
            message::Message::NotUsed { uses } => {
                uses.iter().for_each(|u| self.permits.not_used(u))
            }
            message::Message::Used { grants } => self.permits.confirm(now, &grants),
            message::Message::Refuse { request, attempt, reason, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.entry.refused(&(request, attempt), reason, retry_after, &mut self.actions);
            }
            message::Message::Floor { pool, seq, keep } => {
                self.entry.set_floor(now, from, &pool, seq, keep, &mut self.actions);
                self.beat(now, from);
            }
            message::Message::Claim { nonce, list, permits } => {
                self.claimed(now, from, nonce, &list, &permits);
            }
            message::Message::ClaimReply { nonce, held, ceded, used } => {
                self.permits.answered(from, nonce, &held, &ceded, &used);
                self.settle_claim(now);
            }
            message::Message::Leaving => {
                if self.view.members.mark_leaving(from) {
                    self.members_changed(now);
                }
            }
            message::Message::EndpointLeaving(endpoint) => {
                self.endpoint_leaving(now, endpoint, false)
            }
        }
    }

    /// Lets the scheduler of `pool` take something in; it decides afterwards.
    fn schedule(
        &mut self,
        pool: &ids::PoolId,
        with: impl FnOnce(&mut scheduler::Scheduler<selection::EarliestFinish>),
    ) {
        if !self.view.topology.pools.contains_key(pool) {
            return;
        }
        if !self.pools.contains_key(pool) {
            let config = self.pool_config(pool);
            let me = self.me.clone();
            let new =
                scheduler::Scheduler::new(me, pool.clone(), &config, selection::EarliestFinish);
            self.pools.insert(pool.clone(), new);
        }
        if let Some(scheduler) = self.pools.get_mut(pool) {
            with(scheduler);
        }
        self.dirty.insert(pool.clone());
    }

    fn grant(&mut self, now: Instant, grant: message::Grant) {
        match grant.hops.iter().position(|h| h.index.is_none()) {
            Some(at) if grant.hops[at].owner == self.me => self.reserve(now, grant, at),
            Some(_) => {}
            None => self.grant_arrived(grant),
        }
    }

    fn reserve(&mut self, now: Instant, mut grant: message::Grant, at: usize) {
        let key = grant.hops[at].key.clone();
        if matches!(key, message::PermitKey::Endpoint(_)) {
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
        self.actions.push(Action::send(&next, message::Message::Grant(grant)));
    }

    fn deny(&mut self, grant: message::Grant, key: message::PermitKey) {
        for hop in grant.hops.iter().filter(|h| h.index.is_some()) {
            self.actions.push(Action::release(&hop.owner, &grant, &hop.key));
        }
        let scheduler = grant.scheduler.clone();
        self.actions.push(Action::send(&scheduler, message::Message::Denied { grant, key }));
    }

    /// A grant is good only if every owner that reserved for it is still listed: one that was
    /// dropped may have been replaced, and its word no longer counts.
    fn grant_arrived(&mut self, grant: message::Grant) {
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

    /// The requests held here.
    pub fn entry(&self) -> &entry::Entry {
        &self.entry
    }

    /// The permits owned here.
    pub fn permits(&self) -> &permits::Permits {
        &self.permits
    }

    /// The instances known.
    pub fn members(&self) -> &membership::Membership {
        &self.view.members
    }

    /// The scheduler that this instance runs for a pool, if it was chosen for it.
    pub fn scheduler(
        &self,
        pool: &str,
    ) -> Option<&scheduler::Scheduler<selection::EarliestFinish>> {
        self.pools.get(pool)
    }

    /// The configuration in use.
    pub fn topology(&self) -> &Arc<topology::Topology> {
        &self.view.topology
    }
}
