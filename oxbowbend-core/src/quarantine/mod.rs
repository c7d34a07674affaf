//! Requests that end the endpoints that run them, also known as queries of death.
//!
//! Such a request comes back under new ids at any instance, so it is known by its [`Fingerprint`]. When an endpoint
//! ends, requests that ran there and of whose answers nothing had come are suspected; one that must have ended three
//! endpoints is quarantined: no instance sends it to an endpoint, and its caller hears at once that it has not run. Instances tell each other
//! what they have seen, and what was decided ([`ReportedState`]): whole facts, each of which may be lost, come twice or
//! late, and comes to the same whoever passes it on. Decisions are also noted in the store, so that they outlast all
//! instances.
//!
//! A good answer to the same request clears it, before an end and after it. A quarantine ends by itself: once its
//! time is over one trial is let through, and if that brings no answer the next one comes twice as late.
//!
//! What was traded: the first three endpoints are lost, and whoever was wrongly quarantined waits for a minute.

mod answered;
mod ends;
mod told;
mod verdict;

use std::time::{Duration, Instant};

pub use ends::Run;
pub use told::{Told, ToldAnswer, ToldEnd, ToldVerdict};
pub use verdict::ENDS;

use crate::cell::ReportDetail;
use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointId, EndpointKey, InstanceId};
use answered::Answered;
use ends::Ends;
use verdict::{Culprit, Judgement, Standing, Verdicts};

/// Time before an end in which a good answer to the same request speaks for it: it is then served several times
/// in the time in which three endpoints can end under it.
const ANSWERED_BEFORE: Duration = Duration::from_secs(3);
/// Time for which decisions and answers are told: some twenty beats within a cell and ten beyond it.
const TOLD_FOR: Duration = Duration::from_secs(3);
/// The same for ends, which are longer: eight beats. Endpoints that crash by dozens would else be most of what reports tell.
const ENDS_TOLD_FOR: Duration = Duration::from_secs(1);
/// Time for which news also goes into reports between beats, of which there are up to 200 a second: one or two of them.
const TOLD_AT_ONCE: Duration = Duration::from_millis(20);
/// Time for which a run that broke off waits for word that its endpoint has ended. Entries of endpoints that end go
/// after three of their heartbeats, of some 0.4 s.
const PENDING: Duration = Duration::from_secs(5);
/// Time from learning of an end until it is judged by, in which other instances tell what ran there for them: that
/// takes some 20 ms. Judged at once, whoever was beside the culprit of another instance looked like the only suspect.
pub const SETTLE: Duration = Duration::from_millis(150);
/// Runs that wait for such word at most.
const MAX_PENDING: usize = 512;

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// It may.
    Open,
    /// It may, as the one trial of its quarantine.
    Trial,
    /// It may not, for this long.
    Closed(Duration),
}

/// A change of what is believed of a request, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An endpoint ended, with these requests running there as far as is known here.
    Ended {
        /// The endpoint's start.
        endpoint: EndpointKey,
        /// What ran there.
        suspects: Vec<Fingerprint>,
        /// Whether this instance saw it, and was not told.
        is_own: bool,
    },
    /// A request is quarantined.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// The starts that it ended; none if this instance was only told.
        ends: Vec<EndpointKey>,
        /// Until its trial.
        pause: Duration,
    },
    /// A request's trial begins, here or elsewhere.
    Trial {
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
struct Pending {
    endpoint: EndpointId,
    key: EndpointKey,
    at: Instant,
    run: Run,
}

/// What one instance knows of such requests.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use oxbowbend_core::quarantine::{Gate, Quarantine, Run, SETTLE};
///
/// let (mut quarantine, now) = (Quarantine::new(&"i-1".into()), Instant::now());
/// for endpoint in 0..3 {
///     assert_eq!(quarantine.gate(now, 7), Gate::Open);
///     quarantine.broke_off(now, &"e".into(), endpoint, Run { fingerprint: 7, is_quiet: true });
///     quarantine.ended(now, endpoint);
/// }
/// quarantine.settle(now + SETTLE);
/// assert!(matches!(quarantine.gate(now, 7), Gate::Closed(_)));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    pending: Vec<Pending>,
    ends: Ends,
    answered: Answered,
    verdicts: Verdicts,
    /// Whether something was learned since it was last judged.
    is_changed: bool,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Starts with nothing known.
    pub fn new(me: &InstanceId) -> Quarantine {
        Quarantine {
            pending: Vec::new(),
            ends: Ends::default(),
            answered: Answered::default(),
            verdicts: Verdicts::new(me),
            is_changed: false,
            changes: Vec::new(),
        }
    }

    /// Whether a request may be sent to an endpoint now. To be asked right before that, since a trial counts as
    /// begun with it.
    pub fn gate(&mut self, now: Instant, fingerprint: Fingerprint) -> Gate {
        let gate = self.verdicts.gate(now, fingerprint);
        if gate == Gate::Trial {
            let trials = self.verdicts.trials(fingerprint);
            self.changes.push(Change::Trial { fingerprint, trials });
        }
        gate
    }

    /// For how long a request is not to be sent, if so.
    pub fn closed_for(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        self.verdicts.closed_for(now, fingerprint)
    }

    /// Notes a run that broke off at an endpoint that was in service and may have ended.
    pub fn broke_off(&mut self, now: Instant, endpoint: &EndpointId, key: EndpointKey, run: Run) {
        if self.ends.is_known(key) {
            self.suspect(now, now, key, vec![run], true);
            return;
        }
        self.pending.retain(|p| now.saturating_duration_since(p.at) < PENDING);
        if self.pending.len() >= MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(Pending { endpoint: endpoint.clone(), key, at: now, run });
    }

    /// Whether runs wait for word of an endpoint's start.
    pub fn is_pending(&self, key: EndpointKey) -> bool {
        self.pending.iter().any(|p| p.key == key)
    }

    /// Notes that a start of an endpoint has ended.
    pub fn ended(&mut self, now: Instant, key: EndpointKey) {
        let (ended, rest) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.key == key);
        self.pending = rest;
        let is_fresh = |p: &Pending| now.saturating_duration_since(p.at) < PENDING;
        let runs: Vec<Run> = Vec::into_iter(ended).filter(is_fresh).map(|p| p.run).collect();
        if !runs.is_empty() {
            self.suspect(now, now, key, runs, true);
        }
    }

    /// Notes that an endpoint's entry has gone, or tells of a later start: the starts at which runs broke off have
    /// ended.
    pub fn entry_changed(&mut self, now: Instant, endpoint: &EndpointId) {
        let keys = self.pending.iter().filter(|p| p.endpoint == *endpoint).map(|p| p.key);
        let mut keys: Vec<_> = keys.collect();
        keys.dedup();
        keys.into_iter().for_each(|key| self.ended(now, key));
    }

    /// Notes a good answer to a request.
    pub fn answered(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.answered.note(now, fingerprint);
        self.clear(now, fingerprint, now);
        if self.verdicts.release(now, fingerprint) {
            self.answered.tell_of(now, fingerprint);
            self.changes.push(Change::Released { fingerprint });
        }
    }

    /// What to tell other instances in a report of an extent: what is new, and in full ones also older decisions in
    /// turn. What others have seen is told on by those who pass it on: in a fleet of several cells, their
    /// representatives.
    pub fn tell(&mut self, now: Instant, extent: ReportDetail, passes_on: bool) -> Told {
        let in_full = extent == ReportDetail::Full;
        let (ends_for, rest_for) = match extent {
            ReportDetail::Loads => (TOLD_AT_ONCE, TOLD_AT_ONCE),
            ReportDetail::Changes | ReportDetail::Full => (ENDS_TOLD_FOR, TOLD_FOR),
        };
        Told {
            ends: self.ends.tell(now, ends_for, passes_on, in_full),
            verdicts: self.verdicts.tell(now, rest_for, in_full),
            answers: self.answered.tell(now, rest_for),
        }
    }

    /// Takes in what another instance tells; whatever it tells twice changes nothing. Returns the starts of endpoints
    /// that are newly known to have ended.
    pub fn hear(&mut self, now: Instant, told: &Told) -> Vec<EndpointKey> {
        for answer in &told.answers {
            let at = before(now, answer.age_ms);
            if self.answered.told(now, answer.fingerprint, at) {
                self.clear(now, answer.fingerprint, at);
            }
        }
        self.hear_verdicts(now, &told.verdicts);
        let mut ended = Vec::new();
        for end in &told.ends {
            if !self.ends.is_known(end.endpoint) {
                ended.push(end.endpoint);
            }
            let at = before(now, end.age_ms);
            self.suspect(now, at, end.endpoint, end.runs.clone(), false);
        }
        ended
    }

    /// Takes in decisions of other instances, or that the store holds.
    pub fn hear_verdicts(&mut self, now: Instant, verdicts: &[ToldVerdict]) {
        for told in verdicts {
            match self.verdicts.hear(now, told) {
                Some(Standing::Released) => {
                    self.changes.push(Change::Released { fingerprint: told.fingerprint });
                }
                Some(Standing::Held(pause)) if told.trials == 0 => {
                    let (fingerprint, ends) = (told.fingerprint, Vec::new());
                    self.changes.push(Change::Quarantined { fingerprint, ends, pause });
                }
                Some(Standing::Held(_)) => {
                    let (fingerprint, trials) = (told.fingerprint, told.trials);
                    self.changes.push(Change::Trial { fingerprint, trials });
                }
                None => {}
            }
        }
    }

    /// Decisions to note in the store: all, or those that this instance came to.
    pub fn notes(&self, now: Instant, all: bool) -> Vec<ToldVerdict> {
        self.verdicts.notes(now, all)
    }

    /// Requests in quarantine.
    pub fn held(&self) -> usize {
        self.verdicts.all_held().count()
    }

    /// What has newly been believed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes runs that ended with an endpoint at `at` for evidence, and decides.
    fn suspect(
        &mut self,
        now: Instant,
        at: Instant,
        key: EndpointKey,
        runs: Vec<Run>,
        is_own: bool,
    ) {
        let is_new_end = !self.ends.is_known(key);
        let floor = at.checked_sub(ANSWERED_BEFORE).unwrap_or(at);
        let was_answered = |run: &Run| self.answered.was_since(run.fingerprint, floor);
        let (cleared, runs): (Vec<_>, Vec<_>) = runs.into_iter().partition(was_answered);
        cleared.iter().for_each(|run| self.acquit(now, run.fingerprint));
        let is_news = self.ends.add(now, at, key, &runs, is_own);
        if is_new_end {
            let suspects = runs.iter().map(|run| run.fingerprint).collect();
            self.changes.push(Change::Ended { endpoint: key, suspects, is_own });
        }
        self.is_changed |= is_news;
    }

    /// Judges by what is known of ends for [`SETTLE`]. To be called often, a few times in that.
    pub fn settle(&mut self, now: Instant) {
        let is_settled = self.ends.settle(now, SETTLE);
        if is_settled || std::mem::take(&mut self.is_changed) {
            self.decide(now);
        }
    }

    fn decide(&mut self, now: Instant) {
        let Judgement { culprits, cleared } = verdict::judge(&self.ends, &self.verdicts);
        for Culprit { fingerprint, ends } in culprits {
            let pause = self.verdicts.hold(now, fingerprint);
            self.changes.push(Change::Quarantined { fingerprint, ends, pause });
        }
        for fingerprint in cleared {
            self.verdicts.release(now, fingerprint);
            self.changes.push(Change::Released { fingerprint });
        }
    }

    /// Takes a request off the evidence up to a while after a good answer to it.
    fn clear(&mut self, now: Instant, fingerprint: Fingerprint, at: Instant) {
        if self.ends.clear(fingerprint, at + ANSWERED_BEFORE) {
            self.acquit(now, fingerprint);
        }
    }

    /// Lets the others know that a request was answered, and ends its quarantine if nothing is left against it.
    fn acquit(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.answered.tell_of(now, fingerprint);
        if !self.ends.names(fingerprint) && self.verdicts.release(now, fingerprint) {
            self.changes.push(Change::Released { fingerprint });
        }
    }
}

/// An instant so many milliseconds ago.
fn before(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(age_ms))).unwrap_or(now)
}

/// Milliseconds since an instant.
fn age_ms(now: Instant, at: Instant) -> u32 {
    now.saturating_duration_since(at).as_millis().min(u128::from(u32::MAX)) as u32
}
