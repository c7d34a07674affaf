//! The budget of what clients make this process hold ([`oxbowbend_core::memory`]), shared by all servers of the process.
//!
//! What is charged is given back by guards when they are dropped, so that no way out of a request leaves bytes charged.

use std::collections::HashMap;
use std::fmt;
use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures::task::AtomicWaker;
use oxbowbend_clock as clock;
use oxbowbend_core::memory::{
    Buffer, ConnectionId, End, EndReason, Group, Kind, MemoryBudget, MemoryConfig, OverBudget,
    Phase, TimeLimits, PROGRESS_BYTES, REQUEST_BYTES,
};

/// What is held, for metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemoryUse {
    /// Bytes of each kind, in the order of [`Kind::ALL`].
    pub held: [usize; Kind::ALL.len()],
    /// Bytes that may be held.
    pub limit: usize,
    /// Connections that were told to end since the start, in the order of [`EndReason::ALL`].
    pub ended: [u64; EndReason::ALL.len()],
    /// Connections that were closed unread for lack of room since the start.
    pub closed_unread: u64,
    /// Charges that were denied since the start.
    pub denied: u64,
}

/// The budget; clones share it.
///
/// ```
/// use oxbowbend_core::memory::{Group, MemoryConfig};
/// use oxbowbend_http::memory::Memory;
///
/// let memory = Memory::new(MemoryConfig {
///     bytes: 1 << 20,
///     client_connections: 1,
///     instance_connections: 1,
///     internal_connections: 1,
/// });
/// let handle = memory.open(Group::Clients).unwrap();
/// assert!(memory.usage().held[0] > 0);
/// drop(handle);
/// assert_eq!(memory.usage().held[0], 0);
/// ```
#[derive(Clone, Debug)]
pub struct Memory {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    signals: HashMap<ConnectionId, Arc<Signal>>,
    usage: MemoryUse,
    /// Longest heads by group; `None` if the server's own.
    head_bytes: HashMap<Group, usize>,
}

/// Tells the task of a connection to end it.
#[derive(Default)]
struct Signal {
    is_set: AtomicBool,
    is_for_time: AtomicBool,
    waker: AtomicWaker,
}

impl fmt::Debug for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Signal").field("is_set", &self.is_set).finish_non_exhaustive()
    }
}

impl State {
    /// Wakes the tasks of connections that have to end.
    fn signal(&mut self, ends: Vec<End>) {
        for End { connection, reason } in ends {
            self.usage.ended[reason as usize] += 1;
            if let Some(signal) = self.signals.get(&connection) {
                let is_for_time = matches!(reason, EndReason::Idle | EndReason::SlowHead);
                signal.is_for_time.store(is_for_time, Ordering::SeqCst);
                signal.is_set.store(true, Ordering::SeqCst);
                signal.waker.wake();
            }
        }
    }
}

impl Memory {
    /// Starts with nothing held.
    pub fn new(cfg: MemoryConfig) -> Memory {
        let state = State {
            budget: MemoryBudget::new(cfg),
            signals: HashMap::new(),
            usage: MemoryUse { limit: cfg.bytes, ..MemoryUse::default() },
            head_bytes: HashMap::new(),
        };
        Memory { state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the time that clients of a group may take, and the longest head that is read of connections that are opened
    /// from now on.
    pub fn set_limits(&self, group: Group, limits: TimeLimits, head_bytes: usize) {
        let mut state = self.lock();
        state.budget.set_limits(group, limits);
        state.head_bytes.insert(group, head_bytes);
    }

    /// Opens a connection in the budget. Others may have to end for it.
    ///
    /// # Errors
    ///
    /// Fails if none of them can.
    pub fn open(&self, group: Group) -> Result<Arc<ConnectionHandle>, OverBudget> {
        let mut state = self.lock();
        let opened = state.budget.open(clock::now(), group);
        let (id, ends) = opened.inspect_err(|_| state.usage.closed_unread += 1)?;
        state.signal(ends);
        let signal = Arc::new(Signal::default());
        state.signals.insert(id, signal.clone());
        let head_bytes = state.head_bytes.get(&group).copied();
        drop(state);
        let requests = AtomicUsize::new(0);
        Ok(Arc::new(ConnectionHandle { memory: self.clone(), id, signal, head_bytes, requests }))
    }

    /// Ends connections whose time is over.
    pub fn end_expired(&self, is_stopping: bool) {
        let mut state = self.lock();
        let ends = state.budget.expired(clock::now(), is_stopping);
        state.signal(ends);
    }

    /// What is held at present, and what was ended for it.
    pub fn usage(&self) -> MemoryUse {
        let state = self.lock();
        MemoryUse { held: Kind::ALL.map(|kind| state.budget.held(kind)), ..state.usage.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }
}

/// An open connection in the budget; dropping it closes the connection there.
#[derive(Debug)]
pub struct ConnectionHandle {
    memory: Memory,
    id: ConnectionId,
    signal: Arc<Signal>,
    head_bytes: Option<usize>,
    /// Requests whose answers have not been written.
    requests: AtomicUsize,
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.signals.remove(&self.id);
        state.budget.close(self.id);
    }
}

impl ConnectionHandle {
    /// Longest head that is read, if the operator bounds it.
    pub fn head_bytes(&self) -> Option<usize> {
        self.head_bytes
    }

    /// Charges a whole answer that is to be read.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn reserve_response(
        self: &Arc<ConnectionHandle>,
        bytes: usize,
    ) -> Result<Charge, OverBudget> {
        let mut charge = Charge::new(self.clone(), Kind::Responses);
        charge.grow(bytes)?;
        Ok(charge)
    }

    /// What the connection is doing.
    pub fn phase(&self) -> Phase {
        self.memory.lock().budget.phase(self.id)
    }

    /// The connection goes on to a phase.
    pub fn set_phase(&self, phase: Phase) {
        self.signal.is_set.store(false, Ordering::SeqCst);
        self.memory.lock().budget.set_phase(clock::now(), self.id, phase);
    }

    /// A buffer of the connection has grown.
    pub(crate) fn record_grown(&self, buffer: Buffer) {
        self.memory.lock().budget.record_grown(self.id, buffer);
    }

    /// A part of a body has come that counts as progress.
    pub(crate) fn record_progress(&self) {
        self.memory.lock().budget.record_progress(clock::now(), self.id);
    }

    /// Writing to the client has to wait from now on, or goes on.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        let mut state = self.memory.lock();
        state.budget.set_blocked(clock::now(), self.id, is_blocked);
        state.budget.record_grown(self.id, Buffer::Write);
    }

    /// Returns whether the connection was told to end, or its body to be refused; else the task is woken when it is.
    pub(crate) fn poll_told_to_end(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.signal.waker.register(cx.waker());
        match self.signal.is_set.load(Ordering::SeqCst) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    /// Waits until the connection has to end for what its client has not done. A body that is being read is refused by
    /// whoever reads it.
    pub(crate) async fn has_to_end(&self) {
        poll_fn(|cx| match self.poll_told_to_end(cx) {
            Poll::Ready(()) if !matches!(self.phase(), Phase::Body | Phase::Running) => {
                Poll::Ready(())
            }
            _ => Poll::Pending,
        })
        .await;
    }

    /// Whether the reason is that its client has sent nothing, or no whole head, for as long as it may.
    pub(crate) fn is_time_over(&self) -> bool {
        self.signal.is_for_time.load(Ordering::SeqCst)
    }
}

/// Bytes that are charged to a connection until they are dropped.
#[derive(Debug)]
pub struct Charge {
    handle: Arc<ConnectionHandle>,
    kind: Kind,
    bytes: usize,
}

impl Charge {
    /// Starts with no bytes.
    pub fn new(handle: Arc<ConnectionHandle>, kind: Kind) -> Charge {
        Charge { handle, kind, bytes: 0 }
    }

    /// Charges more bytes. Other connections may have to end for them.
    ///
    /// # Errors
    ///
    /// Fails if there is no room; nothing more is charged then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OverBudget> {
        let mut state = self.handle.memory.lock();
        let charged = state.budget.charge(clock::now(), self.handle.id, self.kind, bytes);
        let ends = charged.inspect_err(|_| state.usage.denied += 1)?;
        state.signal(ends);
        drop(state);
        self.bytes += bytes;
        Ok(())
    }

    /// Charges more bytes that are held already.
    pub fn grow_always(&mut self, bytes: usize) {
        self.handle.memory.lock().budget.charge_always(self.handle.id, self.kind, bytes);
        self.bytes += bytes;
    }

    /// Gives back all but so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        if surplus > 0 {
            self.handle.memory.lock().budget.release(self.handle.id, self.kind, surplus);
            self.bytes -= surplus;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.handle.memory.lock().budget.release(self.handle.id, self.kind, self.bytes);
        }
    }
}

/// A request from the end of its head until its answer has been written.
#[derive(Debug)]
pub(crate) struct RequestCharge {
    charge: Charge,
}

impl RequestCharge {
    /// Begins with the bytes of its head.
    pub(crate) fn begin(handle: &Arc<ConnectionHandle>, head_bytes: usize) -> RequestCharge {
        handle.requests.fetch_add(1, Ordering::SeqCst);
        handle.set_phase(Phase::Running);
        let mut charge = Charge::new(handle.clone(), Kind::Requests);
        charge.grow_always(REQUEST_BYTES + head_bytes);
        RequestCharge { charge }
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let handle = &self.charge.handle;
        // The next request may have begun before the answer to this one was written.
        if handle.requests.fetch_sub(1, Ordering::SeqCst) == 1 {
            handle.set_phase(Phase::Idle);
        }
    }
}

/// Counts the bytes of a body and tells when they are progress.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    bytes: usize,
}

impl Progress {
    pub(crate) fn record(&mut self, handle: &ConnectionHandle, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= PROGRESS_BYTES {
            self.bytes = 0;
            handle.record_progress();
        }
    }
}
