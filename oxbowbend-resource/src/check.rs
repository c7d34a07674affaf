//! Checks on resources: each by itself, and their references to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::kinds;
use crate::set;

/// Longest name of a resource.
const MAX_NAME: usize = 63;
/// Most slots that an endpoint may declare.
const MAX_SLOTS: u32 = 4096;

/// Something wrong with a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mistake {
    /// Where: a resource and a field of it, or a place in a file.
    pub place: String,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

struct Found<'a> {
    resource: &'a kinds::Resource,
    mistakes: Vec<Mistake>,
}

impl Found<'_> {
    fn add(&mut self, field: &str, reason: impl Into<String>) {
        let place = format!("{} {field}", self.resource.id());
        self.mistakes.push(Mistake { place, reason: reason.into() });
    }

    fn require(&mut self, holds: bool, field: &str, reason: &str) {
        if !holds {
            self.add(field, reason);
        }
    }
}

/// Finds every mistake in a set of resources.
///
/// ```
/// use oxbowbend_resource::{check, kinds, set};
/// let mut resources = set::ResourceSet::default();
/// resources.insert(kinds::Resource {
///     name: "north".into(),
///     version: 0,
///     spec: kinds::Spec::Place(kinds::Place { zones: vec![] }),
/// });
/// let mistakes = check::check(&resources);
/// assert_eq!(mistakes[0].to_string(), "Place/north spec.zones: name at least one zone");
/// ```
pub fn check(set: &set::ResourceSet) -> Vec<Mistake> {
    let mut mistakes: Vec<Mistake> = set.iter().flat_map(|r| check_one(r, set)).collect();
    mistakes.extend(doubled_levels(set));
    mistakes.extend(doubled_keys(set));
    mistakes.extend(doubled_addresses(set));
    mistakes
}

fn check_one(resource: &kinds::Resource, set: &set::ResourceSet) -> Vec<Mistake> {
    let mut found = Found { resource, mistakes: Vec::new() };
    if !is_name(&resource.name) {
        found.add("name", "use 1 to 63 of a-z, 0-9, '.' and '-', beginning with a letter or digit");
    }
    match &resource.spec {
        kinds::Spec::ClientAccount(s) => check_account(s, set, &mut found),
        kinds::Spec::Tier(s) => check_tier(s, &mut found),
        kinds::Spec::Place(s) => check_place(s, &mut found),
        kinds::Spec::Endpoint(s) => check_endpoint(s, set, &mut found),
        kinds::Spec::Model(s) => {
            found.require(s.queue_bound != Some(0), "spec.queueBound", "must be at least 1");
            let bias = s.prefill_bias.is_none_or(|b| (0.0..=1000.0).contains(&b));
            found.require(bias, "spec.prefillBias", "must be from 0 to 1000");
            found.require(s.max_run_seconds != Some(0), "spec.maxRunSeconds", "must be at least 1");
        }
        kinds::Spec::Service(s) => check_service(s, &mut found),
    }
    found.mistakes
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    let starts_well = name.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    starts_well && name.len() <= MAX_NAME && name.chars().all(allowed)
}

fn check_account(spec: &kinds::ClientAccount, set: &set::ResourceSet, found: &mut Found) {
    found.require(!spec.key_hashes.is_empty(), "spec.keyHashes", "give at least one key's SHA-256");
    for (i, hash) in spec.key_hashes.iter().enumerate() {
        let is_hash = hash.len() == 64 && hash.chars().all(|c| c.is_ascii_hexdigit());
        let field = format!("spec.keyHashes[{i}]");
        found.require(is_hash, &field, "must be a SHA-256 in 64 hexadecimal digits");
    }
    found.require(!spec.tiers.is_empty(), "spec.tiers", "name at least one tier");
    check_references(&spec.tiers, kinds::Kind::Tier, "spec.tiers", set, found);
    found.require(!spec.places.is_empty(), "spec.places", "name at least one place");
    check_references(&spec.places, kinds::Kind::Place, "spec.places", set, found);
    found.require(spec.weight != Some(0), "spec.weight", "must be at least 1");
    found.require(spec.max_running != Some(0), "spec.maxRunning", "must be at least 1");
    found.require(spec.max_open != Some(0), "spec.maxOpen", "must be at least 1");
}

fn check_references(
    names: &[String],
    kind: kinds::Kind,
    field: &str,
    set: &set::ResourceSet,
    found: &mut Found,
) {
    for (i, name) in names.iter().enumerate() {
        if set.get(kind, name).is_none() {
            found.add(&format!("{field}[{i}]"), format!("{kind} {name:?} is not declared"));
        }
    }
}

fn check_tier(spec: &kinds::Tier, found: &mut Found) {
    found.require(spec.level.is_some(), "spec.level", "is missing");
    found.require(spec.deadline_seconds != Some(0), "spec.deadlineSeconds", "must be at least 1");
}

fn check_place(spec: &kinds::Place, found: &mut Found) {
    found.require(!spec.zones.is_empty(), "spec.zones", "name at least one zone");
    let distinct: BTreeSet<&String> = spec.zones.iter().collect();
    found.require(distinct.len() == spec.zones.len(), "spec.zones", "names a zone twice");
}

fn check_endpoint(spec: &kinds::Endpoint, set: &set::ResourceSet, found: &mut Found) {
    if set.get(kinds::Kind::Place, &spec.place).is_none() {
        found.add("spec.place", format!("Place {:?} is not declared", spec.place));
    }
    let address_is_good = spec.address.parse::<SocketAddr>().is_ok();
    found.require(
        address_is_good,
        "spec.address",
        "must be an IP number and a port, as 10.0.0.1:80",
    );
    match (&spec.model, &spec.service) {
        (Some(model), None) if set.get(kinds::Kind::Model, model).is_none() => {
            found.add("spec.model", format!("Model {model:?} is not declared"));
        }
        (None, Some(service)) if set.get(kinds::Kind::Service, service).is_none() => {
            found.add("spec.service", format!("Service {service:?} is not declared"));
        }
        (Some(_), None) | (None, Some(_)) => {}
        _ => found.add("spec", "name either a model or a service"),
    }
    for (i, adapter) in spec.adapters.iter().enumerate() {
        let whole = !adapter.name.is_empty() && !adapter.path.is_empty();
        found.require(whole, &format!("spec.adapters[{i}]"), "needs a name and a path");
    }
    let slots_are_good = (1..=MAX_SLOTS).contains(&spec.slots);
    found.require(slots_are_good, "spec.slots", "must be from 1 to 4096");
    let positive = |rate: Option<f64>| rate.is_none_or(|r| r.is_finite() && r > 0.0);
    found.require(positive(spec.prefill_rate), "spec.prefillRate", "must be greater than 0");
    found.require(positive(spec.decode_rate), "spec.decodeRate", "must be greater than 0");
}

fn check_service(spec: &kinds::Service, found: &mut Found) {
    found.require(spec.queue_bound != Some(0), "spec.queueBound", "must be at least 1");
    found.require(spec.max_run_seconds != Some(0), "spec.maxRunSeconds", "must be at least 1");
    for (i, route) in spec.repeatable.iter().enumerate() {
        let method = format!("spec.repeatable[{i}].method");
        let is_method = ["GET", "HEAD", "PUT", "POST", "PATCH", "DELETE", "OPTIONS"]
            .contains(&route.method.as_str());
        found.require(is_method, &method, "must be an HTTP method in capitals");
        let path = format!("spec.repeatable[{i}].pathPrefix");
        found.require(route.path_prefix.starts_with('/'), &path, "must begin with '/'");
    }
}

/// Names every resource after the first that shares `key` with another one.
fn doubled<'a, K: Ord + Clone>(
    pairs: impl Iterator<Item = (K, &'a kinds::Resource)>,
    field: &str,
    what: impl Fn(&K) -> String,
) -> Vec<Mistake> {
    let mut first: BTreeMap<K, &kinds::Resource> = BTreeMap::new();
    let mut mistakes = Vec::new();
    for (key, resource) in pairs {
        let Some(other) = first.get(&key) else {
            first.insert(key, resource);
            continue;
        };
        let reason = format!("{} is also that of {}", what(&key), other.id());
        mistakes.push(Mistake { place: format!("{} {field}", resource.id()), reason });
    }
    mistakes
}

fn doubled_levels(set: &set::ResourceSet) -> Vec<Mistake> {
    let levels = set.of(kinds::Kind::Tier).filter_map(|r| match &r.spec {
        kinds::Spec::Tier(t) => Some((t.level?, r)),
        _ => None,
    });
    doubled(levels, "spec.level", |level| format!("level {level}"))
}

fn doubled_keys(set: &set::ResourceSet) -> Vec<Mistake> {
    let keys = set.of(kinds::Kind::ClientAccount).flat_map(|r| {
        let kinds::Spec::ClientAccount(account) = &r.spec else { return Vec::new() };
        account.key_hashes.iter().map(|h| (h.to_ascii_lowercase(), r)).collect()
    });
    doubled(keys, "spec.keyHashes", |_| "a key".to_owned())
}

fn doubled_addresses(set: &set::ResourceSet) -> Vec<Mistake> {
    let addresses = set.of(kinds::Kind::Endpoint).filter_map(|r| match &r.spec {
        kinds::Spec::Endpoint(e) => Some((e.address.clone(), r)),
        _ => None,
    });
    doubled(addresses, "spec.address", |address| format!("address {address}"))
}
