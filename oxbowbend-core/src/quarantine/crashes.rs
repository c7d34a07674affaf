//! Ends of endpoints, and what ran there.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use super::age_ms;
use super::records::CrashRecord;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;

/// Ends that are kept, the newest: those of 13 s in which half of 160 endpoints end every 4 s. A request that ends
/// endpoints that fast needs less than a second for three.
const MAX_CRASHES: usize = 256;
/// Requests that are kept of one end. Endpoints run 4 to 10 at once, and have some more in their queues.
const MAX_ATTEMPTS_PER_CRASH: usize = 64;
/// Ends that one report tells.
const MAX_RECORDS_PER_UPDATE: usize = 8;

/// A run that broke off when its endpoint ended. It travels as a list of its parts in this order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(Fingerprint, bool)", into = "(Fingerprint, bool)")]
pub struct InterruptedAttempt {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether nothing had come of its answer yet. What ends an endpoint does so soon after it begins, so others
    /// of whose answer something had come did not.
    pub awaiting_response: bool,
}

impl From<(Fingerprint, bool)> for InterruptedAttempt {
    fn from((fingerprint, awaiting_response): (Fingerprint, bool)) -> InterruptedAttempt {
        InterruptedAttempt { fingerprint, awaiting_response }
    }
}

impl From<InterruptedAttempt> for (Fingerprint, bool) {
    fn from(attempt: InterruptedAttempt) -> (Fingerprint, bool) {
        (attempt.fingerprint, attempt.awaiting_response)
    }
}

/// One end of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) endpoint: EndpointKey,
    crashed_at: Instant,
    /// When something was last learned of it.
    updated_at: Instant,
    /// When it was first learned of.
    first_seen_at: Instant,
    /// Whether what ran there is taken to be known.
    is_settled: bool,
    /// Whether this instance had a run there.
    is_local: bool,
    attempts: Vec<InterruptedAttempt>,
}

impl Crash {
    /// All that ran there.
    pub(super) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.attempts.iter().map(|attempt| attempt.fingerprint)
    }

    /// What is suspected of having ended it: that of whose answers nothing had come.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.attempts
            .iter()
            .filter(|attempt| attempt.awaiting_response)
            .map(|attempt| attempt.fingerprint)
    }

    fn add_attempt(&mut self, attempt: InterruptedAttempt) -> bool {
        let known = self.attempts.iter_mut().find(|known| known.fingerprint == attempt.fingerprint);
        if let Some(known) = known {
            let is_new = attempt.awaiting_response && !known.awaiting_response;
            known.awaiting_response |= attempt.awaiting_response;
            return is_new;
        }
        let has_room = self.attempts.len() < MAX_ATTEMPTS_PER_CRASH;
        self.attempts.extend(has_room.then_some(attempt));
        has_room
    }
}

/// The ends that are known, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    crashes: VecDeque<Crash>,
}

impl Crashes {
    /// Those of which it is known what ran there.
    pub(super) fn settled(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| crash.is_settled)
    }

    /// Settles what was learned of so long ago; tells whether there is something new to judge by.
    pub(super) fn mark_settled(&mut self, now: Instant, settling_time: Duration) -> bool {
        let is_due = |crash: &&mut Crash| {
            !crash.is_settled && now.saturating_duration_since(crash.first_seen_at) >= settling_time
        };
        let due = self.crashes.iter_mut().filter(is_due).map(|crash| crash.is_settled = true);
        due.count() > 0
    }

    pub(super) fn is_known(&self, endpoint: EndpointKey) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }

    /// Whether a request was at an end.
    pub(super) fn involves(&self, fingerprint: Fingerprint) -> bool {
        self.crashes.iter().any(|crash| crash.fingerprints().any(|f| f == fingerprint))
    }

    /// Takes runs in of an end at `at`; tells whether something is new.
    pub(super) fn record(
        &mut self,
        now: Instant,
        at: Instant,
        endpoint: EndpointKey,
        attempts: &[InterruptedAttempt],
        is_local: bool,
    ) -> bool {
        let known = self.crashes.iter().position(|crash| crash.endpoint == endpoint);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash {
                endpoint,
                crashed_at: at,
                updated_at: now,
                first_seen_at: now,
                is_settled: false,
                is_local,
                attempts: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.is_local |= is_local;
        let added = attempts.iter().filter(|attempt| crash.add_attempt(**attempt)).count();
        if added > 0 {
            crash.updated_at = now;
        }
        added > 0 || known.is_none()
    }

    /// Takes a request off all ends up to an instant; tells whether it was there.
    pub(super) fn remove_request(&mut self, fingerprint: Fingerprint, until: Instant) -> bool {
        let mut was_present = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.crashed_at <= until) {
            let count = crash.attempts.len();
            crash.attempts.retain(|attempt| attempt.fingerprint != fingerprint);
            was_present |= crash.attempts.len() < count;
        }
        was_present
    }

    /// The newest of which something was learned lately, here or, to be passed on, from others. `in_full` also older ones
    /// that this instance saw, if a request was at several that nobody else explains: who was cut off meanwhile does
    /// not know of them.
    pub(super) fn collect_records(
        &self,
        now: Instant,
        max_age: Duration,
        include_remote: bool,
        is_full: bool,
    ) -> Vec<CrashRecord> {
        let repeated = if is_full { self.repeat_suspects() } else { HashSet::new() };
        let is_recent = |crash: &Crash| now.saturating_duration_since(crash.updated_at) < max_age;
        let is_repeat =
            |crash: &Crash| crash.is_local && crash.suspects().any(|f| repeated.contains(&f));
        let is_included = |crash: &&Crash| {
            (is_recent(crash) && (crash.is_local || include_remote)) || is_repeat(crash)
        };
        let records = self.crashes.iter().rev().filter(is_included).take(MAX_RECORDS_PER_UPDATE);
        let records = records.map(|crash| CrashRecord {
            endpoint: crash.endpoint,
            age_ms: age_ms(now, crash.crashed_at),
            attempts: crash.attempts.clone(),
        });
        records.collect()
    }

    /// Requests that are suspected of several ends.
    fn repeat_suspects(&self) -> HashSet<Fingerprint> {
        let mut seen = HashSet::new();
        self.crashes.iter().flat_map(Crash::suspects).filter(|f| !seen.insert(*f)).collect()
    }
}
