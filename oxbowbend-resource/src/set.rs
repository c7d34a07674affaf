//! All resources of one revision.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::kinds;

/// Resources by kind and name.
///
/// ```
/// use oxbowbend_resource::kinds::{Kind, Place, Resource, Spec};
/// use oxbowbend_resource::set::ResourceSet;
/// let mut set = ResourceSet::default();
/// let spec = Spec::Place(Place { zones: vec!["z".into()] });
/// set.insert(Resource { name: "north".into(), version: 0, spec });
/// assert_eq!(set.of(Kind::Place).count(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceSet {
    resources: BTreeMap<kinds::ResourceId, kinds::Resource>,
}

impl ResourceSet {
    /// Adds a resource or replaces the one of the same kind and name.
    pub fn insert(&mut self, resource: kinds::Resource) -> Option<kinds::Resource> {
        self.resources.insert(resource.id(), resource)
    }

    /// Removes a resource.
    pub fn remove(&mut self, id: &kinds::ResourceId) -> Option<kinds::Resource> {
        self.resources.remove(id)
    }

    /// Finds a resource.
    pub fn get(&self, kind: kinds::Kind, name: &str) -> Option<&kinds::Resource> {
        self.resources.get(&kinds::ResourceId { kind, name: name.to_owned() })
    }

    /// All resources, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = &kinds::Resource> {
        self.resources.values()
    }

    /// All resources of a kind, by name.
    pub fn of(&self, kind: kinds::Kind) -> impl Iterator<Item = &kinds::Resource> {
        let first = kinds::ResourceId { kind, name: String::new() };
        self.resources.range(first..).map(|(_, r)| r).take_while(move |r| r.spec.kind() == kind)
    }

    /// Number of resources.
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }
}

/// The digest under which a bearer key is stored.
///
/// ```
/// let hash = oxbowbend_resource::set::hash_key("secret");
/// assert_eq!(hash.len(), 64);
/// ```
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Accounts by the digest of each of their keys.
///
/// ```
/// use oxbowbend_resource::set::{KeyIndex, ResourceSet};
/// assert!(KeyIndex::new(&ResourceSet::default()).find("a key").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    by_hash: BTreeMap<String, (String, kinds::ClientAccount)>,
}

impl KeyIndex {
    /// Builds the index of a set.
    pub fn new(set: &ResourceSet) -> KeyIndex {
        let mut by_hash = BTreeMap::new();
        for resource in set.of(kinds::Kind::ClientAccount) {
            let kinds::Spec::ClientAccount(account) = &resource.spec else { continue };
            for hash in &account.key_hashes {
                let entry = (resource.name.clone(), account.clone());
                by_hash.insert(hash.to_ascii_lowercase(), entry);
            }
        }
        KeyIndex { by_hash }
    }

    /// Finds the account that a bearer key belongs to.
    pub fn find(&self, key: &str) -> Option<(&str, &kinds::ClientAccount)> {
        self.by_hash.get(&hash_key(key)).map(|(name, account)| (name.as_str(), account))
    }
}
