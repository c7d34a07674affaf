//! What instances tell each other, and note in the store.

use super::crashes::InterruptedAttempt;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;

/// What one report tells. Ages are sent instead of times, since no two clocks agree.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct QuarantineUpdate {
    /// Ends of endpoints.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// Decisions.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub decisions: Vec<DecisionRecord>,
    /// Good answers to requests that were suspected.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub successes: Vec<SuccessRecord>,
}

impl QuarantineUpdate {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.decisions.is_empty() && self.successes.is_empty()
    }
}

/// An end of an endpoint.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CrashRecord {
    /// The start that ended.
    #[serde(rename = "k")]
    pub endpoint: EndpointKey,
    /// Milliseconds since then.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// What ran there.
    #[serde(rename = "r")]
    pub attempts: Vec<InterruptedAttempt>,
}

/// A decision on a request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct DecisionRecord {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Which of its quarantines it is about; of two the later one holds.
    #[serde(rename = "n")]
    pub epoch: u32,
    /// Trials in this quarantine; of two the larger number is the later one.
    #[serde(rename = "t", default)]
    pub trials: u32,
    /// Milliseconds until the next trial; none if the quarantine is over.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u32>,
}

/// A good answer to a request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SuccessRecord {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Milliseconds since then.
    #[serde(rename = "a")]
    pub age_ms: u32,
}
