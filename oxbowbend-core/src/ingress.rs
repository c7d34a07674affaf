//! Requests held by an ingress instance, between their callers and the schedulers.
//!
//! An ingress instance holds each request until its caller has received the response. It alone
//! dispatches the request, and for exactly one grant: a grant is valid only for the request's
//! current attempt, and any uncertainty about a grant increments the attempt. Messages may
//! therefore be lost, duplicated or reordered.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

use crate::ids;
use crate::message;
use crate::node;

/// Time without renewal after which a shed threshold expires.
///
/// It exceeds [`crate::scheduler::THRESHOLD_CONFIRMATION_TTL`], the time for which the scheduler
/// relies on the threshold.
pub const THRESHOLD_LEASE: Duration = Duration::from_secs(5);

/// Retry delay for requests that are refused because this instance was removed from the list.
const DELISTED_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq)]
enum State {
    Waiting,
    Running(message::Grant),
}

#[derive(Clone, Debug)]
struct Request {
    info: message::RequestInfo,
    deadline: Instant,
    state: State,
}

impl Request {
    fn info_at(&self, now: Instant) -> message::RequestInfo {
        let due_in_ms = self.deadline.saturating_duration_since(now).as_millis() as u64;
        message::RequestInfo { due_in_ms, ..self.info.clone() }
    }

    fn digest(&self) -> u64 {
        request_digest(&self.info.id, self.info.attempt, self.state != State::Waiting)
    }
}

/// Digest of a request's attempt and state. Digests of a set are combined by exclusive or.
pub fn request_digest(id: &str, attempt: ids::Attempt, running: bool) -> u64 {
    xxh3::xxh3_64_with_seed(id.as_bytes(), u64::from(attempt) << 1 | u64::from(running))
}

#[derive(Clone, Debug, Default)]
struct PoolState {
    scheduler: Option<ids::InstanceId>,
    digest: u64,
    requests: usize,
    shed_threshold: Option<ShedThreshold>,
}

#[derive(Clone, Copy, Debug)]
struct ShedThreshold {
    seq: u64,
    lowest_kept: ids::TierLevel,
    received_at: Instant,
}

/// The requests held by one ingress instance.
///
/// ```
/// assert!(oxbowbend_core::ingress::Ingress::new("a".into()).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Ingress {
    me: ids::InstanceId,
    requests: HashMap<ids::RequestId, Request>,
    pools: BTreeMap<ids::PoolId, PoolState>,
    /// Requests whose last grant was invalid.
    resubmit_at_tick: BTreeSet<ids::RequestId>,
}

impl Ingress {
    /// Creates an empty set of requests.
    pub fn new(me: ids::InstanceId) -> Ingress {
        let (requests, pools, resubmit_at_tick) = Default::default();
        Ingress { me, requests, pools, resubmit_at_tick }
    }

    /// Number of requests held, waiting or running.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests waiting for a grant.
    pub fn waiting(&self) -> usize {
        self.requests.values().filter(|r| r.state == State::Waiting).count()
    }

    /// The current attempt of a held request.
    pub fn attempt(&self, id: &str) -> Option<ids::Attempt> {
        self.requests.get(id).map(|r| r.info.attempt)
    }

    /// Accepts a new request, or refuses it if its tier is below the shed threshold.
    pub fn arrive(
        &mut self,
        now: Instant,
        info: message::RequestInfo,
        out: &mut Vec<node::Action>,
    ) {
        let pool_state = self.pools.entry(info.pool.clone()).or_default();
        if let Some(threshold) = pool_state.shed_threshold.filter(|t| info.tier > t.lowest_kept) {
            let retry_after = threshold.received_at + THRESHOLD_LEASE;
            let wait = retry_after.saturating_duration_since(now);
            out.push(node::Action::refuse(info.id, message::RefusalReason::Shed, wait));
            return;
        }
        let deadline = now + Duration::from_millis(info.due_in_ms);
        let request = Request { info, deadline, state: State::Waiting };
        pool_state.digest ^= request.digest();
        pool_state.requests += 1;
        send_to(&pool_state.scheduler, message::Message::Enqueue(request.info.clone()), out);
        self.requests.insert(request.info.id.clone(), request);
    }

    /// Removes a waiting request; returns whether it was still waiting.
    pub fn withdraw(&mut self, id: &str, out: &mut Vec<node::Action>) -> bool {
        match self.requests.get(id) {
            Some(r) if r.state == State::Waiting => self.drop_waiting(id, out).is_some(),
            _ => false,
        }
    }

    fn drop_waiting(&mut self, id: &str, out: &mut Vec<node::Action>) -> Option<Request> {
        let request = self.take(id)?;
        let info = &request.info;
        let (pool, attempt) = (info.pool.clone(), info.attempt);
        let message = message::Message::Withdraw { pool, request: info.id.clone(), attempt };
        send_to(&self.pools.get(&info.pool)?.scheduler, message, out);
        Some(request)
    }

    fn take(&mut self, id: &str) -> Option<Request> {
        let request = self.requests.remove(id)?;
        if let Some(pool_state) = self.pools.get_mut(&request.info.pool) {
            pool_state.digest ^= request.digest();
            pool_state.requests -= 1;
        }
        Some(request)
    }

    fn update(&mut self, id: &str, update: impl FnOnce(&mut Request)) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let before = request.digest();
        update(request);
        let after = request.digest();
        if let Some(pool_state) = self.pools.get_mut(&request.info.pool) {
            pool_state.digest ^= before ^ after;
        }
    }

    /// Accepts or rejects a grant. `valid` tells whether its owners and endpoint may still be used.
    ///
    /// After an invalid grant, the request is resubmitted at the next tick and not at once, since
    /// the cause, such as an outdated list, is likely to persist.
    pub fn handle_grant(
        &mut self,
        grant: message::Grant,
        valid: bool,
        out: &mut Vec<node::Action>,
    ) {
        let state = self.requests.get(&grant.request);
        let current = state.filter(|r| r.info.attempt == grant.attempt);
        match current.map(|r| &r.state) {
            Some(State::Running(accepted)) if *accepted == grant => self.send_in_use(&grant, out),
            Some(State::Waiting) if valid => self.accept(grant, out),
            Some(State::Waiting) => {
                self.update(&grant.request, |r| r.info.attempt += 1);
                self.resubmit_at_tick.insert(grant.request.clone());
                self.release_unused(&grant, out);
            }
            _ => self.release_unused(&grant, out),
        }
    }

    fn accept(&mut self, grant: message::Grant, out: &mut Vec<node::Action>) {
        self.update(&grant.request, |r| r.state = State::Running(grant.clone()));
        let (pool, request) = (grant.pool.clone(), grant.request.clone());
        let accepted = message::Message::Accepted { pool, request, attempt: grant.attempt };
        if let Some(pool_state) = self.pools.get(&grant.pool) {
            send_to(&pool_state.scheduler, accepted, out);
        }
        self.send_in_use(&grant, out);
        out.push(node::Action::Dispatch(grant));
    }

    fn send_in_use(&self, grant: &message::Grant, out: &mut Vec<node::Action>) {
        let grants = vec![(grant.request.clone(), grant.attempt)];
        for hop in &grant.hops {
            out.push(node::Action::send(
                &hop.owner,
                message::Message::InUse { grants: grants.clone() },
            ));
        }
    }

    /// Releases the permits of a grant that is not used, except those that the running grant of
    /// the same attempt uses.
    fn release_unused(&self, grant: &message::Grant, out: &mut Vec<node::Action>) {
        let running = self.requests.get(&grant.request).and_then(|r| match &r.state {
            State::Running(g) if g.attempt == grant.attempt => Some(g),
            _ => None,
        });
        let in_use = |owner: &ids::InstanceId, key| {
            running.is_some_and(|g| g.hops.iter().any(|h| h.owner == *owner && h.key == key))
        };
        for hop in &grant.hops {
            if !in_use(&hop.owner, hop.key.clone()) {
                out.push(node::Action::release(&hop.owner, grant, &hop.key));
            }
        }
    }

    /// Invalidates all grants of an attempt and resubmits the request.
    pub fn invalidate(
        &mut self,
        now: Instant,
        grant_id: &message::GrantId,
        out: &mut Vec<node::Action>,
    ) {
        let (id, attempt) = grant_id;
        let waiting = self
            .requests
            .get(id)
            .is_some_and(|r| r.state == State::Waiting && r.info.attempt == *attempt);
        if waiting {
            self.update(id, |r| r.info.attempt += 1);
            self.resubmit(now, id, out);
        }
    }

    fn resubmit(&self, now: Instant, id: &str, out: &mut Vec<node::Action>) {
        let waiting = |r: &&Request| r.state == State::Waiting;
        let Some(request) = self.requests.get(id).filter(waiting) else { return };
        let Some(pool_state) = self.pools.get(&request.info.pool) else { return };
        send_to(&pool_state.scheduler, message::Message::Enqueue(request.info_at(now)), out);
    }

    /// Ends a run and releases its permits.
    pub fn finish(&mut self, id: &str, report: message::RunReport, out: &mut Vec<node::Action>) {
        if !matches!(self.requests.get(id), Some(r) if r.state != State::Waiting) {
            return;
        }
        let Some(request) = self.take(id) else { return };
        let State::Running(grant) = request.state else { return };
        self.end_run(&grant, report, out);
    }

    /// Ends a run that did not start, and returns the request to the queue.
    pub fn requeue(
        &mut self,
        now: Instant,
        id: &str,
        report: message::RunReport,
        out: &mut Vec<node::Action>,
    ) {
        let Some(Request { state: State::Running(grant), .. }) = self.requests.get(id).cloned()
        else {
            return;
        };
        self.end_run(&grant, report, out);
        self.update(id, |r| {
            r.state = State::Waiting;
            r.info.attempt += 1;
        });
        self.resubmit(now, id, out);
    }

    fn end_run(
        &self,
        grant: &message::Grant,
        report: message::RunReport,
        out: &mut Vec<node::Action>,
    ) {
        for hop in &grant.hops {
            out.push(node::Action::release(&hop.owner, grant, &hop.key));
        }
        let (pool, request) = (grant.pool.clone(), grant.request.clone());
        let done = message::Message::Done { pool, request, attempt: grant.attempt, report };
        if let Some(pool_state) = self.pools.get(&grant.pool) {
            send_to(&pool_state.scheduler, done, out);
        }
    }

    /// Carries out a scheduler's refusal of the current attempt.
    pub fn handle_refusal(
        &mut self,
        grant_id: &message::GrantId,
        reason: message::RefusalReason,
        retry_after: Duration,
        out: &mut Vec<node::Action>,
    ) {
        let (id, attempt) = grant_id;
        let current = self
            .requests
            .get(id)
            .is_some_and(|r| r.state == State::Waiting && r.info.attempt == *attempt);
        if current && self.drop_waiting(id, out).is_some() {
            out.push(node::Action::refuse(id.clone(), reason, retry_after));
        }
    }

    /// Answers an owner's query about permit usage and invalidates the grants that are not in use.
    ///
    /// The sender is recorded as the owner, to which the permit is released after the run.
    pub fn handle_usage_query(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        uses: Vec<message::PermitUse>,
        out: &mut Vec<node::Action>,
    ) {
        let mut used = Vec::new();
        let mut unused = Vec::new();
        for u in uses {
            if self.update_owner(&u, from) {
                used.push(u.grant);
            } else {
                self.invalidate(now, &u.grant, out);
                unused.push(u);
            }
        }
        if !used.is_empty() {
            out.push(node::Action::send(from, message::Message::InUse { grants: used }));
        }
        if !unused.is_empty() {
            out.push(node::Action::send(from, message::Message::NotInUse { uses: unused }));
        }
    }

    /// Records `owner` as the owner of a permit; returns whether the permit is in use.
    fn update_owner(&mut self, u: &message::PermitUse, owner: &ids::InstanceId) -> bool {
        let (id, attempt) = &u.grant;
        let Some(request) = self.requests.get_mut(id) else { return false };
        let State::Running(grant) = &mut request.state else { return false };
        if grant.attempt != *attempt {
            return false;
        }
        let is_same_permit =
            |h: &&mut message::Hop| h.key == u.permit.key && h.index == Some(u.permit.index);
        match grant.hops.iter_mut().find(is_same_permit) {
            Some(hop) => {
                hop.owner = owner.clone();
                true
            }
            None => false,
        }
    }

    /// Returns which of the permits are used by requests held here.
    pub fn uses_of(&self, permits: &[message::Permit]) -> Vec<message::PermitUse> {
        let wanted: HashSet<&message::Permit> = permits.iter().collect();
        let running = self.requests.values().filter_map(|r| match &r.state {
            State::Running(grant) => Some(grant),
            State::Waiting => None,
        });
        let uses = running.flat_map(|g| g.hops.iter().filter_map(move |h| permit_use(g, h)));
        uses.filter(|u| wanted.contains(&u.permit)).collect()
    }

    /// Changes the scheduler of a pool and sends snapshots to the former and the new one.
    pub fn set_scheduler(
        &mut self,
        now: Instant,
        pool: &ids::PoolId,
        scheduler: Option<ids::InstanceId>,
        out: &mut Vec<node::Action>,
    ) {
        let pool_state = self.pools.entry(pool.clone()).or_default();
        if pool_state.scheduler == scheduler {
            return;
        }
        let former = std::mem::replace(&mut pool_state.scheduler, scheduler);
        pool_state.shed_threshold = None;
        let empty = message::Message::Snapshot {
            pool: pool.clone(),
            waiting: Vec::new(),
            running: Vec::new(),
        };
        send_to(&former, empty, out);
        self.send_snapshot(now, pool, out);
    }

    /// The scheduler of a pool.
    pub fn scheduler(&self, pool: &str) -> Option<&ids::InstanceId> {
        self.pools.get(pool)?.scheduler.as_ref()
    }

    /// Sends all requests of a pool to its scheduler.
    pub fn send_snapshot(&self, now: Instant, pool: &ids::PoolId, out: &mut Vec<node::Action>) {
        let Some(pool_state) = self.pools.get(pool) else { return };
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for request in self.requests.values().filter(|r| r.info.pool == *pool) {
            match &request.state {
                State::Waiting => waiting.push(request.info_at(now)),
                State::Running(g) => running.push((request.info_at(now), g.endpoint.clone())),
            }
        }
        waiting.sort_by(|a, b| a.id.cmp(&b.id));
        running.sort_by(|a, b| a.0.id.cmp(&b.0.id));
        send_to(
            &pool_state.scheduler,
            message::Message::Snapshot { pool: pool.clone(), waiting, running },
            out,
        );
    }

    /// Sets, renews or lifts the shed threshold of a pool, if `from` is its current scheduler.
    pub fn handle_shed_threshold(
        &mut self,
        now: Instant,
        from: &str,
        pool: &ids::PoolId,
        seq: u64,
        lowest_kept: Option<ids::TierLevel>,
        out: &mut Vec<node::Action>,
    ) {
        let Some(pool_state) = self.pools.get_mut(pool) else { return };
        if pool_state.scheduler.as_deref() != Some(from) {
            return;
        }
        pool_state.shed_threshold =
            lowest_kept.map(|lowest_kept| ShedThreshold { seq, lowest_kept, received_at: now });
        let Some(lowest_kept) = lowest_kept else { return };
        let is_shed = |r: &Request| {
            r.info.pool == *pool && r.info.tier > lowest_kept && r.state == State::Waiting
        };
        for id in self.matching_ids(is_shed) {
            self.drop_waiting(&id, out);
            out.push(node::Action::refuse(id, message::RefusalReason::Shed, THRESHOLD_LEASE));
        }
    }

    /// Refuses waiting requests of all but the highest tier, after the list dropped this instance.
    ///
    /// Other instances consider these requests lost and may have shed higher tiers since.
    pub fn handle_delisted(&mut self, out: &mut Vec<node::Action>) {
        let is_shed = |r: &Request| r.info.tier > 0 && r.state == State::Waiting;
        for id in self.matching_ids(is_shed) {
            self.drop_waiting(&id, out);
            out.push(node::Action::refuse(
                id,
                message::RefusalReason::Unavailable,
                DELISTED_RETRY_AFTER,
            ));
        }
    }

    /// Ids of the matching requests in sorted order.
    fn matching_ids(&self, matches: impl Fn(&Request) -> bool) -> Vec<ids::RequestId> {
        let matching = self.requests.values().filter(|r| matches(r));
        let mut ids: Vec<ids::RequestId> = matching.map(|r| r.info.id.clone()).collect();
        ids.sort();
        ids
    }

    /// Resubmits requests, expires shed thresholds and refuses overdue requests.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<node::Action>) {
        for id in std::mem::take(&mut self.resubmit_at_tick) {
            self.resubmit(now, &id, out);
        }
        for pool_state in self.pools.values_mut() {
            pool_state.shed_threshold = pool_state
                .shed_threshold
                .filter(|t| now.duration_since(t.received_at) < THRESHOLD_LEASE);
        }
        let overdue = |r: &Request| r.state == State::Waiting && r.deadline <= now;
        for id in self.matching_ids(overdue) {
            self.drop_waiting(&id, out);
            out.push(node::Action::refuse(id, message::RefusalReason::Deadline, Duration::ZERO));
        }
    }

    /// Digests of the pools scheduled by `scheduler`.
    pub fn pool_digests(&self, scheduler: &str) -> Vec<message::PoolDigest> {
        let scheduled =
            self.pools.iter().filter(|(_, s)| s.scheduler.as_deref() == Some(scheduler));
        scheduled
            .map(|(pool, s)| message::PoolDigest {
                pool: pool.clone(),
                digest: s.digest,
                threshold_seq: s.shed_threshold.map_or(0, |t| t.seq),
            })
            .collect()
    }

    /// The id of this instance.
    pub fn id(&self) -> &ids::InstanceId {
        &self.me
    }
}

fn permit_use(grant: &message::Grant, hop: &message::Hop) -> Option<message::PermitUse> {
    let permit = message::Permit { key: hop.key.clone(), index: hop.index? };
    let grant_id = (grant.request.clone(), grant.attempt);
    Some(message::PermitUse { permit, grant: grant_id, endpoint: grant.endpoint.clone() })
}

fn send_to(to: &Option<ids::InstanceId>, message: message::Message, out: &mut Vec<node::Action>) {
    if let Some(to) = to {
        out.push(node::Action::send(to, message));
    }
}
