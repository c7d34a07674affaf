//! Callers that send at a pace of their own whatever becomes of their requests, on connections that they keep.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::{future, task};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oxbowbend_http::h1;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::daemons::Daemons;
use crate::engines::LAST_EVENT;

/// Key of a client account.
pub fn key_of(account: usize) -> String {
    format!("key-of-{account}")
}

/// Bytes of a request.
const BODY: usize = 2400;
/// Time in which a connection is to be established.
const CONNECT: Duration = Duration::from_secs(1);
/// Clients, each with a daemon of its own while its connections last.
const CLIENTS: usize = 160;
/// Objective of routes for which nothing else is said.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Further attempts of a caller that comes back at once.
const REPEATS: u32 = 4;

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Kind {
    /// The route's prefix.
    pub name: &'static str,
    pub service: &'static str,
    pub is_idempotent: bool,
    pub deadline: Duration,
    pub objective: Duration,
    /// Whether answers are streams.
    pub is_stream: bool,
    /// The route's rank; 0 is the most urgent.
    pub priority: u8,
    /// Endpoints that a request may be sent to.
    pub attempts: u32,
    /// Tokens of a prompt; none if the route has no prompts.
    pub prompt: Option<u64>,
}

impl Kind {
    /// The route's kind in the configuration.
    pub fn route_kind(self) -> &'static str {
        match (self.is_stream, self.is_idempotent) {
            (true, _) => "streaming",
            (false, true) => "idempotent",
            (false, false) => "non_idempotent",
        }
    }
}

pub const DRAFT: Kind = Kind {
    name: "draft",
    service: "models",
    is_idempotent: true,
    deadline: Duration::from_secs(5),
    objective: OBJECTIVE,
    is_stream: false,
    priority: 1,
    attempts: 2,
    prompt: None,
};
pub const ONCE: Kind = Kind { name: "once", is_idempotent: false, attempts: 1, ..DRAFT };
pub const POST: Kind = Kind {
    name: "post",
    service: "ledger",
    is_idempotent: false,
    deadline: Duration::from_secs(1),
    attempts: 1,
    ..DRAFT
};
pub const STREAM: Kind = Kind {
    name: "stream",
    is_idempotent: false,
    deadline: Duration::from_secs(15),
    is_stream: true,
    ..DRAFT
};
/// Time without an event after which a caller abandons a stream, also before its first one.
const MAX_GAP: Duration = Duration::from_secs(2);

/// What became of a request and its repeats.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub sent: Instant,
    pub kind: Kind,
    pub status: Option<u16>,
    /// When the answer began, whichever attempt it was of.
    pub began: Option<Instant>,
    /// The machine that the first attempt was sent to, and the status of its answer.
    pub first: Option<(SocketAddr, Option<u16>)>,
}

impl Seen {
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }

    /// Whether it was served, and the answer began within the objective.
    pub fn is_in_time(&self) -> bool {
        self.is_served() && self.began.is_some_and(|at| at - self.sent <= self.kind.objective)
    }
}

/// A whole answer, or nothing.
#[derive(Clone, Copy, Debug, Default)]
struct Answer {
    status: Option<u16>,
    /// When to come back.
    retry_after: Option<Duration>,
    began: Option<Instant>,
}

/// Load that goes on until it is told to stop; clones share it.
#[derive(Clone)]
pub struct Load {
    daemons: Daemons,
    /// Client accounts, of which each client uses one.
    accounts: usize,
    pool: h1::Pool,
    homes: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    rng: Arc<Mutex<Pcg64>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    stop: Arc<AtomicBool>,
    /// Whether callers come back at once, whatever they are told.
    pub is_hasty: Arc<AtomicBool>,
    /// Factor on the pace.
    pub factor: Arc<Mutex<f64>>,
}

impl Load {
    pub fn new(daemons: Daemons, seed: u64, accounts: usize) -> Load {
        let cfg = h1::PoolConfig { connect: CONNECT, idle: Duration::from_secs(10) };
        Load {
            daemons,
            accounts,
            pool: h1::Pool::new(cfg),
            homes: Arc::new(Mutex::new(vec![None; CLIENTS])),
            rng: Arc::new(Mutex::new(Pcg64::seed_from_u64(seed))),
            seen: Arc::default(),
            stop: Arc::default(),
            is_hasty: Arc::default(),
            factor: Arc::new(Mutex::new(1.0)),
        }
    }

    /// Sends requests of a kind, `per_s` a second times the factor.
    pub fn send(&self, kind: Kind, per_s: f64) {
        let this = self.clone();
        task::spawn(async move {
            let (mut due, mut n) = (Instant::now(), 0_u64);
            while !this.stop.load(Ordering::SeqCst) {
                n += 1;
                let client = this.rng.lock().unwrap().random_range(0..CLIENTS);
                task::spawn(this.clone().request(kind, client, n));
                due += Duration::from_secs_f64(1.0 / (per_s * *this.factor.lock().unwrap()));
                task::sleep(due - Instant::now().min(due)).await;
            }
        });
    }

    /// Sends nothing more.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Part of the requests of a kind sent in a time that were served, and their number; of all kinds if none is named.
    pub fn served(&self, kind: Option<Kind>, from: Instant, to: Instant) -> (f64, usize) {
        self.share(kind, from, to, Seen::is_served)
    }

    /// The same of those that were served and began within the objective.
    pub fn in_time(&self, kind: Option<Kind>, from: Instant, to: Instant) -> (f64, usize) {
        self.share(kind, from, to, Seen::is_in_time)
    }

    /// First tries of a time: how many were served, and their number, at some machines and at the others.
    pub fn first_tries(
        &self,
        from: Instant,
        to: Instant,
        is_there: impl Fn(SocketAddr) -> bool,
    ) -> [(usize, usize); 2] {
        let mut tries = [(0, 0); 2];
        let seen = self.seen.lock().unwrap();
        for seen in seen.iter().filter(|seen| seen.sent >= from && seen.sent < to) {
            let Some((machine, status)) = seen.first else { continue };
            let (served, all) = &mut tries[usize::from(!is_there(machine))];
            *served += usize::from(status == Some(200));
            *all += 1;
        }
        tries
    }

    /// Statuses of the first tries at some machines.
    pub fn first_statuses(
        &self,
        from: Instant,
        to: Instant,
        is_there: impl Fn(SocketAddr) -> bool,
    ) -> BTreeMap<(&'static str, Option<u16>), usize> {
        let mut statuses = BTreeMap::new();
        let seen = self.seen.lock().unwrap();
        for seen in seen.iter().filter(|seen| seen.sent >= from && seen.sent < to) {
            if let Some((_, status)) = seen.first.filter(|(machine, _)| is_there(*machine)) {
                *statuses.entry((seen.kind.name, status)).or_insert(0) += 1;
            }
        }
        statuses
    }

    fn share(
        &self,
        kind: Option<Kind>,
        from: Instant,
        to: Instant,
        is_good: impl Fn(&Seen) -> bool,
    ) -> (f64, usize) {
        let seen = self.seen.lock().unwrap();
        let is_meant = |s: &&Seen| {
            kind.is_none_or(|kind| kind.name == s.kind.name) && s.sent >= from && s.sent < to
        };
        let of = seen.iter().filter(is_meant).count();
        let served = seen.iter().filter(is_meant).filter(|s| is_good(s)).count();
        (served as f64 / of.max(1) as f64, of)
    }

    async fn request(self, kind: Kind, client: usize, n: u64) {
        let sent = Instant::now();
        let deadline = sent + kind.deadline;
        let (mut status, mut began, mut first) = (None, None, None);
        for attempt in 0..=REPEATS {
            let id = format!("{}-{client}-{n}-{attempt}", kind.name);
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let to = Mutex::new(None);
            let got = future::timeout(left, self.attempt(kind, client, id, left, &to)).await;
            let Answer { status: got, retry_after, began: at } = got.unwrap_or_default();
            (status, began) = (got, at);
            if attempt == 0 {
                first = to.lock().unwrap().map(|to| (to, got));
            }
            let is_promise = matches!(got, Some(408 | 421 | 429 | 503));
            let is_hasty = self.is_hasty.load(Ordering::SeqCst);
            if got == Some(200) || !(is_promise || kind.is_idempotent) || !is_hasty && attempt > 0 {
                break;
            }
            self.homes.lock().unwrap()[client] = None;
            let third = deadline.saturating_duration_since(Instant::now()) / 3;
            let pause = retry_after.unwrap_or_default().min(third);
            let pause = if is_hasty { Duration::from_millis(20) } else { pause };
            task::sleep(pause.max(Duration::from_millis(10))).await;
        }
        self.seen.lock().unwrap().push(Seen { sent, kind, status, began, first });
    }

    /// Sends a request once, and tells the machine that it is sent to.
    async fn attempt(
        &self,
        kind: Kind,
        client: usize,
        id: String,
        left: Duration,
        to: &Mutex<Option<SocketAddr>>,
    ) -> Answer {
        let Some(mut conn) = self.connection(client).await else { return Answer::default() };
        *to.lock().unwrap() = self.homes.lock().unwrap()[client];
        let mut req = Request::post(format!("/{}/{client}", kind.name))
            .header("host", "desk.example")
            .header("deadline-ms", left.as_millis() as u64)
            .header("authorization", format!("Bearer {}", key_of(client % self.accounts)));
        if let Some(tokens) = kind.prompt {
            let own = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
            req = req
                .header("model", "m")
                .header("token-count", format!("{tokens},{}", tokens / 10))
                .header("prompt-prefix", format!("{:x}:60,{own:x}:{}", client % 16, tokens - 60));
        }
        let req = req.header("request-id", id).body(Bytes::from(vec![b'q'; BODY])).unwrap();
        let head = conn.send(req);
        let limit = if kind.is_stream { MAX_GAP } else { kind.deadline };
        match future::timeout(limit, head).await.unwrap_or(Err(h1::CallError::Timeout(limit))) {
            Ok(answer) => {
                let status = answer.status().as_u16();
                let retry_after = retry_after(&answer);
                let is_stream = kind.is_stream && status == 200;
                // The head of a stream is passed on with its first event.
                let began = Instant::now();
                if !is_read_whole(answer.into_body(), is_stream).await {
                    return Answer::default();
                }
                self.pool.put(conn);
                Answer { status: Some(status), retry_after, began: Some(began) }
            }
            Err(_) => Answer::default(),
        }
    }

    async fn connection(&self, client: usize) -> Option<h1::Conn> {
        let home = self.homes.lock().unwrap()[client];
        if let Some(home) = home {
            if let Ok(conn) = self.pool.get(home).await {
                return Some(conn);
            }
        }
        let fronts = self.daemons.fronts();
        let front = fronts[self.rng.lock().unwrap().random_range(0..fronts.len())];
        let conn = self.pool.connect(front).await.ok();
        self.homes.lock().unwrap()[client] = conn.as_ref().map(|_| front);
        conn
    }
}

/// Reads a body; a stream up to its last event, without a pause that is too long.
async fn is_read_whole(mut body: Incoming, is_stream: bool) -> bool {
    if !is_stream {
        return body.collect().await.is_ok();
    }
    let mut last = Bytes::new();
    while let Ok(frame) = future::timeout(MAX_GAP, body.frame()).await {
        match frame {
            Some(Ok(frame)) => last = frame.into_data().unwrap_or(last),
            Some(Err(_)) => return false,
            None => return last.ends_with(LAST_EVENT),
        }
    }
    false
}

fn retry_after(answer: &Response<Incoming>) -> Option<Duration> {
    let value = answer.headers().get("retry-after")?.to_str().ok()?;
    value.parse::<f64>().ok().map(Duration::from_secs_f64)
}
