//! What [`client::Client`] gives for answers of every shape, against a raw server.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::StreamExt;
use http_types::Method;
use oxbowbend_http::client::{self, Client, Limits};

const TIME: Duration = Duration::from_millis(500);
const MOST: usize = 1 << 20;

/// How a server ends a connection after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closed,
    Reset,
    /// Not at all.
    Open,
}

async fn read_head(stream: &mut TcpStream) {
    let (mut got, mut byte) = (Vec::new(), [0]);
    while !got.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.expect("a head");
        got.push(byte[0]);
    }
}

/// Answers the first request of each connection with these pieces.
async fn server(pieces: Vec<Vec<u8>>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(mut stream)) = incoming.next().await {
            read_head(&mut stream).await;
            for piece in &pieces {
                stream.write_all(piece).await.expect("written");
                // Time for the bytes to be read apart, and before a reset would take them away.
                task::sleep(Duration::from_millis(20)).await;
            }
            match end {
                End::Closed => {}
                End::Reset => {
                    let linger = Some(Duration::ZERO);
                    socket2::SockRef::from(&stream).set_linger(linger).expect("an option");
                }
                End::Open => {
                    task::spawn(async move {
                        task::sleep(TIME * 10).await;
                        drop(stream);
                    });
                }
            }
        }
    });
    address
}

async fn call(method: Method, pieces: &[&str], end: End) -> Result<(u16, String), String> {
    let pieces = pieces.iter().map(|piece| piece.as_bytes().to_vec()).collect();
    let address = server(pieces, end).await;
    let req = client::request(method, address, "/x").expect("a request");
    let got = Client::new().call(address, req, Limits::all(TIME), MOST).await;
    let (status, body) = got.map_err(|e| e.to_string())?;
    Ok((status as u16, String::from_utf8(body).expect("text")))
}

struct Case {
    name: &'static str,
    pieces: &'static [&'static str],
    end: End,
    /// The body, if the answer is whole.
    body: Option<&'static str>,
}

const OPEN: &str = "HTTP/1.1 200 OK\r\n\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n";

const CASES: [Case; 21] = {
    const fn case(
        name: &'static str,
        pieces: &'static [&'static str],
        end: End,
        body: Option<&'static str>,
    ) -> Case {
        Case { name, pieces, end, body }
    }
    const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const COMPRESSED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n";
    const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const BARE: &str = "HTTP/1.1 200 OK\n\n";
    [
        case("length", &[LENGTH, "whole"], End::Open, Some("whole")),
        case("cut length", &[LENGTH, "wh"], End::Closed, None),
        case("chunks", &[CHUNKS, "5\r\nwhole\r\n0\r\n\r\n"], End::Open, Some("whole")),
        case("no last chunk", &[CHUNKS, "5\r\nwhole\r\n"], End::Closed, None),
        case("ends with its connection", &[OPEN, "wh", "ole"], End::Closed, Some("whole")),
        case("all at once", &["HTTP/1.1 200 OK\r\n\r\nwhole"], End::Closed, Some("whole")),
        case(
            "head in pieces",
            &["HTTP/1.1 200 OK\r", "\n\r", "\nwhole"],
            End::Closed,
            Some("whole"),
        ),
        case("bare line ends", &[BARE, "whole"], End::Closed, Some("whole")),
        case("empty", &[OPEN], End::Closed, Some("")),
        case(
            "blank lines in the body",
            &[OPEN, "\r\n\r\n", "\n\n"],
            End::Closed,
            Some("\r\n\r\n\n\n"),
        ),
        case("reset instead of an end", &[OPEN, "whole"], End::Reset, None),
        case("stalled", &[OPEN, "whole"], End::Open, None),
        case("encoding that is not known", &[COMPRESSED, "whole"], End::Closed, None),
        case("interim answer", &[INTERIM, "whole"], End::Closed, None),
        case("head cut off", &["HTTP/1.1 200 OK\r\n"], End::Closed, None),
        case("no answer", &[], End::Closed, None),
        case(
            "events",
            &[EVENTS, "data: 1\n\nda", "ta: 2\n", "\n"],
            End::Closed,
            Some("data: 1\n\ndata: 2\n\n"),
        ),
        case(
            "events with CR LF",
            &[EVENTS, "data: 1\r\n\r", "\n"],
            End::Closed,
            Some("data: 1\r\n\r\n"),
        ),
        case("events with CR", &[EVENTS, "data: 1\r\r"], End::Closed, Some("data: 1\r\r")),
        case("cut inside an event", &[EVENTS, "data: 1\n\ndata: 2\n"], End::Closed, None),
        case("cut inside an event with CR LF", &[EVENTS, "data: 1\r\n"], End::Closed, None),
    ]
};

#[test]
fn an_answer_may_end_with_its_connection() {
    task::block_on(async {
        let mut wrong = Vec::new();
        for case in &CASES {
            let got = call(Method::Get, case.pieces, case.end).await;
            let body = got.as_ref().ok().map(|(_, body)| body.as_str());
            if body != case.body {
                wrong.push(format!("{}: {got:?}", case.name));
            }
        }
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    });
}

/// Nothing may follow such an answer, so its length is bounded only by the reader.
#[test]
fn an_answer_that_ends_with_its_connection_is_bounded() {
    task::block_on(async {
        let piece = vec![b'x'; MOST / 2];
        let pieces = vec![OPEN.as_bytes().to_vec(), piece.clone(), piece, vec![b'x']];
        let address = server(pieces, End::Closed).await;
        let req = client::request(Method::Get, address, "/x").expect("a request");
        let got = Client::new().call(address, req, Limits::all(TIME), MOST).await;
        let e = got.expect_err("too long").to_string();
        assert!(e.contains("longer than"), "{e}");
    });
}

#[test]
fn an_answer_to_head_has_no_body() {
    task::block_on(async {
        let got = call(Method::Head, &[OPEN], End::Open).await;
        assert_eq!(got, Ok((200, String::new())));
    });
}

/// The connection of such an answer is not used again.
#[test]
fn each_answer_that_ends_with_its_connection_has_its_own() {
    task::block_on(async {
        let address = server(vec![b"HTTP/1.1 200 OK\r\n\r\nwhole".to_vec()], End::Closed).await;
        let client = Client::new();
        for _ in 0..3 {
            let req = client::request(Method::Get, address, "/x").expect("a request");
            let got = client.call(address, req, Limits::all(TIME), MOST).await;
            assert_eq!(got.expect("whole").1, b"whole");
        }
    });
}
