//! Nodes that work together, without faults and with some that were found to hurt.

mod harness;

use std::time::Duration;

use harness::{record, topology, Fate, World};

const THREE: [&str; 3] = ["a", "b", "c"];

#[test]
fn serves_requests_from_every_entry() {
    let mut world = World::new(&THREE, topology(&[("e1", 2), ("e2", 2)], None));
    for n in 0..30 {
        world.arrive(THREE[n % 3], record(&format!("r{n}"), (n % 3) as u8));
    }
    world.run_for(Duration::from_secs(20));
    assert_eq!(world.count(&Fate::Done), 30);
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn keeps_account_limits_across_endpoints() {
    let mut world = World::new(&THREE, topology(&[("e1", 4), ("e2", 4)], Some(3)));
    for n in 0..20 {
        world.arrive(THREE[n % 3], record(&format!("r{n}"), 1));
    }
    world.run_for(Duration::from_secs(20));
    assert_eq!(world.count(&Fate::Done), 20);
    assert_eq!(world.broken, Vec::<String>::new());
}

#[test]
fn higher_tiers_go_first() {
    let mut world = World::new(&THREE, topology(&[("e1", 1)], None));
    world.arrive("a", record("first", 2));
    for n in 0..3 {
        world.arrive("b", record(&format!("low{n}"), 2));
    }
    world.arrive("c", record("high", 0));
    world.run_for(Duration::from_millis(1500));
    assert!(world.runs.contains_key("high"));
    assert_eq!(world.runs.len(), 2);
}

#[test]
fn a_joining_instance_gets_its_share() {
    let mut world = World::new(&["a", "b"], topology(&[("e1", 40)], None));
    world.join("c");
    world.run_for(Duration::from_secs(5));
    let key = oxbowbend_core::message::PermitKey::Endpoint("e1".into());
    let (free, owned) = world.node("c").permits().count(&key);
    assert!(owned >= 5 && free == owned, "{free} of {owned}");
    let total: u32 = world.free_permits().values().sum();
    assert_eq!(total, 40);
}

#[test]
fn a_leaving_instance_cedes_its_share() {
    let mut world = World::new(&THREE, topology(&[("e1", 40)], None));
    world.feed(&"a".into(), oxbowbend_core::node::Event::Drain);
    world.run_for(Duration::from_secs(5));
    assert!(world.node("a").is_drained() && world.node("a").has_ceded_permits());
    assert_eq!(world.free_permits().values().sum::<u32>(), 40);
}

#[test]
fn permits_of_a_dead_instance_return() {
    let mut world = World::new(&THREE, topology(&[("e1", 40)], Some(10)));
    world.kill(&"a".into());
    world.run_for(Duration::from_secs(10));
    world.unlist(&"a".into());
    world.run_for(Duration::from_secs(10));
    assert_eq!(world.free_permits().values().copied().collect::<Vec<_>>(), [10, 40]);
}

/// A scheduler with a stale list had a permit reserved for an entry that the owner knew to be
/// dropped; nobody ever gave it back.
#[test]
fn nothing_is_reserved_for_an_entry_that_is_not_listed() {
    let mut world = World::new(&THREE, topology(&[("e1", 6)], None));
    let scheduler = world.scheduler("a");
    let other: Vec<_> = world.ids().into_iter().filter(|id| *id != scheduler).collect();
    world.lists_frozen.insert(scheduler.clone());
    world.kill(&other[0]);
    world.unlist(&other[0]);
    world.run_for(Duration::from_secs(5));
    let orphan = record("orphan", 0);
    let from = other[0].clone();
    let message = oxbowbend_core::message::Message::Enqueue(orphan);
    world.feed(&scheduler, oxbowbend_core::node::Event::Peer { from, message });
    world.run_for(Duration::from_secs(2));
    world.lists_frozen.clear();
    world.run_for(Duration::from_secs(10));
    assert_eq!(world.free_permits().values().sum::<u32>(), 6);
}

/// An endpoint that said itself that it leaves is passed over also by a scheduler that takes the pool
/// over afterwards, so that its requests go elsewhere at once.
#[test]
fn a_new_scheduler_knows_which_endpoints_leave() {
    let mut world = World::new(&THREE, topology(&[("e1", 2), ("e2", 2)], None));
    let former = world.scheduler("a");
    let others: Vec<_> = world.ids().into_iter().filter(|id| *id != former).collect();
    for id in &others {
        let leaving = oxbowbend_core::node::Event::EndpointLeaving("e1".into());
        world.feed(id, leaving);
    }
    world.kill(&former);
    world.run_for(Duration::from_secs(3));
    for n in 0..2 {
        world.arrive(&others[0], record(&format!("r{n}"), 0));
        assert!(world.runs.contains_key(format!("r{n}").as_str()), "r{n} was not granted at once");
    }
    assert!(world.runs.values().all(|r| r.endpoint == "e2"));
}

/// Finds the instance that owns the one slot.
fn owner(world: &World) -> oxbowbend_core::ids::InstanceId {
    let owns = |id: &oxbowbend_core::ids::InstanceId| world.node(id).permits().owned() > 0;
    world.ids().into_iter().find(owns).expect("somebody owns the slot")
}

/// The run of an entry that dies with its owner goes on; nobody who lives knows of it.
#[test]
fn a_slot_whose_user_died_with_its_owner_is_not_given_away() {
    let mut world = World::new(&THREE, topology(&[("e1", 1)], None));
    world.run_time = Duration::from_secs(30);
    let owner = owner(&world);
    world.arrive(&owner, record("orphan", 0));
    assert!(world.runs.contains_key("orphan"));
    world.kill(&owner);
    world.unlist(&owner);
    let other = world.ids().into_iter().find(|id| *id != owner).expect("there are three");
    world.arrive(&other, record("next", 0));
    world.run_for(Duration::from_secs(25));
    assert!(!world.runs.contains_key("next"));
    world.run_for(Duration::from_secs(45));
    assert_eq!(world.fates["next"], Fate::Done);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// The owner dies while another instance's request runs on its permit; the new owner learns of it
/// and takes the permit back as soon as the run ends.
#[test]
fn a_slot_in_use_passes_to_the_new_owner() {
    let mut world = World::new(&THREE, topology(&[("e1", 1)], None));
    world.run_time = Duration::from_secs(20);
    let owner = owner(&world);
    let ingress = world.ids().into_iter().find(|id| *id != owner).expect("there are three");
    world.arrive(&ingress, record("long", 0));
    assert!(world.runs.contains_key("long"));
    world.kill(&owner);
    world.unlist(&owner);
    world.run_for(Duration::from_secs(10));
    let uses =
        |id: &oxbowbend_core::ids::InstanceId| world.node(id).permits().reservations().count();
    assert_eq!(world.ids().iter().filter(|id| **id != owner).map(uses).sum::<usize>(), 1);
    world.run_for(Duration::from_secs(11));
    assert_eq!(world.free_permits().values().sum::<u32>(), 1);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// An instance joins while every permit is in use: the owners keep what is used, and afterwards
/// each permit is there once.
#[test]
fn a_joining_instance_takes_nothing_that_is_in_use() {
    let mut world = World::new(&["a", "b"], topology(&[("e1", 20)], None));
    world.run_time = Duration::from_secs(8);
    for n in 0..20 {
        world.arrive(["a", "b"][n % 2], record(&format!("r{n}"), 0));
    }
    assert_eq!(world.runs.len(), 20);
    world.join("c");
    world.run_for(Duration::from_secs(5));
    let owned = |name: &str| world.node(name).permits().owned();
    assert_eq!(owned("a") + owned("b"), 20);
    for n in 0..20 {
        world.arrive("c", record(&format!("s{n}"), 0));
    }
    world.run_for(Duration::from_secs(20));
    assert_eq!(world.free_permits().values().sum::<u32>(), 20);
    assert_eq!(world.broken, Vec::<String>::new());
}
