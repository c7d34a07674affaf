//! Where a stream that is resumed began.
//!
//! What two software versions write does not fit together, so a stream may only go on at the version
//! that began it, and an endpoint does not check that.

use crate::ids::{ServiceId, VersionId};

/// Where a stream began.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamOrigin {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Version of the endpoint's software.
    pub version: VersionId,
}
