//! What is asked of a key-value service.
//!
//! Only single-key compare-and-swap is used, so that any service with that one primitive can take
//! the place of the one at hand. The error type keeps apart what surely had no effect from what
//! may have had one, because a reply can be lost after the write took effect.

use std::future::Future;
use std::time::Duration;

use thiserror::Error;

/// Version of a key's value; 0 stands for an absent key.
pub type KeyVersion = u64;
/// Id of a lease.
pub type LeaseId = i64;

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The value.
    pub value: Vec<u8>,
    /// Its version.
    pub version: KeyVersion,
}

/// What a compare-and-swap did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written and has this version.
    Written(KeyVersion),
    /// The key was at another version; nothing was written.
    Conflict,
}

/// Why a call failed.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum KvError {
    /// The service was not reached: the call had no effect.
    #[error("the key-value service cannot be reached: {0}")]
    Unreachable(String),
    /// No usable reply came: a write may have taken effect.
    #[error("the key-value service gave no reply: {0}")]
    NoReply(String),
    /// The service refused the call: it had no effect.
    #[error("the key-value service refused the call: {0}")]
    Refused(String),
}

impl KvError {
    /// Whether a write that failed so may nevertheless have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        matches!(self, KvError::NoReply(_))
    }
}

/// A key-value service.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, KvError>> + Send;

    /// Writes a key if it is at `expected`; 0 means that it must be absent. With a lease, the key
    /// goes when the lease ends.
    fn swap(
        &self,
        key: &str,
        expected: KeyVersion,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Swap, KvError>> + Send;

    /// Deletes a key.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), KvError>> + Send;

    /// Lists the keys that begin with `prefix`.
    fn keys(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, KvError>> + Send;

    /// Waits until a key's version is above `after`, for as long as the service lets it wait.
    /// Returns `None` if that time ended first.
    fn changed(
        &self,
        key: &str,
        after: KeyVersion,
    ) -> impl Future<Output = Result<Option<Versioned>, KvError>> + Send;

    /// Begins a lease.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, KvError>> + Send;

    /// Renews a lease; `false` means that it has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, KvError>> + Send;
}
