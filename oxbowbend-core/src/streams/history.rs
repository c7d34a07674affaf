//! Which software versions each service has had for as long as a stream can last.
//!
//! That all endpoints have one version now does not prove that a stream began at it: the last
//! endpoint of another version may have left a moment ago, or its entry may not have arrived here. So
//! a claim needs a history without gaps, by this instance or by an earlier one, and holds only until the
//! moment at which the store was last asked: an instance that is suspended or cut off hears of no other
//! version either.

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

/// Maximum time without a word of the store that a list of all endpoints makes up for. A version that came and went
/// meanwhile would have to enter an endpoint, be sent a stream and lose its entry within it.
const MAX_UNSEEN: Duration = Duration::from_secs(2);

/// The time of which no version is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Coverage {
    /// Its beginning; `None` if it is older than all streams that may still be taken up.
    since: Option<Instant>,
    /// Its end: when the store was asked for what it told last.
    until: Instant,
}

/// A version at which every stream began that began until a moment, as far back as streams can be taken up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoleVersion {
    /// The version.
    pub version: VersionId,
    /// The moment. A stream that is taken up later may have begun after it, at another version.
    pub until: Instant,
}

/// The versions of all services.
///
/// ```
/// use std::time::{Duration, Instant};
/// use oxbowbend_core::streams::VersionHistory;
///
/// let (now, retention) = (Instant::now(), Duration::from_secs(30));
/// let mut history = VersionHistory::default();
/// history.record_heard(now, &"s".into(), &"v1".into());
/// history.record_list(now);
/// assert_eq!(history.sole_version(now, "s", retention), None);
/// let later = now + retention;
/// history.record_heard(later, &"s".into(), &"v1".into());
/// history.record_changes(later);
/// let sole = history.sole_version(later, "s", retention).unwrap();
/// assert_eq!((&*sole.version, sole.until), ("v1", later));
/// ```
#[derive(Debug, Default)]
pub struct VersionHistory {
    coverage: Option<Coverage>,
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

    /// Records that no version is unknown that a stream may have begun at until `at`.
    pub fn trust_past(&mut self, at: Instant) {
        let until = self.coverage.map_or(at, |coverage| coverage.until);
        self.coverage = Some(Coverage { since: None, until });
    }

    /// Records that the versions of all changes are known that the store made since its last word, as asked at
    /// `asked_at`.
    pub fn record_changes(&mut self, asked_at: Instant) {
        if let Some(coverage) = &mut self.coverage {
            coverage.until = coverage.until.max(asked_at);
        }
    }

    /// Records that the versions of a list of all endpoints are known, as asked at `asked_at`. It does not tell which
    /// ones came and went since the store's last word.
    pub fn record_list(&mut self, asked_at: Instant) {
        let is_near = |c: &Coverage| asked_at.saturating_duration_since(c.until) <= MAX_UNSEEN;
        match self.coverage.filter(is_near) {
            Some(_) => self.record_changes(asked_at),
            None => self.coverage = Some(Coverage { since: Some(asked_at), until: asked_at }),
        }
    }

    /// Returns when the store was asked for the last word on versions that this instance has, if it has any.
    pub fn known_until(&self) -> Option<Instant> {
        self.coverage.map(|coverage| coverage.until)
    }

    /// Returns the version at which every stream of a service has begun that began less than
    /// `retention` ago, if there is only one and this instance can know it, and until when it knows.
    pub fn sole_version(
        &self,
        now: Instant,
        service: &str,
        retention: Duration,
    ) -> Option<SoleVersion> {
        let Coverage { until, .. } = self.coverage.filter(|_| self.is_complete(now, retention))?;
        let version = self.only_seen(now, service, retention)?;
        Some(SoleVersion { version, until })
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

    /// Returns whether no version is unknown that was there in the last `retention` before the store's last word.
    pub fn is_complete(&self, now: Instant, retention: Duration) -> bool {
        let is_long = |at: Instant| now.saturating_duration_since(at) >= retention;
        self.coverage.is_some_and(|coverage| coverage.since.is_none_or(is_long))
    }
}

fn is_recent(now: Instant, last_there: Option<Instant>, retention: Duration) -> bool {
    last_there.is_none_or(|at| now.saturating_duration_since(at) < retention)
}
