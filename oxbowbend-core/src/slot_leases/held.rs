//! The leases that this instance holds.
//!
//! Renewals are not acknowledged. A lease is renewed at the owner that granted it until that one
//! answers that it is not the owner. While that owner is skipped because it did not answer a
//! request, the first live candidate gets the renewals too: it may be the next owner, or the answer
//! was lost.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{Ownerships, SlotGroup, RENEWAL_INTERVAL};
use crate::ids::{EndpointKey, InstanceId};

/// A lease that this instance holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Number of the request that uses it.
    pub request: u64,
    /// The slots that it belongs to.
    pub group: SlotGroup,
    /// Where it is renewed and released.
    pub owner: InstanceId,
    /// The endpoint.
    pub endpoint: EndpointKey,
}

/// A renewal to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueRenewal {
    /// The owner to tell.
    pub owner: InstanceId,
    /// The slots.
    pub group: SlotGroup,
    /// Number of the request and endpoint of each lease.
    pub leases: Vec<(u64, EndpointKey)>,
}

/// The leases that this instance holds, with the times of their renewals.
///
/// ```
/// use std::time::Instant;
///
/// use oxbowbend_core::slot_leases::{
///     HeldLease, HeldLeases, Ownerships, SlotGroup, RENEWAL_INTERVAL,
/// };
///
/// let now = Instant::now();
/// let group = SlotGroup { service: "s".into(), zone: "z".into() };
/// let mut held = HeldLeases::default();
/// held.insert(now, HeldLease { request: 1, group, owner: "i".into(), endpoint: 7 });
/// assert!(held.take_due(now, &Ownerships::new()).is_empty());
/// let due = held.take_due(now + RENEWAL_INTERVAL, &Ownerships::new());
/// assert_eq!(due[0].leases, [(1, 7)]);
/// assert_eq!(held.next_due(), Some(now + 2 * RENEWAL_INTERVAL));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeldLeases {
    leases: BTreeMap<u64, RenewedLease>,
}

#[derive(Clone, Debug)]
struct RenewedLease {
    lease: HeldLease,
    due_at: Instant,
    /// When it last moved to another owner.
    moved_at: Option<Instant>,
}

impl HeldLeases {
    /// Adds a lease that was granted now.
    pub fn insert(&mut self, now: Instant, lease: HeldLease) {
        let due_at = now + RENEWAL_INTERVAL;
        self.leases.insert(lease.request, RenewedLease { lease, due_at, moved_at: None });
    }

    /// Returns the lease of a request. A grant of the same owner for it is a repeated one and must
    /// not be released.
    pub fn get(&self, request: u64) -> Option<&HeldLease> {
        self.leases.get(&request).map(|renewed| &renewed.lease)
    }

    /// Removes the lease of a request that has ended, so that it can be released at its owner.
    pub fn remove(&mut self, request: u64) -> Option<HeldLease> {
        self.leases.remove(&request).map(|renewed| renewed.lease)
    }

    /// Handles the answer [`super::DenialReason::NotOwner`] of `owner` to a renewal: the lease is
    /// renewed with another owner, at once unless it has just moved there. Two instances that both
    /// are not the owner yet would otherwise send it back and forth without a pause.
    pub fn not_owner(
        &mut self,
        now: Instant,
        request: u64,
        owner: &InstanceId,
        owners: &Ownerships,
    ) {
        let Some(renewed) = self.leases.get_mut(&request) else { return };
        if renewed.lease.owner != *owner {
            return;
        }
        let Some(next) = next_owner(now, &renewed.lease, owners) else { return };
        renewed.lease.owner = next;
        let moved_at = renewed.moved_at.replace(now);
        if moved_at.is_none_or(|at| now >= at + RENEWAL_INTERVAL) {
            renewed.due_at = now;
        }
    }

    /// Returns the renewals that are due. A lease that is due takes the others of its owner along,
    /// which saves messages.
    pub fn take_due(&mut self, now: Instant, owners: &Ownerships) -> Vec<DueRenewal> {
        let due = self.leases.values().filter(|renewed| renewed.due_at <= now);
        let targets: BTreeMap<_, _> =
            due.map(|renewed| (renewed.lease.target(), Vec::new())).collect();
        let mut renewals = targets;
        for renewed in self.leases.values_mut() {
            let Some(leases) = renewals.get_mut(&renewed.lease.target()) else { continue };
            leases.push((renewed.lease.request, renewed.lease.endpoint));
            renewed.due_at = now + RENEWAL_INTERVAL;
        }
        let renewals = renewals.into_iter().flat_map(|((group, owner), leases)| {
            let other = other_owner(now, &group, &owner, owners);
            let renewal =
                |owner| DueRenewal { owner, group: group.clone(), leases: leases.clone() };
            std::iter::once(owner).chain(other).map(renewal).collect::<Vec<_>>()
        });
        renewals.collect()
    }

    /// Returns when the next renewal is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.leases.values().map(|renewed| renewed.due_at).min()
    }

    /// Returns the number of leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}

impl HeldLease {
    fn target(&self) -> (SlotGroup, InstanceId) {
        (self.group.clone(), self.owner.clone())
    }
}

/// Returns who is the owner if the lease's owner is not: the first live candidate, or the first one
/// that is not the lease's owner.
fn next_owner(now: Instant, lease: &HeldLease, owners: &Ownerships) -> Option<InstanceId> {
    let ownership = owners.get(&lease.group)?;
    let first_live = ownership.first_live(now).filter(|name| **name != lease.owner);
    let other = || ownership.candidates().iter().find(|name| **name != lease.owner);
    first_live.or_else(other).cloned()
}

/// Returns who gets renewals besides the owner of a lease.
fn other_owner(
    now: Instant,
    group: &SlotGroup,
    owner: &InstanceId,
    owners: &Ownerships,
) -> Option<InstanceId> {
    let ownership = owners.get(group)?;
    let is_skipped = ownership.is_skipped(now, owner);
    ownership.first_live(now).filter(|other| is_skipped && *other != owner).cloned()
}
