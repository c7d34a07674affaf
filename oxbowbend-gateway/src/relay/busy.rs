//! Queueing by objective, and refusals while there are more requests than slots.

use std::time::Duration;

use oxbowbend_clock as clock;
use oxbowbend_core::cell::{queue_objective, RetryPolicy};

use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::{time_until, Relay};
use crate::observe;
use crate::seam::Wire;

/// Maximum `Retry-After` delay as a fraction of the time left until the request's deadline.
const MAX_RETRY_DELAY_FRACTION: f64 = 0.33;

impl<W: Wire> Relay<W> {
    /// Target time from the arrival of a request to its first event, for its place in the queue.
    pub(super) fn queue_objective(&self, request: &AdmittedRequest) -> Duration {
        let objective = request.route.objective;
        match self.shared.lock().cell.uses_forecasts() {
            true => queue_objective(objective, request.age),
            false => objective.saturating_sub(request.age),
        }
    }

    /// Longest time for which the caller of a refused request would wait.
    pub(super) fn max_retry_delay(&self, request: &AdmittedRequest) -> Duration {
        time_until(request.deadline).mul_f64(MAX_RETRY_DELAY_FRACTION)
    }

    /// Refuses a request for which there is no free slot, and chooses when its caller should retry.
    pub(super) fn busy_refusal(&self, request: &AdmittedRequest, on_arrival: bool) -> Refusal {
        let now = clock::now();
        let retry_policy = RetryPolicy {
            objective: request.route.objective,
            max_delay: self.max_retry_delay(request),
            jitter: rand::random(),
        };
        let objective_left = (request.arrived_at + request.route.objective)
            .saturating_duration_since(now)
            .saturating_sub(request.age);
        let (service, rank) = (&request.service, request.rank);
        let mut state = self.shared.lock();
        let retry_after = state.cell.refuse_late(now, service, rank, retry_policy, objective_left);
        drop(state);
        if retry_after.is_throttled {
            observe::withheld("refused");
        }
        observe::refused_busy(&request.route.name, &retry_after, on_arrival);
        Refusal::Busy { retry_after, on_arrival }
    }
}
