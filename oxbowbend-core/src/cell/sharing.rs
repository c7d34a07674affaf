//! The instances that share what an endpoint allows all of them together.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{EndpointKey, InstanceId};

/// Set of instances that share the limit of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// The instances of this cell.
    Cell,
    /// All instances of the fleet.
    Fleet,
}

/// The instances of the cell and of the fleet, in an order that differs by endpoint and that all of
/// them compute alike.
#[derive(Clone, Debug, Default)]
pub(super) struct SharingInstances {
    own_hash: u64,
    /// Hashes of the names of all instances of the cell and of the fleet.
    cell_hashes: Vec<u64>,
    fleet_hashes: Vec<u64>,
    /// Incremented whenever the instances change.
    generation: u64,
}

impl SharingInstances {
    pub(super) fn new(me: &InstanceId) -> SharingInstances {
        let own_hash = xxh3_64(me.as_bytes());
        SharingInstances {
            own_hash,
            cell_hashes: vec![own_hash],
            fleet_hashes: vec![own_hash],
            generation: 0,
        }
    }

    /// Sets the instances.
    pub(super) fn set<'a>(
        &mut self,
        cell: impl Iterator<Item = &'a InstanceId>,
        fleet: impl Iterator<Item = &'a InstanceId>,
    ) {
        let hash = |name: &InstanceId| xxh3_64(name.as_bytes());
        (self.cell_hashes, self.fleet_hashes) =
            (cell.map(hash).collect(), fleet.map(hash).collect());
        self.generation += 1;
    }

    /// Number that changes with the instances.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of instances that share an endpoint.
    pub(super) fn count(&self, scope: Scope) -> usize {
        self.instances(scope).len()
    }

    /// Number of instances before this one in the order of an endpoint.
    pub(super) fn rank(&self, endpoint: EndpointKey, scope: Scope) -> usize {
        let own_order = self.own_order(endpoint);
        let instances = self.instances(scope).iter();
        instances.filter(|name| order(**name, endpoint) < own_order).count()
    }

    /// Place of this instance in the order of an endpoint, as a hash.
    pub(super) fn own_order(&self, endpoint: EndpointKey) -> u64 {
        order(self.own_hash, endpoint)
    }

    fn instances(&self, scope: Scope) -> &[u64] {
        match scope {
            Scope::Cell => &self.cell_hashes,
            Scope::Fleet => &self.fleet_hashes,
        }
    }
}

fn order(name: u64, endpoint: EndpointKey) -> u64 {
    xxh3_64_with_seed(&name.to_le_bytes(), endpoint.into())
}
