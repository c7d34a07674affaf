//! What is newly believed, for logs.

use std::time::Duration;

use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;

/// A change to the quarantine state, for logging.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// An endpoint crashed.
    EndpointCrashed {
        /// The incarnation that crashed.
        endpoint: EndpointKey,
        /// Requests that this instance knows to have been in flight there.
        suspects: Vec<Fingerprint>,
        /// Parts of these that are suspected.
        parts: Vec<Fingerprint>,
        /// Whether this instance observed the crash itself.
        is_local: bool,
    },
    /// An attempt was interrupted at an endpoint that may have ended before it, and suspects nothing.
    InterruptionDisregarded {
        /// The incarnation, of which this instance has seen no sign of life.
        endpoint: EndpointKey,
    },
    /// A request was quarantined.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// The crashes attributed to it; empty if another instance decided.
        crashes: Vec<EndpointKey>,
        /// Time until the first trial.
        trial_delay: Duration,
    },
    /// A trial of a request started on this or another instance.
    TrialStarted {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of trials so far, including this one.
        trials: u32,
    },
    /// A request may have its first trial at once, because others explain its crashes.
    TrialDue {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A request was released from quarantine.
    Released {
        /// The request.
        fingerprint: Fingerprint,
    },
}
