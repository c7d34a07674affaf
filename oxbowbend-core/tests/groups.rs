//! Division of a fleet into cells.

use std::collections::{BTreeMap, BTreeSet};

use oxbowbend_core::cell::{CellLayout, DEFAULT_MAX_CELL_SIZE};
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
    let members = members(DEFAULT_MAX_CELL_SIZE);
    let endpoints = endpoints("a", 7);
    for me in members.keys() {
        let layout = CellLayout::compute(me, &members, &endpoints, DEFAULT_MAX_CELL_SIZE);
        assert_eq!((layout.cell_count, layout.peers.len(), layout.endpoints.len()), (1, 11, 7));
    }
}

#[test]
fn every_endpoint_belongs_to_one_cell_of_equal_size() {
    let members = members(89);
    let endpoints = endpoints("a", 90);
    let mut cells: BTreeMap<BTreeSet<InstanceId>, BTreeSet<_>> = BTreeMap::new();
    for me in members.keys() {
        let layout = CellLayout::compute(me, &members, &endpoints, DEFAULT_MAX_CELL_SIZE);
        let mut all = layout.peers.clone();
        all.insert(me.clone());
        let ids: BTreeSet<_> = layout.endpoints.iter().map(|e| e.id.clone()).collect();
        let expected = cells.entry(all).or_insert_with(|| ids.clone());
        assert_eq!(*expected, ids, "instances of one cell have different endpoints");
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
        assert_eq!(
            CellLayout::compute(me, &members, &endpoints, DEFAULT_MAX_CELL_SIZE).endpoints.len(),
            4
        );
    }
}

#[test]
fn removing_an_instance_moves_few_others() {
    let before = members(89);
    let endpoints = endpoints("a", 90);
    let mut after = before.clone();
    after.remove("i40");
    let cell = |members, me| {
        CellLayout::compute(me, members, &endpoints, DEFAULT_MAX_CELL_SIZE).endpoints[0].id.clone()
    };
    let moved = after.keys().filter(|me| cell(&before, me) != cell(&after, me)).count();
    assert!(moved <= 8, "{moved} instances moved");
}

/// Endpoints that moved to another cell when others were replaced still ran requests unknown to
/// that cell.
#[test]
fn removing_endpoints_moves_few_others() {
    let members = members(89);
    let before = endpoints("a", 90);
    let cells_of = |endpoints: &[Endpoint]| {
        let mut cell_of = BTreeMap::new();
        for me in members.keys() {
            let layout = CellLayout::compute(me, &members, endpoints, DEFAULT_MAX_CELL_SIZE);
            let mut all = layout.peers.clone();
            all.insert(me.clone());
            cell_of.extend(layout.endpoints.into_iter().map(|e| (e.id, all.clone())));
        }
        cell_of
    };
    let old = cells_of(&before);
    let moved = |endpoints: &[Endpoint]| {
        let new = cells_of(endpoints);
        new.iter().filter(|(id, cell)| old.get(*id).is_some_and(|old| old != *cell)).count()
    };
    let without = |n: usize| before.iter().skip(n).cloned().collect::<Vec<_>>();
    assert!(moved(&without(1)) <= 2, "{} endpoints moved when 1 was removed", moved(&without(1)));
    let mut replaced = without(22);
    let replacements =
        endpoints("b", 22).into_iter().map(|e| Endpoint { service: "a".into(), ..e });
    replaced.extend(replacements);
    assert!(
        moved(&replaced) <= 20,
        "{} of 68 endpoints moved when 22 were replaced",
        moved(&replaced)
    );
}
