//! Endpoint crashes and the attempts that they interrupted.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use super::age_ms;
use super::records::CrashRecord;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;

/// Number of most recent crashes kept, enough for 13 s in which half of 160 endpoints crash every 4
/// s. A request that crashes endpoints that fast needs less than a second for three.
const MAX_CRASHES: usize = 256;
/// Endpoints execute 4 to 10 requests at once, and queue some more.
const MAX_ATTEMPTS_PER_CRASH: usize = 64;
const MAX_PARTS_PER_CRASH: usize = 64;
const MAX_RECORDS_PER_UPDATE: usize = 8;

/// An attempt that was interrupted on an endpoint. It is serialized as a tuple of its fields.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(Fingerprint, bool)", into = "(Fingerprint, bool)")]
pub struct InterruptedAttempt {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether no part of the response had arrived. A query of death usually crashes its endpoint
    /// before that.
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

/// A part of a request that was in flight on an endpoint and awaited its response. It is serialized
/// as a tuple of its fields.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "(Fingerprint, Fingerprint)", into = "(Fingerprint, Fingerprint)")]
pub struct SuspectPart {
    /// The part.
    pub part: Fingerprint,
    /// A request that holds it.
    pub request: Fingerprint,
}

impl From<(Fingerprint, Fingerprint)> for SuspectPart {
    fn from((part, request): (Fingerprint, Fingerprint)) -> SuspectPart {
        SuspectPart { part, request }
    }
}

impl From<SuspectPart> for (Fingerprint, Fingerprint) {
    fn from(suspect: SuspectPart) -> (Fingerprint, Fingerprint) {
        (suspect.part, suspect.request)
    }
}

/// What was in flight on an endpoint that crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    pub(super) attempts: Vec<InterruptedAttempt>,
    pub(super) parts: Vec<SuspectPart>,
}

/// The time within which an endpoint crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashTime {
    /// The last sign of life.
    pub(super) alive_at: Instant,
    /// When the crash was seen.
    pub(super) crashed_at: Instant,
}

/// A crash of one endpoint incarnation.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) endpoint: EndpointKey,
    pub(super) crashed_at: Instant,
    /// Last sign of life of the endpoint. It may have crashed at any time since, as it ends all the same
    /// if its machine loses power, and its connections break only when that is back.
    alive_at: Instant,
    /// When an attempt was last added.
    updated_at: Instant,
    /// When this instance learned of the crash.
    first_seen_at: Instant,
    /// Whether all attempts are assumed to be known.
    is_settled: bool,
    /// Whether this instance had an attempt in flight there.
    is_local: bool,
    attempts: Vec<InterruptedAttempt>,
    /// Suspected parts, each once.
    pub(super) parts: Vec<SuspectPart>,
}

impl Crash {
    /// Returns all requests that were in flight.
    pub(super) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.attempts.iter().map(|attempt| attempt.fingerprint)
    }

    /// Returns the requests that had not received any part of a response.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.attempts
            .iter()
            .filter(|attempt| attempt.awaiting_response)
            .map(|attempt| attempt.fingerprint)
    }

    /// Returns the suspected parts.
    pub(super) fn parts(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.parts.iter().map(|suspect| suspect.part)
    }

    /// Returns whether one of these parts is suspected.
    pub(super) fn involves_part(&self, parts: &HashSet<Fingerprint>) -> bool {
        self.parts().any(|part| parts.contains(&part))
    }

    fn add_part(&mut self, suspect: SuspectPart) -> bool {
        let is_known = self.parts().any(|part| part == suspect.part);
        let is_new = !is_known && self.parts.len() < MAX_PARTS_PER_CRASH;
        self.parts.extend(is_new.then_some(suspect));
        is_new
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

/// The known crashes, oldest first.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    crashes: VecDeque<Crash>,
}

impl Crashes {
    /// Returns the crashes whose attempts are assumed to be known.
    pub(super) fn settled(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| crash.is_settled)
    }

    /// Settles the crashes that have been known for `settling_time`; returns whether there are any.
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

    /// Returns whether a request was in flight in any crash.
    pub(super) fn involves(&self, fingerprint: Fingerprint) -> bool {
        self.crashes.iter().any(|crash| crash.fingerprints().any(|f| f == fingerprint))
    }

    /// Returns the number of crashes of which a part is suspected.
    pub(super) fn count_of_part(&self, part: Fingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.parts().any(|p| p == part)).count()
    }

    /// Adds what was in flight to the crash of an endpoint; returns whether anything was new.
    pub(super) fn record(
        &mut self,
        now: Instant,
        time: CrashTime,
        endpoint: EndpointKey,
        in_flight: &InFlight,
        is_local: bool,
    ) -> bool {
        let known = self.crashes.iter().position(|crash| crash.endpoint == endpoint);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash {
                endpoint,
                crashed_at: time.crashed_at,
                alive_at: time.alive_at,
                updated_at: now,
                first_seen_at: now,
                is_settled: false,
                is_local,
                attempts: Vec::new(),
                parts: Vec::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.is_local |= is_local;
        crash.alive_at = crash.alive_at.max(time.alive_at).min(crash.crashed_at);
        let InFlight { attempts, parts } = in_flight;
        let added = attempts.iter().filter(|attempt| crash.add_attempt(**attempt)).count()
            + parts.iter().filter(|suspect| crash.add_part(**suspect)).count();
        if added > 0 {
            crash.updated_at = now;
        }
        added > 0 || known.is_none()
    }

    /// Removes a request from all crashes that may have happened up to `until`; returns whether it
    /// was in any.
    pub(super) fn remove_request(&mut self, fingerprint: Fingerprint, until: Instant) -> bool {
        let mut was_present = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.alive_at <= until) {
            let count = crash.attempts.len();
            crash.attempts.retain(|attempt| attempt.fingerprint != fingerprint);
            was_present |= crash.attempts.len() < count;
        }
        was_present
    }

    /// Removes a part from all crashes that may have happened up to `until`; returns whether it was in
    /// any.
    pub(super) fn remove_part(&mut self, part: Fingerprint, until: Instant) -> bool {
        let mut was_present = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.alive_at <= until) {
            let count = crash.parts.len();
            crash.parts.retain(|suspect| suspect.part != part);
            was_present |= crash.parts.len() < count;
        }
        was_present
    }

    /// Returns the most recently updated crashes, of this instance or, with `include_remote`, of
    /// all. With `is_full` it also returns older crashes observed here that share a suspect, for
    /// instances that were partitioned.
    pub(super) fn collect_records(
        &self,
        now: Instant,
        max_age: Duration,
        include_remote: bool,
        is_full: bool,
    ) -> Vec<CrashRecord> {
        let repeated = if is_full { self.repeat_suspects() } else { HashSet::new() };
        let is_recent = |crash: &Crash| now.saturating_duration_since(crash.updated_at) < max_age;
        let is_repeat = |crash: &Crash| {
            crash.is_local && crash.suspects().chain(crash.parts()).any(|f| repeated.contains(&f))
        };
        let is_included = |crash: &&Crash| {
            (is_recent(crash) && (crash.is_local || include_remote)) || is_repeat(crash)
        };
        let records = self.crashes.iter().rev().filter(is_included).take(MAX_RECORDS_PER_UPDATE);
        let records = records.map(|crash| CrashRecord {
            endpoint: crash.endpoint,
            age_ms: age_ms(now, crash.crashed_at),
            alive_age_ms: Some(age_ms(now, crash.alive_at)),
            attempts: crash.attempts.clone(),
            parts: crash.parts.clone(),
        });
        records.collect()
    }

    /// Returns the requests and parts that are suspects in more than one crash.
    fn repeat_suspects(&self) -> HashSet<Fingerprint> {
        let mut seen = HashSet::new();
        let suspects = self.crashes.iter().flat_map(|crash| crash.suspects().chain(crash.parts()));
        suspects.filter(|f| !seen.insert(*f)).collect()
    }
}
