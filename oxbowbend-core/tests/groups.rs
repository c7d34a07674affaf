//! How a fleet is split into cells.

use std::collections::{BTreeMap, BTreeSet};

use oxbowbend_core::cell::{Group, MAX_CELL};
use oxbowbend_core::ids::{InstanceId, ZoneId};
use oxbowbend_core::routes::Endpoint;

fn members(n: usize) -> BTreeMap<InstanceId, ZoneId> {
    (0..n)
        .map(|i| (format!("i{i}").as_str().into(), format!("z{}", i % 3).as_str().into()))
        .collect()
}

fn endpoints(service: &str, n: usize) -> Vec<Endpoint> {
    let endpoint = |i: usize| Endpoint {
        id: format!("{service}{i}").as_str().into(),
        service: service.into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: format!("z{}", i % 3).as_str().into(),
        slots: 4,
        leaving: false,
        started_at_ms: 0,
        version: "".into(),
    };
    (0..n).map(endpoint).collect()
}

#[test]
fn a_small_fleet_is_one_cell() {
    let members = members(MAX_CELL);
    let endpoints = endpoints("a", 7);
    for me in members.keys() {
        let group = Group::of(me, &members, &endpoints, MAX_CELL);
        assert_eq!((group.cells, group.peers.len(), group.endpoints.len()), (1, 11, 7));
    }
}

#[test]
fn every_endpoint_belongs_to_one_cell_of_equal_size() {
    let members = members(89);
    let endpoints = endpoints("a", 90);
    let mut cells: BTreeMap<BTreeSet<InstanceId>, BTreeSet<_>> = BTreeMap::new();
    for me in members.keys() {
        let group = Group::of(me, &members, &endpoints, MAX_CELL);
        let mut all = group.peers.clone();
        all.insert(me.clone());
        let ids: BTreeSet<_> = group.endpoints.iter().map(|e| e.id.clone()).collect();
        let of_cell = cells.entry(all).or_insert_with(|| ids.clone());
        assert_eq!(*of_cell, ids, "all instances of a cell see the same endpoints");
    }
    assert_eq!(cells.len(), 8);
    assert!(cells.keys().all(|c| (9..=13).contains(&c.len())));
    assert!(cells.values().all(|e| (9..=13).contains(&e.len())));
    assert_eq!(cells.values().map(BTreeSet::len).sum::<usize>(), 90);
}

#[test]
fn a_service_with_few_endpoints_is_shared() {
    let members = members(89);
    let endpoints = endpoints("b", 4);
    for me in members.keys() {
        assert_eq!(Group::of(me, &members, &endpoints, MAX_CELL).endpoints.len(), 4);
    }
}

#[test]
fn one_that_leaves_moves_few_others() {
    let before = members(89);
    let endpoints = endpoints("a", 90);
    let mut after = before.clone();
    after.remove("i40");
    let cell = |members, me| Group::of(me, members, &endpoints, MAX_CELL).endpoints[0].id.clone();
    let moved = after.keys().filter(|me| cell(&before, me) != cell(&after, me)).count();
    assert!(moved <= 8, "{moved} instances moved");
}

/// A crash of a quarter of the endpoints and their return under other names moved half of the others to
/// other cells, which did not know what ran there (kalemdar-tutanak-grown scale-1).
#[test]
fn an_endpoint_that_leaves_moves_few_others() {
    let members = members(89);
    let before = endpoints("a", 90);
    let cells_of = |endpoints: &[Endpoint]| {
        let mut cell_of = BTreeMap::new();
        for me in members.keys() {
            let group = Group::of(me, &members, endpoints, MAX_CELL);
            let mut all = group.peers.clone();
            all.insert(me.clone());
            cell_of.extend(group.endpoints.into_iter().map(|e| (e.id, all.clone())));
        }
        cell_of
    };
    let old = cells_of(&before);
    let moved = |endpoints: &[Endpoint]| {
        let new = cells_of(endpoints);
        new.iter().filter(|(id, cell)| old.get(*id).is_some_and(|old| old != *cell)).count()
    };
    let without = |n: usize| before.iter().skip(n).cloned().collect::<Vec<_>>();
    assert!(moved(&without(1)) <= 2, "{} moved for one", moved(&without(1)));
    let mut replaced = without(22);
    let again = endpoints("b", 22).into_iter().map(|e| Endpoint { service: "a".into(), ..e });
    replaced.extend(again);
    assert!(moved(&replaced) <= 20, "{} of 68 moved for 22", moved(&replaced));
}
