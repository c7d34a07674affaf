//! What an instance believes of the store, through outages and old news.

use std::time::{Duration, Instant};

use bytes::Bytes;
use oxbowbend_core::routes::{Endpoint, RequestLimits, RoutingTable};
use oxbowbend_gateway::seam::{Record, Snapshot};
use oxbowbend_gateway::world::{News, Teller, World, CONFIRM, LAPSE};

/// The version is the document.
fn read(document: &[u8]) -> Result<RoutingTable, String> {
    let text = std::str::from_utf8(document).map_err(|e| e.to_string())?;
    let version = text.parse().map_err(|_| format!("{text} is no version"))?;
    let limits = RequestLimits {
        max_head_bytes: 1,
        max_body_bytes: 1,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(1),
    };
    Ok(RoutingTable::new(version, limits))
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
        started_at_ms: 0,
        version: "".into(),
    })
}

fn snapshot(revision: u64, records: Vec<Record>) -> Snapshot {
    Snapshot { revision, records, ..Snapshot::default() }
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
    world.learn(now, snapshot(99, vec![config("6")]), Teller::Other, read);
    assert_eq!(version(&world), 7);
    world.learn(now, snapshot(99, vec![config("8")]), Teller::Other, read);
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
    assert!(world.store_lost(now));
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
    world.learn(now, snapshot(20, vec![endpoint("c")]), Teller::Other, read);
    assert_eq!(ids(&world), ["a", "b"]);
    world.store_lost(now);
    world.learn(now, snapshot(9, vec![endpoint("c")]), Teller::Other, read);
    assert_eq!(ids(&world), ["a", "b"]);
    world.learn(now, snapshot(20, vec![endpoint("c")]), Teller::Other, read);
    assert!(ids(&world).contains(&"c".to_owned()));
}

/// The store turned an instance away for seconds while others went on following it. It took their lists in, but
/// kept an endpoint that had left until its own store would be back, and sent requests there 2.1 s after
/// the endpoint had said so: `endpoint_gone` at two instances at 14.84 s, at none of the five others.
#[test]
fn an_instance_without_the_store_leaves_an_endpoint_by_the_word_of_one_that_follows_it() {
    let now = Instant::now();
    for (teller, revision, left) in [
        (Teller::Follower, 11, vec!["b"]),
        (Teller::Follower, 9, vec!["a", "b"]),
        (Teller::Other, 11, vec!["a", "b"]),
    ] {
        let mut world = loaded(now);
        world.store_lost(now);
        let news = world.learn(now, snapshot(revision, vec![endpoint("b")]), teller, read);
        assert_eq!(ids(&world), left, "{teller:?} at {revision}");
        assert_eq!(news.contains(&News::EndpointGone("a".into())), left.len() == 1);
    }
}

#[test]
fn a_fresh_instance_starts_from_another_one() {
    let now = Instant::now();
    let mut world = World::default();
    world.store_lost(now);
    world.learn(now, snapshot(9, vec![config("3"), endpoint("c")]), Teller::Other, read);
    assert!(world.is_loaded());
    assert_eq!((version(&world), ids(&world)), (3, vec!["c".to_owned()]));
}

#[test]
fn a_copy_is_the_source_s_list_as_it_is() {
    let now = Instant::now();
    let mut world = loaded(now);
    let mut source = World::default();
    source.load(now, snapshot(12, vec![config("6"), endpoint("b"), endpoint("c")]), read);
    assert_ne!(world.digest(), source.digest());
    let copied = vec![config("6"), endpoint("b"), endpoint("c")];
    let news = world.copy(now, snapshot(12, copied), read);
    assert_eq!((ids(&world), version(&world)), (ids(&source), 6));
    assert_eq!((world.digest(), world.revision()), (source.digest(), 12));
    assert!(news.contains(&News::EndpointGone("a".into())));
}

#[test]
fn a_copy_of_what_is_older_takes_nothing_away() {
    let now = Instant::now();
    let mut world = loaded(now);
    assert_eq!(world.copy(now, snapshot(9, vec![config("4"), endpoint("a")]), read).len(), 1);
    assert_eq!((ids(&world), version(&world)), (vec!["a".to_owned(), "b".to_owned()], 5));
}

#[test]
fn a_copy_without_the_document_keeps_the_configuration() {
    let now = Instant::now();
    let mut world = loaded(now);
    world.copy(now, snapshot(11, vec![endpoint("a")]), read);
    assert_eq!((ids(&world), version(&world)), (vec!["a".to_owned()], 5));
}

#[test]
fn the_digest_follows_the_list_and_not_its_history() {
    let now = Instant::now();
    let mut world = loaded(now);
    let before = world.digest();
    world.change(now, snapshot(11, vec![endpoint("c")]), read);
    assert_ne!(world.digest(), before);
    world.change(now, snapshot(12, vec![Record::EndpointGone("c".into())]), read);
    assert_eq!(world.digest(), before);
}

#[test]
fn callers_are_told_to_come_back_after_as_long_as_an_outage_has_lasted() {
    let now = Instant::now();
    let mut world = World::default();
    assert_eq!(world.come_back(now), Duration::from_millis(200));
    world.store_lost(now);
    for (lasted, expected) in [(0, 1500), (1000, 2500), (9000, 4000)] {
        let later = now + Duration::from_millis(lasted);
        assert!(!world.store_lost(later), "not new");
        assert_eq!(world.come_back(later), Duration::from_millis(expected));
    }
    world.store_found(now);
    assert_eq!(world.come_back(now), Duration::from_millis(200));
}

/// The entry of a start of `a`.
fn start(born: u64) -> Record {
    match endpoint("a") {
        Record::Endpoint(endpoint) => {
            Record::Endpoint(Endpoint { started_at_ms: born, ..endpoint })
        }
        other => other,
    }
}

fn born(world: &World) -> Vec<u64> {
    world.endpoints().map(|e| e.started_at_ms).collect()
}

/// A way in which an instance learns what the store holds.
type Way = fn(&mut World, Instant, Snapshot) -> Vec<News>;

const WAYS: [Way; 4] = [
    |world, now, snapshot| world.change(now, snapshot, read),
    // After the history was dropped.
    |world, now, snapshot| world.load(now, snapshot, read),
    // From an instance of its cell.
    |world, now, snapshot| world.copy(now, snapshot, read),
    // While the store is away, from one that it answers.
    |world, now, snapshot| {
        world.store_lost(now);
        world.learn(now, snapshot, Teller::Follower, read)
    },
];

#[test]
fn a_restart_is_known_by_every_way_and_never_taken_back() {
    let now = Instant::now();
    for (way, take) in WAYS.iter().enumerate() {
        let mut world = World::default();
        world.load(now, snapshot(10, vec![config("5"), start(1000)]), read);
        let before = world.digest();
        let news = take(&mut world, now, snapshot(11, vec![start(2000)]));
        assert!(
            matches!(&news[..], [News::Restarted(e)] if e.started_at_ms == 2000),
            "{way}: {news:?}"
        );
        assert_ne!(world.digest(), before, "{way}");
        let news = take(&mut world, now, snapshot(12, vec![start(1000)]));
        assert!(matches!(&news[..], [News::EarlierStart(_)]), "{way}: {news:?}");
        assert_eq!(born(&world), [2000], "{way}");
        // One that does not say when it began is what was known.
        take(&mut world, now, snapshot(13, vec![start(0)]));
        assert_eq!(born(&world), [2000], "{way}");
    }
}

#[test]
fn a_restart_during_an_outage_is_known_after_it() {
    let now = Instant::now();
    let mut world = World::default();
    world.load(now, snapshot(10, vec![config("5"), start(1000)]), read);
    world.store_lost(now);
    // Its entry has lapsed meanwhile, and its next start enters itself.
    world.store_found(now);
    world.load(now, snapshot(12, vec![]), read);
    assert_eq!(born(&world), [1000]);
    let news = world.change(now + LAPSE / 2, snapshot(13, vec![start(2000)]), read);
    assert!(matches!(&news[..], [News::Restarted(_)]), "{news:?}");
    assert_eq!(world.expire(now + LAPSE), []);
    assert_eq!(born(&world), [2000]);
}

/// Entries of endpoints that are gone were written again after those of their successors at the same
/// addresses, which answered 654 requests in 14 s that they were not the ones that were meant.
#[test]
fn of_two_endpoints_at_one_address_the_later_one_is_there() {
    let now = Instant::now();
    let other = |id: &str, born| match endpoint(id) {
        Record::Endpoint(endpoint) => {
            Record::Endpoint(Endpoint { started_at_ms: born, ..endpoint })
        }
        record => record,
    };
    for (old, new, there) in
        [(1000, 2000, vec!["b"]), (0, 2000, vec!["a", "b"]), (0, 0, vec!["a", "b"])]
    {
        for (take, way) in WAYS.iter().zip(0..) {
            let mut world = World::default();
            world.load(now, snapshot(10, vec![config("5"), other("b", new)]), read);
            take(&mut world, now, snapshot(11, vec![other("b", new), other("a", old)]));
            assert_eq!(ids(&world), there, "{old} {new} {way}");
        }
    }
}

#[test]
fn the_same_list_is_confirmed_and_the_rest_taken_in() {
    let now = Instant::now();
    let mut world = loaded(now);
    let before = world.digest();
    let news = world.confirm(now, snapshot(20, vec![config("6")]), read);
    assert_eq!(news, [News::Config(6)]);
    assert_eq!((world.digest(), world.revision()), (before, 10));
    assert_eq!(ids(&world), ["a", "b"]);
}

#[test]
fn an_endpoint_that_another_instance_keeps_for_a_moment_is_not_taken_back() {
    let now = Instant::now();
    let gone = |revision| snapshot(revision, vec![Record::EndpointGone("b".into())]);
    for (told_revision, keeps) in [(11, true), (12, true), (12, false)] {
        // The store told this instance that an endpoint is gone; the other one hears of it as the store returns.
        let mut world = loaded(now);
        world.change(now, gone(11), read);
        assert_eq!(ids(&world), ["a"]);
        let mut other = loaded(now);
        other.store_lost(now);
        other.store_found(now);
        other.change(now, gone(11), read);
        assert_eq!(other.lapsed().count(), 1);
        world.store_lost(now);
        let lapsed = other.lapsed().filter(|_| keeps).cloned().collect();
        let told =
            Snapshot { lapsed, ..snapshot(told_revision, vec![endpoint("a"), endpoint("b")]) };
        world.learn(now, told, Teller::Follower, read);
        // One that the other one does not only keep has entered itself again.
        let expected: &[&str] = if keeps { &["a"] } else { &["a", "b"] };
        assert_eq!(ids(&world), expected, "told of revision {told_revision}, kept {keeps}");
    }
}

/// What a store lists that has come back from a copy.
fn restored(revision: u64, records: Vec<Record>) -> Snapshot {
    Snapshot { epoch: 2, ..snapshot(revision, records) }
}

fn leaving(id: &str) -> Record {
    match endpoint(id) {
        Record::Endpoint(endpoint) => Record::Endpoint(Endpoint { leaving: true, ..endpoint }),
        record => record,
    }
}

/// Ways by which an instance learns that the store has come back.
const RESTORED: [Way; 2] = [
    |world, now, snapshot| world.load(now, snapshot, read),
    // From the instance from which it copies.
    |world, now, snapshot| world.copy(now, snapshot, read),
];

/// The copy knows nothing of the last configuration and lists what has left; its revisions are lower.
#[test]
fn a_copy_of_the_store_takes_nothing_back() {
    let now = Instant::now();
    for (way, take) in RESTORED.iter().enumerate() {
        let mut world = loaded(now);
        let records = vec![config("6"), leaving("a"), Record::EndpointGone("b".into())];
        world.change(now, snapshot(20, records), read);
        let news =
            take(&mut world, now, restored(9, vec![config("5"), endpoint("a"), endpoint("b")]));
        assert!(news.contains(&News::OldConfig(5)), "{way}: {news:?}");
        assert_eq!(version(&world), 6, "{way}");
        assert_eq!((world.epoch(), world.revision()), (2, 9), "{way}");
        // One goes on leaving, the other one is not there until it is known to be, however often it is listed.
        take(&mut world, now, restored(9, vec![config("5"), endpoint("a"), endpoint("b")]));
        let there: Vec<_> = world.endpoints().map(|e| (&*e.id, e.leaving)).collect();
        assert_eq!(there, [("a", true)], "{way}");
        assert_eq!(world.expire(now + CONFIRM / 2), [], "{way}");
        // Changes of the new epoch are taken though their revisions were given out before.
        world.change(now, restored(10, vec![config("7")]), read);
        assert_eq!((version(&world), world.revision()), (7, 10), "{way}");
    }
}

#[test]
fn an_endpoint_that_a_copy_lists_is_used_once_it_is_known_to_be_there() {
    let now = Instant::now();
    let gone = |world: &mut World| {
        world.change(now, snapshot(20, vec![Record::EndpointGone("b".into())]), read);
        world.load(now, restored(9, vec![endpoint("a"), endpoint("b")]), read);
        assert_eq!(ids(world), ["a"]);
    };
    // It writes its entry again.
    let mut world = loaded(now);
    gone(&mut world);
    world.change(now, restored(10, vec![endpoint("b")]), read);
    assert_eq!(ids(&world), ["a", "b"]);
    // The store would have removed the entry by now.
    let mut world = loaded(now);
    gone(&mut world);
    assert_eq!(world.expire(now + CONFIRM).len(), 1);
    assert_eq!(ids(&world), ["a", "b"]);
    // The store removes it.
    let mut world = loaded(now);
    gone(&mut world);
    world.change(now, restored(10, vec![Record::EndpointGone("b".into())]), read);
    assert_eq!(world.expire(now + CONFIRM), []);
    assert_eq!(ids(&world), ["a"]);
}

#[test]
fn endpoints_that_a_copy_lacks_are_given_time_to_return() {
    let now = Instant::now();
    let mut world = loaded(now);
    world.load(now, restored(3, vec![endpoint("a")]), read);
    assert_eq!(ids(&world), ["a", "b"]);
    assert_eq!(world.expire(now + LAPSE), [News::EndpointGone("b".into())]);
}

#[test]
fn an_answer_of_an_earlier_epoch_is_dropped() {
    let now = Instant::now();
    let mut world = loaded(now);
    world.load(now, restored(3, vec![config("6"), endpoint("a"), endpoint("b")]), read);
    let late = snapshot(30, vec![config("9"), endpoint("c")]);
    assert!(matches!(world.load(now, late.clone(), read)[..], [News::Outdated(_)]));
    world.copy(now, Snapshot { records: vec![endpoint("c")], ..late.clone() }, read);
    assert!(world.set_instances(late).is_some());
    assert_eq!((ids(&world), version(&world)), (vec!["a".to_owned(), "b".to_owned()], 6));
    assert_eq!(world.epoch(), 2);
}
