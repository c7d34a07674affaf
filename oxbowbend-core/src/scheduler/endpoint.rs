//! Scheduling state of an endpoint: offered permits, learned speed and a model of the prefix cache.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::budget;
use crate::cache;
use crate::ids;
use crate::message;
use crate::speed;
use crate::topology;

#[derive(Clone, Debug, Default)]
pub(super) struct OwnerOffer {
    pub(super) free: u32,
    pub(super) last_seq: u64,
    pub(super) in_flight: BTreeSet<u64>,
}

impl OwnerOffer {
    pub(super) fn available(&self) -> u32 {
        let in_flight = self.in_flight.range(self.last_seq + 1..).count() as u32;
        self.free.saturating_sub(in_flight)
    }
}

#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) id: ids::EndpointId,
    pub(super) config: topology::Endpoint,
    pub(super) offers: BTreeMap<ids::InstanceId, OwnerOffer>,
    pub(super) speed: speed::SpeedEstimate,
    pub(super) cache: cache::PrefixCache,
    pub(super) breaker: budget::CircuitBreaker,
    pub(super) running: u32,
    pub(super) reported: u32,
    /// Free permits, updated by [`Scheduler::update_free`](super::Scheduler::update_free).
    pub(super) free: u32,
}

impl EndpointState {
    pub(super) fn new(id: ids::EndpointId, config: topology::Endpoint) -> EndpointState {
        EndpointState {
            id,
            speed: speed::SpeedEstimate::new(config.prefill_rate, config.decode_rate),
            cache: cache::PrefixCache::new(config.cache_tokens),
            config,
            offers: BTreeMap::new(),
            breaker: budget::CircuitBreaker::default(),
            running: 0,
            reported: 0,
            free: 0,
        }
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.config.leaving && self.breaker.allows(now)
    }

    /// Predicted run time in seconds, plus the prefill time weighted by `prefill_bias`.
    pub(super) fn predicted_cost(&self, info: &message::RequestInfo, prefill_bias: f64) -> f64 {
        let cached = self.cache.cached_tokens(&info.prefix).min(info.prompt_tokens);
        let fresh = info.prompt_tokens - cached;
        let seconds = self.speed.predict_seconds(fresh, info.output_tokens);
        seconds + prefill_bias * self.speed.predict_seconds(fresh, 0)
    }

    /// Returns this instance if it has a free permit, which saves a hop, or else the owner with the
    /// most free permits.
    pub(super) fn pick_owner(&self, me: &ids::InstanceId) -> Option<ids::InstanceId> {
        let rank = |(owner, o): &(&ids::InstanceId, &OwnerOffer)| (*owner == me, o.available());
        let free = self.offers.iter().filter(|(_, o)| o.available() > 0);
        free.max_by_key(rank).map(|(owner, _)| owner.clone())
    }
}
