//! The view of the resources that scheduling needs.

use std::collections::BTreeMap;
use std::time::Duration;

use oxbowbend_core::ids;
use oxbowbend_core::topology;

use crate::kinds;
use crate::set;

/// Waiting requests of a pool, where nothing is declared.
const DEFAULT_QUEUE_BOUND: u32 = 1000;
/// Longest run of a model, where nothing is declared.
const DEFAULT_MAX_RUN: Duration = Duration::from_secs(600);
/// Longest call of a plain service, where nothing is declared. It is shorter, since a plain
/// service cannot be asked whether a call is over.
const DEFAULT_MAX_CALL: Duration = Duration::from_secs(30);
/// Weight of prefill, where nothing is declared.
const DEFAULT_PREFILL_BIAS: f64 = 0.0;
/// Prompt tokens per second assumed of an endpoint that declares none.
const DEFAULT_PREFILL_RATE: f64 = 4000.0;
/// Output tokens per second and request assumed of an endpoint that declares none.
const DEFAULT_DECODE_RATE: f64 = 40.0;
/// Prompt tokens assumed to fit the prefix cache of an endpoint that declares none.
const DEFAULT_CACHE_TOKENS: u64 = 65_536;
/// Lag assumed of an endpoint's report of its load.
const DEFAULT_REPORT_LAG: Duration = Duration::from_secs(5);

/// Name of the pool of a model inside a place.
///
/// ```
/// assert_eq!(&*oxbowbend_resource::derive::model_pool("ankara", "minutes"), "ankara/minutes");
/// ```
pub fn model_pool(place: &str, model: &str) -> ids::PoolId {
    format!("{place}/{model}").into()
}

/// Name of the pool of a plain service inside a place. A service may bear a model's name.
pub fn service_pool(place: &str, service: &str) -> ids::PoolId {
    format!("{place}/services/{service}").into()
}

/// Reduces a checked set of resources to what scheduling needs.
///
/// ```
/// use oxbowbend_resource::{derive, set};
/// assert!(derive::topology(&set::ResourceSet::default()).pools.is_empty());
/// ```
pub fn topology(set: &set::ResourceSet) -> topology::Topology {
    let mut topology = topology::Topology::default();
    for resource in set.of(kinds::Kind::Endpoint) {
        let kinds::Spec::Endpoint(spec) = &resource.spec else { continue };
        let Some((id, mut pool)) = pool_of(spec, set) else { continue };
        let pool = topology.pools.entry(id).or_insert_with(|| std::mem::take(&mut pool));
        pool.endpoints.insert(resource.name.as_str().into(), endpoint(spec));
    }
    topology.accounts = accounts(set);
    topology.lowest_tier = lowest_tier(set);
    let longest = topology.pools.values().map(|p| p.max_run).max();
    topology.max_run = longest.unwrap_or(DEFAULT_MAX_RUN);
    topology
}

fn pool_of(
    spec: &kinds::Endpoint,
    set: &set::ResourceSet,
) -> Option<(ids::PoolId, topology::Pool)> {
    let kinds::Spec::Place(place) = &set.get(kinds::Kind::Place, &spec.place)?.spec else {
        return None;
    };
    let zones = place.zones.iter().map(|z| z.as_str().into()).collect();
    let pool = |queue_bound: Option<u32>, max_run: Option<u32>, default: Duration| topology::Pool {
        zones,
        queue_bound: queue_bound.unwrap_or(DEFAULT_QUEUE_BOUND) as usize,
        max_run: max_run.map_or(default, seconds),
        ..topology::Pool::default()
    };
    if let Some(model) = &spec.model {
        let kinds::Spec::Model(m) = &set.get(kinds::Kind::Model, model)?.spec else { return None };
        let pool = pool(m.queue_bound, m.max_run_seconds, DEFAULT_MAX_RUN);
        let prefill_bias = m.prefill_bias.unwrap_or(DEFAULT_PREFILL_BIAS);
        return Some((model_pool(&spec.place, model), topology::Pool { prefill_bias, ..pool }));
    }
    let service = spec.service.as_ref()?;
    let kinds::Spec::Service(s) = &set.get(kinds::Kind::Service, service)?.spec else {
        return None;
    };
    let pool = pool(s.queue_bound, s.max_run_seconds, DEFAULT_MAX_CALL);
    Some((service_pool(&spec.place, service), pool))
}

fn endpoint(spec: &kinds::Endpoint) -> topology::Endpoint {
    topology::Endpoint {
        slots: spec.slots,
        generation: spec.generation.as_deref().unwrap_or("unknown").into(),
        prefill_rate: spec.prefill_rate.unwrap_or(DEFAULT_PREFILL_RATE),
        decode_rate: spec.decode_rate.unwrap_or(DEFAULT_DECODE_RATE),
        cache_tokens: spec.cache_tokens.unwrap_or(DEFAULT_CACHE_TOKENS),
        leaving: spec.leaving,
        report_lag: spec.report_lag_seconds.map_or(DEFAULT_REPORT_LAG, seconds),
    }
}

fn accounts(set: &set::ResourceSet) -> BTreeMap<oxbowbend_core::ids::AccountId, topology::Account> {
    let limited = set.of(kinds::Kind::ClientAccount).filter_map(|r| match &r.spec {
        kinds::Spec::ClientAccount(a) => Some((r.name.as_str().into(), a.max_running?)),
        _ => None,
    });
    limited.map(|(id, limit)| (id, topology::Account { max_running: Some(limit) })).collect()
}

fn lowest_tier(set: &set::ResourceSet) -> u8 {
    let levels = set.of(kinds::Kind::Tier).filter_map(|r| match &r.spec {
        kinds::Spec::Tier(t) => t.level,
        _ => None,
    });
    levels.max().unwrap_or(0)
}

fn seconds(n: u32) -> Duration {
    Duration::from_secs(n.into())
}
