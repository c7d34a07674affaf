//! What the budget distinguishes, and its bounds.

use std::time::Duration;

use super::ConnectionId;

/// Who opens connections; each group may have so many of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Group {
    /// Clients.
    Clients,
    /// Instances that hand over requests.
    Instances,
    /// Whoever asks for reports, readiness or metrics.
    Internal,
}

/// Number of groups.
pub(super) const GROUPS: usize = 3;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// There is no request.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// The body of a request is incomplete.
    Body,
    /// A request is complete and has no answer yet.
    Running,
    /// An answer is being written.
    Response,
}

/// A buffer of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Buffer {
    /// That for what is read.
    Read,
    /// That for what is written.
    Write,
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Connections, with the heads that are incomplete.
    Connections,
    /// Requests with their heads.
    Requests,
    /// Bodies of requests.
    Bodies,
    /// Whole answers that have not been written.
    Responses,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Connections, Kind::Requests, Kind::Bodies, Kind::Responses];

    /// Name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Connections => "connections",
            Kind::Requests => "requests",
            Kind::Bodies => "bodies",
            Kind::Responses => "responses",
        }
    }
}

/// Why a connection is told to end, or its body to be refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EndReason {
    /// It was idle for as long as the operator allows.
    Idle,
    /// Its head took longer than the operator allows.
    SlowHead,
    /// Its client takes nothing of its answer.
    Unread,
    /// Its bytes are needed for others, or its group has as many connections as it may have.
    Needed,
    /// The process stops, and its client makes no progress.
    Stopping,
}

impl EndReason {
    /// All reasons.
    pub const ALL: [EndReason; 5] = [
        EndReason::Idle,
        EndReason::SlowHead,
        EndReason::Unread,
        EndReason::Needed,
        EndReason::Stopping,
    ];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::Idle => "idle",
            EndReason::SlowHead => "slow_head",
            EndReason::Unread => "unread",
            EndReason::Needed => "needed",
            EndReason::Stopping => "stopping",
        }
    }
}

/// A connection that has to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct End {
    /// The connection.
    pub connection: ConnectionId,
    /// Why.
    pub reason: EndReason,
}

/// There is no room within the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the memory for clients is used up")]
pub struct OverBudget;

/// Time that clients may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeLimits {
    /// From the first byte of a head to its end.
    pub head: Duration,
    /// Between two requests.
    pub idle: Duration,
}

/// Bounds of a [`MemoryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct MemoryConfig {
    /// Bytes that may be held.
    pub bytes: usize,
    /// Connections of clients at once.
    pub client_connections: usize,
    /// Connections of instances that hand over requests.
    pub instance_connections: usize,
    /// Connections for reports, readiness and metrics.
    pub internal_connections: usize,
}

impl MemoryConfig {
    /// Returns the bytes that may be held for clients where a process may use `total`, after what it needs itself.
    pub fn bytes_of(total: usize) -> usize {
        // An instance of 131 takes up to 16 MB under load, and what is held up to one and a half times its bytes.
        const OWN: usize = 24_000_000;
        const LEAST: usize = 8_000_000;
        (total.saturating_sub(OWN) / 2).max(LEAST)
    }
}
