//! Endpoints that answer wrongly: with a status that no response has, or with a success that they break off while the
//! request is still being sent. None of it reaches a caller as an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use oxbowbend_http::h1;

use crate::fleet::{Fleet, ENDPOINTS, KEY};
use crate::press;

/// A seed with one cell.
const SEED: u64 = 351;
/// Bytes of a body that the configuration allows, of one that no kernel takes whole from its sender, and of a beginning
/// of it that an endpoint reads.
const MAX_BODY: usize = 4 << 20;
const UPLOAD: usize = 4_000_000;
const READ: usize = 20_000;
/// Bytes of an answer that is buffered, and of one that is passed on as it arrives.
const SHORT: usize = 500;
const LONG: usize = 400_000;
/// Routes, and requests at once on each; some of them get to the endpoint.
const ROUTES: [&str; 4] = ["once", "stream", "stream-on", "again"];
const REQUESTS: usize = 2;
/// Sound endpoints, without which an instance would take itself for cut off.
const SOUND: usize = 2;
/// Requests that an endpoint runs at once, so that all endpoints are needed.
const SLOTS: u32 = 1;
/// Time that a request takes there.
const WORK: Duration = Duration::from_millis(50);
/// What the body of a wrong answer says.
const WRONG: &[u8] = b"partial";
/// Time until an endpoint that enters or leaves is known everywhere.
const KNOWN_AFTER: Duration = Duration::from_millis(1000);
const PATIENCE: Duration = Duration::from_millis(3000);
/// Time between the end of an answer and what follows.
const PAUSE: Duration = Duration::from_millis(30);

/// How an endpoint ends its connection while the request is still being sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// A reset.
    Reset,
    /// It closes, with a part of the request unread.
    Unread,
}

/// What an endpoint does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Wrong {
    /// An answer with this status, and a whole body.
    Status(&'static str),
    /// A success without a length, before the request has been read.
    Early { read: usize, answer: usize, end: End },
}

const STATUSES: [&str; 6] =
    ["000 Trouble", "101 Switching Protocols", "099 X", "199 X", "600 X", "999 X"];

impl Wrong {
    fn all() -> Vec<Wrong> {
        let statuses = STATUSES.into_iter().map(Wrong::Status);
        let ends = [End::Reset, End::Unread];
        let early = ends.into_iter().flat_map(|end| {
            let sizes = [(0, SHORT), (READ, SHORT), (READ, LONG)];
            sizes.map(|(read, answer)| Wrong::Early { read, answer, end })
        });
        statuses.chain(early).collect()
    }

    fn body(self) -> Bytes {
        let length = if matches!(self, Wrong::Status(_)) { 10 } else { UPLOAD };
        vec![b'q'; length].into()
    }
}

async fn answer(mut stream: TcpStream, wrong: Wrong) -> std::io::Result<()> {
    let (mut req, mut buf) = (Vec::new(), vec![0; 4096]);
    let mut ends_at = None;
    while ends_at.is_none() {
        let n = stream.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        req.extend_from_slice(&buf[..n]);
        ends_at = req.windows(4).position(|w| w == b"\r\n\r\n");
    }
    let head = String::from_utf8_lossy(&req).into_owned();
    let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default();
    let sealed = format!("request-id: {id}\r\nserver-seal: s\r\n");
    match wrong {
        Wrong::Status(status) => {
            let text = format!("HTTP/1.1 {status}\r\n{sealed}content-length: 7\r\n\r\npartial");
            stream.write_all(text.as_bytes()).await?;
        }
        Wrong::Early { read, answer, end } => {
            let mut left = read;
            while left > 0 {
                left = left.saturating_sub(stream.read(&mut buf).await?.max(1));
            }
            let event = "id: 1\ndata: partial\n\n";
            let part = event.repeat(answer / event.len());
            let text = format!("HTTP/1.1 200 OK\r\n{sealed}\r\n{part}");
            stream.write_all(text.as_bytes()).await?;
            task::sleep(PAUSE).await;
            match end {
                End::Reset => {
                    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                }
                End::Unread => {}
            }
        }
    }
    Ok(())
}

/// Starts an endpoint; returns its address and the number of its answers so far.
async fn start(wrong: Wrong) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, answers) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = answers.clone();
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = count.clone();
            task::spawn(async move {
                if answer(stream, wrong).await.is_ok() {
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, answers)
}

/// Sends a request; returns the status of an answer that came whole, and whether it is a wrong one.
async fn send(daemon: SocketAddr, route: &str, id: String, body: Bytes) -> Option<(u16, bool)> {
    let cfg = h1::PoolConfig { connect: Duration::from_millis(500), idle: Duration::ZERO };
    let mut conn = h1::Pool::new(cfg).connect(daemon).await.ok()?;
    let req = Request::post(format!("/{route}/x"))
        .header("host", "h.example")
        .header("request-id", id)
        .header("deadline-ms", PATIENCE.as_millis() as u64)
        .header("authorization", format!("Bearer {KEY}"))
        .body(body)
        .unwrap();
    let call = async {
        let answer = conn.send(req).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some((status, body.windows(WRONG.len()).any(|window| window == WRONG)))
    };
    async_std::future::timeout(PATIENCE, call).await.ok().flatten()
}

/// Plays one kind of answer on all routes; returns what was not as it must be.
async fn play(fleet: &Fleet, wrong: Wrong, number: usize) -> Vec<String> {
    let (address, answers) = start(wrong).await;
    let name = format!("wrong-{number}");
    fleet.enter_other(&name, address);
    task::sleep(KNOWN_AFTER).await;
    let daemon = fleet.daemons[0].callers;
    let routes = ROUTES.into_iter().cycle().take(ROUTES.len() * REQUESTS).enumerate();
    let send = |(n, route)| send(daemon, route, format!("{name}-{n}"), wrong.body());
    let ended = futures::future::join_all(routes.map(send)).await;
    fleet.store.remove(&format!("servers/{name}"));
    let answers = answers.load(Ordering::SeqCst);
    let mut counts = BTreeMap::new();
    ended.iter().for_each(|ended| *counts.entry(ended).or_insert(0) += 1);
    println!("{wrong:?}: {answers} answers; {counts:?}");
    // Sound answers, and failures of the gateway itself.
    let is_right = |ended: &Option<(u16, bool)>| {
        ended.is_none_or(|(status, is_wrong)| !is_wrong && matches!(status, 200 | 502..=504))
    };
    let mut broken = Vec::new();
    if !ended.iter().all(is_right) {
        broken.push(format!("{wrong:?} is passed on: {counts:?}"));
    }
    if answers == 0 {
        broken.push(format!("{wrong:?}: no request reached the endpoint"));
    }
    broken
}

/// Guards against a part of an answer, or an answer that is none, that a caller takes for a whole one.
#[test]
fn wrong_answers_of_endpoints_reach_no_caller_as_answers() {
    let broken = press::play_in_turn(std::iter::once(async {
        let mut fleet = Fleet::start_with_slots(SEED, SLOTS).await;
        fleet.max_body_bytes = MAX_BODY;
        fleet.configure();
        assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
        (SOUND..ENDPOINTS).for_each(|n| fleet.leave(n));
        fleet.endpoints.iter().for_each(|endpoint| endpoint.set_work(WORK));
        let mut broken = Vec::new();
        for (n, wrong) in Wrong::all().into_iter().enumerate() {
            broken.extend(play(&fleet, wrong, n).await);
        }
        broken
    }));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
