//! One request with all that is known of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use oxbowbend_core::cell::Stall;
use oxbowbend_core::fingerprint::Fingerprint;
use oxbowbend_core::ids::{AccountId, ServiceId};
use oxbowbend_core::routes::{Idempotency, Route};

use crate::seam::Ask;

/// One request.
pub(crate) struct Job {
    pub(crate) ask: Ask,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) account: Option<AccountId>,
    pub(crate) units: u64,
    pub(crate) rank: u16,
    pub(crate) stall: Stall,
    /// Time since the caller's first try.
    pub(crate) age: Duration,
    pub(crate) arrived: Instant,
    /// When the caller or the route gives the request up.
    pub(crate) limit: Instant,
}

impl Job {
    /// Whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.route.stream {
            true => self.route.resumable,
            false => self.route.idempotency == Idempotency::Idempotent,
        }
    }
}
