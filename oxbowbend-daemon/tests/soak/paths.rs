//! Cuts between some daemons and all endpoints, which nobody else notices.
//!
//! All daemons reach the endpoints through the same proxies, so a proxy asks here whose a connection is: once for each
//! connection, and only while a cut is in force or it is counted what passes.

use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use async_std::net::TcpStream;
use async_std::task;

use crate::fleet::DAEMONS;
use crate::owners::{Ends, Snapshot};

/// How daemons are cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// Nothing passes either way; new connections are accepted, and nothing passes on them.
    Silent,
    /// Connections are reset, new ones as soon as they are there.
    Reset,
    /// Connections live on, new ones are reset as soon as they are there: a listener that other daemons reach too cannot
    /// refuse those of one daemon.
    Refuse,
    /// Nothing comes back.
    OneWay,
}

/// Which daemons are cut off, and how.
#[derive(Clone, Debug)]
pub struct Cut {
    pub manner: Manner,
    pub daemons: Vec<usize>,
}

#[derive(Default)]
struct State {
    /// The daemons' processes.
    pids: [u32; DAEMONS],
    cuts: Vec<Cut>,
    /// Pieces that have passed from each daemon to endpoints, if they are counted.
    passed: Option<[usize; DAEMONS]>,
}

/// The daemons' connections at a moment.
struct Table {
    at: Instant,
    snapshot: Snapshot,
}

/// The ways of all daemons to all endpoints.
#[derive(Clone, Default)]
pub struct Paths {
    state: Arc<Mutex<State>>,
    table: Arc<futures::lock::Mutex<Option<Table>>>,
}

/// A connection that a proxy has accepted.
#[derive(Clone)]
pub struct Accepted {
    /// None if it has failed already.
    ends: Option<Ends>,
    at: Instant,
    owner: Arc<OnceLock<Option<usize>>>,
}

impl Accepted {
    pub fn new(stream: &TcpStream) -> Accepted {
        let ends = stream.peer_addr().ok().zip(stream.local_addr().ok());
        Accepted { ends, at: Instant::now(), owner: Arc::default() }
    }
}

impl Paths {
    /// Tells which process a daemon is now.
    pub fn set_pid(&self, daemon: usize, pid: u32) {
        self.state.lock().unwrap().pids[daemon] = pid;
    }

    /// Cuts daemons off, or ends the cut.
    pub fn set_cut(&self, cut: Option<Cut>) {
        self.set_cuts(cut.into_iter().collect());
    }

    /// Cuts daemons off in several ways, of which the first one that covers a daemon counts.
    pub fn set_cuts(&self, cuts: Vec<Cut>) {
        self.state.lock().unwrap().cuts = cuts;
    }

    /// Counts from now on what passes from each daemon to endpoints.
    pub fn count(&self) {
        self.state.lock().unwrap().passed = Some([0; DAEMONS]);
    }

    /// Pieces that have passed from each daemon since then; a request is one at least. Ends the count.
    pub fn counted(&self) -> [usize; DAEMONS] {
        self.state.lock().unwrap().passed.take().unwrap_or_default()
    }

    /// Notes that a piece has passed to an endpoint.
    pub async fn passed(&self, conn: &Accepted) {
        if self.state.lock().unwrap().passed.is_none() {
            return;
        }
        let owner = self.owner(conn).await;
        if let (Some(n), Some(passed)) = (owner, &mut self.state.lock().unwrap().passed) {
            passed[n] += 1;
        }
    }

    /// How a connection's daemon is cut off now, if it is.
    pub async fn cut_of(&self, conn: &Accepted) -> Option<Manner> {
        let cuts = self.state.lock().unwrap().cuts.clone();
        if cuts.is_empty() {
            return None;
        }
        let owner = self.owner(conn).await?;
        cuts.iter().find(|cut| cut.daemons.contains(&owner)).map(|cut| cut.manner)
    }

    /// The daemon that began a connection; none if nobody has it any more.
    async fn owner(&self, conn: &Accepted) -> Option<usize> {
        if let Some(owner) = conn.owner.get() {
            return *owner;
        }
        let ends = conn.ends?;
        let mut owner = self.look_up(ends, conn.at).await;
        if owner.is_none() {
            // The table may miss a row that moved while it was read.
            owner = self.look_up(ends, Instant::now()).await;
        }
        *conn.owner.get_or_init(|| owner)
    }

    /// Looks a connection up in a table that is newer than a moment.
    async fn look_up(&self, ends: Ends, since: Instant) -> Option<usize> {
        let mut table = self.table.lock().await;
        if let Some(table) = table.as_ref().filter(|table| table.at >= since) {
            return table.snapshot.owner(ends);
        }
        let at = Instant::now();
        let pids = self.state.lock().unwrap().pids;
        let snapshot = task::spawn_blocking(move || Snapshot::take(&pids)).await;
        let owner = snapshot.owner(ends);
        *table = Some(Table { at, snapshot });
        owner
    }
}
