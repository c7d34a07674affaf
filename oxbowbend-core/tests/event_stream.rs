//! Boundaries of events, for every way in which lines may end and bytes may be cut into pieces.

use oxbowbend_core::event_stream::{self, BoundaryScanner};

#[test]
fn an_event_ends_with_an_empty_line_however_lines_end() {
    // Bytes, those up to the last place outside all events, whether they end inside one.
    let cases: [(&[u8], usize, bool); 18] = [
        (b"", 0, false),
        (b"data: a\n\n", 9, false),
        (b"data: a\r\n\r\n", 11, false),
        (b"data: a\r\r", 9, false),
        (b"data: a\n\r\n", 10, false),
        (b"data: a\r\n\n", 10, false),
        (b"data: a\n", 0, true),
        (b"data: a\r\n", 0, true),
        (b"data: a", 0, true),
        (b"d", 0, true),
        (b"id: 1\ndata: a\n\nid: 2\n", 15, true),
        (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 30, false),
        (b"data\n\ndata\n", 6, true),
        (b": alive\n", 8, false),
        (b": ali", 0, true),
        (b"data: a\n: alive\n", 0, true),
        (b"data: a\n\n: alive\n", 17, false),
        (b"\n\n", 2, false),
    ];
    for (bytes, complete, is_inside) in cases {
        let text = String::from_utf8_lossy(bytes);
        let mut scanner = BoundaryScanner::default();
        assert_eq!(scanner.scan(bytes).unwrap_or(0), complete, "{text:?}");
        assert_eq!(scanner.is_inside_event(), is_inside, "{text:?}");
        let (mut scanner, mut end) = (BoundaryScanner::default(), 0);
        for (at, byte) in bytes.iter().enumerate() {
            if scanner.scan(&[*byte]).is_some() {
                end = at + 1;
            }
        }
        assert_eq!(end, complete, "{text:?} byte by byte");
        assert_eq!(scanner.is_inside_event(), is_inside, "{text:?} byte by byte");
    }
}

/// The rest of an event that was cut at any byte is inside it.
#[test]
fn a_stream_that_is_cut_at_any_place_of_an_event_ends_inside_it() {
    for event in ["id: 7\ndata: words\n\n", "id: 7\r\ndata: words\r\n\r\n", "id: 7\rdata: w\r\r"] {
        for end in 1..event.len() {
            let mut scanner = BoundaryScanner::default();
            scanner.scan(event.as_bytes());
            scanner.scan(&event.as_bytes()[..end]);
            // An LF after the CR that ended the event belongs to the same end of a line.
            let is_whole = event.ends_with("\r\n") && end + 1 == event.len();
            assert_eq!(scanner.is_inside_event(), !is_whole, "{event:?} cut after {end}");
        }
    }
}

#[test]
fn the_last_id_is_found_however_lines_end() {
    for (events, id) in [
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some(2)),
        ("id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", Some(2)),
        ("id:1\rdata: a\r\r", Some(1)),
        ("id: x\ndata: a\n\n", None),
        ("data: id: 4\n\n", None),
        ("", None),
    ] {
        assert_eq!(event_stream::last_id(events.as_bytes()), id, "{events:?}");
    }
}
