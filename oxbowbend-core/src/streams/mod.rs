//! Which software version began a stream that a client takes up again.
//!
//! What two software versions write does not fit together, so a stream may only go on at the version
//! that began it, and an endpoint does not check that. A client takes a stream up because its
//! instance or endpoint failed, so the knowledge must outlive the instance that had it:
//!
//! - [`StreamRegistry`] records the version of every stream when its first event arrives. Instances
//!   report their records while a service has several versions, and the records that are in use are
//!   noted in the store, for a restart of all instances.
//! - [`VersionHistory`] tells whether a service has had only one version for as long as a stream
//!   can last, and until when that is known. Then no record is needed, and none is reported.
//! - [`resolve`] decides from both, and from what peers answer, at which version a stream goes on. A
//!   stream whose version is not known goes on nowhere.

mod history;
mod registry;
mod resolve;
mod routes;

pub use history::{ServiceVersions, SoleVersion, VersionHistory};
pub use registry::{Lookup, ReportedStream, StreamGroup, StreamRegistry};
pub use resolve::{resolve, Basis, Binding, LocalKnowledge, PeerAnswer, Unresolved};
pub use routes::RouteHistory;

use crate::fingerprint::fingerprint;
use crate::ids::{AccountId, ServiceId, StreamKey, VersionId};

/// Where a stream began.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct StreamOrigin {
    /// Service of the endpoint.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Version of the endpoint's software.
    #[serde(rename = "v")]
    pub version: VersionId,
}

/// Returns the key of the stream that the attempt `request_id` of a client account began. A client
/// can't name a stream of another account.
///
/// ```
/// use oxbowbend_core::streams::stream_key;
///
/// let mine = stream_key(Some(&"a".into()), "r-1");
/// assert_eq!(mine, stream_key(Some(&"a".into()), "r-1"));
/// assert_ne!(mine, stream_key(Some(&"b".into()), "r-1"));
/// assert_ne!(mine, stream_key(None, "r-1"));
/// ```
pub fn stream_key(account: Option<&AccountId>, request_id: &str) -> StreamKey {
    fingerprint(account, "stream", "", [request_id.as_bytes()])
}
