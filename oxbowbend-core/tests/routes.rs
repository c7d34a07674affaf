//! Route selection and API keys.

use std::time::Duration;

use oxbowbend_core::routes::{Account, Idempotency, RequestLimits, Route, RoutingTable};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![("one".into(), 90), ("two".into(), 10)],
        idempotency: Idempotency::NonIdempotent,
        stream: false,
        resumable: false,
        max_attempts: 1,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(500),
        event_gap_objective: None,
        tier: 0,
        public: false,
    }
}

fn table() -> RoutingTable {
    let limits = RequestLimits {
        max_head_bytes: 16384,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let mut table = RoutingTable::new(7, limits);
    table.add_route(route("short", "h.example", "/a/"));
    table.add_route(route("long", "h.example", "/a/b/"));
    table.add_route(route("other", "o.example", "/"));
    let account = Account {
        name: "acc".into(),
        tier: None,
        quota: None,
        default_units: 1,
        counts_tokens: false,
    };
    table.add_account(account, ["k1".to_owned(), "k2".to_owned()]);
    table
}

#[test]
fn the_route_with_the_longest_matching_prefix_wins() {
    let table = table();
    for (host, path, expected) in [
        ("h.example", "/a/x", Some("short")),
        ("H.EXAMPLE", "/a/x", Some("short")),
        ("h.example", "/a/b/x", Some("long")),
        ("h.example", "/a/b", Some("short")),
        ("h.example", "/a", None),
        ("h.example", "/", None),
        ("o.example", "/", Some("other")),
        ("x.example", "/a/", None),
    ] {
        let found = table.route(host, path).map(|r| r.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn accounts_are_found_by_key() {
    let table = table();
    for (key, expected) in [("k1", Some("acc")), ("k2", Some("acc")), ("k3", None), ("", None)] {
        assert_eq!(table.account_by_key(key).map(|a| &*a.name), expected, "{key}");
    }
}

#[test]
fn targets_are_picked_by_weight() {
    let route = route("r", "h", "/");
    let n = (0..100).filter(|n| route.pick_target(*n).map(|s| &**s) == Some("two")).count();
    assert_eq!(n, 10);
}
