//! Requests that had a good answer lately, and so do not end endpoints.

use std::time::{Duration, Instant};

use super::age_ms;
use super::records::SuccessRecord;
use crate::fingerprint::Fingerprint;

/// Places of the table; a later request may take an earlier one's. With the 60 requests a second of a busy instance
/// one in 25 is forgotten within the 3 s for which it counts.
const TABLE_SIZE: usize = 4096;
/// Answers that one report tells.
const MAX_RECORDS_PER_UPDATE: usize = 16;
/// Answers that wait to be told.
const MAX_QUEUED: usize = 64;

#[derive(Clone, Copy, Debug)]
struct TableEntry {
    fingerprint: Fingerprint,
    succeeded_at: Option<Instant>,
}

/// When requests were last answered well.
#[derive(Debug)]
pub(super) struct RecentSuccesses {
    table: Box<[TableEntry]>,
    /// What others hold against a request that was answered, and since when they are told.
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

    /// Notes what another instance tells; returns whether it is news.
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

    fn last_success(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let entry = &self.table[index(fingerprint)];
        entry.succeeded_at.filter(|_| entry.fingerprint == fingerprint)
    }

    /// Whether a request was answered well since an instant.
    pub(super) fn succeeded_since(&self, fingerprint: Fingerprint, since: Instant) -> bool {
        self.last_success(fingerprint).is_some_and(|at| at >= since)
    }

    /// Lets others know, who may hold an end against it.
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
