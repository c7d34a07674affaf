//! Records exchanged between instances and written to the store.

use super::crashes::{InterruptedAttempt, SuspectPart};
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;

/// The quarantine part of a report. It contains ages instead of times, because clocks differ.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct QuarantineUpdate {
    /// Endpoint crashes.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// Quarantine decisions.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub decisions: Vec<DecisionRecord>,
    /// Successful responses to requests and parts that were suspected.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub successes: Vec<SuccessRecord>,
}

impl QuarantineUpdate {
    /// Returns whether the update contains no records.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.decisions.is_empty() && self.successes.is_empty()
    }
}

/// A crash of an endpoint.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CrashRecord {
    /// The incarnation that crashed.
    #[serde(rename = "k")]
    pub endpoint: EndpointKey,
    /// Milliseconds since the crash.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Milliseconds since the endpoint's last sign of life; none from programs that do not tell.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub alive_age_ms: Option<u32>,
    /// Attempts that were in flight.
    #[serde(rename = "r")]
    pub attempts: Vec<InterruptedAttempt>,
    /// Parts of those that awaited their response.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<SuspectPart>,
}

/// A decision on a request or on a part.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct DecisionRecord {
    /// The request or part.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Number of the quarantine of it; the higher one takes precedence.
    #[serde(rename = "n")]
    pub epoch: u32,
    /// Number of trials in this quarantine; the higher one takes precedence.
    #[serde(rename = "t", default)]
    pub trials: u32,
    /// Milliseconds until the next trial; `None` if the request was released.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u32>,
}

/// A successful response to a request, or to one that holds a part.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SuccessRecord {
    /// The request or part.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Milliseconds since the response.
    #[serde(rename = "a")]
    pub age_ms: u32,
}
