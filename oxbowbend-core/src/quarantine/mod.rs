//! Requests that end the endpoints that run them, also known as queries of death.
//!
//! Such a request comes back under new ids at any instance, so it is known by its [`Fingerprint`]. When an endpoint
//! ends, requests that ran there and of whose answers nothing had come are suspected; one that must have ended three
//! endpoints is quarantined: no instance sends it to an endpoint, and its caller hears at once that it has not run. Instances tell each other
//! what they have seen, and what was decided ([`QuarantineUpdate`]): whole facts, each of which may be lost, come twice or
//! late, and comes to the same whoever passes it on. Decisions are also noted in the store, so that they outlast all
//! instances.
//!
//! A good answer to the same request clears it, before an end and after it. A quarantine ends by itself: once its
//! time is over one trial is let through, and if that brings no answer the next one comes twice as late.
//!
//! What was traded: the first three endpoints are lost, and whoever was wrongly quarantined waits for a minute.

mod crashes;
mod decisions;
mod records;
mod successes;

use std::time::{Duration, Instant};

pub use crashes::InterruptedAttempt;
pub use decisions::CRASH_THRESHOLD;
pub use records::{CrashRecord, DecisionRecord, QuarantineUpdate, SuccessRecord};

use crate::cell::Extent;
use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointId, EndpointKey, InstanceId};
use crashes::Crashes;
use decisions::{CrashAnalysis, CrashCause, DecisionOutcome, Decisions};
use successes::RecentSuccesses;

/// Time before an end in which a good answer to the same request speaks for it: it is then served several times
/// in the time in which three endpoints can end under it.
const SUCCESS_LOOKBACK: Duration = Duration::from_secs(3);
/// Time for which decisions and answers are told: some twenty beats within a cell and ten beyond it.
const GOSSIP_PERIOD: Duration = Duration::from_secs(3);
/// The same for ends, which are longer: eight beats. Endpoints that crash by dozens would else be most of what reports tell.
const CRASH_GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// Time for which news also goes into reports between beats, of which there are up to 200 a second: one or two of them.
const IMMEDIATE_GOSSIP_PERIOD: Duration = Duration::from_millis(20);
/// Time for which a run that broke off waits for word that its endpoint has ended. Entries of endpoints that end go
/// after three of their heartbeats, of some 0.4 s.
const CRASH_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from learning of an end until it is judged by, in which other instances tell what ran there for them: that
/// takes some 20 ms. Judged at once, whoever was beside the culprit of another instance looked like the only suspect.
pub const CRASH_SETTLING_TIME: Duration = Duration::from_millis(150);
/// Runs that wait for such word at most.
const MAX_PENDING_ATTEMPTS: usize = 512;

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPermission {
    /// It may.
    Allowed,
    /// It may, as the one trial of its quarantine.
    Trial,
    /// It may not, for this long.
    Blocked(Duration),
}

/// A change of what is believed of a request, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// An endpoint ended, with these requests running there as far as is known here.
    EndpointCrashed {
        /// The endpoint's start.
        endpoint: EndpointKey,
        /// What ran there.
        suspects: Vec<Fingerprint>,
        /// Whether this instance saw it, and was not told.
        is_local: bool,
    },
    /// A request is quarantined.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// The starts that it ended; none if this instance was only told.
        crashes: Vec<EndpointKey>,
        /// Until its trial.
        trial_delay: Duration,
    },
    /// A request's trial begins, here or elsewhere.
    TrialStarted {
        /// The request.
        fingerprint: Fingerprint,
        /// Trials so far.
        trials: u32,
    },
    /// A request had a good answer, and its quarantine is over.
    Released {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// A run that broke off at an endpoint that may have ended.
#[derive(Clone, Debug)]
struct PendingAttempt {
    endpoint: EndpointId,
    key: EndpointKey,
    interrupted_at: Instant,
    attempt: InterruptedAttempt,
}

/// What one instance knows of such requests.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use oxbowbend_core::quarantine::{SendPermission, Quarantine, InterruptedAttempt, CRASH_SETTLING_TIME};
///
/// let (mut quarantine, now) = (Quarantine::new(&"i-1".into()), Instant::now());
/// for endpoint in 0..3 {
///     assert_eq!(quarantine.check_send(now, 7), SendPermission::Allowed);
///     quarantine.attempt_interrupted(now, &"e".into(), endpoint, InterruptedAttempt { fingerprint: 7, awaiting_response: true });
///     quarantine.endpoint_crashed(now, endpoint);
/// }
/// quarantine.mark_settled(now + CRASH_SETTLING_TIME);
/// assert!(matches!(quarantine.check_send(now, 7), SendPermission::Blocked(_)));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    pending: Vec<PendingAttempt>,
    crashes: Crashes,
    successes: RecentSuccesses,
    decisions: Decisions,
    /// Whether something was learned since it was last judged.
    needs_analysis: bool,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// Starts with nothing known.
    pub fn new(me: &InstanceId) -> Quarantine {
        Quarantine {
            pending: Vec::new(),
            crashes: Crashes::default(),
            successes: RecentSuccesses::default(),
            decisions: Decisions::new(me),
            needs_analysis: false,
            events: Vec::new(),
        }
    }

    /// Whether a request may be sent to an endpoint now. To be asked right before that, since a trial counts as
    /// begun with it.
    pub fn check_send(&mut self, now: Instant, fingerprint: Fingerprint) -> SendPermission {
        let permission = self.decisions.check_send(now, fingerprint);
        if permission == SendPermission::Trial {
            let trials = self.decisions.trials(fingerprint);
            self.events.push(QuarantineEvent::TrialStarted { fingerprint, trials });
        }
        permission
    }

    /// For how long a request is not to be sent, if so.
    pub fn blocked_for(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        self.decisions.blocked_for(now, fingerprint)
    }

    /// Notes a run that broke off at an endpoint that was in service and may have ended.
    pub fn attempt_interrupted(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        key: EndpointKey,
        attempt: InterruptedAttempt,
    ) {
        if self.crashes.is_known(key) {
            self.add_crash(now, now, key, vec![attempt], true);
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
        });
    }

    /// Whether runs wait for word of an endpoint's start.
    pub fn has_pending_attempts(&self, key: EndpointKey) -> bool {
        self.pending.iter().any(|p| p.key == key)
    }

    /// Notes that a start of an endpoint has ended.
    pub fn endpoint_crashed(&mut self, now: Instant, key: EndpointKey) {
        let (confirmed, rest) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.key == key);
        self.pending = rest;
        let is_fresh = |p: &PendingAttempt| {
            now.saturating_duration_since(p.interrupted_at) < CRASH_CONFIRMATION_TIMEOUT
        };
        let attempts: Vec<InterruptedAttempt> =
            Vec::into_iter(confirmed).filter(is_fresh).map(|p| p.attempt).collect();
        if !attempts.is_empty() {
            self.add_crash(now, now, key, attempts, true);
        }
    }

    /// Notes that an endpoint's entry has gone, or tells of a later start: the starts at which runs broke off have
    /// ended.
    pub fn endpoint_entry_changed(&mut self, now: Instant, endpoint: &EndpointId) {
        let keys = self.pending.iter().filter(|p| p.endpoint == *endpoint).map(|p| p.key);
        let mut keys: Vec<_> = keys.collect();
        keys.dedup();
        keys.into_iter().for_each(|key| self.endpoint_crashed(now, key));
    }

    /// Notes a good answer to a request.
    pub fn request_succeeded(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.successes.record(now, fingerprint);
        self.clear_suspicion(now, fingerprint, now);
        if self.decisions.release(now, fingerprint) {
            self.successes.queue_for_gossip(now, fingerprint);
            self.events.push(QuarantineEvent::Released { fingerprint });
        }
    }

    /// What to tell other instances in a report of an extent: what is new, and in full ones also older decisions in
    /// turn. What others have seen is told on by those who pass it on: in a fleet of several cells, their
    /// representatives.
    pub fn make_update(
        &mut self,
        now: Instant,
        extent: Extent,
        include_remote: bool,
    ) -> QuarantineUpdate {
        let is_full = extent == Extent::Full;
        let (crash_max_age, max_age) = match extent {
            Extent::Loads => (IMMEDIATE_GOSSIP_PERIOD, IMMEDIATE_GOSSIP_PERIOD),
            Extent::Changes | Extent::Full => (CRASH_GOSSIP_PERIOD, GOSSIP_PERIOD),
        };
        QuarantineUpdate {
            crashes: self.crashes.collect_records(now, crash_max_age, include_remote, is_full),
            decisions: self.decisions.collect_records(now, max_age, is_full),
            successes: self.successes.collect_records(now, max_age),
        }
    }

    /// Takes in what another instance tells; whatever it tells twice changes nothing. Returns the starts of endpoints
    /// that are newly known to have ended.
    pub fn apply_update(&mut self, now: Instant, update: &QuarantineUpdate) -> Vec<EndpointKey> {
        for success in &update.successes {
            let at = instant_before(now, success.age_ms);
            if self.successes.record_remote(now, success.fingerprint, at) {
                self.clear_suspicion(now, success.fingerprint, at);
            }
        }
        self.apply_decisions(now, &update.decisions);
        let mut new_crashes = Vec::new();
        for crash in &update.crashes {
            if !self.crashes.is_known(crash.endpoint) {
                new_crashes.push(crash.endpoint);
            }
            let at = instant_before(now, crash.age_ms);
            self.add_crash(now, at, crash.endpoint, crash.attempts.clone(), false);
        }
        new_crashes
    }

    /// Takes in decisions of other instances, or that the store holds.
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

    /// Decisions to note in the store: all, or those that this instance came to.
    pub fn decisions_to_store(&self, now: Instant, include_remote: bool) -> Vec<DecisionRecord> {
        self.decisions.records_to_store(now, include_remote)
    }

    /// Requests in quarantine.
    pub fn quarantined_count(&self) -> usize {
        self.decisions.quarantined().count()
    }

    /// What has newly been believed since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes runs that ended with an endpoint at `at` for evidence, and decides.
    fn add_crash(
        &mut self,
        now: Instant,
        at: Instant,
        key: EndpointKey,
        attempts: Vec<InterruptedAttempt>,
        is_local: bool,
    ) {
        let is_new_crash = !self.crashes.is_known(key);
        let earliest = at.checked_sub(SUCCESS_LOOKBACK).unwrap_or(at);
        let has_succeeded = |attempt: &InterruptedAttempt| {
            self.successes.succeeded_since(attempt.fingerprint, earliest)
        };
        let (cleared, attempts): (Vec<_>, Vec<_>) = attempts.into_iter().partition(has_succeeded);
        cleared.iter().for_each(|attempt| self.publish_success(now, attempt.fingerprint));
        let is_new = self.crashes.record(now, at, key, &attempts, is_local);
        if is_new_crash {
            let suspects = attempts.iter().map(|attempt| attempt.fingerprint).collect();
            self.events.push(QuarantineEvent::EndpointCrashed {
                endpoint: key,
                suspects,
                is_local,
            });
        }
        self.needs_analysis |= is_new;
    }

    /// Judges by what is known of ends for [`CRASH_SETTLING_TIME`]. To be called often, a few times in that.
    pub fn evaluate(&mut self, now: Instant) {
        let is_settled = self.crashes.mark_settled(now, CRASH_SETTLING_TIME);
        if is_settled || std::mem::take(&mut self.needs_analysis) {
            self.update_decisions(now);
        }
    }

    fn update_decisions(&mut self, now: Instant) {
        let CrashAnalysis { causes, cleared } =
            decisions::analyze_crashes(&self.crashes, &self.decisions);
        for CrashCause { fingerprint, crashes } in causes {
            let trial_delay = self.decisions.quarantine(now, fingerprint);
            self.events.push(QuarantineEvent::Quarantined { fingerprint, crashes, trial_delay });
        }
        for fingerprint in cleared {
            self.decisions.release(now, fingerprint);
            self.events.push(QuarantineEvent::Released { fingerprint });
        }
    }

    /// Takes a request off the evidence up to a while after a good answer to it.
    fn clear_suspicion(&mut self, now: Instant, fingerprint: Fingerprint, at: Instant) {
        if self.crashes.remove_request(fingerprint, at + SUCCESS_LOOKBACK) {
            self.publish_success(now, fingerprint);
        }
    }

    /// Lets the others know that a request was answered, and ends its quarantine if nothing is left against it.
    fn publish_success(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.successes.queue_for_gossip(now, fingerprint);
        if !self.crashes.involves(fingerprint) && self.decisions.release(now, fingerprint) {
            self.events.push(QuarantineEvent::Released { fingerprint });
        }
    }
}

/// An instant so many milliseconds ago.
fn instant_before(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(age_ms))).unwrap_or(now)
}

/// Milliseconds since an instant.
fn age_ms(now: Instant, at: Instant) -> u32 {
    now.saturating_duration_since(at).as_millis().min(u128::from(u32::MAX)) as u32
}
