//! Since when routes for streams lead where they do.

use std::time::{Duration, Instant};

use oxbowbend_core::routes::{Idempotency, RequestLimits, Route, RoutingTable};
use oxbowbend_core::streams::RouteHistory;

const RETENTION: Duration = Duration::from_secs(30);

fn route(prefix: &str, services: &[&str]) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        targets: services.iter().map(|service| ((*service).into(), 1)).collect(),
        idempotency: Idempotency::Idempotent,
        stream: true,
        resumable: true,
        max_attempts: 2,
        timeout: Duration::from_secs(4),
        objective: Duration::from_secs(1),
        event_gap_objective: None,
        tier: 0,
        public: false,
    }
}

fn table(version: u64, routes: &[Route]) -> RoutingTable {
    let limits = RequestLimits {
        max_head_bytes: 8192,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(60),
    };
    let mut table = RoutingTable::new(version, limits);
    routes.iter().for_each(|route| table.add_route(route.clone()));
    table
}

/// A stream that began before its route led to another service was taken to have begun at the only version of that one.
#[test]
fn a_route_that_leads_elsewhere_says_nothing_of_streams_that_began_before() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let (old, moved, part) = (route("/a/", &["s"]), route("/a/", &["t"]), route("/a/b/", &["t"]));
    let mut history = RouteHistory::default();
    assert!(history.is_settled(start, &old, RETENTION), "nothing is known to have changed");
    history.configure(start, &table(1, std::slice::from_ref(&old)));
    assert!(history.is_settled(start, &old, RETENTION));
    history.configure(at(5), &table(2, std::slice::from_ref(&old)));
    assert!(history.is_settled(at(5), &old, RETENTION), "another version of the same routes");
    // A part of the route's paths leads elsewhere, then all.
    history.configure(at(10), &table(3, &[old.clone(), part.clone()]));
    assert!(history.is_settled(at(10), &old, RETENTION));
    assert!(!history.is_settled(at(10), &part, RETENTION));
    history.configure(at(20), &table(4, &[moved.clone(), part.clone()]));
    for (now, whole, of_part) in
        [(20, false, false), (39, false, false), (40, false, true), (50, true, true)]
    {
        assert_eq!(history.is_settled(at(now), &moved, RETENTION), whole, "{now} s");
        assert_eq!(history.is_settled(at(now), &part, RETENTION), of_part, "{now} s");
    }
    // It leads back, and streams that began elsewhere meanwhile are as little known.
    history.configure(at(60), &table(5, std::slice::from_ref(&old)));
    assert!(!history.is_settled(at(61), &old, RETENTION));
}
