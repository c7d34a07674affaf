//! Serving HTTP/1.1 until told to stop.

use std::convert::Infallible;
use std::future::Future;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::channel;
use async_std::net::{TcpListener, TcpStream};
use async_std::{future, task};
use futures::future::{select, Either};
use futures::{pin_mut, StreamExt};
use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response, Version};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use oxbowbend_clock as clock;
use oxbowbend_core::memory::{Buffer, Group, Kind, OverBudget, Phase, FIRST_BUFFER};
use smol_hyper::rt::FuturesIo;

use super::gate::ConnectionGate;
use super::head_charge::{BudgetObserver, HeadCharge};
use super::meter::LinkMeter;
use super::observed::Observed;
use super::unflushed::{ReleaseOnFlush, Unflushed};
use crate::memory::{Charge, ConnectionHandle, Memory, RequestCharge};

/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time after the end of an answer for which its caller may be reading it where it was not told to close the connection.
/// Callers that keep connections do not all notice that one has closed.
const READING_TIME: Duration = Duration::from_secs(3);
/// Time between two looks whether a peer that has sent something has closed its side.
const CLOSE_LOOK: Duration = Duration::from_millis(20);

/// Smallest buffer that the library allows.
const MIN_BUFFER: usize = 8192;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServeConfig {
    /// Connections at once; beyond that they are closed unread.
    pub connections: usize,
    /// Bytes of a head.
    pub head: usize,
}

/// What decides on new connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimits {
    /// Closes connections that come too fast.
    pub gate: Arc<ConnectionGate>,
    /// Budget to which connections and requests are charged, and their group in it. It bounds the connections in place of
    /// [`ServeConfig::connections`], their heads in place of [`ServeConfig::head`], and the time that peers take.
    pub memory: Option<(Memory, Group)>,
}

/// State of a server, shared with whoever stops it.
#[derive(Debug)]
pub struct Door {
    closing: AtomicBool,
    busy: AtomicUsize,
    open: AtomicUsize,
    answered: AtomicUsize,
    last: Mutex<Instant>,
    shut: (channel::Sender<()>, channel::Receiver<()>),
    meter: Option<Arc<LinkMeter>>,
}

impl Default for Door {
    fn default() -> Door {
        Door {
            closing: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            answered: AtomicUsize::new(0),
            last: Mutex::new(clock::now()),
            shut: channel::bounded(1),
            meter: None,
        }
    }
}

impl Door {
    /// Counts the bytes of all connections.
    #[must_use]
    pub fn with_meter(self, meter: Arc<LinkMeter>) -> Door {
        Door { meter: Some(meter), ..self }
    }

    /// Makes each further answer the last one of its connection.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Closes idle connections, and the others after their answer. A connection that is opened later
    /// gets one answer.
    pub fn shut(&self) {
        self.close();
        self.shut.1.close();
    }

    /// Whether [`Door::close`] was called.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Whether [`Door::shut`] was called.
    pub fn is_shut(&self) -> bool {
        self.shut.1.is_closed()
    }

    /// Requests without a whole answer.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Open connections that have carried an answer, which their peers may still be reading. After
    /// [`Door::shut`] one counts until its peer has closed it, or for some seconds after an answer that did
    /// not say that it was the last one.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Time since the last request came or ended.
    pub fn quiet_for(&self) -> Duration {
        clock::since(*self.last.lock().expect("no panic under lock"))
    }

    fn enter(self: &Arc<Door>, request: Option<RequestCharge>) -> Inside {
        self.busy.fetch_add(1, Ordering::SeqCst);
        *self.last.lock().expect("no panic under lock") = clock::now();
        Inside { door: self.clone(), _response: None, _request: request }
    }
}

/// A request whose whole answer has not been handed to the kernel.
struct Inside {
    door: Arc<Door>,
    // A whole answer, until it has been written.
    _response: Option<Arc<Charge>>,
    _request: Option<RequestCharge>,
}

impl Inside {
    /// An answer is to be written. If it is held whole, it is charged; it has been made, and is not refused for lack of
    /// room.
    fn answer<B: Body>(&mut self, handle: &Arc<ConnectionHandle>, answer: &mut Response<B>) {
        handle.set_phase(Phase::Response);
        self._response = answer.extensions_mut().remove::<Arc<Charge>>();
        let Some(bytes @ 1..) = answer.body().size_hint().exact() else { return };
        if bytes as usize > FIRST_BUFFER / 2 {
            handle.record_grown(Buffer::Write);
        }
        if self._response.is_none() {
            let mut charge = Charge::new(handle.clone(), Kind::Responses);
            charge.grow_always(bytes as usize);
            self._response = Some(Arc::new(charge));
        }
    }
}

impl Drop for Inside {
    fn drop(&mut self) {
        self.door.busy.fetch_sub(1, Ordering::SeqCst);
        *self.door.last.lock().expect("no panic under lock") = clock::now();
    }
}

/// A request whose answer is not in the connection's buffer yet; from then on it counts until that has been
/// written.
struct Unwritten {
    inside: Option<Inside>,
    unflushed: Unflushed<Inside>,
    last_answer: LastAnswer,
    /// Whether the answer says that it is the last one.
    is_last: bool,
}

/// When the last answer of a connection came to its end, and whether that said that it was the last one.
#[derive(Clone, Default)]
struct LastAnswer(Arc<Mutex<Option<(Instant, bool)>>>);

impl LastAnswer {
    /// Returns whether it was the first one.
    fn note(&self, is_last: bool) -> bool {
        let mut last = self.0.lock().expect("no panic under lock");
        last.replace((clock::now(), is_last)).is_none()
    }

    fn is_some(&self) -> bool {
        self.0.lock().expect("no panic under lock").is_some()
    }

    /// Time for which the peer may still be reading; `None` if until it has closed its side.
    fn reading_time(&self) -> Option<Duration> {
        match *self.0.lock().expect("no panic under lock") {
            Some((at, false)) => Some(READING_TIME.saturating_sub(clock::since(at))),
            Some((_, true)) | None => None,
        }
    }
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        let Some(inside) = self.inside.take() else { return };
        if self.last_answer.note(self.is_last) {
            inside.door.answered.fetch_add(1, Ordering::SeqCst);
        }
        self.unflushed.hold(inside);
    }
}

pin_project_lite::pin_project! {
    /// A body that counts as a request in progress until the connection's buffer has been written after it.
    struct Counted<B> {
        #[pin]
        body: B,
        unwritten: Unwritten,
        // The connection, if its end is all that marks the end of the body.
        ending: Option<TcpStream>,
    }
}

impl<B: Body> Body for Counted<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.project();
        let frame = this.body.poll_frame(cx);
        if let (Poll::Ready(Some(Err(_))), Some(stream)) = (&frame, &this.ending) {
            // A connection that has failed already needs no reset.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves a listener until the process ends. `handler` is called with each request; its future is
/// dropped when the caller leaves.
pub async fn serve<H, F, B>(listener: TcpListener, cfg: ServeConfig, door: Arc<Door>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_limited(listener, cfg, door, ConnectionLimits::default(), handler).await;
}

/// Like [`serve`], but closes connections that `limits` do not admit without reading from them.
pub async fn serve_limited<H, F, B>(
    listener: TcpListener,
    cfg: ServeConfig,
    door: Arc<Door>,
    limits: ConnectionLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let stream = match stream {
            Ok(stream) => stream,
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if limits.memory.is_none() && door.open() >= cfg.connections {
            log::warn!("event=connection_refused open={}", door.open());
            continue;
        }
        if !limits.gate.admits(clock::now()) {
            continue;
        }
        let handle = match &limits.memory {
            None => None,
            Some((memory, group)) => match memory.open(*group) {
                Ok(handle) => Some(handle),
                // The budget counts it.
                Err(OverBudget) => continue,
            },
        };
        let _ = stream.set_nodelay(true);
        task::spawn(connection(stream, handle, cfg, door.clone(), handler.clone()));
    }
}

async fn connection<H, F, B>(
    stream: TcpStream,
    handle: Option<Arc<ConnectionHandle>>,
    cfg: ServeConfig,
    door: Arc<Door>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    door.open.fetch_add(1, Ordering::SeqCst);
    let (unflushed, last_answer) = (Unflushed::default(), LastAnswer::default());
    let head_charge = handle.clone().map(HeadCharge::new);
    let service = service_fn(|mut req: Request<Incoming>| {
        let head_bytes = head_charge.as_ref().map_or(0, HeadCharge::take);
        let charge = handle.as_ref().map(|handle| RequestCharge::begin(handle, head_bytes));
        if let Some(handle) = &handle {
            req.extensions_mut().insert(handle.clone());
        }
        let mut inside = door.enter(charge);
        // In HTTP/1.0 a body that breaks off looks complete unless its connection is reset.
        let ending = (req.version() < Version::HTTP_11).then(|| stream.clone());
        let answering = handler(req);
        let (unflushed, last_answer) = (unflushed.clone(), last_answer.clone());
        let handle = handle.clone();
        // Boxed, since the library keeps room for it also while the connection is idle.
        Box::pin(async move {
            let mut answer = answering.await;
            if let Some(handle) = &handle {
                inside.answer(handle, &mut answer);
            }
            let is_last = inside.door.is_closing();
            if is_last {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let unwritten = Unwritten { inside: Some(inside), unflushed, last_answer, is_last };
            Ok::<_, Infallible>(answer.map(|body| Counted { body, unwritten, ending }))
        })
    });
    let told = told_to_end(handle.as_ref(), &stream);
    pin_mut!(told);
    // With its end all that it holds is dropped, also an answer that has been cut.
    let ended = {
        let metered = Observed::new(stream.clone(), door.meter.clone());
        let charged = Observed::new(metered, head_charge.clone().map(BudgetObserver::new));
        let observed = Observed::new(charged, ReleaseOnFlush(unflushed.clone()));
        let head = handle.as_ref().and_then(|handle| handle.head_bytes()).unwrap_or(cfg.head);
        let conn = http1::Builder::new()
            .max_buf_size(head.max(MIN_BUFFER))
            .serve_connection(FuturesIo::new(observed), service);
        pin_mut!(conn);
        let shut = door.shut.1.recv();
        pin_mut!(shut);
        // A connection that comes after the shutting is not closed unread: its request gets an answer.
        let is_shut = door.is_shut();
        let mut ended = None;
        if !is_shut {
            match select(conn.as_mut(), select(shut, told.as_mut())).await {
                Either::Left((result, _)) => ended = Some(Some(result)),
                Either::Right((Either::Left(_), _)) => conn.as_mut().graceful_shutdown(),
                Either::Right((Either::Right(_), _)) => ended = Some(None),
            }
        }
        match ended {
            Some(ended) => ended,
            None => match select(conn, told.as_mut()).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(_) => None,
            },
        }
    };
    match ended {
        None => log::debug!("event=caller_connection_ended error=\"told by the budget\""),
        Some(Err(e)) => log::debug!("event=caller_connection_ended error=\"{e}\""),
        Some(Ok(())) if last_answer.is_some() => {
            // The process may end before the peer has what the kernel holds for it.
            let closed = peer_closed(&stream);
            pin_mut!(closed);
            match last_answer.reading_time() {
                Some(limit) => drop(future::timeout(limit, select(closed, told)).await),
                None => {
                    select(closed, told).await;
                }
            }
        }
        Some(Ok(())) => {}
    }
    door.answered.fetch_sub(usize::from(last_answer.is_some()), Ordering::SeqCst);
    door.open.fetch_sub(1, Ordering::SeqCst);
}

/// Waits until a connection has to end for what its peer has not done. One that has sent something by the end of its time
/// goes on.
async fn told_to_end(handle: Option<&Arc<ConnectionHandle>>, stream: &TcpStream) {
    let Some(handle) = handle else { return std::future::pending().await };
    loop {
        handle.has_to_end().await;
        match handle.phase() {
            // It was this process that did not read, such as one that was suspended.
            phase @ (Phase::Idle | Phase::Head) if handle.is_time_over() && has_unread(stream) => {
                handle.set_phase(phase);
            }
            Phase::Response => {
                // An answer that breaks off must not look complete. A connection that has failed needs no reset.
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                return;
            }
            _ => return,
        }
    }
}

/// Whether a peer has sent something that has not been read.
fn has_unread(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    matches!(socket2::SockRef::from(stream).peek(&mut byte), Ok(1..))
}

/// Tells the peer that no answer follows, and waits until it has closed its side, for which it has read all of them. What
/// it sends meanwhile is not read: nobody would answer that.
async fn peer_closed(stream: &TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    while let Ok(1..) = stream.peek(&mut [0]).await {
        task::sleep(CLOSE_LOOK).await;
    }
}
