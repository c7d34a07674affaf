//! Splitting of server-sent event streams, which allows resuming them at another endpoint.
//!
//! An endpoint may fail in the middle of an event. Only complete events are passed on, so that
//! another endpoint can continue after the last one.

use bytes::{Bytes, BytesMut};
use oxbowbend_core::event_stream::{self, BoundaryScanner};

/// Splits a byte stream at event boundaries.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    scanner: BoundaryScanner,
    /// The beginning of an event that is not complete.
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub(crate) fn resume_after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Reads bytes that are passed on as they are.
    pub(crate) fn observe(&mut self, bytes: &[u8]) {
        self.scanner.scan(bytes);
    }

    /// Appends bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        let boundary = self.scanner.scan(bytes).map(|at| self.partial.len() + at);
        self.partial.extend_from_slice(bytes);
        let Some(boundary) = boundary else { return Bytes::new() };
        let complete = self.partial.split_to(boundary).freeze();
        self.last_id = event_stream::last_id(&complete).or(self.last_id);
        complete
    }

    /// Returns the number of bytes of the incomplete event that are kept.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the bytes so far end inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Discards an incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanner = BoundaryScanner::default();
    }
}
