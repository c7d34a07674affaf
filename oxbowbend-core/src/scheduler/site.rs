//! An endpoint as a scheduler sees it: what owners offer, what was learned, what is cached.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::budget;
use crate::cache;
use crate::ids;
use crate::message;
use crate::speed;
use crate::topology;

#[derive(Clone, Debug, Default)]
pub(super) struct Offered {
    pub(super) free: u32,
    pub(super) asks_seen: u64,
    pub(super) pending: BTreeSet<u64>,
}

impl Offered {
    pub(super) fn available(&self) -> u32 {
        let in_flight = self.pending.range(self.asks_seen + 1..).count() as u32;
        self.free.saturating_sub(in_flight)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Site {
    pub(super) id: ids::EndpointId,
    pub(super) endpoint: topology::Endpoint,
    pub(super) offers: BTreeMap<ids::InstanceId, Offered>,
    pub(super) speed: speed::SpeedEstimate,
    pub(super) cache: cache::PrefixCache,
    pub(super) breaker: budget::CircuitBreaker,
    pub(super) running: u32,
    pub(super) reported: u32,
    /// Free permits, kept up to date by [`Scheduler::recount`].
    pub(super) free: u32,
}

impl Site {
    pub(super) fn new(id: ids::EndpointId, endpoint: topology::Endpoint) -> Site {
        Site {
            id,
            speed: speed::SpeedEstimate::new(endpoint.prefill_rate, endpoint.decode_rate),
            cache: cache::PrefixCache::new(endpoint.cache_tokens),
            endpoint,
            offers: BTreeMap::new(),
            breaker: budget::CircuitBreaker::default(),
            running: 0,
            reported: 0,
            free: 0,
        }
    }

    pub(super) fn usable(&self, now: Instant) -> bool {
        !self.endpoint.leaving && self.breaker.allows(now)
    }

    /// Predicted seconds, with prefill weighed as the pool's settings say.
    pub(super) fn cost(&self, record: &message::Record, prefill_bias: f64) -> f64 {
        let cached = self.cache.cached_tokens(&record.prefix).min(record.prompt_tokens);
        let fresh = record.prompt_tokens - cached;
        let seconds = self.speed.predict_seconds(fresh, record.output_tokens);
        seconds + prefill_bias * self.speed.predict_seconds(fresh, 0)
    }

    /// This instance if it has a permit free, which saves a hop, or else the owner with the most.
    pub(super) fn best_owner(&self, me: &ids::InstanceId) -> Option<ids::InstanceId> {
        let rank = |(owner, o): &(&ids::InstanceId, &Offered)| (*owner == me, o.available());
        let free = self.offers.iter().filter(|(_, o)| o.available() > 0);
        free.max_by_key(rank).map(|(owner, _)| owner.clone())
    }
}
