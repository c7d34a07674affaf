//! Admitted requests.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, Uri};
use oxbowbend_core::cell::{PrefillStall, QueuedRequest};
use oxbowbend_core::fingerprint::Fingerprint;
use oxbowbend_core::ids::{AccountId, ServiceId, StreamKey};
use oxbowbend_core::routes::{Idempotency, Route};
use oxbowbend_core::streams::StreamOrigin;
use oxbowbend_http::h1;
use oxbowbend_http::memory::{Charge, ConnectionHandle};

use super::AttemptHistory;
use crate::seam::Ask;

/// Who sent a request to this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    Client,
    /// An instance that reaches no endpoint.
    Peer,
    /// An instance whose cell has no free slot for the request.
    FullCell,
}

/// A request that passed admission, with everything needed to forward it.
pub(crate) struct AdmittedRequest {
    pub(crate) metadata: Ask,
    pub(crate) origin: Origin,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: h1::HeldBody,
    /// The client's connection, to which an answer is charged.
    pub(crate) handle: Option<Arc<ConnectionHandle>>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) account: Option<AccountId>,
    pub(crate) quota_units: u64,
    /// Version of the configuration that the request was admitted by.
    pub(crate) config_version: u64,
    /// Whether the request counts in its account's quota and the retry budget of this instance.
    pub(crate) is_counted: AtomicBool,
    /// Whether the request was sent anywhere that may execute it, or may have executed it already.
    pub(crate) may_have_run: AtomicBool,
    /// Endpoints that may have executed the request before it was offered to this instance.
    pub(crate) earlier_attempts: u32,
    /// The stream that the request begins or continues, if another endpoint may continue it.
    pub(crate) stream_key: Option<StreamKey>,
    /// Where the stream began that the request continues.
    pub(crate) bound_to: Option<StreamOrigin>,
    pub(crate) rank: u16,
    pub(crate) prefill_stall: PrefillStall,
    /// Estimated time since the client first sent the request, counting attempts that were refused.
    pub(crate) age: Duration,
    pub(crate) arrived_at: Instant,
    /// The client's deadline or the route's timeout, whichever is earlier.
    pub(crate) deadline: Instant,
}

impl AdmittedRequest {
    /// Returns the request as it waits for a slot of `service`.
    pub(super) fn queued(
        &self,
        service: ServiceId,
        objective: Duration,
        history: &AttemptHistory,
    ) -> QueuedRequest {
        QueuedRequest {
            service,
            rank: self.rank,
            prompt_tokens: self.metadata.prompt,
            output_tokens: self.metadata.output.unwrap_or(0),
            stall: self.prefill_stall,
            arrived_at: self.arrived_at,
            objective,
            excluded_endpoints: history.excluded_endpoints.clone(),
            version: history.bound_to.as_ref().map(|origin| origin.version.clone()),
            is_over_share: false,
        }
    }

    /// Charges a response that is to be buffered; `None` if there is no memory for it.
    pub(super) fn reserve_response(&self, bytes: usize) -> Option<Charge> {
        self.handle.as_ref()?.reserve_response(bytes).ok()
    }

    /// Returns whether the request may be executed more than once.
    pub(crate) fn is_retryable(&self) -> bool {
        match self.route.stream {
            true => self.route.resumable,
            false => self.route.idempotency == Idempotency::Idempotent,
        }
    }
}
