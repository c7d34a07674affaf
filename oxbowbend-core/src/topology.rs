//! The scheduler's view of the configuration of pools.
//!
//! The daemon derives a [`Topology`] from the declared resources at every configuration change.
//! This keeps the scheduler independent of the resource format.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::ids;
use crate::message;

/// A declared endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Number of requests that may run concurrently.
    pub slots: u32,
    /// Declared hardware generation. Informational only; speeds are measured.
    pub generation: Arc<str>,
    /// Declared prompt tokens per second; the estimate until requests have been observed.
    pub prefill_rate: f64,
    /// Declared output tokens per second and request.
    pub decode_rate: f64,
    /// Capacity of the endpoint's prefix cache in prompt tokens.
    pub cache_tokens: u64,
    /// Whether the endpoint is draining and must receive no new requests.
    pub leaving: bool,
    /// Maximum delay of the endpoint's load reports. A permit of unknown state is held back for
    /// this time.
    pub report_lag: Duration,
}

/// A pool of endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Availability zones whose instances may serve the pool.
    pub zones: BTreeSet<ids::ZoneId>,
    /// Endpoints by id.
    pub endpoints: BTreeMap<ids::EndpointId, Endpoint>,
    /// Number of waiting requests above which the pool sheds load.
    pub queue_bound: usize,
    /// Time after which a request of unknown state is considered ended.
    pub max_run: Duration,
    /// Additional weight of a second of prefill over a second of decoding in the choice of an
    /// endpoint; 0 for none. Higher values favour prefix cache hits over speed.
    pub prefill_bias: f64,
}

/// Limits of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Maximum number of requests running at a time in all pools together; `None` is unlimited.
    pub max_running: Option<u32>,
}

/// The part of the configuration that a node needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    /// Pools by id.
    pub pools: BTreeMap<ids::PoolId, Pool>,
    /// Accounts by id. Accounts without limits may be omitted.
    pub accounts: BTreeMap<ids::AccountId, Account>,
    /// The lowest declared tier.
    pub lowest_tier: ids::TierLevel,
    /// The longest `max_run` of all pools.
    pub max_run: Duration,
}

impl Topology {
    /// Returns the pool that contains an endpoint.
    ///
    /// ```
    /// assert!(oxbowbend_core::topology::Topology::default().pool_of("e").is_none());
    /// ```
    pub fn pool_of(&self, endpoint: &str) -> Option<&ids::PoolId> {
        self.pools.iter().find(|(_, p)| p.endpoints.contains_key(endpoint)).map(|(id, _)| id)
    }

    /// Maximum delay of an endpoint's load reports; `None` if it is not declared.
    pub fn report_lag_of(&self, endpoint: &str) -> Option<Duration> {
        let pool = self.pools.get(self.pool_of(endpoint)?)?;
        pool.endpoints.get(endpoint).map(|e| e.report_lag)
    }

    /// Time after which a request of unknown state that holds this permit is considered ended.
    pub fn max_run_of(&self, key: &message::PermitKey) -> Duration {
        let pool = match key {
            message::PermitKey::Endpoint(endpoint) => self.pool_of(endpoint),
            message::PermitKey::Account(_) => None,
        };
        pool.and_then(|id| self.pools.get(id)).map_or(self.max_run, |p| p.max_run)
    }
}
