//! Ids that this instance makes up.

use rand::Rng;

/// Makes an id for a request.
pub(crate) fn request() -> String {
    format!("r-{:032x}", rand::rng().random::<u128>())
}

/// Makes the id of this life of an instance. The name alone would be used again after a restart,
/// and what the former life was told must not be taken for this one's.
pub(crate) fn incarnation(name: &str) -> String {
    format!("{name}-{:08x}", rand::rng().random::<u32>())
}
