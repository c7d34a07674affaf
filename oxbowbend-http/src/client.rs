//! Calling HTTP servers over pooled connections.
//!
//! An error says whether any byte of the request can have reached the server, which decides
//! whether a request that must run at most once may be sent elsewhere.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::future;
use async_std::io::{BufReader, Cursor, ReadExt, WriteExt};
use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use oxbowbend_clock as clock;
use thiserror::Error;

use crate::body;
use crate::event_end::EventEnd;

/// Idle connections kept for one server.
const MAX_IDLE: usize = 64;
/// Time after which an idle connection is not used again; servers close theirs later than this.
const REUSE_WITHIN: Duration = Duration::from_secs(2);

/// Bytes of a head after which its end is not looked for.
const MAX_HEAD: usize = 16 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection came about, so no byte was sent.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// The server.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The connection failed after it was established; the server may have the request.
    #[error("the call to {address} broke: {reason}")]
    Broken {
        /// The server.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The head of the answer did not come in time; the server may have the request.
    #[error("{address} did not answer within {time:?}")]
    TimedOut {
        /// The server.
        address: SocketAddr,
        /// The limit.
        time: Duration,
    },
    /// The body of the answer could not be read whole.
    #[error(transparent)]
    Body(#[from] body::BodyError),
}

impl CallError {
    /// Whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, CallError::Connect { .. })
    }
}

struct Idle {
    stream: TcpStream,
    since: Instant,
}

#[derive(Default)]
struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes out an idle connection that has neither been closed nor sent anything unasked.
    fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("no panic under lock");
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let quiet = connection.stream.peek(&mut [0]).now_or_never().is_none();
            if quiet && clock::since(connection.since) < REUSE_WITHIN {
                return Some(connection.stream);
            }
        }
        idle.remove(&address);
        None
    }

    fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().expect("no panic under lock");
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { stream, since: clock::now() });
        }
    }
}

/// Time limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// To connect.
    pub connect: Duration,
    /// From the last byte of the request to the head of the answer.
    pub head: Duration,
    /// Between two pieces of the answer's body.
    pub piece: Duration,
}

impl Limits {
    /// The same limit for everything.
    pub fn all(time: Duration) -> Limits {
        Limits { connect: time, head: time, piece: time }
    }
}

/// A client with a pool of connections; clones share the pool.
#[derive(Clone, Default)]
pub struct Client {
    pool: Arc<Pool>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

/// What ends an answer's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// There is none.
    None,
    /// Its length in bytes.
    Length(u64),
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Connection,
}

/// An answer whose body has not been read yet.
pub struct Answer {
    /// Status and headers; the body has been taken out.
    pub head: Response,
    body: Body,
    framing: Framing,
    read: u64,
    events: Option<EventEnd>,
    limits: Limits,
    address: SocketAddr,
    stream: Option<TcpStream>,
    pool: Arc<Pool>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Client {
        Client::default()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] is certain that nothing was sent; any other error is not.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request,
        limits: Limits,
    ) -> Result<Answer, CallError> {
        let stream = match self.pool.take(address) {
            Some(stream) => stream,
            None => connect(address, limits.connect).await?,
        };
        let method = req.method();
        // Boxed, to keep the futures of callers small.
        let call = Box::pin(exchange(stream.clone(), req));
        let broken = |e: http_types::Error| CallError::Broken { address, reason: e.to_string() };
        let (mut head, read_on) = match future::timeout(limits.head, call).await {
            Ok(result) => result.map_err(broken)?,
            Err(_) => return Err(CallError::TimedOut { address, time: limits.head }),
        };
        let framing = framing(&head, method).map_err(|reason| {
            let reason = reason.to_owned();
            CallError::Broken { address, reason }
        })?;
        let body = match framing {
            Framing::None => Body::empty(),
            Framing::Length(_) | Framing::Chunks => head.take_body(),
            Framing::Connection => {
                Body::from_reader(BufReader::new(Cursor::new(read_on).chain(stream.clone())), None)
            }
        };
        let pool = self.pool.clone();
        let is_kept = framing != Framing::Connection && !says_close(&head);
        let stream = is_kept.then_some(stream);
        let events = EventEnd::of(&head);
        Ok(Answer { head, body, framing, read: 0, events, limits, address, stream, pool })
    }

    /// Sends a request and reads the answer whole.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], or if the body is longer than `limit` or not whole.
    pub async fn call(
        &self,
        address: SocketAddr,
        req: Request,
        limits: Limits,
        limit: usize,
    ) -> Result<(StatusCode, Vec<u8>), CallError> {
        let mut answer = self.send(address, req, limits).await?;
        let body = answer.read_to_end(limit).await?;
        Ok((answer.head.status(), body))
    }
}

impl Answer {
    /// Whether the body ends with its connection. Then a server that ends early shows only by what the
    /// body holds.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Connection
    }

    /// Reads the next piece of the body; `None` once the whole body has been read.
    ///
    /// # Errors
    ///
    /// Fails if the body is broken, stalls, or ends before its announced length or inside an event.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, body::BodyError> {
        let mut buf = vec![0; body::CHUNK];
        let time = self.limits.piece;
        let read = future::timeout(time, self.body.read(&mut buf)).await;
        let n =
            read.map_err(|_| body::BodyError::TooSlow(time))?.map_err(body::BodyError::Broken)?;
        self.read += n as u64;
        if n > 0 {
            buf.truncate(n);
            self.events.iter_mut().for_each(|events| events.note(&buf));
            return Ok(Some(buf));
        }
        if let Framing::Length(announced) = self.framing {
            body::check_length(self.read, Some(announced))?;
        }
        if self.events.as_ref().is_some_and(EventEnd::is_inside) {
            return Err(body::BodyError::InsideEvent);
        }
        if let Some(stream) = self.stream.take() {
            self.pool.put(self.address, stream);
        }
        Ok(None)
    }

    /// Reads the rest of the body, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// As [`Answer::next`], or if the body is longer than `limit`.
    pub async fn read_to_end(&mut self, limit: usize) -> Result<Vec<u8>, body::BodyError> {
        let mut bytes = Vec::new();
        while let Some(piece) = self.next().await? {
            if bytes.len() + piece.len() > limit {
                return Err(body::BodyError::TooLarge { limit });
            }
            bytes.extend_from_slice(&piece);
        }
        Ok(bytes)
    }
}

async fn connect(address: SocketAddr, time: Duration) -> Result<TcpStream, CallError> {
    let failed = |reason: String| CallError::Connect { address, reason };
    let connected = future::timeout(time, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| failed("timed out".to_owned()))?;
    let stream = stream.map_err(|e| failed(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| failed(e.to_string()))?;
    Ok(stream)
}

/// Sends a request. Returns the answer and what was read behind its head.
async fn exchange(mut stream: TcpStream, req: Request) -> http_types::Result<(Response, Vec<u8>)> {
    let mut encoder = async_h1::client::Encoder::new(req);
    let mut buf = vec![0; body::CHUNK];
    loop {
        let n = encoder.read(&mut buf).await?;
        if n == 0 {
            break;
        }
        stream.write_all(&buf[..n]).await?;
    }
    let (head, read_on) = read_head(&mut stream).await?;
    let read = Cursor::new([&head[..], &read_on].concat());
    Ok((async_h1::client::decode(read.chain(stream)).await?, read_on))
}

/// Reads up to the end of a head, or to where there is none. Returns the head and what was read behind it.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<(Vec<u8>, Vec<u8>)> {
    let (mut head, mut buf) = (Vec::new(), vec![0; body::CHUNK]);
    while head.len() < MAX_HEAD {
        let n = stream.read(&mut buf).await?;
        head.extend_from_slice(&buf[..n]);
        let is_end = |end: &usize| {
            let head = &head[..*end];
            head.ends_with(b"\r\n\r\n") || head.ends_with(b"\n\n")
        };
        if let Some(end) = (1..=head.len()).find(is_end) {
            let read_on = head.split_off(end);
            return Ok((head, read_on));
        }
        if n == 0 {
            break;
        }
    }
    Ok((head, Vec::new()))
}

/// Finds what ends an answer's body. `async-h1` gives an empty body where it knows neither length nor
/// encoding, which would pass for a whole one.
fn framing(head: &Response, method: Method) -> Result<Framing, &'static str> {
    let status = head.status();
    if status.is_informational() {
        return Err("the answer is an interim one");
    }
    if method == Method::Head || matches!(status, StatusCode::NoContent | StatusCode::NotModified) {
        return Ok(Framing::None);
    }
    if let Some(encoding) = head.header("Transfer-Encoding") {
        let is_known = encoding.last().as_str() == "chunked";
        return is_known.then_some(Framing::Chunks).ok_or("the answer's encoding is not known");
    }
    let length = head.header("Content-Length").map(|v| v.last().as_str().parse());
    match length {
        Some(Ok(length)) => Ok(Framing::Length(length)),
        Some(Err(_)) => Err("the answer's length is not a number"),
        None => Ok(Framing::Connection),
    }
}

fn says_close(head: &Response) -> bool {
    head.header("Connection").is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"))
}

/// Begins a request to `path` at `address`.
///
/// # Errors
///
/// Fails if the path does not make a URL.
///
/// ```
/// use http_types::Method;
/// let address = "127.0.0.1:80".parse().unwrap();
/// let req = oxbowbend_http::client::request(Method::Get, address, "/a?b=c").unwrap();
/// assert_eq!(req.url().path(), "/a");
/// ```
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
) -> Result<Request, http_types::url::ParseError> {
    let url = Url::parse(&format!("http://{address}{path}"))?;
    Ok(Request::new(method, url))
}

/// Begins a request that carries a JSON value.
///
/// # Errors
///
/// As [`request`].
pub fn json_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<Request, http_types::url::ParseError> {
    let mut req = request(method, address, path)?;
    req.set_body(serde_json::to_string(value).unwrap_or_default());
    req.set_content_type(http_types::Mime::from("application/json"));
    Ok(req)
}
