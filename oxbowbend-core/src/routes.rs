//! What the operator has declared for plain routing: routes, client accounts, services, limits.
//!
//! A [`RoutingTable`] is one version of it, whole and immutable. A table is never changed in place, so
//! that a request is handled by one version from its arrival to its end, whatever comes in force
//! meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AccountId, EndpointId, EndpointKey, ServiceId, VersionId, ZoneId};

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that a request must name.
    pub host: String,
    /// Beginning of the path that a request must have; ends with a slash.
    pub prefix: String,
    /// Services with their weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether a broken stream may be continued by another endpoint.
    pub resumable: bool,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time within which the answer, or its first event, should be there.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is still in time.
    pub event_gap_objective: Option<Duration>,
    /// Rank; 0 goes first.
    pub tier: u8,
    /// Whether requests need no key.
    pub public: bool,
}

/// Bound on what a client account may have executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub per_s: f64,
    /// Units that may be saved up.
    pub burst: f64,
}

/// One client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// Rank; goes before the route's.
    pub tier: Option<u8>,
    /// Bound; none if unlimited.
    pub quota: Option<Quota>,
    /// Units of a request that does not tell its own.
    pub default_units: u64,
    /// Whether requests count by their tokens rather than one each.
    pub counts_tokens: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that each of its endpoints accepts from all instances.
    pub max_connections: u32,
    /// Tokens in an event of its streams; 0 if its endpoints are no model engines.
    pub tokens_per_event: u32,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Bytes of a head.
    pub max_head_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Time for which callers may leave a connection idle.
    pub idle_timeout: Duration,
}

/// An endpoint as it has registered itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Endpoint {
    /// Id of this life of the endpoint.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it executes at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// When it began, in milliseconds since the Unix epoch; 0 if it does not say so. An endpoint may start
    /// again under its id, and then knows nothing of before.
    #[serde(rename = "born", default)]
    pub started_at_ms: u64,
    /// Version of its software; empty if it does not say so.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub version: VersionId,
}

impl Endpoint {
    /// This start of the endpoint, in short.
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

/// One version of the operator's configuration.
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
    /// Builds a table. Of two accounts with the same key the later one has it.
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

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// The route of a request: of its host, the one with the longest prefix of its path.
    ///
    /// ```
    /// use oxbowbend_core::routes::{RequestLimits, RoutingTable};
    /// use std::time::Duration;
    /// let limits = RequestLimits { max_head_bytes: 8192, max_body_bytes: 1 << 20, idle_timeout: Duration::from_secs(60) };
    /// assert!(RoutingTable::new(1, limits).route("example.org", "/a/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The account that holds a key.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        self.accounts.get(self.accounts_by_key.get(key)?)
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }

    /// Whether requests need a key at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Connections that the most modest service accepts, from all instances together.
    ///
    /// ```
    /// use oxbowbend_core::routes::{RequestLimits, RoutingTable, Service};
    /// use std::time::Duration;
    /// let limits = RequestLimits { max_head_bytes: 8192, max_body_bytes: 1 << 20, idle_timeout: Duration::from_secs(60) };
    /// let mut table = RoutingTable::new(1, limits);
    /// table.add_service("s".into(), Service { max_connections: 96, tokens_per_event: 0 });
    /// assert_eq!(table.min_service_connections(), Some(96));
    /// ```
    pub fn min_service_connections(&self) -> Option<u32> {
        self.services.values().map(|s| s.max_connections).filter(|n| *n > 0).min()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Longest time that a request to a service may take, by its routes.
    pub fn max_timeout(&self, service: &ServiceId) -> Duration {
        let is_target = |route: &&Arc<Route>| route.targets.iter().any(|(name, _)| name == service);
        let routes = self.routes_by_host.values().flatten().filter(is_target);
        routes.map(|route| route.timeout).max().unwrap_or(Duration::ZERO)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }
}

impl Route {
    /// The service for a request, by weight; `random` is a random number.
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
