//! One configuration, copied on write.
//!
//! Resources are kept in buckets, each an immutable value in the platform's key-value service.
//! One head key names the buckets of the current revision. A change writes its new buckets first
//! and then swaps the head from revision `r` to `r + 1`: that swap is the acceptance. So there is
//! one total order of changes, a change of several resources is atomic, and an instance needs one
//! watch and one or two reads for each change, however many resources there are.
//!
//! Traded away: a bucket is written whole for each change in it, and old buckets must be swept.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::check::{check, Mistake};
use crate::kinds;
use crate::set;

/// Key of the head.
pub const HEAD_KEY: &str = "oxbowbend/config/head";
/// Beginning of the keys of buckets.
pub const BUCKET_PREFIX: &str = "oxbowbend/config/bucket/";
/// Changes whose ids the head remembers, to tell whether one took effect.
pub const REMEMBERED_CHANGES: usize = 64;

/// Id that an operator's client gives a change, so that sending it again is safe.
pub type ChangeId = String;
/// Name of a bucket.
pub type BucketId = String;

/// The value of the head key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Revision of the configuration.
    pub revision: u64,
    /// Key-value keys of the buckets.
    pub buckets: BTreeMap<BucketId, String>,
    /// Recent changes with the revisions they made.
    pub changes: Vec<(ChangeId, u64)>,
}

impl Head {
    /// The revision that a recent change made.
    pub fn revision_of(&self, change: &str) -> Option<u64> {
        self.changes.iter().find(|(id, _)| id == change).map(|(_, revision)| *revision)
    }
}

/// The value of a bucket.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bucket {
    /// Its resources.
    pub resources: Vec<kinds::Resource>,
}

/// One step of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Operation {
    /// Create or replace a resource. Its version must be that of the one replaced, 0 for none.
    Put(kinds::Resource),
    /// Delete a resource at a version.
    Delete {
        /// The resource.
        id: kinds::ResourceId,
        /// Its version.
        version: u64,
    },
}

/// What an operator asks for: all of it is accepted, or none.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Names the change across retries.
    pub id: ChangeId,
    /// Its steps.
    pub operations: Vec<Operation>,
}

/// Why a change is not accepted.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeError {
    /// The resource has changed since the operator read it.
    #[error("{id} is at version {current}, not {expected}")]
    Conflict {
        /// The resource.
        id: kinds::ResourceId,
        /// Version that the change expects.
        expected: u64,
        /// Version that it is at; 0 if it does not exist.
        current: u64,
    },
    /// The configuration would contain mistakes.
    #[error("{} mistakes, the first: {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
    Invalid(Vec<Mistake>),
    /// The change has no steps.
    #[error("the change is empty")]
    Empty,
}

/// Values to write for a change: first the buckets, then the head by compare-and-swap.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// New buckets with their keys.
    pub buckets: Vec<(String, Bucket)>,
    /// The new head.
    pub head: Head,
    /// All resources at the new revision.
    pub manifest: Manifest,
}

/// A revision of the configuration, with all its resources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Manifest {
    head: Head,
    set: set::ResourceSet,
}

impl Manifest {
    /// Puts a manifest together from the head and the values of its buckets.
    pub fn new(head: Head, buckets: impl IntoIterator<Item = Bucket>) -> Manifest {
        let mut set = set::ResourceSet::default();
        for resource in buckets.into_iter().flat_map(|b| b.resources) {
            set.insert(resource);
        }
        Manifest { head, set }
    }

    /// The head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.head.revision
    }

    /// All resources.
    pub fn set(&self) -> &set::ResourceSet {
        &self.set
    }

    /// The resources in one bucket.
    pub fn bucket(&self, id: &str) -> Bucket {
        let resources = self.set.iter().filter(|r| bucket_of(&r.id()) == id).cloned().collect();
        Bucket { resources }
    }

    /// Works out what to write for a change.
    ///
    /// # Errors
    ///
    /// Fails if a resource is not at the version expected, or the result would hold mistakes.
    ///
    /// ```
    /// use oxbowbend_resource::{kinds, manifest};
    /// let place = kinds::Resource {
    ///     name: "north".into(),
    ///     version: 0,
    ///     spec: kinds::Spec::Place(kinds::Place { zones: vec!["z1".into()] }),
    /// };
    /// let operations = vec![manifest::Operation::Put(place)];
    /// let change = manifest::Change { id: "c1".into(), operations };
    /// let plan = manifest::Manifest::default().plan(&change).unwrap();
    /// assert_eq!(plan.head.revision, 1);
    /// assert!(plan.manifest.plan(&change).is_err());
    /// ```
    pub fn plan(&self, change: &Change) -> Result<Plan, ChangeError> {
        if change.operations.is_empty() {
            return Err(ChangeError::Empty);
        }
        let revision = self.head.revision + 1;
        let mut next = self.clone();
        let mut touched = std::collections::BTreeSet::new();
        for operation in &change.operations {
            let id = next.set.perform(operation, revision)?;
            touched.insert(bucket_of(&id));
        }
        let mistakes = check(&next.set);
        if !mistakes.is_empty() {
            return Err(ChangeError::Invalid(mistakes));
        }
        let mut buckets = Vec::new();
        for id in touched {
            let key = bucket_key(&id, revision, &change.id);
            buckets.push((key.clone(), next.bucket(&id)));
            next.head.buckets.insert(id, key);
        }
        next.head.revision = revision;
        next.head.changes.push((change.id.clone(), revision));
        let forgotten = next.head.changes.len().saturating_sub(REMEMBERED_CHANGES);
        next.head.changes.drain(..forgotten);
        Ok(Plan { buckets, head: next.head.clone(), manifest: next })
    }
}

impl set::ResourceSet {
    fn perform(
        &mut self,
        operation: &Operation,
        revision: u64,
    ) -> Result<kinds::ResourceId, ChangeError> {
        let (id, expected) = match operation {
            Operation::Put(resource) => (resource.id(), resource.version),
            Operation::Delete { id, version } => (id.clone(), *version),
        };
        let current = self.get(id.kind, &id.name).map_or(0, |r| r.version);
        if current != expected {
            return Err(ChangeError::Conflict { id, expected, current });
        }
        match operation {
            Operation::Put(resource) => {
                self.insert(kinds::Resource { version: revision, ..resource.clone() });
            }
            Operation::Delete { id, .. } => {
                self.remove(id);
            }
        }
        Ok(id)
    }
}

/// Keys contain the change's id, so that two changes racing for one revision cannot write the
/// same key.
fn bucket_key(id: &str, revision: u64, change: &str) -> String {
    format!("{BUCKET_PREFIX}{id}/{revision}-{change}")
}

/// The revision for which a bucket's key was written.
///
/// ```
/// use oxbowbend_resource::manifest::revision_of_key;
/// assert_eq!(revision_of_key("oxbowbend/config/bucket/Tier/0/7-c1"), Some(7));
/// assert_eq!(revision_of_key("oxbowbend/config/head"), None);
/// ```
pub fn revision_of_key(key: &str) -> Option<u64> {
    let rest = key.strip_prefix(BUCKET_PREFIX)?;
    rest.rsplit('/').next()?.split('-').next()?.parse().ok()
}

/// The bucket that a resource is in.
pub fn bucket_of(id: &kinds::ResourceId) -> BucketId {
    let buckets = match id.kind {
        kinds::Kind::ClientAccount => 64,
        kinds::Kind::Endpoint => 16,
        _ => 1,
    };
    format!("{}/{}", id.kind, oxbowbend_core::ledger::shard_of(&id.name, buckets))
}
