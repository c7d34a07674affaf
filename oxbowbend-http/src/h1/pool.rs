//! Connections to endpoints, kept for the next request.
//!
//! A connection is given back only after a clean end of its answer. Whoever drops one ends its
//! exchange: the socket closes at once, which tells the endpoint that nobody waits any more.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::{future, task};
use bytes::Bytes;
use futures::future::AbortHandle;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use oxbowbend_clock as clock;
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use super::collect::{collect, Collected};
use super::head_limit::HeadLimit;
use super::held::HeldBody;
use super::meter::LinkMeter;
use super::observed::Observed;
use super::outgoing::Outgoing;
use super::silence::SilenceLimits;

/// Time that a connection may take to become ready after its answer has ended. It is a matter of
/// one turn of its task.
const SETTLE: Duration = Duration::from_millis(20);
/// Part of the endpoint's idle time within which a connection is used again; the rest covers the
/// way there.
const IDLE_SHARE: f64 = 0.7;

/// Bytes of a head, and of a body that has been read and not taken.
pub(super) const MAX_BUFFER: usize = 32 * 1024;
/// Bytes of a body that a call reads: several times the largest answer of the store, of which a
/// value has up to 1 MB.
const MAX_CALL_BODY: usize = 16 << 20;

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Time that a connection may take to be established.
    pub connect: Duration,
    /// Time for which an idle connection is kept if the endpoint names none.
    pub idle: Duration,
}

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection; nothing has been sent.
    #[error("no connection to {address}: {error}")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        error: std::io::Error,
    },
    /// The connection had closed before anything was written.
    #[error("the connection closed before the request was sent: {0}")]
    Unsent(hyper::Error),
    /// The connection failed after at least a part was written.
    #[error("the connection failed: {0}")]
    Broken(hyper::Error),
    /// Not in the time given.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
    /// The answer is longer than this number of bytes.
    #[error("the answer exceeds {0} bytes")]
    TooLarge(usize),
}

impl CallError {
    /// Whether the request has certainly not reached the endpoint.
    pub fn is_unsent(&self) -> bool {
        matches!(self, CallError::Connect { .. } | CallError::Unsent(_))
    }

    /// Whether nobody listens at the address.
    pub fn is_refused(&self) -> bool {
        let refused = std::io::ErrorKind::ConnectionRefused;
        matches!(self, CallError::Connect { error, .. } if error.kind() == refused)
    }
}

/// One connection with its task.
#[derive(Debug)]
pub struct Conn {
    address: SocketAddr,
    stream: TcpStream,
    tx: http1::SendRequest<Outgoing>,
    task: AbortHandle,
    head_limit: HeadLimit,
    /// Whether a request was sent whose answer has not come to its end.
    is_busy: bool,
    idle_for: Duration,
    idle_since: Instant,
    is_reused: bool,
    has_answered: bool,
    /// Whether the answer came before the whole request was sent.
    is_early: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        // A request that is given up must not reach the endpoint later, from what the system still holds for a link that is cut.
        if self.is_busy {
            // Without it the connection closes in the ordinary way.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        self.task.abort();
    }
}

impl AsFd for Conn {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Conn {
    /// Whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Whether an answer has come on the connection, which shows that it leads to the endpoint.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`CallError::Unsent`] if nothing was written, [`CallError::Broken`] otherwise.
    pub async fn send(&mut self, req: Request<Bytes>) -> Result<Response<Incoming>, CallError> {
        self.send_held(req.map(HeldBody::from)).await
    }

    /// The same, of a body in pieces.
    ///
    /// # Errors
    ///
    /// As [`Conn::send`].
    pub async fn send_held(
        &mut self,
        req: Request<HeldBody>,
    ) -> Result<Response<Incoming>, CallError> {
        self.is_busy = true;
        self.head_limit.start();
        let (head, body) = req.into_parts();
        let (body, is_out) = Outgoing::new(body);
        let req = Request::from_parts(head, body);
        match self.tx.try_send_request(req).await {
            Ok(answer) => {
                self.head_limit.end();
                self.is_early = !is_out.load(Ordering::SeqCst);
                self.note_idle_time(&answer);
                self.has_answered = true;
                Ok(answer)
            }
            Err(mut e) if e.message().is_some() => {
                e.take_message();
                Err(CallError::Unsent(e.into_error()))
            }
            Err(e) => Err(CallError::Broken(e.into_error())),
        }
    }

    /// The endpoint's own idle time, as `Keep-Alive: timeout=S`.
    fn note_idle_time(&mut self, answer: &Response<Incoming>) {
        let value = answer.headers().get("keep-alive").and_then(|v| v.to_str().ok());
        let seconds = value.and_then(|v| v.split("timeout=").nth(1)).and_then(|v| {
            let digits = v.split(|c: char| !c.is_ascii_digit() && c != '.').next();
            digits.and_then(|d| d.parse::<f64>().ok())
        });
        if let Some(seconds) = seconds {
            let usable = (seconds * IDLE_SHARE).clamp(0.0, self.idle_for.as_secs_f64());
            self.idle_for = Duration::from_secs_f64(usable);
        }
    }

    fn is_usable(&self) -> bool {
        !self.tx.is_closed() && self.tx.is_ready() && clock::since(self.idle_since) < self.idle_for
    }
}

/// Idle connections by address; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolConfig,
    silence: SilenceLimits,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Conn>>>>,
    /// Idle connections that may be kept to one address.
    bound: Arc<AtomicUsize>,
    meter: Option<Arc<LinkMeter>>,
}

impl Pool {
    /// Starts empty, with [`SilenceLimits::PATIENT`].
    pub fn new(cfg: PoolConfig) -> Pool {
        let (idle, bound) = (Arc::default(), Arc::new(AtomicUsize::new(usize::MAX)));
        Pool { cfg, silence: SilenceLimits::PATIENT, idle, bound, meter: None }
    }

    /// Sets the limits on the silence of peers, for connections that are opened from now on.
    #[must_use]
    pub fn with_silence(mut self, silence: SilenceLimits) -> Pool {
        self.silence = silence;
        self
    }

    /// Counts the bytes of connections that are opened from now on.
    #[must_use]
    pub fn with_meter(mut self, meter: Arc<LinkMeter>) -> Pool {
        self.meter = Some(meter);
        self
    }

    /// A connection: the one used last, or a new one.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] if a new one cannot be had.
    pub async fn get(&self, address: SocketAddr) -> Result<Conn, CallError> {
        if let Some(conn) = self.take_idle(address) {
            return Ok(conn);
        }
        self.connect(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock().expect("no panic under lock");
        let conns = idle.get_mut(&address)?;
        while let Some(mut conn) = conns.pop() {
            if conn.is_usable() {
                conn.is_reused = true;
                return Some(conn);
            }
        }
        None
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] if it cannot be had in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Conn, CallError> {
        let failed = |error| CallError::Connect { address, error };
        let connecting = future::timeout(self.cfg.connect, TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| failed(std::io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        self.silence.apply(&stream).map_err(failed)?;
        let head_limit = HeadLimit::default();
        let metered = Observed::new(stream.clone(), self.meter.clone());
        let limited = Observed::new(metered, head_limit.clone());
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_BUFFER).handshake(FuturesIo::new(limited)).await;
        let (tx, conn) = handshake.map_err(|e| failed(std::io::Error::other(e)))?;
        let (conn, task) = futures::future::abortable(conn);
        task::spawn(async move {
            if let Ok(Err(e)) = conn.await {
                log::debug!("event=connection_ended address={address} error=\"{e}\"");
            }
        });
        let (idle_for, idle_since) = (self.cfg.idle, clock::now());
        Ok(Conn {
            address,
            stream,
            tx,
            task,
            head_limit,
            is_busy: false,
            idle_for,
            idle_since,
            is_reused: false,
            has_answered: false,
            is_early: false,
        })
    }

    /// Gives a connection back after the clean end of its answer. It is dropped if the answer came
    /// before the whole request was sent: the endpoint may read on late, or never.
    pub fn put(&self, mut conn: Conn) {
        if conn.is_early {
            return;
        }
        let pool = self.clone();
        task::spawn(async move {
            let ready = future::timeout(SETTLE, conn.tx.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return;
            }
            conn.idle_since = clock::now();
            conn.is_busy = false;
            let mut idle = pool.idle.lock().expect("no panic under lock");
            let kept = idle.entry(conn.address).or_default();
            if kept.len() < pool.bound.load(Ordering::SeqCst) {
                kept.push(conn);
            }
        });
    }

    /// Bounds the idle connections to one address, of which endpoints accept a limited number from
    /// all instances together.
    pub fn set_bound(&self, bound: usize) {
        self.bound.store(bound, Ordering::SeqCst);
    }

    /// Drops the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().expect("no panic under lock").remove(&address);
    }

    /// Drops idle connections that may not be used any more.
    pub fn sweep(&self) {
        let mut idle = self.idle.lock().expect("no panic under lock");
        idle.values_mut().for_each(|conns| conns.retain(Conn::is_usable));
        idle.retain(|_, conns| !conns.is_empty());
    }

    /// One call with a whole answer, on a kept connection or a new one. A kept one that had closed
    /// is replaced once, since then nothing was sent.
    ///
    /// # Errors
    ///
    /// Every [`CallError`].
    pub async fn call(
        &self,
        address: SocketAddr,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let unanswered = Unanswered { pool: self, address };
        let call = async {
            let mut conn = self.get(address).await?;
            let answer = match conn.send(req.clone()).await {
                Err(CallError::Unsent(_)) if conn.is_reused() => {
                    conn = self.connect(address).await?;
                    conn.send(req).await?
                }
                other => other?,
            };
            let (head, mut body) = answer.into_parts();
            let body = match collect(&mut body, MAX_CALL_BODY).await {
                Ok(Collected::Whole(body)) => body,
                Ok(Collected::Beginning(_)) => return Err(CallError::TooLarge(MAX_CALL_BODY)),
                Err(e) => return Err(CallError::Broken(e)),
            };
            self.put(conn);
            Ok(Response::from_parts(head, body))
        };
        let answer = future::timeout(limit, call).await.map_err(|_| CallError::Timeout(limit))?;
        std::mem::forget(unanswered);
        answer
    }
}

/// A call that has had no answer yet. If it ends so, the idle connections to its address go with its own: what
/// silenced one may have silenced all.
struct Unanswered<'a> {
    pool: &'a Pool,
    address: SocketAddr,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.pool.forget(self.address);
    }
}
