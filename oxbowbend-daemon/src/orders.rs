//! Orders to engines: which adapters to load.
//!
//! One instance at a time gives orders to an endpoint: the one that holds a leased key for it in
//! the key-value service. The key's version is the fencing number of its orders. An endpoint that
//! checks the number is safe whatever happens. For one that does not, a new holder waits until
//! every order of the former one must have ended, and a holder gives no order that might outlast
//! its lease. What is left there: an order that the network delays for longer than that.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::Receiver;
use oxbowbend_clock as clock;
use oxbowbend_core::ids;
use oxbowbend_core::membership;
use oxbowbend_endpoint::control;
use oxbowbend_http::client;
use oxbowbend_resource::kinds;
use oxbowbend_store::kv::{self, KeyValue};

use crate::config;
use crate::hub;

/// Time between two looks at what is to be done.
pub(crate) const LOOK: Duration = Duration::from_millis(500);
/// Time for which a holder may give orders without renewing its lease.
const LEASE: Duration = Duration::from_secs(6);
/// Time between two renewals.
const RENEW: Duration = Duration::from_secs(2);
/// Time limit of an order.
const LONGEST_ORDER: Duration = Duration::from_secs(3);

/// An endpoint that is to have adapters.
#[derive(Clone, Debug)]
struct Wanted {
    address: SocketAddr,
    checks_fencing: bool,
    adapters: BTreeSet<kinds::Adapter>,
}

/// This instance's right to give orders to one endpoint.
#[derive(Debug)]
struct Holding {
    lease: kv::LeaseId,
    fencing: u64,
    /// When the last renewal that succeeded was asked for: the lease lasts at least from there.
    renewed: Instant,
    /// From when on orders may be given.
    from: Instant,
    loaded: BTreeSet<kinds::Adapter>,
}

impl Holding {
    /// Whether an order begun now must end before the lease does.
    fn may_order(&self, now: Instant) -> bool {
        now >= self.from && now + LONGEST_ORDER < self.renewed + LEASE
    }
}

struct Orders<K> {
    hub: Arc<hub::Hub>,
    config: Arc<config::Config>,
    kv: K,
    client: client::Client,
    holdings: BTreeMap<ids::EndpointId, Holding>,
}

/// Gives orders for as long as the daemon runs.
pub(crate) async fn run<K: KeyValue>(
    hub: Arc<hub::Hub>,
    config: Arc<config::Config>,
    kv: K,
    ticks: Receiver<Instant>,
) {
    let (client, holdings) = (client::Client::new(), BTreeMap::new());
    let mut orders = Orders { hub, config, kv, client, holdings };
    while ticks.recv().await.is_ok() {
        orders.look().await;
    }
}

impl<K: KeyValue> Orders<K> {
    async fn look(&mut self) {
        let wanted = self.wanted();
        self.holdings.retain(|endpoint, _| wanted.contains_key(endpoint));
        for (endpoint, wanted) in wanted {
            match self.keep(&endpoint, &wanted).await {
                Ok(true) => self.order(&endpoint, &wanted).await,
                Ok(false) => {}
                Err(e) => log::debug!("order: Cannot keep the right to order {endpoint}: {e}."),
            }
        }
    }

    /// Endpoints with adapters for which this instance is the one to give orders.
    fn wanted(&self) -> BTreeMap<ids::EndpointId, Wanted> {
        let Some(current) = self.config.current() else { return BTreeMap::new() };
        let members: Vec<_> = {
            let node = self.hub.node();
            let everywhere = BTreeSet::new();
            node.members().owners(&everywhere).cloned().collect()
        };
        let mine = |name: &str| {
            membership::pick(members.iter().map(|m| &**m), &format!("order/{name}"))
                == Some(self.hub.me())
        };
        let endpoints = current.manifest.set().of(kinds::Kind::Endpoint);
        let with_adapters = endpoints.filter_map(|r| match &r.spec {
            kinds::Spec::Endpoint(e) if !e.adapters.is_empty() && mine(&r.name) => {
                let wanted = Wanted {
                    address: e.address.parse().ok()?,
                    checks_fencing: e.checks_fencing,
                    adapters: e.adapters.iter().cloned().collect(),
                };
                Some((r.name.as_str().into(), wanted))
            }
            _ => None,
        });
        with_adapters.collect()
    }

    /// Renews or acquires the right to give orders; says whether it is held.
    async fn keep(
        &mut self,
        endpoint: &ids::EndpointId,
        wanted: &Wanted,
    ) -> Result<bool, kv::KvError> {
        let now = clock::now();
        let Some(holding) = self.holdings.get_mut(endpoint) else {
            return self.acquire(endpoint, wanted, now).await;
        };
        if now < holding.renewed + RENEW {
            return Ok(true);
        }
        match self.kv.renew_lease(holding.lease).await {
            Ok(true) => {
                holding.renewed = now;
                Ok(true)
            }
            Ok(false) => {
                self.holdings.remove(endpoint);
                Ok(false)
            }
            // What is held lasts as long as the last renewal, and no longer.
            Err(e) if now < holding.renewed + LEASE => {
                log::debug!("order: Cannot renew: {e}.");
                Ok(true)
            }
            Err(e) => {
                self.holdings.remove(endpoint);
                Err(e)
            }
        }
    }

    async fn acquire(
        &mut self,
        endpoint: &ids::EndpointId,
        wanted: &Wanted,
        now: Instant,
    ) -> Result<bool, kv::KvError> {
        let key = format!("oxbowbend/order/{endpoint}");
        if self.kv.get(&key).await?.is_some() {
            return Ok(false);
        }
        let lease = self.kv.grant_lease(LEASE).await?;
        let holder = self.hub.me().as_bytes().to_vec();
        let kv::Swap::Written(fencing) = self.kv.swap(&key, 0, holder, Some(lease)).await? else {
            return Ok(false);
        };
        let wait = if wanted.checks_fencing { Duration::ZERO } else { LONGEST_ORDER };
        let loaded = BTreeSet::new();
        let holding = Holding { lease, fencing, renewed: now, from: clock::now() + wait, loaded };
        log::info!("order: This instance gives orders to {endpoint} under number {fencing}.");
        self.holdings.insert(endpoint.clone(), holding);
        Ok(true)
    }

    /// Orders what is missing, and the unloading of what is no longer wanted.
    async fn order(&mut self, endpoint: &ids::EndpointId, wanted: &Wanted) {
        let Some(holding) = self.holdings.get_mut(endpoint) else { return };
        let load = wanted.adapters.difference(&holding.loaded).cloned();
        let unload = holding.loaded.difference(&wanted.adapters).cloned();
        let steps: Vec<(kinds::Adapter, bool)> =
            unload.map(|a| (a, false)).chain(load.map(|a| (a, true))).collect();
        for (adapter, loading) in steps {
            if !holding.may_order(clock::now()) {
                return;
            }
            let order = order_for(&adapter, loading);
            let limits = client::Limits::all(LONGEST_ORDER / 3);
            let given =
                control::order(&self.client, wanted.address, &order, holding.fencing, limits).await;
            match given {
                Ok(()) if loading => {
                    holding.loaded.insert(adapter);
                }
                Ok(()) => {
                    holding.loaded.remove(&adapter);
                }
                Err(e) => return log::warn!("order: {endpoint} did not take an order: {e}."),
            }
        }
    }
}

fn order_for(adapter: &kinds::Adapter, loading: bool) -> control::Order {
    let lora_name = adapter.name.clone();
    if loading {
        control::Order::Load { lora_name, lora_path: adapter.path.clone() }
    } else {
        control::Order::Unload { lora_name }
    }
}
