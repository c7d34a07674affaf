//! One request with all that is known of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use oxbowbend_core::cell::Stall;
use oxbowbend_core::ids::{AccountId, ServiceId};
use oxbowbend_core::routes::{Repeat, Route};
use rand::Rng;

use crate::seam::Ask;

/// Part of the objective after which a refused caller should come back, at least and at most; the
/// spread keeps refused callers from returning as one.
const COME_BACK: (f64, f64) = (0.15, 0.4);

/// One request.
pub(crate) struct Job {
    pub(crate) ask: Ask,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) account: Option<AccountId>,
    pub(crate) units: u64,
    pub(crate) rank: u16,
    pub(crate) stall: Stall,
    pub(crate) arrived: Instant,
    /// When the caller or the route gives the request up.
    pub(crate) limit: Instant,
}

impl Job {
    /// Whether the request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.route.stream {
            true => self.route.resumable,
            false => self.route.repeat == Repeat::Idempotent,
        }
    }

    /// When the caller should come back after a refusal.
    pub(crate) fn come_back(&self) -> Duration {
        self.route.objective.mul_f64(rand::rng().random_range(COME_BACK.0..COME_BACK.1))
    }
}
