//! Boundaries and order of events, for every way in which lines may end and bytes may be cut into pieces.

use oxbowbend_core::event_stream::{BoundaryScanner, EventSplitter, OutOfOrder};

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
        ("data: a\nid: 1\n\n", Some(1)),
        ("id: 3\r\ndata: a\r\n\r\nid:4\r\rdata: b\r\r", Some(4)),
        ("id: 1\ndata: a\n\n: alive\n", Some(1)),
        ("id: x\ndata: a\n\n", None),
        ("id: +4\ndata: a\n\n", None),
        ("data: id: 4\n\n", None),
        ("ids: 4\n\n", None),
        ("", None),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(events.as_bytes());
        assert_eq!(splitter.last_id(), id, "{events:?}");
    }
}

/// What is passed on of `stream`, which arrives in pieces of `size` bytes, until an event is out of order.
fn passed_on(stream: &str, after: Option<u64>, size: usize) -> (Vec<u8>, Option<OutOfOrder>) {
    let (mut splitter, mut passed) = (EventSplitter::resume_after(after), Vec::new());
    for piece in stream.as_bytes().chunks(size) {
        let split = splitter.push(piece);
        passed.extend(split.complete);
        if split.out_of_order.is_some() {
            return (passed, split.out_of_order);
        }
    }
    (passed, None)
}

/// Callers were given events twice, or went back, where an endpoint wrote them so. Each stream is one event a letter, and
/// none but the first, if any, that is out of order is the end of what is passed on.
#[test]
fn an_event_that_repeats_or_goes_back_is_not_passed_on() {
    let event = |id: &str| match id {
        "-" => "data: no id\n\n".to_owned(),
        "#" => "event: ping\n\n".to_owned(),
        ":" => ": alive\n\n".to_owned(),
        _ if id.starts_with('=') => format!("id: {}\n\n", &id[1..]),
        _ if id.starts_with('/') => format!("data: a\ndata: b\nid: {}\n\n", &id[1..]),
        _ => format!("id: {id}\nevent: e\ndata: of {id}\n\n"),
    };
    let out = |id, last_id| Some(OutOfOrder { id, last_id });
    // Ids of the events, the last that the client has, how many are passed on, and what ends them.
    let cases: [(&str, Option<u64>, usize, Option<OutOfOrder>); 20] = [
        ("1 2 3", None, 3, None),
        ("1 2 2 3", None, 2, out(2, 2)),
        ("1 2 3 2 3 4", None, 3, out(2, 3)),
        ("1 2 1", None, 2, out(1, 2)),
        ("0 1", None, 2, None),
        ("0 0", None, 1, out(0, 0)),
        // After a resumption or a take-up.
        ("6 7", Some(5), 2, None),
        ("5 6", Some(5), 0, out(5, 5)),
        ("1 2 3", Some(5), 0, out(1, 5)),
        ("1 2", Some(0), 2, None),
        // Gaps are not judged.
        ("1 5 9", None, 3, None),
        ("9 12", Some(5), 2, None),
        // Events without an id have no place in the order, nor have comments.
        ("- 1 - : 2 -", None, 6, None),
        ("1 - 1", None, 2, out(1, 1)),
        ("x 1 x", None, 3, None),
        ("7 99999999999999999999 8", None, 3, None),
        // Without data there is no event that a client could get twice.
        ("1 =1 # 2", None, 4, None),
        ("1 =3 2", None, 2, out(2, 3)),
        // An id may stand at the end of its event.
        ("/1 /2 /2", None, 2, out(2, 2)),
        ("10 9", None, 1, out(9, 10)),
    ];
    for (ids, after, passed, out_of_order) in cases {
        let events: Vec<String> = ids.split(' ').map(event).collect();
        for end in ["\n", "\r\n", "\r"] {
            let stream = events.concat().replace('\n', end);
            let expected = events[..passed].concat().replace('\n', end);
            for size in 1..=stream.len() {
                let (seen, why) = passed_on(&stream, after, size);
                let about = format!("{ids} after {after:?}, {end:?}, pieces of {size}");
                assert_eq!(why, out_of_order, "{about}");
                // The LF of the CR LF that ends an event may come with the next piece.
                let seen = String::from_utf8(seen).unwrap();
                assert_eq!(seen.trim_end(), expected.trim_end(), "{about}");
            }
        }
    }
}

/// Callers were given a stream without ids from its beginning again when it broke off.
#[test]
fn a_stream_can_be_resumed_only_before_its_first_event_or_after_an_id() {
    for (events, after, can_resume) in [
        ("", None, true),
        ("data: a\n", None, true),
        (": alive\n\nretry: 100\n\n", None, true),
        ("data: a\n\n", None, false),
        ("data: a\n\n", Some(5), false),
        ("id: x\ndata: a\n\n", None, false),
        ("data: a\n\nid: 1\ndata: b\n", None, false),
        ("data: a\n\nid: 1\ndata: b\n\n", None, true),
        ("id: 1\ndata: a\n\ndata: b\n\n", None, true),
        ("id: 5\ndata: a\n\n", Some(5), true),
        ("id: 6\ndata: a\n\n", Some(5), true),
    ] {
        let mut splitter = EventSplitter::resume_after(after);
        splitter.push(events.as_bytes());
        assert_eq!(splitter.can_resume(), can_resume, "{events:?} after {after:?}");
    }
}

/// A stream that goes on at another endpoint begins with a whole event.
#[test]
fn an_incomplete_event_is_discarded_before_another_endpoint_goes_on() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").complete, b"id: 1\ndata: a\n\n");
    assert!(splitter.is_inside_event() && splitter.partial_len() == 8);
    splitter.discard_partial();
    assert!(!splitter.is_inside_event() && splitter.partial_len() == 0);
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n").complete, b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}
