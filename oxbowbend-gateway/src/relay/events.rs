//! Event streams, as far as they must be understood to be continued elsewhere.
//!
//! An endpoint may stop in the middle of an event. Only whole events are let through, so that
//! another endpoint can go on after the last of them.

use bytes::{Bytes, BytesMut};

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    rest: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Starts after an event that the caller already has.
    pub(crate) fn after(last: Option<u64>) -> Events {
        Events { rest: BytesMut::new(), last }
    }

    /// Id of the last whole event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes in bytes; gives out the whole events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let end = match self.rest.windows(2).rposition(|w| w == b"\n\n") {
            Some(at) => at + 2,
            None => return Bytes::new(),
        };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Forgets an event that has not been completed.
    pub(crate) fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// What is left at a clean end.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|b| *b == b'\n');
    let id = |line: &[u8]| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    };
    lines.rev().find_map(id)
}
