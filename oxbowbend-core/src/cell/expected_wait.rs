//! When a request is refused on arrival, and which retry delay it gets.
//!
//! If that is enabled, both depend on the expected wait: the requests ahead in the cell,
//! divided by the rate at which it hands out slots ([`super::slot_rate`]). A request that would
//! wait for longer than it may is refused at once, so that its caller does not lose that time, and
//! its caller is told when the slots are free ([`super::return_times`]).
//!
//! Otherwise, and while no rate is known, both depend on the outcomes of the last
//! second ([`super::shedding`]).

use std::time::{Duration, Instant};

use super::order::{Priority, MAX_REPORTED_WAITING};
use super::peer::Peer;
use super::report::WaitingRequest;
use super::return_times::{ReturnRequest, ReturnTimes};
use super::shedding::{RetryAfter, RetryPolicy, MIN_WAITING};
use super::slot_rate::{SlotRate, SlotUse};
use super::{Cell, QueuedRequest, Ticket, WAITING_TTL};
use crate::ids::ServiceId;
use crate::saturating;

/// Standard deviations by which the requests ahead must exceed the slots that are expected within
/// the time that a request may wait. Slots get free like a Poisson process at most. In the replay of
/// `tests/overload.rs` with 40 seeds, one deviation refused 2 of 234 requests that would have got a
/// slot. Two refused none of 125, and one of 197 with 50 other seeds.
const REFUSAL_MARGIN: f64 = 2.0;

/// State of the decisions that depend on the expected wait.
#[derive(Debug, Default)]
pub(super) struct Forecasts {
    /// Whether they depend on the expected wait at all.
    pub(super) is_enabled: bool,
    pub(super) slot_use: SlotUse,
    pub(super) return_times: ReturnTimes,
}

/// How long a request would wait for a slot, and what that was computed from.
///
/// The expected wait leaves out more urgent requests that are still to come. Their number in the
/// last second says too little: in the replay of `tests/overload.rs`, three in ten of the requests
/// that were refused because of it would have got a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitForecast {
    /// Requests that get a slot before it: those that wait in the cell, and those that this
    /// instance told to return soon.
    pub waiting_ahead: u32,
    /// Slots per second that the cell hands out.
    pub rate_per_s: f64,
    /// The part of it that more urgent ranks leave.
    pub left_per_s: f64,
    /// Time in which the cell hands out as many slots as requests are ahead.
    pub expected_wait: Duration,
    /// Number of callers of its service and rank that this instance told to return and that are
    /// still to come.
    pub assigned_returns: usize,
}

impl WaitForecast {
    /// Whether a request that may wait for `max_wait` is unlikely to get a slot.
    fn exceeds(&self, max_wait: Duration) -> bool {
        let slots = self.rate_per_s * max_wait.as_secs_f64();
        f64::from(self.waiting_ahead) > slots + REFUSAL_MARGIN * slots.sqrt()
    }
}

impl Cell {
    /// Sets whether refusals on arrival and retry delays depend on the expected wait.
    ///
    /// ```
    /// use oxbowbend_core::cell::{Cell, ReportDetail};
    ///
    /// let mut cell = Cell::new("a".into(), "z".into(), 1);
    /// cell.set_forecasts(true);
    /// let report = cell.report(std::time::Instant::now(), ReportDetail::Full);
    /// assert!(report.dispatched.is_empty());
    /// ```
    pub fn set_forecasts(&mut self, is_enabled: bool) {
        if self.forecasts.is_enabled != is_enabled {
            self.forecasts = Forecasts { is_enabled, ..Forecasts::default() };
        }
    }

    /// Whether refusals on arrival and retry delays depend on the expected wait.
    pub fn uses_forecasts(&self) -> bool {
        self.forecasts.is_enabled
    }

    /// Whether a waiting request should be shed because it is unlikely to be placed in time, by
    /// the outcomes of the last second.
    pub fn should_shed(&mut self, now: Instant, ticket: Ticket) -> bool {
        let Some(request) = self.waiting.get(&ticket) else { return false };
        let (service, rank) = (request.service.clone(), request.rank);
        let others = self.waiting_like(&service, rank) - 1;
        self.shedding.should_shed(now, &service, rank, others)
    }

    /// Whether a waiting request that has just arrived and may wait for `max_wait` should be
    /// refused.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # let mut cell = oxbowbend_core::cell::Cell::new("a".into(), "z".into(), 1);
    /// // A request that has got its slot already is not refused.
    /// assert!(!cell.should_refuse(Instant::now(), 1, Duration::from_millis(400)));
    /// ```
    pub fn should_refuse(&mut self, now: Instant, ticket: Ticket, max_wait: Duration) -> bool {
        if !self.forecasts.is_enabled {
            return self.should_shed(now, ticket);
        }
        let Some(request) = self.waiting.get(&ticket) else { return false };
        let (service, rank) = (request.service.clone(), request.rank);
        let priority = self.priority(now, ticket, request);
        let Some(rate) = self.slot_rate(now, &service, rank) else {
            return self.should_shed(now, ticket);
        };
        if self.waiting_like(&service, rank) <= MIN_WAITING {
            return false;
        }
        // The request itself is among those that do not go after it.
        let ahead = self.waiting_ahead(now, &service, rank, Some(priority)).saturating_sub(1);
        let returns = self.forecasts.return_times.due_within(now, &service, rank, max_wait);
        self.forecast(now, &service, rank, rate, ahead + returns).exceeds(max_wait)
    }

    /// Records that a request was refused and returns when its caller should retry.
    pub fn refuse(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        policy: RetryPolicy,
    ) -> RetryAfter {
        self.refuse_late(now, service, rank, policy, policy.objective)
    }

    /// Records that a request was refused whose objective passes in `objective_left`, and returns
    /// when its caller should retry.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use oxbowbend_core::cell::{Cell, RetryPolicy};
    ///
    /// let mut cell = Cell::new("a".into(), "z".into(), 1);
    /// let (objective, max_delay) = (Duration::from_millis(600), Duration::from_secs(1));
    /// let policy = RetryPolicy { objective, max_delay, jitter: 0.5 };
    /// let retry = cell.refuse_late(Instant::now(), &"s".into(), 0, policy, Duration::ZERO);
    /// assert!(retry.delay <= max_delay);
    /// ```
    pub fn refuse_late(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        policy: RetryPolicy,
        objective_left: Duration,
    ) -> RetryAfter {
        self.record_demand(now, service, rank);
        let mut retry = self.shedding.record_refused(now, service, rank, policy);
        if let Some(available_in) = self.available_in(now, service) {
            return retry.throttled(available_in, policy);
        }
        if !self.forecasts.is_enabled {
            return retry;
        }
        if let Some(rate) = self.slot_rate(now, service, rank) {
            let ahead = self.waiting_ahead(now, service, rank, None);
            let forecast = self.forecast(now, service, rank, rate, ahead);
            let instances = 1 + self.live_peer_count(now) as u32;
            let request = ReturnRequest {
                policy,
                objective_left,
                queue_time: saturating::seconds(
                    f64::from(forecast.waiting_ahead) / rate.left_per_s,
                ),
                interval: saturating::seconds(f64::from(instances) / rate.left_per_s),
            };
            retry.delay = self.forecasts.return_times.assign(now, service, rank, request);
            retry.forecast = Some(forecast);
        }
        retry
    }

    fn forecast(
        &self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        rate: SlotRate,
        ahead: usize,
    ) -> WaitForecast {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let waiting_ahead = ahead.saturating_sub(rate.free_slots);
        WaitForecast {
            waiting_ahead,
            rate_per_s: rate.total_per_s,
            left_per_s: rate.left_per_s,
            expected_wait: saturating::seconds(f64::from(waiting_ahead) / rate.total_per_s),
            assigned_returns: self.forecasts.return_times.count(now, service, rank),
        }
    }

    /// Number of requests of a service and rank that wait at this instance.
    fn waiting_like(&self, service: &ServiceId, rank: u16) -> usize {
        self.waiting.values().filter(|w| w.rank == rank && w.service == *service).count()
    }

    /// Number of requests of a service that wait in the cell and do not go after one of `rank` with
    /// `priority`, or after all arrivals of that rank if it is `None`.
    fn waiting_ahead(
        &self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        priority: Option<Priority>,
    ) -> usize {
        let own = self.waiting.iter().filter(|(ticket, w)| {
            let is_ahead =
                priority.map_or(w.rank <= rank, |p| self.priority(now, **ticket, w) <= p);
            w.service == *service && is_ahead
        });
        let own = own.count();
        let is_ahead = |w: &QueuedRequest| {
            priority.map_or(w.rank <= rank, |p| self.unmoved_priority(now, w) <= p)
        };
        let peers = self.peers.values().filter(|p| p.is_live(now, WAITING_TTL));
        own + peers.map(|p| waiting_ahead_at(p, service, rank, is_ahead)).sum::<usize>()
    }
}

/// Number of requests that wait at a peer and do not go after one of `rank`. Of those that its report
/// does not list only the number is known. They go after the listed ones.
fn waiting_ahead_at(
    peer: &Peer,
    service: &ServiceId,
    rank: u16,
    is_ahead: impl Fn(&QueuedRequest) -> bool,
) -> usize {
    let listed = peer.report.waiting.iter().filter(|w| w.service == *service);
    let listed = listed.filter_map(|w| {
        let is_ahead = is_ahead(&queued(peer, w)?);
        Some((w.moved_from.unwrap_or(w.rank), is_ahead))
    });
    let listed: Vec<(u16, bool)> = listed.collect();
    let ahead = listed.iter().filter(|(_, is_ahead)| *is_ahead).count();
    if peer.report.waiting.len() < MAX_REPORTED_WAITING {
        return ahead;
    }
    let counts = peer.report.waiting_counts.iter().filter(|(s, _)| s == service);
    let unlisted = counts.flat_map(|(_, counts)| counts).map(|(other, n)| {
        let mut like = listed.iter().filter(|(listed, _)| listed == other);
        let unlisted = (*n as usize).saturating_sub(like.clone().count());
        let are_ahead = *other < rank || *other == rank && like.all(|(_, is_ahead)| *is_ahead);
        if are_ahead {
            unlisted
        } else {
            0
        }
    });
    ahead + unlisted.sum::<usize>()
}

/// A request that waits at a peer; `None` if it arrived before the clock of this instance began.
fn queued(peer: &Peer, waiting: &WaitingRequest) -> Option<QueuedRequest> {
    let waited = Duration::from_millis(waiting.waited_ms.into());
    Some(QueuedRequest {
        service: waiting.service.clone(),
        rank: waiting.rank,
        prompt_tokens: waiting.prompt_tokens,
        output_tokens: waiting.output_tokens,
        stall: waiting.stall,
        arrived_at: peer.last_heard.checked_sub(waited)?,
        objective: Duration::from_millis(waiting.objective_ms.into()),
        excluded_endpoints: Vec::new(),
        version: None,
        is_over_share: waiting.is_over_share,
    })
}
