//! Which instance may handle a request for another one, by their configurations.
//!
//! Callers of an instance must not meet an older configuration after the effect of a newer one. An instance
//! that offers a request to another one hands it to that one's configuration: an older one takes back what
//! callers have seen, and a newer one shows what the next request that stays here takes back. A route that
//! has moved, a key, a time limit and a quota all follow from the configuration, so one rule holds for all of
//! them and for every reason to offer a request: only an instance with the same configuration accepts it.
//!
//! The versions differ for as long as a change takes to reach all instances, some tenths of a second. For that
//! time a request that is not accepted is served, or refused, where it is.

/// Version of a configuration.
pub type ConfigVersion = u64;

/// Returns whether an instance with the configuration `receiver` may handle a request that one with `sender`
/// offers. An instance of an older version of the program does not tell its own.
///
/// ```
/// use oxbowbend_core::config_order::may_handle;
///
/// assert!(may_handle(Some(4), 4));
/// assert!(!may_handle(Some(4), 3) && !may_handle(Some(4), 5));
/// assert!(may_handle(None, 3));
/// ```
pub fn may_handle(sender: Option<ConfigVersion>, receiver: ConfigVersion) -> bool {
    sender.is_none_or(|sender| sender == receiver)
}
