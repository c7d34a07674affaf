//! A loopback proxy that delays, resets, cuts one way, or goes silent, to all or to some daemons.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;

use crate::paths::{Accepted, Manner, Paths};
use crate::peer_paths::PeerAddresses;

/// How often a proxy that holds bytes back looks whether it still should.
const LOOK: Duration = Duration::from_millis(10);
/// Bytes that are read at once.
const PIECE: usize = 16_384;
/// Room for the rest of an address that a piece begins.
const REST: usize = 1024;

/// What a proxy does to the bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Pass,
    Delay(Duration),
    /// Connections are reset at once, new ones too.
    Reset,
    /// Connections are reset when an answer comes back on them.
    Strike,
    /// Nothing comes back.
    OneWay,
    /// Nothing passes.
    Silent,
    /// Connections are reset, new ones refused.
    Down,
    /// Connections are closed in the ordinary way, new ones refused, as at the end of a process.
    Ended,
    /// Answers have neither a length nor chunks and end with their connection: requests arrive as those of HTTP/1.0.
    Unframed,
}

/// Ends of the process for which a proxy stands. What follows from one takes place even if the next mode comes first.
#[derive(Default)]
struct Ends {
    /// Ends so far.
    all: AtomicUsize,
    /// Those after which the listener has been closed.
    closed: AtomicUsize,
    /// Open connections.
    open: AtomicUsize,
}

#[derive(Clone)]
pub struct Proxy {
    mode: Arc<Mutex<Mode>>,
    ends: Arc<Ends>,
    /// Ends before the connection was accepted, of the copy that serves one.
    ends_before: usize,
    paths: Paths,
    /// Addresses of daemons, if these are on both sides.
    addresses: Option<PeerAddresses>,
}

impl Proxy {
    /// Starts one on the ways that some daemons take.
    pub fn start(listener: TcpListener, to: SocketAddr, paths: Paths) -> Proxy {
        let proxy = Proxy::new(paths, None);
        task::spawn(proxy.clone().listen(listener, to));
        proxy
    }

    /// Starts one that stands for a daemon.
    pub fn start_between_daemons(
        listener: TcpListener,
        to: SocketAddr,
        paths: Paths,
        addresses: PeerAddresses,
    ) {
        task::spawn(Proxy::new(paths, Some(addresses)).listen(listener, to));
    }

    fn new(paths: Paths, addresses: Option<PeerAddresses>) -> Proxy {
        let mode = Arc::new(Mutex::new(Mode::Pass));
        Proxy { mode, ends: Arc::default(), ends_before: 0, paths, addresses }
    }

    async fn listen(self, mut listener: TcpListener, to: SocketAddr) {
        let address = listener.local_addr().unwrap();
        loop {
            let accepted = async_std::future::timeout(LOOK, listener.accept()).await;
            let ends = self.ends.all.load(Ordering::SeqCst);
            let has_ended = ends > self.ends.closed.load(Ordering::SeqCst);
            if has_ended || matches!(self.mode(), Mode::Down | Mode::Ended) {
                drop(listener);
                self.ends.closed.store(ends, Ordering::SeqCst);
                while self.is_down(has_ended) {
                    task::sleep(LOOK).await;
                }
                listener = TcpListener::bind(address).await.unwrap();
                continue;
            }
            if let Ok(Ok((stream, _))) = accepted {
                self.ends.open.fetch_add(1, Ordering::SeqCst);
                let connection = Proxy { ends_before: ends, ..self.clone() };
                task::spawn(async move {
                    connection.clone().connection(stream, to).await;
                    connection.ends.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        }
    }

    pub fn set_mode(&self, mode: Mode) {
        if mode == Mode::Ended {
            self.ends.all.fetch_add(1, Ordering::SeqCst);
        }
        *self.mode.lock().unwrap() = mode;
    }

    /// Whether nobody listens. The connections of a process that has ended are closed before the next one starts.
    fn is_down(&self, has_ended: bool) -> bool {
        let has_connections = has_ended && self.ends.open.load(Ordering::SeqCst) > 0;
        has_connections || matches!(self.mode(), Mode::Down | Mode::Ended)
    }

    /// Whether the process has ended that accepted this connection.
    fn has_ended(&self) -> bool {
        self.ends.all.load(Ordering::SeqCst) > self.ends_before
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    /// Lets nothing pass for a while; what came meanwhile goes on then, and nothing is lost.
    pub async fn pause(&self, time: Duration) {
        self.set_mode(Mode::Silent);
        task::sleep(time).await;
        self.set_mode(Mode::Pass);
    }

    /// What happens to the bytes of a connection.
    async fn mode_of(&self, conn: &Accepted) -> Mode {
        if self.has_ended() {
            return Mode::Ended;
        }
        match (self.mode(), self.paths.cut_of(conn).await) {
            (mode @ (Mode::Reset | Mode::Down | Mode::Ended), _) => mode,
            (_, Some(Manner::Reset)) => Mode::Reset,
            (_, Some(Manner::Silent)) => Mode::Silent,
            (_, Some(Manner::OneWay)) => Mode::OneWay,
            (mode, _) => mode,
        }
    }

    async fn is_off(&self, conn: &Accepted) -> bool {
        matches!(self.mode_of(conn).await, Mode::Reset | Mode::Down | Mode::Ended)
    }

    async fn connection(self, near: TcpStream, to: SocketAddr) {
        let conn = Accepted::new(&near);
        let is_refused = self.paths.cut_of(&conn).await == Some(Manner::Refuse);
        if is_refused || self.is_off(&conn).await {
            reset(&near);
            return;
        }
        let Ok(far) = TcpStream::connect(to).await else { return };
        let there = Box::pin(self.clone().pump(&conn, near.clone(), far.clone(), false));
        let back = Box::pin(self.clone().pump(&conn, far.clone(), near.clone(), true));
        futures::future::select(there, back).await;
        if self.has_ended() {
            // A process closes its listener first, which it opened first.
            while self.ends.closed.load(Ordering::SeqCst) <= self.ends_before {
                task::sleep(LOOK).await;
            }
        } else if self.is_off(&conn).await || self.mode() == Mode::Strike {
            reset(&near);
        }
        let _ = near.shutdown(std::net::Shutdown::Both);
        let _ = far.shutdown(std::net::Shutdown::Both);
    }

    async fn pump(self, conn: &Accepted, mut from: TcpStream, mut to: TcpStream, is_back: bool) {
        let mut buf = vec![0; PIECE + REST];
        loop {
            let read = async_std::future::timeout(LOOK, from.read(&mut buf[..PIECE])).await;
            if self.is_off(conn).await {
                return;
            }
            let mut n = match read {
                Err(_) => continue,
                Ok(Ok(n)) if n > 0 => n,
                Ok(_) => return,
            };
            if let Some(addresses) = &self.addresses {
                while addresses.is_split(&buf[..n]) {
                    match async_std::future::timeout(LOOK, from.read(&mut buf[n..])).await {
                        Ok(Ok(more)) if more > 0 => n += more,
                        _ => break,
                    }
                }
                addresses.rewrite(&mut buf[..n]);
            }
            if self.mode() == Mode::Unframed && !is_back {
                make_old(&mut buf[..n]);
            }
            loop {
                match self.mode_of(conn).await {
                    Mode::Reset | Mode::Down | Mode::Ended => return,
                    Mode::Strike if is_back => return,
                    Mode::Silent => task::sleep(LOOK).await,
                    Mode::OneWay if is_back => task::sleep(LOOK).await,
                    Mode::Delay(by) => {
                        task::sleep(by).await;
                        break;
                    }
                    _ => break,
                }
            }
            if to.write_all(&buf[..n]).await.is_err() {
                return;
            }
            if !is_back {
                self.paths.passed(conn).await;
            }
        }
    }
}

/// Makes the head of a request one of HTTP/1.0.
fn make_old(head: &mut [u8]) {
    const VERSION: &[u8] = b" HTTP/1.1\r\n";
    if let Some(at) = head.windows(VERSION.len()).position(|w| w == VERSION) {
        head[at + VERSION.len() - 3] = b'0';
    }
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    // A stream that has failed already needs none.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
