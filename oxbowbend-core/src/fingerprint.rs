//! What makes two requests the same request, whatever ids they bear and wherever they arrive.
//!
//! The client account, method, path with query and body are hashed with SHA-256, each behind its length, and
//! 64 bits of that are kept: alike at all instances and builds, and no caller can make one that is another
//! account's. Nothing of a body is kept or logged. What was traded: some 10 microseconds a request where a
//! faster hash takes one.

use sha2::{Digest, Sha256};

use crate::ids::AccountId;

/// One request, whoever serves it.
pub type Fingerprint = u64;

/// Works out the fingerprint of a request of a client account, or of nobody's.
///
/// # Examples
///
/// ```
/// use oxbowbend_core::fingerprint::fingerprint;
///
/// let mine = fingerprint(Some(&"a".into()), "POST", "/x?y=1", b"words");
/// assert_eq!(mine, fingerprint(Some(&"a".into()), "POST", "/x?y=1", b"words"));
/// assert_ne!(mine, fingerprint(Some(&"b".into()), "POST", "/x?y=1", b"words"));
/// assert_ne!(mine, fingerprint(Excluded, "POST", "/x", b"?y=1words"));
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
