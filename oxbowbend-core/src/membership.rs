//! Instance membership, and the choice of an instance for a job.
//!
//! The platform's list is eventually consistent and answers two different questions: which
//! instances may still act (a safety property, decided by the newest known list and never by local
//! suspicion), and which instance should act (a hint, decided by the list without unresponsive
//! instances). Jobs are assigned by rendezvous hashing, which needs no state and moves only the
//! jobs of a changed member.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// An instance in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Availability zone of the instance.
    pub zone: ids::ZoneId,
    /// Address (`ip:port`) for other instances.
    pub address: String,
    /// Whether the instance is leaving: it finishes its running work and takes no more.
    pub leaving: bool,
}

/// A version of the platform's list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct InstanceList {
    /// Version of the list; only increases.
    pub version: ids::InstanceListVersion,
    /// Live and leaving instances.
    pub members: BTreeMap<ids::InstanceId, Member>,
}

/// Scores `member` for the job named by `key`; the highest score wins.
///
/// ```
/// use oxbowbend_core::membership::score;
/// assert_eq!(score("a", "job"), score("a", "job"));
/// assert_ne!(score("a", "job"), score("b", "job"));
/// ```
pub fn score(member: &str, key: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), xxh3::xxh3_64(member.as_bytes()))
}

/// Returns the member with the highest score for `key`.
///
/// ```
/// use oxbowbend_core::membership::pick;
/// let members = ["a", "b", "c"];
/// let first = pick(members.into_iter(), "job").unwrap();
/// // Removing a member that was not chosen does not change the result.
/// let rest = members.into_iter().filter(|m| *m == first || *m == "a");
/// assert_eq!(pick(rest, "job"), Some(first));
/// ```
pub fn pick<'a>(members: impl Iterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    members.max_by_key(|m| (score(m, key), *m))
}

/// Candidates with precomputed hashes, to rank them for many keys.
#[derive(Debug)]
pub struct Ranking<'a> {
    members: Vec<(u64, &'a ids::InstanceId)>,
}

impl<'a> Ranking<'a> {
    /// Creates a ranking of `members`.
    pub fn new(members: impl Iterator<Item = &'a ids::InstanceId>) -> Ranking<'a> {
        Ranking { members: members.map(|m| (xxh3::xxh3_64(m.as_bytes()), m)).collect() }
    }

    /// Returns the first-ranked member for the `index`th job called `name`.
    pub fn pick(&self, name: &str, index: u32) -> Option<&'a ids::InstanceId> {
        let key = xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(index));
        let best = self.members.iter().max_by_key(|(hash, id)| (mix(hash ^ key), *id))?;
        Some(best.1)
    }
}

/// The splitmix64 finaliser, which spreads the difference of two hashes over all bits.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// An instance's view of the other instances.
///
/// ```
/// use oxbowbend_core::membership::{InstanceList, Membership};
/// let mut members = Membership::new("a".into());
/// let newer = InstanceList { version: 2, ..InstanceList::default() };
/// assert!(members.adopt(&newer));
/// assert!(!members.adopt(&InstanceList { version: 1, ..InstanceList::default() }));
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    local_id: ids::InstanceId,
    list: InstanceList,
    suspects: BTreeSet<ids::InstanceId>,
}

impl Membership {
    /// Creates an empty view for instance `local_id`.
    pub fn new(local_id: ids::InstanceId) -> Membership {
        Membership { local_id, list: InstanceList::default(), suspects: BTreeSet::new() }
    }

    /// Replaces the list if `list` is newer. Returns whether it was.
    pub fn adopt(&mut self, list: &InstanceList) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        self.list = list.clone();
        self.suspects.retain(|id| list.members.contains_key(id));
        true
    }

    /// Returns the newest known list.
    pub fn list(&self) -> &InstanceList {
        &self.list
    }

    /// Whether `id` is in the newest known list, leaving or not.
    pub fn contains(&self, id: &str) -> bool {
        self.list.members.contains_key(id)
    }

    /// Marks `id` as unresponsive. Returns whether it was not already.
    pub fn suspect(&mut self, id: &ids::InstanceId) -> bool {
        *id != self.local_id && self.suspects.insert(id.clone())
    }

    /// Marks `id` as responsive. Returns whether it was suspected.
    pub fn trust(&mut self, id: &str) -> bool {
        self.suspects.remove(id)
    }

    /// Instances that are marked as unresponsive.
    pub fn suspects(&self) -> impl Iterator<Item = &ids::InstanceId> {
        self.suspects.iter()
    }

    /// Marks a listed instance as leaving before the list says so. Returns whether it was not
    /// already.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        match self.list.members.get_mut(id) {
            Some(m) if !m.leaving => {
                m.leaving = true;
                true
            }
            _ => false,
        }
    }

    /// All listed instances except this one.
    pub fn others(&self) -> impl Iterator<Item = &ids::InstanceId> {
        self.list.members.keys().filter(move |id| **id != self.local_id)
    }

    /// Instances in the given zones that are not leaving; an empty set means all zones.
    pub fn owners<'a>(
        &'a self,
        zones: &'a BTreeSet<ids::ZoneId>,
    ) -> impl Iterator<Item = &'a ids::InstanceId> + 'a {
        let inside = move |m: &Member| zones.is_empty() || zones.contains(&m.zone);
        self.list.members.iter().filter(move |(_, m)| !m.leaving && inside(m)).map(|(id, _)| id)
    }

    /// Returns the responsive instance that should do the job `key`.
    pub fn preferred(&self, zones: &BTreeSet<ids::ZoneId>, key: &str) -> Option<ids::InstanceId> {
        let answering = self.owners(zones).filter(|id| !self.suspects.contains(*id));
        let chosen = pick(answering.map(|id| &**id), key)?;
        self.list.members.get_key_value(chosen).map(|(id, _)| id.clone())
    }

    /// Returns the address of a listed instance.
    pub fn address(&self, id: &str) -> Option<&str> {
        self.list.members.get(id).map(|m| m.address.as_str())
    }
}
