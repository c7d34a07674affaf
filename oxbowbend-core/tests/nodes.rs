//! Tests of several nodes, without faults and for single faults that caused errors before.

mod harness;

use std::time::Duration;

use harness::{request_info, topology, Cluster, RequestOutcome};

const INSTANCES: [&str; 3] = ["a", "b", "c"];

#[test]
fn serves_requests_from_every_ingress_instance() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 2), ("e2", 2)], None));
    for n in 0..30 {
        cluster.submit(INSTANCES[n % 3], request_info(&format!("r{n}"), (n % 3) as u8));
    }
    cluster.advance(Duration::from_secs(20));
    assert_eq!(cluster.count(&RequestOutcome::Completed), 30);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn keeps_account_limits_across_endpoints() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 4), ("e2", 4)], Some(3)));
    for n in 0..20 {
        cluster.submit(INSTANCES[n % 3], request_info(&format!("r{n}"), 1));
    }
    cluster.advance(Duration::from_secs(20));
    assert_eq!(cluster.count(&RequestOutcome::Completed), 20);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn higher_tiers_go_first() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 1)], None));
    cluster.submit("a", request_info("first", 2));
    for n in 0..3 {
        cluster.submit("b", request_info(&format!("low{n}"), 2));
    }
    cluster.submit("c", request_info("high", 0));
    cluster.advance(Duration::from_millis(1500));
    assert!(cluster.runs.contains_key("high"));
    assert_eq!(cluster.runs.len(), 2);
}

#[test]
fn a_joining_instance_gets_its_share() {
    let mut cluster = Cluster::new(&["a", "b"], topology(&[("e1", 40)], None));
    cluster.join("c");
    cluster.advance(Duration::from_secs(5));
    let key = oxbowbend_core::message::PermitKey::Endpoint("e1".into());
    let (free, owned) = cluster.node("c").permits().count(&key);
    assert!(owned >= 5 && free == owned, "{free} of {owned}");
    let total: u32 = cluster.free_permits().values().sum();
    assert_eq!(total, 40);
}

#[test]
fn a_leaving_instance_cedes_its_share() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 40)], None));
    cluster.feed(&"a".into(), oxbowbend_core::node::Event::Drain);
    cluster.advance(Duration::from_secs(5));
    assert!(cluster.node("a").is_drained() && cluster.node("a").has_ceded_permits());
    assert_eq!(cluster.free_permits().values().sum::<u32>(), 40);
}

#[test]
fn permits_of_a_dead_instance_are_reassigned() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 40)], Some(10)));
    cluster.crash(&"a".into());
    cluster.advance(Duration::from_secs(10));
    cluster.remove_from_list(&"a".into());
    cluster.advance(Duration::from_secs(10));
    assert_eq!(cluster.free_permits().values().copied().collect::<Vec<_>>(), [10, 40]);
}

/// A permit reserved for an unlisted ingress instance, at the request of a scheduler with a stale
/// list, was never released.
#[test]
fn nothing_is_reserved_for_an_unlisted_ingress_instance() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 6)], None));
    let scheduler = cluster.scheduler("a");
    let other: Vec<_> = cluster.ids().into_iter().filter(|id| *id != scheduler).collect();
    cluster.stale_lists.insert(scheduler.clone());
    cluster.crash(&other[0]);
    cluster.remove_from_list(&other[0]);
    cluster.advance(Duration::from_secs(5));
    let orphan = request_info("orphan", 0);
    let from = other[0].clone();
    let message = oxbowbend_core::message::Message::Enqueue(orphan);
    cluster.feed(&scheduler, oxbowbend_core::node::Event::Peer { from, message });
    cluster.advance(Duration::from_secs(2));
    cluster.stale_lists.clear();
    cluster.advance(Duration::from_secs(10));
    assert_eq!(cluster.free_permits().values().sum::<u32>(), 6);
}

/// A new scheduler of a pool must not grant requests to an endpoint that announced its shutdown to
/// the instances before.
#[test]
fn a_new_scheduler_knows_which_endpoints_leave() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 2), ("e2", 2)], None));
    let former = cluster.scheduler("a");
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != former).collect();
    for id in &others {
        let leaving = oxbowbend_core::node::Event::EndpointLeaving("e1".into());
        cluster.feed(id, leaving);
    }
    cluster.crash(&former);
    cluster.advance(Duration::from_secs(3));
    for n in 0..2 {
        cluster.submit(&others[0], request_info(&format!("r{n}"), 0));
        assert!(
            cluster.runs.contains_key(format!("r{n}").as_str()),
            "r{n} was not granted immediately"
        );
    }
    assert!(cluster.runs.values().all(|r| r.endpoint == "e2"));
}

/// Returns the instance that owns the only slot.
fn owner(cluster: &Cluster) -> oxbowbend_core::ids::InstanceId {
    let owns = |id: &oxbowbend_core::ids::InstanceId| cluster.node(id).permits().owned() > 0;
    cluster.ids().into_iter().find(owns).expect("some instance owns the slot")
}

/// The run of an ingress instance that fails together with the owner continues at the endpoint,
/// and its slot must not be granted again before it ends.
#[test]
fn an_orphaned_run_keeps_its_slot_after_its_owner_dies() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 1)], None));
    cluster.run_duration = Duration::from_secs(30);
    let owner = owner(&cluster);
    cluster.submit(&owner, request_info("orphan", 0));
    assert!(cluster.runs.contains_key("orphan"));
    cluster.crash(&owner);
    cluster.remove_from_list(&owner);
    let other =
        cluster.ids().into_iter().find(|id| *id != owner).expect("there are three instances");
    cluster.submit(&other, request_info("next", 0));
    cluster.advance(Duration::from_secs(25));
    assert!(!cluster.runs.contains_key("next"));
    cluster.advance(Duration::from_secs(45));
    assert_eq!(cluster.outcomes["next"], RequestOutcome::Completed);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// The new owner must learn of a run that another instance started on the failed owner's permit.
#[test]
fn a_slot_in_use_passes_to_the_new_owner() {
    let mut cluster = Cluster::new(&INSTANCES, topology(&[("e1", 1)], None));
    cluster.run_duration = Duration::from_secs(20);
    let owner = owner(&cluster);
    let ingress =
        cluster.ids().into_iter().find(|id| *id != owner).expect("there are three instances");
    cluster.submit(&ingress, request_info("long", 0));
    assert!(cluster.runs.contains_key("long"));
    cluster.crash(&owner);
    cluster.remove_from_list(&owner);
    cluster.advance(Duration::from_secs(10));
    let uses =
        |id: &oxbowbend_core::ids::InstanceId| cluster.node(id).permits().reservations().count();
    assert_eq!(cluster.ids().iter().filter(|id| **id != owner).map(uses).sum::<usize>(), 1);
    cluster.advance(Duration::from_secs(11));
    assert_eq!(cluster.free_permits().values().sum::<u32>(), 1);
    assert_eq!(cluster.violations, Vec::<String>::new());
}

/// A joining instance must not be given permits in use, and every permit must have one owner
/// afterwards.
#[test]
fn a_joining_instance_takes_nothing_that_is_in_use() {
    let mut cluster = Cluster::new(&["a", "b"], topology(&[("e1", 20)], None));
    cluster.run_duration = Duration::from_secs(8);
    for n in 0..20 {
        cluster.submit(["a", "b"][n % 2], request_info(&format!("r{n}"), 0));
    }
    assert_eq!(cluster.runs.len(), 20);
    cluster.join("c");
    cluster.advance(Duration::from_secs(5));
    let owned = |name: &str| cluster.node(name).permits().owned();
    assert_eq!(owned("a") + owned("b"), 20);
    for n in 0..20 {
        cluster.submit("c", request_info(&format!("s{n}"), 0));
    }
    cluster.advance(Duration::from_secs(20));
    assert_eq!(cluster.free_permits().values().sum::<u32>(), 20);
    assert_eq!(cluster.violations, Vec::<String>::new());
}
