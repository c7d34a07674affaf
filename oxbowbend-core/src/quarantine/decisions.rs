//! Quarantine decisions: which requests are quarantined, and until when.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::crashes::{Crash, Crashes};
use super::records::DecisionRecord;
use super::{age_ms, SendPermission};
use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointKey, InstanceId};

/// Number of crashes a request must be suspected of to be quarantined.
pub const CRASH_THRESHOLD: usize = 3;
/// Number of crashes, at least as many as for any other request, in which a request must have been
/// in flight if it had received part of a response.
const PRESENCE_THRESHOLD: usize = 5;
/// Shortest and longest delay before a trial. A failed trial costs its endpoint about 4 s.
const TRIAL_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_secs(60), Duration::from_secs(3600));
/// Spreads the trials of the instances, so that the first is known everywhere before the next would
/// start: updates take 0.01 s within a cell and 0.5 s between cells.
const MAX_TRIAL_JITTER: Duration = Duration::from_secs(10);
/// Takes 0.4 MB. Released requests are evicted first, then those whose trial is due soonest.
const MAX_DECISIONS: usize = 4096;
/// Applies to recent and to older decisions separately, and to those written to the store.
const MAX_RECORDS_PER_UPDATE: usize = 16;
/// How long a decision is kept after its trial was due or its request was released.
const DECISION_RETENTION: Duration = Duration::from_secs(3600);

/// A request and the crashes attributed to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CrashCause {
    pub(super) fingerprint: Fingerprint,
    pub(super) crashes: Vec<EndpointKey>,
}

/// The effect of a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DecisionOutcome {
    /// Blocked for this long.
    Quarantined(Duration),
    /// Released from quarantine.
    Released,
}

#[derive(Clone, Debug)]
struct Decision {
    epoch: u32,
    trials: u32,
    /// `None` once the request is released.
    trial_due: Option<Instant>,
    updated_at: Instant,
    /// Whether this instance made the decision.
    is_local: bool,
    /// Whether the first trial may start before it is due.
    is_trial_early: bool,
}

/// All known decisions, by request.
#[derive(Debug)]
pub(super) struct Decisions {
    decisions: BTreeMap<Fingerprint, Decision>,
    jitter_seed: u64,
    /// First request to include in the next full update.
    sync_cursor: Fingerprint,
}

impl Decisions {
    pub(super) fn new(me: &InstanceId) -> Decisions {
        Decisions {
            decisions: BTreeMap::new(),
            jitter_seed: xxh3_64_with_seed(me.as_bytes(), 0),
            sync_cursor: 0,
        }
    }

    pub(super) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.decisions.get(&fingerprint).is_some_and(|d| d.trial_due.is_some())
    }

    /// Returns the requests in quarantine.
    pub(super) fn quarantined(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.decisions
            .iter()
            .filter(|(_, d)| d.trial_due.is_some())
            .map(|(fingerprint, _)| *fingerprint)
    }

    pub(super) fn trials(&self, fingerprint: Fingerprint) -> u32 {
        self.decisions.get(&fingerprint).map_or(0, |d| d.trials)
    }

    pub(super) fn blocked_for(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let decision = self.decisions.get(&fingerprint).filter(|d| !d.is_trial_early)?;
        let trial_at = decision.trial_due? + self.trial_jitter(fingerprint);
        (now < trial_at).then(|| trial_at - now)
    }

    pub(super) fn check_send(&mut self, now: Instant, fingerprint: Fingerprint) -> SendPermission {
        if let Some(remaining) = self.blocked_for(now, fingerprint) {
            return SendPermission::Blocked(remaining);
        }
        match self.decisions.get_mut(&fingerprint).filter(|d| d.trial_due.is_some()) {
            None => SendPermission::Allowed,
            Some(decision) => {
                decision.trials = decision.trials.saturating_add(1);
                decision.is_trial_early = false;
                decision.trial_due = Some(now + trial_delay(decision.trials));
                (decision.updated_at, decision.is_local) = (now, true);
                SendPermission::Trial
            }
        }
    }

    /// Returns the delay that this instance adds to the trials of a request.
    fn trial_jitter(&self, fingerprint: Fingerprint) -> Duration {
        let hash = xxh3_64_with_seed(&fingerprint.to_be_bytes(), self.jitter_seed);
        MAX_TRIAL_JITTER.mul_f64((hash >> 32) as f64 / f64::from(u32::MAX))
    }

    /// Quarantines a request; returns the delay before its first trial.
    pub(super) fn quarantine(&mut self, now: Instant, fingerprint: Fingerprint) -> Duration {
        self.evict_if_full(now);
        let epoch = self.decisions.get(&fingerprint).map_or(0, |d| d.epoch).saturating_add(1);
        let trial_due = Some(now + trial_delay(0));
        let decision = Decision {
            epoch,
            trials: 0,
            trial_due,
            updated_at: now,
            is_local: true,
            is_trial_early: false,
        };
        self.decisions.insert(fingerprint, decision);
        trial_delay(0)
    }

    /// Releases a request; returns whether it was quarantined.
    pub(super) fn release(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        let active = self.decisions.get_mut(&fingerprint).filter(|d| d.trial_due.is_some());
        let Some(decision) = active else { return false };
        (decision.trial_due, decision.updated_at, decision.is_local) = (None, now, true);
        true
    }

    /// Lets the first trial of a request start at once; returns whether that changed anything. The
    /// request stays in quarantine until the trial succeeds.
    pub(super) fn allow_early_trial(&mut self, fingerprint: Fingerprint) -> bool {
        let is_first = |d: &&mut Decision| d.trials == 0 && !d.is_trial_early;
        let active = self.decisions.get_mut(&fingerprint).filter(|d| d.trial_due.is_some());
        let Some(decision) = active.filter(is_first) else { return false };
        decision.is_trial_early = true;
        true
    }

    /// Applies a decision of another instance or from the store; returns its effect if it is newer
    /// than the known one.
    pub(super) fn apply_record(
        &mut self,
        now: Instant,
        record: &DecisionRecord,
    ) -> Option<DecisionOutcome> {
        let known = self.decisions.get(&record.fingerprint);
        let version = |epoch, is_over, trials| (epoch, is_over, trials);
        let incoming = version(record.epoch, record.remaining_ms.is_none(), record.trials);
        let is_old =
            known.is_some_and(|d| version(d.epoch, d.trial_due.is_none(), d.trials) >= incoming);
        if is_old || (known.is_none() && record.remaining_ms.is_none()) {
            return None;
        }
        self.evict_if_full(now);
        let remaining = record
            .remaining_ms
            .map(|ms| Duration::from_millis(u64::from(ms)).min(TRIAL_DELAY_RANGE.1));
        let decision = Decision {
            epoch: record.epoch,
            trials: record.trials,
            trial_due: remaining.map(|remaining| now + remaining),
            updated_at: now,
            is_local: false,
            is_trial_early: false,
        };
        self.decisions.insert(record.fingerprint, decision);
        Some(remaining.map_or(DecisionOutcome::Released, DecisionOutcome::Quarantined))
    }

    fn evict_if_full(&mut self, now: Instant) {
        let is_kept = |d: &Decision| {
            let ends_at = d.trial_due.unwrap_or(d.updated_at).max(d.updated_at);
            now.saturating_duration_since(ends_at) < DECISION_RETENTION
        };
        if self.decisions.len() < MAX_DECISIONS {
            return;
        }
        self.decisions.retain(|_, d| is_kept(d));
        let first = self
            .decisions
            .iter()
            .min_by_key(|(_, d)| d.trial_due)
            .map(|(fingerprint, _)| *fingerprint);
        if self.decisions.len() >= MAX_DECISIONS {
            first.map(|fingerprint| self.decisions.remove(&fingerprint));
        }
    }

    pub(super) fn collect_records(
        &mut self,
        now: Instant,
        max_age: Duration,
        is_full: bool,
    ) -> Vec<DecisionRecord> {
        let is_recent = |d: &Decision| now.saturating_duration_since(d.updated_at) < max_age;
        let recent =
            self.decisions.iter().filter(|(_, d)| is_recent(d)).take(MAX_RECORDS_PER_UPDATE);
        let mut records: Vec<_> = recent.map(|(f, d)| d.to_record(now, *f)).collect();
        if is_full {
            let rest = self
                .decisions
                .range(self.sync_cursor..)
                .filter(|(_, d)| !is_recent(d))
                .take(MAX_RECORDS_PER_UPDATE);
            let rest: Vec<_> = rest.map(|(f, d)| d.to_record(now, *f)).collect();
            self.sync_cursor = rest.last().map_or(0, |last| last.fingerprint.wrapping_add(1));
            records.extend(rest);
        }
        records
    }

    pub(super) fn records_to_store(
        &self,
        now: Instant,
        include_remote: bool,
    ) -> Vec<DecisionRecord> {
        let is_stored = |d: &Decision| d.trial_due.is_some() && (include_remote || d.is_local);
        let mut stored: Vec<_> = self.decisions.iter().filter(|(_, d)| is_stored(d)).collect();
        stored.sort_by_key(|(_, d)| std::cmp::Reverse(d.updated_at));
        let stored = stored.into_iter().take(MAX_RECORDS_PER_UPDATE);
        // The reader can't tell the age of a stored record, so store the full delay. This also
        // keeps the record unchanged until the next trial.
        let to_stored_record = |f: Fingerprint, d: &Decision| DecisionRecord {
            remaining_ms: Some(trial_delay(d.trials).as_millis() as u32),
            ..d.to_record(now, f)
        };
        stored.map(|(f, d)| to_stored_record(*f, d)).collect()
    }
}

impl Decision {
    fn to_record(&self, now: Instant, fingerprint: Fingerprint) -> DecisionRecord {
        let remaining_ms = self.trial_due.map(|trial_due| age_ms(trial_due, now));
        DecisionRecord { fingerprint, epoch: self.epoch, trials: self.trials, remaining_ms }
    }
}

/// Returns the delay after the given number of trials.
fn trial_delay(trials: u32) -> Duration {
    (TRIAL_DELAY_RANGE.0 * (1 << trials.min(6))).min(TRIAL_DELAY_RANGE.1)
}

/// The result of attributing crashes to requests.
#[derive(Debug)]
pub(super) struct CrashAnalysis {
    /// Requests to quarantine.
    pub(super) causes: Vec<CrashCause>,
    /// Quarantined requests that may not be causes, because others explain all of their crashes.
    pub(super) cleared: Vec<Fingerprint>,
}

/// Attributes crashes to requests with a greedy set cover: the request involved in most crashes
/// explains them, then the one involved in most of the rest, and so on. Crashes that a part in
/// `crashing_parts` explains count against no request. Requests that were quarantined because they
/// ran beside several causes are cleared once these are found; one that is a cause itself, and crashed
/// endpoints only beside others, looks the same.
pub(super) fn analyze_crashes(
    crashes: &Crashes,
    decisions: &Decisions,
    crashing_parts: &HashSet<Fingerprint>,
) -> CrashAnalysis {
    let mut crash_counts: HashMap<Fingerprint, u32> = HashMap::new();
    crashes
        .settled()
        .flat_map(Crash::fingerprints)
        .for_each(|f| *crash_counts.entry(f).or_default() += 1);
    let quarantined: Vec<_> =
        crash_counts.keys().copied().filter(|f| decisions.is_quarantined(*f)).collect();
    // Too few of their crashes are known on this instance to reconsider these.
    let mut known_causes: HashSet<_> =
        quarantined.iter().copied().filter(|f| crash_counts[f] < CRASH_THRESHOLD as u32).collect();
    let mut causes = Vec::new();
    loop {
        let next = most_likely_causes(crashes, &known_causes, crashing_parts);
        if next.is_empty() {
            break;
        }
        known_causes.extend(next.iter().map(|cause| cause.fingerprint));
        causes.extend(next);
    }
    let is_explained = |f: &Fingerprint| {
        let mut involved = crashes
            .settled()
            .filter(|crash| crash.fingerprints().any(|fingerprint| fingerprint == *f));
        !known_causes.contains(f)
            && involved.all(|crash| {
                crash.involves_part(crashing_parts)
                    || crash.fingerprints().any(|fingerprint| known_causes.contains(&fingerprint))
            })
    };
    let cleared = quarantined.into_iter().filter(is_explained).collect();
    causes.retain(|cause| !decisions.is_quarantined(cause.fingerprint));
    CrashAnalysis { causes, cleared }
}

/// Returns the most likely cause of the crashes that involve none of `known_causes`.
///
/// It must be suspected of [`CRASH_THRESHOLD`] crashes, and be the only suspect shared by all of
/// them. If several requests can't be told apart, one more crash is awaited before all of them are
/// returned. Requests that crash endpoints late, after part of the response has arrived, must be in
/// flight in [`PRESENCE_THRESHOLD`] crashes.
fn most_likely_causes(
    crashes: &Crashes,
    known_causes: &HashSet<Fingerprint>,
    crashing_parts: &HashSet<Fingerprint>,
) -> Vec<CrashCause> {
    let unexplained = crashes.settled().filter(|crash| {
        !crash.involves_part(crashing_parts)
            && !crash.fingerprints().any(|f| known_causes.contains(&f))
    });
    let (mut suspected, mut present) = (CrashesByRequest::default(), CrashesByRequest::default());
    for crash in unexplained {
        crash.suspects().for_each(|f| suspected.add(f, crash.endpoint));
        crash.fingerprints().for_each(|f| present.add(f, crash.endpoint));
    }
    let suspects = suspected.top_causes();
    let is_certain = suspects.len() == 1;
    if suspects.first().is_some_and(|s| {
        s.crashes.len() >= if is_certain { CRASH_THRESHOLD } else { CRASH_THRESHOLD + 1 }
    }) {
        return suspects;
    }
    let is_enough = |cause: &CrashCause| cause.crashes.len() >= PRESENCE_THRESHOLD;
    present.top_causes().into_iter().filter(is_enough).collect()
}

/// The crashes in which each request was involved.
#[derive(Default)]
struct CrashesByRequest {
    crashes: HashMap<Fingerprint, Vec<EndpointKey>>,
}

impl CrashesByRequest {
    fn add(&mut self, fingerprint: Fingerprint, endpoint: EndpointKey) {
        self.crashes.entry(fingerprint).or_default().push(endpoint);
    }

    /// Returns the request with the most crashes, together with those involved in all of the same
    /// crashes. Of several such groups it returns the smallest, whose cause is the least ambiguous.
    fn top_causes(&self) -> Vec<CrashCause> {
        let most = self.crashes.values().map(Vec::len).max().unwrap_or(0);
        if most < CRASH_THRESHOLD {
            return Vec::new();
        }
        let groups = self.crashes.values().filter(|crashes| crashes.len() == most);
        let groups = groups.map(|crashes| self.indistinguishable_from(crashes));
        groups.min_by_key(|group| (group.len(), group[0].fingerprint)).unwrap_or_default()
    }

    /// Returns the requests involved in all of these crashes, ordered by fingerprint.
    fn indistinguishable_from(&self, crashes: &[EndpointKey]) -> Vec<CrashCause> {
        let includes_all =
            |other: &&Vec<EndpointKey>| crashes.iter().all(|crash| other.contains(crash));
        let group = self.crashes.iter().filter(|(_, other)| includes_all(other));
        let group =
            group.map(|(f, crashes)| CrashCause { fingerprint: *f, crashes: crashes.clone() });
        let mut group: Vec<_> = group.collect();
        group.sort_by_key(|cause| cause.fingerprint);
        group
    }
}
