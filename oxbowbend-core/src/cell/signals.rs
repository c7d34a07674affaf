//! What endpoints say of themselves in their answers.

use std::time::Duration;

/// A value that an answer may name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Said<T> {
    /// It names none.
    #[default]
    Nothing,
    /// It names this one.
    Value(T),
    /// It names something that is no such value.
    Unreadable,
}

impl<T: Copy> Said<T> {
    /// The value.
    ///
    /// ```
    /// use oxbowbend_core::cell::Said;
    /// assert_eq!(Said::Value(2).value(), Some(2));
    /// assert_eq!(Said::<u32>::Unreadable.value(), None);
    /// ```
    pub fn value(self) -> Option<T> {
        match self {
            Said::Value(value) => Some(value),
            Said::Nothing | Said::Unreadable => None,
        }
    }
}

/// What the head of an answer says of its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that it takes from all instances together.
    pub rate_limit: Said<f64>,
    /// Whether it leaves, and takes no new requests.
    pub is_draining: bool,
    /// Time for which it wants nothing from this instance.
    pub backoff: Said<Duration>,
}
