//! Requests of an instance that reaches no endpoint, served by a peer that does.
//!
//! The peer treats such a request like one that arrived there, and its response is passed back as it
//! comes. There is no second hop: a peer that reaches no endpoint either rejects the request, which
//! is then offered to another one. Only instances whose reports arrive at the peer may send any.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::future;
use bytes::Bytes;
use http::header::HeaderValue;
use http::{response, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Limited};
use hyper::body::{Body as _, Frame, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_core::handover::{ChosenPeer, Criteria, MAX_PEERS_TRIED};
use oxbowbend_core::ids::InstanceId;
use oxbowbend_http::h1;

use super::refusal::Refusal;
use super::request::AdmittedRequest;
use super::run::{path_only, AttemptResponse};
use super::stream::StreamInterrupted;
use super::{time_until, AttemptHistory, Body, Origin, Relay};
use crate::observe;
use crate::seam::Wire;
use crate::shared::Shared;

/// Header that names the instance and incarnation that hand a request over; in a response, that the
/// request was not accepted.
pub(super) const HANDOVER: &str = "oxbowbend-handover";
pub(super) const REJECTED: HeaderValue = HeaderValue::from_static("rejected");

/// Longest body that is read before a request is rejected.
const MAX_REJECTED_BODY_BYTES: usize = 4 << 20;

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

/// What came of offering a request to one peer.
enum Offer {
    /// The peer responds.
    Response(Box<PeerResponse>),
    /// The peer has certainly not taken the request on.
    NotAccepted(&'static str),
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
        if request.origin == Origin::Peer {
            return self.is_isolated(request).then(|| history.final_result(Refusal::NoPath));
        }
        let mut excluded = Vec::new();
        while excluded.len() < MAX_PEERS_TRIED {
            let (peer, isolated_for) = self.choose_peer(request, &excluded)?;
            log::info!(
                "event=handed_over id={} peer={} isolated_ms={} report_age_ms={} left_ms={}",
                request.metadata.id,
                peer.instance,
                isolated_for.as_millis(),
                peer.report_age.as_millis(),
                time_until(request.deadline).as_millis()
            );
            history.start_retry();
            let result = match self.offer(request, &peer).await {
                Offer::Response(response) => return Some(self.accept(request, history, response)),
                Offer::NotAccepted(reason) => reason,
                Offer::Unknown(refusal) => {
                    observe::handed_over("unknown");
                    history.possibly_executed += 1;
                    let can_retry = refusal == Refusal::Failed
                        && request.is_retryable()
                        && history.possibly_executed < request.route.max_attempts
                        && self.acquire_retry(request, "handover", history);
                    if !can_retry {
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
        let min_config_version = state.world.table().map_or(0, |table| table.version());
        let criteria =
            Criteria { zone: &state.zone, min_config_version, service: &request.service, excluded };
        let reports = state.cell.all_reports_with_age(now);
        let peer = state.handovers.choose(reports, criteria, &mut rand::rng())?;
        Some((peer, isolated_for))
    }

    /// Offers a request to a peer and waits for the head of its response.
    async fn offer(&self, request: &AdmittedRequest, peer: &ChosenPeer) -> Offer {
        let in_progress = InProgress::start(&self.shared, &peer.instance);
        let exchange = async {
            let mut conn = self.pool.get(peer.address).await?;
            let mut result = conn.send(self.handover_request(request)).await;
            if conn.is_reused() && matches!(&result, Err(e) if e.is_unsent()) {
                conn = self.pool.connect(peer.address).await?;
                result = conn.send(self.handover_request(request)).await;
            }
            result.map(|response| (conn, response))
        };
        let (conn, response) = match future::timeout(time_until(request.deadline), exchange).await {
            Ok(Ok(exchanged)) => exchanged,
            Ok(Err(e)) if e.is_unsent() => return Offer::NotAccepted("unreachable"),
            Ok(Err(_)) => return Offer::Unknown(Refusal::Failed),
            Err(_) => return Offer::Unknown(Refusal::TimedOut),
        };
        let (head, body) = response.into_parts();
        if head.headers.get(HANDOVER) == Some(&REJECTED) {
            return Offer::NotAccepted("rejected");
        }
        let pool = self.pool.clone();
        let body = PeerBody { body, conn: Some(conn), pool, _in_progress: in_progress };
        Offer::Response(Box::new(PeerResponse { head, body }))
    }

    fn handover_request(&self, request: &AdmittedRequest) -> Request<Bytes> {
        let mut req = Request::new(request.body.clone());
        *req.method_mut() = request.method.clone();
        *req.uri_mut() = path_only(&request.uri);
        let left = time_until(request.deadline);
        *req.headers_mut() = self.wire.hand_over(&request.headers, left);
        let sender = self.shared.lock().cell.process_id();
        if let Ok(sender) = HeaderValue::from_str(&sender) {
            req.headers_mut().insert(HANDOVER, sender);
        }
        req
    }

    /// Passes a peer's response on. It counts the request in place of this instance.
    fn accept(
        &self,
        request: &AdmittedRequest,
        history: &AttemptHistory,
        mut response: Box<PeerResponse>,
    ) -> Result<AttemptResponse, Refusal> {
        observe::handed_over("answered");
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

    /// Serves a request that another instance hands over.
    pub(crate) async fn serve_handover(
        self,
        mut req: Request<Incoming>,
    ) -> Response<Body<impl futures::Stream<Item = Result<Frame<Bytes>, StreamInterrupted>>>> {
        let sender = req.headers_mut().remove(HANDOVER);
        let sender = sender.and_then(|value| value.to_str().ok().map(str::to_owned));
        match self.check_handover(sender.as_deref()) {
            Ok(()) => {
                observe::handover_received("accepted");
                self.serve_from(req, Origin::Peer).await
            }
            Err(reason) => {
                // A response before the end of the body could be lost to a reset.
                let _ = Limited::new(req.into_body(), MAX_REJECTED_BODY_BYTES).collect().await;
                observe::handover_received(reason);
                log::warn!("event=handover_rejected from={sender:?} why={reason}");
                rejection(reason).map(Either::Left)
            }
        }
    }

    fn check_handover(&self, sender: Option<&str>) -> Result<(), &'static str> {
        let (now, state) = (clock::now(), self.shared.lock());
        let sender = sender.ok_or("no_sender")?;
        // Most instances of other cells send no reports here, but have entered themselves in the store.
        let instance = sender.rsplit_once('/').map_or(sender, |(instance, _)| instance);
        let is_entered = state.world.instances().contains_key(instance);
        if !is_entered && !state.cell.is_live_process(now, sender) {
            return Err("unknown_sender");
        }
        if state.shutdown.is_some() || !state.world.is_loaded() {
            return Err("not_ready");
        }
        Ok(())
    }
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

fn rejection(reason: &str) -> Response<h1::Whole> {
    let mut response = Response::new(h1::Whole::from(format!("handover rejected: {reason}\n")));
    *response.status_mut() = StatusCode::FORBIDDEN;
    response.headers_mut().insert(HANDOVER, REJECTED);
    response
}
