//! Servers with a budget of what clients make them hold.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::{future, task};
use http::{Request, Response};
use hyper::body::Incoming;
use oxbowbend_core::memory::{Group, MemoryConfig, TimeLimits};
use oxbowbend_http::h1;
use oxbowbend_http::memory::{ConnectionHandle, Memory};

/// Longer than anything here may take.
const LONG: Duration = Duration::from_secs(20);

fn memory(bytes: usize, limits: TimeLimits) -> Memory {
    let memory = Memory::new(MemoryConfig {
        bytes,
        client_connections: 4,
        instance_connections: 1,
        internal_connections: 1,
    });
    memory.set_limits(Group::Clients, limits, 16 * 1024);
    let swept = memory.clone();
    task::spawn(async move {
        loop {
            swept.end_expired(false);
            task::sleep(Duration::from_millis(20)).await;
        }
    });
    memory
}

/// Answers with the length and the sum of a body, or 503 if it cannot be held.
async fn answer(req: Request<Incoming>) -> Response<h1::Whole> {
    let (mut head, mut body) = req.into_parts();
    let handle: Option<Arc<ConnectionHandle>> = head.extensions.remove();
    let mut answer = Response::new(h1::Whole::default());
    if head.uri.path() == "/refused" {
        h1::discard(&mut body, handle.as_ref(), 1 << 20, LONG).await;
        *answer.status_mut() = http::StatusCode::NOT_FOUND;
        return answer;
    }
    match h1::hold(&mut body, handle.as_ref(), 1 << 20).await {
        Ok(body) => {
            let sum: u64 = body.pieces().iter().flatten().map(|b| u64::from(*b)).sum();
            *answer.body_mut() = h1::Whole::from(format!("{} {sum}", body.len()));
        }
        Err(_) => *answer.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE,
    }
    answer
}

async fn serve(memory: Memory) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cfg = h1::ServeConfig { connections: 1, head: 8192 };
    let limits =
        h1::ConnectionLimits { gate: Arc::default(), memory: Some((memory, Group::Clients)) };
    task::spawn(h1::serve_limited(listener, cfg, Arc::default(), limits, answer));
    address
}

async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Reads to the end of the connection.
async fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    let _ = future::timeout(LONG, stream.read_to_end(&mut text)).await.expect("an end");
    String::from_utf8(text).unwrap()
}

const NO_LIMITS: TimeLimits = TimeLimits { head: LONG, idle: LONG };

/// A body in chunks of any size is held as it was sent.
#[test]
fn a_body_in_chunks_is_held_whole() {
    task::block_on(async {
        let address = serve(memory(8 << 20, NO_LIMITS)).await;
        for chunk in [1, 7, 1000, 70_000] {
            let mut req = b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            let body: Vec<u8> = (0..150_000_u32).map(|n| (n % 251) as u8).collect();
            for piece in body.chunks(chunk) {
                req.extend(format!("{:x}\r\n", piece.len()).into_bytes());
                req.extend(piece);
                req.extend(b"\r\n");
            }
            req.extend(b"0\r\n\r\n");
            let sum: u64 = body.iter().map(|b| u64::from(*b)).sum();
            let text = read_all(send(address, &req).await).await;
            assert!(text.ends_with(&format!("150000 {sum}")), "{text}");
        }
    });
}

/// A head that never ends kept its connection for ever.
#[test]
fn a_head_that_takes_too_long_ends_its_connection() {
    task::block_on(async {
        let limits = TimeLimits { head: Duration::from_millis(100), idle: LONG };
        let address = serve(memory(8 << 20, limits)).await;
        let stream = send(address, b"POST / HTTP/1.1\r\nHost").await;
        assert_eq!(read_all(stream).await, "");
    });
}

/// Idle connections were never closed.
#[test]
fn an_idle_connection_ends_after_its_answer() {
    task::block_on(async {
        let limits = TimeLimits { head: LONG, idle: Duration::from_millis(100) };
        let address = serve(memory(8 << 20, limits)).await;
        let text = read_all(send(address, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await).await;
        assert!(text.ends_with("0 0"), "{text}");
    });
}

/// What a client holds is given back with its connection, also in the middle of a body.
#[test]
fn nothing_stays_charged_after_clients_have_left() {
    task::block_on(async {
        let memory = memory(8 << 20, NO_LIMITS);
        let address = serve(memory.clone()).await;
        let beginning = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n";
        let body = [beginning.as_slice(), &[b'x'; 500_000]].concat();
        let requests = [&body, b"POST / HT".as_slice(), b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"];
        for req in requests {
            let stream = send(address, req).await;
            let is_charged = || memory.usage().held.iter().sum::<usize>() > 0;
            wait_until(is_charged).await;
            drop(stream);
            wait_until(|| !is_charged()).await;
        }
    });
}

/// A body that makes no progress yields to one that needs its bytes, and is told that it has not run.
#[test]
fn a_body_without_progress_yields() {
    task::block_on(async {
        let address = serve(memory(1 << 20, NO_LIMITS)).await;
        let head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n";
        let stalled = send(address, &[head.as_slice(), &[b'x'; 590_000]].concat()).await;
        task::sleep(Duration::from_millis(1200)).await;
        let close =
            b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 600000\r\n\r\n";
        let other = send(address, &[close.as_slice(), &[b'x'; 600_000]].concat()).await;
        let served = read_all(other).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
        let refused = read_all(stalled).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    });
}

/// Refused bodies without progress kept their connections for as long as the request had, whoever else came.
#[test]
fn a_refused_body_without_progress_yields() {
    task::block_on(async {
        let address = serve(memory(8 << 20, NO_LIMITS)).await;
        let head = b"POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\nxx";
        let mut stalled = Vec::new();
        for _ in 0..4 {
            stalled.push(send(address, head).await);
        }
        task::sleep(Duration::from_millis(1200)).await;
        let other = send(address, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").await;
        let served = read_all(other).await;
        assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    });
}

async fn wait_until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            task::sleep(Duration::from_millis(5)).await;
        }
    };
    future::timeout(LONG, wait).await.expect("it comes about");
}
