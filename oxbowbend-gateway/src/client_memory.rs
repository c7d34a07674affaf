//! What clients may make this instance hold: the budget of [`oxbowbend_core::memory`], with the limits that the
//! configuration in force sets.

use std::time::{Duration, Instant};

use oxbowbend_core::memory::{EndReason, Group, Kind, MemoryConfig, TimeLimits};
use oxbowbend_core::routes::RequestLimits;
use oxbowbend_http::memory::{Memory, MemoryUse};

use crate::observe;

/// Limits while no configuration is known.
const INITIAL: RequestLimits = RequestLimits {
    max_head_bytes: 64 * 1024,
    max_body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(60),
};
/// Bytes that a head may take beyond the limit on what clients send, of which the end of the line that exceeds it is a part.
const HEAD_SLACK: usize = 1024;
/// The same for instances, which add headers to those of clients.
const INSTANCE_HEAD_SLACK: usize = 4 * 1024;
/// Idle time of connections between instances: longer than these keep them.
const INSTANCE_IDLE: Duration = Duration::from_secs(30);
/// Limits of the listeners for reports, readiness and metrics.
const INTERNAL_HEAD_BYTES: usize = 8 * 1024;
const INTERNAL: TimeLimits =
    TimeLimits { head: Duration::from_secs(5), idle: Duration::from_secs(30) };
/// Connections of other instances that hand over requests, as a share of all.
const INSTANCE_SHARE: usize = 4;
/// Connections for reports, readiness and metrics, which are among the descriptors that are not for clients.
const INTERNAL_CONNECTIONS: usize = 200;
/// Time between two looks for connections whose time is over.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time between two lines about connections that were ended.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the budget's limits up to date and tells what it does.
pub(crate) struct ClientMemory {
    memory: Memory,
    limits: RequestLimits,
    updated_at: Instant,
    logged_at: Instant,
    logged: MemoryUse,
}

impl ClientMemory {
    /// A budget where a process may use `memory_bytes` and have `connections` open.
    pub(crate) fn new(now: Instant, memory_bytes: usize, connections: usize) -> ClientMemory {
        let instance_connections = (connections / INSTANCE_SHARE).max(1);
        let memory = Memory::new(MemoryConfig {
            bytes: MemoryConfig::bytes_of(memory_bytes),
            client_connections: connections - instance_connections,
            instance_connections,
            internal_connections: INTERNAL_CONNECTIONS,
        });
        memory.set_limits(Group::Internal, INTERNAL, INTERNAL_HEAD_BYTES);
        let logged = memory.usage();
        let client_memory =
            ClientMemory { memory, limits: INITIAL, updated_at: now, logged_at: now, logged };
        client_memory.set_limits();
        client_memory
    }

    pub(crate) fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Takes over the limits of the configuration, and ends connections whose time is over.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        limits: Option<RequestLimits>,
        is_stopping: bool,
    ) {
        if now.saturating_duration_since(self.updated_at) < INTERVAL {
            return;
        }
        self.updated_at = now;
        if let Some(limits) = limits.filter(|limits| *limits != self.limits) {
            self.limits = limits;
            self.set_limits();
        }
        self.memory.end_expired(is_stopping);
        self.report(now);
    }

    fn set_limits(&self) {
        let RequestLimits { max_head_bytes, head_timeout, idle_timeout, .. } = self.limits;
        let clients = TimeLimits { head: head_timeout, idle: idle_timeout };
        let instances = TimeLimits { head: head_timeout, idle: idle_timeout.max(INSTANCE_IDLE) };
        let (memory, head) = (&self.memory, max_head_bytes);
        memory.set_limits(Group::Clients, clients, head.saturating_add(HEAD_SLACK));
        memory.set_limits(Group::Instances, instances, head.saturating_add(INSTANCE_HEAD_SLACK));
    }

    /// Shows what is held, and logs what was ended or refused for it.
    fn report(&mut self, now: Instant) {
        if now.saturating_duration_since(self.logged_at) < LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let usage = self.memory.usage();
        observe::client_memory(&usage);
        let ended = |reason| {
            let n = reason as usize;
            usage.ended[n] - self.logged.ended[n]
        };
        let [slow_head, unread, needed, stopping] =
            [EndReason::SlowHead, EndReason::Unread, EndReason::Needed, EndReason::Stopping]
                .map(ended);
        let closed_unread = usage.closed_unread - self.logged.closed_unread;
        let denied = usage.denied - self.logged.denied;
        if slow_head + unread + needed + stopping + closed_unread + denied > 0 {
            let held = |kind| usage.held[kind as usize];
            log::warn!(
                "event=clients_limited slow_head={slow_head} unread={unread} needed={needed} \
                 stopping={stopping} closed_unread={closed_unread} denied={denied} \
                 connections_bytes={} requests_bytes={} bodies_bytes={} responses_bytes={} limit={}",
                held(Kind::Connections),
                held(Kind::Requests),
                held(Kind::Bodies),
                held(Kind::Responses),
                usage.limit
            );
        }
        self.logged = usage;
    }
}
