//! Requests that a peer serves for an instance: one that reaches no endpoint, or one whose cell has no
//! free slot (see [`super::overflow`]).
//!
//! The peer treats such a request like one that arrived there, and its response is passed back as it
//! comes. There is no second hop: a peer that reaches no endpoint either rejects the request, which
//! is then offered to another one, and so does a peer without a free slot. Only instances whose reports arrive at the peer may send any.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::{future, task};
use bytes::Bytes;
use http::header::HeaderValue;
use http::{response, Request, StatusCode};
use hyper::body::{Body as _, Frame, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_core::handover::{ChosenPeer, Criteria, MAX_PEERS_TRIED};
use oxbowbend_core::ids::InstanceId;
use oxbowbend_core::overflow::CONNECT_TIMEOUT;
use oxbowbend_http::h1;

use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::run::{is_final, path_only, AttemptResponse};
use super::stream::StreamInterrupted;
use super::{time_until, AttemptHistory, Origin, Relay};
use crate::observe;
use crate::seam::Wire;
use crate::shared::Shared;

/// Header that names the instance and incarnation that hand a request over; in a response, that the
/// request was not accepted.
pub(super) const HANDOVER: &str = "oxbowbend-handover";
pub(super) const REJECTED: HeaderValue = HeaderValue::from_static("rejected");
/// Header that tells that a request is handed over for lack of a free slot; in a rejection, that there
/// is none here either.
pub(super) const HANDOVER_FOR: &str = "oxbowbend-handover-for";
pub(super) const OVERFLOW: HeaderValue = HeaderValue::from_static("overflow");
/// Header that tells the version of the configuration by which the sender has admitted the request.
pub(super) const HANDOVER_CONFIG: &str = "oxbowbend-handover-config";
/// Header that tells how many endpoints may have executed the request before.
pub(super) const HANDOVER_ATTEMPTS: &str = "oxbowbend-handover-attempts";
/// Time for which the connection of a rejection may take to end its body, to be used again.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes of such a body.
const MAX_REJECTION_BODY: usize = 16 * 1024;

/// A response that a peer is sending.
pub(crate) struct PeerResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: PeerBody,
}

/// The body of a response from a peer. Dropping it closes the connection, which cancels the request.
pub(crate) struct PeerBody {
    body: Incoming,
    conn: Option<h1::Conn>,
    pool: h1::Pool,
    _in_progress: InProgress,
}

/// A request that a peer is serving.
struct InProgress {
    shared: Shared,
    peer: InstanceId,
}

impl InProgress {
    fn start(shared: &Shared, peer: &InstanceId) -> InProgress {
        shared.lock().handovers.start(peer);
        InProgress { shared: shared.clone(), peer: peer.clone() }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.shared.lock().handovers.finish(&self.peer);
    }
}

impl futures::Stream for PeerBody {
    type Item = Result<Frame<Bytes>, StreamInterrupted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = futures::ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            if let Some(conn) = self.conn.take() {
                self.pool.put(conn);
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|_| StreamInterrupted)))
    }
}

/// Why a request is offered to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Purpose {
    /// This instance reaches no endpoint.
    Isolation,
    /// This cell has no free slot for it.
    Overflow,
}

/// Why a peer has certainly not taken a request on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotAccepted {
    /// There was no connection to it.
    Unreachable,
    /// Its cell has no free slot for the request.
    Full,
    /// It serves no requests of others, or none of this kind.
    Rejected,
}

impl NotAccepted {
    /// Returns the name used in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            NotAccepted::Unreachable => "unreachable",
            NotAccepted::Full => "full",
            NotAccepted::Rejected => "rejected",
        }
    }
}

/// What came of offering a request to one peer.
pub(super) enum Offer {
    /// The peer responds.
    Response(Box<PeerResponse>),
    /// The peer has certainly not taken the request on.
    NotAccepted(NotAccepted),
    /// The connection failed after the request was sent, or the deadline passed.
    Unknown(Refusal),
}

impl<W: Wire> Relay<W> {
    /// Hands a request over to a peer if this instance reaches no endpoint. Returns `None` if it
    /// does, or if no peer accepts the request.
    pub(super) async fn hand_over(
        &self,
        request: &AdmittedRequest,
        history: &mut AttemptHistory,
    ) -> Option<Result<AttemptResponse, Refusal>> {
        let is_repeatable = request.is_retryable();
        if self.shared.lock().path(&request.service).start_trial(clock::now(), is_repeatable) {
            return None;
        }
        if request.origin != Origin::Client {
            return self.is_isolated(request).then(|| history.final_result(Refusal::NoPath));
        }
        let mut excluded = Vec::new();
        while excluded.len() < MAX_PEERS_TRIED {
            let (peer, isolated_for) = self.choose_peer(request, &excluded)?;
            if let Err(refusal) = self.check_time_for_peer(request) {
                return Some(history.final_result(refusal));
            }
            log::info!(
                "event=handed_over id={} peer={} isolated_ms={} report_age_ms={} left_ms={}",
                request.metadata.id,
                peer.instance,
                isolated_for.as_millis(),
                peer.report_age.as_millis(),
                time_until(request.deadline).as_millis()
            );
            history.start_retry();
            let result = match self.offer(request, history, &peer, Purpose::Isolation).await {
                Offer::Response(response) => {
                    observe::handed_over("answered");
                    return Some(self.accept(request, history, response));
                }
                Offer::NotAccepted(reason) => {
                    history.note_unexecuted(request);
                    reason.name()
                }
                Offer::Unknown(refusal) => {
                    observe::handed_over("unknown");
                    if !self.can_retry_unknown(request, history, &refusal) {
                        return Some(history.final_result(refusal));
                    }
                    "broken"
                }
            };
            observe::handed_over(result);
            log::warn!(
                "event=handover_failed id={} peer={} why={result}",
                request.metadata.id,
                peer.instance
            );
            excluded.push(peer.instance);
        }
        None
    }

    /// Records that a peer may have executed a request, and returns whether to retry it. Takes the
    /// retry from the retry budget if so.
    pub(super) fn can_retry_unknown(
        &self,
        request: &AdmittedRequest,
        history: &mut AttemptHistory,
        refusal: &Refusal,
    ) -> bool {
        history.possibly_executed += 1;
        *refusal == Refusal::Failed
            && request.is_retryable()
            && history.may_attempt(request)
            && self.acquire_retry(request, "handover", history)
    }

    fn is_isolated(&self, request: &AdmittedRequest) -> bool {
        self.shared.lock().isolated_for(clock::now(), &request.service).is_some()
    }

    fn choose_peer(
        &self,
        request: &AdmittedRequest,
        excluded: &[InstanceId],
    ) -> Option<(ChosenPeer, Duration)> {
        let (now, state) = (clock::now(), self.shared.lock());
        let isolated_for = state.isolated_for(now, &request.service)?;
        let criteria = Criteria {
            zone: &state.zone,
            config_version: request.config_version,
            service: &request.service,
            excluded,
        };
        let reports = state.cell.all_reports_with_age(now);
        let peer = state.handovers.choose(reports, criteria, &mut rand::rng())?;
        Some((peer, isolated_for))
    }

    /// Offers a request to a peer and waits for the head of its response.
    pub(super) async fn offer(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
        peer: &ChosenPeer,
        purpose: Purpose,
    ) -> Offer {
        let attempts = history.possibly_executed;
        let in_progress = InProgress::start(&self.shared, &peer.instance);
        let exchange = async {
            let mut conn = connected(purpose, peer, self.pool.get(peer.address)).await?;
            request.may_have_run.store(true, Ordering::SeqCst);
            let mut result =
                conn.send_held(self.handover_request(request, attempts, purpose)).await;
            if conn.is_reused() && matches!(&result, Err(e) if e.is_unsent()) {
                conn = connected(purpose, peer, self.pool.connect(peer.address)).await?;
                result = conn.send_held(self.handover_request(request, attempts, purpose)).await;
            }
            result.map(|response| (conn, response))
        };
        let (conn, response) = match future::timeout(time_until(request.deadline), exchange).await {
            Ok(Ok(exchanged)) => exchanged,
            Ok(Err(e)) if e.is_unsent() => return Offer::NotAccepted(NotAccepted::Unreachable),
            Ok(Err(_)) => return Offer::Unknown(Refusal::Failed),
            Err(_) => return Offer::Unknown(Refusal::TimedOut),
        };
        let (head, body) = response.into_parts();
        if head.headers.get(HANDOVER) == Some(&REJECTED) {
            self.keep_after_rejection(conn, body);
            let is_full = head.headers.get(HANDOVER_FOR) == Some(&OVERFLOW);
            let reason = if is_full { NotAccepted::Full } else { NotAccepted::Rejected };
            return Offer::NotAccepted(reason);
        }
        // Instances frame all their responses.
        let framing = h1::Framing::of(&request.method, head.status, &head.headers);
        if !is_final(head.status) || framing == h1::Framing::UntilClose {
            return Offer::Unknown(Refusal::Failed);
        }
        let pool = self.pool.clone();
        let body = PeerBody { body, conn: Some(conn), pool, _in_progress: in_progress };
        Offer::Response(Box::new(PeerResponse { head, body }))
    }

    /// Keeps a connection for the next offer once the body of a rejection has ended.
    fn keep_after_rejection(&self, conn: h1::Conn, mut body: Incoming) {
        let pool = self.pool.clone();
        task::spawn(async move {
            let end =
                future::timeout(REJECTION_BODY_TIMEOUT, h1::collect(&mut body, MAX_REJECTION_BODY));
            if matches!(end.await, Ok(Ok(h1::Collected::Whole(_)))) {
                pool.put(conn);
            }
        });
    }

    fn handover_request(
        &self,
        request: &AdmittedRequest,
        attempts: u32,
        purpose: Purpose,
    ) -> Request<h1::HeldBody> {
        let mut req = Request::new(request.body.clone());
        *req.method_mut() = request.method.clone();
        *req.uri_mut() = path_only(&request.uri);
        let left = time_until(request.deadline);
        *req.headers_mut() = self.wire.hand_over(&request.headers, left);
        let sender = self.shared.lock().cell.process_id();
        if let Ok(sender) = HeaderValue::from_str(&sender) {
            req.headers_mut().insert(HANDOVER, sender);
        }
        req.headers_mut().insert(HANDOVER_CONFIG, HeaderValue::from(request.config_version));
        req.headers_mut().insert(HANDOVER_ATTEMPTS, HeaderValue::from(attempts));
        match purpose {
            Purpose::Isolation => req.headers_mut().remove(HANDOVER_FOR),
            Purpose::Overflow => req.headers_mut().insert(HANDOVER_FOR, OVERFLOW),
        };
        req
    }

    /// Passes a peer's response on. It counts the request in place of this instance.
    pub(super) fn accept(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
        mut response: Box<PeerResponse>,
    ) -> Result<AttemptResponse, Refusal> {
        observe::answered(&request.route.name, "handed_over", clock::since(request.arrived_at));
        let status = response.head.status;
        log::info!(
            "event=handover_answered id={} status={} total_ms={}",
            request.metadata.id,
            status.as_u16(),
            clock::since(request.arrived_at).as_millis()
        );
        if request.is_counted.load(Ordering::SeqCst) {
            self.refund_quota(request);
            self.shared.lock().repeats.forget_request(&request.service);
        }
        // The peer speaks for its own attempts only.
        if history.possibly_executed > 0 && claims_not_executed(status) {
            return Err(Refusal::Failed);
        }
        self.wire.back(&mut response.head.headers);
        Ok(AttemptResponse::FromPeer(response))
    }
}

/// Waits for a connection, for as long as the purpose allows beside the limit of the pool.
async fn connected(
    purpose: Purpose,
    peer: &ChosenPeer,
    connecting: impl Future<Output = Result<h1::Conn, h1::CallError>>,
) -> Result<h1::Conn, h1::CallError> {
    if purpose == Purpose::Isolation {
        return connecting.await;
    }
    let timed_out = || h1::CallError::Connect {
        address: peer.address,
        error: std::io::ErrorKind::TimedOut.into(),
    };
    future::timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| timed_out())?
}

fn claims_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
