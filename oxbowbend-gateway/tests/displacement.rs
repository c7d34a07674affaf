//! Entries that claim another beginning than the endpoints at their addresses, or than an earlier entry of their own.

use std::time::{Duration, Instant};

use bytes::Bytes;
use oxbowbend_core::routes::{Endpoint, RequestLimits, RoutingTable};
use oxbowbend_gateway::seam::{Record, Snapshot};
use oxbowbend_gateway::world::{News, World, CONFIRM};

fn read(_document: &[u8]) -> Result<RoutingTable, String> {
    let idle_timeout = Duration::from_secs(1);
    Ok(RoutingTable::new(
        5,
        RequestLimits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout: idle_timeout,
            idle_timeout,
        },
    ))
}

fn config(version: &'static str) -> Record {
    Record::Config(Bytes::from_static(version.as_bytes()))
}

/// An endpoint that began at a time. All are at one address.
fn begun(id: &str, born: u64) -> Record {
    Record::Endpoint(Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 4,
        leaving: false,
        started_at_ms: born,
        version: "".into(),
    })
}

fn snapshot(revision: u64, records: Vec<Record>) -> Snapshot {
    Snapshot { revision, records, ..Snapshot::default() }
}

fn ids(world: &World) -> Vec<String> {
    world.endpoints().map(|e| e.id.to_string()).collect()
}

fn born(world: &World) -> Vec<u64> {
    world.endpoints().map(|e| e.started_at_ms).collect()
}

/// A way in which an instance learns what the store holds.
type Way = fn(&mut World, Instant, Snapshot) -> Vec<News>;

const WAYS: [Way; 3] = [
    |world, now, snapshot| world.change(now, snapshot, read),
    |world, now, snapshot| world.load(now, snapshot, read),
    |world, now, snapshot| world.copy(now, snapshot, read),
];

/// An entry of another writer that claims a later beginning took the endpoint at its address from all callers, for as
/// long as it stood.
#[test]
fn an_entry_with_a_later_beginning_displaces_none_that_was_known() {
    let now = Instant::now();
    for (way, take) in WAYS.iter().enumerate() {
        let mut world = World::default();
        world.load(now, snapshot(10, vec![config("5"), begun("a", 1000)]), read);
        take(&mut world, now, snapshot(11, vec![begun("a", 1000), begun("b", 9000)]));
        assert_eq!(ids(&world), ["a", "b"], "{way}");
        // A change of its entry makes it no late one.
        let changed = match begun("a", 1000) {
            Record::Endpoint(e) => Record::Endpoint(Endpoint { slots: 9, ..e }),
            record => record,
        };
        take(&mut world, now, snapshot(12, vec![changed, begun("b", 9000)]));
        assert_eq!(ids(&world), ["a", "b"], "{way}");
    }
    // An instance that starts beside both does not know which came first.
    let mut world = World::default();
    world.load(now, snapshot(10, vec![config("5"), begun("a", 9000), begun("b", 1000)]), read);
    assert_eq!(ids(&world), ["a", "b"]);
}

/// A sound endpoint that starts where an entry with a beginning ahead of all clocks stands was never used.
#[test]
fn an_endpoint_beside_an_entry_with_a_later_beginning_is_not_held_back_for_ever() {
    let now = Instant::now();
    let mut world = World::default();
    world.load(now, snapshot(10, vec![config("5"), begun("b", 9000)]), read);
    let news = world.change(now, snapshot(11, vec![begun("a", 1000)]), read);
    assert!(matches!(&news[..], [News::Late(_)]), "{news:?}");
    assert_eq!(ids(&world), ["b"]);
    assert_eq!(world.expire(now + CONFIRM / 2), []);
    let news = world.expire(now + CONFIRM);
    assert!(matches!(&news[..], [News::Endpoint(_)]), "{news:?}");
    assert_eq!(ids(&world), ["a", "b"]);
    // At once, if the other one goes.
    let mut world = World::default();
    world.load(now, snapshot(10, vec![config("5"), begun("b", 9000)]), read);
    world.change(now, snapshot(11, vec![begun("a", 1000)]), read);
    world.change(now, snapshot(12, vec![Record::EndpointGone("b".into())]), read);
    assert_eq!(ids(&world), ["a"]);
}

/// The clock of an endpoint's machine went back between two starts: nothing that the later one wrote was believed, not
/// even that it leaves.
#[test]
fn a_start_that_a_clock_put_before_the_last_one_is_believed_once_its_entry_stands() {
    let now = Instant::now();
    let mut world = World::default();
    world.load(now, snapshot(10, vec![config("5"), begun("a", 2000)]), read);
    world.change(now, snapshot(11, vec![begun("a", 1000)]), read);
    assert_eq!(world.expire(now + CONFIRM / 2), []);
    assert_eq!(born(&world), [2000]);
    let news = world.expire(now + CONFIRM);
    assert!(matches!(&news[..], [News::Restarted(_)]), "{news:?}");
    assert_eq!(born(&world), [1000]);
    // The later one lives, and writes its entry again.
    let mut world = World::default();
    world.load(now, snapshot(10, vec![config("5"), begun("a", 2000)]), read);
    world.change(now, snapshot(11, vec![begun("a", 1000)]), read);
    world.change(now, snapshot(12, vec![begun("a", 2000)]), read);
    assert_eq!(world.expire(now + CONFIRM), []);
    assert_eq!(born(&world), [2000]);
}
