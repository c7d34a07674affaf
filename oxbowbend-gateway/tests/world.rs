//! What an instance believes of the store, through outages and old news.

use std::time::{Duration, Instant};

use bytes::Bytes;
use oxbowbend_core::routes::{Endpoint, Limits, Table};
use oxbowbend_gateway::seam::{Record, Snapshot};
use oxbowbend_gateway::world::{News, World, LAPSE};

/// The version is the document.
fn read(document: &[u8]) -> Result<Table, String> {
    let text = std::str::from_utf8(document).map_err(|e| e.to_string())?;
    let version = text.parse().map_err(|_| format!("{text} is no version"))?;
    let limits = Limits { head: 1, body: 1, idle: Duration::from_secs(1) };
    Ok(Table::new(version, limits))
}

fn config(version: &'static str) -> Record {
    Record::Config(Bytes::from_static(version.as_bytes()))
}

fn endpoint(id: &str) -> Record {
    Record::Endpoint(Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 4,
        leaving: false,
    })
}

fn snapshot(revision: u64, records: Vec<Record>) -> Snapshot {
    Snapshot { revision, records }
}

fn loaded(now: Instant) -> World {
    let mut world = World::default();
    world.load(now, snapshot(10, vec![config("5"), endpoint("a"), endpoint("b")]), read);
    world
}

fn ids(world: &World) -> Vec<String> {
    world.endpoints().map(|e| e.id.to_string()).collect()
}

fn version(world: &World) -> u64 {
    world.table().map_or(0, |t| t.version())
}

#[test]
fn nothing_is_served_before_everything_is_known() {
    let mut world = World::default();
    assert!(!world.is_loaded());
    world.change(Instant::now(), snapshot(1, vec![config("1")]), read);
    assert!(!world.is_loaded());
    assert!(loaded(Instant::now()).is_loaded());
}

#[test]
fn a_configuration_never_goes_back() {
    let now = Instant::now();
    let mut world = loaded(now);
    for (document, expected) in [("4", 5), ("5", 5), ("7", 7), ("6", 7), ("x", 7)] {
        world.change(now, snapshot(11, vec![config(document)]), read);
        assert_eq!(version(&world), expected, "after {document}");
    }
    world.load(now, snapshot(12, vec![config("6")]), read);
    assert_eq!(version(&world), 7);
    world.learn(now, snapshot(99, vec![config("6")]), read);
    assert_eq!(version(&world), 7);
    world.learn(now, snapshot(99, vec![config("8")]), read);
    assert_eq!(version(&world), 8);
}

#[test]
fn an_unreadable_configuration_is_told_and_changes_nothing() {
    let now = Instant::now();
    let mut world = loaded(now);
    let news = world.change(now, snapshot(11, vec![config("x")]), read);
    assert_eq!(news, [News::BadConfig("x is no version".to_owned())]);
}

#[test]
fn an_endpoint_that_leaves_in_calm_times_is_gone_at_once() {
    let now = Instant::now();
    let mut world = loaded(now);
    world.change(now, snapshot(11, vec![Record::EndpointGone("a".into())]), read);
    assert_eq!(ids(&world), ["b"]);
    world.load(now, snapshot(12, vec![]), read);
    assert!(ids(&world).is_empty());
}

#[test]
fn entries_that_lapsed_with_the_store_are_given_time_to_return() {
    let now = Instant::now();
    let mut world = loaded(now);
    assert!(world.store_lost());
    let back = now + Duration::from_secs(5);
    assert!(world.store_found(back));
    let gone = vec![Record::EndpointGone("a".into()), Record::EndpointGone("b".into())];
    world.change(back, snapshot(12, gone), read);
    assert_eq!(ids(&world), ["a", "b"]);
    world.change(back, snapshot(13, vec![endpoint("b")]), read);
    assert!(world.expire(back + LAPSE - Duration::from_millis(1)).is_empty());
    assert_eq!(world.expire(back + LAPSE), [News::EndpointGone("a".into())]);
    assert_eq!(ids(&world), ["b"]);
}

#[test]
fn another_instances_list_is_taken_only_while_the_store_is_away() {
    let now = Instant::now();
    let mut world = loaded(now);
    world.learn(now, snapshot(20, vec![endpoint("c")]), read);
    assert_eq!(ids(&world), ["a", "b"]);
    world.store_lost();
    world.learn(now, snapshot(9, vec![endpoint("c")]), read);
    assert_eq!(ids(&world), ["a", "b"]);
    world.learn(now, snapshot(20, vec![endpoint("c")]), read);
    assert!(ids(&world).contains(&"c".to_owned()));
}

#[test]
fn a_fresh_instance_starts_from_another_one() {
    let now = Instant::now();
    let mut world = World::default();
    world.store_lost();
    world.learn(now, snapshot(9, vec![config("3"), endpoint("c")]), read);
    assert!(world.is_loaded());
    assert_eq!((version(&world), ids(&world)), (3, vec!["c".to_owned()]));
}
