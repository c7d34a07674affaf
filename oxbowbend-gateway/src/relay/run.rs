//! A single attempt to have an endpoint execute a request.

use std::pin::pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_std::future;
use bytes::Bytes;
use futures::future::{select, Either};
use futures::pin_mut;
use http::header::{self, HeaderMap};
use http::{response, Request, Response, StatusCode, Uri, Version};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_core::cell::Outcome;
use oxbowbend_core::isolation::PathFailure;
use oxbowbend_core::silence::{self, Expectation, TimeoutAction};
use oxbowbend_http::h1;

use super::attempt::{log_response, Attempt, Progress};
use super::attempt_error::AttemptError;
use super::handover::{PeerResponse, HANDOVER};
use super::quarantine::ENDED_WITH_RESPONSE;
use super::request::AdmittedRequest;
use super::stream::EndpointStream;
use super::{time_until, Relay, Slot};
use crate::observe;
use crate::seam::{Onward, Verdict, Wire};

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Bytes of a response that are read before any of them is passed on, so that another endpoint can serve
/// the request if this one fails. The rest is passed on as it is read.
const RESPONSE_BUFFER: usize = 256 * 1024;
/// The same while the memory for clients is used up. Less is held then for clients that do not read, and a response is
/// passed on no faster than its client reads.
const MIN_RESPONSE_BUFFER: usize = 16 * 1024;
/// Bytes of a response without events. A faulty endpoint may send bytes without end.
pub(super) const MAX_RESPONSE: u64 = 64 << 20;

/// Statuses of final responses (RFC 9110, 15). The library takes any three digits.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Bytes of the headers of a response that belongs to no request, in the log.
const MAX_SHOWN_HEADERS: usize = 300;

/// The response of an endpoint.
pub(crate) enum AttemptResponse {
    /// A buffered response.
    Complete(Response<Bytes>),
    /// The head and body of a streamed response whose first event has arrived.
    Streaming(response::Parts, Box<EndpointStream>),
    /// The response of a peer that serves the request.
    FromPeer(Box<PeerResponse>),
}

impl<W: Wire> Relay<W> {
    /// Sends a request to the endpoint that it is assigned to. `is_last` tells that it may be sent to
    /// no further one.
    pub(super) async fn send_to_endpoint(
        &self,
        request: &AdmittedRequest,
        slot: Slot,
        last_event_id: Option<u64>,
        is_last: bool,
    ) -> Result<AttemptResponse, AttemptError> {
        let (load, expected) = (slot.assignment.load, slot.assignment.expected_first_event);
        let mut attempt = Attempt::new(&self.shared, request, slot);
        let may_retry = request.is_retryable() && !is_last;
        let result = self.exchange(request, &mut attempt, last_event_id, may_retry).await;
        let error = match result {
            Ok(ResponseStart::Complete(response)) => {
                let is_bad = response.status().is_server_error();
                let outcome = if is_bad { Outcome::Bad } else { Outcome::Good };
                let (status, bytes) = (response.status().as_u16(), response.body().len());
                log_response(request, &attempt, status, bytes);
                self.record_success(request);
                if response.status().is_success() {
                    self.record_written(request);
                }
                attempt.complete(&self.pool, outcome);
                return Ok(AttemptResponse::Complete(response));
            }
            Ok(ResponseStart::Streaming(head, first_frame, body)) => {
                let has_events =
                    request.route.stream && head.status.is_success() && has_events(&head.headers);
                let status = head.status;
                let stream = EndpointStream::new(attempt, status, first_frame, body, has_events);
                let stream = Box::new(stream);
                return Ok(AttemptResponse::Streaming(head, stream));
            }
            Err(error) => error,
        };
        let failure = error.path_failure(attempt.progress);
        let is_path_lost = match failure {
            Some(failure) => {
                let (pool, service) = (&self.pool, &request.service);
                if let Progress::Sent { is_new_connection } = attempt.progress {
                    let endpoint = &attempt.endpoint;
                    self.shared.record_no_response(service, endpoint, is_new_connection);
                }
                self.shared.is_path_lost(pool, service, &attempt.endpoint, failure).await
            }
            None => false,
        };
        let is_own_limit = failure.is_some() && self.shared.lock().is_at_limit;
        let outcome = match &error {
            // It says nothing about the endpoint, which others may reach.
            _ if is_path_lost || is_own_limit => Outcome::Neutral,
            AttemptError::NotExecuted(Verdict::NotThere) => Outcome::Absent,
            AttemptError::DeadlineExceeded
            | AttemptError::Quarantined(_)
            | AttemptError::BackoffRequested(_)
            | AttemptError::NotAccepting => Outcome::Neutral,
            AttemptError::NotExecuted(_) => {
                let (now, key) = (clock::now(), attempt.endpoint.key());
                self.shared.lock().cell.record_full(now, key, load)
            }
            _ => Outcome::Bad,
        };
        log::warn!(
            "event=send_failed id={} fingerprint={:016x} endpoint={} load={load} after_ms={} \
             expected_ms={} blame={outcome:?} framing={:?} failure=\"{error}\"",
            request.metadata.id,
            request.fingerprint,
            attempt.endpoint.id,
            clock::since(attempt.started_at).as_millis(),
            expected.as_millis(),
            attempt.framing
        );
        if matches!(error, AttemptError::NotSent(_)) {
            self.pool.forget(attempt.endpoint.address);
        }
        attempt.finish(outcome);
        match &error {
            AttemptError::NotSent(_) if is_path_lost => {}
            AttemptError::NoValidResponse(_) => {
                self.check_for_crash(request, &attempt.endpoint, true).await
            }
            AttemptError::NotSent(e) if e.is_refused() => {
                self.shared.endpoint_ended(&attempt.endpoint)
            }
            _ => {}
        }
        Err(error)
    }

    async fn exchange(
        &self,
        request: &AdmittedRequest,
        attempt: &mut Attempt,
        last_event_id: Option<u64>,
        may_retry: bool,
    ) -> Result<ResponseStart, AttemptError> {
        let (objective, time_left) = (request.route.objective, time_until(request.deadline));
        let (endpoint, started_at) = (attempt.endpoint.clone(), attempt.started_at);
        let tokens = attempt.prompt_tokens.saturating_add(attempt.backlog_tokens);
        let expectation =
            || self.shared.lock().cell.expectation(clock::now(), endpoint.key(), tokens);
        let response_start = self.await_response_start(request, attempt, last_event_id);
        pin_mut!(response_start);
        let (mut expected, mut waited) = (expectation(), Duration::ZERO);
        let suspect_after = loop {
            let delay = silence::delay(expected, objective, time_left);
            let left = delay.min(time_left).saturating_sub(waited);
            if left.is_zero() {
                break delay;
            }
            let step = left.min(silence::look_interval(objective));
            if let Ok(result) = future::timeout(step, &mut response_start).await {
                return result;
            }
            let doublings = expected.doublings;
            (expected, waited) = (Expectation { doublings, ..expectation() }, waited + step);
        };
        // A stopping instance may have to refuse the next attempt, and this one may still end in time.
        let may_retry = may_retry && self.check_open().is_ok();
        let action = silence::timeout_action(suspect_after, time_left, may_retry);
        if action != TimeoutAction::Fail {
            let (key, doublings) = (endpoint.key(), expected.doublings);
            self.shared.lock().cell.record_silence(key, started_at, doublings);
        }
        match action {
            TimeoutAction::Fail => return Err(AttemptError::DeadlineExceeded),
            TimeoutAction::Retry => return Err(AttemptError::Unresponsive),
            TimeoutAction::MarkSuspect => {
                let (service, failure) = (&request.service, PathFailure::Unresponsive);
                let is_path_lost =
                    pin!(self.shared.is_path_lost(&self.pool, service, &endpoint, failure));
                match select(&mut response_start, is_path_lost).await {
                    Either::Left((result, _)) => return result,
                    // No response can arrive, and the slot would stay in use until the deadline.
                    Either::Right((true, _)) if request.is_retryable() => {
                        return Err(AttemptError::Unresponsive)
                    }
                    Either::Right((true, _)) => {}
                    Either::Right((false, _)) => {
                        let (now, key) = (clock::now(), endpoint.key());
                        self.shared.lock().cell.record_slow_response(now, key, started_at);
                    }
                }
            }
        }
        match future::timeout(time_until(request.deadline), response_start).await {
            Ok(result) => result,
            Err(_) => Err(AttemptError::DeadlineExceeded),
        }
    }

    /// Sends the request and waits for the complete response, or for the first event of a stream.
    async fn await_response_start(
        &self,
        request: &AdmittedRequest,
        attempt: &mut Attempt,
        last_event_id: Option<u64>,
    ) -> Result<ResponseStart, AttemptError> {
        let response = self.send_request(request, attempt, last_event_id).await?;
        if attempt.progress == (Progress::Sent { is_new_connection: true }) {
            self.shared.record_fresh_response(&request.service);
        }
        self.shared.lock().path(&request.service).record_response(clock::now());
        attempt.progress = Progress::HeadArrived;
        let (mut head, mut body) = response.into_parts();
        check_status(head.status)?;
        let verdict = self.wire.judge(&head, &request.metadata.id);
        if matches!(verdict, Verdict::Answer | Verdict::NotRun) {
            self.shared.endpoint_responded(&attempt.endpoint);
            let signals = self.wire.signals(&head);
            self.shared.endpoint_said(
                &attempt.endpoint,
                &request.metadata.id,
                attempt.started_at,
                signals,
            );
            if let (Verdict::NotRun, Some(delay)) = (verdict, signals.backoff.value()) {
                return Err(AttemptError::BackoffRequested(delay));
            }
        }
        match verdict {
            Verdict::Answer => {}
            Verdict::Foreign => {
                let status = head.status;
                observe::foreign_response();
                log::warn!(
                    "event=foreign_response id={} endpoint={} status={} headers={} concluded=may_have_run",
                    request.metadata.id,
                    attempt.endpoint.id,
                    status.as_u16(),
                    shown_headers(&head.headers)
                );
                return Err(AttemptError::NoValidResponse(format!(
                    "response does not match the request (status {status})"
                )));
            }
            verdict => return Err(AttemptError::NotExecuted(verdict)),
        }
        attempt.framing = h1::Framing::of(&request.method, head.status, &head.headers);
        self.wire.back(&mut head.headers);
        head.headers.remove(HANDOVER);
        // The client's connection has a version of its own. In that of an HTTP/1.0 endpoint the response
        // could not be sent in chunks, whose missing end shows an interruption.
        head.version = Version::HTTP_11;
        let no_valid_response = |e: hyper::Error| AttemptError::NoValidResponse(with_source(&e));
        if request.route.stream && head.status.is_success() {
            let first_frame = match body.frame().await {
                Some(frame) => Some(frame.map_err(no_valid_response)?),
                None if attempt.framing == h1::Framing::UntilClose => {
                    let reason = "connection closed before the first event";
                    return Err(AttemptError::NoValidResponse(reason.to_owned()));
                }
                None => None,
            };
            attempt.record_event();
            attempt.time_to_first_event = clock::since(attempt.started_at);
            self.shared.began(
                attempt.endpoint.key(),
                attempt.prompt_tokens,
                attempt.backlog_tokens,
                attempt.time_to_first_event,
            );
            observe::began(&request.route.name, clock::since(request.arrived_at));
            return Ok(ResponseStart::Streaming(head, first_frame, body));
        }
        let bytes = body.size_hint().exact().map_or(RESPONSE_BUFFER, |n| n as usize);
        let charge = request.reserve_response(bytes.min(RESPONSE_BUFFER));
        let limit = if charge.is_some() { RESPONSE_BUFFER } else { MIN_RESPONSE_BUFFER };
        let collected = h1::collect(&mut body, limit).await.map_err(no_valid_response)?;
        if head.status.is_success() {
            attempt.time_to_first_event = clock::since(attempt.started_at);
            self.shared.began(
                attempt.endpoint.key(),
                attempt.prompt_tokens,
                attempt.backlog_tokens,
                attempt.time_to_first_event,
            );
        }
        let beginning = match collected {
            h1::Collected::Whole(_)
                if self.has_ended_with_response(&attempt.endpoint, attempt.framing).await =>
            {
                return Err(AttemptError::NoValidResponse(ENDED_WITH_RESPONSE.to_owned()))
            }
            h1::Collected::Whole(body) => {
                if let Some(mut charge) = charge {
                    charge.shrink_to(body.len());
                    head.extensions.insert(Arc::new(charge));
                }
                return Ok(ResponseStart::Complete(Response::from_parts(head, body)));
            }
            h1::Collected::Beginning(beginning) => beginning,
        };
        if body.size_hint().lower() > MAX_RESPONSE {
            let reason = format!("response exceeds {MAX_RESPONSE} bytes");
            return Err(AttemptError::NoValidResponse(reason));
        }
        Ok(ResponseStart::Streaming(head, Some(Frame::data(beginning)), body))
    }

    async fn send_request(
        &self,
        request: &AdmittedRequest,
        attempt: &mut Attempt,
        last_event_id: Option<u64>,
    ) -> Result<Response<Incoming>, AttemptError> {
        let address = attempt.endpoint.address;
        // Established connections do not show that a lost path is back.
        let is_isolated = self.shared.lock().path(&request.service).is_isolated();
        let conn = match is_isolated {
            true => self.pool.connect(address).await,
            false => self.pool.get(address).await,
        };
        let mut conn = conn.map_err(AttemptError::NotSent)?;
        if !conn.is_reused() {
            self.shared.lock().path(&request.service).record_connect(clock::now());
        }
        // Responses that arrived while connecting may have carried new signals of the endpoint.
        if !self.shared.lock().cell.may_send(clock::now(), attempt.endpoint.key()) {
            self.pool.put(conn);
            return Err(AttemptError::NotAccepting);
        }
        let is_trial = self.check_send_permission(request)?;
        attempt.progress = Progress::Sent { is_new_connection: !conn.has_answered() };
        request.may_have_run.store(true, Ordering::SeqCst);
        let mut result = conn.send_held(self.build_request(request, attempt, last_event_id)).await;
        if conn.is_reused() && matches!(&result, Err(e) if e.is_unsent()) {
            conn = self.pool.connect(address).await.map_err(AttemptError::NotSent)?;
            if !is_trial {
                self.check_send_permission(request)?;
            }
            attempt.progress = Progress::Sent { is_new_connection: true };
            result = conn.send_held(self.build_request(request, attempt, last_event_id)).await;
        }
        attempt.conn = Some(conn);
        result.map_err(|e| match e.is_unsent() {
            true => AttemptError::NotSent(e),
            false => AttemptError::NoValidResponse(e.to_string()),
        })
    }

    fn build_request(
        &self,
        request: &AdmittedRequest,
        attempt: &Attempt,
        last_event_id: Option<u64>,
    ) -> Request<h1::HeldBody> {
        let forwarding = Onward {
            left: time_until(request.deadline),
            endpoint: &attempt.endpoint.id,
            account: request.account.as_ref(),
            after: last_event_id,
        };
        let mut req = Request::new(request.body.clone());
        *req.method_mut() = request.method.clone();
        *req.uri_mut() = path_only(&request.uri);
        *req.headers_mut() = self.wire.forward(&request.headers, forwarding);
        req
    }
}

/// A buffered response, or the head and first frame of a streamed one.
enum ResponseStart {
    Complete(Response<Bytes>),
    Streaming(response::Parts, Option<Frame<Bytes>>, Incoming),
}

/// Rejects a status that no final response has: one of an interim response, or one that does not exist.
fn check_status(status: StatusCode) -> Result<(), AttemptError> {
    match is_final(status) {
        true => Ok(()),
        false => Err(AttemptError::NoValidResponse(format!("not a final response: {status}"))),
    }
}

/// Whether a response that is not followed by another one may have this status.
pub(super) fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Describes an error with its cause, which tells a reset from an early end.
pub(super) fn with_source(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Returns the headers of a response that belongs to no request, cut to a line of bounded length.
fn shown_headers(headers: &HeaderMap) -> String {
    let mut shown = format!("{headers:?}");
    let end = (0..=MAX_SHOWN_HEADERS.min(shown.len())).rev().find(|i| shown.is_char_boundary(*i));
    shown.truncate(end.unwrap_or_default());
    shown
}

/// Returns whether a streamed response consists of events: unless it says otherwise.
fn has_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).map(|value| value.as_bytes());
    content_type.is_none_or(|value| value.to_ascii_lowercase().starts_with(EVENT_STREAM))
}

/// Returns the path and query of `uri` without scheme and authority.
pub(super) fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
