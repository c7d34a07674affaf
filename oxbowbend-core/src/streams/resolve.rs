//! The decision at which version a stream that a client takes up goes on.

use super::{Lookup, StreamOrigin};
use crate::ids::{ServiceId, VersionId};

/// What the instance knows itself.
#[derive(Clone, Debug, Default)]
pub struct LocalKnowledge {
    /// Services to which the request's route leads.
    pub targets: Vec<ServiceId>,
    /// Its record of the stream.
    pub record: Lookup,
    /// The only version that the route's service has had for as long as a stream can last.
    pub sole: Option<VersionId>,
    /// The only version that this instance has seen of it. Others may have seen another one.
    pub only_seen: Option<VersionId>,
}

/// What a peer answers when it is asked for a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PeerAnswer {
    /// Its record of the stream.
    #[serde(rename = "r", default)]
    pub record: Lookup,
    /// The only version that the route's service has had for as long as a stream can last.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub sole: Option<VersionId>,
    /// Whether the service has had several versions lately.
    #[serde(rename = "m", default)]
    pub is_mixed: bool,
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

/// Decides where a stream goes on. `answers` are those of peers, none if they were not asked.
///
/// # Errors
///
/// Fails if it is not certain at which version of a service of its route it began.
///
/// ```
/// use oxbowbend_core::streams::{resolve, LocalKnowledge, Lookup, StreamOrigin, Unresolved};
///
/// let origin = StreamOrigin { service: "s".into(), version: "v1".into() };
/// let mut known = LocalKnowledge { targets: vec!["s".into()], ..LocalKnowledge::default() };
/// assert_eq!(resolve(&known, &[]), Err(Unresolved::Unknown));
/// known.record = Lookup::Known(origin.clone());
/// assert_eq!(resolve(&known, &[]).unwrap().origin, origin);
/// ```
pub fn resolve(known: &LocalKnowledge, answers: &[PeerAnswer]) -> Result<Binding, Unresolved> {
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
    if let Some(version) = &known.sole {
        return bind(version, Basis::SoleVersion);
    }
    let Some(version) = &known.only_seen else { return Err(Unresolved::Unknown) };
    let contradicts = |a: &PeerAnswer| a.is_mixed || a.sole.as_ref().is_some_and(|v| v != version);
    let is_confirmed = answers.iter().any(|a| a.sole.as_ref() == Some(version));
    if is_confirmed && !answers.iter().any(contradicts) {
        return bind(version, Basis::PeerSoleVersion);
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
