//! Order and choice for one pool.
//!
//! The scheduler of a pool sees small records of all requests that wait in the pool, wherever they
//! are kept, and decides which runs next, where, and which is refused. It stores nothing: a new
//! one rebuilds its state from the entries' reports within a heartbeat. It owns no permit, so that
//! a wrong or late decision of a scheduler is refused by a permit's owner or by the entry instance.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::budget::Breaker;
use crate::cache::PrefixCache;
use crate::choose::{Candidate, Choose};
use crate::entry::fingerprint;
use crate::ids::{AccountId, Attempt, EndpointId, InstanceId, PoolId, RequestId, TierLevel};
use crate::message::{
    Grant, GrantRef, Hop, Message, Offer, PermitKey, PoolBeat, Record, Refusal, RunEnd, RunReport,
};
use crate::node::Action;
use crate::queue::{Item, Queue};
use crate::speed::Speed;
use crate::topology::{Endpoint, Pool};

/// Time without a word after which a grant is taken to be lost and its request is granted again.
pub const ASK_AGAIN: Duration = Duration::from_secs(2);
/// For how long after it was sent a shed floor may be relied on at an entry that echoes it.
pub const FLOOR_TRUST: Duration = Duration::from_secs(2);
/// Time between two sendings of a shed floor that is in force.
const FLOOR_RENEW: Duration = Duration::from_millis(500);
/// Time for which an account is passed over after an owner denied it a permit.
const ACCOUNT_PAUSE: Duration = Duration::from_millis(50);
/// Part of the queue bound under which a shed floor is lifted.
const FLOOR_LIFT: f64 = 0.8;
/// Requests of an account among which the one is chosen whose prompt a free endpoint has cached.
const LOOK_AHEAD: usize = 32;
/// Free endpoints up to which that choice is made; with more, the first request finds its own.
const FEW_SITES: usize = 24;
/// Times that a request may be passed over for the sake of a cached prompt.
const MAX_PASSED: u32 = 64;
/// Part of a pool's slots that is kept free of each lower tier, per level.
const KEEP_PER_LEVEL: f64 = 0.04;
/// Time between two looks at which endpoint is the fastest.
const LOOK_UP_FASTEST: Duration = Duration::from_millis(100);
/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

#[derive(Clone, Debug, PartialEq)]
enum State {
    Queued,
    Asked { site: usize, owner: InstanceId, ask: u64, at: Instant },
    Running { site: usize },
    Refused { reason: Refusal, retry_after_ms: u64, at: Instant },
}

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    entry: InstanceId,
    due: Instant,
    account_owner: Option<InstanceId>,
    passed: u32,
    state: State,
}

#[derive(Clone, Debug, Default)]
struct Offered {
    free: u32,
    asks_seen: u64,
    pending: BTreeSet<u64>,
}

impl Offered {
    fn available(&self) -> u32 {
        let in_flight = self.pending.range(self.asks_seen + 1..).count() as u32;
        self.free.saturating_sub(in_flight)
    }
}

#[derive(Clone, Debug)]
struct Site {
    id: EndpointId,
    endpoint: Endpoint,
    offers: BTreeMap<InstanceId, Offered>,
    speed: Speed,
    cache: PrefixCache,
    breaker: Breaker,
    running: u32,
    reported: u32,
    /// Free permits, kept up to date by [`Scheduler::recount`].
    free: u32,
}

impl Site {
    fn new(id: EndpointId, endpoint: Endpoint) -> Site {
        Site {
            id,
            speed: Speed::new(endpoint.prefill_rate, endpoint.decode_rate),
            cache: PrefixCache::new(endpoint.cache_tokens),
            endpoint,
            offers: BTreeMap::new(),
            breaker: Breaker::default(),
            running: 0,
            reported: 0,
            free: 0,
        }
    }

    fn usable(&self, now: Instant) -> bool {
        !self.endpoint.leaving && self.breaker.allows(now)
    }

    /// Predicted seconds, with prefill weighed as the pool's settings say.
    fn cost(&self, record: &Record, prefill_bias: f64) -> f64 {
        let cached = self.cache.cached_tokens(&record.prefix).min(record.prompt_tokens);
        let fresh = record.prompt_tokens - cached;
        let seconds = self.speed.predict_seconds(fresh, record.output_tokens);
        seconds + prefill_bias * self.speed.predict_seconds(fresh, 0)
    }

    /// This instance if it has a permit free, which saves a hop, or else the owner with the most.
    fn best_owner(&self, me: &InstanceId) -> Option<InstanceId> {
        let rank = |(owner, o): &(&InstanceId, &Offered)| (*owner == me, o.available());
        let free = self.offers.iter().filter(|(_, o)| o.available() > 0);
        free.max_by_key(rank).map(|(owner, _)| owner.clone())
    }
}

/// What an entry has said it holds, as a digest over its messages only.
#[derive(Clone, Debug, Default)]
struct Mirror {
    digest: u64,
    floor: u64,
}

#[derive(Clone, Debug)]
struct Floor {
    keep: TierLevel,
    sent: BTreeMap<u64, Instant>,
    renewed: Instant,
}

/// Every permit of an account is in use.
struct AccountFull;

/// What a scheduler must know of the other instances.
pub trait Directory {
    /// The owners of the account's permits with their numbers; `None` if it has no limit.
    fn account_owners(&self, account: &AccountId) -> Option<&[(InstanceId, u32)]>;
    /// Instances that may hold requests of the pool.
    fn entries(&self, pool: &PoolId) -> Vec<InstanceId>;
    /// Whether the lowest declared tier is `tier` or a higher one.
    fn is_lowest(&self, tier: TierLevel) -> bool;
}

/// The scheduler of one pool.
#[derive(Clone, Debug)]
pub struct Scheduler<C> {
    me: InstanceId,
    pool: PoolId,
    queue_bound: usize,
    prefill_bias: f64,
    choose: C,
    requests: HashMap<RequestId, Known>,
    queue: Queue,
    sites: Vec<Site>,
    mirrors: BTreeMap<InstanceId, Mirror>,
    asks: BTreeMap<InstanceId, u64>,
    account_use: HashMap<AccountId, AccountUse>,
    deadlines: BTreeSet<(Instant, RequestId)>,
    floor: Option<Floor>,
    next_floor: u64,
    unanswered: BTreeSet<(Instant, RequestId)>,
    site_of: HashMap<EndpointId, usize>,
    /// Sites with free permits, so that a decision looks at no others.
    open: BTreeSet<usize>,
    total_slots: u32,
    fastest: Option<(Instant, f64)>,
}

/// What this scheduler's own grants use of an account's permits, and what was denied.
#[derive(Clone, Debug, Default)]
struct AccountUse {
    in_use: BTreeMap<InstanceId, u32>,
    full: BTreeSet<InstanceId>,
    paused_until: Option<Instant>,
}

impl AccountUse {
    fn pause(&mut self, now: Instant) {
        self.paused_until = Some(now + ACCOUNT_PAUSE);
        self.full.clear();
    }

    /// A grant came to nothing.
    fn take_back(&mut self, owner: &InstanceId) {
        if let Some(n) = self.in_use.get_mut(owner) {
            *n = n.saturating_sub(1);
        }
    }

    /// A run has ended, which makes room.
    fn give_back(&mut self, owner: &InstanceId) {
        self.take_back(owner);
        self.full.remove(owner);
        self.paused_until = None;
    }

    /// The owner that should have the most permits left.
    fn best_owner(&self, shares: &[(InstanceId, u32)]) -> Option<InstanceId> {
        let left = |(owner, n): &(InstanceId, u32)| {
            n.saturating_sub(self.in_use.get(owner).copied().unwrap_or(0))
        };
        let open = shares.iter().filter(|s| !self.full.contains(&s.0) && left(s) > 0);
        open.max_by_key(|s| left(s)).map(|(owner, _)| owner.clone())
    }
}

impl<C: Choose> Scheduler<C> {
    /// Creates a scheduler that knows of no requests and no permits.
    pub fn new(me: InstanceId, pool: PoolId, config: &Pool, choose: C) -> Scheduler<C> {
        let mut scheduler = Scheduler {
            me,
            pool,
            queue_bound: config.queue_bound,
            prefill_bias: config.prefill_bias,
            choose,
            requests: HashMap::new(),
            queue: Queue::default(),
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
    pub fn configure(&mut self, config: &Pool) {
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

    /// Whether any entry relies on this scheduler.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Takes in a waiting request.
    pub fn enqueue(&mut self, now: Instant, from: &InstanceId, record: Record) {
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

    fn mirror(&mut self, entry: &InstanceId, record: &Record, running: bool) {
        let mirror = self.mirrors.entry(entry.clone()).or_default();
        mirror.digest ^= fingerprint(&record.id, record.attempt, running);
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

    fn settle_ask(&mut self, site: usize, owner: &InstanceId, ask: u64) {
        if let Some(offered) = self.sites[site].offers.get_mut(owner) {
            offered.pending.remove(&ask);
        }
        self.recount(site);
    }

    /// The entry gives a waiting request up.
    pub fn withdraw(&mut self, reference: &GrantRef) {
        if self.is_current(reference) {
            self.forget(&reference.0);
        }
    }

    fn is_current(&self, (id, attempt): &GrantRef) -> bool {
        self.requests.get(id).is_some_and(|k| k.record.attempt == *attempt)
    }

    /// The entry has accepted a grant.
    pub fn taken(&mut self, reference: &GrantRef) {
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
    pub fn done(&mut self, now: Instant, reference: &GrantRef, report: &RunReport) {
        if !self.is_current(reference) {
            return;
        }
        let Some(known) = self.forget(&reference.0) else { return };
        let State::Running { site } = known.state else { return };
        let site = &mut self.sites[site];
        match report.end {
            RunEnd::Complete => {
                site.breaker.succeeded();
                site.speed.learn(now, report);
            }
            RunEnd::Failed => site.breaker.failed(now),
            RunEnd::Cancelled => {}
        }
    }

    /// Replaces what is known of one entry's requests by its own account of them.
    pub fn report(
        &mut self,
        now: Instant,
        from: &InstanceId,
        waiting: Vec<Record>,
        running: Vec<(Record, EndpointId)>,
    ) {
        let of_entry = |k: &&Known| k.entry == *from;
        let mut former: Vec<RequestId> =
            self.requests.values().filter(of_entry).map(|k| k.record.id.clone()).collect();
        former.sort();
        former.iter().for_each(|id| {
            self.forget(id);
        });
        self.mirrors.remove(from);
        waiting.into_iter().for_each(|record| self.enqueue(now, from, record));
        running.into_iter().for_each(|(record, at)| self.learn_running(now, from, record, &at));
    }

    fn learn_running(&mut self, now: Instant, from: &InstanceId, record: Record, at: &EndpointId) {
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
    pub fn beat(&mut self, from: &InstanceId, beat: &PoolBeat) -> bool {
        let mirror = self.mirrors.entry(from.clone()).or_default();
        mirror.floor = beat.floor;
        mirror.digest != beat.digest
    }

    /// Drops what belongs to instances that are gone.
    pub fn retain_members(&mut self, listed: impl Fn(&str) -> bool) {
        let gone = |k: &&Known| !listed(&k.entry);
        let mut lost: Vec<RequestId> =
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
    pub fn offer(&mut self, from: &InstanceId, offer: &Offer) {
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
    pub fn denied(&mut self, now: Instant, grant: &Grant, key: &PermitKey) {
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
            PermitKey::Endpoint(_) => {
                if let Some(offered) = self.sites[site].offers.get_mut(&owner) {
                    offered.free = 0;
                }
                self.recount(site);
            }
            PermitKey::Account(account) => self.account_denied(grant, account),
        }
        self.put_back(now, &grant.request);
    }

    fn account_denied(&mut self, grant: &Grant, account: &AccountId) {
        let asked = grant.hops.iter().find(|h| matches!(h.key, PermitKey::Account(_)));
        let Some(hop) = asked else { return };
        let used = self.account_use.entry(account.clone()).or_default();
        used.full.insert(hop.owner.clone());
    }

    /// Puts a request whose grant came to nothing back into the queue. The account's pause is left
    /// as it is: only the end of a run makes room.
    fn put_back(&mut self, now: Instant, id: &RequestId) {
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
    pub fn load(&mut self, endpoint: &EndpointId, running: u32) {
        if let Some(at) = self.site_of.get(endpoint) {
            self.sites[*at].reported = running;
        }
    }

    /// Decides everything that can be decided now.
    pub fn pump(&mut self, now: Instant, directory: &impl Directory, out: &mut Vec<Action>) {
        self.give_up_late(now, out);
        self.ask_again(now, out);
        while self.grant_next(now, directory, out) {}
        self.bound_queue(now, directory, out);
    }

    fn give_up_late(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.deadlines.is_empty() {
            return;
        }
        let best = self.fastest(now);
        if !best.is_finite() {
            return;
        }
        while let Some((due, id)) = self.deadlines.first().cloned() {
            let Some(known) = self.requests.get(&id) else { break };
            let least = best * f64::from(known.record.output_tokens);
            if now + Duration::from_secs_f64(least.min(86_400.0)) < due {
                break;
            }
            self.deadlines.pop_first();
            if known.state == State::Queued {
                self.refuse(now, &id, Refusal::Deadline, out);
            }
        }
    }

    /// Seconds that an output token takes at the fastest endpoint; looked up once in a while.
    fn fastest(&mut self, now: Instant) -> f64 {
        if let Some((at, best)) = self.fastest {
            if now.saturating_duration_since(at) < LOOK_UP_FASTEST {
                return best;
            }
        }
        let usable = self.sites.iter().filter(|s| s.usable(now));
        let seconds = usable.map(|s| s.speed.predict_seconds(0, 1));
        let best = seconds.fold(f64::INFINITY, f64::min);
        self.fastest = Some((now, best));
        best
    }

    fn refuse(&mut self, now: Instant, id: &RequestId, reason: Refusal, out: &mut Vec<Action>) {
        let retry_after_ms = self.retry_after().as_millis() as u64;
        self.queue.remove(id);
        let Some(known) = self.requests.get_mut(id) else { return };
        known.state = State::Refused { reason, retry_after_ms, at: now };
        self.unanswered.insert((now, id.clone()));
        let (request, attempt) = (id.clone(), known.record.attempt);
        let message = Message::Refuse { request, attempt, reason, retry_after_ms };
        out.push(Action::send(&known.entry, message));
    }

    /// Time after which the work that waits now should have been served.
    fn retry_after(&self) -> Duration {
        let rate = |s: &Site| f64::from(s.endpoint.slots) / s.speed.predict_seconds(0, 1).max(1e-9);
        let rate: f64 = self.sites.iter().filter(|s| !s.endpoint.leaving).map(rate).sum();
        let seconds = self.queue.work_down_to(TierLevel::MAX) as f64 / rate.max(1e-9);
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(seconds.min(longest)).max(MIN_RETRY_AFTER)
    }

    /// A grant or refusal that nobody has answered may be lost.
    fn ask_again(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((at, id)) = self.unanswered.first().cloned() {
            if now.saturating_duration_since(at) < ASK_AGAIN {
                break;
            }
            self.unanswered.pop_first();
            match self.requests.get(&id).map(|k| k.state.clone()) {
                Some(State::Refused { reason, .. }) => self.refuse(now, &id, reason, out),
                Some(State::Asked { .. }) => self.put_back(now, &id),
                _ => {}
            }
        }
    }

    fn grant_next(
        &mut self,
        now: Instant,
        directory: &impl Directory,
        out: &mut Vec<Action>,
    ) -> bool {
        let free: u32 = self.open_sites(now).map(|(_, s)| s.free).sum();
        if free == 0 {
            return false;
        }
        for level in self.queue.levels() {
            if free <= kept_from(level, self.total_slots) {
                return false;
            }
            let accounts = &self.account_use;
            let eligible = |i: &Item| {
                let paused = accounts.get(&i.account).and_then(|a| a.paused_until);
                paused.is_none_or(|until| until <= now)
            };
            let Some(head) = self.queue.next_in(level, eligible).cloned() else { continue };
            let (id, site) = match self.cached_pair(now, &head) {
                Some(pair) => pair,
                None => match self.choose_site(now, &head.id) {
                    Some(site) => (head.id, site),
                    None => return false,
                },
            };
            self.grant(now, &id, site, directory, out);
            return true;
        }
        false
    }

    /// When only a few endpoints are free, it is worth more to send them what they have cached than
    /// to keep to the order of arrival within the account. Whose turn it is stays as it was.
    fn cached_pair(&mut self, now: Instant, head: &Item) -> Option<(RequestId, usize)> {
        if self.requests.get(&head.id)?.passed >= MAX_PASSED {
            return None;
        }
        let free = self.open_sites(now).filter(|(_, s)| !s.speed.avoid(now));
        let free: Vec<(usize, &Site)> = free.take(FEW_SITES + 1).collect();
        if free.len() > FEW_SITES {
            return None;
        }
        let mut best: Option<(u32, &RequestId, usize)> = None;
        for item in self.queue.first_of(head.tier, &head.account, LOOK_AHEAD) {
            let Some(known) = self.requests.get(&item.id) else { continue };
            for (index, site) in &free {
                let cached = site.cache.cached_tokens(&known.record.prefix);
                if cached > best.as_ref().map_or(0, |b| b.0) {
                    best = Some((cached, &item.id, *index));
                }
            }
        }
        let (_, id, site) = best?;
        let id = id.clone();
        if id != head.id {
            self.requests.get_mut(&head.id)?.passed += 1;
        }
        Some((id, site))
    }

    fn choose_site(&mut self, now: Instant, id: &RequestId) -> Option<usize> {
        let record = &self.requests.get(id)?.record;
        let candidates: Vec<Candidate> = self
            .open_sites(now)
            .map(|(index, s)| Candidate {
                index,
                seconds: s.cost(record, self.prefill_bias),
                outstanding: s.running,
                reported: s.reported,
                avoid: s.speed.avoid(now),
            })
            .collect();
        let chosen = self.choose.choose(&candidates)?;
        Some(candidates[chosen].index)
    }

    fn grant(
        &mut self,
        now: Instant,
        id: &RequestId,
        site: usize,
        directory: &impl Directory,
        out: &mut Vec<Action>,
    ) {
        let Some(owner) = self.sites[site].best_owner(&self.me) else { return };
        let Some(known) = self.requests.get(id).cloned() else { return };
        let account = &known.record.account;
        let Ok(account_hop) = self.account_hop(now, account, directory) else { return };
        self.queue.serve(id);
        let ask = self.asks.entry(owner.clone()).or_default();
        *ask += 1;
        let ask = *ask;
        let target = &mut self.sites[site];
        target.running += 1;
        target.cache.insert(&known.record.prefix);
        target.speed.probe();
        target.offers.entry(owner.clone()).or_default().pending.insert(ask);
        self.recount(site);
        let target = &self.sites[site];
        let key = PermitKey::Endpoint(target.id.clone());
        let endpoint = target.id.clone();
        let account_owner = account_hop.as_ref().map(|h| h.owner.clone());
        let mut hops: Vec<Hop> = account_hop.into_iter().collect();
        hops.push(Hop { owner: owner.clone(), key, index: None });
        let grant = Grant {
            request: id.clone(),
            attempt: known.record.attempt,
            pool: self.pool.clone(),
            endpoint,
            entry: known.entry.clone(),
            scheduler: self.me.clone(),
            ask,
            hops,
        };
        let first = grant.hops[0].owner.clone();
        out.push(Action::send(&first, Message::Grant(grant)));
        self.unanswered.insert((now, id.clone()));
        if let Some(k) = self.requests.get_mut(id) {
            k.account_owner = account_owner;
            k.state = State::Asked { site, owner, ask, at: now };
        }
    }

    /// The owner to ask for the account's permit, if it needs one. An account whose permits are
    /// all in use is passed over for a moment, or until one of its runs ends.
    fn account_hop(
        &mut self,
        now: Instant,
        account: &AccountId,
        directory: &impl Directory,
    ) -> Result<Option<Hop>, AccountFull> {
        let Some(shares) = directory.account_owners(account) else { return Ok(None) };
        let used = self.account_use.entry(account.clone()).or_default();
        let Some(owner) = used.best_owner(shares) else {
            used.pause(now);
            return Err(AccountFull);
        };
        *used.in_use.entry(owner.clone()).or_default() += 1;
        Ok(Some(Hop { owner, key: PermitKey::Account(account.clone()), index: None }))
    }

    /// Sheds what is too much: the lowest tier at once, a higher one only when every entry that
    /// may keep requests of the pool has promised to keep none of a lower tier.
    fn bound_queue(&mut self, now: Instant, directory: &impl Directory, out: &mut Vec<Action>) {
        while self.queue.len() > self.queue_bound {
            let Some(victim) = self.queue.victim().map(|i| (i.id.clone(), i.tier)) else { return };
            let (id, tier) = victim;
            if !directory.is_lowest(tier) && !self.floor_holds(now, tier, directory, out) {
                return;
            }
            self.refuse(now, &id, Refusal::Shed, out);
        }
        let low = (self.queue_bound as f64 * FLOOR_LIFT) as usize;
        if self.floor.is_some() && self.queue.len() <= low {
            self.floor = None;
            self.send_floor(None, directory, out);
        }
    }

    fn floor_holds(
        &mut self,
        now: Instant,
        tier: TierLevel,
        directory: &impl Directory,
        out: &mut Vec<Action>,
    ) -> bool {
        let renew = self
            .floor
            .as_ref()
            .is_none_or(|f| f.keep != tier || now.duration_since(f.renewed) >= FLOOR_RENEW);
        if renew {
            let seq = self.send_floor(Some(tier), directory, out);
            let former = self.floor.take().filter(|f| f.keep == tier);
            let mut sent = former.map(|f| f.sent).unwrap_or_default();
            sent.insert(seq, now);
            self.floor = Some(Floor { keep: tier, sent, renewed: now });
        }
        let Some(floor) = &mut self.floor else { return false };
        floor.sent.retain(|_, at| now.duration_since(*at) < FLOOR_TRUST);
        let entries = directory.entries(&self.pool);
        let mirrors = &self.mirrors;
        let echoes =
            |id| mirrors.get(id).is_some_and(|m: &Mirror| floor.sent.contains_key(&m.floor));
        entries.iter().all(echoes)
    }

    fn send_floor(
        &mut self,
        keep: Option<TierLevel>,
        directory: &impl Directory,
        out: &mut Vec<Action>,
    ) -> u64 {
        self.next_floor += 1;
        let seq = self.next_floor;
        for entry in directory.entries(&self.pool) {
            let message = Message::Floor { pool: self.pool.clone(), seq, keep };
            out.push(Action::send(&entry, message));
        }
        seq
    }

    /// Attempt and state of a request, for tests and status pages.
    pub fn attempt(&self, id: &str) -> Option<Attempt> {
        self.requests.get(id).map(|k| k.record.attempt)
    }
}

fn item(record: &Record) -> Item {
    Item {
        id: record.id.clone(),
        account: record.account.clone(),
        tier: record.tier,
        weight: record.weight,
        work: record.work(),
    }
}

/// Slots that stay free of a tier, so that one long request of it does not hold up higher ones.
fn kept_from(level: TierLevel, total: u32) -> u32 {
    (f64::from(total) * KEEP_PER_LEVEL * f64::from(level)) as u32
}
