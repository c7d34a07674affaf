//! Stand-ins of endpoints: slots, a queue, a limit on connections, streams, and what a power loss of their callers leaves behind.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{self, Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{self, Either};
use futures::stream::BoxStream;
use futures::StreamExt;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::{json, Value};
use smol_hyper::rt::FuturesIo;

use crate::daemons::Net;
use crate::paths::{Gated, Paths};
use crate::play::INSTANCES;

/// Bytes of an answer.
const ANSWER: usize = 2000;
/// An event of a stream, and the last one, without which a stream is not whole.
const EVENT: &[u8] = b"data: some words of an answer\n\n";
pub const LAST_EVENT: &[u8] = b"data: end\n\n";

/// The body of an answer.
type Body = StreamBody<BoxStream<'static, Result<Frame<Bytes>, std::convert::Infallible>>>;

/// Where the endpoint of a number is reached.
pub fn address(net: Net, n: u8) -> SocketAddr {
    SocketAddr::from((net.ip(0, INSTANCES + 1 + n), 27640))
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub service: &'static str,
    pub slots: u32,
    /// Connections that it accepts from all callers.
    pub connections: usize,
    /// Time that an answer takes, or that streams take in the mean.
    pub work: Duration,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Time between two events, where answers are streams.
    pub event_gap: Option<Duration>,
}

/// What an endpoint does at a moment, and has done so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub running: u32,
    pub waiting: usize,
    /// Requests that found no room.
    pub rejected: u64,
}

/// One life of an endpoint, from its start to the next one.
struct State {
    life: u32,
    power: Power,
    outage: Outage,
    running: u32,
    waiting: VecDeque<oneshot::Sender<Slot>>,
    open: usize,
    /// Connections that were closed unnoticed.
    dead: usize,
    /// Until when connections that close are not noticed.
    unnoticed_until: Option<Instant>,
    /// Connections that were reset beyond the limit.
    refused: u64,
    rejected: u64,
}

/// What callers of an endpoint without power see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// Connections stay open, and nothing is answered until the next start resets them.
    Silent,
    /// Connections are closed at once, as by a machine that forwards to a process that is not there.
    Closing,
}

/// Tells the connections of a life that power is lost, and that the endpoint has started again: a channel that closes.
struct Power {
    lost: (Option<Sender<()>>, Receiver<()>),
    back: (Sender<()>, Receiver<()>),
}

#[derive(Clone)]
pub struct Engine {
    name: String,
    kind: Kind,
    work: Arc<Mutex<Duration>>,
    state: Arc<Mutex<Arc<Mutex<State>>>>,
    paths: Paths,
}

/// A slot in use, or on its way to a request that waited; it goes to the next one when it is dropped.
struct Slot(Arc<Mutex<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut state = self.0.lock().unwrap();
            let next = state.waiting.pop_front();
            state.running -= u32::from(next.is_none());
            next
        };
        // If that request has left, its slot is dropped here and goes on.
        drop(next.map(|next| next.send(Slot(self.0.clone()))));
    }
}

/// A request that runs.
struct Running {
    slot: Option<Slot>,
    until: Instant,
}

impl Drop for Running {
    fn drop(&mut self) {
        let Some(slot) = self.slot.take() else { return };
        let is_unnoticed = slot.0.lock().unwrap().is_unnoticed(Instant::now());
        let left = self.until - Instant::now().min(self.until);
        if is_unnoticed && !left.is_zero() {
            // Nobody has told the endpoint that the caller is gone.
            task::spawn(async move {
                task::sleep(left).await;
                drop(slot);
            });
        }
    }
}

impl State {
    fn new(life: u32) -> State {
        let (lost, back) = (channel::bounded(1), channel::bounded(1));
        State {
            life,
            outage: Outage::Silent,
            power: Power { lost: (Some(lost.0), lost.1), back },
            running: 0,
            waiting: VecDeque::new(),
            open: 0,
            dead: 0,
            unnoticed_until: None,
            refused: 0,
            rejected: 0,
        }
    }

    fn is_unnoticed(&self, now: Instant) -> bool {
        self.unnoticed_until.is_some_and(|until| now < until)
    }
}

impl Engine {
    pub fn start(name: String, kind: Kind, listener: TcpListener, paths: Paths) -> Engine {
        let work = Arc::new(Mutex::new(kind.work));
        let state = Arc::new(Mutex::new(Arc::new(Mutex::new(State::new(0)))));
        let engine = Engine { name, kind, work, state, paths };
        task::spawn(engine.clone().listen(listener));
        engine
    }

    fn state(&self) -> Arc<Mutex<State>> {
        self.state.lock().unwrap().clone()
    }

    /// Its id, another one after each start.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.state().lock().unwrap().life)
    }

    /// Loses power: it answers nothing until it starts again, and what runs and waits is gone.
    pub fn lose_power(&self, outage: Outage) {
        let state = self.state();
        let mut state = state.lock().unwrap();
        state.outage = outage;
        state.power.lost.0 = None;
    }

    /// Starts again under another id.
    pub fn start_again(&self) {
        let mut state = self.state.lock().unwrap();
        let next = {
            let former = state.lock().unwrap();
            former.power.back.0.close();
            State::new(former.life + 1)
        };
        *state = Arc::new(Mutex::new(next));
    }

    /// Its entry in the store.
    pub fn entry(&self, address: SocketAddr, zone: &str) -> Value {
        let Kind { service, slots, .. } = self.kind;
        json!({
            "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
            "slots": slots, "state": "ready", "cold_left_ms": 0, "seq_no": 1,
        })
    }

    /// Sets the time that an answer takes from now on.
    pub fn set_work(&self, work: Duration) {
        *self.work.lock().unwrap() = work;
    }

    /// Does not notice connections that close in the next `time`: they count for that long, and their requests go on.
    pub fn miss_closed_connections(&self, time: Duration) {
        self.state().lock().unwrap().unnoticed_until = Some(Instant::now() + time);
    }

    /// Connections that were reset beyond the limit.
    pub fn refused(&self) -> u64 {
        self.state().lock().unwrap().refused
    }

    /// What it does now.
    pub fn usage(&self) -> Usage {
        let state = self.state();
        let state = state.lock().unwrap();
        Usage { running: state.running, waiting: state.waiting.len(), rejected: state.rejected }
    }

    async fn listen(self, listener: TcpListener) {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else { continue };
            let life = self.state();
            let mut state = life.lock().unwrap();
            if state.open + state.dead >= self.kind.connections {
                state.refused += 1;
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            }
            state.open += 1;
            drop(state);
            task::spawn(self.clone().connection(life, stream));
        }
    }

    async fn connection(self, life: Arc<Mutex<State>>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|req| {
            let (this, life) = (self.clone(), life.clone());
            async move { Ok::<_, std::convert::Infallible>(this.answer(life, req).await) }
        });
        let (lost, back) = {
            let state = life.lock().unwrap();
            (state.power.lost.1.clone(), state.power.back.1.clone())
        };
        let stream = FuturesIo::new(Gated::new(stream, self.paths.clone()));
        let served = http1::Builder::new().serve_connection(stream, service);
        // Without power the connection stays open and silent, as its caller sees it, until the next start resets it.
        if let Either::Left((_, served)) = future::select(pin!(lost.recv()), served).await {
            let outage = life.lock().unwrap().outage;
            if outage == Outage::Silent {
                let _ = back.recv().await;
            }
            drop(served);
            return;
        }
        let unnoticed_until = {
            let mut state = life.lock().unwrap();
            state.open -= 1;
            let until = state.unnoticed_until.filter(|until| Instant::now() < *until);
            state.dead += usize::from(until.is_some());
            until
        };
        if let Some(until) = unnoticed_until {
            task::sleep(until - Instant::now().min(until)).await;
            life.lock().unwrap().dead -= 1;
        }
    }

    async fn answer(self, life: Arc<Mutex<State>>, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        let id = text(&head.headers, "request-id");
        let own_id = format!("{}-{}", self.name, life.lock().unwrap().life);
        if text(&head.headers, "expect-instance") != own_id {
            let mut answer = reply(421, &id, Bytes::new());
            answer.headers_mut().insert("instance-id", own_id.parse().unwrap());
            return answer;
        }
        if body.collect().await.is_err() {
            return reply(400, &id, Bytes::new());
        }
        let Some(mut running) = self.enter(&life).await else {
            return reply(503, &id, Bytes::new());
        };
        if let Some(gap) = self.kind.event_gap {
            running.until = Instant::now() + length_of(&id, *self.work.lock().unwrap());
            return stream(&id, running, gap);
        }
        task::sleep(running.until - Instant::now().min(running.until)).await;
        reply(200, &id, Bytes::from(vec![b'x'; ANSWER]))
    }

    /// Takes a slot, or waits for one; `None` if too many wait.
    async fn enter(&self, life: &Arc<Mutex<State>>) -> Option<Running> {
        let turn = {
            let mut state = life.lock().unwrap();
            if state.running < self.kind.slots {
                state.running += 1;
                None
            } else if state.waiting.len() >= self.kind.queue {
                state.rejected += 1;
                return None;
            } else {
                let (tx, rx) = oneshot::channel();
                state.waiting.push_back(tx);
                Some(rx)
            }
        };
        let slot = match turn {
            Some(turn) => turn.await.ok()?,
            None => Slot(life.clone()),
        };
        let work = *self.work.lock().unwrap();
        Some(Running { slot: Some(slot), until: Instant::now() + work })
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

/// How long a stream takes, by its id: from a third of the mean to five thirds of it.
fn length_of(id: &str, mean: Duration) -> Duration {
    let hash = id.bytes().fold(17_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    mean.mul_f64(1.0 / 3.0 + (hash % 1000) as f64 / 1000.0 * 4.0 / 3.0)
}

/// A stream of events that holds its slot until it ends or its reader leaves.
fn stream(id: &str, running: Running, gap: Duration) -> Response<Body> {
    let events = futures::stream::unfold(Some(running), move |running| async move {
        let running = running?;
        let left = running.until - Instant::now().min(running.until);
        if left.is_zero() {
            return Some((LAST_EVENT, None));
        }
        task::sleep(gap.min(left)).await;
        Some((EVENT, Some(running)))
    });
    let frames = events.map(|event| Ok(Frame::data(Bytes::from_static(event))));
    let mut answer = answer_with(200, id, frames.boxed());
    answer.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
    answer
}

fn reply(status: u16, id: &str, body: Bytes) -> Response<Body> {
    let length = body.len();
    let frame = futures::stream::once(async { Ok(Frame::data(body)) });
    let mut answer = answer_with(status, id, frame.boxed());
    answer.headers_mut().insert("content-length", length.into());
    answer
}

fn answer_with(
    status: u16,
    id: &str,
    frames: BoxStream<'static, Result<Frame<Bytes>, std::convert::Infallible>>,
) -> Response<Body> {
    let mut answer = Response::new(StreamBody::new(frames));
    *answer.status_mut() = status.try_into().unwrap();
    if let Ok(id) = id.parse() {
        answer.headers_mut().insert("request-id", id);
    }
    let (name, value) = if status == 200 { ("server-seal", "s") } else { ("not-executed", "1") };
    answer.headers_mut().insert(name, value.parse().unwrap());
    answer
}
