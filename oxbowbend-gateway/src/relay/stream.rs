//! Forwarding of streamed responses, and resumption of interrupted ones at another endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future;
use bytes::Bytes;
use futures::Stream;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_core::cell::Outcome;
use oxbowbend_core::event_stream::{EventSplitter, OutOfOrder};
use oxbowbend_core::ids::EndpointId;
use oxbowbend_core::isolation::PathFailure;
use oxbowbend_core::routes::Endpoint;
use oxbowbend_core::streams::StreamOrigin;
use thiserror::Error;

use super::attempt::{log_response, Attempt};
use super::attempt_error::AttemptError;
use super::quarantine::ENDED_WITH_RESPONSE;
use super::request::AdmittedRequest;
use super::run::{with_source, AttemptResponse, MAX_RESPONSE};
use super::take_up::account;
use super::{time_until, AttemptHistory, Relay, MAX_UNEXECUTED_ATTEMPTS};
use crate::observe;
use crate::seam::Wire;
use crate::streams::shown;

/// Time after its first event from which a stream shows that its endpoint does not crash as it begins
/// to write. Waiting for the end would leave parts without an answer while endpoints crash often.
const WRITTEN_AFTER: Duration = Duration::from_millis(300);

/// Bytes of an incomplete event that are kept. Only whole events are passed on.
const MAX_EVENT: usize = 1 << 20;

/// The stream was interrupted and cannot be resumed. The client's connection is aborted so that the
/// response does not appear complete.
#[derive(Debug, Error)]
#[error("stream interrupted")]
pub(crate) struct StreamInterrupted;

/// A streamed response being received from an endpoint.
pub(crate) struct EndpointStream {
    attempt: Attempt,
    status: StatusCode,
    first_frame: Option<Frame<Bytes>>,
    body: Incoming,
    /// Whether the body consists of events, whose boundaries show whether it is complete.
    has_events: bool,
    /// Endpoints that may have executed the request before this one.
    pub(super) earlier_attempts: u32,
}

impl EndpointStream {
    pub(crate) fn new(
        attempt: Attempt,
        status: StatusCode,
        first_frame: Option<Frame<Bytes>>,
        body: Incoming,
        has_events: bool,
    ) -> EndpointStream {
        EndpointStream { attempt, status, first_frame, body, has_events, earlier_attempts: 0 }
    }
}

/// The next item received from the endpoint.
enum StreamItem {
    Data(Bytes),
    End,
    Interrupted(Interruption),
    DeadlineExceeded,
}

/// Why a stream cannot go on at its endpoint.
#[derive(Debug, Error)]
enum Interruption {
    /// The connection failed, or the response ended where it is not complete or did not end.
    #[error("{0}")]
    Broken(String),
    /// The connection is sound, but the endpoint repeats events or goes back.
    #[error("{0}")]
    OutOfOrder(OutOfOrder),
}

impl Interruption {
    fn broken(reason: &str) -> Interruption {
        Interruption::Broken(reason.to_owned())
    }
}

struct StreamRelay<W> {
    relay: Relay<W>,
    request: Arc<AdmittedRequest>,
    stream: Option<Box<EndpointStream>>,
    events: EventSplitter,
    /// The event that follows what was passed on, if it may not be.
    out_of_order: Option<OutOfOrder>,
    excluded_endpoints: Vec<EndpointId>,
    /// Endpoints that the request was sent to and that may have executed it.
    send_count: u32,
    bytes_sent: usize,
    /// When the endpoint began to write, and the bytes that were sent before.
    began_at: Instant,
    sent_before: usize,
    /// Whether it is recorded that an endpoint wrote a response.
    is_written: bool,
}

/// Returns the frames of the response to the client.
pub(crate) fn frames<W: Wire>(
    relay: Relay<W>,
    request: Arc<AdmittedRequest>,
    stream: Box<EndpointStream>,
) -> impl Stream<Item = Result<Frame<Bytes>, StreamInterrupted>> {
    let state = StreamRelay {
        relay,
        events: EventSplitter::resume_after(request.metadata.after),
        request,
        send_count: stream.earlier_attempts.saturating_add(1),
        stream: Some(stream),
        out_of_order: None,
        excluded_endpoints: Vec::new(),
        bytes_sent: 0,
        began_at: clock::now(),
        sent_before: 0,
        is_written: false,
    };
    futures::stream::unfold(state, |mut state| async move {
        let item = state.next().await?;
        if item.is_err() {
            state.stream = None;
        }
        Some((item.map(Frame::data), state))
    })
}

impl<W: Wire> StreamRelay<W> {
    async fn next(&mut self) -> Option<Result<Bytes, StreamInterrupted>> {
        loop {
            let item = match self.out_of_order.take() {
                Some(event) => StreamItem::Interrupted(Interruption::OutOfOrder(event)),
                None => receive_item(self.stream.as_mut()?, &self.request).await,
            };
            match self.check_end(item).await {
                StreamItem::Data(data) => {
                    let data = self.split(data);
                    if data.is_empty() {
                        continue;
                    }
                    if let Some(stream) = &mut self.stream {
                        stream.attempt.begin_stream(account(&self.request));
                    }
                    self.bytes_sent += data.len();
                    self.check_written(WRITTEN_AFTER);
                    return Some(Ok(data));
                }
                StreamItem::End => {
                    self.finish();
                    return None;
                }
                StreamItem::Interrupted(why) => match self.resume(why).await {
                    true => continue,
                    false => return Some(Err(StreamInterrupted)),
                },
                StreamItem::DeadlineExceeded => {
                    self.abandon_attempt("request deadline exceeded", Outcome::Neutral);
                    return Some(Err(StreamInterrupted));
                }
            }
        }
    }

    /// Returns what may be passed on: of events only whole ones in order, since the client could not tell
    /// a repeated event from the next one and another endpoint may have to continue.
    fn split(&mut self, data: Bytes) -> Bytes {
        if !self.has_events() {
            return data;
        }
        let split = self.events.push(&data);
        self.out_of_order = split.out_of_order;
        split.complete.into()
    }

    /// Whether an event, or a body without events, goes on beyond its bound with `data`.
    fn is_too_long(&self, data: &Bytes) -> bool {
        match self.has_events() {
            true => self.events.partial_len() + data.len() > MAX_EVENT,
            false => (self.bytes_sent - self.sent_before + data.len()) as u64 > MAX_RESPONSE,
        }
    }

    /// Turns an end inside an event, the end of an endpoint and a part without an end into an
    /// interruption. The end of a connection looks the same whether the endpoint closed it or failed.
    async fn check_end(&mut self, item: StreamItem) -> StreamItem {
        match item {
            StreamItem::End if self.has_events() && self.events.is_inside_event() => {
                StreamItem::Interrupted(Interruption::broken("ended inside an event"))
            }
            StreamItem::End if self.has_endpoint_ended().await => {
                StreamItem::Interrupted(Interruption::broken(ENDED_WITH_RESPONSE))
            }
            StreamItem::Data(data) if self.is_too_long(&data) => {
                StreamItem::Interrupted(Interruption::broken("no end within the bound"))
            }
            item => item,
        }
    }

    /// Returns whether the end of the response may be that of the endpoint's process.
    async fn has_endpoint_ended(&mut self) -> bool {
        let Some(stream) = &self.stream else { return false };
        let (endpoint, framing) = (stream.attempt.endpoint.clone(), stream.attempt.framing);
        self.relay.has_ended_with_response(&endpoint, framing).await
    }

    /// Returns whether another endpoint may continue the stream, which only events allow: the rest
    /// of any other body could not be told from its beginning.
    fn is_resumable(&self) -> bool {
        self.request.route.resumable && self.has_events() && self.events.can_resume()
    }

    fn has_events(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.has_events)
    }

    /// Records that the endpoint wrote a response, if it began that long ago. A stream without an
    /// event shows nothing.
    fn check_written(&mut self, after: Duration) {
        let has_events = self.bytes_sent > self.sent_before;
        if !self.is_written && has_events && clock::since(self.began_at) >= after {
            self.is_written = true;
            self.relay.record_written(&self.request);
        }
    }

    fn finish(&mut self) {
        self.check_written(Duration::ZERO);
        let Some(stream) = self.stream.take() else { return };
        let status = stream.status;
        log_response(&self.request, &stream.attempt, status.as_u16(), self.bytes_sent);
        self.relay.record_success(&self.request);
        let outcome = if status.is_server_error() { Outcome::Bad } else { Outcome::Good };
        stream.attempt.complete(&self.relay.pool, outcome);
    }

    fn abandon_attempt(&mut self, reason: &str, outcome: Outcome) {
        let Some(mut stream) = self.stream.take() else { return };
        log::warn!(
            "event=stream_broken id={} fingerprint={:016x} endpoint={} last_event={:?} bytes={} blame={outcome:?} \
             framing={:?} software={} why=\"{reason}\"",
            self.request.metadata.id,
            self.request.fingerprint,
            stream.attempt.endpoint.id,
            self.events.last_id(),
            self.bytes_sent,
            stream.attempt.framing,
            shown(&stream.attempt.endpoint.version)
        );
        self.excluded_endpoints.push(stream.attempt.endpoint.id.clone());
        stream.attempt.finish(outcome);
    }

    /// Where the stream must go on. A head without an event binds it to nothing.
    fn bound_to(&self, endpoint: &Endpoint) -> Option<StreamOrigin> {
        let has_begun = self.bytes_sent > 0;
        let here = || StreamOrigin {
            service: self.request.service.clone(),
            version: endpoint.version.clone(),
        };
        self.request.bound_to.clone().or_else(|| has_begun.then(here))
    }

    /// Logs and counts a stream whose endpoint repeats events or goes back.
    fn record_out_of_order(&self, endpoint: &Endpoint, event: OutOfOrder) {
        observe::stream_out_of_order();
        log::warn!(
            "event=stream_out_of_order id={} endpoint={} software={} event_id={} last_event={} client_had={} \
             is_resumable={}",
            self.request.metadata.id,
            endpoint.id,
            shown(&endpoint.version),
            event.id,
            event.last_id,
            self.request.metadata.after.map_or(-1, |id| id as i64),
            self.is_resumable()
        );
    }

    /// Ends an attempt at an endpoint that cannot go on. Returns whether this instance has lost its path
    /// to the endpoints, which says nothing against this one.
    async fn end_attempt(&mut self, endpoint: &Endpoint, why: &Interruption) -> bool {
        if let Interruption::OutOfOrder(event) = why {
            self.record_out_of_order(endpoint, *event);
            self.abandon_attempt(&why.to_string(), Outcome::Bad);
            return false;
        }
        let (shared, pool) = (&self.relay.shared, &self.relay.pool);
        let service = &self.request.service;
        let is_path_lost = shared.is_path_lost(pool, service, endpoint, PathFailure::Broken).await;
        let outcome = if is_path_lost { Outcome::Neutral } else { Outcome::Bad };
        self.abandon_attempt(&why.to_string(), outcome);
        self.relay.check_for_crash(&self.request, endpoint, false).await;
        is_path_lost
    }

    /// Resumes an interrupted stream at another endpoint if the route and the retry budget allow it.
    async fn resume(&mut self, why: Interruption) -> bool {
        let Some(endpoint) = self.stream.as_ref().map(|s| s.attempt.endpoint.clone()) else {
            return false;
        };
        let bound_to = self.bound_to(&endpoint);
        let software_before = endpoint.version.clone();
        let is_resumable = self.is_resumable();
        if self.end_attempt(&endpoint, &why).await {
            // The client resumes it through an instance that reaches endpoints.
            return false;
        }
        self.events.discard_partial();
        let mut unexecuted = 0;
        while is_resumable
            && self.send_count < self.request.route.max_attempts
            && unexecuted < MAX_UNEXECUTED_ATTEMPTS
        {
            let mut history = AttemptHistory {
                excluded_endpoints: self.excluded_endpoints.clone(),
                bound_to: bound_to.clone(),
                ..AttemptHistory::default()
            };
            if !self.relay.acquire_retry(&self.request, "stream_broken", &mut history) {
                return false;
            }
            let slot = self.relay.get_slot(&self.request, &history).await;
            let slot = slot.and_then(|slot| self.relay.check_may_continue(&self.request, slot));
            let Ok(slot) = slot else { return false };
            history.start_retry();
            let endpoint = slot.assignment.endpoint.id.clone();
            let is_last = self.send_count.saturating_add(1) >= self.request.route.max_attempts;
            let (request, last_event_id) = (&self.request, self.events.last_id());
            match self.relay.send_to_endpoint(request, slot, last_event_id, is_last).await {
                Ok(AttemptResponse::Streaming(_, stream)) if stream.has_events => {
                    self.send_count += 1;
                    log::info!(
                        "event=stream_resumed id={} endpoint={endpoint} after={:?} software={} \
                         software_before={}",
                        self.request.metadata.id,
                        self.events.last_id(),
                        shown(&stream.attempt.endpoint.version),
                        shown(&software_before)
                    );
                    self.stream = Some(stream);
                    (self.began_at, self.sent_before) = (clock::now(), self.bytes_sent);
                    return true;
                }
                // A body that does not consist of events cannot continue the stream.
                Ok(_) => self.send_count += 1,
                Err(AttemptError::Quarantined(_)) => return false,
                Err(error) if error.is_unexecuted() => unexecuted += 1,
                Err(_) => self.send_count += 1,
            }
            self.excluded_endpoints.push(endpoint);
        }
        false
    }
}

async fn receive_item(stream: &mut EndpointStream, request: &AdmittedRequest) -> StreamItem {
    if let Some(frame) = stream.first_frame.take() {
        return StreamItem::Data(frame.into_data().unwrap_or_default());
    }
    match future::timeout(time_until(request.deadline), stream.body.frame()).await {
        Err(_) => StreamItem::DeadlineExceeded,
        Ok(None) => StreamItem::End,
        Ok(Some(Ok(frame))) => {
            stream.attempt.record_event();
            StreamItem::Data(frame.into_data().unwrap_or_default())
        }
        Ok(Some(Err(e))) => StreamItem::Interrupted(Interruption::Broken(with_source(&e))),
    }
}
