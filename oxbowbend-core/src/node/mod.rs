//! The state machine of one instance, which composes the other modules.
//!
//! A [`Node`] takes events and returns actions. Messages to itself are handled internally, so an
//! instance that schedules its own requests needs no round trip. A gap between two events reveals
//! that the process was paused; the node then discards its permits, since others may own them.

mod assignment;
mod claims;
mod heartbeats;
mod maintenance;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids;
use crate::ingress;
use crate::membership;
use crate::message;
use crate::permits;
use crate::scheduler::{self, Directory};
use crate::selection;
use crate::topology;

/// Maximum time between two [`Event::Tick`]s.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two events that counts as a pause. The platform must take longer than this to
/// remove an instance from its list.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// Time between heartbeats to a scheduler.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat acknowledgement after which an instance is suspected to have failed.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between heartbeats to a suspected instance.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of heartbeats after which all offers are repeated.
const HEARTBEATS_PER_OFFER: u64 = 4;
/// Time after which a claim that left permits open is repeated.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which an endpoint counts as leaving after it announced its shutdown.
const LEAVING_TTL: Duration = Duration::from_secs(30);
/// Maximum staleness of the platform's list. Until an instance has been listed for this long,
/// others may have made claims without asking it.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(10);

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due at least every [`TICK_INTERVAL`].
    Tick,
    /// A new version of the platform's instance list.
    List(membership::InstanceList),
    /// A new configuration.
    Topology(Arc<topology::Topology>),
    /// A message from another instance.
    Peer {
        /// Sender.
        from: ids::InstanceId,
        /// The message.
        message: message::Message,
    },
    /// Another instance refused or closed a connection.
    PeerDown(ids::InstanceId),
    /// A new request is ready to be scheduled.
    Arrive(message::RequestInfo),
    /// A waiting request was cancelled by its caller or by the daemon.
    Withdraw(ids::RequestId),
    /// A run ended, successfully or not.
    Finish {
        /// The request.
        request: ids::RequestId,
        /// Measurements of the run.
        report: message::RunReport,
    },
    /// A granted run did not start, so the request waits again.
    Requeue {
        /// The request.
        request: ids::RequestId,
        /// Measurements of the attempt.
        report: message::RunReport,
    },
    /// An endpoint announced that it is shutting down.
    EndpointLeaving(ids::EndpointId),
    /// The load reported by an endpoint.
    Load {
        /// The endpoint.
        endpoint: ids::EndpointId,
        /// Requests running or waiting there.
        running: u32,
        /// When the report was requested.
        requested_at: Instant,
    },
    /// An orphaned run has ended or never reached its endpoint.
    RunEnded(message::GrantId),
    /// The instance is shutting down.
    Drain,
}

/// An output of the state machine.
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
    /// Refuse a request that was not run.
    Refuse {
        /// The request.
        request: ids::RequestId,
        /// Reason for the refusal.
        reason: message::RefusalReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Ask an endpoint whether a run has ended whose ingress instance is gone.
    QueryRun {
        /// The endpoint.
        endpoint: ids::EndpointId,
        /// The run.
        grant: message::GrantId,
    },
    /// Ask an endpoint for its load.
    QueryLoad(ids::EndpointId),
}

impl Action {
    pub(crate) fn send(to: &ids::InstanceId, message: message::Message) -> Action {
        Action::Send { to: to.clone(), message }
    }

    pub(crate) fn refuse(
        request: ids::RequestId,
        reason: message::RefusalReason,
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

/// Heartbeats exchanged with another instance.
#[derive(Clone, Debug)]
struct Peer {
    heartbeats_since: Instant,
    last_heartbeat: Option<Instant>,
    last_ack: Option<Instant>,
}

/// The members and the configuration known to this instance.
#[derive(Clone, Debug)]
struct ClusterView {
    members: membership::Membership,
    topology: Arc<topology::Topology>,
    account_owners: BTreeMap<ids::AccountId, Vec<(ids::InstanceId, u32)>>,
}

impl Directory for ClusterView {
    fn account_owners(&self, account: &ids::AccountId) -> Option<&[(ids::InstanceId, u32)]> {
        self.account_owners.get(account).map(Vec::as_slice)
    }

    fn ingress_instances(&self, pool: &ids::PoolId) -> Vec<ids::InstanceId> {
        let Some(pool) = self.topology.pools.get(pool) else { return Vec::new() };
        let members = &self.members.list().members;
        members
            .iter()
            .filter(|(_, m)| pool.zones.contains(&m.zone))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn is_lowest_tier(&self, tier: ids::TierLevel) -> bool {
        tier >= self.topology.lowest_tier
    }
}

/// The state machine of one instance.
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
    view: ClusterView,
    permits: permits::Permits,
    ingress: ingress::Ingress,
    schedulers: BTreeMap<ids::PoolId, scheduler::Scheduler<selection::EarliestFinish>>,
    peers: BTreeMap<ids::InstanceId, Peer>,
    local_messages: VecDeque<message::Message>,
    actions: Vec<Action>,
    dirty_pools: BTreeSet<ids::PoolId>,
    desired: BTreeSet<message::Permit>,
    /// Number of permits of each key that others may have used before this instance joined.
    preexisting: HashMap<message::PermitKey, u32>,
    listed_since: Option<Instant>,
    next_claim: Option<Instant>,
    idle_since: BTreeMap<ids::EndpointId, Instant>,
    last_grant_seq: BTreeMap<ids::InstanceId, u64>,
    leaving_endpoints: BTreeMap<ids::EndpointId, Instant>,
    heartbeat_seq: u64,
    last_event: Option<Instant>,
    next_in_doubt_check: Option<Instant>,
    /// Set after a pause, until the list names this instance. A fenced node accepts no grants and
    /// makes no claims.
    fenced: bool,
    draining: bool,
}

impl Node {
    /// Creates the node of instance `me` in availability zone `zone`. `seed` must differ between
    /// restarts of an instance.
    pub fn new(me: ids::InstanceId, zone: ids::ZoneId, seed: u64) -> Node {
        let members = membership::Membership::new(me.clone());
        Node {
            ingress: ingress::Ingress::new(me.clone()),
            me,
            zone,
            view: ClusterView {
                members,
                topology: Arc::default(),
                account_owners: BTreeMap::new(),
            },
            permits: permits::Permits::new(seed),
            schedulers: BTreeMap::new(),
            peers: BTreeMap::new(),
            local_messages: VecDeque::new(),
            actions: Vec::new(),
            dirty_pools: BTreeSet::new(),
            desired: BTreeSet::new(),
            preexisting: HashMap::new(),
            listed_since: None,
            next_claim: None,
            idle_since: BTreeMap::new(),
            last_grant_seq: BTreeMap::new(),
            leaving_endpoints: BTreeMap::new(),
            heartbeat_seq: 0,
            last_event: None,
            next_in_doubt_check: None,
            fenced: false,
            draining: false,
        }
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        self.dispatch(now, event);
        self.process_local(now);
        std::mem::take(&mut self.actions)
    }

    /// Discards all permits after a pause, in which others may have taken them over.
    fn detect_pause(&mut self, now: Instant) {
        let last = self.last_event.replace(now);
        if last.is_some_and(|last| now.saturating_duration_since(last) >= PAUSE_THRESHOLD) {
            self.permits.discard_all();
            self.fenced = true;
            // The list may have dropped this instance and added it again during the pause.
            self.ingress.handle_delisted(&mut self.actions);
        }
    }

    fn dispatch(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::List(list) => self.handle_list(now, &list),
            Event::Topology(topology) => self.configure(now, topology),
            Event::Peer { from, message } => self.handle_message(now, &from, message),
            Event::PeerDown(id) => self.handle_peer_down(now, &id),
            Event::Arrive(info) => self.ingress.arrive(now, info, &mut self.actions),
            Event::Withdraw(request) => {
                self.ingress.withdraw(&request, &mut self.actions);
            }
            Event::Finish { request, report } => {
                self.ingress.finish(&request, report, &mut self.actions);
            }
            Event::Requeue { request, report } => {
                self.ingress.requeue(now, &request, report, &mut self.actions);
            }
            Event::EndpointLeaving(endpoint) => self.handle_endpoint_leaving(now, endpoint, true),
            Event::Load { endpoint, running, requested_at } => {
                self.handle_load(&endpoint, running, requested_at);
            }
            Event::RunEnded(grant) => self.permits.release(&grant, None),
            Event::Drain => self.drain(now),
        }
    }

    /// Delivers messages from this instance to itself and runs the affected schedulers, until there
    /// is nothing left to do.
    fn process_local(&mut self, now: Instant) {
        loop {
            self.queue_local();
            if let Some(message) = self.local_messages.pop_front() {
                let me = self.me.clone();
                self.handle_message(now, &me, message);
            } else if let Some(pool) = self.dirty_pools.pop_first() {
                if let Some(scheduler) = self.schedulers.get_mut(&pool) {
                    scheduler.schedule(now, &self.view, &mut self.actions);
                }
            } else if !self.send_changed_offers() {
                return;
            }
        }
    }

    fn queue_local(&mut self) {
        let me = self.me.clone();
        let is_local = |a: &Action| matches!(a, Action::Send { to, .. } if *to == me);
        if !self.actions.iter().any(is_local) {
            return;
        }
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            match action {
                Action::Send { to, message } if to == me => self.local_messages.push_back(message),
                other => self.actions.push(other),
            }
        }
    }

    fn handle_message(&mut self, now: Instant, from: &ids::InstanceId, message: message::Message) {
        match message {
            message::Message::Enqueue(r) => {
                self.with_scheduler(&r.pool.clone(), |s| s.enqueue(now, from, r))
            }
            message::Message::Withdraw { pool, request, attempt } => {
                self.with_scheduler(&pool, |s| s.handle_withdraw(&(request, attempt)));
            }
            message::Message::Accepted { pool, request, attempt } => {
                self.with_scheduler(&pool, |s| s.handle_accepted(&(request, attempt)));
            }
            message::Message::Done { pool, request, attempt, report } => {
                self.with_scheduler(&pool, |s| s.handle_done(now, &(request, attempt), &report));
            }
            message::Message::Snapshot { pool, waiting, running } => {
                self.with_scheduler(&pool, |s| s.handle_snapshot(now, from, waiting, running));
            }
            message::Message::Offer(offers) => {
                for offer in offers {
                    self.with_scheduler(&offer.pool, |s| s.handle_offer(from, &offer));
                }
            }
            message::Message::Denied { grant, key } => {
                self.with_scheduler(&grant.pool, |s| s.handle_denied(now, &grant, &key));
            }
            message::Message::Heartbeat { seq, pools } => self.handle_heartbeat(from, seq, pools),
            message::Message::HeartbeatAck { resync, .. } => {
                self.handle_heartbeat_ack(now, from, &resync)
            }
            message::Message::Grant(grant) => self.handle_grant(now, grant),
            message::Message::Release { request, attempt, key } => {
                self.permits.release(&(request, attempt), Some(&key));
            }
            message::Message::QueryUsage { uses } => {
                self.ingress.handle_usage_query(now, from, uses, &mut self.actions);
            }
            message::Message::NotInUse { uses } => {
                uses.iter().for_each(|u| self.permits.handle_not_in_use(u))
            }
            message::Message::InUse { grants } => self.permits.confirm_use(now, &grants),
            message::Message::Refuse { request, attempt, reason, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.ingress.handle_refusal(
                    &(request, attempt),
                    reason,
                    retry_after,
                    &mut self.actions,
                );
            }
            message::Message::ShedThreshold { pool, seq, lowest_kept } => {
                self.ingress.handle_shed_threshold(
                    now,
                    from,
                    &pool,
                    seq,
                    lowest_kept,
                    &mut self.actions,
                );
                self.send_heartbeat(now, from);
            }
            message::Message::Claim { nonce, list, permits } => {
                self.handle_claim(now, from, nonce, &list, &permits);
            }
            message::Message::ClaimReply { nonce, held, ceded, used } => {
                self.permits.handle_claim_reply(from, nonce, &held, &ceded, &used);
                self.complete_claim(now);
            }
            message::Message::Leaving => {
                if self.view.members.mark_leaving(from) {
                    self.handle_member_change(now);
                }
            }
            message::Message::EndpointLeaving(endpoint) => {
                self.handle_endpoint_leaving(now, endpoint, false)
            }
        }
    }

    /// Applies `update` to the scheduler of `pool`, which is created if needed, and marks the pool
    /// as dirty.
    fn with_scheduler(
        &mut self,
        pool: &ids::PoolId,
        update: impl FnOnce(&mut scheduler::Scheduler<selection::EarliestFinish>),
    ) {
        if !self.view.topology.pools.contains_key(pool) {
            return;
        }
        if !self.schedulers.contains_key(pool) {
            let config = self.pool_config(pool);
            let me = self.me.clone();
            let new =
                scheduler::Scheduler::new(me, pool.clone(), &config, selection::EarliestFinish);
            self.schedulers.insert(pool.clone(), new);
        }
        if let Some(scheduler) = self.schedulers.get_mut(pool) {
            update(scheduler);
        }
        self.dirty_pools.insert(pool.clone());
    }

    fn handle_grant(&mut self, now: Instant, grant: message::Grant) {
        match grant.hops.iter().position(|h| h.index.is_none()) {
            Some(at) if grant.hops[at].owner == self.me => self.reserve(now, grant, at),
            Some(_) => {}
            None => self.deliver_grant(grant),
        }
    }

    fn reserve(&mut self, now: Instant, mut grant: message::Grant, at: usize) {
        let key = grant.hops[at].key.clone();
        if matches!(key, message::PermitKey::Endpoint(_)) {
            let seen = self.last_grant_seq.entry(grant.scheduler.clone()).or_default();
            *seen = (*seen).max(grant.seq);
        }
        // A permit reserved for an unlisted ingress instance would never be released.
        let listed = self.view.members.contains(&grant.ingress);
        let reserved = listed.then(|| self.permits.reserve(now, &key, &grant)).flatten();
        let Some(index) = reserved else {
            self.deny(grant, key);
            return;
        };
        grant.hops[at].index = Some(index);
        let next = grant.hops.get(at + 1).map_or(&grant.ingress, |h| &h.owner).clone();
        self.actions.push(Action::send(&next, message::Message::Grant(grant)));
    }

    fn deny(&mut self, grant: message::Grant, key: message::PermitKey) {
        for hop in grant.hops.iter().filter(|h| h.index.is_some()) {
            self.actions.push(Action::release(&hop.owner, &grant, &hop.key));
        }
        let scheduler = grant.scheduler.clone();
        self.actions.push(Action::send(&scheduler, message::Message::Denied { grant, key }));
    }

    /// Passes a fully reserved grant to the ingress state.
    ///
    /// The grant is valid only if all owners that reserved permits for it are still listed, since
    /// the permits of an unlisted owner may have been taken over.
    fn deliver_grant(&mut self, grant: message::Grant) {
        let listed = grant.hops.iter().all(|h| self.view.members.contains(&h.owner));
        let valid = listed && !self.fenced && self.may_dispatch(&grant.endpoint);
        self.ingress.handle_grant(grant, valid, &mut self.actions);
    }

    /// Whether new requests may be sent to an endpoint.
    pub fn may_dispatch(&self, endpoint: &str) -> bool {
        let pools = &self.view.topology.pools;
        let declared = pools.values().find_map(|p| p.endpoints.get(endpoint));
        declared.is_some_and(|e| !e.leaving) && !self.leaving_endpoints.contains_key(endpoint)
    }

    /// The requests held by this instance.
    pub fn ingress(&self) -> &ingress::Ingress {
        &self.ingress
    }

    /// The permits owned by this instance.
    pub fn permits(&self) -> &permits::Permits {
        &self.permits
    }

    /// The known members.
    pub fn members(&self) -> &membership::Membership {
        &self.view.members
    }

    /// The scheduler of a pool, if it runs on this instance.
    pub fn scheduler(
        &self,
        pool: &str,
    ) -> Option<&scheduler::Scheduler<selection::EarliestFinish>> {
        self.schedulers.get(pool)
    }

    /// The current configuration.
    pub fn topology(&self) -> &Arc<topology::Topology> {
        &self.view.topology
    }
}
