//! The order in which waiting requests are assigned slots.
//!
//! All instances of a cell compute the same order, so it depends only on what reports contain.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::rank_floor::{FloorChange, RankFloor};
use super::slot_time::SlotUsage;
use super::{
    Assignment, Cell, PrefillStall, QueuedRequest, Ticket, WaitingRequest, FIXED_WORK_UNITS,
    REPORT_DELAY, WAITING_TTL,
};
use crate::ids::{EndpointId, EndpointKey, ServiceId, VersionId, ZoneId};

/// Work units of one generated token: the number of tokens read in the same time during prefill,
/// 190 to 300 at known engines.
const WORK_UNITS_PER_OUTPUT_TOKEN: f64 = 250.0;

/// Waiting requests listed in a report, first in order. Few slots are free while requests wait, so
/// later ones rarely affect the assignment.
pub(super) const MAX_REPORTED_WAITING: usize = 6;
/// Number of these places that are used for the first request of each service and rank, if the floor
/// applies. Without them, other instances would not learn that lower ranks wait.
const REPORTED_RANKS: usize = 3;
/// Minimum time between two decisions on the floor: the report interval.
const FLOOR_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a request waits for lack of a slot. Requests for few free slots wait for
/// [`REPORT_DELAY`] even if there is no competition.
const MIN_COMPETING_WAIT: Duration = Duration::from_millis(20);
/// Weight of a new estimate in the typical output length of a rank.
const TYPICAL_OUTPUT_WEIGHT: f64 = 0.1;

/// Place of a request by its rank; smaller values go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RankOrder {
    /// Requests that the floor has moved go before all others.
    is_unmoved: bool,
    rank: u16,
    /// Requests of accounts over their fair share go after all others of their rank.
    is_over_share: bool,
}

impl RankOrder {
    /// The place of a request that a peer reports.
    pub(super) fn of_reported(request: &WaitingRequest) -> RankOrder {
        RankOrder {
            is_unmoved: request.moved_from.is_none(),
            rank: request.rank,
            is_over_share: request.is_over_share,
        }
    }
}

/// Scheduling priority of a request; smaller values go first. Orders by rank, then by expected
/// completion, so that of two requests with the same deadline the shorter one goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Priority {
    rank_order: RankOrder,
    /// Requests that have missed their deadline go after all others of the same place by rank.
    is_overdue: bool,
    expected_end: Instant,
    pub(super) deadline: Instant,
}

impl Priority {
    pub(super) fn new(
        now: Instant,
        rank_order: RankOrder,
        deadline: Instant,
        output_tokens: u32,
        median_ns: f64,
    ) -> Priority {
        Priority {
            rank_order,
            is_overdue: deadline < now,
            deadline,
            expected_end: deadline + generation_time(output_tokens, median_ns),
        }
    }
}

/// A waiting request of this instance or of a peer.
pub(super) struct Candidate<'a> {
    pub(super) priority: Priority,
    pub(super) ticket: Option<Ticket>,
    pub(super) arrived: Instant,
    pub(super) service: &'a ServiceId,
    pub(super) zone: &'a ZoneId,
    /// Hash of the name of the instance where it waits.
    pub(super) instance_hash: u64,
    pub(super) objective: Duration,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) stall: PrefillStall,
    pub(super) avoid: &'a [EndpointId],
    pub(super) version: Option<&'a VersionId>,
}

impl Candidate<'_> {
    /// Whether this is a request of this instance that peers cannot know of yet.
    pub(super) fn is_unreported(&self, now: Instant) -> bool {
        self.ticket.is_some() && now.saturating_duration_since(self.arrived) < REPORT_DELAY
    }
}

/// The floor as applied to the requests of this instance.
#[derive(Debug)]
pub(super) struct CellFloor {
    rule: RankFloor,
    /// Logarithm of the typical output length in tokens, by service and rank.
    typical_output: HashMap<(ServiceId, u16), f64>,
    /// Measured slot time of the requests of this instance, by service.
    usage: HashMap<ServiceId, SlotUsage>,
    /// Requests moved before all others, with the rank that they were moved to.
    moved: BTreeMap<Ticket, u16>,
    decided_at: Option<Instant>,
    /// Number of moved requests that got a slot since it was last read.
    placed_count: u64,
}

impl CellFloor {
    /// Expected output of a request in tokens. Half of the requests carry no estimate, so the typical
    /// length of their rank is assumed for these.
    fn output_tokens(&self, want: &QueuedRequest) -> u32 {
        let typical = || self.typical_output.get(&(want.service.clone(), want.rank));
        match want.output_tokens {
            0 => typical().map_or(0, |ln| ln.exp() as u32),
            tokens => tokens,
        }
    }

    /// Expected slot time of a request, with the prompts queued ahead of it in `prompt_tokens`.
    fn slot_time(
        &self,
        now: Instant,
        want: &QueuedRequest,
        prompt_tokens: u32,
        median_ns: f64,
    ) -> Duration {
        let default = generation_time(1, median_ns);
        let usage = self.usage.get(&want.service);
        let token_time = usage.map_or(default, |usage| usage.output_token_time(now, default));
        first_event_time(prompt_tokens, median_ns) + token_time * self.output_tokens(want)
    }

    /// Updates the typical output length. Every arrival counts: with only those that get a slot, the
    /// floor would move requests without an estimate, which seem short, before the length is known.
    /// The mean is geometric, since estimates are right at the median but often far off.
    pub(super) fn record_output(&mut self, want: &QueuedRequest) {
        if want.output_tokens > 0 {
            let ln = f64::from(want.output_tokens).ln();
            let typical =
                self.typical_output.entry((want.service.clone(), want.rank)).or_insert(ln);
            *typical += TYPICAL_OUTPUT_WEIGHT * (ln - *typical);
        }
    }
}

impl Cell {
    /// Sets whether the ranks below the first have a floor.
    pub fn set_rank_floor(&mut self, applies: bool) {
        if applies == self.floor.is_some() {
            return;
        }
        self.floor = applies.then(|| CellFloor {
            rule: RankFloor::new(&self.local_id),
            typical_output: HashMap::new(),
            usage: HashMap::new(),
            moved: BTreeMap::new(),
            decided_at: None,
            placed_count: 0,
        });
    }

    /// Returns the services and ranks for which the floor has begun or ended to act since the last
    /// call.
    pub fn take_floor_changes(&mut self, now: Instant) -> Vec<FloorChange> {
        self.floor.as_mut().map_or_else(Vec::new, |floor| floor.rule.take_changes(now))
    }

    /// Returns the number of requests moved by the floor that got a slot since the last call.
    pub fn take_floor_placed_count(&mut self) -> u64 {
        self.floor.as_mut().map_or(0, |floor| std::mem::take(&mut floor.placed_count))
    }

    /// Returns the priority of a request that waits at this instance.
    pub(super) fn priority(&self, now: Instant, ticket: Ticket, want: &QueuedRequest) -> Priority {
        self.priority_at(now, self.moved_to(ticket), want)
    }

    /// Returns the priority of a request that the floor has not moved.
    pub(super) fn unmoved_priority(&self, now: Instant, want: &QueuedRequest) -> Priority {
        self.priority_at(now, None, want)
    }

    fn priority_at(&self, now: Instant, moved_to: Option<u16>, want: &QueuedRequest) -> Priority {
        let deadline = want.arrived_at + want.objective;
        let rank_order = RankOrder {
            is_unmoved: moved_to.is_none(),
            rank: moved_to.unwrap_or(want.rank),
            is_over_share: want.is_over_share,
        };
        let median_ns = self.latency_cache.median_ns;
        Priority::new(now, rank_order, deadline, want.output_tokens, median_ns)
    }

    /// Returns the waiting requests to report, in order.
    pub(super) fn waiting_to_report(&self, now: Instant) -> Vec<WaitingRequest> {
        let mut waiting: Vec<_> = self.waiting.iter().collect();
        waiting.sort_by_key(|(ticket, want)| self.priority(now, **ticket, want));
        let listed = if self.floor.is_some() {
            let classes = waiting.iter().map(|(_, want)| (&want.service, want.rank));
            listed_with_all_ranks(classes)
        } else {
            (0..waiting.len().min(MAX_REPORTED_WAITING)).collect()
        };
        let reported = listed.into_iter().map(|n| {
            let (ticket, want) = waiting[n];
            let moved_to = self.moved_to(*ticket);
            WaitingRequest {
                service: want.service.clone(),
                rank: moved_to.unwrap_or(want.rank),
                waited_ms: now.saturating_duration_since(want.arrived_at).as_millis() as u32,
                objective_ms: want.objective.as_millis() as u32,
                prompt_tokens: want.prompt_tokens,
                output_tokens: want.output_tokens,
                stall: want.stall,
                version: want.version.clone(),
                is_over_share: want.is_over_share,
                moved_from: moved_to.map(|_| want.rank),
            }
        });
        reported.collect()
    }

    /// Records that a request of a rank was refused.
    pub(super) fn record_demand(&mut self, now: Instant, service: &ServiceId, rank: u16) {
        if let Some(floor) = &mut self.floor {
            floor.rule.record_demand(now, service, rank);
        }
    }

    /// Records that a request of this instance got a slot.
    pub(super) fn record_handed_out(&mut self, now: Instant, a: &Assignment, want: &QueuedRequest) {
        let running = self.own_running(&want.service);
        let Some(floor) = &mut self.floor else { return };
        let median_ns = self.latency_cache.median_ns;
        // Prompts queued ahead occupy the slot as well.
        let prompt_tokens = want.prompt_tokens.saturating_add(a.backlog_tokens);
        let slot_time = floor.slot_time(now, want, prompt_tokens, median_ns);
        let prompt_time = first_event_time(prompt_tokens, median_ns);
        let output_tokens = floor.output_tokens(want);
        let usage = floor.usage.entry(want.service.clone()).or_insert_with(|| SlotUsage::new(now));
        usage.record_begun(now, running, prompt_time, output_tokens);
        let is_moved = floor.moved.remove(&a.ticket).is_some();
        floor.placed_count += u64::from(is_moved);
        floor.rule.record_handed_out(now, &want.service, want.rank, slot_time, is_moved);
    }

    /// Records that a request of this instance is about to release its slot.
    pub(super) fn record_slot_released(&mut self, now: Instant, endpoint: EndpointKey) {
        let Some(state) = self.endpoints.get(&endpoint).filter(|_| self.floor.is_some()) else {
            return;
        };
        let service = state.endpoint.service.clone();
        let running = self.own_running(&service);
        let usage = self.floor.as_mut().and_then(|floor| floor.usage.get_mut(&service));
        if let Some(usage) = usage {
            usage.record_ended(now, running);
        }
    }

    /// Requests of this instance that occupy slots of a service.
    fn own_running(&self, service: &ServiceId) -> u32 {
        let of_service = self.endpoints.values().filter(|s| s.endpoint.service == *service);
        of_service.map(|s| s.running).sum()
    }

    /// Decides which waiting requests of this instance the floor moves: at most one of each rank.
    pub(super) fn move_requests_below_floor(&mut self, now: Instant) {
        let median_ns = self.latency_cache.median_ns;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FLOOR_INTERVAL;
        if self.floor.as_ref().is_none_or(|floor| floor.decided_at.is_some_and(is_recent)) {
            return;
        }
        self.record_waiting_ranks(now);
        let Some(floor) = &mut self.floor else { return };
        floor.decided_at = Some(now);
        floor.moved.clear();
        for (ticket, want) in most_urgent_of_each_rank(now, &self.waiting, median_ns) {
            let slot_time = floor.slot_time(now, want, want.prompt_tokens, median_ns);
            let rank = floor.rule.rank_to_move_to(now, &want.service, want.rank, slot_time);
            floor.moved.extend(rank.map(|rank| (ticket, rank)));
        }
    }

    /// Records which ranks wait for lack of a slot, here and at peers.
    fn record_waiting_ranks(&mut self, now: Instant) {
        let Some(mut floor) = self.floor.take() else { return };
        for want in self.waiting.values() {
            if now.saturating_duration_since(want.arrived_at) >= MIN_COMPETING_WAIT {
                floor.rule.record_demand(now, &want.service, want.rank);
            }
        }
        let reports = self.peers.values().filter(|p| p.is_live(now, WAITING_TTL));
        for request in reports.flat_map(|p| &p.report.waiting) {
            if u128::from(request.waited_ms) >= MIN_COMPETING_WAIT.as_millis() {
                let rank = request.moved_from.unwrap_or(request.rank);
                floor.rule.record_demand(now, &request.service, rank);
            }
        }
        self.floor = Some(floor);
    }

    fn moved_to(&self, ticket: Ticket) -> Option<u16> {
        self.floor.as_ref().and_then(|floor| floor.moved.get(&ticket).copied())
    }
}

/// Returns the request of each service and rank that the floor moves first: the one nearest to its
/// deadline that can still meet it. If none can, the floor still serves callers that wait for a late
/// answer. Accounts over their fair share go last here as well.
fn most_urgent_of_each_rank(
    now: Instant,
    waiting: &BTreeMap<Ticket, QueuedRequest>,
    median_ns: f64,
) -> impl Iterator<Item = (Ticket, &QueuedRequest)> {
    let urgency = |want: &QueuedRequest| {
        let deadline = want.arrived_at + want.objective;
        let is_late = now + first_event_time(want.prompt_tokens, median_ns) > deadline;
        (want.is_over_share, is_late, deadline)
    };
    let mut first: BTreeMap<(&ServiceId, u16), (Ticket, &QueuedRequest)> = BTreeMap::new();
    for (ticket, want) in waiting {
        let entry = first.entry((&want.service, want.rank)).or_insert((*ticket, want));
        if urgency(want) < urgency(entry.1) {
            *entry = (*ticket, want);
        }
    }
    first.into_values()
}

/// Returns the indices of the requests to list in a report, given the service and rank of all in
/// order: the first ones, with up to [`REPORTED_RANKS`] places for the first of each rank.
fn listed_with_all_ranks<'a>(classes: impl Iterator<Item = (&'a ServiceId, u16)>) -> Vec<usize> {
    let mut seen = HashSet::new();
    let is_first: Vec<_> = classes.map(|class| seen.insert(class)).collect();
    let firsts = (0..is_first.len()).filter(|n| is_first[*n]).take(REPORTED_RANKS);
    let mut listed: Vec<_> = firsts.collect();
    let others: Vec<_> = (0..is_first.len()).filter(|n| !listed.contains(n)).collect();
    listed.extend(others.into_iter().take(MAX_REPORTED_WAITING - listed.len()));
    listed.sort_unstable();
    listed
}

/// Expected time to the first event at an endpoint of median speed without a backlog.
fn first_event_time(prompt_tokens: u32, median_ns: f64) -> Duration {
    let units = f64::from(prompt_tokens.saturating_add(FIXED_WORK_UNITS));
    Duration::from_nanos((units * median_ns) as u64)
}

pub(super) fn generation_time(output_tokens: u32, ns_per_unit: f64) -> Duration {
    Duration::from_nanos(
        (f64::from(output_tokens) * WORK_UNITS_PER_OUTPUT_TOKEN * ns_per_unit) as u64,
    )
}
