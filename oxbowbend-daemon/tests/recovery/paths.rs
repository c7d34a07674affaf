//! Cuts between some instances and all endpoints, which nobody else notices.
//!
//! All connections come from the same address, so the kernel's tables tell whose they are.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use futures::io::{AsyncRead, AsyncWrite};

use crate::owners::{sockets_of, Ends};

/// How often a connection that is held back looks whether it still is.
const LOOK: Duration = Duration::from_millis(20);
/// Time between two looks at the kernel's tables in a cut.
const TABLE_PACE: Duration = Duration::from_millis(60);

/// How instances are cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Connections are accepted, and nothing passes until the end of the cut.
    Silent,
    /// Connections are reset, new ones too.
    Reset,
}

/// Which process began each connection, at a moment. Every connection asks, so all rows are parsed once.
struct Table(HashMap<Ends, usize>);

impl Table {
    fn take(pids: &[u32]) -> Table {
        let sockets = pids.iter().enumerate();
        let sockets = sockets.flat_map(|(n, pid)| sockets_of(*pid).map(move |socket| (socket, n)));
        let sockets: HashMap<u64, usize> = sockets.collect();
        let text = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let row = |line: &str| {
            // The socket is the tenth field of a row, its ends are the second and the third.
            let mut fields = line.split_ascii_whitespace().skip(1);
            let (near, far) = (fields.next()?, fields.next()?);
            let owner = sockets.get(&fields.nth(6)?.parse().ok()?)?;
            Some(((address(near)?, address(far)?), *owner))
        };
        Table(text.lines().filter_map(row).collect())
    }
}

/// An address as the table writes it, with the bytes of the IP address in the machine's order.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some((ip, u16::from_str_radix(port, 16).ok()?).into())
}

/// A cut in force.
struct Cut {
    manner: Manner,
    /// Places of the processes that are cut off.
    processes: HashSet<usize>,
    pids: Vec<u32>,
    table: Arc<Table>,
    /// When the table was begun.
    at: Instant,
}

/// The ways of all instances to all endpoints; clones share them.
#[derive(Clone, Default)]
pub struct Paths(Arc<Mutex<Option<Cut>>>);

impl Paths {
    /// Cuts off those of the processes whose places are named, until [`Paths::mend`].
    pub async fn cut(&self, manner: Manner, pids: Vec<u32>, processes: HashSet<usize>) {
        let (at, asked) = (Instant::now(), pids.clone());
        let table = Arc::new(task::spawn_blocking(move || Table::take(&asked)).await);
        *self.0.lock().unwrap() = Some(Cut { manner, processes, pids, table, at });
        let paths = self.clone();
        task::spawn(async move {
            while paths.refresh().await {
                task::sleep(TABLE_PACE).await;
            }
        });
    }

    pub fn mend(&self) {
        *self.0.lock().unwrap() = None;
    }

    /// Takes another table; returns whether there is a cut.
    async fn refresh(&self) -> bool {
        let Some(pids) = self.0.lock().unwrap().as_ref().map(|cut| cut.pids.clone()) else {
            return false;
        };
        let at = Instant::now();
        let table = Arc::new(task::spawn_blocking(move || Table::take(&pids)).await);
        if let Some(cut) = self.0.lock().unwrap().as_mut() {
            (cut.table, cut.at) = (table, at);
        }
        true
    }
}

/// What a cut does to a connection now.
enum Passage {
    Free,
    Held,
    Reset,
}

/// A connection that an endpoint has accepted.
pub struct Gated {
    stream: TcpStream,
    paths: Paths,
    ends: Option<Ends>,
    accepted_at: Instant,
    owner: Option<usize>,
    timer: Option<Pin<Box<dyn std::future::Future<Output = ()> + Send>>>,
}

impl Gated {
    pub fn new(stream: TcpStream, paths: Paths) -> Gated {
        let ends = stream.peer_addr().ok().zip(stream.local_addr().ok());
        Gated { stream, paths, ends, accepted_at: Instant::now(), owner: None, timer: None }
    }

    fn passage(&mut self) -> Passage {
        let cut = self.paths.0.lock().unwrap();
        let Some(cut) = cut.as_ref() else { return Passage::Free };
        if self.owner.is_none() {
            self.owner = self.ends.and_then(|ends| cut.table.0.get(&ends).copied());
        }
        match self.owner {
            // The next table shows it.
            None if cut.at < self.accepted_at => Passage::Held,
            Some(owner) if cut.processes.contains(&owner) => match cut.manner {
                Manner::Silent => Passage::Held,
                Manner::Reset => Passage::Reset,
            },
            _ => Passage::Free,
        }
    }

    /// Waits until the connection is not held back.
    fn poll_passage(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            match self.passage() {
                Passage::Free => {
                    self.timer = None;
                    return Poll::Ready(Ok(()));
                }
                Passage::Reset => {
                    let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Passage::Held => {}
            }
            let timer = self.timer.get_or_insert_with(|| Box::pin(task::sleep(LOOK)));
            futures::ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        futures::ready!(self.poll_passage(cx))?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        futures::ready!(self.poll_passage(cx))?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
