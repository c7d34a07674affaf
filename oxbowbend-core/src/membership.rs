//! Which instances exist, and which of them does a given job.
//!
//! The platform's list lags. It is used for two different questions: who *may still* act (safety,
//! answered by the newest list anyone has shown us, never by our own suspicion) and who *should*
//! act (a hint, answered by the list less those that do not answer). Rendezvous hashing was taken
//! over a hash ring because it needs no state and moves only the share of the member that changed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// One instance in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Availability zone of the instance.
    pub zone: ids::ZoneId,
    /// Address (`ip:port`) at which peers reach it.
    pub address: String,
    /// Whether the instance is leaving: it finishes its work and takes no new share.
    pub leaving: bool,
}

/// A version of the platform's list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct InstanceList {
    /// Version; the platform only ever raises it.
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

/// Picks the member with the highest score for `key`.
///
/// ```
/// use oxbowbend_core::membership::pick;
/// let members = ["a", "b", "c"];
/// let first = pick(members.into_iter(), "job").unwrap();
/// // Taking out a member that was not chosen changes nothing.
/// let rest = members.into_iter().filter(|m| *m == first || *m == "a");
/// assert_eq!(pick(rest, "job"), Some(first));
/// ```
pub fn pick<'a>(members: impl Iterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    members.max_by_key(|m| (score(m, key), *m))
}

/// Candidates hashed once, to rank them for many keys.
#[derive(Debug)]
pub struct Ranking<'a> {
    members: Vec<(u64, &'a ids::InstanceId)>,
}

impl<'a> Ranking<'a> {
    /// Prepares a ranking of `members`.
    pub fn new(members: impl Iterator<Item = &'a ids::InstanceId>) -> Ranking<'a> {
        Ranking { members: members.map(|m| (xxh3::xxh3_64(m.as_bytes()), m)).collect() }
    }

    /// The member that ranks first for the `index`th thing called `name`.
    pub fn pick(&self, name: &str, index: u32) -> Option<&'a ids::InstanceId> {
        let key = xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(index));
        let best = self.members.iter().max_by_key(|(hash, id)| (mix(hash ^ key), *id))?;
        Some(best.1)
    }
}

/// The finaliser of splitmix64: spreads the difference of two hashes over all bits.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// An instance's view of the others.
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
    me: ids::InstanceId,
    list: InstanceList,
    suspects: BTreeSet<ids::InstanceId>,
}

impl Membership {
    /// Creates the view of instance `me`, which knows of nobody yet.
    pub fn new(me: ids::InstanceId) -> Membership {
        Membership { me, list: InstanceList::default(), suspects: BTreeSet::new() }
    }

    /// Takes over `list` if it is newer than the one known; says whether it was.
    pub fn adopt(&mut self, list: &InstanceList) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        self.list = list.clone();
        self.suspects.retain(|id| list.members.contains_key(id));
        true
    }

    /// The newest list known.
    pub fn list(&self) -> &InstanceList {
        &self.list
    }

    /// Whether `id` is in the newest list known, leaving or not.
    pub fn contains(&self, id: &str) -> bool {
        self.list.members.contains_key(id)
    }

    /// Marks `id` as not answering.
    pub fn suspect(&mut self, id: &ids::InstanceId) -> bool {
        *id != self.me && self.suspects.insert(id.clone())
    }

    /// Marks `id` as answering again; says whether it had been suspected.
    pub fn trust(&mut self, id: &str) -> bool {
        self.suspects.remove(id)
    }

    /// Instances that do not answer.
    pub fn suspects(&self) -> impl Iterator<Item = &ids::InstanceId> {
        self.suspects.iter()
    }

    /// Marks a listed instance as leaving on its own word, ahead of the list.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        match self.list.members.get_mut(id) {
            Some(m) if !m.leaving => {
                m.leaving = true;
                true
            }
            _ => false,
        }
    }

    /// Every listed instance other than this one.
    pub fn others(&self) -> impl Iterator<Item = &ids::InstanceId> {
        self.list.members.keys().filter(move |id| **id != self.me)
    }

    /// Instances that may own a share, in the given zones; an empty set means every zone.
    pub fn owners<'a>(
        &'a self,
        zones: &'a BTreeSet<ids::ZoneId>,
    ) -> impl Iterator<Item = &'a ids::InstanceId> + 'a {
        let inside = move |m: &Member| zones.is_empty() || zones.contains(&m.zone);
        self.list.members.iter().filter(move |(_, m)| !m.leaving && inside(m)).map(|(id, _)| id)
    }

    /// The instance that should do the job `key`: an owner that answers.
    pub fn preferred(&self, zones: &BTreeSet<ids::ZoneId>, key: &str) -> Option<ids::InstanceId> {
        let answering = self.owners(zones).filter(|id| !self.suspects.contains(*id));
        let chosen = pick(answering.map(|id| &**id), key)?;
        self.list.members.get_key_value(chosen).map(|(id, _)| id.clone())
    }

    /// Address of a listed instance.
    pub fn address(&self, id: &str) -> Option<&str> {
        self.list.members.get(id).map(|m| m.address.as_str())
    }
}
