//! Fingerprints that identify retries of a request across request ids and instances.
//!
//! A fingerprint is the first 64 bits of the SHA-256 hash of the client account, method, path with
//! query, and body, each prefixed with its length. It is the same on all instances and builds, and
//! a caller can't forge that of another account. SHA-256 costs about 10 µs per request, ten times
//! as much as a faster hash without this property. No part of the body is stored or logged.

use sha2::{Digest, Sha256};

use crate::ids::AccountId;

/// The identity of a request, independent of its id.
pub type Fingerprint = u64;

/// Returns the fingerprint of a request, from a client account or anonymous.
///
/// # Examples
///
/// ```
/// use oxbowbend_core::fingerprint::fingerprint;
///
/// let mine = fingerprint(Some(&"a".into()), "POST", "/x?y=1", b"words");
/// assert_eq!(mine, fingerprint(Some(&"a".into()), "POST", "/x?y=1", b"words"));
/// assert_ne!(mine, fingerprint(Some(&"b".into()), "POST", "/x?y=1", b"words"));
/// assert_ne!(mine, fingerprint(None, "POST", "/x", b"?y=1words"));
/// ```
pub fn fingerprint(
    account: Option<&AccountId>,
    method: &str,
    path_and_query: &str,
    body: &[u8],
) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update([u8::from(account.is_some())]);
    let account = account.map_or("", |name| name);
    for part in [account.as_bytes(), method.as_bytes(), path_and_query.as_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    digest.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
