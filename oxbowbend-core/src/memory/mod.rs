//! Memory that clients make this process hold: one budget of bytes for all of it, limits on what a client leaves
//! unfinished, and the choice of the connections that yield when the budget is used up.
//!
//! Bytes are charged when they are held, never when they are announced, so a client that announces a long body and sends
//! nothing costs others nothing. What exceeds the budget makes connections yield that have kept this process waiting:
//! those whose client has sent or taken too little for [`STALL`], first the one that holds most for longest, then idle
//! ones, the oldest first. A request that runs never yields. If that does not suffice, whoever needs the bytes is refused.
//!
//! Bodies and answers beyond [`SMALL_BODY`] leave [`RESERVED_SHARE`] of the budget to connections, heads and small bodies.
//!
//! A client that makes steady progress is never ended for lack of memory, so a crowd that sends fast enough is refused
//! rather than replaced: the requests that were there first complete and free what they hold.

mod kinds;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use kinds::GROUPS;
pub use kinds::{Buffer, End, EndReason, Group, Kind, MemoryConfig, OverBudget, Phase, TimeLimits};

/// A connection that is open.
pub type ConnectionId = u64;

/// Bytes that a connection holds without a request: the task that serves it and its buffers, of 8 KiB each at first.
pub const CONNECTION_BYTES: usize = 24 * 1024;
/// Size of a connection's buffers up to which they are among [`CONNECTION_BYTES`].
pub const FIRST_BUFFER: usize = 8 * 1024;
/// Bytes that a buffer takes beyond that once it has grown. It keeps its size for as long as the connection lives.
pub const GROWN_BUFFER: usize = 24 * 1024;
/// Bytes that a request holds beside its head and its body.
pub const REQUEST_BYTES: usize = 24 * 1024;
/// Longest body that may use the whole budget.
pub const SMALL_BODY: usize = 64 * 1024;
/// Share of the budget that longer bodies leave to others.
pub const RESERVED_SHARE: f64 = 0.25;
/// Share of the budget that connections without a request may take.
const CONNECTIONS_SHARE: f64 = 0.5;
/// Bytes of a body that count as progress.
pub const PROGRESS_BYTES: usize = 16 * 1024;
/// Time without progress from which a connection yields if the budget is used up. A client that shares a link of
/// 10 Mbit/s with fifty others sends 25 KB in it.
pub const STALL: Duration = Duration::from_secs(1);
/// Time without progress after which an answer is given up in any case. Endpoints give theirs up after some seconds.
pub const UNREAD_LIMIT: Duration = Duration::from_secs(30);
/// Added to the time that a connection may be idle, so that a request sent just within it meets an open connection.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Connection {
    group: Group,
    phase: Phase,
    /// When its phase began.
    since: Instant,
    /// When its client last made progress in it.
    progress_at: Instant,
    /// When writing to the client had to wait, if it does.
    blocked_since: Option<Instant>,
    /// Whether the buffer for what is read, and that for what is written, have grown.
    has_grown: [bool; 2],
    held: usize,
    /// Bytes that it will give back, since it was told to end.
    yielding: Option<usize>,
}

impl Connection {
    /// For how long the client has kept this process waiting without progress.
    fn stalled_for(&self, now: Instant) -> Duration {
        match self.phase {
            Phase::Idle | Phase::Running => Duration::ZERO,
            Phase::Head => now.saturating_duration_since(self.since),
            Phase::Body => now.saturating_duration_since(self.progress_at),
            Phase::Response => {
                self.blocked_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
            }
        }
    }

    fn is_stalled(&self, now: Instant) -> bool {
        self.stalled_for(now) >= STALL
    }

    /// Bytes that are held, weighed by the time for which they have been held in vain.
    fn weight(&self, now: Instant) -> f64 {
        self.held as f64 * self.stalled_for(now).as_secs_f64()
    }
}

/// The budget.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::memory::{Group, Kind, MemoryBudget, MemoryConfig, Phase};
///
/// let cfg = MemoryConfig {
///     bytes: 1 << 20,
///     client_connections: 100,
///     instance_connections: 10,
///     internal_connections: 10,
/// };
/// let (mut budget, now) = (MemoryBudget::new(cfg), Instant::now());
/// let (stalled, _) = budget.open(now, Group::Clients).unwrap();
/// budget.set_phase(now, stalled, Phase::Body);
/// budget.charge(now, stalled, Kind::Bodies, 700_000).unwrap();
/// let (other, _) = budget.open(now, Group::Clients).unwrap();
/// budget.set_phase(now, other, Phase::Body);
/// // A body that makes progress does not yield to another one.
/// assert!(budget.charge(now, other, Kind::Bodies, 700_000).is_err());
/// let later = now + Duration::from_secs(2);
/// let ends = budget.charge(later, other, Kind::Bodies, 700_000).unwrap();
/// assert_eq!(ends[0].connection, stalled);
/// ```
#[derive(Debug)]
pub struct MemoryBudget {
    cfg: MemoryConfig,
    limits: [TimeLimits; GROUPS],
    connections: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    open: [usize; GROUPS],
    /// Connections of each group that were told to end.
    leaving: [usize; GROUPS],
    held: [usize; Kind::ALL.len()],
    total: usize,
    /// Bytes of connections that were told to end.
    yielding: usize,
}

impl MemoryBudget {
    /// Starts with nothing held, and time limits that end nothing.
    pub fn new(cfg: MemoryConfig) -> MemoryBudget {
        let unlimited = TimeLimits { head: Duration::MAX, idle: Duration::MAX };
        MemoryBudget {
            cfg,
            limits: [unlimited; GROUPS],
            connections: HashMap::new(),
            next_id: 0,
            open: [0; GROUPS],
            leaving: [0; GROUPS],
            held: [0; Kind::ALL.len()],
            total: 0,
            yielding: 0,
        }
    }

    /// Sets the time limits of a group, from now on.
    pub fn set_limits(&mut self, group: Group, limits: TimeLimits) {
        self.limits[group as usize] = limits;
    }

    /// Bytes that are held for a kind.
    pub fn held(&self, kind: Kind) -> usize {
        self.held[kind as usize]
    }

    /// Connections that are open.
    pub fn connections(&self, group: Group) -> usize {
        self.open[group as usize]
    }

    /// Connections of a group that may be open at once.
    pub fn max_connections(&self, group: Group) -> usize {
        let connections = match group {
            Group::Clients => self.cfg.client_connections,
            Group::Instances => self.cfg.instance_connections,
            Group::Internal => self.cfg.internal_connections,
        };
        let share = (self.cfg.bytes as f64 * CONNECTIONS_SHARE) as usize;
        connections.min(share / CONNECTION_BYTES).max(1)
    }

    /// Opens a connection. If its group has as many as it may have, the one that has been idle for longest ends, or one
    /// whose client makes no progress.
    ///
    /// # Errors
    ///
    /// Fails if none of them can end, or there are no bytes for it.
    pub fn open(
        &mut self,
        now: Instant,
        group: Group,
    ) -> Result<(ConnectionId, Vec<End>), OverBudget> {
        if self.is_full(group) && self.connection_to_end(now, group).is_none() {
            return Err(OverBudget);
        }
        let mut ends = self.make_room(now, None, CONNECTION_BYTES, self.cfg.bytes)?;
        if self.is_full(group) {
            let victim = self.connection_to_end(now, group);
            ends.extend(victim.map(|id| self.tell_to_end(id, EndReason::Needed)));
        }
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            group,
            phase: Phase::Idle,
            since: now,
            progress_at: now,
            blocked_since: None,
            has_grown: [false; 2],
            held: CONNECTION_BYTES,
            yielding: None,
        };
        self.connections.insert(id, connection);
        self.open[group as usize] += 1;
        self.add(Kind::Connections, CONNECTION_BYTES);
        Ok((id, ends))
    }

    /// Closes a connection. What was charged to it has been given back before.
    pub fn close(&mut self, id: ConnectionId) {
        self.forget_yielding(id);
        let Some(connection) = self.connections.remove(&id) else { return };
        self.open[connection.group as usize] -= 1;
        let grown = connection.has_grown.iter().filter(|has_grown| **has_grown).count();
        self.subtract(Kind::Connections, CONNECTION_BYTES + grown * GROWN_BUFFER);
    }

    /// A buffer of a connection has grown beyond [`FIRST_BUFFER`].
    pub fn record_grown(&mut self, id: ConnectionId, buffer: Buffer) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !std::mem::replace(&mut connection.has_grown[buffer as usize], true) {
            self.charge_always(id, Kind::Connections, GROWN_BUFFER);
        }
    }

    /// A connection goes on to a phase. If it was told to end, that is over.
    pub fn set_phase(&mut self, now: Instant, id: ConnectionId, phase: Phase) {
        self.forget_yielding(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            (connection.since, connection.progress_at) = (now, now);
        }
    }

    /// The phase of a connection; idle if it is closed.
    pub fn phase(&self, id: ConnectionId) -> Phase {
        self.connections.get(&id).map_or(Phase::Idle, |connection| connection.phase)
    }

    /// [`PROGRESS_BYTES`] of a body have come.
    pub fn record_progress(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress_at = now;
        }
    }

    /// Writing to the client has to wait from now on, or goes on.
    pub fn set_blocked(&mut self, now: Instant, id: ConnectionId, is_blocked: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.blocked_since = is_blocked.then_some(now);
        }
    }

    /// Charges bytes to a connection. Returns the connections that have to end for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no room; nothing is charged then.
    pub fn charge(
        &mut self,
        now: Instant,
        id: ConnectionId,
        kind: Kind,
        bytes: usize,
    ) -> Result<Vec<End>, OverBudget> {
        let ends = self.make_room(now, Some(id), bytes, self.limit_for(id, kind, bytes))?;
        self.charge_always(id, kind, bytes);
        Ok(ends)
    }

    /// Charges bytes that are held already, beyond the budget if need be.
    pub fn charge_always(&mut self, id: ConnectionId, kind: Kind, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
        }
        self.add(kind, bytes);
    }

    /// Gives bytes back.
    pub fn release(&mut self, id: ConnectionId, kind: Kind, bytes: usize) {
        self.subtract(kind, bytes);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.held -= bytes;
        if let Some(yielding) = &mut connection.yielding {
            let given_back = (*yielding).min(bytes);
            *yielding -= given_back;
            self.yielding -= given_back;
        }
    }

    /// Returns connections whose time is over. While the process stops, bodies without progress are among them.
    pub fn expired(&mut self, now: Instant, is_stopping: bool) -> Vec<End> {
        let mut expired = Vec::new();
        for (id, connection) in &self.connections {
            if connection.yielding.is_some() {
                continue;
            }
            let limits = self.limits[connection.group as usize];
            let age = now.saturating_duration_since(connection.since);
            let reason = match connection.phase {
                Phase::Idle if age >= limits.idle.saturating_add(IDLE_MARGIN) => EndReason::Idle,
                Phase::Head if age >= limits.head => EndReason::SlowHead,
                Phase::Response if connection.stalled_for(now) >= UNREAD_LIMIT => EndReason::Unread,
                Phase::Body if is_stopping && connection.is_stalled(now) => EndReason::Stopping,
                _ => continue,
            };
            expired.push((*id, reason));
        }
        expired.into_iter().map(|(id, reason)| self.tell_to_end(id, reason)).collect()
    }

    /// Bytes that may be held with a charge.
    fn limit_for(&self, id: ConnectionId, kind: Kind, bytes: usize) -> usize {
        let held = self.connections.get(&id).map_or(0, |connection| connection.held);
        let is_small = held + bytes <= SMALL_BODY + CONNECTION_BYTES + REQUEST_BYTES;
        match matches!(kind, Kind::Bodies | Kind::Responses) && !is_small {
            true => (self.cfg.bytes as f64 * (1.0 - RESERVED_SHARE)) as usize,
            false => self.cfg.bytes,
        }
    }

    /// Tells connections to end until so many bytes fit within a limit.
    fn make_room(
        &mut self,
        now: Instant,
        id: Option<ConnectionId>,
        bytes: usize,
        limit: usize,
    ) -> Result<Vec<End>, OverBudget> {
        let needed = (self.total - self.yielding + bytes).saturating_sub(limit);
        if needed == 0 {
            return Ok(Vec::new());
        }
        let may_end = |other: &ConnectionId, c: &Connection| {
            Some(*other) != id
                && c.yielding.is_none()
                && (c.is_stalled(now)
                    || (c.phase == Phase::Idle && now.saturating_duration_since(c.since) >= STALL))
        };
        let mut candidates: Vec<_> =
            self.connections.iter().filter(|(other, c)| may_end(other, c)).collect();
        if candidates.iter().map(|(_, c)| c.held).sum::<usize>() < needed {
            return Err(OverBudget);
        }
        candidates.sort_unstable_by(|(_, a), (_, b)| {
            let by_weight = b.weight(now).total_cmp(&a.weight(now));
            by_weight.then(a.since.cmp(&b.since))
        });
        let (mut freed, mut victims) = (0, Vec::new());
        for (victim, connection) in candidates {
            if freed >= needed {
                break;
            }
            freed += connection.held;
            victims.push(*victim);
        }
        Ok(victims.into_iter().map(|id| self.tell_to_end(id, EndReason::Needed)).collect())
    }

    fn is_full(&self, group: Group) -> bool {
        self.open[group as usize] - self.leaving[group as usize] >= self.max_connections(group)
    }

    /// The connection of a group that ends for a new one: the one that has been idle for longest, or the one that has made no
    /// progress for longest.
    fn connection_to_end(&self, now: Instant, group: Group) -> Option<ConnectionId> {
        let of_group =
            || self.connections.iter().filter(|(_, c)| c.group == group && c.yielding.is_none());
        let idle = of_group().filter(|(_, c)| c.phase == Phase::Idle).min_by_key(|(_, c)| c.since);
        let stalled = || {
            let stalled = of_group().filter(|(_, c)| c.is_stalled(now));
            stalled.max_by_key(|(_, c)| c.stalled_for(now))
        };
        idle.or_else(stalled).map(|(id, _)| *id)
    }

    fn tell_to_end(&mut self, id: ConnectionId, reason: EndReason) -> End {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.yielding = Some(connection.held);
            self.yielding += connection.held;
            self.leaving[connection.group as usize] += 1;
        }
        End { connection: id, reason }
    }

    fn forget_yielding(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(yielding) = connection.yielding.take() {
            self.yielding -= yielding;
            self.leaving[connection.group as usize] -= 1;
        }
    }

    fn add(&mut self, kind: Kind, bytes: usize) {
        self.held[kind as usize] += bytes;
        self.total += bytes;
    }

    fn subtract(&mut self, kind: Kind, bytes: usize) {
        self.held[kind as usize] -= bytes;
        self.total -= bytes;
    }
}
