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

use crate::entry;
use crate::ids;
use crate::message;
use crate::queue;
use crate::selection::SelectionPolicy;
use crate::topology;
use account::AccountUse;
use site::{Offered, Site};

/// Time without a word after which a grant is taken to be lost and its request is granted again.
pub const ASK_AGAIN: Duration = Duration::from_secs(2);
/// For how long after it was sent a shed floor may be relied on at an entry that echoes it.
pub const FLOOR_TRUST: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq)]
enum State {
    Queued,
    Asked { site: usize, owner: ids::InstanceId, ask: u64, at: Instant },
    Running { site: usize },
    Refused { reason: message::Refusal, retry_after_ms: u64, at: Instant },
}

#[derive(Clone, Debug)]
struct Known {
    record: message::Record,
    entry: ids::InstanceId,
    due: Instant,
    account_owner: Option<ids::InstanceId>,
    passed: u32,
    state: State,
}

/// What an entry has said it holds, as a digest over its messages only.
#[derive(Clone, Debug, Default)]
struct Mirror {
    digest: u64,
    floor: u64,
}

#[derive(Clone, Debug)]
struct Floor {
    keep: ids::TierLevel,
    sent: BTreeMap<u64, Instant>,
    renewed: Instant,
}

/// What a scheduler must know of the other instances.
pub trait Directory {
    /// The owners of the account's permits with their numbers; `None` if it has no limit.
    fn account_owners(&self, account: &ids::AccountId) -> Option<&[(ids::InstanceId, u32)]>;
    /// Instances that may hold requests of the pool.
    fn entries(&self, pool: &ids::PoolId) -> Vec<ids::InstanceId>;
    /// Whether the lowest declared tier is `tier` or a higher one.
    fn is_lowest(&self, tier: ids::TierLevel) -> bool;
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
    requests: HashMap<ids::RequestId, Known>,
    queue: queue::Queue,
    sites: Vec<Site>,
    mirrors: BTreeMap<ids::InstanceId, Mirror>,
    asks: BTreeMap<ids::InstanceId, u64>,
    account_use: HashMap<ids::AccountId, AccountUse>,
    deadlines: BTreeSet<(Instant, ids::RequestId)>,
    floor: Option<Floor>,
    next_floor: u64,
    unanswered: BTreeSet<(Instant, ids::RequestId)>,
    site_of: HashMap<ids::EndpointId, usize>,
    /// Sites with free permits, so that a decision looks at no others.
    open: BTreeSet<usize>,
    total_slots: u32,
    fastest: Option<(Instant, f64)>,
}

impl<C: SelectionPolicy> Scheduler<C> {
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
            asks: BTreeMap::new(),
            account_use: HashMap::new(),
            deadlines: BTreeSet::new(),
            floor: None,
            next_floor: 0,
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
    pub fn enqueue(&mut self, now: Instant, from: &ids::InstanceId, record: message::Record) {
        let id = record.id.clone();
        if let Some(known) = self.requests.get(&id) {
            if known.record.attempt >= record.attempt {
                return;
            }
            self.forget(&id);
        }
        self.mirror(from, &record, false);
        let due = now + Duration::from_millis(record.due_in_ms);
        self.queue.push(item(&record));
        self.deadlines.insert((due, id.clone()));
        let entry = from.clone();
        let known =
            Known { record, entry, due, account_owner: None, passed: 0, state: State::Queued };
        self.requests.insert(id, known);
    }

    fn mirror(&mut self, entry: &ids::InstanceId, record: &message::Record, running: bool) {
        let mirror = self.mirrors.entry(entry.clone()).or_default();
        mirror.digest ^= entry::fingerprint(&record.id, record.attempt, running);
    }

    /// Removes every trace of a request.
    fn forget(&mut self, id: &str) -> Option<Known> {
        let known = self.requests.remove(id)?;
        self.queue.remove(id);
        self.deadlines.remove(&(known.due, known.record.id.clone()));
        self.leave_state(&known);
        if let Some(owner) = &known.account_owner {
            self.account_use.entry(known.record.account.clone()).or_default().give_back(owner);
        }
        let running = matches!(known.state, State::Running { .. });
        self.mirror(&known.entry, &known.record, running);
        Some(known)
    }

    fn leave_state(&mut self, known: &Known) {
        match &known.state {
            State::Asked { site, owner, ask, at } => {
                self.unanswered.remove(&(*at, known.record.id.clone()));
                self.settle_ask(*site, owner, *ask);
                self.sites[*site].running -= 1;
            }
            State::Running { site } => self.sites[*site].running -= 1,
            State::Refused { at, .. } => {
                self.unanswered.remove(&(*at, known.record.id.clone()));
            }
            State::Queued => {}
        }
    }

    fn settle_ask(&mut self, site: usize, owner: &ids::InstanceId, ask: u64) {
        if let Some(offered) = self.sites[site].offers.get_mut(owner) {
            offered.pending.remove(&ask);
        }
        self.recount(site);
    }

    /// The entry gives a waiting request up.
    pub fn withdraw(&mut self, reference: &message::GrantRef) {
        if self.is_current(reference) {
            self.forget(&reference.0);
        }
    }

    fn is_current(&self, (id, attempt): &message::GrantRef) -> bool {
        self.requests.get(id).is_some_and(|k| k.record.attempt == *attempt)
    }

    /// The entry has accepted a grant.
    pub fn taken(&mut self, reference: &message::GrantRef) {
        if !self.is_current(reference) {
            return;
        }
        let Some(known) = self.requests.get(&reference.0).cloned() else { return };
        let State::Asked { site, at, .. } = known.state else { return };
        self.unanswered.remove(&(at, known.record.id.clone()));
        self.deadlines.remove(&(known.due, known.record.id.clone()));
        self.mirror(&known.entry, &known.record, false);
        self.mirror(&known.entry, &known.record, true);
        if let Some(k) = self.requests.get_mut(&reference.0) {
            k.state = State::Running { site };
        }
    }

    /// A run has ended; the endpoint's speed is learned from it.
    pub fn done(
        &mut self,
        now: Instant,
        reference: &message::GrantRef,
        report: &message::RunReport,
    ) {
        if !self.is_current(reference) {
            return;
        }
        let Some(known) = self.forget(&reference.0) else { return };
        let State::Running { site } = known.state else { return };
        let site = &mut self.sites[site];
        match report.end {
            message::RunEnd::Complete => {
                site.breaker.record_success();
                site.speed.record_run(now, report);
            }
            message::RunEnd::Failed => site.breaker.record_failure(now),
            message::RunEnd::Cancelled => {}
        }
    }

    /// Replaces what is known of one entry's requests by its own account of them.
    pub fn report(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        waiting: Vec<message::Record>,
        running: Vec<(message::Record, ids::EndpointId)>,
    ) {
        let of_entry = |k: &&Known| k.entry == *from;
        let mut former: Vec<ids::RequestId> =
            self.requests.values().filter(of_entry).map(|k| k.record.id.clone()).collect();
        former.sort();
        former.iter().for_each(|id| {
            self.forget(id);
        });
        self.mirrors.remove(from);
        waiting.into_iter().for_each(|record| self.enqueue(now, from, record));
        running.into_iter().for_each(|(record, at)| self.learn_running(now, from, record, &at));
    }

    fn learn_running(
        &mut self,
        now: Instant,
        from: &ids::InstanceId,
        record: message::Record,
        at: &ids::EndpointId,
    ) {
        self.mirror(from, &record, true);
        let Some(site) = self.site_of.get(at).copied() else { return };
        self.sites[site].running += 1;
        self.sites[site].cache.insert(&record.prefix);
        let (id, entry) = (record.id.clone(), from.clone());
        let state = State::Running { site };
        self.requests
            .insert(id, Known { record, entry, due: now, account_owner: None, passed: 0, state });
    }

    /// Compares an entry's digest with the mirror; says whether a report is needed.
    pub fn beat(&mut self, from: &ids::InstanceId, beat: &message::PoolBeat) -> bool {
        let mirror = self.mirrors.entry(from.clone()).or_default();
        mirror.floor = beat.floor;
        mirror.digest != beat.digest
    }

    /// Drops what belongs to instances that are gone.
    pub fn retain_members(&mut self, listed: impl Fn(&str) -> bool) {
        let gone = |k: &&Known| !listed(&k.entry);
        let mut lost: Vec<ids::RequestId> =
            self.requests.values().filter(gone).map(|k| k.record.id.clone()).collect();
        lost.sort();
        lost.iter().for_each(|id| {
            self.forget(id);
        });
        self.mirrors.retain(|id, _| listed(id));
        self.asks.retain(|id, _| listed(id));
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
            offered.asks_seen = offered.asks_seen.max(offer.asks_seen);
            offered.pending = offered.pending.split_off(&(offered.asks_seen + 1));
        }
        self.recount(at);
    }

    /// An owner had no permit to give; the request goes back into the queue.
    pub fn denied(&mut self, now: Instant, grant: &message::Grant, key: &message::PermitKey) {
        let reference = (grant.request.clone(), grant.attempt);
        if !self.is_current(&reference) {
            return;
        }
        let Some(known) = self.requests.get(&grant.request) else { return };
        let State::Asked { site, owner, ask, .. } = known.state.clone() else { return };
        if ask != grant.ask {
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
        let asked = grant.hops.iter().find(|h| matches!(h.key, message::PermitKey::Account(_)));
        let Some(hop) = asked else { return };
        let used = self.account_use.entry(account.clone()).or_default();
        used.full.insert(hop.owner.clone());
    }

    /// Puts a request whose grant came to nothing back into the queue. The account's pause is left
    /// as it is: only the end of a run makes room.
    fn put_back(&mut self, now: Instant, id: &ids::RequestId) {
        let Some(known) = self.requests.get(id).cloned() else { return };
        self.leave_state(&known);
        if let Some(owner) = &known.account_owner {
            self.account_use.entry(known.record.account.clone()).or_default().take_back(owner);
        }
        self.queue.push(item(&known.record));
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

fn item(record: &message::Record) -> queue::Item {
    queue::Item {
        id: record.id.clone(),
        account: record.account.clone(),
        tier: record.tier,
        weight: record.weight,
        work: record.work(),
    }
}
