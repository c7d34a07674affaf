//! Boundaries of events in a byte stream of the `text/event-stream` format.
//!
//! Lines end with LF, CR LF or CR, and an event ends with an empty line. A stream that ends anywhere
//! else was interrupted, whatever the transport says of its end, so a relay must know whether the
//! bytes that it has passed on end inside an event. Lines that begin with a colon are comments and
//! belong to no event.
//!
//! The ids of events grow within a stream. An answer that repeats an event or goes back is not passed
//! on from there: its client could not tell it from a sound one.

use std::mem;

use thiserror::Error;

/// The current line so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Finds the ends of events in a byte stream that arrives in pieces.
///
/// # Examples
///
/// ```
/// use oxbowbend_core::event_stream::BoundaryScanner;
///
/// let mut scanner = BoundaryScanner::default();
/// assert_eq!(scanner.scan(b"data: a\n\nda"), Some(9));
/// assert!(scanner.is_inside_event());
/// assert_eq!(scanner.scan(b"ta: b\r\n\r\n"), Some(9));
/// assert!(!scanner.is_inside_event());
/// ```
#[derive(Clone, Debug, Default)]
pub struct BoundaryScanner {
    line: Line,
    /// Whether a field has been read since the last event ended.
    has_field: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same end of a line.
    is_after_cr: bool,
}

impl BoundaryScanner {
    /// Reads the next piece. Returns the number of its bytes up to the last place in it that is
    /// outside all events, or `None` if there is no such place.
    pub fn scan(&mut self, piece: &[u8]) -> Option<usize> {
        let mut boundary = None;
        for (at, byte) in piece.iter().enumerate() {
            let is_line_end = matches!(byte, b'\n' | b'\r');
            let is_same_line_end = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            if is_line_end && !is_same_line_end {
                self.end_line();
            } else if !is_line_end && self.line == Line::Empty {
                self.line = if *byte == b':' { Line::Comment } else { Line::Field };
            }
            if is_line_end && !self.is_inside_event() {
                boundary = Some(at + 1);
            }
        }
        boundary
    }

    fn end_line(&mut self) {
        self.has_field = match self.line {
            Line::Empty => false,
            Line::Comment => self.has_field,
            Line::Field => true,
        };
        self.line = Line::Empty;
    }

    /// Returns whether the bytes read so far end inside an event or inside a line.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != Line::Empty
    }
}

/// An event whose id is not greater than one that came before it: it is repeated, or the stream went back.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("event {id} after event {last_id}")]
pub struct OutOfOrder {
    /// The id of the event.
    pub id: u64,
    /// The id of the last event before it, which the client may have from another answer.
    pub last_id: u64,
}

/// What a piece of a stream completes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Split {
    /// Whole events in order, which may be passed on; empty if there is none.
    pub complete: Vec<u8>,
    /// Why the event after these may not be passed on, nor anything that follows it.
    pub out_of_order: Option<OutOfOrder>,
}

/// Splits a stream that arrives in pieces into whole events, and finds those that are out of order.
///
/// An endpoint may fail in the middle of an event, or write events that the client already has.
/// Only whole events in order are passed on, so that another endpoint can continue after the last
/// one. Ids need not be consecutive: what lies between two ids is not known here. Events without an
/// id, or with one that is not a number, have no place in the order.
///
/// # Examples
///
/// ```
/// use oxbowbend_core::event_stream::{EventSplitter, OutOfOrder};
///
/// let mut splitter = EventSplitter::resume_after(Some(4));
/// assert_eq!(splitter.push(b"id: 5\ndata: a\n").complete, b"");
/// let split = splitter.push(b"\nid: 5\ndata: a\n\n");
/// assert_eq!(split.complete, b"id: 5\ndata: a\n\n");
/// assert_eq!(split.out_of_order, Some(OutOfOrder { id: 5, last_id: 5 }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    scanner: BoundaryScanner,
    /// The beginning of an event that is not complete.
    partial: Vec<u8>,
    last_id: Option<u64>,
    /// Whether an event was passed on, and whether any had an id.
    has_events: bool,
    has_ids: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    pub fn resume_after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Returns the id of the last event that may be passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether another endpoint can be told where to continue: it would begin anew after events of
    /// which none has an id.
    pub fn can_resume(&self) -> bool {
        self.has_ids || !self.has_events
    }

    /// Appends a piece and returns the events that are now complete.
    pub fn push(&mut self, piece: &[u8]) -> Split {
        let boundary = self.scanner.scan(piece).map(|at| self.partial.len() + at);
        self.partial.extend_from_slice(piece);
        let Some(boundary) = boundary else { return Split::default() };
        let rest = self.partial.split_off(boundary);
        let mut complete = mem::replace(&mut self.partial, rest);
        let Err((at, out_of_order)) = self.check_order(&complete) else {
            return Split { complete, out_of_order: None };
        };
        complete.truncate(at);
        Split { complete, out_of_order: Some(out_of_order) }
    }

    /// Returns where the first event begins that is out of order, if one is.
    fn check_order(&mut self, events: &[u8]) -> Result<(), (usize, OutOfOrder)> {
        for event in (Events { bytes: events, at: 0 }) {
            match (event.id, self.last_id) {
                (Some(id), Some(last_id)) if id <= last_id => {
                    if event.has_data {
                        return Err((event.begin, OutOfOrder { id, last_id }));
                    }
                }
                (Some(id), _) => (self.last_id, self.has_ids) = (Some(id), true),
                (None, _) => {}
            }
            self.has_events |= event.has_data;
        }
        Ok(())
    }

    /// Returns the number of bytes of the incomplete event that are kept.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Discards an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanner = BoundaryScanner::default();
    }
}

/// An event, or comments between two of them.
struct Event {
    /// Its first byte.
    begin: usize,
    id: Option<u64>,
    /// Whether clients are given it: without data it only sets their last id.
    has_data: bool,
}

/// The events of bytes that hold only whole ones.
struct Events<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Events<'a> {
    /// Returns the next line without its end.
    fn line(&mut self) -> Option<&'a [u8]> {
        let rest = self.bytes.get(self.at..).filter(|rest| !rest.is_empty())?;
        let len = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')).unwrap_or(rest.len());
        let end = if rest[len..].starts_with(b"\r\n") { 2 } else { 1 };
        self.at += len + end;
        Some(&rest[..len])
    }
}

impl Iterator for Events<'_> {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let mut event = Event { begin: self.at, id: None, has_data: false };
        while let Some(line) = self.line() {
            match (line, value(line, b"id")) {
                (b"", _) => return Some(event),
                (_, Some(id)) => event.id = number(id),
                (line, None) => event.has_data |= value(line, b"data").is_some(),
            }
        }
        None
    }
}

/// Returns the value of the field `name`, if the line is of that field.
fn value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    match line.strip_prefix(name)? {
        b"" => Some(b""),
        rest => rest.strip_prefix(b":"),
    }
}

/// Returns an id that is a decimal number.
fn number(id: &[u8]) -> Option<u64> {
    let id = std::str::from_utf8(id).ok()?.trim();
    let is_decimal = id.bytes().all(|byte| byte.is_ascii_digit());
    id.parse().ok().filter(|_| is_decimal)
}
