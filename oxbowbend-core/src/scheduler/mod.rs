//! Order and choice for one pool.
//!
//! The scheduler of a pool sees small records of all requests that wait in the pool, wherever they
//! are kept, and decides which runs next, where, and which is refused. It stores nothing: a new
//! one rebuilds its state from the entries' reports within a heartbeat. It owns no permit, so that
//! a wrong or late decision of a scheduler is refused by a permit's owner or by the entry instance.

mod account;
mod decide;
mod shed;
mod site;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::choose::Choose;
use crate::ids;
use crate::ingress;
use crate::message;
use crate::queue;
use crate::topology;
use account::AccountUsage;
use site::{Offered, Site};

/// Time without a word after which a grant is taken to be lost and its request is granted again.
pub const ASK_AGAIN: Duration = Duration::from_secs(2);
/// For how long after it was sent a shed floor may be relied on at an entry that echoes it.
pub const THRESHOLD_CONFIRMATION_TTL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq)]
enum State {
    Queued,
    Granted { site: usize, owner: ids::InstanceId, seq: u64, at: Instant },
    Running { site: usize },
    Refused { reason: message::RefusalReason, retry_after_ms: u64, at: Instant },
}

#[derive(Clone, Debug)]
struct Known {
    info: message::RequestInfo,
    ingress: ids::InstanceId,
    due: Instant,
    account_owner: Option<ids::InstanceId>,
    passed: u32,
    state: State,
}

/// What an entry has said it holds, as a digest over its messages only.
#[derive(Clone, Debug, Default)]
struct Mirror {
    digest: u64,
    threshold_seq: u64,
}

#[derive(Clone, Debug)]
struct ShedThreshold {
    lowest_kept: ids::TierLevel,
    sent_at: BTreeMap<u64, Instant>,
    renewed_at: Instant,
}

/// What a scheduler must know of the other instances.
pub trait Directory {
    /// The owners of the account's permits with their numbers; `None` if it has no limit.
    fn account_owners(&self, account: &ids::AccountId) -> Option<&[(ids::InstanceId, u32)]>;
    /// Instances that may hold requests of the pool.
    fn ingress_instances(&self, pool: &ids::PoolId) -> Vec<ids::InstanceId>;
    /// Whether the lowest declared tier is `tier` or a higher one.
    fn is_lowest(&self, tier: ids::TierLevel) -> bool;
}

/// The scheduler of one pool.
///
/// ```
/// use oxbowbend_core::choose::Predicted;
/// use oxbowbend_core::scheduler::Scheduler;
/// use oxbowbend_core::topology::Pool;
/// let scheduler = Scheduler::new("a".into(), "p/m".into(), &Pool::default(), Predicted);
/// assert_eq!(scheduler.waiting(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Scheduler<C> {
    me: ids::InstanceId,
    pool: ids::PoolId,
    queue_bound: usize,
    prefill_bias: f64,
    choose: C,
    requests: HashMap<ids::RequestId, Known>,
    queue: queue::Queue,
    sites: Vec<Site>,
    mirrors: BTreeMap<ids::InstanceId, Mirror>,
    grant_seq: BTreeMap<ids::InstanceId, u64>,
    account_usage: HashMap<ids::AccountId, AccountUsage>,
    deadlines: BTreeSet<(Instant, ids::RequestId)>,
    shed_threshold: Option<ShedThreshold>,
    last_threshold_seq: u64,
    unanswered: BTreeSet<(Instant, ids::RequestId)>,
    site_of: HashMap<ids::EndpointId, usize>,
    /// Sites with free permits, so that a decision looks at no others.
    open: BTreeSet<usize>,
    total_slots: u32,
    fastest: Option<(Instant, f64)>,
}

impl<C: Choose> Scheduler<C> {
    /// Creates a scheduler that knows of no requests and no permits.
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
            sites: Vec::new(),
            mirrors: BTreeMap::new(),
            grant_seq: BTreeMap::new(),
            account_usage: HashMap::new(),
            deadlines: BTreeSet::new(),
            shed_threshold: None,
            last_threshold_seq: 0,
            unanswered: BTreeSet::new(),
            site_of: HashMap::new(),
            open: BTreeSet::new(),
            total_slots: 0,
            fastest: None,
        };
        scheduler.configure(config);
        scheduler
    }

    /// Takes over a changed configuration, keeping what was learned of endpoints that remain.
    /// Sites are never removed, so that positions stay valid; those gone are marked as leaving.
    pub fn configure(&mut self, config: &topology::Pool) {
        self.queue_bound = config.queue_bound;
        self.prefill_bias = config.prefill_bias;
        for site in &mut self.sites {
            match config.endpoints.get(&site.id) {
                Some(endpoint) => site.endpoint = endpoint.clone(),
                None => site.endpoint.leaving = true,
            }
        }
        for (id, endpoint) in &config.endpoints {
            if !self.site_of.contains_key(id) {
                self.site_of.insert(id.clone(), self.sites.len());
                self.sites.push(Site::new(id.clone(), endpoint.clone()));
            }
        }
        let staying = self.sites.iter().filter(|s| !s.endpoint.leaving);
        self.total_slots = staying.map(|s| s.endpoint.slots).sum();
        self.fastest = None;
    }

    /// Brings a site's number of free permits up to date after its offers have changed.
    fn recount(&mut self, at: usize) {
        let site = &mut self.sites[at];
        site.free = site.offers.values().map(Offered::available).sum();
        if site.free > 0 {
            self.open.insert(at);
        } else {
            self.open.remove(&at);
        }
    }

    /// Sites that may be granted now.
    fn open_sites(&self, now: Instant) -> impl Iterator<Item = (usize, &Site)> {
        let open = self.open.iter().map(|at| (*at, &self.sites[*at]));
        open.filter(move |(_, s)| s.usable(now))
    }

    /// Number of requests that wait here.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a waiting request.
    pub fn enqueue(&mut self, now: Instant, from: &ids::InstanceId, info: message::RequestInfo) {
        let id = info.id.clone();
        if let Some(known) = self.requests.get(&id) {
            if known.info.attempt >= info.attempt {
                return;
            }
            self.forget(&id);
        }
        self.mirror(from, &info, false);
        let due = now + Duration::from_millis(info.due_in_ms);
        self.queue.push(queued_request(&info));
        self.deadlines.insert((due, id.clone()));
        let ingress = from.clone();
        let known =
            Known { info, ingress, due, account_owner: None, passed: 0, state: State::Queued };
        self.requests.insert(id, known);
    }

    fn mirror(&mut self, ingress: &ids::InstanceId, info: &message::RequestInfo, running: bool) {
        let mirror = self.mirrors.entry(ingress.clone()).or_default();
        mirror.digest ^= ingress::request_digest(&info.id, info.attempt, running);
    }

    /// Removes every trace of a request.
    fn forget(&mut self, id: &str) -> Option<Known> {
        let known = self.requests.remove(id)?;
        self.queue.remove(id);
        self.deadlines.remove(&(known.due, known.info.id.clone()));
        self.leave_state(&known);
        if let Some(owner) = &known.account_owner {
            self.account_usage.entry(known.info.account.clone()).or_default().release(owner);
        }
        let running = matches!(known.state, State::Running { .. });
        self.mirror(&known.ingress, &known.info, running);
        Some(known)
    }

    fn leave_state(&mut self, known: &Known) {
        match &known.state {
            State::Granted { site, owner, seq, at } => {
                self.unanswered.remove(&(*at, known.info.id.clone()));
                self.remove_in_flight(*site, owner, *seq);
                self.sites[*site].running -= 1;
            }
            State::Running { site } => self.sites[*site].running -= 1,
            State::Refused { at, .. } => {
                self.unanswered.remove(&(*at, known.info.id.clone()));
            }
            State::Queued => {}
        }
    }

    fn remove_in_flight(&mut self, site: usize, owner: &ids::InstanceId, seq: u64) {
        if let Some(offered) = self.sites[site].offers.get_mut(owner) {
            offered.in_flight.remove(&seq);
        }
        self.recount(site);
    }

    /// The entry gives a waiting request up.
    pub fn withdraw(&mut self, grant_id: &message::GrantId) {
        if self.is_current(grant_id) {
            self.forget(&grant_id.0);
        }
    }

    fn is_current(&self, (id, attempt): &message::GrantId) -> bool {
        self.requests.get(id).is_some_and(|k| k.info.attempt == *attempt)
    }

    /// The entry has accepted a grant.
    pub fn handle_accepted(&mut self, grant_id: &message::GrantId) {
        if !self.is_current(grant_id) {
            return;
        }
        let Some(known) = self.requests.get(&grant_id.0).cloned() else { return };
        let State::Granted { site, at, .. } = known.state else { return };
        self.unanswered.remove(&(at, known.info.id.clone()));
        self.deadlines.remove(&(known.due, known.info.id.clone()));
        self.mirror(&known.ingress, &known.info, false);
        self.mirror(&known.ingress, &known.info, true);
        if let Some(k) = self.requests.get_mut(&grant_id.0) {
            k.state = State::Running { site };
        }
    }

    /// A run has ended; the endpoint's speed is learned from it.
    pub fn done(&mut self, now: Instant, grant_id: &message::GrantId, report: &message::RunReport) {
        if !self.is_current(grant_id) {
            return;
        }
        let Some(known) = self.forget(&grant_id.0) else { return };
        let State::Running { site } = known.state else { return };
        let site = &mut self.sites[site];
        match report.outcome {
            message::RunOutcome::Complete => {
                site.breaker.succeeded();
                site.speed.learn(now, report);
            }
            message::RunOutcome::Failed => site.breaker.failed(now),
            message::RunOutcome::Cancelled => {}
        }
    }

    /// Replaces what is known of one entry's requests by its own account of them.
    pub fn handle_snapshot(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        waiting: Vec<message::RequestInfo>,
        running: Vec<(message::RequestInfo, ids::EndpointId)>,
    ) {
        let of_ingress = |k: &&Known| k.ingress == *from;
        let mut former: Vec<ids::RequestId> =
            self.requests.values().filter(of_ingress).map(|k| k.info.id.clone()).collect();
        former.sort();
        former.iter().for_each(|id| {
            self.forget(id);
        });
        self.mirrors.remove(from);
        waiting.into_iter().for_each(|info| self.enqueue(now, from, info));
        running.into_iter().for_each(|(info, at)| self.learn_running(now, from, info, &at));
    }

    fn learn_running(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        info: message::RequestInfo,
        at: &ids::EndpointId,
    ) {
        self.mirror(from, &info, true);
        let Some(site) = self.site_of.get(at).copied() else { return };
        self.sites[site].running += 1;
        self.sites[site].cache.insert(&info.prefix);
        let (id, ingress) = (info.id.clone(), from.clone());
        let state = State::Running { site };
        self.requests
            .insert(id, Known { info, ingress, due: now, account_owner: None, passed: 0, state });
    }

    /// Compares an entry's digest with the mirror; says whether a report is needed.
    pub fn handle_digest(
        &mut self,
        from: &ids::InstanceId,
        reported: &message::PoolDigest,
    ) -> bool {
        let mirror = self.mirrors.entry(from.clone()).or_default();
        mirror.threshold_seq = reported.threshold_seq;
        mirror.digest != reported.digest
    }

    /// Drops what belongs to instances that are gone.
    pub fn retain_members(&mut self, listed: impl Fn(&str) -> bool) {
        let gone = |k: &&Known| !listed(&k.ingress);
        let mut lost: Vec<ids::RequestId> =
            self.requests.values().filter(gone).map(|k| k.info.id.clone()).collect();
        lost.sort();
        lost.iter().for_each(|id| {
            self.forget(id);
        });
        self.mirrors.retain(|id, _| listed(id));
        self.grant_seq.retain(|id, _| listed(id));
        self.sites.iter_mut().for_each(|s| s.offers.retain(|id, _| listed(id)));
        (0..self.sites.len()).for_each(|at| self.recount(at));
    }

    /// An owner tells how many permits it has free.
    pub fn offer(&mut self, from: &ids::InstanceId, offer: &message::Offer) {
        let Some(at) = self.site_of.get(&offer.endpoint).copied() else { return };
        let site = &mut self.sites[at];
        if offer.owned == 0 {
            site.offers.remove(from);
        } else {
            let offered = site.offers.entry(from.clone()).or_default();
            offered.free = offer.free;
            offered.last_seq = offered.last_seq.max(offer.last_seq);
            offered.in_flight = offered.in_flight.split_off(&(offered.last_seq + 1));
        }
        self.recount(at);
    }

    /// An owner had no permit to give; the request goes back into the queue.
    pub fn denied(&mut self, now: Instant, grant: &message::Grant, key: &message::PermitKey) {
        let grant_id = (grant.request.clone(), grant.attempt);
        if !self.is_current(&grant_id) {
            return;
        }
        let Some(known) = self.requests.get(&grant.request) else { return };
        let State::Granted { site, owner, seq, .. } = known.state.clone() else { return };
        if seq != grant.seq {
            return;
        }
        match key {
            message::PermitKey::Endpoint(_) => {
                if let Some(offered) = self.sites[site].offers.get_mut(&owner) {
                    offered.free = 0;
                }
                self.recount(site);
            }
            message::PermitKey::Account(account) => self.account_denied(grant, account),
        }
        self.put_back(now, &grant.request);
    }

    fn account_denied(&mut self, grant: &message::Grant, account: &ids::AccountId) {
        let hop = grant.hops.iter().find(|h| matches!(h.key, message::PermitKey::Account(_)));
        let Some(hop) = hop else { return };
        let usage = self.account_usage.entry(account.clone()).or_default();
        usage.exhausted.insert(hop.owner.clone());
    }

    /// Puts a request whose grant came to nothing back into the queue. The account's pause is left
    /// as it is: only the end of a run makes room.
    fn put_back(&mut self, now: Instant, id: &ids::RequestId) {
        let Some(known) = self.requests.get(id).cloned() else { return };
        self.leave_state(&known);
        if let Some(owner) = &known.account_owner {
            self.account_usage.entry(known.info.account.clone()).or_default().undo_grant(owner);
        }
        self.queue.push(queued_request(&known.info));
        self.deadlines.insert((known.due.max(now), id.clone()));
        if let Some(k) = self.requests.get_mut(id) {
            k.state = State::Queued;
            k.account_owner = None;
        }
    }

    /// An endpoint's report of its load, for requests that are not ours.
    pub fn load(&mut self, endpoint: &ids::EndpointId, running: u32) {
        if let Some(at) = self.site_of.get(endpoint) {
            self.sites[*at].reported = running;
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
