//! Division of a fleet into cells.
//!
//! A fleet of up to [`DEFAULT_MAX_CELL_SIZE`] instances is one cell with all endpoints. A larger
//! fleet is split into cells of about that size. An availability zone that has more instances than a
//! cell is split by itself, and a cell gets an equal part of the endpoints of its zone:
//! instances of a cell report to each other up to 200 times a second, and these bytes then stay in the
//! zone. Each cell also gets an equal part of the instances and endpoints of all smaller zones. All
//! instances compute the same layout from the same list of instances; while their lists differ, an
//! endpoint may belong to two cells and then queues requests from both.
//!
//! Instances and endpoints go to the cell that ranks highest for them and has room, so that one that
//! joins or leaves, and a cell that is added or removed, moves few others: the new cell of an endpoint
//! has to be told what already runs there ([`super::moves`]). Cells are numbered by zone, so that a zone
//! that gets one more leaves the others as they are. Endpoints of a service that has too few of them for
//! the cells of some zone are distributed among all cells. A service with too few endpoints for all cells
//! is shared by them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{EndpointKey, InstanceId, ServiceId, ZoneId};
use crate::routes::Endpoint;

/// The instances of each other cell with their availability zones, by number of the cell.
pub type OtherCells = BTreeMap<usize, BTreeMap<InstanceId, ZoneId>>;

/// Default maximum number of instances in a cell. Report traffic grows with its square: 12 instances
/// with ten requests a second each spend 0.5% of a core on it.
pub const DEFAULT_MAX_CELL_SIZE: usize = 12;
/// Numbers of cells that are kept for each zone, more than any zone has, so that a zone that gets one more
/// cell leaves the numbers of the others as they are.
const CELLS_PER_ZONE: u64 = 1 << 10;
/// Zones that can have numbers of their own. They are chosen by a hash, since zones come and go.
const NUMBERED_ZONES: u64 = 1 << 20;
/// Endpoints per cell below which a service is shared by all cells.
const MIN_ENDPOINTS_PER_CELL: usize = 2;

/// The cell of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellLayout {
    /// The other instances of the cell.
    pub peers: BTreeSet<InstanceId>,
    /// The cell's endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Number of cells in the fleet.
    pub cell_count: usize,
    /// Number of this cell; the numbers of a fleet's cells are not consecutive.
    pub cell_index: usize,
    /// Services whose endpoints are shared by all cells.
    pub shared_services: BTreeSet<ServiceId>,
    /// The instances of the other cells.
    pub other_cells: OtherCells,
    /// The cells of the endpoints of other cells.
    pub other_endpoints: HashMap<EndpointKey, usize>,
}

impl CellLayout {
    /// Computes the cell of instance `local_id` in a fleet split into cells of at most `max_size`
    /// instances.
    pub fn compute(
        local_id: &InstanceId,
        members: &BTreeMap<InstanceId, ZoneId>,
        endpoints: &[Endpoint],
        max_size: usize,
    ) -> CellLayout {
        let zones = members_by_zone(members);
        let cells = CellsByZone::of(&zones, members.len(), max_size.max(1));
        let mut cell_of = BTreeMap::new();
        for (zone, names) in &zones {
            let among = Among { cells: cells.of_zone(zone), taken: &BTreeMap::new() };
            cell_of.extend(distribute(among, zone, names.clone(), |name| name));
        }
        let cell_index = cell_of.get(local_id).copied().unwrap_or(0);
        let peers =
            cell_of.iter().filter(|(name, cell)| **cell == cell_index && **name != local_id);
        let shared_services = find_shared_services(cells.count, endpoints);
        let (own, others) = cells_of_endpoints(&cells, endpoints, &shared_services)
            .into_iter()
            .partition::<Vec<_>, _>(|(_, cell)| cell.is_none_or(|cell| cell == cell_index));
        CellLayout {
            peers: peers.map(|(name, _)| (*name).clone()).collect(),
            endpoints: own.into_iter().map(|(endpoint, _)| endpoint.clone()).collect(),
            cell_count: cells.count,
            cell_index,
            shared_services,
            other_cells: other_cells(cell_index, &cell_of, members),
            other_endpoints: others
                .into_iter()
                .filter_map(|(endpoint, cell)| Some((endpoint.key(), cell?)))
                .collect(),
        }
    }

    /// The instances of the other cells to which these endpoints belong.
    pub fn owners<'a>(
        &'a self,
        endpoints: impl Iterator<Item = EndpointKey> + 'a,
    ) -> impl Iterator<Item = &'a InstanceId> + 'a {
        let cells: BTreeSet<_> =
            endpoints.filter_map(|key| self.other_endpoints.get(&key).copied()).collect();
        let instances = cells.into_iter().filter_map(|cell| self.other_cells.get(&cell));
        instances.flat_map(|cell| cell.keys())
    }
}

/// The cells of each zone.
struct CellsByZone<'a> {
    /// Number of cells in the fleet.
    count: usize,
    /// The cells of the instances and endpoints of each zone. Empty if cells span all zones.
    zones: BTreeMap<&'a ZoneId, Range<usize>>,
}

impl<'a> CellsByZone<'a> {
    /// Divides each zone that fills more than one cell into cells of its own, so that frequent reports stay
    /// within the zone. The instances of other zones are distributed among all of these, which are made
    /// smaller for it: a zone that grows past the size of a cell, or shrinks below it, then moves its own
    /// instances and endpoints only.
    fn of(
        members: &BTreeMap<&'a ZoneId, Vec<&InstanceId>>,
        member_count: usize,
        max_size: usize,
    ) -> CellsByZone<'a> {
        let large = || members.iter().filter(|(_, names)| names.len() > max_size);
        let in_large: usize = large().map(|(_, names)| names.len()).sum();
        if in_large == 0 {
            let count = member_count.div_ceil(max_size).max(1);
            return CellsByZone { count, zones: BTreeMap::new() };
        }
        let mut count = 0;
        let zones = large().map(|(zone, names)| {
            let first = first_number(zone);
            let of_zone = (names.len() * member_count).div_ceil(in_large * max_size);
            count += of_zone;
            (*zone, first..first + of_zone)
        });
        let zones = zones.collect();
        CellsByZone { count, zones }
    }

    /// Whether the endpoints of a service, counted by zone, suffice for the cells of each zone. If not,
    /// they are distributed among all cells.
    fn suffices(&self, by_zone: &BTreeMap<&ZoneId, usize>) -> bool {
        let has_enough = |(zone, range): (&&ZoneId, &Range<usize>)| {
            by_zone.get(*zone).is_some_and(|n| *n >= range.len() * MIN_ENDPOINTS_PER_CELL)
        };
        self.zones.iter().all(has_enough)
    }

    /// The cells that have the instances and endpoints of a zone: all cells, if the zone has none of
    /// its own.
    fn of_zone(&self, zone: &ZoneId) -> Vec<usize> {
        self.zones.get(zone).map_or_else(|| self.all(), |range| range.clone().collect())
    }

    /// All cells of the fleet.
    fn all(&self) -> Vec<usize> {
        match self.zones.is_empty() {
            true => (0..self.count).collect(),
            false => self.zones.values().cloned().flatten().collect(),
        }
    }
}

/// Number of endpoints of each service in each zone.
fn count_by_zone(endpoints: &[Endpoint]) -> BTreeMap<&ServiceId, BTreeMap<&ZoneId, usize>> {
    let mut counts: BTreeMap<_, BTreeMap<_, usize>> = BTreeMap::new();
    for endpoint in endpoints {
        *counts.entry(&endpoint.service).or_default().entry(&endpoint.zone).or_default() += 1;
    }
    counts
}

/// The instances of all cells but `cell_index`.
fn other_cells(
    cell_index: usize,
    cell_of: &BTreeMap<&InstanceId, usize>,
    members: &BTreeMap<InstanceId, ZoneId>,
) -> OtherCells {
    let mut cells = OtherCells::new();
    for (name, zone) in members {
        let Some(cell) = cell_of.get(name).filter(|cell| **cell != cell_index) else { continue };
        cells.entry(*cell).or_default().insert(name.clone(), zone.clone());
    }
    cells
}

/// Services with too few endpoints to be distributed among the cells.
fn find_shared_services(cell_count: usize, endpoints: &[Endpoint]) -> BTreeSet<ServiceId> {
    let is_few = |by_zone: &BTreeMap<&ZoneId, usize>| {
        by_zone.values().sum::<usize>() < cell_count * MIN_ENDPOINTS_PER_CELL
    };
    let counts = count_by_zone(endpoints).into_iter();
    counts.filter(|(_, by_zone)| is_few(by_zone)).map(|(service, _)| service.clone()).collect()
}

/// The cell of each endpoint; `None` if all cells share it.
fn cells_of_endpoints<'a>(
    cells: &CellsByZone<'_>,
    endpoints: &'a [Endpoint],
    shared_services: &BTreeSet<ServiceId>,
) -> Vec<(&'a Endpoint, Option<usize>)> {
    let counts = count_by_zone(endpoints);
    let mut by_zone: BTreeMap<_, Vec<&Endpoint>> = BTreeMap::new();
    for endpoint in endpoints {
        by_zone.entry((&endpoint.service, &endpoint.zone)).or_default().push(endpoint);
    }
    let mut all = Vec::with_capacity(endpoints.len());
    let mut taken: BTreeMap<_, BTreeMap<usize, usize>> = BTreeMap::new();
    for ((service, zone), group) in by_zone {
        if shared_services.contains(service) {
            all.extend(group.into_iter().map(|endpoint| (endpoint, None)));
            continue;
        }
        let taken = taken.entry(service).or_default();
        let cells = match cells.suffices(&counts[service]) {
            true => cells.of_zone(zone),
            false => cells.all(),
        };
        for (endpoint, cell) in distribute(Among { cells, taken }, zone, group, |e| &e.id) {
            *taken.entry(cell).or_default() += 1;
            all.push((endpoint, Some(cell)));
        }
    }
    all
}

/// Cells among which something is distributed, and how much each has of the same from other zones.
struct Among<'a> {
    cells: Vec<usize>,
    taken: &'a BTreeMap<usize, usize>,
}

/// Distributes instances or endpoints of a zone evenly among cells. Each ranks the cells by a hash of its
/// name and goes to the first one with room. Few move when one is added or removed, or a cell: requests
/// running at an endpoint that moves, and those of an instance that moves, have to be told to the new cell.
fn distribute<'a, T: Copy>(
    among: Among<'_>,
    zone: &ZoneId,
    mut items: Vec<T>,
    name: impl Fn(T) -> &'a str,
) -> Vec<(T, usize)> {
    let Among { cells: mut order, taken } = among;
    let (base, extra) = (items.len() / order.len(), items.len() % order.len());
    let mut room: BTreeMap<usize, usize> = order.iter().map(|cell| (*cell, base)).collect();
    // Cells that get one more, chosen by zone among those that have least.
    order.sort_by_key(|cell| (taken.get(cell).copied().unwrap_or(0), cell_hash(zone, *cell)));
    order.into_iter().take(extra).for_each(|cell| *room.entry(cell).or_default() += 1);
    items.sort_by_key(|item| xxh3_64(name(*item).as_bytes()));
    let mut assigned = Vec::with_capacity(items.len());
    for item in items {
        let free = room.iter_mut().filter(|(_, room)| **room > 0);
        let Some((cell, room)) = free.min_by_key(|(cell, _)| cell_hash(name(item), **cell)) else {
            continue;
        };
        *room -= 1;
        assigned.push((item, *cell));
    }
    assigned
}

/// The first number of the cells of a zone.
fn first_number(zone: &ZoneId) -> usize {
    (xxh3_64(zone.as_bytes()) % NUMBERED_ZONES * CELLS_PER_ZONE) as usize
}

fn cell_hash(name: &str, cell: usize) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), cell as u64)
}

/// Members by availability zone, ordered by a hash of their names.
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
