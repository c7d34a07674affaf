//! Quarantine for requests, and for parts of requests, that crash the endpoints executing them
//! (queries of death).
//!
//! Callers retry such a request under new ids and through any instance, so it is identified by its
//! [`Fingerprint`]. When an endpoint crashes, the requests in flight there that had not yet
//! received any part of a response become suspects. A request that is the most likely cause of
//! [`CRASH_THRESHOLD`] crashes is quarantined: no instance forwards it to an endpoint, and the
//! caller is told immediately that it was not executed.
//!
//! Instances exchange crashes, successes and decisions in a [`QuarantineUpdate`]. Every record is
//! self-contained and idempotent, so updates may be lost, duplicated, reordered or relayed.
//! Decisions are also written to the store so that they survive a restart of all instances.
//!
//! An entry may outlive its endpoint. An attempt at an endpoint that was listed when this instance
//! started, and that has shown no sign of life since, makes nothing a suspect: the endpoint may have
//! been gone before.
//!
//! A successful response clears a request of earlier crashes and of those shortly afterwards. A
//! quarantine expires into a trial: one attempt is let through, and if it gets no response the
//! delay before the next trial doubles.
//!
//! Different requests may share a part that crashes endpoints, whatever else they hold. A part is a
//! suspect of its own, with the same records, decisions and notes; see [`parts`] for the evidence.
//!
//! The cost is three crashes before a request is quarantined, and a delay of a minute for a request
//! that was quarantined wrongly.

mod crashes;
mod decisions;
mod events;
mod parts;
mod records;
mod starts;
mod successes;

use std::collections::HashSet;
use std::time::{Duration, Instant};

pub use crashes::{InterruptedAttempt, SuspectPart};
pub use decisions::CRASH_THRESHOLD;
pub use events::QuarantineEvent;
pub use records::{CrashRecord, DecisionRecord, QuarantineUpdate, SuccessRecord};

use crate::cell::ReportDetail;
use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointId, EndpointKey, InstanceId};
use crashes::{CrashTime, Crashes, InFlight};
use decisions::{CrashAnalysis, CrashCause, DecisionOutcome, Decisions};
use parts::PART_SUCCESS_LOOKBACK;
use starts::KnownStarts;
use successes::RecentSuccesses;

/// A success clears the request of crashes up to this long afterwards, besides all earlier ones.
const SUCCESS_LOOKBACK: Duration = Duration::from_secs(3);
/// How long decisions and successes are included in updates: about 20 heartbeats within a cell and
/// 10 between cells.
const GOSSIP_PERIOD: Duration = Duration::from_secs(3);
/// The same for crashes, whose records are larger; short, so that mass crashes do not fill the
/// reports.
const CRASH_GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// How long new records are also included in the reports between heartbeats, of which there are up
/// to 200 per second.
const IMMEDIATE_GOSSIP_PERIOD: Duration = Duration::from_millis(20);
/// How long an interrupted attempt waits for confirmation that its endpoint crashed. The entry of a
/// crashed endpoint expires after three heartbeats of about 0.4 s.
const CRASH_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between learning of a crash and analyzing it, in which other instances report their own
/// attempts on the endpoint. Without it, a bystander can appear to be the only suspect.
pub const CRASH_SETTLING_TIME: Duration = Duration::from_millis(150);
const MAX_PENDING_ATTEMPTS: usize = 512;
/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPermission {
    /// The request is not quarantined.
    Allowed,
    /// The request may be sent as the trial of its quarantine.
    Trial,
    /// The request is quarantined for this much longer.
    Blocked(Duration),
}

/// An interrupted attempt whose endpoint is not yet known to have crashed.
#[derive(Clone, Debug)]
struct PendingAttempt {
    endpoint: EndpointId,
    key: EndpointKey,
    interrupted_at: Instant,
    attempt: InterruptedAttempt,
    /// Parts that are suspected, if the endpoint crashed.
    parts: Vec<Fingerprint>,
}

/// The quarantine state of one instance.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use oxbowbend_core::quarantine::{
///     InterruptedAttempt, Quarantine, SendPermission, CRASH_SETTLING_TIME,
/// };
///
/// let (mut quarantine, now) = (Quarantine::new(&"i-1".into()), Instant::now());
/// for endpoint in 0..3 {
///     assert_eq!(quarantine.check_send(now, 7, &[]), SendPermission::Allowed);
///     let attempt = InterruptedAttempt { fingerprint: 7, awaiting_response: true };
///     quarantine.attempt_interrupted(now, &"e".into(), endpoint, attempt, &[]);
///     quarantine.endpoint_crashed(now, endpoint);
/// }
/// quarantine.evaluate(now + CRASH_SETTLING_TIME);
/// assert!(matches!(quarantine.check_send(now, 7, &[]), SendPermission::Blocked(_)));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    pending: Vec<PendingAttempt>,
    starts: KnownStarts,
    crashes: Crashes,
    successes: RecentSuccesses,
    part_successes: RecentSuccesses,
    decisions: Decisions,
    /// Whether crashes were added or updated since the last analysis.
    needs_analysis: bool,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Creates an empty quarantine for the instance `me`.
    pub fn new(me: &InstanceId) -> Quarantine {
        Quarantine {
            pending: Vec::new(),
            starts: KnownStarts::default(),
            crashes: Crashes::default(),
            successes: RecentSuccesses::default(),
            part_successes: RecentSuccesses::default(),
            decisions: Decisions::new(me),
            needs_analysis: false,
            events: Vec::new(),
        }
    }

    /// Returns whether a request with these parts may be sent to an endpoint. Call it immediately
    /// before sending, because [`SendPermission::Trial`] starts the trial.
    pub fn check_send(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        parts: &[Fingerprint],
    ) -> SendPermission {
        if let Some(remaining) = self.blocked_for(now, fingerprint, parts) {
            return SendPermission::Blocked(remaining);
        }
        let mut permission = SendPermission::Allowed;
        for suspect in parts.iter().copied().chain([fingerprint]) {
            if self.decisions.check_send(now, suspect) == SendPermission::Trial {
                let trials = self.decisions.trials(suspect);
                self.events.push(QuarantineEvent::TrialStarted { fingerprint: suspect, trials });
                permission = SendPermission::Trial;
            }
        }
        permission
    }

    /// Returns how much longer a request with these parts is quarantined, or `None` if it may be
    /// sent.
    pub fn blocked_for(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        parts: &[Fingerprint],
    ) -> Option<Duration> {
        let suspects = parts.iter().copied().chain([fingerprint]);
        suspects.filter_map(|suspect| self.decisions.blocked_for(now, suspect)).max()
    }

    /// Records a start of an endpoint that was found in a list, which it may not have outlived.
    pub fn endpoint_listed(&mut self, key: EndpointKey) {
        self.starts.record_listed(key);
    }

    /// Records a sign of life of an endpoint: a response, or an entry that it has written since this
    /// instance knows the list.
    pub fn endpoint_alive(&mut self, now: Instant, key: EndpointKey) {
        self.starts.record_sign(now, key);
    }

    /// Returns whether an endpoint may have been gone since before this instance knew it.
    pub fn is_unproven(&self, key: EndpointKey) -> bool {
        self.starts.is_unproven(key)
    }

    /// Records an attempt that was interrupted on an endpoint in service, which may have crashed, and
    /// the parts of its request. The parts are suspected only if it awaited its response, and nothing is
    /// on an endpoint that is unproven, unless another instance knows that it crashed.
    pub fn attempt_interrupted(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        key: EndpointKey,
        attempt: InterruptedAttempt,
        parts: &[Fingerprint],
    ) {
        let parts = if attempt.awaiting_response { parts } else { &[] };
        if self.crashes.is_known(key) {
            let time = self.crash_time(now, key);
            let parts = self.suspect_parts(time, attempt.fingerprint, parts);
            let in_flight = InFlight { attempts: vec![attempt], parts };
            self.add_crash(now, time, key, in_flight, true);
            return;
        }
        if self.is_unproven(key) {
            self.events.push(QuarantineEvent::InterruptionDisregarded { endpoint: key });
            return;
        }
        self.pending.retain(|p| {
            now.saturating_duration_since(p.interrupted_at) < CRASH_CONFIRMATION_TIMEOUT
        });
        if self.pending.len() >= MAX_PENDING_ATTEMPTS {
            self.pending.remove(0);
        }
        self.pending.push(PendingAttempt {
            endpoint: endpoint.clone(),
            key,
            interrupted_at: now,
            attempt,
            parts: parts.to_vec(),
        });
    }

    /// Returns whether interrupted attempts are waiting for confirmation that this incarnation
    /// crashed.
    pub fn has_pending_attempts(&self, key: EndpointKey) -> bool {
        self.pending.iter().any(|p| p.key == key)
    }

    /// Records that an endpoint incarnation crashed.
    pub fn endpoint_crashed(&mut self, now: Instant, key: EndpointKey) {
        let (confirmed, rest) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.key == key);
        self.pending = rest;
        let is_fresh = |p: &PendingAttempt| {
            now.saturating_duration_since(p.interrupted_at) < CRASH_CONFIRMATION_TIMEOUT
        };
        let time = self.crash_time(now, key);
        let mut in_flight = InFlight::default();
        for pending in Vec::into_iter(confirmed).filter(is_fresh) {
            let request = pending.attempt.fingerprint;
            in_flight.attempts.push(pending.attempt);
            in_flight.parts.extend(self.suspect_parts(time, request, &pending.parts));
        }
        if !in_flight.attempts.is_empty() {
            self.add_crash(now, time, key, in_flight, true);
        }
    }

    /// Returns the time within which an endpoint crashed that this instance has just seen crash.
    fn crash_time(&self, now: Instant, key: EndpointKey) -> CrashTime {
        let alive_at = self.starts.last_sign(key).unwrap_or(now);
        CrashTime { alive_at, crashed_at: now }
    }

    /// Records that an endpoint's store entry was removed or replaced by that of a newer
    /// incarnation, which confirms the crash of those with interrupted attempts.
    pub fn endpoint_entry_changed(&mut self, now: Instant, endpoint: &EndpointId) {
        let keys = self.pending.iter().filter(|p| p.endpoint == *endpoint).map(|p| p.key);
        let mut keys: Vec<_> = keys.collect();
        keys.dedup();
        keys.into_iter().for_each(|key| self.endpoint_crashed(now, key));
    }

    /// Records a successful response to a request.
    pub fn request_succeeded(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.successes.record(now, fingerprint);
        self.clear_suspicion(now, fingerprint, now);
        if self.decisions.release(now, fingerprint) {
            self.successes.queue_for_gossip(now, fingerprint);
            self.events.push(QuarantineEvent::Released { fingerprint });
        }
    }

    /// Returns the update to include in a report of the given extent: recent records and, in a full
    /// report, also older decisions in rotation. With `include_remote`, crashes observed by other
    /// instances are relayed, as representatives of a cell do.
    pub fn make_update(
        &mut self,
        now: Instant,
        extent: ReportDetail,
        include_remote: bool,
    ) -> QuarantineUpdate {
        let is_full = extent == ReportDetail::Full;
        let (crash_max_age, max_age) = match extent {
            ReportDetail::Loads => (IMMEDIATE_GOSSIP_PERIOD, IMMEDIATE_GOSSIP_PERIOD),
            ReportDetail::Changes | ReportDetail::Full => (CRASH_GOSSIP_PERIOD, GOSSIP_PERIOD),
        };
        let mut successes = self.successes.collect_records(now, max_age);
        successes.extend(self.part_successes.collect_records(now, max_age));
        QuarantineUpdate {
            crashes: self.crashes.collect_records(now, crash_max_age, include_remote, is_full),
            decisions: self.decisions.collect_records(now, max_age, is_full),
            successes,
        }
    }

    /// Applies an update from another instance; duplicates have no effect. Returns the incarnations
    /// newly known to have crashed.
    pub fn apply_update(&mut self, now: Instant, update: &QuarantineUpdate) -> Vec<EndpointKey> {
        for success in &update.successes {
            let at = instant_before(now, success.age_ms);
            if self.successes.record_remote(now, success.fingerprint, at) {
                self.clear_suspicion(now, success.fingerprint, at);
            }
            // The record does not tell requests from parts; their fingerprints do not collide.
            if self.part_successes.record_remote(now, success.fingerprint, at) {
                self.crashes.remove_part(success.fingerprint, at + PART_SUCCESS_LOOKBACK);
            }
        }
        self.apply_decisions(now, &update.decisions);
        let mut new_crashes = Vec::new();
        for crash in &update.crashes {
            if !self.crashes.is_known(crash.endpoint) {
                new_crashes.push(crash.endpoint);
            }
            let crashed_at = instant_before(now, crash.age_ms);
            let told = instant_before(now, crash.alive_age_ms.unwrap_or(crash.age_ms));
            let time = CrashTime { alive_at: told.min(crashed_at), crashed_at };
            let (attempts, parts) = (crash.attempts.clone(), crash.parts.clone());
            self.add_crash(now, time, crash.endpoint, InFlight { attempts, parts }, false);
        }
        new_crashes
    }

    /// Applies decisions made by other instances or read from the store.
    pub fn apply_decisions(&mut self, now: Instant, records: &[DecisionRecord]) {
        for record in records {
            match self.decisions.apply_record(now, record) {
                Some(DecisionOutcome::Released) => {
                    self.events.push(QuarantineEvent::Released { fingerprint: record.fingerprint });
                }
                Some(DecisionOutcome::Quarantined(trial_delay)) if record.trials == 0 => {
                    let (fingerprint, crashes) = (record.fingerprint, Vec::new());
                    self.events.push(QuarantineEvent::Quarantined {
                        fingerprint,
                        crashes,
                        trial_delay,
                    });
                }
                Some(DecisionOutcome::Quarantined(_)) => {
                    let (fingerprint, trials) = (record.fingerprint, record.trials);
                    self.events.push(QuarantineEvent::TrialStarted { fingerprint, trials });
                }
                None => {}
            }
        }
    }

    /// Returns the active decisions to write to the store: those made here or, with
    /// `include_remote`, all of them.
    pub fn decisions_to_store(&self, now: Instant, include_remote: bool) -> Vec<DecisionRecord> {
        self.decisions.records_to_store(now, include_remote)
    }

    /// Returns the number of requests in quarantine.
    pub fn quarantined_count(&self) -> usize {
        self.decisions.quarantined().count()
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Records what was interrupted by a crash, except requests and parts that succeeded shortly before
    /// the earliest time at which it may have happened, or since.
    fn add_crash(
        &mut self,
        now: Instant,
        time: CrashTime,
        key: EndpointKey,
        in_flight: InFlight,
        is_local: bool,
    ) {
        let is_new_crash = !self.crashes.is_known(key);
        let at = time.alive_at;
        let earliest = at.checked_sub(SUCCESS_LOOKBACK).unwrap_or(at);
        let has_succeeded = |attempt: &InterruptedAttempt| {
            self.successes.succeeded_since(attempt.fingerprint, earliest)
        };
        let (cleared, attempts): (Vec<_>, Vec<_>) =
            in_flight.attempts.into_iter().partition(has_succeeded);
        let earliest = at.checked_sub(PART_SUCCESS_LOOKBACK).unwrap_or(at);
        let is_sound =
            |suspect: &SuspectPart| self.part_successes.succeeded_since(suspect.part, earliest);
        let (sound, parts): (Vec<_>, Vec<_>) = in_flight.parts.into_iter().partition(is_sound);
        cleared.iter().for_each(|attempt| self.publish_success(now, attempt.fingerprint));
        sound.iter().for_each(|sound| self.part_successes.queue_for_gossip(now, sound.part));
        let in_flight = InFlight { attempts, parts };
        let is_new = self.crashes.record(now, time, key, &in_flight, is_local);
        if is_new {
            self.publish_answered_parts(now, &in_flight.parts);
        }
        if is_new_crash {
            let suspects = in_flight.attempts.iter().map(|attempt| attempt.fingerprint).collect();
            let parts = in_flight.parts.iter().map(|suspect| suspect.part).collect();
            self.events.push(QuarantineEvent::EndpointCrashed {
                endpoint: key,
                suspects,
                parts,
                is_local,
            });
        }
        self.needs_analysis |= is_new;
    }

    /// Analyzes the crashes that are older than [`CRASH_SETTLING_TIME`]. Call it several times
    /// within that time.
    pub fn evaluate(&mut self, now: Instant) {
        let is_settled = self.crashes.mark_settled(now, CRASH_SETTLING_TIME);
        if is_settled || std::mem::take(&mut self.needs_analysis) {
            self.update_decisions(now);
        }
    }

    fn update_decisions(&mut self, now: Instant) {
        let mut crashing_parts: HashSet<_> = self.quarantined_parts().collect();
        let is_answered = |part| self.part_successes.last_success(part).is_some();
        let mut causes = parts::find_causes(&self.crashes, &crashing_parts, is_answered);
        crashing_parts.extend(causes.iter().map(|cause| cause.fingerprint));
        let CrashAnalysis { causes: requests, cleared } =
            decisions::analyze_crashes(&self.crashes, &self.decisions, &crashing_parts);
        causes.extend(requests);
        for CrashCause { fingerprint, crashes } in causes {
            let trial_delay = self.decisions.quarantine(now, fingerprint);
            self.events.push(QuarantineEvent::Quarantined { fingerprint, crashes, trial_delay });
        }
        for fingerprint in cleared {
            if self.decisions.allow_early_trial(fingerprint) {
                self.events.push(QuarantineEvent::TrialDue { fingerprint });
            }
        }
    }

    /// Removes a request that succeeded at `at` from earlier crashes and those shortly afterwards.
    fn clear_suspicion(&mut self, now: Instant, fingerprint: Fingerprint, at: Instant) {
        if self.crashes.remove_request(fingerprint, at + SUCCESS_LOOKBACK) {
            self.publish_success(now, fingerprint);
        }
    }

    /// Queues a success for other instances, and releases the request if no crash involves it any
    /// more.
    fn publish_success(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.successes.queue_for_gossip(now, fingerprint);
        if !self.crashes.involves(fingerprint) && self.decisions.release(now, fingerprint) {
            self.events.push(QuarantineEvent::Released { fingerprint });
        }
    }
}

fn instant_before(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(age_ms))).unwrap_or(now)
}

/// Returns the milliseconds from `at` to `now`, saturating.
fn age_ms(now: Instant, at: Instant) -> u32 {
    now.saturating_duration_since(at).as_millis().min(u128::from(u32::MAX)) as u32
}
