//! Signals that endpoints send in response headers, and how they are propagated.

use std::time::Duration;

/// An optional value in a response header.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum SignalValue<T> {
    /// The header is absent.
    #[default]
    Nothing,
    /// The header has this value.
    Value(T),
    /// The header is present but cannot be parsed.
    Unreadable,
}

impl<T: Copy> SignalValue<T> {
    /// Returns the value, if there is a readable one.
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

/// Signals in the headers of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Requests per second that the endpoint accepts from all instances together.
    pub rate_limit: SignalValue<f64>,
    /// Whether the endpoint is draining and accepts no new requests.
    pub is_draining: bool,
    /// Time for which this instance should send no requests.
    pub backoff: SignalValue<Duration>,
    /// Requests per second that the endpoint may reject before it falls over.
    pub rejection_tolerance: SignalValue<f64>,
    /// Whether the endpoint has rejected the request because it is full.
    pub is_rejection: bool,
}

/// How a signal became known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// From a response to this instance.
    Answer,
    /// From the endpoint's entry in the platform's list.
    Entry,
    /// From an instance of the same cell.
    Cell,
    /// From the representative of another cell.
    Fleet,
}

/// Recipients of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Audience {
    /// The sender's cell, from an instance that is not its representative.
    Cell,
    /// The sender's cell, from its representative.
    RepresentedCell,
    /// Instances of other cells.
    OtherCells,
    /// An instance that has just started.
    Newcomer,
}

impl Audience {
    /// Whether signals of this origin are sent to these recipients. A signal is forwarded at most
    /// once within a cell and once between cells; otherwise it would circulate with an ever younger
    /// age.
    pub(super) fn receives(self, origin: Origin) -> bool {
        match origin {
            Origin::Answer | Origin::Entry => true,
            Origin::Cell => matches!(self, Audience::OtherCells | Audience::Newcomer),
            Origin::Fleet => matches!(self, Audience::RepresentedCell | Audience::Newcomer),
        }
    }
}
