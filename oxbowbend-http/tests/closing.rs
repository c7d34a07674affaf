//! A server that is stopped counts a request until its caller has the whole answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures::stream;
use http::{Request, Response};
use http_body_util::{Either, StreamBody};
use hyper::body::{Frame, Incoming};
use oxbowbend_http::h1;

/// Time within which all of an answer has been read.
const LIMIT: Duration = Duration::from_secs(20);
/// Bytes that a caller reads at once, and its pause after each.
const PIECE: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(10);
/// Bytes of a frame of an answer in pieces.
const FRAME: usize = 10_000;

type Frames = stream::Iter<std::vec::IntoIter<Result<Frame<Bytes>, std::io::Error>>>;

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    UntilClose,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    framing: Framing,
    size: usize,
    /// Bytes that the caller's socket holds.
    window: usize,
    /// Whether the server is stopped when the answer has begun, else before.
    is_stopped_late: bool,
}

fn answer(case: Case) -> Response<Either<h1::Whole, StreamBody<Frames>>> {
    let Case { framing, size, .. } = case;
    if framing == Framing::Length {
        return Response::new(Either::Left(h1::Whole::from(vec![b'x'; size])));
    }
    let frame = |at: usize| Ok(Frame::data(Bytes::from(vec![b'x'; FRAME.min(size - at)])));
    let frames: Vec<_> = (0..size).step_by(FRAME).map(frame).collect();
    Response::new(Either::Right(StreamBody::new(stream::iter(frames))))
}

/// Reads an answer slowly and returns whether it ended well; `got` counts the bytes read.
async fn read(case: Case, address: SocketAddr, got: Arc<AtomicUsize>) -> bool {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(case.window).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = TcpStream::from(std::net::TcpStream::from(socket));
    let version = if case.framing == Framing::UntilClose { "1.0" } else { "1.1" };
    let req = format!("GET / HTTP/{version}\r\nhost: h\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut buf = vec![0; PIECE];
    loop {
        match stream.read(&mut buf).await {
            Ok(0) => return true,
            Ok(n) => got.fetch_add(n, Ordering::SeqCst),
            Err(_) => return false,
        };
        task::sleep(PAUSE).await;
    }
}

async fn play(case: Case) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, door) = (listener.local_addr().unwrap(), Arc::new(h1::Door::default()));
    let cfg = h1::ServeConfig { connections: 10, head: 16384 };
    let of_handler = door.clone();
    let handler = move |_: Request<Incoming>| {
        let door = of_handler.clone();
        async move {
            while !case.is_stopped_late && !door.is_closing() {
                task::sleep(Duration::from_millis(1)).await;
            }
            answer(case)
        }
    };
    task::spawn(h1::serve(listener, cfg, door.clone(), handler));
    let got = Arc::new(AtomicUsize::new(0));
    let caller = task::spawn(read(case, address, got.clone()));
    let started = Instant::now();
    while door.busy() == 0 && got.load(Ordering::SeqCst) == 0 {
        task::sleep(Duration::from_millis(1)).await;
        assert!(started.elapsed() < LIMIT, "{case:?}: no request");
    }
    while case.is_stopped_late && got.load(Ordering::SeqCst) == 0 {
        task::sleep(Duration::from_millis(1)).await;
    }
    door.shut();
    while door.busy() + door.answered() > 0 {
        task::sleep(Duration::from_millis(1)).await;
        assert!(started.elapsed() < LIMIT, "{case:?}: still counted");
    }
    // Here a process ends.
    let read = got.load(Ordering::SeqCst);
    assert!(caller.await, "{case:?}: the connection was reset");
    assert!(read >= case.size, "{case:?}: the caller had read {read}");
}

/// A stop lasted until its deadline after a caller had left in the middle of an answer.
#[test]
fn an_answer_whose_caller_has_left_does_not_count() {
    let cfg = h1::ServeConfig { connections: 10, head: 16384 };
    let framings = [Framing::Length, Framing::Chunks, Framing::UntilClose];
    let plays = framings.map(|framing| async move {
        let case = Case { framing, size: 3_000_000, window: 4096, is_stopped_late: true };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, door) = (listener.local_addr().unwrap(), Arc::new(h1::Door::default()));
        let handler = move |_: Request<Incoming>| async move { answer(case) };
        task::spawn(h1::serve(listener, cfg, door.clone(), handler));
        let got = Arc::new(AtomicUsize::new(0));
        let caller = task::spawn(read(case, address, got.clone()));
        while got.load(Ordering::SeqCst) == 0 {
            task::sleep(Duration::from_millis(1)).await;
        }
        caller.cancel().await;
        door.shut();
        let left = Instant::now();
        while door.busy() + door.answered() + door.open() > 0 {
            task::sleep(Duration::from_millis(1)).await;
            assert!(left.elapsed() < Duration::from_secs(2), "{case:?}: still counted");
        }
    });
    task::block_on(futures::future::join_all(plays));
}

/// A process ended while the last bytes of an answer were in its buffers.
#[test]
fn a_request_is_in_progress_until_its_caller_has_the_answer() {
    let framings = [Framing::Length, Framing::Chunks, Framing::UntilClose];
    let cases = framings.into_iter().flat_map(|framing| {
        let sizes = [(100, 65536), (200_000, 4096), (1_000_000, 16384), (3_000_000, 65536)];
        sizes.into_iter().flat_map(move |(size, window)| {
            [false, true].map(|is_stopped_late| Case { framing, size, window, is_stopped_late })
        })
    });
    // A small answer has been read before the stop.
    let cases = cases.filter(|case| !case.is_stopped_late || case.size > 1000);
    task::block_on(futures::future::join_all(cases.map(play)));
}
