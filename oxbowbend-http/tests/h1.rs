//! What a call gives for answers of every shape, against a raw server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use oxbowbend_http::h1;

const LIMIT: Duration = Duration::from_secs(5);

fn pool() -> h1::Pool {
    h1::Pool::new(h1::PoolConfig { connect: LIMIT, idle: LIMIT })
}

fn request(body: &'static [u8]) -> Request<Bytes> {
    Request::post("/x").header("host", "h").body(Bytes::from_static(body)).expect("a request")
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Reads a head, and a body of `length`.
async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut got = Vec::new();
    let mut byte = [0];
    while !got.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.expect("a head");
        got.push(byte[0]);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.expect("a body");
    got.extend(body);
    got
}

/// A server that answers the first request of each connection with these bytes and closes it.
async fn server(answer: &'static [u8], reset: bool) -> SocketAddr {
    let (listener, address) = listener().await;
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(mut stream)) = incoming.next().await {
            read(&mut stream, 0).await;
            stream.write_all(answer).await.expect("written");
            if reset {
                // Time for the bytes to be read, which a reset would take away.
                task::sleep(Duration::from_millis(50)).await;
                let linger = Some(Duration::ZERO);
                socket2::SockRef::from(&stream).set_linger(linger).expect("an option");
            }
        }
    });
    address
}

/// Name, bytes of the answer, whether a reset follows, and what a call should give.
type Case = (&'static str, &'static [u8], bool, Option<(u16, &'static str)>);

const CASES: [Case; 10] = [
    ("length", b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", false, Some((200, "whole"))),
    (
        "chunks",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
        false,
        Some((200, "whole")),
    ),
    ("ends with its connection", b"HTTP/1.1 200 OK\r\n\r\nwhole", false, Some((200, "whole"))),
    ("reset instead of an end", b"HTTP/1.1 200 OK\r\n\r\nwhole", true, None),
    ("cut length", b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nwhole", false, None),
    ("cut chunk", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nwhole", false, None),
    (
        "no last chunk",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        false,
        None,
    ),
    (
        "interim answer first",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
        false,
        Some((200, "whole")),
    ),
    (
        "two lengths",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 3\r\n\r\nwhole",
        false,
        None,
    ),
    ("no answer", b"no answer at all\r\n\r\n", false, None),
];

#[test]
fn answers_of_every_shape() {
    task::block_on(async {
        for (name, answer, reset, expected) in CASES {
            let address = server(answer, reset).await;
            let got = pool().call(address, request(b""), LIMIT).await;
            let got = got.ok().map(|a| (a.status().as_u16(), a.into_body()));
            let expected = expected.map(|(status, body)| (status, Bytes::from(body)));
            assert_eq!(got, expected, "{name}");
        }
    });
}

/// Extra bytes after an answer end the connection; they are not the next request's answer.
#[test]
fn a_second_answer_is_not_taken_for_the_next_one() {
    const TWO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1\
        HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n2";
    task::block_on(async {
        let address = server(TWO, false).await;
        let pool = pool();
        for _ in 0..3 {
            let answer = pool.call(address, request(b""), LIMIT).await.expect("an answer");
            assert_eq!(&answer.body()[..], b"1");
            task::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// A server may answer before it has read a long body, and read on. The connection is not used for
/// another request before the body is through.
#[test]
fn an_early_answer_does_not_mix_requests() {
    // More than the sockets of both sides hold.
    static BODY: [u8; 32 << 20] = [b'b'; 32 << 20];
    task::block_on(async {
        let (listener, address) = listener().await;
        let server = task::spawn(async move {
            let mut incoming = listener.incoming();
            let mut first = incoming.next().await.expect("one").expect("a connection");
            read(&mut first, 0).await;
            let early = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly";
            first.write_all(early).await.expect("written");
            let mut second = incoming.next().await.expect("one").expect("a connection");
            let got = read(&mut second, 4).await;
            let next = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext";
            second.write_all(next).await.expect("written");
            got
        });
        let pool = pool();
        let early = pool.call(address, request(&BODY), LIMIT).await.expect("an answer");
        assert_eq!(&early.body()[..], b"early");
        task::sleep(Duration::from_millis(100)).await;
        let next = pool.call(address, request(b"body"), LIMIT).await.expect("an answer");
        assert_eq!(&next.body()[..], b"next");
        assert!(server.await.ends_with(b"\r\n\r\nbody"));
    });
}

/// A connection that closed while idle is replaced, since nothing was sent on it.
#[test]
fn a_kept_connection_that_has_closed_is_replaced() {
    task::block_on(async {
        let address = server(CASES[0].1, false).await;
        let pool = pool();
        for _ in 0..5 {
            let answer = pool.call(address, request(b""), LIMIT).await.expect("an answer");
            assert_eq!(&answer.body()[..], b"whole");
        }
    });
}

#[test]
fn no_connection_is_known_to_be_unsent() {
    task::block_on(async {
        let (closed, address) = listener().await;
        drop(closed);
        let e = pool().call(address, request(b""), LIMIT).await.expect_err("nobody listens");
        assert!(e.is_unsent(), "{e}");
    });
}

async fn echo(req: Request<Incoming>) -> Response<h1::Whole> {
    let body = req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    Response::new(h1::Whole::new(body))
}

async fn serve_echo(door: &Arc<h1::Door>) -> SocketAddr {
    let (listener, address) = listener().await;
    let cfg = h1::ServeConfig { connections: 10, head: 16384 };
    task::spawn(h1::serve(listener, cfg, door.clone(), echo));
    address
}

/// What stands inside a body is no request, with a length and in chunks.
#[test]
fn a_request_inside_a_body_is_not_served() {
    const INNER: &str = "GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n";
    let length = format!("content-length: {}\r\n\r\n{INNER}", INNER.len());
    let chunks =
        format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{INNER}\r\n0\r\n\r\n", INNER.len());
    task::block_on(async {
        let address = serve_echo(&Arc::default()).await;
        for framed in [length, chunks] {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let text = format!("POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{framed}");
            stream.write_all(text.as_bytes()).await.expect("written");
            let mut got = String::new();
            stream.read_to_string(&mut got).await.expect("read");
            assert_eq!(got.matches("HTTP/1.1 200").count(), 1, "{got}");
            assert!(got.ends_with(INNER), "{got}");
        }
    });
}

/// After [`h1::Door::shut`] idle connections end, and a later one gets one answer.
#[test]
fn a_shut_door_ends_idle_connections() {
    const ONE: &[u8] = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi";
    task::block_on(async {
        let door = Arc::new(h1::Door::default());
        let address = serve_echo(&door).await;
        let mut idle = TcpStream::connect(address).await.expect("a connection");
        idle.write_all(ONE).await.expect("written");
        let answer = read(&mut idle, 2).await;
        assert!(!String::from_utf8_lossy(&answer).contains("connection: close"));
        door.shut();
        let mut rest = Vec::new();
        idle.read_to_end(&mut rest).await.expect("an end");
        assert!(rest.is_empty());
        let answer = pool().call(address, request(b"late"), LIMIT).await.expect("an answer");
        assert_eq!(answer.headers()["connection"], "close");
        assert_eq!(&answer.body()[..], b"late");
    });
}

/// Answers with two parts of a body, after which it breaks off.
async fn serve_breaking() -> SocketAddr {
    let (listener, address) = listener().await;
    let cfg = h1::ServeConfig { connections: 10, head: 16384 };
    let handler = |_: Request<Incoming>| async {
        let parts = futures::stream::iter([Ok("a"), Ok("b"), Err("broken off")]);
        let frames = parts.then(|part| async move {
            // Time for the part before it to be sent.
            task::sleep(Duration::from_millis(30)).await;
            part.map(|part| Frame::data(Bytes::from(part)))
        });
        Response::new(StreamBody::new(frames))
    };
    task::spawn(h1::serve(listener, cfg, Arc::default(), handler));
    address
}

#[test]
fn an_answer_that_breaks_off_does_not_look_complete_to_callers_of_any_version() {
    for version in ["1.0", "1.1"] {
        task::block_on(async {
            let mut caller =
                TcpStream::connect(serve_breaking().await).await.expect("a connection");
            let head = format!("GET / HTTP/{version}\r\nhost: h\r\n\r\n");
            caller.write_all(head.as_bytes()).await.expect("written");
            let mut got = Vec::new();
            let end = caller.read_to_end(&mut got).await;
            let is_broken = end.is_err() || !got.ends_with(b"0\r\n\r\n") && version == "1.1";
            assert!(is_broken, "HTTP/{version}: {end:?} after {:?}", String::from_utf8_lossy(&got));
        });
    }
}

/// The service of a caller that leaves is dropped, which is how runs at endpoints end.
#[test]
fn a_caller_that_leaves_drops_its_request() {
    struct Told(async_std::channel::Sender<()>);
    impl Drop for Told {
        fn drop(&mut self) {
            self.0.try_send(()).expect("room for one");
        }
    }
    task::block_on(async {
        let (listener, address) = listener().await;
        let (tx, rx) = async_std::channel::bounded(1);
        let (began_tx, began) = async_std::channel::bounded(1);
        let cfg = h1::ServeConfig { connections: 10, head: 16384 };
        let handler = move |req: Request<Incoming>| {
            let (told, began_tx) = (Told(tx.clone()), began_tx.clone());
            async move {
                drop(req);
                began_tx.send(()).await.expect("a listener");
                std::future::pending::<()>().await;
                drop(told);
                Response::new(h1::Whole::default())
            }
        };
        task::spawn(h1::serve(listener, cfg, Arc::default(), handler));
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        caller.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("written");
        began.recv().await.expect("a request");
        drop(caller);
        let left = async_std::future::timeout(LIMIT, rx.recv()).await;
        assert_eq!(left.expect("dropped in time"), Ok(()));
    });
}

/// Endpoints accept a limited number of connections from all instances together.
/// A request was sent into a link that was cut, given up after 0.3 s and served by another endpoint. Its connection was closed, but what it had
/// been given was still on its way: when the link was back, 6 s later, it reached the first endpoint, which had been leaving for 2.8 s:
///
/// ```text
///  5.248 s  the request comes; 5.555 s it reaches another endpoint; 7.615 s the caller has the whole answer
///  8.661 s  the first endpoint is leaving
/// 11.459 s  the request reaches the first endpoint
/// ```
#[test]
fn a_request_that_is_given_up_does_not_arrive_later() {
    const BODY: &[u8] = &[b'x'; 60_000];
    task::block_on(async {
        let (listener, address) = listener().await;
        // Most of the request waits on this side until the endpoint reads.
        socket2::SockRef::from(&listener).set_recv_buffer_size(2_000).expect("an option");
        let call = pool().call(address, request(BODY), Duration::from_millis(100)).await;
        assert!(matches!(call, Err(h1::CallError::Timeout(_))), "{call:?}");
        task::sleep(Duration::from_millis(50)).await;
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let (mut got, mut buf) = (0, [0; 4096]);
        let end = loop {
            match stream.read(&mut buf).await {
                Ok(0) => break "closed",
                Ok(n) => got += n,
                Err(_) => break "reset",
            }
        };
        assert!(end == "reset" && got < BODY.len(), "{end} after {got} bytes");
    });
}

#[test]
fn idle_connections_are_bounded() {
    task::block_on(async {
        let door = Arc::new(h1::Door::default());
        let address = serve_echo(&door).await;
        let pool = pool();
        pool.set_bound(2);
        let calls = (0..6).map(|_| pool.call(address, request(b"body"), LIMIT));
        let answers = futures::future::join_all(calls).await;
        assert!(answers.iter().all(Result::is_ok));
        task::sleep(Duration::from_millis(100)).await;
        assert!(door.open() <= 2, "{} connections", door.open());
    });
}
