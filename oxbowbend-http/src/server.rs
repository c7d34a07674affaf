//! Serving HTTP within bounds.
//!
//! `async-h1` decodes requests and encodes responses; the loop around them is here, because the
//! library's own has a fixed time limit, closes without a word on a bad head, and does not bound
//! the number of connections.

use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::io::{self, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::{future, task};
use futures::future::{select, Either};
use futures::StreamExt;
use http_types::headers::CONNECTION;
use http_types::{Method, Request, Response, StatusCode};
use oxbowbend_core::memory::{Group, OverBudget};

use crate::memory::{ConnectionHandle, Memory, RequestCharge};
use crate::problem;

/// How often a caller whose connection holds unread bytes is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of a server.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time for which a connection may be idle or take to send a head.
    pub idle: Duration,
    /// Time that a caller may take to read a piece of the response.
    pub write: Duration,
    /// Connections at once.
    pub connections: usize,
    /// Connections at once from one IP number.
    pub connections_per_caller: usize,
    /// Budget to which connections and bodies are charged, and their group in it.
    pub memory: Option<(Memory, Group)>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            idle: Duration::from_secs(60),
            write: Duration::from_secs(30),
            connections: 4096,
            connections_per_caller: 1024,
            memory: None,
        }
    }
}

/// The connection that a request came over.
#[derive(Clone, Debug)]
pub struct Caller {
    stream: TcpStream,
    address: SocketAddr,
    handle: Option<Arc<ConnectionHandle>>,
}

impl Caller {
    /// Address of the caller.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The handle of the connection in the server's budget.
    pub fn handle(&self) -> Option<&Arc<ConnectionHandle>> {
        self.handle.as_ref()
    }

    /// Waits until the caller has hung up.
    pub async fn gone(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                Ok(_) => task::sleep(LOOK_AGAIN).await,
            }
        }
    }
}

/// Answers requests.
///
/// ```
/// use http_types::{Request, Response, StatusCode};
/// use oxbowbend_http::server::{Caller, Handler};
/// struct Teapot;
/// impl Handler for Teapot {
///     async fn handle(&self, _: Request, _: Caller) -> Response {
///         Response::new(StatusCode::ImATeapot)
///     }
/// }
/// ```
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request, caller: Caller) -> impl Future<Output = Response> + Send;
}

/// A running server's state, shared with whoever stops it.
#[derive(Debug, Default)]
pub struct Gate {
    closing: AtomicBool,
    busy: AtomicUsize,
    served: AtomicUsize,
}

impl Gate {
    /// Makes every further response close its connection.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Requests whose response has not been written.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Requests that have begun since the start.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }
}

struct Shared<H> {
    handler: H,
    options: Options,
    gate: Arc<Gate>,
    callers: Mutex<HashMap<IpAddr, usize>>,
    connections: AtomicUsize,
}

/// Accepts connections and serves them until the listener fails for good.
///
/// # Errors
///
/// Never ends while the listener works; failures of single connections are logged.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    options: Options,
    gate: Arc<Gate>,
) -> io::Result<()> {
    let shared = Arc::new(Shared {
        handler,
        options,
        gate,
        callers: Mutex::new(HashMap::new()),
        connections: AtomicUsize::new(0),
    });
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let accepted = stream.and_then(|s| Ok((s.peer_addr()?, s)));
        match accepted {
            Ok((address, stream)) => {
                task::spawn(admit(shared.clone(), Caller { stream, address, handle: None }));
            }
            Err(e) => {
                log::warn!("http: Cannot accept a connection: {e}.");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    Ok(())
}

async fn admit<H: Handler>(shared: Arc<Shared<H>>, mut caller: Caller) {
    caller.stream.set_nodelay(true).ok();
    let ip = caller.address.ip();
    let of_caller = {
        let mut callers = shared.callers.lock().expect("no panic under lock");
        let n = callers.entry(ip).or_default();
        *n += 1;
        *n
    };
    let total = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
    let handle = shared.options.memory.as_ref().map(|(memory, group)| memory.open(*group));
    let too_many = total > shared.options.connections
        || of_caller > shared.options.connections_per_caller
        || matches!(handle, Some(Err(OverBudget)));
    caller.handle = handle.and_then(Result::ok);
    if too_many {
        let problem = problem::Problem::new(StatusCode::ServiceUnavailable, "too many connections")
            .outcome(crate::problem::Outcome::NotRun)
            .retry_after(Duration::from_secs(1));
        write_last(&mut caller.stream, problem.into_response()).await;
    } else if let Err(e) = converse(&shared, &mut caller).await {
        log::debug!("http: Connection from {} ended: {e}.", caller.address);
    }
    shared.connections.fetch_sub(1, Ordering::SeqCst);
    let mut callers = shared.callers.lock().expect("no panic under lock");
    if let Some(n) = callers.get_mut(&ip) {
        *n -= 1;
        if *n == 0 {
            callers.remove(&ip);
        }
    }
}

/// Serves the requests of one connection, one after the other.
async fn converse<H: Handler>(shared: &Shared<H>, caller: &mut Caller) -> http_types::Result<()> {
    loop {
        let decoded = async_h1::server::decode(caller.stream.clone());
        let decoded = future::timeout(shared.options.idle, decoded);
        let decoded = match select(Box::pin(decoded), Box::pin(told_to_end(caller))).await {
            Either::Left((decoded, _)) => decoded,
            Either::Right(_) => return Ok(()),
        };
        let (req, mut rest) = match decoded {
            Err(_) | Ok(Ok(None)) => return Ok(()),
            Ok(Ok(Some(decoded))) => decoded,
            Ok(Err(e)) => {
                refuse_head(caller, &e).await;
                return Err(e);
            }
        };
        let _charge = caller.handle.as_ref().map(|handle| RequestCharge::begin(handle, 0));
        let _busy = Busy::new(&shared.gate);
        let method = req.method();
        let wants_close = says_close(req.header(CONNECTION).map(|v| v.as_str()));
        let mut res = shared.handler.handle(req, caller.clone()).await;
        let close = wants_close
            || shared.gate.closing.load(Ordering::SeqCst)
            || says_close(res.header(CONNECTION).map(|v| v.as_str()));
        if close {
            res.insert_header(CONNECTION, "close");
        }
        write(&mut caller.stream, res, method, shared.options.write).await?;
        // A body that the handler left unread is skipped if it is there already; a caller that is
        // still sending it is cut off, since its next request could not be told from the rest.
        let mut sink = io::sink();
        let skipped = io::copy(&mut rest, &mut sink);
        if close || future::timeout(LOOK_AGAIN, skipped).await.is_err() {
            return Ok(());
        }
    }
}

/// Waits until a connection without a request has to end for others.
async fn told_to_end(caller: &Caller) {
    match &caller.handle {
        Some(handle) => handle.has_to_end().await,
        None => std::future::pending().await,
    }
}

fn says_close(connection: Option<&str>) -> bool {
    connection.is_some_and(|c| c.split(',').any(|s| s.trim().eq_ignore_ascii_case("close")))
}

struct Busy<'a>(&'a Gate);

impl<'a> Busy<'a> {
    fn new(gate: &'a Gate) -> Busy<'a> {
        gate.busy.fetch_add(1, Ordering::SeqCst);
        gate.served.fetch_add(1, Ordering::SeqCst);
        Busy(gate)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Writes a response piece by piece; a caller that stops reading is given up after `time`.
async fn write(
    stream: &mut TcpStream,
    res: Response,
    method: Method,
    time: Duration,
) -> io::Result<()> {
    use async_std::io::ReadExt;
    let mut encoder = async_h1::server::Encoder::new(res, method);
    let mut buf = vec![0; crate::body::CHUNK];
    loop {
        let n = encoder.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        future::timeout(time, stream.write_all(&buf[..n])).await.map_err(|_| {
            io::Error::new(io::ErrorKind::TimedOut, "the caller does not read its answer")
        })??;
    }
}

async fn write_last(stream: &mut TcpStream, mut res: Response) {
    res.insert_header(CONNECTION, "close");
    let time = Duration::from_secs(1);
    if let Err(e) = write(stream, res, Method::Get, time).await {
        log::debug!("http: Cannot write a refusal: {e}.");
    }
    stream.shutdown(std::net::Shutdown::Write).ok();
}

async fn refuse_head(caller: &mut Caller, error: &http_types::Error) {
    if error.downcast_ref::<io::Error>().is_some() {
        return;
    }
    let text = error.to_string();
    let status = if text.contains("8kb") {
        StatusCode::RequestHeaderFieldsTooLarge
    } else {
        StatusCode::BadRequest
    };
    let problem = problem::Problem::new(status, "the request head cannot be used")
        .detail(text)
        .outcome(crate::problem::Outcome::NotRun);
    write_last(&mut caller.stream, problem.into_response()).await;
}
