//! The choice of an endpoint for a waiting request among those with a free slot.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::brittle::Admission;
use super::order::{generation_time, Candidate};
use super::{PrefillStall, FIXED_WORK_UNITS};
use crate::routes::Endpoint;
use crate::saturating;

/// Relative slowdown of the first event at a fully loaded endpoint, since larger batches run
/// slower.
const LOAD_SLOWDOWN: f64 = 0.3;
/// Cost of sending a request to another availability zone, which includes the price of the traffic.
const CROSS_ZONE_PENALTY: Duration = Duration::from_millis(10);
/// Largest relative penalty from [`preference_penalty`]. Reports take 3 to 30 ms, and instances that
/// all prefer the same slot take it twice in a third of the cases at a hundred requests a second in a
/// cell. It must stay well below the difference between slow and fast endpoints, a factor of 4.4.
const MAX_PREFERENCE_PENALTY: f64 = 0.3;
/// Fraction of the objective below which a faster first event brings no advantage, so that
/// measurement noise does not outweigh [`preference_penalty`].
const FIRST_EVENT_FLOOR_SHARE: f64 = 0.15;
/// Fraction of a stream's maximum pause that the prefill of another prompt may take. Estimates of an
/// endpoint's speed are a little slower than its prefill alone.
const STALL_TOLERANCE_SHARE: f64 = 0.9;
/// Minimum fraction of the objective that must be left for a request to wait for a slot where it
/// stalls no other stream.
const STALL_WAIT_MIN_SHARE: f64 = 0.5;
/// Worst-case slowdown of an unmeasured endpoint relative to the median. Known engines differ by
/// factors of 0.68 to 3.
const UNMEASURED_SLOWDOWN: f64 = 3.0;
/// Factor on the estimate of an unmeasured endpoint for requests that would meet their deadline
/// even in the worst case. Being below 1, it makes such requests explore unmeasured endpoints
/// first.
const EXPLORATION_FACTOR: f64 = 0.9;
/// Fraction of the remaining time that the worst case may take for a request to explore.
const EXPLORATION_MAX_SHARE: f64 = 0.5;
/// Slowdown relative to the median up to which endpoints count as equally fast for the length of an
/// answer; estimates of identical endpoints differ by up to a half.
const SIMILAR_SPEED_RATIO: f64 = 1.5;

/// An endpoint that can receive requests.
pub(super) struct Target<'a> {
    pub(super) endpoint: &'a Endpoint,
    /// Hash of the endpoint's id.
    pub(super) hash: u64,
    pub(super) load: u32,
    pub(super) free_slots: u32,
    pub(super) pending_tokens: u32,
    pub(super) ns_per_unit: f64,
    /// Median of `ns_per_unit` over all measured endpoints.
    pub(super) median_ns: f64,
    /// Whether `ns_per_unit` is the median for lack of measurements.
    pub(super) is_unmeasured: bool,
    /// Number of requests that this instance may send now; `None` if the endpoint is not throttled.
    pub(super) allowance: Option<u32>,
    /// Who may send to the endpoint, if it is brittle.
    pub(super) admission: Option<Admission>,
    /// Whether it may still reject requests: its backoff has ended, but it has accepted none since.
    pub(super) is_unproven: bool,
}

impl Target<'_> {
    /// Whether the endpoint takes a request as far as it has limits.
    pub(super) fn admits(&self, candidate: &Candidate<'_>) -> bool {
        let is_own = candidate.ticket.is_some();
        let is_admitted = |admission: &Admission| match is_own {
            true => admission.admits_own(self.free_slots, self.load),
            false => admission.admits_peer(candidate.instance_hash),
        };
        (self.allowance.is_none() || is_own) && self.admission.as_ref().is_none_or(is_admitted)
    }

    /// Records that a request is assigned to the endpoint.
    pub(super) fn record(&mut self, candidate: &Candidate<'_>) {
        self.free_slots -= 1;
        saturating::add(&mut self.load, 1);
        self.pending_tokens = self.pending_tokens.saturating_add(candidate.prompt_tokens);
        match &mut self.admission {
            Some(admission) if candidate.ticket.is_some() => admission.record_own(),
            Some(admission) => admission.record_peer(candidate.instance_hash),
            None => {}
        }
    }
}

/// Chooses the best endpoint with a free slot for a request.
///
/// Returns `None` if the request should keep waiting: it would miss its deadline at every free
/// endpoint but not at a busy one, or it would stall other streams at every free endpoint and still
/// has time.
pub(super) fn choose<'a, 'b>(
    targets: &'b mut [Target<'a>],
    candidate: &Candidate<'_>,
    now: Instant,
) -> Option<(&'b mut Target<'a>, Duration)> {
    let time_left = candidate.priority.deadline.saturating_duration_since(now);
    let fits = |t: &Target<'_>| {
        t.endpoint.service == *candidate.service
            && !candidate.avoid.contains(&t.endpoint.id)
            && candidate.version.is_none_or(|version| t.endpoint.version == *version)
            && t.admits(candidate)
    };
    let can_meet_deadline =
        targets.iter().any(|t| fits(t) && time_to_first_event(t, candidate) <= time_left);
    let can_wait = time_left > candidate.objective.mul_f64(STALL_WAIT_MIN_SHARE)
        && targets.iter().any(|t| fits(t) && !would_stall(t, candidate, 1));
    let free = targets.iter_mut().filter(|t| t.free_slots > 0 && fits(t));
    // A request that one endpoint rejected leaves it to others to find out whether the next one does.
    let may_reject = |t: &Target<'_>| t.is_unproven && !candidate.avoid.is_empty();
    let best = free.min_by_key(|t| {
        (would_stall(t, candidate, t.load), may_reject(t), cost(t, candidate, time_left))
    })?;
    let expected_first_event = time_to_first_event(best, candidate);
    if expected_first_event > time_left && can_meet_deadline
        || can_wait && would_stall(best, candidate, best.load)
    {
        return None;
    }
    Some((best, expected_first_event))
}

/// Whether the prefill of the prompt would pause the `load` other requests at the endpoint for too
/// long.
fn would_stall(target: &Target<'_>, candidate: &Candidate<'_>, load: u32) -> bool {
    let PrefillStall { chunk_tokens: tokens, max_gap_ms: pause_ms } = candidate.stall;
    let prefill_ms = f64::from(tokens) * target.ns_per_unit / 1e6;
    load > 0 && pause_ms > 0 && prefill_ms > f64::from(pause_ms) * STALL_TOLERANCE_SHARE
}

/// Estimates the time to the first event, including the prompts queued ahead.
pub(super) fn time_to_first_event(target: &Target<'_>, candidate: &Candidate<'_>) -> Duration {
    let tokens = candidate.prompt_tokens.saturating_add(target.pending_tokens);
    first_event_at(target.ns_per_unit, tokens, target.load, target.endpoint.slots)
}

/// Estimates the time to the first event after so many prompt tokens at an endpoint that runs `load`
/// requests.
pub(super) fn first_event_at(ns_per_unit: f64, tokens: u32, load: u32, slots: u32) -> Duration {
    let units = f64::from(tokens) + f64::from(FIXED_WORK_UNITS);
    Duration::from_nanos((ns_per_unit * units * load_factor(load, slots)) as u64)
}

/// Slowdown of an endpoint by the requests running there.
fn load_factor(load: u32, slots: u32) -> f64 {
    1.0 + LOAD_SLOWDOWN * f64::from(load) / f64::from(slots.max(1))
}

/// Cost of a target; the lowest one is chosen.
fn cost(target: &Target<'_>, candidate: &Candidate<'_>, time_left: Duration) -> Duration {
    let zone_penalty =
        if target.endpoint.zone == *candidate.zone { Duration::ZERO } else { CROSS_ZONE_PENALTY };
    let floor_share = FIRST_EVENT_FLOOR_SHARE * load_factor(target.load, target.endpoint.slots);
    let floor = saturating::multiple(candidate.objective, floor_share);
    let first_event = assumed_first_event(target, candidate, time_left).max(floor);
    first_event.mul_f64(1.0 + MAX_PREFERENCE_PENALTY * preference_penalty(target, candidate))
        + zone_penalty
        + excess_generation_time(target, candidate)
}

/// Estimates the time from the first event to the end of the answer.
pub(super) fn expected_generation_time(target: &Target<'_>, candidate: &Candidate<'_>) -> Duration {
    generation_time(candidate.output_tokens, target.ns_per_unit)
}

/// Additional generation time at an endpoint that is slower than the median.
fn excess_generation_time(target: &Target<'_>, candidate: &Candidate<'_>) -> Duration {
    let excess_ns_per_unit = (target.ns_per_unit - target.median_ns * SIMILAR_SPEED_RATIO).max(0.0);
    generation_time(candidate.output_tokens, excess_ns_per_unit)
}

/// Time to the first event as used in the cost: pessimistic for unmeasured endpoints, unless the
/// request can afford to explore them.
fn assumed_first_event(
    target: &Target<'_>,
    candidate: &Candidate<'_>,
    time_left: Duration,
) -> Duration {
    let time_to_first_event = time_to_first_event(target, candidate);
    if !target.is_unmeasured {
        return time_to_first_event;
    }
    let worst_case = time_to_first_event.mul_f64(UNMEASURED_SLOWDOWN);
    let is_harmless = worst_case <= time_left.mul_f64(EXPLORATION_MAX_SHARE);
    if is_harmless {
        time_to_first_event.mul_f64(EXPLORATION_FACTOR)
    } else {
        worst_case
    }
}

/// Returns a pseudo-random penalty from 0 to 1 for a pair of instance and endpoint, so that
/// instances that decide at the same time prefer different endpoints. All instances compute the
/// same value for a pair.
fn preference_penalty(target: &Target<'_>, candidate: &Candidate<'_>) -> f64 {
    let hash = xxh3_64(&(target.hash ^ candidate.instance_hash).to_le_bytes());
    (hash >> 40) as f64 / (1_u64 << 24) as f64
}
