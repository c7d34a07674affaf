//! Since when each route for streams leads where it does.
//!
//! That a service has had one version says nothing of a stream that began at another service, to which its route led
//! then.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::ServiceId;
use crate::routes::{Route, RoutingTable};

/// The services to which a route leads.
#[derive(Clone, Debug)]
struct Targets {
    services: Vec<ServiceId>,
    /// When it began to lead there; `None` if that was so in the first configuration.
    changed_at: Option<Instant>,
}

/// Where the routes lead and since when, over all configurations that have been in force here.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory {
    targets: HashMap<String, Targets>,
}

impl RouteHistory {
    /// Takes in a configuration that came in force.
    pub fn configure(&mut self, now: Instant, table: &RoutingTable) {
        let is_first = self.targets.is_empty();
        for route in table.routes().filter(|route| route.stream && route.resumable) {
            let services = route.services();
            let changed_at = match self.targets.get(&key(route)) {
                Some(known) if known.services == services => known.changed_at,
                _ if is_first => None,
                _ => Some(now),
            };
            self.targets.insert(key(route), Targets { services, changed_at });
        }
    }

    /// Returns whether every stream of a route that began less than `retention` ago began where the route leads now.
    pub fn is_settled(&self, now: Instant, route: &Route, retention: Duration) -> bool {
        let changed_at = self.targets.get(&key(route)).and_then(|targets| targets.changed_at);
        changed_at.is_none_or(|at| now.saturating_duration_since(at) >= retention)
    }
}

/// What tells a route from all others.
fn key(route: &Route) -> String {
    format!("{} {}", route.host, route.prefix)
}
