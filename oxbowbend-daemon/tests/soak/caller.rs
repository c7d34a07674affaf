//! Callers, and what they are promised.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::Request;
use http_body_util::BodyExt;
use oxbowbend_http::h1;

use crate::endpoint::{Runs, EVENTS, LEAVES};
use crate::exchanges::{beginning, SENT_AT, SENT_TO};
use crate::fleet::{ACCOUNT, KEY};

/// How long a caller waits.
const PATIENCE: Duration = Duration::from_millis(3000);

/// Time after which a caller leaves that does not wait for its stream's end.
const LEAVES_AFTER: Duration = Duration::from_millis(60);

/// Kinds of requests, by the route's prefix.
pub const KINDS: [&str; 4] = ["once", "again", "stream", "stream-on"];

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub kind: &'static str,
    pub daemon: SocketAddr,
    pub at: Instant,
    pub status: Option<u16>,
    pub body: Bytes,
    /// Whether the body came to its end.
    pub is_whole: bool,
    /// Whether there was a connection at all.
    pub is_sent: bool,
}

/// Sends one request on a connection of its own.
pub async fn send(daemon: SocketAddr, kind: &'static str, id: String) -> Seen {
    send_to(daemon, kind, kind, id).await
}

/// Sends one request to a route of its own.
pub async fn send_to(daemon: SocketAddr, prefix: &str, kind: &'static str, id: String) -> Seen {
    send_body(daemon, prefix, kind, id, Bytes::from("some words")).await
}

/// Sends one request with a body of its own.
pub async fn send_body(
    daemon: SocketAddr,
    prefix: &str,
    kind: &'static str,
    id: String,
    body: Bytes,
) -> Seen {
    send_as(KEY, daemon, prefix, kind, id, body).await
}

/// Sends one request of the client account of a key.
pub async fn send_as(
    key: &str,
    daemon: SocketAddr,
    prefix: &str,
    kind: &'static str,
    id: String,
    body: Bytes,
) -> Seen {
    send_call(Call { key, daemon, prefix, kind, id, body, prompt_prefix: "" }).await
}

/// A request that is to be sent.
pub struct Call<'a> {
    pub key: &'a str,
    pub daemon: SocketAddr,
    pub prefix: &'a str,
    pub kind: &'static str,
    pub id: String,
    pub body: Bytes,
    /// Parts of its prompt; empty if it tells none.
    pub prompt_prefix: &'a str,
}

/// Sends one request with parts of a prompt.
pub async fn send_call(call: Call<'_>) -> Seen {
    let Call { key, daemon, prefix, kind, id, body, prompt_prefix } = call;
    let sent_at = beginning().elapsed();
    let mut seen = Seen {
        id: id.clone(),
        kind,
        daemon,
        at: Instant::now(),
        status: None,
        body: Bytes::new(),
        is_whole: false,
        is_sent: false,
    };
    let cfg = h1::PoolConfig { connect: Duration::from_millis(500), idle: Duration::ZERO };
    let Ok(mut conn) = h1::Pool::new(cfg).connect(daemon).await else { return seen };
    let mut req = Request::post(format!("/{prefix}/x"))
        .header("host", "h.example")
        .header("request-id", &id)
        .header("deadline-ms", PATIENCE.as_millis() as u64)
        .header("authorization", format!("Bearer {key}"))
        .header("tenant", "somebody-else")
        .header(SENT_TO, daemon.to_string())
        .header(SENT_AT, sent_at.as_micros() as u64)
        .body(body)
        .unwrap();
    if !prompt_prefix.is_empty() {
        req.headers_mut().insert("prompt-prefix", prompt_prefix.parse().unwrap());
    }
    seen.is_sent = true;
    let call = async {
        let mut answer = conn.send(req).await.ok()?;
        seen.status = Some(answer.status().as_u16());
        let mut body = BytesMut::new();
        while let Some(frame) = answer.body_mut().frame().await {
            body.extend_from_slice(frame.ok()?.data_ref()?);
            seen.body = body.clone().freeze();
        }
        seen.is_whole = true;
        Some(())
    };
    // The caller's own deadline; what it has seen until then is judged.
    let limit = if is_leaving(&id) { LEAVES_AFTER } else { PATIENCE + Duration::from_millis(200) };
    let _ = async_std::future::timeout(limit, call).await;
    seen
}

/// Every seventh caller leaves early, and those whose id says so.
pub fn is_leaving(id: &str) -> bool {
    if id.starts_with(LEAVES) {
        return true;
    }
    let number = id.strip_prefix("r-").and_then(|id| id.rsplit('-').next()?.parse::<u64>().ok());
    number.is_some_and(|n| n % 7 == 0)
}

impl Seen {
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.is_whole
    }

    /// Promises that one answer can break by itself, against what endpoints have run.
    pub fn check(&self, runs: &Runs) -> Vec<String> {
        let ran = runs.lock().unwrap().runs.get(&self.id).cloned().unwrap_or_default();
        let mut broken = Vec::new();
        let mut expect = |holds: bool, promise: &str| {
            if !holds {
                broken.push(format!("{promise}: {self:?}, run {} times", ran.len()));
            }
        };
        let may_repeat = matches!(self.kind, "again" | "stream-on");
        expect(may_repeat || ran.len() <= 1, "at most once");
        expect(ran.iter().all(|account| account == ACCOUNT), "the caller's own account");
        if matches!(self.status, Some(429 | 503 | 408 | 421)) {
            expect(ran.is_empty(), "\"not run\" is true");
        }
        if self.status == Some(200) && !self.kind.starts_with("stream") && self.is_whole {
            let own = format!("answer of {}", self.id);
            expect(self.body == own.as_bytes(), "the whole answer and only one's own");
        }
        if self.status == Some(200) && self.kind.starts_with("stream") {
            let all: String =
                (1..=EVENTS).map(|n| format!("id: {n}\ndata: {}\n\n", self.id)).collect();
            expect(all.as_bytes().starts_with(&self.body), "events in order, none twice");
            expect(!self.is_whole || self.body.len() == all.len(), "no end before the last event");
        }
        broken
    }
}
