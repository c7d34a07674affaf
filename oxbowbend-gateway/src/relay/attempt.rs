//! The record of an attempt while an endpoint executes a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use oxbowbend_clock as clock;
use oxbowbend_core::cell::{Outcome, FIXED_WORK_UNITS};
use oxbowbend_core::ids::StreamKey;
use oxbowbend_core::rollout::responses::ResponseOutcome;
use oxbowbend_core::routes::{Endpoint, Route};
use oxbowbend_http::h1;

use super::request::AdmittedRequest;
use super::Slot;
use crate::observe;
use crate::shared::Shared;
use crate::slot_leases::Lease;

/// Approximate work units per stream event. Only responses on the same route are compared, so the
/// exact value matters little.
const WORK_UNITS_PER_EVENT: u32 = 1000;

/// How far an attempt has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    Connecting,
    Sent { is_new_connection: bool },
    HeadArrived,
}

/// A request being executed by an endpoint. Dropping it closes the connection, which cancels the
/// execution.
pub(crate) struct Attempt {
    pub(super) shared: Shared,
    pub(super) request_id: String,
    pub(crate) endpoint: Endpoint,
    pub(super) conn: Option<h1::Conn>,
    pub(super) started_at: Instant,
    /// Tokens of the request's prompt, and of the prompts queued before it at the endpoint.
    pub(super) prompt_tokens: u32,
    pub(super) backlog_tokens: u32,
    /// Time to the first event, or to the end of a buffered response; zero until then.
    pub(super) time_to_first_event: Duration,
    pub(super) max_event_gap: Duration,
    pub(super) last_event_at: Instant,
    pub(super) event_count: u32,
    pub(super) progress: Progress,
    /// What marks the end of the response; [`h1::Framing::Bodyless`] until its head has arrived.
    pub(crate) framing: h1::Framing,
    pub(super) route: Arc<Route>,
    /// The stream that the attempt begins or continues.
    stream_key: Option<StreamKey>,
    /// Whether the client was given an event of it by this attempt.
    has_begun_stream: bool,
    /// The lease of the endpoint's slot, if it is leased.
    lease: Option<Lease>,
    pub(super) is_finished: bool,
}

impl Attempt {
    pub(super) fn new(shared: &Shared, request: &AdmittedRequest, slot: Slot) -> Attempt {
        let Slot { assignment, lease } = slot;
        let (shared, request_id) = (shared.clone(), request.metadata.id.clone());
        shared.run_began(&assignment.endpoint);
        Attempt {
            shared,
            request_id,
            endpoint: assignment.endpoint,
            prompt_tokens: assignment.prompt_tokens,
            backlog_tokens: assignment.backlog_tokens,
            conn: None,
            started_at: clock::now(),
            time_to_first_event: Duration::ZERO,
            max_event_gap: Duration::ZERO,
            last_event_at: clock::now(),
            event_count: 0,
            progress: Progress::Connecting,
            framing: h1::Framing::Bodyless,
            route: request.route.clone(),
            stream_key: request.stream_key,
            has_begun_stream: false,
            lease,
            is_finished: false,
        }
    }

    /// Records an event of the stream.
    pub(crate) fn record_event(&mut self) {
        let now = clock::now();
        if !self.time_to_first_event.is_zero() {
            self.max_event_gap = self.max_event_gap.max(now.duration_since(self.last_event_at));
        }
        self.last_event_at = now;
        self.event_count += 1;
    }

    /// Records before the first event goes to the client at which version its stream runs.
    pub(super) fn begin_stream(&mut self, account: &str) {
        if let (Some(key), false) = (self.stream_key, self.has_begun_stream) {
            self.has_begun_stream = true;
            self.shared.stream_began(key, account, &self.endpoint);
        }
    }

    /// Finishes the attempt after a complete response and returns the connection to the pool.
    pub(crate) fn complete(mut self, pool: &h1::Pool, outcome: Outcome) {
        if let Some(conn) = self.conn.take() {
            pool.put(conn);
        }
        self.finish(outcome);
    }

    /// Finishes the attempt and closes its connection.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        self.is_finished = true;
        self.conn = None;
        self.lease = None;
        if let (Some(key), true) = (self.stream_key, self.has_begun_stream) {
            self.shared.stream_ended(key);
        }
        let unread_tokens = if self.time_to_first_event.is_zero() { self.prompt_tokens } else { 0 };
        let answer = match outcome {
            Outcome::Good => Some(self.timed_answer()),
            Outcome::Bad => Some(ResponseOutcome::Failure),
            Outcome::Neutral | Outcome::Absent => None,
        };
        self.shared.run_ended(&self.endpoint, &self.route.name, answer);
        self.shared.finish(self.endpoint.key(), unread_tokens, outcome);
    }

    /// Returns the time taken so far per unit of work.
    fn timed_answer(&self) -> ResponseOutcome {
        let units =
            self.prompt_tokens.saturating_add(self.backlog_tokens).saturating_add(FIXED_WORK_UNITS);
        let units = units.saturating_add(self.event_count.saturating_mul(WORK_UNITS_PER_EVENT));
        let ns = clock::since(self.started_at).as_nanos() as f64;
        ResponseOutcome::Success { ns_per_unit: ns / f64::from(units) }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        log::info!(
            "event=caller_left id={} endpoint={} after_ms={}",
            self.request_id,
            self.endpoint.id,
            clock::since(self.started_at).as_millis()
        );
        self.finish(Outcome::Neutral);
    }
}

/// Logs a completed response and how its end was marked, and updates the metrics.
pub(crate) fn log_response(
    request: &AdmittedRequest,
    attempt: &Attempt,
    status: u16,
    bytes: usize,
) {
    observe::answered(&request.route.name, "answered", clock::since(request.arrived_at));
    log::info!(
        "event=answered id={} endpoint={} status={status} bytes={bytes} first_ms={} pause_ms={} at_endpoint_ms={} \
         total_ms={} framing={:?}",
        request.metadata.id,
        attempt.endpoint.id,
        attempt.time_to_first_event.as_millis(),
        attempt.max_event_gap.as_millis(),
        clock::since(attempt.started_at).as_millis(),
        clock::since(request.arrived_at).as_millis(),
        attempt.framing
    );
}
