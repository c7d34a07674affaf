//! Times at which refused callers are told to return.
//!
//! Callers that are told the same time return together and are refused again. So each instance
//! assigns its share of the slots that the cell hands out to one return after the other, and each
//! time once. Instances need not agree on the times, since each uses only its own share.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::shedding::RetryPolicy;
use crate::ids::ServiceId;

/// Minimum delay of a return, as a fraction of the objective; the same as that of an early retry.
const MIN_DELAY_SHARE: f64 = 0.15;
/// Least time from the return of a caller by which its place in the queue is decided, as a fraction
/// of the objective. Half of it puts the caller before new arrivals of its rank.
const RETURN_DEADLINE_SHARE: f64 = 0.5;
/// Range of the delay if no time is left within the maximum delay, as fractions of it.
const LATEST: (f64, f64) = (0.8, 1.0);

/// Returns the target time from the arrival of a request to its first event, by which its place in
/// the queue is decided, in a fleet of several cells. `age` is the time since the first attempt of
/// its caller.
///
/// A caller that returns after its objective has passed would otherwise go behind all others of
/// its rank, and be refused again. It gets half an objective from its return.
///
/// ```
/// use std::time::Duration;
/// use oxbowbend_core::cell::queue_objective;
///
/// let ms = Duration::from_millis;
/// assert_eq!(queue_objective(ms(800), ms(0)), ms(800));
/// assert_eq!(queue_objective(ms(800), ms(300)), ms(500));
/// assert_eq!(queue_objective(ms(800), ms(1700)), ms(400));
/// ```
pub fn queue_objective(objective: Duration, age: Duration) -> Duration {
    objective.saturating_sub(age).max(objective.mul_f64(RETURN_DEADLINE_SHARE))
}

/// What a return time is computed from.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturnRequest {
    pub(super) policy: RetryPolicy,
    /// Time left until the objective of the request has passed, counted from its first attempt.
    pub(super) objective_left: Duration,
    /// Time in which the requests that wait now get their slots.
    pub(super) queue_time: Duration,
    /// Time between two slots of this instance's share.
    pub(super) interval: Duration,
}

/// Assigned return times by service and rank.
#[derive(Debug, Default)]
pub(super) struct ReturnTimes {
    /// Start and end of the interval of each return, in order.
    assigned: HashMap<(ServiceId, u16), VecDeque<(Instant, Instant)>>,
}

impl ReturnTimes {
    /// Assigns the first free time to a return and returns the delay until then.
    pub(super) fn assign(
        &mut self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        request: ReturnRequest,
    ) -> Duration {
        let ReturnRequest { policy, objective_left, queue_time, interval } = request;
        let assigned = self.assigned.entry((service.clone(), rank)).or_default();
        while assigned.front().is_some_and(|(_, end)| *end <= now) {
            assigned.pop_front();
        }
        let earliest = queue_time.max(policy.objective.mul_f64(MIN_DELAY_SHARE));
        let in_time = first_free(assigned, now + earliest, interval);
        let start = match in_time <= now + objective_left {
            true => in_time,
            false => {
                // Leaves the times within an objective to those that can still meet theirs.
                let later = earliest.max(policy.objective);
                first_free(assigned, now + later, interval)
            }
        };
        if start > now + policy.max_delay {
            return policy.max_delay.mul_f64(LATEST.0 + (LATEST.1 - LATEST.0) * policy.jitter);
        }
        let index = assigned.partition_point(|(other, _)| *other < start);
        assigned.insert(index, (start, start + interval));
        (start + interval.mul_f64(policy.jitter) - now).min(policy.max_delay)
    }

    /// Number of returns that are due within `time`.
    pub(super) fn due_within(
        &self,
        now: Instant,
        service: &ServiceId,
        rank: u16,
        time: Duration,
    ) -> usize {
        let Some(assigned) = self.assigned.get(&(service.clone(), rank)) else { return 0 };
        assigned.iter().filter(|(start, end)| *end > now && *start <= now + time).count()
    }

    /// Number of returns that are still to come.
    pub(super) fn count(&self, now: Instant, service: &ServiceId, rank: u16) -> usize {
        let assigned = self.assigned.get(&(service.clone(), rank)).into_iter().flatten();
        assigned.filter(|(_, end)| *end > now).count()
    }
}

/// Returns the first time from `earliest` on that starts an interval free of others.
fn first_free(
    assigned: &VecDeque<(Instant, Instant)>,
    earliest: Instant,
    interval: Duration,
) -> Instant {
    assigned.iter().fold(earliest, |start, (other, end)| match start + interval <= *other {
        true => start,
        false => start.max(*end),
    })
}
