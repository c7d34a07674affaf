//! Request scheduling for one pool.
//!
//! A scheduler receives a summary of every request waiting in its pool, whichever instance holds
//! it, and decides which request runs next, on which endpoint, and which are refused. It persists
//! nothing: a new scheduler rebuilds its state from the snapshots that ingress instances send
//! within one heartbeat interval. It owns no permits, so a permit owner or the ingress instance
//! rejects any wrong or outdated decision.

mod account;
mod decide;
mod endpoint;
mod shed;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::ids;
use crate::ingress;
use crate::message;
use crate::queue;
use crate::selection::SelectionPolicy;
use crate::topology;
use account::AccountUsage;
use endpoint::{EndpointState, OwnerOffer};

/// Time to wait for a reply to a grant or refusal before it is considered lost and retried.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after sending a shed threshold the scheduler relies on an instance that confirms it.
pub const THRESHOLD_CONFIRMATION_TTL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq)]
enum State {
    Queued,
    Granted { index: usize, owner: ids::InstanceId, seq: u64, sent_at: Instant },
    Running { index: usize },
    Refused { reason: message::RefusalReason, retry_after_ms: u64, sent_at: Instant },
}

#[derive(Clone, Debug)]
struct TrackedRequest {
    info: message::RequestInfo,
    ingress: ids::InstanceId,
    deadline: Instant,
    account_owner: Option<ids::InstanceId>,
    times_skipped: u32,
    state: State,
}

/// The last state reported by an ingress instance.
///
/// `digest` covers the messages received from the instance, so that a mismatch with the digest in
/// its heartbeat reveals lost messages.
#[derive(Clone, Debug, Default)]
struct IngressState {
    digest: u64,
    threshold_seq: u64,
}

#[derive(Clone, Debug)]
struct ShedThreshold {
    lowest_kept: ids::TierLevel,
    sent_at: BTreeMap<u64, Instant>,
    renewed_at: Instant,
}

/// A scheduler's view of the cluster.
pub trait Directory {
    /// The owners of the account's permits and how many each owns, or `None` if it has no limit.
    fn account_owners(&self, account: &ids::AccountId) -> Option<&[(ids::InstanceId, u32)]>;
    /// Instances that may hold requests of the pool.
    fn ingress_instances(&self, pool: &ids::PoolId) -> Vec<ids::InstanceId>;
    /// Whether no declared tier is lower than `tier`.
    fn is_lowest_tier(&self, tier: ids::TierLevel) -> bool;
}

/// The scheduler of one pool.
///
/// ```
/// use oxbowbend_core::selection::EarliestFinish;
/// use oxbowbend_core::scheduler::Scheduler;
/// use oxbowbend_core::topology::Pool;
/// let scheduler = Scheduler::new("a".into(), "p/m".into(), &Pool::default(), EarliestFinish);
/// assert_eq!(scheduler.waiting(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Scheduler<C> {
    me: ids::InstanceId,
    pool: ids::PoolId,
    queue_bound: usize,
    prefill_bias: f64,
    choose: C,
    requests: HashMap<ids::RequestId, TrackedRequest>,
    queue: queue::Queue,
    /// Never shrinks, so that indices stay valid.
    endpoints: Vec<EndpointState>,
    ingress_states: BTreeMap<ids::InstanceId, IngressState>,
    grant_seq: BTreeMap<ids::InstanceId, u64>,
    account_usage: HashMap<ids::AccountId, AccountUsage>,
    deadlines: BTreeSet<(Instant, ids::RequestId)>,
    shed_threshold: Option<ShedThreshold>,
    last_threshold_seq: u64,
    /// Requests with a grant or refusal that was not answered, by the time it was sent.
    unanswered: BTreeSet<(Instant, ids::RequestId)>,
    endpoint_index: HashMap<ids::EndpointId, usize>,
    /// Indices of endpoints with free permits, the only ones considered for a grant.
    available: BTreeSet<usize>,
    total_slots: u32,
    cached_fastest: Option<(Instant, f64)>,
}

impl<C: SelectionPolicy> Scheduler<C> {
    /// Creates a scheduler without requests or permits.
    pub fn new(
        me: ids::InstanceId,
        pool: ids::PoolId,
        config: &topology::Pool,
        choose: C,
    ) -> Scheduler<C> {
        let mut scheduler = Scheduler {
            me,
            pool,
            queue_bound: config.queue_bound,
            prefill_bias: config.prefill_bias,
            choose,
            requests: HashMap::new(),
            queue: queue::Queue::default(),
            endpoints: Vec::new(),
            ingress_states: BTreeMap::new(),
            grant_seq: BTreeMap::new(),
            account_usage: HashMap::new(),
            deadlines: BTreeSet::new(),
            shed_threshold: None,
            last_threshold_seq: 0,
            unanswered: BTreeSet::new(),
            endpoint_index: HashMap::new(),
            available: BTreeSet::new(),
            total_slots: 0,
            cached_fastest: None,
        };
        scheduler.configure(config);
        scheduler
    }

    /// Applies a new configuration and keeps the estimates of endpoints that remain.
    ///
    /// Endpoints are never removed, so that indices stay valid. Those that are no longer configured
    /// are marked as leaving.
    pub fn configure(&mut self, config: &topology::Pool) {
        self.queue_bound = config.queue_bound;
        self.prefill_bias = config.prefill_bias;
        for endpoint in &mut self.endpoints {
            match config.endpoints.get(&endpoint.id) {
                Some(endpoint_config) => endpoint.config = endpoint_config.clone(),
                None => endpoint.config.leaving = true,
            }
        }
        for (id, endpoint_config) in &config.endpoints {
            if !self.endpoint_index.contains_key(id) {
                self.endpoint_index.insert(id.clone(), self.endpoints.len());
                self.endpoints.push(EndpointState::new(id.clone(), endpoint_config.clone()));
            }
        }
        let staying = self.endpoints.iter().filter(|e| !e.config.leaving);
        self.total_slots = staying.map(|e| e.config.slots).sum();
        self.cached_fastest = None;
    }

    /// Recomputes the number of free permits at an endpoint after its offers have changed.
    fn update_free(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.free = endpoint.offers.values().map(OwnerOffer::available).sum();
        if endpoint.free > 0 {
            self.available.insert(index);
        } else {
            self.available.remove(&index);
        }
    }

    /// Endpoints with free permits that accept requests.
    fn available_endpoints(&self, now: Instant) -> impl Iterator<Item = (usize, &EndpointState)> {
        let available = self.available.iter().map(|index| (*index, &self.endpoints[*index]));
        available.filter(move |(_, e)| e.is_usable(now))
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Adds a waiting request, or replaces an older attempt of it.
    pub fn enqueue(&mut self, now: Instant, from: &ids::InstanceId, info: message::RequestInfo) {
        let id = info.id.clone();
        if let Some(tracked) = self.requests.get(&id) {
            if tracked.info.attempt >= info.attempt {
                return;
            }
            self.remove(&id);
        }
        self.toggle_digest(from, &info, false);
        let deadline = now + Duration::from_millis(info.due_in_ms);
        self.queue.push(queued_request(&info));
        self.deadlines.insert((deadline, id.clone()));
        let ingress = from.clone();
        let tracked = TrackedRequest {
            info,
            ingress,
            deadline,
            account_owner: None,
            times_skipped: 0,
            state: State::Queued,
        };
        self.requests.insert(id, tracked);
    }

    fn toggle_digest(
        &mut self,
        ingress: &ids::InstanceId,
        info: &message::RequestInfo,
        running: bool,
    ) {
        let ingress_state = self.ingress_states.entry(ingress.clone()).or_default();
        ingress_state.digest ^= ingress::request_digest(&info.id, info.attempt, running);
    }

    /// Removes a request and all state that depends on it.
    fn remove(&mut self, id: &str) -> Option<TrackedRequest> {
        let tracked = self.requests.remove(id)?;
        self.queue.remove(id);
        self.deadlines.remove(&(tracked.deadline, tracked.info.id.clone()));
        self.clear_state(&tracked);
        if let Some(owner) = &tracked.account_owner {
            self.account_usage.entry(tracked.info.account.clone()).or_default().release(owner);
        }
        let running = matches!(tracked.state, State::Running { .. });
        self.toggle_digest(&tracked.ingress, &tracked.info, running);
        Some(tracked)
    }

    fn clear_state(&mut self, tracked: &TrackedRequest) {
        match &tracked.state {
            State::Granted { index, owner, seq, sent_at } => {
                self.unanswered.remove(&(*sent_at, tracked.info.id.clone()));
                self.remove_in_flight(*index, owner, *seq);
                self.endpoints[*index].running -= 1;
            }
            State::Running { index } => self.endpoints[*index].running -= 1,
            State::Refused { sent_at, .. } => {
                self.unanswered.remove(&(*sent_at, tracked.info.id.clone()));
            }
            State::Queued => {}
        }
    }

    fn remove_in_flight(&mut self, index: usize, owner: &ids::InstanceId, seq: u64) {
        if let Some(owner_offer) = self.endpoints[index].offers.get_mut(owner) {
            owner_offer.in_flight.remove(&seq);
        }
        self.update_free(index);
    }

    /// Handles a request withdrawn by its ingress instance.
    pub fn handle_withdraw(&mut self, grant_id: &message::GrantId) {
        if self.is_current(grant_id) {
            self.remove(&grant_id.0);
        }
    }

    fn is_current(&self, (id, attempt): &message::GrantId) -> bool {
        self.requests.get(id).is_some_and(|r| r.info.attempt == *attempt)
    }

    /// Handles a grant accepted by the ingress instance.
    pub fn handle_accepted(&mut self, grant_id: &message::GrantId) {
        if !self.is_current(grant_id) {
            return;
        }
        let Some(tracked) = self.requests.get(&grant_id.0).cloned() else { return };
        let State::Granted { index, sent_at, .. } = tracked.state else { return };
        self.unanswered.remove(&(sent_at, tracked.info.id.clone()));
        self.deadlines.remove(&(tracked.deadline, tracked.info.id.clone()));
        self.toggle_digest(&tracked.ingress, &tracked.info, false);
        self.toggle_digest(&tracked.ingress, &tracked.info, true);
        if let Some(tracked) = self.requests.get_mut(&grant_id.0) {
            tracked.state = State::Running { index };
        }
    }

    /// Handles the end of a run and updates the endpoint's speed estimate and circuit breaker.
    pub fn handle_done(
        &mut self,
        now: Instant,
        grant_id: &message::GrantId,
        report: &message::RunReport,
    ) {
        if !self.is_current(grant_id) {
            return;
        }
        let Some(tracked) = self.remove(&grant_id.0) else { return };
        let State::Running { index } = tracked.state else { return };
        let endpoint = &mut self.endpoints[index];
        match report.outcome {
            message::RunOutcome::Complete => {
                endpoint.breaker.record_success();
                endpoint.speed.record_run(now, report);
            }
            message::RunOutcome::Failed => endpoint.breaker.record_failure(now),
            message::RunOutcome::Cancelled => {}
        }
    }

    /// Replaces all requests known of an ingress instance by its snapshot.
    pub fn handle_snapshot(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        waiting: Vec<message::RequestInfo>,
        running: Vec<(message::RequestInfo, ids::EndpointId)>,
    ) {
        let of_ingress = |r: &&TrackedRequest| r.ingress == *from;
        let mut former: Vec<ids::RequestId> =
            self.requests.values().filter(of_ingress).map(|r| r.info.id.clone()).collect();
        former.sort();
        former.iter().for_each(|id| {
            self.remove(id);
        });
        self.ingress_states.remove(from);
        waiting.into_iter().for_each(|info| self.enqueue(now, from, info));
        running
            .into_iter()
            .for_each(|(info, endpoint)| self.track_running(now, from, info, &endpoint));
    }

    fn track_running(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        info: message::RequestInfo,
        endpoint: &ids::EndpointId,
    ) {
        self.toggle_digest(from, &info, true);
        let Some(index) = self.endpoint_index.get(endpoint).copied() else { return };
        self.endpoints[index].running += 1;
        self.endpoints[index].cache.insert(&info.prefix);
        let (id, ingress) = (info.id.clone(), from.clone());
        let state = State::Running { index };
        self.requests.insert(
            id,
            TrackedRequest {
                info,
                ingress,
                deadline: now,
                account_owner: None,
                times_skipped: 0,
                state,
            },
        );
    }

    /// Handles a digest from a heartbeat; returns whether a snapshot is needed.
    pub fn handle_digest(
        &mut self,
        from: &ids::InstanceId,
        reported: &message::PoolDigest,
    ) -> bool {
        let ingress_state = self.ingress_states.entry(from.clone()).or_default();
        ingress_state.threshold_seq = reported.threshold_seq;
        ingress_state.digest != reported.digest
    }

    /// Removes all state of instances that are no longer listed.
    pub fn retain_members(&mut self, listed: impl Fn(&str) -> bool) {
        let gone = |r: &&TrackedRequest| !listed(&r.ingress);
        let mut lost: Vec<ids::RequestId> =
            self.requests.values().filter(gone).map(|r| r.info.id.clone()).collect();
        lost.sort();
        lost.iter().for_each(|id| {
            self.remove(id);
        });
        self.ingress_states.retain(|id, _| listed(id));
        self.grant_seq.retain(|id, _| listed(id));
        self.endpoints.iter_mut().for_each(|e| e.offers.retain(|id, _| listed(id)));
        (0..self.endpoints.len()).for_each(|index| self.update_free(index));
    }

    /// Handles an owner's offer of free permits.
    pub fn handle_offer(&mut self, from: &ids::InstanceId, offer: &message::Offer) {
        let Some(index) = self.endpoint_index.get(&offer.endpoint).copied() else { return };
        let endpoint = &mut self.endpoints[index];
        if offer.owned == 0 {
            endpoint.offers.remove(from);
        } else {
            let owner_offer = endpoint.offers.entry(from.clone()).or_default();
            owner_offer.free = offer.free;
            owner_offer.last_seq = owner_offer.last_seq.max(offer.last_seq);
            owner_offer.in_flight = owner_offer.in_flight.split_off(&(owner_offer.last_seq + 1));
        }
        self.update_free(index);
    }

    /// Handles a grant denied by an owner and requeues the request.
    pub fn handle_denied(
        &mut self,
        now: Instant,
        grant: &message::Grant,
        key: &message::PermitKey,
    ) {
        let grant_id = (grant.request.clone(), grant.attempt);
        if !self.is_current(&grant_id) {
            return;
        }
        let Some(tracked) = self.requests.get(&grant.request) else { return };
        let State::Granted { index, owner, seq, .. } = tracked.state.clone() else { return };
        if seq != grant.seq {
            return;
        }
        match key {
            message::PermitKey::Endpoint(_) => {
                if let Some(owner_offer) = self.endpoints[index].offers.get_mut(&owner) {
                    owner_offer.free = 0;
                }
                self.update_free(index);
            }
            message::PermitKey::Account(account) => self.mark_exhausted(grant, account),
        }
        self.requeue(now, &grant.request);
    }

    fn mark_exhausted(&mut self, grant: &message::Grant, account: &ids::AccountId) {
        let hop = grant.hops.iter().find(|h| matches!(h.key, message::PermitKey::Account(_)));
        let Some(hop) = hop else { return };
        let usage = self.account_usage.entry(account.clone()).or_default();
        usage.exhausted.insert(hop.owner.clone());
    }

    /// Returns a request to the queue after its grant failed.
    ///
    /// The account's backoff is kept, since only the end of a run frees a permit.
    fn requeue(&mut self, now: Instant, id: &ids::RequestId) {
        let Some(tracked) = self.requests.get(id).cloned() else { return };
        self.clear_state(&tracked);
        if let Some(owner) = &tracked.account_owner {
            self.account_usage.entry(tracked.info.account.clone()).or_default().undo_grant(owner);
        }
        self.queue.push(queued_request(&tracked.info));
        self.deadlines.insert((tracked.deadline.max(now), id.clone()));
        if let Some(tracked) = self.requests.get_mut(id) {
            tracked.state = State::Queued;
            tracked.account_owner = None;
        }
    }

    /// Records the load reported by an endpoint, which may include runs unknown to this scheduler.
    pub fn handle_load(&mut self, endpoint: &ids::EndpointId, running: u32) {
        if let Some(index) = self.endpoint_index.get(endpoint) {
            self.endpoints[*index].reported = running;
        }
    }
}

fn queued_request(info: &message::RequestInfo) -> queue::QueuedRequest {
    queue::QueuedRequest {
        id: info.id.clone(),
        account: info.account.clone(),
        tier: info.tier,
        weight: info.weight,
        work: info.work(),
    }
}
