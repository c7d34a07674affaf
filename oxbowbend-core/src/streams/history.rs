//! Which software versions each service has had for as long as a stream can last.
//!
//! That all endpoints have one version now does not prove that a stream began at it: the last
//! endpoint of another version may have left a moment ago, or its entry may not have arrived here. So
//! a claim needs a history without gaps, by this instance or by an earlier one.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::ids::{ServiceId, VersionId};
use crate::routes::Endpoint;

/// The versions that a service has had lately, as noted in the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceVersions {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Its versions, in order.
    #[serde(rename = "v")]
    pub versions: Vec<VersionId>,
}

/// Since when no version has escaped this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Complete {
    /// It may be missing some now.
    #[default]
    No,
    Since(Instant),
    /// From the beginning of all streams that may still be taken up.
    Always,
}

/// The versions of all services.
///
/// ```
/// use std::time::{Duration, Instant};
/// use oxbowbend_core::streams::VersionHistory;
///
/// let (now, retention) = (Instant::now(), Duration::from_secs(30));
/// let mut history = VersionHistory::default();
/// history.resume(now);
/// history.record_heard(now, &"s".into(), &"v1".into());
/// assert_eq!(history.sole_version(now, "s", retention), None);
/// let later = now + retention;
/// history.record_heard(later, &"s".into(), &"v1".into());
/// assert_eq!(history.sole_version(later, "s", retention).as_deref(), Some("v1"));
/// ```
#[derive(Debug, Default)]
pub struct VersionHistory {
    complete: Complete,
    /// When each version was last there; `None` while an endpoint has it.
    versions: HashMap<ServiceId, BTreeMap<VersionId, Option<Instant>>>,
}

impl VersionHistory {
    /// Takes in the list of endpoints.
    pub fn set_endpoints<'a>(
        &mut self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        for last_there in self.versions.values_mut().flat_map(BTreeMap::values_mut) {
            last_there.get_or_insert(now);
        }
        for endpoint in endpoints {
            let versions = self.versions.entry(endpoint.service.clone()).or_default();
            versions.insert(endpoint.version.clone(), None);
        }
    }

    /// Records that a peer knows an endpoint of a version.
    pub fn record_heard(&mut self, now: Instant, service: &ServiceId, version: &VersionId) {
        let versions = self.versions.entry(service.clone()).or_default();
        let last_there = versions.entry(version.clone()).or_insert(Some(now));
        if last_there.is_some() {
            *last_there = Some(now);
        }
    }

    /// Takes in what an earlier run of an instance noted.
    pub fn restore(&mut self, now: Instant, noted: &[ServiceVersions]) {
        for ServiceVersions { service, versions } in noted {
            versions.iter().for_each(|version| self.record_heard(now, service, version));
        }
    }

    /// Records that no version is unknown here that a stream may have begun at.
    pub fn trust_past(&mut self) {
        self.complete = Complete::Always;
    }

    /// Records that endpoints may now come and go unseen while other instances send them streams.
    pub fn interrupt(&mut self) {
        self.complete = Complete::No;
    }

    /// Records that none does any more.
    pub fn resume(&mut self, now: Instant) {
        if self.complete == Complete::No {
            self.complete = Complete::Since(now);
        }
    }

    /// Returns the version at which every stream of a service has begun that began less than
    /// `retention` ago, if there is only one and this instance can know it.
    pub fn sole_version(
        &self,
        now: Instant,
        service: &str,
        retention: Duration,
    ) -> Option<VersionId> {
        self.only_seen(now, service, retention).filter(|_| self.is_complete(now, retention))
    }

    /// Returns the version of a service if this instance has seen no other one, which others may
    /// have.
    pub fn only_seen(&self, now: Instant, service: &str, retention: Duration) -> Option<VersionId> {
        let mut recent = self.recent(now, service, retention);
        let first = recent.next().cloned();
        first.filter(|_| recent.next().is_none())
    }

    /// Returns whether a service has had several versions lately.
    pub fn is_mixed(&self, now: Instant, service: &str, retention: Duration) -> bool {
        self.recent(now, service, retention).nth(1).is_some()
    }

    /// Returns the versions to note in the store; none unless they are all.
    pub fn to_note(&self, now: Instant, retention: Duration) -> Vec<ServiceVersions> {
        if !self.is_complete(now, retention) {
            return Vec::new();
        }
        let note = |service: &ServiceId| ServiceVersions {
            service: service.clone(),
            versions: self.recent(now, service, retention).cloned().collect(),
        };
        let mut notes: Vec<_> = self.versions.keys().map(note).collect();
        notes.retain(|note| !note.versions.is_empty());
        notes.sort_by(|a, b| a.service.cmp(&b.service));
        notes
    }

    /// Discards versions that left more than `retention` ago.
    pub fn sweep(&mut self, now: Instant, retention: Duration) {
        for versions in self.versions.values_mut() {
            versions.retain(|_, last_there| is_recent(now, *last_there, retention));
        }
        self.versions.retain(|_, versions| !versions.is_empty());
    }

    fn recent(
        &self,
        now: Instant,
        service: &str,
        retention: Duration,
    ) -> impl Iterator<Item = &VersionId> {
        let versions = self.versions.get(service).into_iter().flatten();
        let recent = versions.filter(move |(_, last)| is_recent(now, **last, retention));
        recent.map(|(version, _)| version)
    }

    fn is_complete(&self, now: Instant, retention: Duration) -> bool {
        match self.complete {
            Complete::No => false,
            Complete::Since(at) => now.saturating_duration_since(at) >= retention,
            Complete::Always => true,
        }
    }
}

fn is_recent(now: Instant, last_there: Option<Instant>, retention: Duration) -> bool {
    last_there.is_none_or(|at| now.saturating_duration_since(at) < retention)
}
