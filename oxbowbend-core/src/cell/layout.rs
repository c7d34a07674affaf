//! Which instances form a cell, and with which endpoints.
//!
//! Up to [`DEFAULT_MAX_CELL_SIZE`] instances are one cell with all endpoints. A larger fleet is split into cells of
//! about that size: each gets an equal part of every availability zone's instances, and of every
//! service's endpoints there. All instances work this out alike from the list of instances; while
//! their lists differ, an endpoint may belong to two cells, and queues what both send.
//!
//! Members are ordered by a hash of their names and cut into equal parts; endpoints are dealt out to the
//! cell that each prefers and that has room. So one that joins or leaves moves few others. What was traded: a cell whose callers send more than others' has no way
//! to the others' endpoints.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{InstanceId, ServiceId, ZoneId};
use crate::routes::Endpoint;

/// Instances of a cell at most if nothing else is set. Reports grow with its square: at 12 instances
/// with ten requests a second each they take 0.5% of a core.
pub const DEFAULT_MAX_CELL_SIZE: usize = 12;
/// Endpoints of a service for each cell below which all cells share the service.
const MIN_ENDPOINTS_PER_CELL: usize = 2;

/// The cell of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellLayout {
    /// Its other instances.
    pub peers: BTreeSet<InstanceId>,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
    /// How many cells there are.
    pub cell_count: usize,
    /// Which of them this is, from 0.
    pub cell_index: usize,
    /// Services whose endpoints belong to all cells.
    pub shared_services: BTreeSet<ServiceId>,
}

impl CellLayout {
    /// The cell of instance `me` in a fleet that is split into cells of `size` instances at most.
    pub fn compute(
        local_id: &InstanceId,
        members: &BTreeMap<InstanceId, ZoneId>,
        endpoints: &[Endpoint],
        max_size: usize,
    ) -> CellLayout {
        let cell_count = members.len().div_ceil(max_size.max(1)).max(1);
        let mut cell_of = BTreeMap::new();
        for names in members_by_zone(members).values() {
            for (position, name) in names.iter().enumerate() {
                cell_of.insert(*name, position * cell_count / names.len());
            }
        }
        let cell_index = cell_of.get(local_id).copied().unwrap_or(0);
        let peers =
            cell_of.iter().filter(|(name, cell)| **cell == cell_index && **name != local_id);
        let shared_services = find_shared_services(cell_count, endpoints);
        CellLayout {
            peers: peers.map(|(name, _)| (*name).clone()).collect(),
            endpoints: endpoints_of_cell(cell_index, cell_count, endpoints, &shared_services),
            cell_count,
            cell_index,
            shared_services,
        }
    }
}

/// Services with too few endpoints to be dealt out.
fn find_shared_services(cell_count: usize, endpoints: &[Endpoint]) -> BTreeSet<ServiceId> {
    let mut services: BTreeMap<&ServiceId, usize> = BTreeMap::new();
    for endpoint in endpoints {
        *services.entry(&endpoint.service).or_default() += 1;
    }
    let few = services.into_iter().filter(|(_, n)| *n < cell_count * MIN_ENDPOINTS_PER_CELL);
    few.map(|(service, _)| service.clone()).collect()
}

fn endpoints_of_cell(
    cell_index: usize,
    cell_count: usize,
    endpoints: &[Endpoint],
    shared_services: &BTreeSet<ServiceId>,
) -> Vec<Endpoint> {
    let mut by_zone: BTreeMap<_, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in endpoints {
        by_zone.entry((&endpoint.service, &endpoint.zone)).or_default().push(endpoint);
    }
    let mut own = Vec::new();
    for ((service, zone), group) in by_zone {
        if shared_services.contains(service) {
            own.extend(group.into_iter().cloned());
            continue;
        }
        own.extend(
            distribute(cell_count, zone, group)
                .into_iter()
                .filter(|(_, cell)| *cell == cell_index)
                .map(|(e, _)| e.clone()),
        );
    }
    own
}

/// Deals endpoints out to cells in equal parts. Each endpoint ranks the cells by a hash and goes to the
/// first one that has room, so that one that comes or goes moves few others: what runs at an endpoint
/// that changes its cell is not known to the new one.
fn distribute<'a>(
    cell_count: usize,
    zone: &ZoneId,
    mut endpoints: Vec<&'a Endpoint>,
) -> Vec<(&'a Endpoint, usize)> {
    let (base, extra) = (endpoints.len() / cell_count, endpoints.len() % cell_count);
    // Cells that get one more, other ones in each zone.
    let mut order: Vec<usize> = (0..cell_count).collect();
    order.sort_by_key(|cell| cell_hash(zone, *cell));
    let mut room = vec![base; cell_count];
    order.iter().take(extra).for_each(|cell| room[*cell] += 1);
    endpoints.sort_by_key(|e| xxh3_64(e.id.as_bytes()));
    let mut assigned = Vec::with_capacity(endpoints.len());
    for endpoint in endpoints {
        let candidates = (0..cell_count).filter(|cell| room[*cell] > 0);
        let Some(cell) = candidates.min_by_key(|cell| cell_hash(&endpoint.id, *cell)) else {
            continue;
        };
        room[cell] -= 1;
        assigned.push((endpoint, cell));
    }
    assigned
}

fn cell_hash(name: &str, cell: usize) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), cell as u64)
}

/// Members by availability zone, each ordered by a hash.
fn members_by_zone(members: &BTreeMap<InstanceId, ZoneId>) -> BTreeMap<&ZoneId, Vec<&InstanceId>> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (name, zone) in members {
        zones.entry(zone).or_default().push(name);
    }
    for names in zones.values_mut() {
        names.sort_by_key(|name| xxh3_64(name.as_bytes()));
    }
    zones
}
