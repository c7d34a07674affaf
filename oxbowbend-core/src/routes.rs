//! The operator's configuration: routes, client accounts, services and limits.
//!
//! A [`RoutingTable`] is one immutable version of the configuration, so that a request is handled
//! by a single version even if a new one takes effect meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AccountId, EndpointId, EndpointKey, ServiceId, VersionId, ZoneId};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: String,
    /// Host name of matching requests.
    pub host: String,
    /// Path prefix of matching requests; ends with a slash.
    pub prefix: String,
    /// Target services and their weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// Whether requests are idempotent.
    pub idempotency: Idempotency,
    /// Whether responses are event streams.
    pub stream: bool,
    /// Whether another endpoint may resume an interrupted stream.
    pub resumable: bool,
    /// Maximum number of endpoints to which a request may be sent.
    pub max_attempts: u32,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency objective for the response or its first event.
    pub objective: Duration,
    /// Objective for the time between two events of a stream.
    pub event_gap_objective: Option<Duration>,
    /// Priority; 0 is the highest.
    pub tier: u8,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

/// Limit on the usage of a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub per_s: f64,
    /// Units of a burst.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// Priority, which takes precedence over the route's.
    pub tier: Option<u8>,
    /// Quota, or `None` if usage is unlimited.
    pub quota: Option<Quota>,
    /// Units of a request that does not specify them.
    pub default_units: u64,
    /// Whether units are tokens rather than requests.
    pub counts_tokens: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections from all instances to each endpoint.
    pub max_connections: u32,
    /// Tokens per stream event; 0 if the endpoints are not model engines.
    pub tokens_per_event: u32,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// The registration of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Endpoint {
    /// Id, which may stay the same after a restart.
    pub id: EndpointId,
    /// Service to which it belongs.
    pub service: ServiceId,
    /// Network address.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Start time in milliseconds since the Unix epoch; 0 if unknown. Tells apart the runs of an
    /// endpoint that restarts under the same id without its state.
    #[serde(rename = "born", default)]
    pub started_at_ms: u64,
    /// Software version; empty if unknown.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub version: VersionId,
}

impl Endpoint {
    /// Returns a hash of the endpoint's id and start time.
    ///
    /// ```
    /// # use oxbowbend_core::routes::Endpoint;
    /// # let endpoint = Endpoint {
    /// #     id: "e-1".into(),
    /// #     service: "s".into(),
    /// #     address: ([10, 0, 0, 1], 80).into(),
    /// #     zone: "z".into(),
    /// #     slots: 4,
    /// #     leaving: false,
    /// #     started_at_ms: 1_700_000_000_000,
    /// #     version: "".into(),
    /// # };
    /// let restarted = Endpoint { started_at_ms: endpoint.started_at_ms + 1, ..endpoint.clone() };
    /// assert_ne!(endpoint.key(), restarted.key());
    /// let leaving = Endpoint { leaving: true, ..endpoint.clone() };
    /// assert_eq!(endpoint.key(), leaving.key());
    /// ```
    pub fn key(&self) -> EndpointKey {
        xxh3_64_with_seed(self.id.as_bytes(), self.started_at_ms) as EndpointKey
    }
}

/// One version of the routing configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    version: u64,
    limits: RequestLimits,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    accounts: HashMap<AccountId, Account>,
    accounts_by_key: HashMap<String, AccountId>,
    services: HashMap<ServiceId, Service>,
}

impl RoutingTable {
    /// Creates an empty table. A key given to several accounts belongs to the last one added.
    pub fn new(version: u64, limits: RequestLimits) -> RoutingTable {
        RoutingTable {
            version,
            limits,
            routes_by_host: HashMap::new(),
            accounts: HashMap::new(),
            accounts_by_key: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes_by_host.entry(route.host.to_ascii_lowercase()).or_default();
        routes.push(Arc::new(route));
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }

    /// Adds a client account with its keys.
    pub fn add_account(&mut self, account: Account, keys: impl IntoIterator<Item = String>) {
        for key in keys {
            self.accounts_by_key.insert(key, account.name.clone());
        }
        self.accounts.insert(account.name.clone(), account);
    }

    /// Adds a service.
    pub fn add_service(&mut self, name: ServiceId, service: Service) {
        self.services.insert(name, service);
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns the route with the host and the longest matching path prefix.
    ///
    /// ```
    /// use oxbowbend_core::routes::{RequestLimits, RoutingTable};
    /// use std::time::Duration;
    /// let limits = RequestLimits {
    ///     max_head_bytes: 8192,
    ///     max_body_bytes: 1 << 20,
    ///     head_timeout: Duration::from_secs(3),
    ///     idle_timeout: Duration::from_secs(60),
    /// };
    /// assert!(RoutingTable::new(1, limits).route("example.org", "/a/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the account with an API key.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        self.accounts.get(self.accounts_by_key.get(key)?)
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }

    /// Returns whether any accounts are configured; without them, requests need no API key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the lowest connection limit of any service that has one.
    ///
    /// ```
    /// use oxbowbend_core::routes::{RequestLimits, RoutingTable, Service};
    /// use std::time::Duration;
    /// let limits = RequestLimits {
    ///     max_head_bytes: 8192,
    ///     max_body_bytes: 1 << 20,
    ///     head_timeout: Duration::from_secs(3),
    ///     idle_timeout: Duration::from_secs(60),
    /// };
    /// let mut table = RoutingTable::new(1, limits);
    /// table.add_service("s".into(), Service { max_connections: 96, tokens_per_event: 0 });
    /// assert_eq!(table.min_service_connections(), Some(96));
    /// ```
    pub fn min_service_connections(&self) -> Option<u32> {
        self.services.values().map(|s| s.max_connections).filter(|n| *n > 0).min()
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the longest timeout of the routes to a service.
    pub fn max_timeout(&self, service: &ServiceId) -> Duration {
        let is_target = |route: &&Arc<Route>| route.targets.iter().any(|(name, _)| name == service);
        let routes = self.routes_by_host.values().flatten().filter(is_target);
        routes.map(|route| route.timeout).max().unwrap_or(Duration::ZERO)
    }

    /// Returns the longest timeout of the routes whose streams may be resumed.
    pub fn max_resumable_timeout(&self) -> Duration {
        let routes = self.routes().filter(|route| route.resumable);
        routes.map(|route| route.timeout).max().unwrap_or(Duration::ZERO)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes_by_host.values().flatten().map(Arc::as_ref)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Returns the target services in order.
    pub fn services(&self) -> Vec<ServiceId> {
        self.targets.iter().map(|(service, _)| service.clone()).collect()
    }

    /// Selects a target service by weight; `random` is a uniformly distributed number.
    pub fn pick_target(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut remaining = random % total.max(1);
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        self.targets.first().map(|(service, _)| service)
    }
}
