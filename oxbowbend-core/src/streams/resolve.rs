//! The decision at which version a stream that a client takes up goes on.

use std::time::Instant;

use super::{Lookup, SoleVersion, StreamOrigin};
use crate::ids::{ServiceId, VersionId};

/// What the instance knows itself.
#[derive(Clone, Debug, Default)]
pub struct LocalKnowledge {
    /// Services to which the request's route leads.
    pub targets: Vec<ServiceId>,
    /// Its record of the stream.
    pub record: Lookup,
    /// The only version that the route's service has had for as long as a stream can last, until when that is known.
    pub sole: Option<SoleVersion>,
    /// The only version that this instance has seen of it. Others may have seen another one.
    pub only_seen: Option<VersionId>,
    /// Number of other instances that may have begun the stream; `None` if not all of them can be asked.
    pub others: Option<usize>,
}

impl LocalKnowledge {
    /// The only version that the service has had until `at`.
    fn sole_until(&self, at: Instant) -> Option<&VersionId> {
        self.sole.as_ref().filter(|sole| sole.until >= at).map(|sole| &sole.version)
    }
}

/// What a peer answers when it is asked for a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PeerAnswer {
    /// Its record of the stream.
    #[serde(rename = "r", default)]
    pub record: Lookup,
    /// The only version that the route's service has had for as long as a stream can last, as the store confirmed to it
    /// after the question arrived.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub confirmed: Option<VersionId>,
    /// The only version that it has seen of the service.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub only_seen: Option<VersionId>,
    /// Whether the service has had several versions lately.
    #[serde(rename = "m", default)]
    pub is_mixed: bool,
    /// Whether the answer tells [`only_seen`](PeerAnswer::only_seen), which instances of older versions leave out.
    #[serde(rename = "c", default)]
    pub is_whole: bool,
}

/// What a version is known from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Basis {
    /// A record of this instance.
    Record,
    /// A record of a peer.
    PeerRecord,
    /// The service has had no other version.
    SoleVersion,
    /// The same, as a peer knows it.
    PeerSoleVersion,
    /// No instance of the fleet has seen another version.
    AllInstances,
}

/// Where a stream goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Binding {
    /// The service and version that began it.
    pub origin: StreamOrigin,
    /// What it is known from.
    pub basis: Basis,
}

/// Why a stream goes on nowhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unresolved {
    /// Nobody who answered knows where it began.
    Unknown,
    /// Its id names streams that began at different versions.
    Ambiguous,
    /// Its route does not lead to the service any more that began it.
    Moved,
}

/// Decides where a stream goes on that a client took up at `taken_up_at`. `answers` are those of peers that were asked
/// since then, none if they were not asked.
///
/// A record holds whatever its age. That a service has had no other version is concluded from not having heard of one,
/// and holds only if that was looked up after the stream was taken up: it began before that.
///
/// # Errors
///
/// Fails if it is not certain at which version of a service of its route it began.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::streams::{resolve, LocalKnowledge, SoleVersion, Unresolved};
///
/// let now = Instant::now();
/// let mut known = LocalKnowledge { targets: vec!["s".into()], ..LocalKnowledge::default() };
/// known.sole = Some(SoleVersion { version: "v1".into(), until: now });
/// assert_eq!(&*resolve(now, &known, &[]).unwrap().origin.version, "v1");
/// let later = now + Duration::from_millis(1);
/// assert_eq!(resolve(later, &known, &[]), Err(Unresolved::Unknown));
/// ```
pub fn resolve(
    taken_up_at: Instant,
    known: &LocalKnowledge,
    answers: &[PeerAnswer],
) -> Result<Binding, Unresolved> {
    let (record, basis) = match &known.record {
        Lookup::Unknown => (merge(answers), Basis::PeerRecord),
        record => (record.clone(), Basis::Record),
    };
    match record {
        Lookup::Ambiguous => return Err(Unresolved::Ambiguous),
        Lookup::Known(origin) if known.targets.contains(&origin.service) => {
            return Ok(Binding { origin, basis })
        }
        Lookup::Known(_) => return Err(Unresolved::Moved),
        Lookup::Unknown => {}
    }
    // Of several services the stream may have begun at any.
    let [service] = known.targets.as_slice() else { return Err(Unresolved::Unknown) };
    let bind = |version: &VersionId, basis| {
        let origin = StreamOrigin { service: service.clone(), version: version.clone() };
        Ok(Binding { origin, basis })
    };
    if let Some(version) = known.sole_until(taken_up_at) {
        return bind(version, Basis::SoleVersion);
    }
    let Some(version) = &known.only_seen else { return Err(Unresolved::Unknown) };
    let is_other = |seen: &Option<VersionId>| seen.as_ref().is_some_and(|v| v != version);
    let contradicts =
        |a: &PeerAnswer| a.is_mixed || is_other(&a.confirmed) || is_other(&a.only_seen);
    if answers.iter().any(contradicts) {
        return Err(Unresolved::Unknown);
    }
    if answers.iter().any(|a| a.confirmed.as_ref() == Some(version)) {
        return bind(version, Basis::PeerSoleVersion);
    }
    // Streams begin only at versions that some instance has seen.
    let asked = answers.iter().filter(|a| a.is_whole).count();
    if known.sole.is_some() && known.others.is_some_and(|others| asked >= others) {
        return bind(version, Basis::AllInstances);
    }
    Err(Unresolved::Unknown)
}

/// Combines the records of peers; different ones contradict each other.
fn merge(answers: &[PeerAnswer]) -> Lookup {
    let mut merged = Lookup::Unknown;
    for answer in answers {
        merged = match (merged, &answer.record) {
            (Lookup::Unknown, record) => record.clone(),
            (merged, Lookup::Unknown) => merged,
            (merged, record) if merged == *record => merged,
            _ => Lookup::Ambiguous,
        };
    }
    merged
}
