//! What the configuration says about pools, reduced to what scheduling needs.
//!
//! The daemon derives a [`Topology`] from the declared resources at every configuration change.
//! Keeping this view separate keeps the decisions independent of the resource format.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::ids;
use crate::message;

/// Declared endpoint as a scheduler sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Number of requests that may run there at once.
    pub slots: u32,
    /// Hardware generation, as declared. Nothing is decided by it: speeds are learned.
    pub generation: Arc<str>,
    /// Declared prompt tokens per second, the estimate until runs have been observed.
    pub prefill_rate: f64,
    /// Declared output tokens per second and request.
    pub decode_rate: f64,
    /// Prompt tokens that the endpoint's prefix cache can hold.
    pub cache_tokens: u64,
    /// Whether the endpoint is leaving and must receive no new work.
    pub leaving: bool,
    /// How far its report of its load may lag behind. Permits in doubt wait for that long.
    pub report_lag: Duration,
}

/// One pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Availability zones whose instances may serve the pool.
    pub zones: BTreeSet<ids::ZoneId>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<ids::EndpointId, Endpoint>,
    /// Number of waiting requests above which the pool sheds.
    pub queue_bound: usize,
    /// Time after which a run of unknown fate is taken to have ended.
    pub max_run: Duration,
    /// How much more a second of prefill counts than a second of decoding, 0 for no more, when an
    /// endpoint is chosen. It trades speed for prompts that are not processed again.
    pub prefill_bias: f64,
}

/// Limits of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Running requests allowed at any instant, in all pools together; `None` is unlimited.
    pub max_running: Option<u32>,
}

/// Everything the node needs to know of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Topology {
    /// Pools by id.
    pub pools: BTreeMap<ids::PoolId, Pool>,
    /// Accounts by id; accounts without limits may be left out.
    pub accounts: BTreeMap<ids::AccountId, Account>,
    /// The lowest tier declared.
    pub lowest_tier: ids::TierLevel,
    /// The longest of the pools' times after which a run is taken to have ended.
    pub max_run: Duration,
}

impl Topology {
    /// Returns the pool that an endpoint belongs to.
    ///
    /// ```
    /// assert!(oxbowbend_core::topology::Topology::default().pool_of("e").is_none());
    /// ```
    pub fn pool_of(&self, endpoint: &str) -> Option<&ids::PoolId> {
        self.pools.iter().find(|(_, p)| p.endpoints.contains_key(endpoint)).map(|(id, _)| id)
    }

    /// How far an endpoint's report of its load may lag behind; `None` if it is not declared.
    pub fn report_lag_of(&self, endpoint: &str) -> Option<Duration> {
        let pool = self.pools.get(self.pool_of(endpoint)?)?;
        pool.endpoints.get(endpoint).map(|e| e.report_lag)
    }

    /// Time after which a run of unknown fate that holds a permit is taken to have ended.
    pub fn max_run_of(&self, key: &message::PermitKey) -> Duration {
        let pool = match key {
            message::PermitKey::Endpoint(endpoint) => self.pool_of(endpoint),
            message::PermitKey::Account(_) => None,
        };
        pool.and_then(|id| self.pools.get(id)).map_or(self.max_run, |p| p.max_run)
    }
}
