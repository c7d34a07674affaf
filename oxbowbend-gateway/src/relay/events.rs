//! Splitting of server-sent event streams, which allows resuming them at another endpoint.
//!
//! An endpoint may fail in the middle of an event. Only complete events are passed on, so that
//! another endpoint can continue after the last one.

use bytes::{Bytes, BytesMut};

/// Splits a byte stream at event boundaries.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub(crate) fn resume_after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { partial: BytesMut::new(), last_id }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Appends bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = match self.partial.windows(2).rposition(|w| w == b"\n\n") {
            Some(at) => at + 2,
            None => return Bytes::new(),
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = parse_last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Discards an incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the bytes after the last complete event, at the regular end of the stream.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

fn parse_last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|b| *b == b'\n');
    let id = |line: &[u8]| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    };
    lines.rev().find_map(id)
}
