//! The receiving side of handovers: which requests of other instances are accepted.

use bytes::Bytes;
use futures::Stream;
use http::{Request, Response, StatusCode};
use http_body_util::Either;
use hyper::body::{Frame, Incoming};
use oxbowbend_clock as clock;
use oxbowbend_http::h1;

use super::admit::DISCARD_TIMEOUT;
use super::handover::{
    HANDOVER, HANDOVER_ATTEMPTS, HANDOVER_CONFIG, HANDOVER_FOR, OVERFLOW, REJECTED,
};
use super::refusal::Refusal;
use super::stream::StreamInterrupted;
use super::{Body, Offered, Origin, Relay};
use crate::observe;
use crate::seam::Wire;

/// Longest body that is read, and thrown away, before a request is rejected.
const MAX_REJECTED_BODY_BYTES: usize = 4 << 20;

impl<W: Wire> Relay<W> {
    /// Serves a request that another instance hands over.
    pub(crate) async fn serve_handover(
        self,
        mut req: Request<Incoming>,
    ) -> Response<Body<impl Stream<Item = Result<Frame<Bytes>, StreamInterrupted>>>> {
        let sender = req.headers_mut().remove(HANDOVER);
        let sender = sender.and_then(|value| value.to_str().ok().map(str::to_owned));
        let config = req.headers_mut().remove(HANDOVER_CONFIG);
        let attempts = req.headers_mut().remove(HANDOVER_ATTEMPTS);
        let offered = Offered {
            config: config.and_then(|value| value.to_str().ok()?.parse().ok()),
            // An instance of an older version of the program does not tell them.
            attempts: attempts.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0),
        };
        let origin = match req.headers_mut().remove(HANDOVER_FOR) == Some(OVERFLOW) {
            true => Origin::FullCell,
            false => Origin::Peer,
        };
        match self.check_handover(sender.as_deref()) {
            Ok(()) => {
                // An overflow is accepted once its service is known.
                if origin == Origin::Peer {
                    observe::handover_received("accepted");
                }
                self.serve_from(req, origin, offered).await
            }
            Err(reason) => {
                // A response before the end of the body could be lost to a reset.
                let handle = req.extensions_mut().remove();
                let (body, limit) = (req.body_mut(), MAX_REJECTED_BODY_BYTES);
                h1::discard(body, handle.as_ref(), limit, DISCARD_TIMEOUT).await;
                match origin {
                    Origin::FullCell => observe::overflow_received(reason),
                    _ => observe::handover_received(reason),
                }
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

impl Origin {
    /// Returns the response to a request that this instance refuses: a rejection if the sender can
    /// still have it served elsewhere.
    pub(super) fn respond_to_refused(self, refusal: Refusal) -> Response<h1::Whole> {
        let is_rejected = match refusal {
            Refusal::NoPath
            | Refusal::Stopping
            | Refusal::OtherConfiguration
            | Refusal::OverMemory { .. } => self != Origin::Client,
            // The sender may know a newer configuration.
            Refusal::NoFreeSlot
            | Refusal::NotReady { .. }
            | Refusal::NoRoute
            | Refusal::UnknownAccount => self == Origin::FullCell,
            _ => false,
        };
        let is_full = refusal == Refusal::NoFreeSlot;
        let mut response = refusal.into_response();
        if is_rejected {
            response.headers_mut().insert(HANDOVER, REJECTED);
        }
        if is_full {
            response.headers_mut().insert(HANDOVER_FOR, OVERFLOW);
        }
        response
    }
}

fn rejection(reason: &str) -> Response<h1::Whole> {
    let mut response = Response::new(h1::Whole::from(format!("handover rejected: {reason}\n")));
    *response.status_mut() = StatusCode::FORBIDDEN;
    response.headers_mut().insert(HANDOVER, REJECTED);
    response
}
