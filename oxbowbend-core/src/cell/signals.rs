//! What endpoints say of themselves in their answers, and who passes it on to whom.

use std::time::Duration;

/// A value that an answer may name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum SignalValue<T> {
    /// It names none.
    #[default]
    Nothing,
    /// It names this one.
    Value(T),
    /// It names something that is no such value.
    Unreadable,
}

impl<T: Copy> SignalValue<T> {
    /// The value.
    ///
    /// ```
    /// use oxbowbend_core::cell::SignalValue;
    /// assert_eq!(SignalValue::Value(2).value(), Some(2));
    /// assert_eq!(SignalValue::<u32>::Unreadable.value(), None);
    /// ```
    pub fn value(self) -> Option<T> {
        match self {
            SignalValue::Value(value) => Some(value),
            SignalValue::Nothing | SignalValue::Unreadable => None,
        }
    }
}

/// What the head of an answer says of its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that it takes from all instances together.
    pub rate_limit: SignalValue<f64>,
    /// Whether it leaves, and takes no new requests.
    pub is_draining: bool,
    /// Time for which it wants nothing from this instance.
    pub backoff: SignalValue<Duration>,
}

/// From whom a word of an endpoint is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// An answer to this instance.
    Answer,
    /// The endpoint's entry, as this instance knows it.
    Entry,
    /// An instance of its cell.
    Cell,
    /// The representative of another cell.
    Fleet,
}

/// Whom a report is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Audience {
    /// The own cell, by any of its instances.
    Cell,
    /// The own cell, by its representative.
    RepresentedCell,
    /// Other cells.
    OtherCells,
    /// An instance that has just started.
    Newcomer,
}

impl Audience {
    /// Whether it is told what is known from there. Each word passes from an answer to the cell, and from there once from cell to
    /// cell: what was told on would seem younger each time, and never end.
    pub(super) fn receives(self, origin: Origin) -> bool {
        match origin {
            Origin::Answer | Origin::Entry => true,
            Origin::Cell => matches!(self, Audience::OtherCells | Audience::Newcomer),
            Origin::Fleet => matches!(self, Audience::RepresentedCell | Audience::Newcomer),
        }
    }
}
