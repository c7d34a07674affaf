//! An endpoint whose answers never end, in a part that each play chooses, costs an instance neither its memory nor the
//! callers whose requests can be served elsewhere.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http::Request;
use http_body_util::BodyExt;
use oxbowbend_http::h1;

use crate::fleet::{Fleet, ENDPOINTS, KEY};
use crate::press;

/// A seed with one cell.
const SEED: u64 = 293;
/// Memory of the users' smallest machine, in bytes.
const MEMORY: usize = 88 << 20;
/// Bytes that such an endpoint sends at the most on one connection, so that an instance without bounds does not fill
/// this machine.
const SENT_AT_MOST: usize = 96 << 20;
/// Sound endpoints; they serve all requests within their objective.
const SOUND: usize = 2;
/// Requests at once; some of them get to the endpoint.
const REQUESTS: usize = 24;
/// Time that a request takes at the sound endpoint.
const WORK: Duration = Duration::from_millis(20);
/// Time until an endpoint that enters or leaves is known everywhere.
const KNOWN_AFTER: Duration = Duration::from_millis(1000);
const PATIENCE: Duration = Duration::from_millis(3000);
/// Time after which an instance has closed its connections to the endpoint: a caller's patience, and half a second.
const CLOSED_AFTER: Duration = Duration::from_millis(3500);

/// What does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    Head,
    Interim,
    Length,
    Chunks,
    UntilClose,
    Error,
    Event,
    Comments,
}

const PARTS: [Part; 8] = [
    Part::Head,
    Part::Interim,
    Part::Length,
    Part::Chunks,
    Part::UntilClose,
    Part::Error,
    Part::Event,
    Part::Comments,
];

impl Part {
    /// The route whose requests are sent. Both kinds may be sent to another endpoint.
    fn route(self) -> &'static str {
        match self {
            Part::Event | Part::Comments => "stream-on",
            _ => "again",
        }
    }

    /// Whether nothing of the answer can have been passed on when it is noticed, so that another endpoint serves the
    /// request.
    fn is_noticed_first(self) -> bool {
        matches!(self, Part::Head | Part::Interim | Part::Event)
    }

    fn begins(self, id: &str) -> String {
        let head = |status, more| {
            format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\nserver-seal: s\r\n{more}\r\n")
        };
        match self {
            Part::Head => "HTTP/1.1 200 OK\r\nx: ".to_owned(),
            Part::Interim => String::new(),
            Part::Length => head("200 OK", "content-length: 99999999999\r\n"),
            Part::Chunks => head("200 OK", "transfer-encoding: chunked\r\n"),
            Part::UntilClose => head("200 OK", ""),
            Part::Error => head("500 Internal Server Error", ""),
            Part::Event => head("200 OK", "content-type: text/event-stream\r\n") + "data: ",
            Part::Comments => head("200 OK", "content-type: text/event-stream\r\n"),
        }
    }

    fn goes_on(self) -> Vec<u8> {
        let piece = match self {
            Part::Interim => "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".to_owned(),
            Part::Chunks => format!("1000\r\n{}\r\n", "x".repeat(0x1000)),
            Part::Comments => ": nothing\n\n".to_owned(),
            _ => "x".to_owned(),
        };
        piece.repeat(65_536 / piece.len()).into_bytes()
    }
}

/// What such an endpoint has seen.
#[derive(Default)]
struct Counts {
    requests: AtomicUsize,
    open: AtomicUsize,
}

async fn answer(mut stream: TcpStream, part: Part, counts: Arc<Counts>) {
    let (mut req, mut buf) = (Vec::new(), [0; 4096]);
    while !req.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => req.extend_from_slice(&buf[..n]),
            _ => return,
        }
    }
    counts.requests.fetch_add(1, Ordering::SeqCst);
    counts.open.fetch_add(1, Ordering::SeqCst);
    let req = String::from_utf8_lossy(&req);
    let id = req.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default();
    let _ = stream.write_all(part.begins(id).as_bytes()).await;
    let (more, mut sent) = (part.goes_on(), 0);
    while sent < SENT_AT_MOST && stream.write_all(&more).await.is_ok() {
        sent += more.len();
    }
    // The connection stays open until the other end closes it.
    while !matches!(stream.read(&mut buf).await, Ok(0) | Err(_)) {}
    counts.open.fetch_sub(1, Ordering::SeqCst);
}

async fn start(part: Part) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, counts) = (listener.local_addr().unwrap(), Arc::new(Counts::default()));
    let seen = counts.clone();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(answer(stream, part, seen.clone()));
        }
    });
    (address, counts)
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ended {
    Whole(u16),
    /// An answer whose end did not come.
    BrokenOff,
    Unanswered,
}

/// Sends a request and counts what comes, without keeping it.
async fn send(daemon: SocketAddr, route: &str, id: String) -> Ended {
    let cfg = h1::PoolConfig { connect: Duration::from_millis(500), idle: Duration::ZERO };
    let Ok(mut conn) = h1::Pool::new(cfg).connect(daemon).await else { return Ended::Unanswered };
    let req = Request::post(format!("/{route}/x"))
        .header("host", "h.example")
        .header("request-id", id)
        .header("deadline-ms", PATIENCE.as_millis() as u64)
        .header("authorization", format!("Bearer {KEY}"))
        .body("some words".into())
        .unwrap();
    let mut ended = Ended::Unanswered;
    let call = async {
        let Ok(mut answer) = conn.send(req).await else { return };
        ended = Ended::BrokenOff;
        while let Some(frame) = answer.body_mut().frame().await {
            if frame.is_err() {
                return;
            }
        }
        ended = Ended::Whole(answer.status().as_u16());
    };
    let _ = async_std::future::timeout(PATIENCE + Duration::from_millis(200), call).await;
    ended
}

/// Plays one kind of answer; returns what was not as it must be.
async fn play(fleet: &Fleet, part: Part) -> Vec<String> {
    let (address, counts) = start(part).await;
    let id = format!("endless-{part:?}");
    fleet.enter_other(&id, address);
    task::sleep(KNOWN_AFTER).await;
    let daemon = &fleet.daemons[0];
    let all = (0..REQUESTS).map(|n| send(daemon.callers, part.route(), format!("{part:?}-{n}")));
    let ended = futures::future::join_all(all).await;
    fleet.store.remove(&format!("servers/{id}"));
    let reached = counts.requests.load(Ordering::SeqCst);
    let whole = ended.iter().filter(|ended| **ended == Ended::Whole(200)).count();
    let peak = daemon.peak_memory();
    println!(
        "{part:?}: {reached} reached it, {whole} of {REQUESTS} served, peak {} MB",
        peak >> 20
    );
    let mut broken = Vec::new();
    if reached == 0 {
        broken.push(format!("{part:?}: no request reached the endpoint"));
    }
    if peak > MEMORY {
        broken.push(format!("{part:?}: {} MB of memory", peak >> 20));
    }
    let must_be_served = if part.is_noticed_first() { REQUESTS } else { REQUESTS - reached };
    if whole < must_be_served {
        broken.push(format!("{part:?}: {whole} of {must_be_served} served: {ended:?}"));
    }
    task::sleep(CLOSED_AFTER.saturating_sub(PATIENCE)).await;
    let open = counts.open.load(Ordering::SeqCst);
    if open > 0 {
        broken.push(format!("{part:?}: {open} connections are still open"));
    }
    broken
}

/// Whole answers, and the beginnings of events, were kept without a bound: an endpoint whose answer did not end took
/// all memory of the instance, and with it every caller.
#[test]
fn an_answer_without_end_takes_no_memory_and_no_other_request_with_it() {
    let broken = press::play_in_turn(std::iter::once(async {
        let fleet = Fleet::start(SEED).await;
        assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
        // Few sound endpoints, so that the other one is needed.
        (SOUND..ENDPOINTS).for_each(|n| fleet.leave(n));
        fleet.endpoints.iter().for_each(|endpoint| endpoint.set_work(WORK));
        let mut broken = Vec::new();
        for part in PARTS {
            broken.extend(play(&fleet, part).await);
        }
        broken
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
