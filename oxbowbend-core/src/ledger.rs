//! The record that makes a request with an idempotency key run at most once.
//!
//! The ledger lives in the platform's key-value service, split into shards. A shard is one value,
//! changed only by compare-and-swap, so that every step has one place in one order however many
//! instances write. Each step names the run that takes it: taking the same step again after a lost
//! reply gives the same answer, and a paused holder that wakes after a takeover is told
//! [`StepResult::NotOwner`].
//!
//! Traded away: the whole shard is written at each step. Steps that arrive together share one
//! write; `docs/CAPACITY.md` has the size at which shards must be split further.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ids;

/// Key of an entry: a digest of the client account and its idempotency key.
pub type LedgerKey = String;
/// Seconds since the Unix epoch.
pub type UnixSeconds = u64;

/// Where a request stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// An entry instance holds it; nothing has been sent to any endpoint.
    Held {
        /// The instance.
        holder: ids::InstanceId,
    },
    /// It may have been sent to an endpoint.
    Dispatched {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
    /// Its whole answer has been read from the endpoint.
    Done {
        /// The endpoint.
        endpoint: ids::EndpointId,
    },
}

/// One request in the ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The run that took the last step; it doubles as the run id at the endpoint.
    pub run: ids::RequestId,
    /// Where the request stands.
    pub stage: Stage,
    /// Digest of the request's body.
    #[serde(rename = "body")]
    pub body_digest: u64,
    /// When the entry may be forgotten.
    pub expires: UnixSeconds,
}

/// A step to take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Entry to change.
    pub key: LedgerKey,
    /// Run that takes the step.
    pub run: ids::RequestId,
    /// What to do.
    pub action: StepAction,
}

/// What a step does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StepAction {
    /// Begin to hold the request.
    Hold {
        /// Instance that holds it.
        holder: ids::InstanceId,
        /// Digest of the body.
        #[serde(rename = "body")]
        body_digest: u64,
        /// Whether to take the request over from another holder.
        takeover: bool,
        /// Seconds for which the entry is kept.
        #[serde(rename = "window")]
        retention_s: u64,
    },
    /// Go from held to dispatched. Nothing may be sent before this is confirmed.
    Dispatch {
        /// Endpoint that is about to get the request.
        endpoint: ids::EndpointId,
    },
    /// Go back from dispatched to held; only for a holder that knows that no byte was sent.
    Undo {
        /// Instance that goes on holding it.
        holder: ids::InstanceId,
    },
    /// Go from dispatched to done.
    Finish,
    /// Give a held request up, so that a later one with this key may run.
    Release,
}

/// Answer to a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StepResult {
    /// The step is taken.
    #[serde(rename = "Taken")]
    Applied,
    /// Another run holds the request.
    HeldBy {
        /// Its holder.
        holder: ids::InstanceId,
    },
    /// The request was dispatched under another run.
    Dispatched {
        /// Endpoint that has it.
        endpoint: ids::EndpointId,
        /// Run to resume there.
        run: ids::RequestId,
    },
    /// The request was answered under another run.
    Done {
        /// Endpoint that ran it.
        endpoint: ids::EndpointId,
        /// Run to fetch there.
        run: ids::RequestId,
    },
    /// The key was used for a request with another body.
    #[serde(rename = "OtherBody")]
    BodyMismatch,
    /// The run no longer has the entry: another one took it over, or it has expired.
    #[serde(rename = "Lost")]
    NotOwner,
}

/// One shard's value.
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
    /// Takes a step, or says why it cannot be taken. A refused step changes nothing.
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

    /// Drops entries whose time is over.
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

    /// A released entry is removed; releasing one that is gone already is no error, since the
    /// reply to the first release may have been lost.
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

/// The shard that an entry is in.
///
/// ```
/// assert!(oxbowbend_core::ledger::shard_of("key", 64) < 64);
/// ```
pub fn shard_of(key: &str, shards: u32) -> u32 {
    (xxh3::xxh3_64(key.as_bytes()) % u64::from(shards.max(1))) as u32
}

/// Digest of an account and an idempotency key.
///
/// ```
/// use oxbowbend_core::ledger::ledger_key;
/// assert_ne!(ledger_key("a", "bc"), ledger_key("ab", "c"));
/// ```
pub fn ledger_key(account: &str, idempotency_key: &str) -> LedgerKey {
    let seed = xxh3::xxh3_64(account.as_bytes());
    format!("{seed:016x}{:032x}", xxh3::xxh3_128_with_seed(idempotency_key.as_bytes(), seed))
}
