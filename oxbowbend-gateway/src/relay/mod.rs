//! Request handling: admission, queueing for an endpoint, forwarding, retries and the response.
//!
//! Each request is owned by the future that serves it. If the client disconnects, dropping that
//! future removes the request from the queue, closes its connection to the endpoint and updates the
//! running count, so cancellation needs no separate signal.

mod admit;
mod attempt;
mod attempt_error;
mod busy;
mod handover;
mod handover_receiver;
mod lease;
mod overflow;
mod quarantine;
mod refusal;
mod request;
mod retry;
mod run;
mod shutdown;
mod stream;
mod take_up;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::Stream;
use http::{Request, Response};
use http_body_util::{Either, StreamBody};
use hyper::body::{Frame, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_core::cell::Assignment;
use oxbowbend_core::config_order::ConfigVersion;
use oxbowbend_core::ids::EndpointId;
use oxbowbend_core::routes::Endpoint;
use oxbowbend_core::streams::StreamOrigin;
use oxbowbend_http::h1;

use crate::observe;
use crate::seam::Wire;
use crate::shared::Shared;
use crate::slot_leases::{Lease, SlotLeases};
use crate::streams::shown;
use attempt_error::AttemptError;
use handover::{PeerBody, PeerResponse};
use refusal::Refusal;
use request::{AdmittedRequest, Origin};
use retry::RetryPermit;
use run::AttemptResponse;

/// Maximum number of attempts at one request that end without executing it. Retries of those that
/// reached an endpoint use up the retry budget, which is shared with other requests.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 3;
/// Maximum number of attempts that reach another endpoint than the one that was meant. These say nothing of the service's
/// load, and each sets an entry aside at whose address another endpoint is.
const MAX_MISDIRECTED_ATTEMPTS: u32 = 8;
/// Fraction of the latency objective that a request may spend in the queue.
const QUEUE_TIMEOUT_FRACTION: f64 = 0.8;
/// Minimum queue timeout of a request that is being retried.
const MIN_RETRY_QUEUE_TIMEOUT: Duration = Duration::from_millis(200);

/// Response body: buffered, streamed from an endpoint, or passed on from a peer.
pub(crate) type Body<S> = Either<h1::Whole, Either<StreamBody<S>, StreamBody<PeerBody>>>;

/// Serves client requests. Clones share their state.
#[derive(Clone)]
pub(crate) struct Relay<W> {
    wire: W,
    shared: Shared,
    pool: h1::Pool,
    leases: SlotLeases,
    /// Port at which all instances accept requests of others.
    handover_port: u16,
}

/// A slot that a request was assigned.
pub(crate) struct Slot {
    assignment: Assignment,
    /// The lease of the slot, if slots of the service are leased.
    lease: Option<Lease>,
}

/// What another instance tells with a request that it offers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Offered {
    /// The configuration that it has admitted the request by, if it tells that.
    config: Option<ConfigVersion>,
    /// Endpoints that may have executed the request.
    attempts: u32,
}

/// Results of the previous attempts to send a request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    excluded_endpoints: Vec<EndpointId>,
    /// Where the stream began that the request goes on with.
    bound_to: Option<StreamOrigin>,
    unexecuted: u32,
    possibly_executed: u32,
    /// A server error returned by an endpoint, preferred over an error of the gateway.
    endpoint_error: Option<Response<Bytes>>,
    /// The retry that is allowed next.
    retry: Option<RetryPermit>,
}

impl<W: Wire> Relay<W> {
    pub(crate) fn new(
        wire: W,
        shared: Shared,
        pool: h1::Pool,
        leases: SlotLeases,
        handover_port: u16,
    ) -> Relay<W> {
        Relay { wire, shared, pool, leases, handover_port }
    }

    /// Handles one request.
    pub(crate) async fn serve(
        self,
        req: Request<Incoming>,
    ) -> Response<Body<impl Stream<Item = Result<Frame<Bytes>, stream::StreamInterrupted>>>> {
        self.serve_from(req, Origin::Client, Offered::default()).await
    }

    async fn serve_from(
        self,
        req: Request<Incoming>,
        origin: Origin,
        offered: Offered,
    ) -> Response<Body<impl Stream<Item = Result<Frame<Bytes>, stream::StreamInterrupted>>>> {
        let arrived_at = clock::now();
        let request = match self.admit(req, origin, offered, arrived_at).await {
            Ok(request) => Arc::new(request),
            Err((id, refusal)) => {
                refusal.log(&id, "-", arrived_at);
                observe::answered("-", refusal.outcome(), clock::since(arrived_at));
                return origin.respond_to_refused(refusal).map(Either::Left);
            }
        };
        let result = self.clone().send_with_retries(&request);
        match self.until_exit(Some(&request), result).await {
            Ok(AttemptResponse::Complete(response)) => {
                response.map(|body| Either::Left(h1::Whole::new(body)))
            }
            Ok(AttemptResponse::Streaming(head, stream)) => {
                let body = StreamBody::new(stream::frames(self, request, stream));
                Response::from_parts(head, Either::Right(Either::Left(body)))
            }
            Ok(AttemptResponse::FromPeer(response)) => {
                let PeerResponse { head, body } = *response;
                let body = Either::Right(Either::Right(StreamBody::new(body)));
                Response::from_parts(head, body)
            }
            Err(refusal) => {
                if refusal.is_unexecuted() {
                    self.refund_quota(&request);
                }
                // The sender serves a request that is rejected for lack of a slot.
                if refusal != Refusal::NoFreeSlot {
                    let took = clock::since(arrived_at);
                    refusal.log(&request.metadata.id, &request.route.name, arrived_at);
                    observe::answered(&request.route.name, refusal.outcome(), took);
                }
                origin.respond_to_refused(refusal).map(Either::Left)
            }
        }
    }

    /// Sends a request to endpoints until one responds or no further attempt is allowed.
    async fn send_with_retries(
        self,
        request: &Arc<AdmittedRequest>,
    ) -> Result<AttemptResponse, Refusal> {
        let mut history =
            AttemptHistory { bound_to: request.bound_to.clone(), ..AttemptHistory::default() };
        let mut misdirected = 0;
        loop {
            if let Err(refusal) = self.check_open() {
                return history.final_result(refusal);
            }
            if let Some(result) = self.hand_over(request, &mut history).await {
                return result;
            }
            if let Some(result) = self.overflow(request, &mut history).await {
                return result;
            }
            self.await_usage(request).await;
            if let Err(refusal) = self.count(request, &history) {
                return history.final_result(refusal);
            }
            let slot = match self
                .get_slot(request, &history)
                .await
                .and_then(|slot| self.check_shutdown(request, slot))
            {
                Ok(slot) => slot,
                Err(refusal) => return history.final_result(refusal),
            };
            history.start_retry();
            let endpoint = slot.assignment.endpoint.id.clone();
            let is_last = history.is_last_attempt(request);
            match self.send_to_endpoint(request, slot, request.metadata.after, is_last).await {
                Ok(AttemptResponse::Complete(response))
                    if self.should_retry_response(request, &response, &mut history) =>
                {
                    history.endpoint_error = Some(response);
                }
                Ok(AttemptResponse::Streaming(head, mut stream)) => {
                    stream.earlier_attempts = history.all_attempts(request);
                    return Ok(AttemptResponse::Streaming(head, stream));
                }
                Ok(response) => return Ok(response),
                Err(AttemptError::Quarantined(remaining)) => {
                    let fingerprint = request.fingerprint;
                    let refusal = Refusal::Quarantined { fingerprint, retry_after: remaining };
                    return history.final_result(refusal);
                }
                Err(error) if error.is_unexecuted() => {
                    history.note_unexecuted(request);
                    match error.is_misdirected() {
                        true => misdirected += 1,
                        false => history.unexecuted += 1,
                    }
                    let can_retry = history.unexecuted < MAX_UNEXECUTED_ATTEMPTS
                        && misdirected < MAX_MISDIRECTED_ATTEMPTS
                        && (!error.reached_endpoint()
                            || self.acquire_retry(request, "not_run", &mut history));
                    if !can_retry {
                        return history.final_result(self.busy_refusal(request, false));
                    }
                }
                Err(error) => {
                    history.possibly_executed += 1;
                    let can_retry = request.is_retryable()
                        && !error.is_deadline_exceeded()
                        && history.may_attempt(request)
                        && self.acquire_retry(request, "failed", &mut history);
                    if !can_retry {
                        return history.final_result(error.into_refusal());
                    }
                }
            }
            history.excluded_endpoints.push(endpoint);
        }
    }

    /// Returns whether to retry a request after an endpoint returned `response`, and takes the retry
    /// from the retry budget if so.
    fn should_retry_response(
        &self,
        request: &AdmittedRequest,
        response: &Response<Bytes>,
        history: &mut AttemptHistory,
    ) -> bool {
        if !response.status().is_server_error()
            || !request.is_retryable()
            || history.endpoint_error.is_some()
        {
            return false;
        }
        history.possibly_executed += 1;
        history.may_attempt(request) && self.acquire_retry(request, "error", history)
    }

    /// Waits in the queue for a free slot at an endpoint.
    async fn get_slot(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
    ) -> Result<Slot, Refusal> {
        let now = clock::now();
        let remaining = request.deadline.saturating_duration_since(now);
        let min_queue_until =
            if history.excluded_endpoints.is_empty() { now } else { now + MIN_RETRY_QUEUE_TIMEOUT };
        let objective = request.route.objective;
        let queue_objective = self.queue_objective(request);
        let max_queue_time = queue_objective.mul_f64(QUEUE_TIMEOUT_FRACTION);
        let queue_until =
            (request.arrived_at + max_queue_time.max(objective / 8)).max(min_queue_until);
        let queue_timeout = queue_until.saturating_duration_since(now).min(remaining);
        // During a shutdown, stop waiting early enough to report that the request was not executed.
        let shutdown = self.shared.lock().shutdown;
        let queue_timeout = shutdown.map_or(queue_timeout, |s| s.cap_wait(now, queue_timeout));
        let service = match &history.bound_to {
            None => {
                self.shared.lock().deal(&request.service, history.excluded_endpoints.is_empty())
            }
            Some(origin) => {
                let service = self.shared.lock().service_of_version(origin);
                let Some(service) = service else {
                    return self.slot_of_other_cell(request, history, origin);
                };
                service
            }
        };
        // No endpoint accepts requests before the queue timeout.
        if self
            .shared
            .lock()
            .cell
            .available_in(now, &service)
            .is_some_and(|available_in| available_in > queue_timeout)
        {
            return Err(self.busy_refusal(request, true));
        }
        let is_over_share = self.shared.is_over_share(now, request.account.as_ref());
        let mut queued = request.queued(service, queue_objective, history);
        queued.is_over_share = is_over_share;
        if let Some(result) = self.get_leased_slot(request, &queued, queue_timeout).await {
            return result;
        }
        let queue_timeout = queue_timeout.saturating_sub(clock::since(now));
        let waiting = self.shared.arrive(queued);
        if waiting.should_refuse(queue_timeout) {
            // Else the request would count as one that waits ahead of its own return.
            drop(waiting);
            return Err(self.busy_refusal(request, true));
        }
        let assignment =
            waiting.place(queue_timeout).await.ok_or_else(|| self.busy_refusal(request, false))?;
        let waited = clock::since(now);
        log_placed(request, &assignment, waited);
        Ok(Slot { assignment, lease: None })
    }

    /// Assigns a request whose version no endpoint of this cell has to one of another cell.
    fn slot_of_other_cell(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
        origin: &StreamOrigin,
    ) -> Result<Slot, Refusal> {
        let now = clock::now();
        let is_excluded = |e: &Endpoint| history.excluded_endpoints.contains(&e.id);
        let endpoint = self.shared.lock().endpoint_of_other_cell(now, origin, is_excluded);
        let endpoint = endpoint.ok_or_else(|| self.version_gone(origin))?;
        let assignment = Assignment {
            ticket: 0,
            endpoint,
            load: 1,
            prompt_tokens: request.metadata.prompt,
            backlog_tokens: 0,
            expected_first_event: request.route.objective,
            expected_total: None,
            throttled_endpoints: 0,
        };
        log_placed(request, &assignment, Duration::ZERO);
        Ok(Slot { assignment, lease: None })
    }

    fn refund_quota(&self, request: &AdmittedRequest) {
        if !request.is_counted.swap(false, Ordering::SeqCst) {
            return;
        }
        if let Some(account) = &request.account {
            self.shared.lock().admission.refund(account, request.quota_units);
        }
    }
}

impl AttemptHistory {
    /// Returns whether the request has not been sent anywhere, except to peers that did not accept
    /// it.
    fn is_empty(&self) -> bool {
        self.excluded_endpoints.is_empty() && self.unexecuted == 0 && self.possibly_executed == 0
    }

    /// Endpoints that may have executed a request, also where it was sent from before.
    fn all_attempts(&self, request: &AdmittedRequest) -> u32 {
        request.earlier_attempts.saturating_add(self.possibly_executed)
    }

    /// Returns whether the route allows one more endpoint.
    fn may_attempt(&self, request: &AdmittedRequest) -> bool {
        self.all_attempts(request) < request.route.max_attempts
    }

    /// Returns whether the route allows none after the next one.
    fn is_last_attempt(&self, request: &AdmittedRequest) -> bool {
        self.all_attempts(request).saturating_add(1) >= request.route.max_attempts
    }

    /// Records that what was sent last has not been executed.
    fn note_unexecuted(&self, request: &AdmittedRequest) {
        request.may_have_run.store(self.possibly_executed > 0, Ordering::SeqCst);
    }

    /// Returns the final result after the last attempt: the error response of an endpoint if there
    /// was one, otherwise `refusal`, which becomes [`Refusal::Failed`] if it claims that the request
    /// was not executed although an earlier attempt may have executed it.
    fn final_result(&mut self, refusal: Refusal) -> Result<AttemptResponse, Refusal> {
        if let Some(response) = self.endpoint_error.take() {
            return Ok(AttemptResponse::Complete(response));
        }
        if self.possibly_executed > 0 && refusal.is_unexecuted() {
            return Err(Refusal::Failed);
        }
        Err(refusal)
    }
}

/// Returns the time left until `deadline`, or zero if it has passed.
pub(crate) fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(clock::now())
}

fn log_placed(request: &AdmittedRequest, assignment: &Assignment, waited: Duration) {
    observe::placed(&request.route.name, waited, assignment.throttled_endpoints > 0);
    log::info!(
        "event=placed id={} endpoint={} load={} slots={} backlog={} expected_ms={} \
         waited_ms={} withheld={} software={}",
        request.metadata.id,
        assignment.endpoint.id,
        assignment.load,
        assignment.endpoint.slots,
        assignment.backlog_tokens,
        assignment.expected_first_event.as_millis(),
        waited.as_millis(),
        assignment.throttled_endpoints,
        shown(&assignment.endpoint.version)
    );
}
