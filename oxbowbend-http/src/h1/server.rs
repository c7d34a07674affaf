//! Serving HTTP/1.1 until told to stop.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::channel;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{select, Either};
use futures::{pin_mut, StreamExt};
use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response, Version};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use oxbowbend_clock as clock;
use smol_hyper::rt::FuturesIo;

use super::gate::ConnectionGate;
use super::meter::{LinkMeter, Metered};

/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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

/// State of a server, shared with whoever stops it.
#[derive(Debug)]
pub struct Door {
    closing: AtomicBool,
    busy: AtomicUsize,
    open: AtomicUsize,
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

    /// Time since the last request came or ended.
    pub fn quiet_for(&self) -> Duration {
        clock::since(*self.last.lock().expect("no panic under lock"))
    }

    fn enter(self: &Arc<Door>) -> Inside {
        self.busy.fetch_add(1, Ordering::SeqCst);
        *self.last.lock().expect("no panic under lock") = clock::now();
        Inside { door: self.clone() }
    }
}

/// A request that has not got its whole answer; held by the answer's body.
struct Inside {
    door: Arc<Door>,
}

impl Drop for Inside {
    fn drop(&mut self) {
        self.door.busy.fetch_sub(1, Ordering::SeqCst);
        *self.door.last.lock().expect("no panic under lock") = clock::now();
    }
}

pin_project_lite::pin_project! {
    /// A body that counts as a request in progress until it is dropped.
    struct Counted<B> {
        #[pin]
        body: B,
        inside: Inside,
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
    serve_gated(listener, cfg, door, Arc::default(), handler).await;
}

/// Like [`serve`], but closes connections that `gate` does not admit without reading from them.
pub async fn serve_gated<H, F, B>(
    listener: TcpListener,
    cfg: ServeConfig,
    door: Arc<Door>,
    gate: Arc<ConnectionGate>,
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
        if door.open() >= cfg.connections {
            log::warn!("event=connection_refused open={}", door.open());
            continue;
        }
        if !gate.admits(clock::now()) {
            continue;
        }
        let _ = stream.set_nodelay(true);
        task::spawn(connection(stream, cfg, door.clone(), handler.clone()));
    }
}

async fn connection<H, F, B>(stream: TcpStream, cfg: ServeConfig, door: Arc<Door>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    door.open.fetch_add(1, Ordering::SeqCst);
    let service = service_fn(|req: Request<Incoming>| {
        let inside = door.enter();
        // In HTTP/1.0 a body that breaks off looks complete unless its connection is reset.
        let ending = (req.version() < Version::HTTP_11).then(|| stream.clone());
        let answering = handler(req);
        async move {
            let mut answer = answering.await;
            if inside.door.is_closing() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer.map(|body| Counted { body, inside, ending }))
        }
    });
    let metered = Metered::new(stream.clone(), door.meter.clone());
    let conn = http1::Builder::new()
        .max_buf_size(cfg.head.max(MIN_BUFFER))
        .serve_connection(FuturesIo::new(metered), service);
    pin_mut!(conn);
    let shut = door.shut.1.recv();
    pin_mut!(shut);
    // A connection that comes after the shutting is not closed unread: its request gets an answer.
    let ended = if door.is_shut() {
        conn.await
    } else {
        match select(conn.as_mut(), shut).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => {
                conn.as_mut().graceful_shutdown();
                conn.await
            }
        }
    };
    if let Err(e) = ended {
        log::debug!("event=caller_connection_ended error=\"{e}\"");
    }
    door.open.fetch_sub(1, Ordering::SeqCst);
}
