//! Whether a stream of events ended between two of them.

use http_types::Response;

/// Longest end of an event: its last line's end and a blank line.
const LONGEST: usize = 4;

/// The last bytes of a stream of events.
#[derive(Debug, Default)]
pub(crate) struct EventEnd {
    tail: Vec<u8>,
}

impl EventEnd {
    /// Starts empty if the answer is a stream of events.
    pub(crate) fn of(head: &Response) -> Option<EventEnd> {
        let content_type = head.content_type()?;
        (content_type.essence() == "text/event-stream").then(EventEnd::default)
    }

    /// Notes the next bytes.
    pub(crate) fn note(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(&bytes[bytes.len().saturating_sub(LONGEST)..]);
        let surplus = self.tail.len().saturating_sub(LONGEST);
        self.tail.drain(..surplus);
    }

    /// Whether bytes have come after the last blank line. Lines end with CR LF, LF or CR.
    pub(crate) fn is_inside(&self) -> bool {
        let Some(last) = self.tail.last() else { return false };
        let line = match last {
            b'\n' => self.tail.strip_suffix(b"\r\n").or(self.tail.strip_suffix(b"\n")),
            b'\r' => self.tail.strip_suffix(b"\r"),
            _ => None,
        };
        !line.is_some_and(|line| line.ends_with(b"\n") || line.ends_with(b"\r"))
    }
}
