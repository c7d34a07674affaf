//! Event streams, as far as they must be understood to be continued elsewhere.
//!
//! An endpoint may stop in the middle of an event. Only whole events are let through, so that
//! another endpoint can go on after the last of them.

use bytes::{Bytes, BytesMut};

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Starts after an event that the caller already has.
    pub(crate) fn resume_after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { partial: BytesMut::new(), last_id }
    }

    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes in bytes; gives out the whole events that they complete.
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

    /// Forgets an event that has not been completed.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// What is left at a clean end.
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
