//! Permits, which enforce the limits on running requests.
//!
//! Each slot of an endpoint is a permit, and so is each request that a client account may have
//! running. A permit belongs to exactly one instance, its owner, and only the owner reserves it for
//! a grant. Schedulers only choose requests and endpoints: each grant passes through the owners on
//! its way to the ingress instance. No failure, partition or pause of a scheduler can therefore
//! exceed a limit. `docs/design/permits.md` compares this design with its alternatives.
//!
//! A permit changes owner by a claim that every listed instance must answer. A live owner keeps a
//! permit until it cedes it. If the owner is gone, each ingress instance names the claimed permits
//! that its requests use. A permit that is neither ceded nor in use is *in doubt*: it is not
//! reserved again until the endpoint's load shows that it is free, or until the maximum run time
//! has passed.
//!
//! The cost is one more hop per grant, and the loss of permits whose owner and user failed together
//! for up to [`crate::topology::Topology::max_run`].

mod claims;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::ids;
use crate::message;

/// Time after which an owner asks an ingress instance whether a grant is in use.
pub const USAGE_QUERY_DELAY: Duration = Duration::from_secs(1);
/// Time between repeated queries about a grant confirmed to be in use.
pub const USAGE_QUERY_INTERVAL: Duration = Duration::from_secs(5);

/// The grant for which a permit is reserved.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The granted request.
    pub request: ids::RequestId,
    /// The granted attempt.
    pub attempt: ids::Attempt,
    /// Ingress instance of the request.
    pub ingress: ids::InstanceId,
    /// Endpoint of the run.
    pub endpoint: ids::EndpointId,
    query_at: Instant,
    orphaned_at: Option<Instant>,
}

#[derive(Clone, Debug, PartialEq)]
enum PermitState {
    Free,
    Reserved(Reservation),
    InDoubt { since: Instant },
}

/// The owned permits of one key.
#[derive(Clone, Debug, Default)]
struct PermitSet {
    states: BTreeMap<u32, PermitState>,
    free: BTreeSet<u32>,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    nonce: u64,
    permits: BTreeSet<message::Permit>,
    awaiting: BTreeSet<ids::InstanceId>,
    ceded: HashSet<message::Permit>,
    uses: HashMap<message::Permit, (ids::InstanceId, message::PermitUse)>,
}

/// Usage queries to send, by ingress instance.
pub type UsageQueries = BTreeMap<ids::InstanceId, Vec<message::PermitUse>>;

/// The permits owned by one instance.
///
/// ```
/// use std::time::Instant;
/// use oxbowbend_core::message::{Permit, PermitKey};
/// use oxbowbend_core::permits::Permits;
/// let mut permits = Permits::new(1);
/// let permit = Permit { key: PermitKey::Endpoint("e".into()), index: 0 };
/// // Without other instances, a claim completes at once.
/// permits.start_claim(&[permit.clone()].into(), [].into());
/// assert!(permits.complete_claim(Instant::now(), |_| true));
/// assert_eq!(permits.count(&permit.key), (1, 1));
/// ```
#[derive(Clone, Debug)]
pub struct Permits {
    sets: BTreeMap<message::PermitKey, PermitSet>,
    by_grant: HashMap<message::GrantId, Vec<message::Permit>>,
    claim: Option<PendingClaim>,
    next_nonce: u64,
    /// Permits that another instance may have owned since this instance joined.
    owned_elsewhere: HashSet<message::Permit>,
    changed: BTreeSet<ids::EndpointId>,
}

impl Permits {
    /// Creates a set without permits. `seed` must differ between restarts, to keep nonces unique.
    pub fn new(seed: u64) -> Permits {
        Permits {
            sets: BTreeMap::new(),
            by_grant: HashMap::new(),
            claim: None,
            next_nonce: seed,
            owned_elsewhere: HashSet::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Reserves a permit of `key` for a grant. Repeating the call for the same grant has no effect.
    pub fn reserve(
        &mut self,
        now: Instant,
        key: &message::PermitKey,
        grant: &message::Grant,
    ) -> Option<u32> {
        let grant_id = (grant.request.clone(), grant.attempt);
        if let Some(index) = self.reserved(&grant_id, key) {
            return Some(index);
        }
        let set = self.sets.get_mut(key)?;
        let index = set.free.pop_first()?;
        let reservation = Reservation {
            request: grant.request.clone(),
            attempt: grant.attempt,
            ingress: grant.ingress.clone(),
            endpoint: grant.endpoint.clone(),
            query_at: now + USAGE_QUERY_DELAY,
            orphaned_at: None,
        };
        set.states.insert(index, PermitState::Reserved(reservation));
        let permit = message::Permit { key: key.clone(), index };
        self.by_grant.entry(grant_id).or_default().push(permit);
        self.mark_changed(key);
        Some(index)
    }

    fn reserved(&self, grant_id: &message::GrantId, key: &message::PermitKey) -> Option<u32> {
        let permits = self.by_grant.get(grant_id)?;
        permits.iter().find(|p| p.key == *key).map(|p| p.index)
    }

    /// Releases the permits reserved for a grant, or only the one of `key`.
    pub fn release(&mut self, grant_id: &message::GrantId, key: Option<&message::PermitKey>) {
        let Some(permits) = self.by_grant.get_mut(grant_id) else { return };
        let wanted = |p: &message::Permit| key.is_none_or(|k| *k == p.key);
        let freed: Vec<message::Permit> = permits.iter().filter(|p| wanted(p)).cloned().collect();
        permits.retain(|p| !wanted(p));
        if permits.is_empty() {
            self.by_grant.remove(grant_id);
        }
        freed.iter().for_each(|p| self.set_free(p));
    }

    fn set_free(&mut self, permit: &message::Permit) {
        if let Some(set) = self.sets.get_mut(&permit.key) {
            set.states.insert(permit.index, PermitState::Free);
            set.free.insert(permit.index);
        }
        self.mark_changed(&permit.key);
    }

    fn mark_changed(&mut self, key: &message::PermitKey) {
        if let message::PermitKey::Endpoint(endpoint) = key {
            self.changed.insert(endpoint.clone());
        }
    }

    /// Takes the set of endpoints whose permit counts have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<ids::EndpointId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the number of free and of owned permits of a key.
    pub fn count(&self, key: &message::PermitKey) -> (u32, u32) {
        let Some(set) = self.sets.get(key) else { return (0, 0) };
        (set.free.len() as u32, set.states.len() as u32)
    }

    /// Whether this instance owns `permit`.
    pub fn owns(&self, permit: &message::Permit) -> bool {
        self.sets.get(&permit.key).is_some_and(|s| s.states.contains_key(&permit.index))
    }

    /// Keys of the permits owned here.
    pub fn keys(&self) -> impl Iterator<Item = &message::PermitKey> {
        self.sets.keys()
    }

    /// Current reservations.
    pub fn reservations(&self) -> impl Iterator<Item = (&message::PermitKey, &Reservation)> {
        self.sets.iter().flat_map(|(key, set)| {
            set.states.values().filter_map(move |state| match state {
                PermitState::Reserved(r) => Some((key, r)),
                _ => None,
            })
        })
    }

    /// Number of owned permits.
    pub fn owned(&self) -> usize {
        self.sets.values().map(|s| s.states.len()).sum()
    }

    /// Number of owned permits in doubt.
    pub fn in_doubt(&self) -> usize {
        let states = self.sets.values().flat_map(|s| s.states.values());
        states.filter(|state| matches!(state, PermitState::InDoubt { .. })).count()
    }

    /// Returns the usage queries that are due and schedules their next repetition.
    pub fn due_usage_queries(&mut self, now: Instant) -> UsageQueries {
        let mut due = UsageQueries::new();
        for (key, set) in &mut self.sets {
            for (index, state) in &mut set.states {
                let PermitState::Reserved(reservation) = state else { continue };
                if reservation.orphaned_at.is_some() || reservation.query_at > now {
                    continue;
                }
                reservation.query_at = now + USAGE_QUERY_DELAY;
                let permit = message::Permit { key: key.clone(), index: *index };
                let grant = (reservation.request.clone(), reservation.attempt);
                let query =
                    message::PermitUse { permit, grant, endpoint: reservation.endpoint.clone() };
                due.entry(reservation.ingress.clone()).or_default().push(query);
            }
        }
        due
    }

    /// Handles a reply that a permit is not, and will not be, used by a grant.
    pub fn handle_not_in_use(&mut self, u: &message::PermitUse) {
        self.release(&u.grant, Some(&u.permit.key));
    }

    /// Handles a reply that grants are in use.
    pub fn confirm_use(&mut self, now: Instant, grants: &[message::GrantId]) {
        for grant_id in grants {
            let Some(permits) = self.by_grant.get(grant_id) else { continue };
            for p in permits {
                let state = self.sets.get_mut(&p.key).and_then(|s| s.states.get_mut(&p.index));
                if let Some(PermitState::Reserved(reservation)) = state {
                    reservation.query_at = now + USAGE_QUERY_INTERVAL;
                }
            }
        }
    }

    fn reservations_mut(&mut self) -> impl Iterator<Item = &mut Reservation> {
        self.sets.values_mut().flat_map(|s| s.states.values_mut()).filter_map(|state| match state {
            PermitState::Reserved(reservation) => Some(reservation),
            _ => None,
        })
    }

    /// Marks the reservations of unlisted ingress instances as orphaned.
    pub fn mark_orphaned(&mut self, now: Instant, listed: impl Fn(&str) -> bool) {
        for reservation in
            self.reservations_mut().filter(|r| r.orphaned_at.is_none() && !listed(&r.ingress))
        {
            reservation.orphaned_at = Some(now);
        }
    }

    /// Runs whose ingress instance is gone, to be queried at their endpoints.
    pub fn orphaned_runs(&self) -> Vec<(ids::EndpointId, message::GrantId)> {
        let orphaned = self.reservations().filter(|(_, r)| r.orphaned_at.is_some());
        let mut runs: Vec<_> =
            orphaned.map(|(_, r)| (r.endpoint.clone(), (r.request.clone(), r.attempt))).collect();
        runs.sort();
        runs.dedup();
        runs
    }

    /// Endpoints with permits in doubt, whose load is to be queried.
    pub fn endpoints_in_doubt(&self) -> BTreeSet<ids::EndpointId> {
        let in_doubt = |s: &PermitSet| {
            s.states.values().any(|state| matches!(state, PermitState::InDoubt { .. }))
        };
        let keys = self.sets.iter().filter(|(_, s)| in_doubt(s)).map(|(k, _)| k);
        keys.filter_map(|k| match k {
            message::PermitKey::Endpoint(e) => Some(e.clone()),
            message::PermitKey::Account(_) => None,
        })
        .collect()
    }

    /// Whether any account permit is in doubt.
    pub fn has_accounts_in_doubt(&self) -> bool {
        self.sets.iter().any(|(k, s)| {
            matches!(k, message::PermitKey::Account(_))
                && s.states.values().any(|state| matches!(state, PermitState::InDoubt { .. }))
        })
    }

    /// Frees permits in doubt at an endpoint that reported `running` requests.
    ///
    /// The runs that use permits in doubt are among those reported, so at least `n - running` of
    /// `n` permits in doubt are free, even if several owners conclude so at the same time. Only
    /// permits that came into doubt before `observed_at`, the earliest time that the report may
    /// describe, are counted.
    pub fn resolve_endpoint(
        &mut self,
        endpoint: &ids::EndpointId,
        running: u32,
        observed_at: Instant,
    ) {
        let key = message::PermitKey::Endpoint(endpoint.clone());
        let in_doubt = self.in_doubt_before(&key, observed_at);
        let freed = in_doubt.len().saturating_sub(running as usize);
        for index in in_doubt.into_iter().take(freed) {
            self.set_free(&message::Permit { key: key.clone(), index });
        }
    }

    /// Frees account permits in doubt after every endpoint was idle at `observed_at` or later.
    pub fn resolve_accounts(&mut self, observed_at: Instant) {
        let keys: Vec<message::PermitKey> = self.sets.keys().cloned().collect();
        for key in keys.into_iter().filter(|k| matches!(k, message::PermitKey::Account(_))) {
            for index in self.in_doubt_before(&key, observed_at) {
                self.set_free(&message::Permit { key: key.clone(), index });
            }
        }
    }

    fn in_doubt_before(&self, key: &message::PermitKey, observed_at: Instant) -> Vec<u32> {
        let Some(set) = self.sets.get(key) else { return Vec::new() };
        let is_old = |state: &PermitState| match state {
            PermitState::InDoubt { since } => *since <= observed_at,
            _ => false,
        };
        set.states.iter().filter(|(_, state)| is_old(state)).map(|(i, _)| *i).collect()
    }

    /// Frees permits in doubt and orphaned reservations that are older than the maximum run time.
    pub fn expire(&mut self, now: Instant, max_run: impl Fn(&message::PermitKey) -> Duration) {
        let mut freed = Vec::new();
        for (key, set) in &self.sets {
            let max_run = max_run(key);
            let over = |since: Instant| now.duration_since(since) >= max_run;
            for (index, state) in &set.states {
                let permit = message::Permit { key: key.clone(), index: *index };
                match state {
                    PermitState::InDoubt { since } if over(*since) => freed.push((permit, None)),
                    PermitState::Reserved(r) if r.orphaned_at.is_some_and(over) => {
                        freed.push((permit, Some((r.request.clone(), r.attempt))));
                    }
                    _ => {}
                }
            }
        }
        for (permit, grant_id) in freed {
            match grant_id {
                Some(grant_id) => self.release(&grant_id, None),
                None => self.set_free(&permit),
            }
        }
    }

    /// Discards all permits without ceding them, after a pause or a removal from the list.
    pub fn discard_all(&mut self) {
        let sets = std::mem::take(&mut self.sets);
        self.by_grant.clear();
        self.claim = None;
        for (key, set) in sets {
            self.mark_changed(&key);
            let owned =
                set.states.into_keys().map(|index| message::Permit { key: key.clone(), index });
            self.owned_elsewhere.extend(owned);
        }
    }

    /// Removes permits that are no longer declared, unless they are in use.
    pub fn remove_undeclared(&mut self, is_declared: impl Fn(&message::Permit) -> bool) {
        let mut changed = Vec::new();
        for (key, set) in &mut self.sets {
            let undeclared: Vec<u32> = set
                .states
                .iter()
                .filter(|(i, state)| {
                    !matches!(state, PermitState::Reserved(_))
                        && !is_declared(&message::Permit { key: key.clone(), index: **i })
                })
                .map(|(i, _)| *i)
                .collect();
            for index in &undeclared {
                set.states.remove(index);
                set.free.remove(index);
            }
            if !undeclared.is_empty() {
                changed.push(key.clone());
            }
        }
        self.sets.retain(|_, s| !s.states.is_empty());
        changed.iter().for_each(|k| self.mark_changed(k));
    }
}
