//! Boundaries of events in a byte stream of the `text/event-stream` format.
//!
//! Lines end with LF, CR LF or CR, and an event ends with an empty line. A stream that ends anywhere
//! else was interrupted, whatever the transport says of its end, so a relay must know whether the
//! bytes that it has passed on end inside an event. Lines that begin with a colon are comments and
//! belong to no event.

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

/// Returns the last id in a piece that holds whole events.
///
/// ```
/// use oxbowbend_core::event_stream::last_id;
/// assert_eq!(last_id(b"id: 3\r\ndata: a\r\n\r\nid:4\r\rdata: b\r\r"), Some(4));
/// assert_eq!(last_id(b"data: id: 3\n\n"), None);
/// ```
pub fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = |line: &[u8]| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    };
    lines.rev().find_map(id)
}
