//! Queue of the requests waiting in one pool.
//!
//! Tiers have strict priority. Within a tier, client accounts share the service by start-time fair
//! queueing: an account's virtual time advances by `work / weight` of each request served, and the
//! account with the smallest virtual time goes next. An account that was idle starts at the
//! tier's current virtual time, so it neither gains nor loses by having been idle.
//!
//! Requests of an account are served in order of arrival, not shortest first. Each operation takes
//! `O(log n)` time.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids;

/// Factor of the virtual time, which keeps precision in the integer division by the weight.
const VIRTUAL_SCALE: u64 = 1 << 10;

/// A waiting request, as seen by the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub id: ids::RequestId,
    /// Client account of the request.
    pub account: ids::AccountId,
    /// Tier of the request.
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

/// Waiting requests in the order in which they are served.
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

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Whether the request is in the queue.
    pub fn contains(&self, id: &str) -> bool {
        self.index.contains_key(id)
    }

    /// Adds a request. Has no effect if it is in the queue already.
    pub fn push(&mut self, request: QueuedRequest) {
        if self.index.contains_key(&request.id) {
            return;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        self.index.insert(request.id.clone(), (request.tier, request.account.clone(), seq));
        self.tiers.entry(request.tier).or_default().push(seq, request);
    }

    /// Removes a request without charging its account.
    pub fn remove(&mut self, id: &str) -> Option<QueuedRequest> {
        let (tier_level, account, seq) = self.index.remove(id)?;
        let tier = self.tiers.get_mut(&tier_level)?;
        let request = tier.remove(&account, seq);
        if tier.flows.is_empty() && tier.by_size_class.is_empty() {
            tier.virtual_time = 0;
        }
        request
    }

    /// Returns the next request to serve among those for which `eligible` holds.
    pub fn peek(&self, eligible: impl Fn(&QueuedRequest) -> bool) -> Option<&QueuedRequest> {
        self.tiers.values().find_map(|t| t.peek(&eligible))
    }

    /// Returns the next request to serve within one tier.
    pub fn peek_tier(
        &self,
        tier: ids::TierLevel,
        eligible: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<&QueuedRequest> {
        self.tiers.get(&tier)?.peek(&eligible)
    }

    /// Returns up to `limit` of the oldest requests of an account in a tier.
    pub fn oldest_of_account(
        &self,
        tier: ids::TierLevel,
        account: &str,
        limit: usize,
    ) -> impl Iterator<Item = &QueuedRequest> {
        let flow = self.tiers.get(&tier).and_then(|t| t.flows.get(account));
        flow.into_iter().flat_map(|f| f.requests.values()).take(limit)
    }

    /// Returns the tiers with waiting requests, the highest first.
    pub fn waiting_tiers(&self) -> Vec<ids::TierLevel> {
        self.tiers.iter().filter(|(_, t)| !t.by_size_class.is_empty()).map(|(l, _)| *l).collect()
    }

    /// Removes a request to be served and charges its account.
    pub fn serve(&mut self, id: &str) -> Option<QueuedRequest> {
        let (tier_level, account, _) = self.index.get(id)?.clone();
        let request = self.remove(id)?;
        if let Some(tier) = self.tiers.get_mut(&tier_level) {
            tier.charge(&account, &request);
        }
        Some(request)
    }

    /// Returns the next request to shed: the newest of the largest requests in the lowest tier.
    pub fn victim(&self) -> Option<&QueuedRequest> {
        let tier = self.tiers.values().rev().find(|t| !t.by_size_class.is_empty())?;
        let (_, _, id) = tier.by_size_class.iter().next_back()?;
        let (_, account, seq) = self.index.get(id)?;
        tier.flows.get(account)?.requests.get(seq)
    }

    /// Work waiting in `tier` and all higher tiers, in tokens.
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

    /// Advances the account's virtual time.
    ///
    /// An account without waiting requests may be missing in `flows`. It is added again, so that
    /// its virtual time is kept.
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

    /// Removes idle accounts whose virtual time has passed.
    ///
    /// The next sweep follows when the number of accounts has doubled, which makes the cost per
    /// served request amortized constant.
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
