//! The owner of the slots of one service in one zone.
//!
//! An owner knows every lease of its slots, so no endpoint gets more requests than it has slots.
//! It estimates from the time for which slots are held when a waiting request gets one. A request
//! that would wait too long is denied at once, so that it can be sent to another zone or its caller
//! be told when to come back.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::share::VisibleShare;
use super::wait_queue::{WaitQueue, WaitingRequest};
use super::{Decision, DenialReason, Holder, OwnedEndpoint, SlotRequest, LEASE};
use crate::ids::{EndpointId, EndpointKey};
use crate::saturating;

/// Weight of the latest value in the mean time for which a slot is held. Follows an endpoint that
/// becomes slower within about 16 requests.
const HOLD_WEIGHT: f64 = 1.0 / 16.0;

/// Grants the slots of one service in one zone.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Before this time, it only listens to renewals.
    grants_from: Instant,
    endpoints: Vec<OwnedEndpoint>,
    share: VisibleShare,
    leases: BTreeMap<(Holder, u64), Lease>,
    waiting: WaitQueue,
    /// Mean time for which slots were held until their release, in seconds.
    mean_hold_s: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    endpoint: EndpointKey,
    /// When it was granted; `None` if by another owner.
    granted_at: Option<Instant>,
    expires_at: Instant,
}

/// Load of an owner, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerLoad {
    /// Slots of open endpoints that it may grant.
    pub slots: u32,
    /// Leases that have not expired.
    pub granted: u32,
    /// Waiting requests.
    pub waiting: u32,
}

impl Owner {
    /// Creates an owner that grants slots from `now` + [`LEASE`] on.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use oxbowbend_core::slot_leases::{
    ///     Decision, Holder, OwnedEndpoint, Owner, SlotRequest, LEASE,
    /// };
    ///
    /// let start = Instant::now();
    /// let mut owner = Owner::new(start);
    /// owner.set_endpoints(
    ///     start,
    ///     vec![OwnedEndpoint { key: 7, id: "e".into(), slots: 1, is_open: true }],
    /// );
    /// let holder = Holder { instance: "i".into(), incarnation: 1 };
    /// let wait = Duration::from_millis(50);
    /// let request = |request| SlotRequest { request, rank: 0, wait, excluded: Vec::new() };
    ///
    /// let now = start + LEASE;
    /// let granted = owner.request(now, holder.clone(), request(1));
    /// assert!(matches!(granted[..], [Decision::Grant { request: 1, endpoint: 7, .. }]));
    /// let full = owner.request(now, holder.clone(), request(2));
    /// assert!(matches!(full[..], [Decision::Waiting { request: 2, .. }]));
    /// let released = owner.release(now, &holder, &[1]);
    /// assert!(matches!(released[..], [Decision::Grant { request: 2, endpoint: 7, .. }]));
    /// ```
    pub fn new(now: Instant) -> Owner {
        Owner {
            grants_from: now + LEASE,
            endpoints: Vec::new(),
            share: VisibleShare::new(),
            leases: BTreeMap::new(),
            waiting: WaitQueue::default(),
            mean_hold_s: None,
        }
    }

    /// Sets the endpoints of the zone. Requests that no open endpoint is left for are denied.
    pub fn set_endpoints(&mut self, now: Instant, endpoints: Vec<OwnedEndpoint>) -> Vec<Decision> {
        self.endpoints = endpoints;
        self.update(now)
    }

    /// Sets the fraction of the fleet that this instance hears, from 0 to 1. A higher fraction
    /// applies after [`LEASE`] and [`super::SILENCE_TIMEOUT`], counted from the next call with a
    /// time.
    pub fn set_visible_share(&mut self, share: f64) {
        self.share.set(share);
    }

    /// Grants a slot, denies it or lets the request wait. A request that is repeated, because the
    /// answer was lost, keeps its slot.
    pub fn request(&mut self, now: Instant, holder: Holder, request: SlotRequest) -> Vec<Decision> {
        let number = request.request;
        if now < self.grants_from {
            let available_in = self.grants_from - now;
            return vec![denial(holder, number, DenialReason::Recovering, available_in)];
        }
        let mut decisions = self.update(now);
        if let Some(lease) = self.leases.get_mut(&(holder.clone(), number)) {
            lease.expires_at = now + LEASE;
            decisions.push(grant(holder, number, lease.endpoint));
            return decisions;
        }
        self.waiting.remove_other_runs(&holder);
        self.waiting.remove(&holder, number);
        decisions.extend(self.enqueue(now, WaitingRequest::new(now, holder, request)));
        decisions
    }

    /// Adds a request to the queue and answers it.
    fn enqueue(&mut self, now: Instant, request: WaitingRequest) -> Vec<Decision> {
        let (holder, number) = (request.holder.clone(), request.request);
        if self.slots_for(&request.excluded) == 0 {
            return vec![denial(holder, number, DenialReason::NoEndpoint, Duration::ZERO)];
        }
        let position = self.waiting.position(&request);
        let available_in = self.time_to_slots(now, position + 1, &request.excluded);
        let is_free = self.freest_endpoint(&request.excluded).is_some();
        let is_late = available_in.is_some_and(|time| now + time > request.ends_at);
        let estimate = available_in.unwrap_or(LEASE);
        if !is_free && (is_late || request.ends_at <= now) {
            return vec![denial(holder, number, DenialReason::Full, estimate)];
        }
        self.waiting.insert(request);
        let mut decisions = self.update(now);
        if !decisions.iter().any(|decision| answers(decision, &holder, number)) {
            decisions.push(Decision::Waiting { holder, request: number, available_in: estimate });
        }
        decisions
    }

    /// Frees leases and withdraws waiting requests of a holder.
    pub fn release(&mut self, now: Instant, holder: &Holder, requests: &[u64]) -> Vec<Decision> {
        for request in requests {
            self.waiting.remove(holder, *request);
            let lease = self.leases.remove(&(holder.clone(), *request));
            if let Some(granted_at) = lease.and_then(|lease| lease.granted_at) {
                self.record_hold(now.saturating_duration_since(granted_at));
            }
        }
        self.update(now)
    }

    fn record_hold(&mut self, hold: Duration) {
        let hold = hold.as_secs_f64();
        let mean = self.mean_hold_s.unwrap_or(hold);
        self.mean_hold_s = Some(mean + (hold - mean) * HOLD_WEIGHT);
    }

    /// Renews leases of a holder, also those that another owner granted or that have expired here:
    /// the endpoint still runs their requests.
    pub fn renew(&mut self, now: Instant, holder: &Holder, leases: &[(u64, EndpointKey)]) {
        for (request, endpoint) in leases {
            let lease = Lease { endpoint: *endpoint, granted_at: None, expires_at: now + LEASE };
            let known = self.leases.entry((holder.clone(), *request)).or_insert(lease);
            known.expires_at = now + LEASE;
        }
    }

    /// Handles leases and waits that have expired. To be called at [`Owner::next_timer`].
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        self.update(now)
    }

    /// Ends the ownership: denies all waiting requests, so that they ask another owner at once.
    pub fn close(self) -> Vec<Decision> {
        let requests = (0..self.waiting.len()).filter_map(|position| self.waiting.get(position));
        let deny = |request: &WaitingRequest| {
            denial(request.holder.clone(), request.request, DenialReason::NotOwner, Duration::ZERO)
        };
        requests.map(deny).collect()
    }

    /// Returns when [`Owner::tick`] has something to do.
    pub fn next_timer(&self) -> Option<Instant> {
        let expiry = self.leases.values().map(|lease| lease.expires_at).min();
        [expiry, self.waiting.first_end(), self.share.next_change()].into_iter().flatten().min()
    }

    /// Returns the current load.
    pub fn load(&self) -> OwnerLoad {
        OwnerLoad {
            slots: self.slots_for(&[]),
            granted: self.leases.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }

    /// Whether it only listens to renewals.
    pub fn is_recovering(&self, now: Instant) -> bool {
        now < self.grants_from
    }

    /// Returns the mean time between releases while all slots are taken, if it is known.
    pub fn release_interval(&self, now: Instant) -> Option<Duration> {
        self.time_to_slots(now, 1, &[])
    }

    /// Frees expired leases, grants free slots, and denies requests that get none in time.
    fn update(&mut self, now: Instant) -> Vec<Decision> {
        self.share.advance(now);
        self.leases.retain(|_, lease| now < lease.expires_at);
        let mut decisions = self.grant_free_slots(now);
        decisions.extend(self.deny_hopeless(now));
        decisions
    }

    fn grant_free_slots(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut position = 0;
        while let Some(request) = self.waiting.get(position) {
            if self.freest_endpoint(&[]).is_none() {
                break;
            }
            let Some(endpoint) = self.freest_endpoint(&request.excluded) else {
                position += 1;
                continue;
            };
            let request = self.waiting.remove_at(position);
            let lease = Lease { endpoint, granted_at: Some(now), expires_at: now + LEASE };
            self.leases.insert((request.holder.clone(), request.request), lease);
            decisions.push(grant(request.holder, request.request, endpoint));
        }
        decisions
    }

    fn deny_hopeless(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut position = 0;
        while let Some(request) = self.waiting.get(position) {
            let Some((reason, available_in)) = self.denial_of(now, position, request) else {
                position += 1;
                continue;
            };
            let request = self.waiting.remove_at(position);
            decisions.push(denial(request.holder, request.request, reason, available_in));
        }
        decisions
    }

    /// Returns why a waiting request is denied, if it is. The next slot may become free at any
    /// time, so only the slots for the requests ahead count.
    fn denial_of(
        &self,
        now: Instant,
        position: usize,
        request: &WaitingRequest,
    ) -> Option<(DenialReason, Duration)> {
        if self.slots_for(&request.excluded) == 0 {
            return Some((DenialReason::NoEndpoint, Duration::ZERO));
        }
        let ahead = self.time_to_slots(now, position, &request.excluded).unwrap_or_default();
        if now + ahead < request.ends_at {
            return None;
        }
        let available_in = self.time_to_slots(now, position + 1, &request.excluded);
        Some((DenialReason::Full, available_in.unwrap_or(LEASE)))
    }

    /// Returns the estimated time in which `count` slots become free, if slots were held before.
    fn time_to_slots(
        &self,
        now: Instant,
        count: usize,
        excluded: &[EndpointId],
    ) -> Option<Duration> {
        let hold_s = self.hold_s(now)?;
        let slots = self.slots_for(excluded).max(1);
        Some(saturating::seconds(hold_s * count as f64 / f64::from(slots)))
    }

    /// Time for which slots are held. If endpoints stop answering, nothing is released, so the age of
    /// current leases counts too. It counts half, since with times that vary, the mean age of a few
    /// leases often exceeds the mean time.
    fn hold_s(&self, now: Instant) -> Option<f64> {
        let ages = self.leases.values().filter_map(|lease| lease.granted_at);
        let ages = ages.map(|at| now.saturating_duration_since(at).as_secs_f64());
        let (count, sum) = ages.fold((0, 0.0), |(count, sum), age| (count + 1, sum + age));
        Some(self.mean_hold_s?.max(sum / f64::from(count.max(1)) / 2.0))
    }

    /// Returns the number of slots that may be granted to a request.
    fn slots_for(&self, excluded: &[EndpointId]) -> u32 {
        let open = self.open_endpoints(excluded);
        saturating::sum(open.map(|endpoint| self.share.of(endpoint.slots)))
    }

    /// Returns the endpoint with the most free slots for a request, if there is a free one.
    fn freest_endpoint(&self, excluded: &[EndpointId]) -> Option<EndpointKey> {
        let free = self.open_endpoints(excluded).map(|endpoint| {
            let taken = self.leases.values().filter(|lease| lease.endpoint == endpoint.key).count();
            (self.share.of(endpoint.slots).saturating_sub(taken as u32), endpoint.key)
        });
        free.max_by_key(|(free, _)| *free).filter(|(free, _)| *free > 0).map(|(_, key)| key)
    }

    fn open_endpoints<'a>(
        &'a self,
        excluded: &'a [EndpointId],
    ) -> impl Iterator<Item = &'a OwnedEndpoint> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(|endpoint| endpoint.is_open && !excluded.contains(&endpoint.id))
    }
}

fn grant(holder: Holder, request: u64, endpoint: EndpointKey) -> Decision {
    Decision::Grant { holder, request, endpoint, lease: LEASE }
}

fn denial(holder: Holder, request: u64, reason: DenialReason, available_in: Duration) -> Decision {
    Decision::Denial { holder, request, reason, available_in }
}

/// Whether a decision answers this request.
fn answers(decision: &Decision, to: &Holder, number: u64) -> bool {
    let (Decision::Grant { holder, request, .. }
    | Decision::Denial { holder, request, .. }
    | Decision::Waiting { holder, request, .. }) = decision;
    holder == to && *request == number
}
