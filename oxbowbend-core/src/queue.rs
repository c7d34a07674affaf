//! The order of waiting requests in one pool.
//!
//! Tiers are strict. Within a tier, client accounts share by work: each account has a virtual time
//! that advances by `work / weight` of what it was served, and the account with the smallest one
//! goes next (start-time fair queueing). An account that was idle starts at the current virtual
//! time, so that it gains nothing by waiting and loses nothing by having been away.
//!
//! Traded away: exact shortest-first order inside an account. Each operation costs `O(log n)`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids;

/// Virtual time advances by work times this, divided by the weight, to keep integer precision.
const VIRTUAL_SCALE: u64 = 1 << 10;

/// What the queue needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub id: ids::RequestId,
    /// Its account.
    pub account: ids::AccountId,
    /// Its tier.
    pub tier: ids::TierLevel,
    /// Weight of the account, at least 1.
    pub weight: u32,
    /// Estimated work in tokens.
    pub work: u64,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    requests: BTreeMap<u64, QueuedRequest>,
    virtual_time: u64,
}

#[derive(Clone, Debug, Default)]
struct TierQueue {
    flows: HashMap<ids::AccountId, Flow>,
    ready: BTreeSet<(u64, ids::AccountId)>,
    by_size_class: BTreeSet<(u32, u64, ids::RequestId)>,
    virtual_time: u64,
    work: u64,
    next_sweep_len: usize,
}

/// Waiting requests in the order in which they should be served.
///
/// ```
/// use oxbowbend_core::queue::{QueuedRequest, Queue};
/// let request = |id: &str, tier| QueuedRequest {
///     id: id.into(), account: "a".into(), tier, weight: 1, work: 10,
/// };
/// let mut q = Queue::default();
/// q.push(request("low", 2));
/// q.push(request("high", 0));
/// assert_eq!(&*q.peek(|_| true).unwrap().id, "high");
/// assert_eq!(&*q.victim().unwrap().id, "low");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Queue {
    tiers: BTreeMap<ids::TierLevel, TierQueue>,
    index: HashMap<ids::RequestId, (ids::TierLevel, ids::AccountId, u64)>,
    next_seq: u64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Whether `id` waits here.
    pub fn contains(&self, id: &str) -> bool {
        self.index.contains_key(id)
    }

    /// Adds a request; one that is already here is left as it is.
    pub fn push(&mut self, request: QueuedRequest) {
        if self.index.contains_key(&request.id) {
            return;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        self.index.insert(request.id.clone(), (request.tier, request.account.clone(), seq));
        self.tiers.entry(request.tier).or_default().push(seq, request);
    }

    /// Removes a request wherever it stands.
    pub fn remove(&mut self, id: &str) -> Option<QueuedRequest> {
        let (tier_level, account, seq) = self.index.remove(id)?;
        let tier = self.tiers.get_mut(&tier_level)?;
        let request = tier.remove(&account, seq);
        if tier.flows.is_empty() && tier.by_size_class.is_empty() {
            tier.virtual_time = 0;
        }
        request
    }

    /// The request to serve next among the accounts for which `eligible` holds.
    pub fn peek(&self, eligible: impl Fn(&QueuedRequest) -> bool) -> Option<&QueuedRequest> {
        self.tiers.values().find_map(|t| t.peek(&eligible))
    }

    /// The request to serve next within one tier.
    pub fn peek_tier(
        &self,
        tier: ids::TierLevel,
        eligible: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<&QueuedRequest> {
        self.tiers.get(&tier)?.peek(&eligible)
    }

    /// The first `limit` requests of an account in a tier, in order of arrival.
    pub fn oldest_of_account(
        &self,
        tier: ids::TierLevel,
        account: &str,
        limit: usize,
    ) -> impl Iterator<Item = &QueuedRequest> {
        let flow = self.tiers.get(&tier).and_then(|t| t.flows.get(account));
        flow.into_iter().flat_map(|f| f.requests.values()).take(limit)
    }

    /// Tiers that have requests waiting, the highest first.
    pub fn waiting_tiers(&self) -> Vec<ids::TierLevel> {
        self.tiers.iter().filter(|(_, t)| !t.by_size_class.is_empty()).map(|(l, _)| *l).collect()
    }

    /// Takes a request out to be served and charges its account.
    pub fn serve(&mut self, id: &str) -> Option<QueuedRequest> {
        let (tier_level, account, _) = self.index.get(id)?.clone();
        let request = self.remove(id)?;
        if let Some(tier) = self.tiers.get_mut(&tier_level) {
            tier.charge(&account, &request);
        }
        Some(request)
    }

    /// The request to shed first: of the lowest tier, among the largest the newest.
    pub fn victim(&self) -> Option<&QueuedRequest> {
        let tier = self.tiers.values().rev().find(|t| !t.by_size_class.is_empty())?;
        let (_, _, id) = tier.by_size_class.iter().next_back()?;
        let (_, account, seq) = self.index.get(id)?;
        tier.flows.get(account)?.requests.get(seq)
    }

    /// Work waiting in `tier` and every higher one, in tokens.
    pub fn work_at_or_above(&self, tier: ids::TierLevel) -> u64 {
        self.tiers.range(..=tier).map(|(_, t)| t.work).sum()
    }
}

impl TierQueue {
    fn push(&mut self, seq: u64, request: QueuedRequest) {
        self.work += request.work;
        self.by_size_class.insert((size_class(request.work), seq, request.id.clone()));
        let tier_time = self.virtual_time;
        let flow = self.flows.entry(request.account.clone()).or_default();
        if flow.requests.is_empty() {
            flow.virtual_time = flow.virtual_time.max(tier_time);
            self.ready.insert((flow.virtual_time, request.account.clone()));
        }
        flow.requests.insert(seq, request);
    }

    fn remove(&mut self, account: &ids::AccountId, seq: u64) -> Option<QueuedRequest> {
        let flow = self.flows.get_mut(account)?;
        let request = flow.requests.remove(&seq)?;
        self.work -= request.work;
        self.by_size_class.remove(&(size_class(request.work), seq, request.id.clone()));
        if flow.requests.is_empty() {
            self.ready.remove(&(flow.virtual_time, account.clone()));
            if flow.virtual_time <= self.virtual_time {
                self.flows.remove(account);
            }
        }
        Some(request)
    }

    fn peek(&self, eligible: &impl Fn(&QueuedRequest) -> bool) -> Option<&QueuedRequest> {
        self.ready
            .iter()
            .filter_map(|(_, account)| self.flows.get(account)?.requests.values().next())
            .find(|request| eligible(request))
    }

    /// Advances the account's virtual time. The account may have left `flows` when its last
    /// request was taken out, and is then put back to remember what it owes.
    fn charge(&mut self, account: &ids::AccountId, request: &QueuedRequest) {
        let tier_time = self.virtual_time;
        let flow = self.flows.entry(account.clone()).or_default();
        let waiting = !flow.requests.is_empty();
        let start = flow.virtual_time.max(tier_time);
        if waiting {
            self.ready.remove(&(flow.virtual_time, account.clone()));
        }
        flow.virtual_time = start + request.work * VIRTUAL_SCALE / u64::from(request.weight.max(1));
        if waiting {
            self.ready.insert((flow.virtual_time, account.clone()));
        }
        self.virtual_time = start;
        self.remove_idle_flows();
    }

    /// Drops idle accounts that owe nothing any more. The next sweep waits until the number of
    /// accounts has doubled, so that the cost per served request stays constant on average.
    fn remove_idle_flows(&mut self) {
        const MIN_SWEEP_LEN: usize = 64;
        if self.flows.len() < self.next_sweep_len.max(MIN_SWEEP_LEN) {
            return;
        }
        let now = self.virtual_time;
        self.flows.retain(|_, f| !f.requests.is_empty() || f.virtual_time > now);
        self.next_sweep_len = 2 * self.flows.len();
    }
}

fn size_class(work: u64) -> u32 {
    u64::BITS - work.leading_zeros()
}
