//! The ledger, by which a request with an idempotency key runs at most once.
//!
//! The ledger is stored in the platform's key-value service, split into shards. A shard is one
//! value that changes only by compare-and-swap, which gives all steps on it a total order. Each
//! step carries the id of its run: repeating a step after a lost reply has the same result, and a
//! holder that was paused during a takeover gets [`StepResult::NotOwner`].
//!
//! Each step writes its whole shard, but concurrent steps share one write. `docs/CAPACITY.md` lists
//! the size at which the number of shards must be raised.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// Key of an entry: a digest of the client account and its idempotency key.
pub type LedgerKey = String;
/// Seconds since the Unix epoch.
pub type UnixSeconds = u64;

/// Stage of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// Held by an ingress instance and not sent to any endpoint.
    Held {
        /// The ingress instance.
        holder: ids::InstanceId,
    },
    /// Possibly sent to an endpoint.
    Dispatched {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
    /// The whole response was received from the endpoint.
    Done {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
}

/// The ledger entry of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The run that made the last step, which is also the run id at the endpoint.
    pub run: ids::RequestId,
    /// Stage of the request.
    pub stage: Stage,
    /// Digest of the request body.
    #[serde(rename = "body")]
    pub body_digest: u64,
    /// When the entry expires.
    pub expires: UnixSeconds,
}

/// A change of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Key of the entry.
    pub key: LedgerKey,
    /// Run that makes the step.
    pub run: ids::RequestId,
    /// The change to make.
    pub action: StepAction,
}

/// Change made by a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StepAction {
    /// Hold a new request, or take over a held one.
    Hold {
        /// Instance that holds the request.
        holder: ids::InstanceId,
        /// Digest of the request body.
        #[serde(rename = "body")]
        body_digest: u64,
        /// Whether to take over a request held under another run.
        takeover: bool,
        /// Seconds until the entry expires.
        #[serde(rename = "window")]
        retention_s: u64,
    },
    /// Change from held to dispatched. Must succeed before anything is sent to the endpoint.
    Dispatch {
        /// Endpoint of the dispatch.
        endpoint: ids::EndpointId,
    },
    /// Change from dispatched to held. Allowed only if nothing was sent to the endpoint.
    Undo {
        /// Instance that holds the request.
        holder: ids::InstanceId,
    },
    /// Change from dispatched to done.
    Finish,
    /// Remove the entry of a held request, so that a later request with this key may run.
    Release,
}

/// Result of a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StepResult {
    /// The step was applied.
    #[serde(rename = "Taken")]
    Applied,
    /// Another run holds the request.
    HeldBy {
        /// Instance that holds it.
        holder: ids::InstanceId,
    },
    /// The request was dispatched under another run.
    Dispatched {
        /// Endpoint that it was dispatched to.
        endpoint: ids::EndpointId,
        /// Run to resume there.
        run: ids::RequestId,
    },
    /// The request was completed under another run.
    Done {
        /// Endpoint that ran it.
        endpoint: ids::EndpointId,
        /// Run whose response can be fetched there.
        run: ids::RequestId,
    },
    /// The key was used before for a request with another body.
    #[serde(rename = "OtherBody")]
    BodyMismatch,
    /// The entry does not belong to the run: it was taken over or has expired.
    #[serde(rename = "Lost")]
    NotOwner,
}

/// The stored value of one shard.
///
/// ```
/// use oxbowbend_core::ledger::{Shard, Step, StepAction, StepResult};
/// let mut shard = Shard::default();
/// let hold = |run: &str| Step {
///     key: "k".into(),
///     run: run.into(),
///     action: StepAction::Hold {
///         holder: "i".into(),
///         body_digest: 1,
///         takeover: false,
///         retention_s: 60,
///     },
/// };
/// assert_eq!(shard.apply(0, &hold("r1")), StepResult::Applied);
/// assert_eq!(shard.apply(0, &hold("r1")), StepResult::Applied);
/// assert_eq!(shard.apply(0, &hold("r2")), StepResult::HeldBy { holder: "i".into() });
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shard {
    /// Entries by key.
    pub entries: BTreeMap<LedgerKey, Entry>,
}

impl Shard {
    /// Applies a step. A step that is rejected changes nothing.
    pub fn apply(&mut self, now: UnixSeconds, step: &Step) -> StepResult {
        match &step.action {
            StepAction::Hold { holder, body_digest, takeover, retention_s } => {
                let entry = Entry {
                    run: step.run.clone(),
                    stage: Stage::Held { holder: holder.clone() },
                    body_digest: *body_digest,
                    expires: now + retention_s,
                };
                self.hold(now, &step.key, entry, *takeover)
            }
            StepAction::Dispatch { endpoint } => self.dispatch(step, endpoint),
            StepAction::Undo { holder } => self.undo(step, holder),
            StepAction::Finish => self.finish(step),
            StepAction::Release => self.release(step),
        }
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: UnixSeconds) {
        self.entries.retain(|_, e| e.expires > now);
    }

    fn hold(&mut self, now: UnixSeconds, key: &str, new: Entry, takeover: bool) -> StepResult {
        let Some(old) = self.entries.get(key).filter(|e| e.expires > now) else {
            self.entries.insert(key.to_owned(), new);
            return StepResult::Applied;
        };
        if old.body_digest != new.body_digest {
            return StepResult::BodyMismatch;
        }
        match &old.stage {
            Stage::Held { .. } if old.run == new.run => StepResult::Applied,
            Stage::Held { .. } if takeover => {
                self.entries.insert(key.to_owned(), new);
                StepResult::Applied
            }
            Stage::Held { holder } => StepResult::HeldBy { holder: holder.clone() },
            Stage::Dispatched { endpoint } => {
                StepResult::Dispatched { endpoint: endpoint.clone(), run: old.run.clone() }
            }
            Stage::Done { endpoint } => {
                StepResult::Done { endpoint: endpoint.clone(), run: old.run.clone() }
            }
        }
    }

    fn owned_entry(&mut self, step: &Step) -> Option<&mut Entry> {
        self.entries.get_mut(&step.key).filter(|e| e.run == step.run)
    }

    fn dispatch(&mut self, step: &Step, to: &ids::EndpointId) -> StepResult {
        let Some(entry) = self.owned_entry(step) else { return StepResult::NotOwner };
        match &entry.stage {
            Stage::Held { .. } => {
                entry.stage = Stage::Dispatched { endpoint: to.clone() };
                StepResult::Applied
            }
            Stage::Dispatched { endpoint } if endpoint == to => StepResult::Applied,
            _ => StepResult::NotOwner,
        }
    }

    fn undo(&mut self, step: &Step, holder: &ids::InstanceId) -> StepResult {
        let Some(entry) = self.owned_entry(step) else { return StepResult::NotOwner };
        match &entry.stage {
            Stage::Done { .. } => StepResult::NotOwner,
            _ => {
                entry.stage = Stage::Held { holder: holder.clone() };
                StepResult::Applied
            }
        }
    }

    fn finish(&mut self, step: &Step) -> StepResult {
        let Some(entry) = self.owned_entry(step) else { return StepResult::NotOwner };
        match &entry.stage {
            Stage::Held { .. } => StepResult::NotOwner,
            Stage::Dispatched { endpoint } => {
                entry.stage = Stage::Done { endpoint: endpoint.clone() };
                StepResult::Applied
            }
            Stage::Done { .. } => StepResult::Applied,
        }
    }

    /// Removes a held entry. Succeeds if there is none, since the reply to an earlier release may
    /// have been lost.
    fn release(&mut self, step: &Step) -> StepResult {
        match self.entries.get(&step.key) {
            None => StepResult::Applied,
            Some(e) if e.run != step.run => StepResult::NotOwner,
            Some(e) if !matches!(e.stage, Stage::Held { .. }) => StepResult::NotOwner,
            Some(_) => {
                self.entries.remove(&step.key);
                StepResult::Applied
            }
        }
    }
}

/// Returns the shard of an entry.
///
/// ```
/// assert!(oxbowbend_core::ledger::shard_of("key", 64) < 64);
/// ```
pub fn shard_of(key: &str, shards: u32) -> u32 {
    (xxh3::xxh3_64(key.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Returns the ledger key of a client account and idempotency key.
///
/// ```
/// use oxbowbend_core::ledger::ledger_key;
/// assert_ne!(ledger_key("a", "bc"), ledger_key("ab", "c"));
/// ```
pub fn ledger_key(account: &str, idempotency_key: &str) -> LedgerKey {
    let seed = xxh3::xxh3_64(account.as_bytes());
    format!("{seed:016x}{:032x}", xxh3::xxh3_128_with_seed(idempotency_key.as_bytes(), seed))
}
