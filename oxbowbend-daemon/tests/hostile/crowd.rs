//! What the clients of a crowd send, and what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver, Sender};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::{future, io, task};
use futures::future::join_all;
use socket2::{Domain, Socket, Type};

use crate::platform::{SLOW_ROUTE, UNKNOWN_ROUTE};
use crate::MAX_BODY;

/// Time within which a client connects or sends all that it wants to send; more than any machine needs.
const SENDS_WITHIN: Duration = Duration::from_secs(20);
/// Time between two clients that come; a listener drops those that come at once beyond its queue.
const PACE: Duration = Duration::from_millis(2);
/// Bytes of an answer that a client who reads takes.
const ANSWER: usize = 1 << 20;
/// Receive buffer of a client who does not read, in bytes.
const SMALL_BUFFER: usize = 4096;
/// Length that is announced for a body beyond all limits, in bytes.
pub const ANNOUNCED: usize = 1 << 30;
/// Time between two bytes of a client that makes little progress.
const TRICKLE: Duration = Duration::from_millis(100);
/// Time for which a client sends a slow body: more than a request may take, less than the rest of its body is read for.
const SLOW_BODY: Duration = Duration::from_millis(3500);
/// Time after which a client reads that reads late.
const READS_AFTER: Duration = Duration::from_secs(1);
/// Beginning of the ids of a crowd's requests, of those of requests inside of bodies, and of those that go before others.
pub const ID: &str = "h-";
const EMBEDDED_ID: &str = "embedded-";
const EARLIER_ID: &str = "earlier-";
/// Time between two attempts of a client that needs an answer.
const PAUSE: Duration = Duration::from_millis(200);
const CHUNK: usize = 64 << 10;
const PIECE: usize = 4096;

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug)]
pub enum Play {
    /// A whole body.
    Whole {
        bytes: usize,
    },
    /// A whole JSON body of many small objects.
    Objects {
        bytes: usize,
    },
    /// All but the last byte of a body.
    Short {
        bytes: usize,
    },
    /// The same in small pieces.
    Pieces {
        bytes: usize,
    },
    /// Large chunks without an end.
    Chunks {
        bytes: usize,
    },
    /// Chunks of one byte.
    TinyChunks {
        bytes: usize,
        is_ended: bool,
    },
    /// So much of a body that is announced beyond all limits.
    Announced {
        bytes: usize,
    },
    /// A head without an end.
    Head {
        bytes: usize,
    },
    /// A whole head of this length.
    WholeHead {
        bytes: usize,
    },
    /// A body of which a byte comes now and then for as long as the client stays.
    Trickle {
        bytes: usize,
    },
    /// So much of a body, which consists of requests.
    Embedded {
        announced: usize,
        bytes: usize,
    },
    /// The same, one request now and then until the body's time is over.
    SlowEmbedded {
        announced: usize,
    },
    /// A whole body whose answer is read late.
    LateReader {
        bytes: usize,
        is_chunked: bool,
    },
    /// A whole request, and so much more while it runs. A long body on the same connection goes before it, for which the
    /// kernel enlarges its buffer.
    Ahead {
        bytes: usize,
    },
    Nothing,
    /// A whole request, whose answer is not read.
    Deaf,
}

impl Play {
    /// Whether the request is one that endpoints may run.
    fn is_whole(self) -> bool {
        use Play::{Ahead, Deaf, TinyChunks, Whole, WholeHead};
        match self {
            Whole { .. } | WholeHead { .. } | Ahead { .. } | Deaf => true,
            TinyChunks { is_ended, .. } => is_ended,
            _ => false,
        }
    }

    /// Bytes of the body of a whole request.
    pub fn body_bytes(self) -> usize {
        match self {
            Play::Whole { bytes } | Play::TinyChunks { bytes, .. } => bytes,
            _ => 0,
        }
    }

    async fn send(self, to: &mut TcpStream, head: &str) -> io::Result<()> {
        let length = |n: usize| format!("{head}Content-Length: {n}\r\n\r\n");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Play::Whole { bytes } => {
                to.write_all(length(bytes).as_bytes()).await?;
                to.write_all(&vec![b'x'; bytes]).await
            }
            Play::Objects { bytes } => {
                const OBJECT: &str = r#"{"a":0},"#;
                let objects = OBJECT.repeat(bytes / OBJECT.len());
                let body = format!(r#"{{"model":"live","messages":[{objects}0]}}"#);
                to.write_all(length(body.len()).as_bytes()).await?;
                to.write_all(body.as_bytes()).await
            }
            Play::Short { bytes } => {
                to.write_all(length(bytes).as_bytes()).await?;
                to.write_all(&vec![b'x'; bytes - 1]).await
            }
            Play::Pieces { bytes } => {
                to.write_all(length(bytes).as_bytes()).await?;
                repeat(to, &[b'x'; PIECE], bytes / PIECE - 1).await
            }
            Play::Chunks { bytes } => {
                to.write_all(chunked.as_bytes()).await?;
                let chunk = [b"10000\r\n".as_slice(), &[b'x'; CHUNK], b"\r\n"].concat();
                repeat(to, &chunk, bytes / CHUNK - 1).await
            }
            Play::TinyChunks { bytes, is_ended } => {
                to.write_all(chunked.as_bytes()).await?;
                repeat(to, &b"1\r\nx\r\n".repeat(PIECE), bytes / PIECE).await?;
                to.write_all(if is_ended { b"0\r\n\r\n" } else { b"" }).await
            }
            Play::Announced { bytes } => {
                to.write_all(length(ANNOUNCED).as_bytes()).await?;
                repeat(to, &[b'x'; CHUNK], bytes / CHUNK).await
            }
            Play::Trickle { bytes } => to.write_all(length(bytes).as_bytes()).await,
            Play::Embedded { announced, bytes } => {
                to.write_all(length(announced).as_bytes()).await?;
                let request = embedded(head);
                repeat(to, request.repeat(100).as_bytes(), bytes / (100 * request.len())).await
            }
            Play::SlowEmbedded { announced } => {
                to.write_all(length(announced).as_bytes()).await?;
                let until = Instant::now() + SLOW_BODY;
                while Instant::now() < until {
                    to.write_all(embedded(head).as_bytes()).await?;
                    task::sleep(TRICKLE).await;
                }
                Ok(())
            }
            Play::LateReader { bytes, is_chunked: true } => {
                to.write_all(chunked.as_bytes()).await?;
                let chunk = [b"10000\r\n".as_slice(), &[b'x'; CHUNK], b"\r\n"].concat();
                repeat(to, &chunk, bytes / CHUNK).await?;
                to.write_all(b"0\r\n\r\n").await?;
                task::sleep(READS_AFTER).await;
                Ok(())
            }
            Play::LateReader { bytes, is_chunked: false } => {
                to.write_all(length(bytes).as_bytes()).await?;
                to.write_all(&vec![b'x'; bytes]).await?;
                task::sleep(READS_AFTER).await;
                Ok(())
            }
            Play::Head { bytes } => {
                to.write_all(format!("{head}X: {}", "y".repeat(bytes)).as_bytes()).await
            }
            Play::WholeHead { bytes } => {
                let rest = "X: \r\nContent-Length: 0\r\n\r\n";
                let filler = "y".repeat(bytes - head.len() - rest.len());
                to.write_all(format!("{head}X: {filler}\r\nContent-Length: 0\r\n\r\n").as_bytes())
                    .await
            }
            Play::Ahead { bytes } => {
                to.write_all(length(0).as_bytes()).await?;
                repeat(to, &[b'x'; CHUNK], bytes / CHUNK).await
            }
            Play::Nothing => Ok(()),
            Play::Deaf => to.write_all(length(0).as_bytes()).await,
        }
    }
}

/// A request that stands in a body.
fn embedded(head: &str) -> String {
    format!("{head}Content-Length: 0\r\n\r\n").replace(ID, EMBEDDED_ID)
}

async fn repeat(to: &mut TcpStream, piece: &[u8], times: usize) -> io::Result<()> {
    for _ in 0..times {
        to.write_all(piece).await?;
    }
    Ok(())
}

/// The beginnings of the heads of requests, by their ids.
pub type Heads = Arc<dyn Fn(&str) -> String + Send + Sync>;

/// What one client got.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    /// Status of the answer, if one came.
    pub status: Option<u16>,
    pub is_whole: bool,
}

impl Seen {
    /// Whether the client was told that its request has not run and never will.
    pub fn is_promised_unexecuted(&self) -> bool {
        matches!(self.status, Some(408 | 421 | 429 | 503))
    }
}

/// Clients that stay connected until they are told to leave.
pub struct Crowd {
    release: Sender<()>,
    sent: Receiver<()>,
    clients: Vec<task::JoinHandle<Seen>>,
}

impl Crowd {
    pub fn come(to: SocketAddr, clients: usize, play: Play, heads: &Heads) -> Crowd {
        let ((release, held), (tell_sent, sent)) = (bounded(1), bounded(clients));
        let client = |n: usize| {
            let id = format!("{ID}{n:04}");
            let (head, held, tell_sent) = (heads(&id), held.clone(), tell_sent.clone());
            task::spawn(async move {
                task::sleep(PACE * n as u32).await;
                let status = converse(to, play, &head, tell_sent, held).await;
                Seen { id, status, is_whole: play.is_whole() }
            })
        };
        Crowd { release, sent, clients: (0..clients).map(client).collect() }
    }

    /// Waits until all have sent what they want to send, or cannot send it.
    pub async fn has_sent(&self) {
        for _ in 0..self.clients.len() {
            self.sent.recv().await.expect("each client tells it once");
        }
    }

    /// All leave; returns what they got.
    pub async fn leave(self) -> Vec<Seen> {
        self.release.close();
        join_all(self.clients).await
    }
}

/// Sends a request, and stays connected until released.
async fn converse(
    to: SocketAddr,
    play: Play,
    head: &str,
    tell_sent: Sender<()>,
    held: Receiver<()>,
) -> Option<u16> {
    let stream = match play {
        Play::Ahead { .. } => {
            let connected = future::timeout(SENDS_WITHIN, connect_enlarged(to, head)).await;
            connected.map_err(io::Error::other)
        }
        _ => connect(to, play).await,
    };
    let Ok(mut stream) = stream else {
        tell_sent.send(()).await.expect("the crowd is there");
        let _ = held.recv().await;
        return None;
    };
    // A client that is not read any more still waits for an answer.
    let _ = future::timeout(SENDS_WITHIN, play.send(&mut stream, head)).await;
    tell_sent.send(()).await.expect("the crowd is there");
    if matches!(play, Play::Trickle { .. }) {
        trickle(&mut stream, &held).await;
        return None;
    }
    let mut status = None;
    if !matches!(play, Play::Deaf) {
        let answer = futures::future::select(Box::pin(read_status(&mut stream)), held.recv());
        if let futures::future::Either::Left((Ok(read), _)) = answer.await {
            status = Some(read);
        }
    }
    let _ = held.recv().await;
    status
}

/// Sends a byte now and then until released, or until the connection ends.
async fn trickle(to: &mut TcpStream, held: &Receiver<()>) {
    while future::timeout(TRICKLE, held.recv()).await.is_err() {
        if to.write_all(b"x").await.is_err() {
            let _ = held.recv().await;
        }
    }
}

async fn connect(to: SocketAddr, play: Play) -> io::Result<TcpStream> {
    if !matches!(play, Play::Deaf) {
        return future::timeout(SENDS_WITHIN, TcpStream::connect(to))
            .await
            .map_err(io::Error::other)?;
    }
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(SMALL_BUFFER)?;
    let connected = task::spawn_blocking(move || socket.connect(&to.into()).map(|()| socket));
    Ok(std::net::TcpStream::from(connected.await?).into())
}

/// A connection on which a body of the greatest size has been sent to a route that does not exist.
async fn connect_enlarged(to: SocketAddr, head: &str) -> TcpStream {
    let head = head.replace(ID, EARLIER_ID).replace(SLOW_ROUTE, UNKNOWN_ROUTE);
    loop {
        if let Ok(mut stream) = connect(to, Play::Nothing).await {
            let sent = Play::Whole { bytes: MAX_BODY }.send(&mut stream, &head).await;
            if sent.is_ok() && matches!(read_answer(&mut stream).await, Ok(404)) {
                return stream;
            }
        }
        task::sleep(PAUSE).await;
    }
}

pub async fn read_status(stream: &mut TcpStream) -> io::Result<u16> {
    let head = read_head(stream).await?;
    status_of(&head)
}

/// Sends a request on a connection of its own and reads the answer to its end; returns its status.
pub async fn ask(to: SocketAddr, head: &str, play: Play) -> io::Result<u16> {
    let mut stream = connect(to, Play::Nothing).await?;
    play.send(&mut stream, head).await?;
    read_answer(&mut stream).await
}

/// Reads an answer to its end; returns its status.
async fn read_answer(stream: &mut TcpStream) -> io::Result<u16> {
    let head = read_head(stream).await?;
    let end = head.windows(4).position(|w| w == b"\r\n\r\n").expect("a whole head") + 4;
    let text = String::from_utf8_lossy(&head[..end]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|n| n.trim().parse().ok()).unwrap_or(0);
    let mut rest = vec![0; length.min(ANSWER).saturating_sub(head.len() - end)];
    stream.read_exact(&mut rest).await?;
    status_of(&head)
}

fn status_of(head: &[u8]) -> io::Result<u16> {
    let status = head.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
    status.ok_or_else(|| io::Error::other("no status"))
}

async fn read_head(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let (mut head, mut buf) = (Vec::new(), [0; 4096]);
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut buf).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => head.extend_from_slice(&buf[..n]),
        }
    }
    Ok(head)
}
