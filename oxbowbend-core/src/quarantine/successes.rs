//! Requests or parts that succeeded and are therefore not the cause of a crash.

use std::time::{Duration, Instant};

use super::age_ms;
use super::records::SuccessRecord;
use crate::fingerprint::Fingerprint;

/// Number of slots in the direct-mapped table. A collision evicts the earlier request: at 60
/// requests per second, 1 in 25 is lost within the 3 s for which it matters.
const TABLE_SIZE: usize = 4096;
const MAX_RECORDS_PER_UPDATE: usize = 16;
const MAX_QUEUED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct TableEntry {
    fingerprint: Fingerprint,
    succeeded_at: Option<Instant>,
}

/// The time of the last success of each request, in a direct-mapped table.
#[derive(Debug)]
pub(super) struct RecentSuccesses {
    table: Box<[TableEntry]>,
    /// Successes to send to other instances, and when they were queued.
    queued: Vec<(Fingerprint, Instant)>,
}

impl Default for RecentSuccesses {
    fn default() -> RecentSuccesses {
        let empty = TableEntry { fingerprint: 0, succeeded_at: None };
        RecentSuccesses { table: vec![empty; TABLE_SIZE].into(), queued: Vec::new() }
    }
}

impl RecentSuccesses {
    pub(super) fn record(&mut self, at: Instant, fingerprint: Fingerprint) {
        let entry = &mut self.table[index(fingerprint)];
        let is_later =
            entry.fingerprint == fingerprint && entry.succeeded_at.is_some_and(|known| known > at);
        if !is_later {
            *entry = TableEntry { fingerprint, succeeded_at: Some(at) };
        }
    }

    /// Records a success reported by another instance; returns whether it was new.
    pub(super) fn record_remote(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        at: Instant,
    ) -> bool {
        let is_known = self.last_success(fingerprint).is_some_and(|known| known >= at);
        if !is_known {
            self.record(at.min(now), fingerprint);
        }
        !is_known
    }

    /// Returns when a request last succeeded, if that is still known.
    pub(super) fn last_success(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let entry = &self.table[index(fingerprint)];
        entry.succeeded_at.filter(|_| entry.fingerprint == fingerprint)
    }

    /// Returns whether a request succeeded at or after `since`.
    pub(super) fn succeeded_since(&self, fingerprint: Fingerprint, since: Instant) -> bool {
        self.last_success(fingerprint).is_some_and(|at| at >= since)
    }

    /// Queues the success of a request for instances that may suspect it.
    pub(super) fn queue_for_gossip(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.queued.retain(|(known, _)| *known != fingerprint);
        if self.queued.len() >= MAX_QUEUED {
            self.queued.remove(0);
        }
        self.queued.push((fingerprint, now));
    }

    pub(super) fn collect_records(
        &mut self,
        now: Instant,
        max_age: Duration,
    ) -> Vec<SuccessRecord> {
        self.queued.retain(|(_, queued_at)| now.saturating_duration_since(*queued_at) < max_age);
        let records =
            self.queued.iter().rev().take(MAX_RECORDS_PER_UPDATE).filter_map(|(fingerprint, _)| {
                let at = self.last_success(*fingerprint)?;
                Some(SuccessRecord { fingerprint: *fingerprint, age_ms: age_ms(now, at) })
            });
        records.collect()
    }
}

fn index(fingerprint: Fingerprint) -> usize {
    fingerprint as usize % TABLE_SIZE
}
