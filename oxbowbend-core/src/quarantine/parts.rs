//! Attribution of crashes to a part that different requests share.
//!
//! A part is suspected where a request that holds it was in flight and awaited its response. Most
//! parts beside it are sound: they are in many requests, which other endpoints answer. A part that
//! some endpoint has answered lately is therefore no suspect, and of those that can't be told apart
//! by their crashes the ones that were never answered come first.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use super::crashes::{Crash, CrashTime, Crashes, SuspectPart};
use super::decisions::CrashCause;
use super::{Quarantine, QuarantineEvent};
use crate::fingerprint::Fingerprint;

/// Crashes in series that convict a part which nobody has seen answered, if as many different
/// requests were in flight. One request that crashes endpoints is held back by itself.
const MIN_CRASHES: usize = 3;
/// Crashes in series that convict a part with fewer requests, one that was answered before, or
/// several that can't be told apart.
const MIN_CRASHES_IF_UNCERTAIN: usize = 5;
/// Fewest different requests in flight at the crashes.
const MIN_REQUESTS: usize = 2;
/// Crashes that are closer together count as one: a failure of several endpoints at once has a cause
/// of its own.
const SERIES_GAP: Duration = Duration::from_millis(50);

/// A success clears a part of crashes up to this long afterwards, besides all earlier ones. Shorter than for
/// a request, since a part that turns bad was answered until then; a sound one is answered
/// again before enough crashes are counted.
pub(super) const PART_SUCCESS_LOOKBACK: Duration = Duration::from_secs(1);
/// Most parts of one request that are suspected of a crash, so that a request with many leaves room
/// for others.
const MAX_SUSPECT_PARTS: usize = 16;

/// What is known against a part.
#[derive(Default)]
struct Evidence<'a> {
    crashes: Vec<&'a Crash>,
    requests: HashSet<Fingerprint>,
}

/// A part with enough evidence against it.
struct Candidate<'a> {
    part: Fingerprint,
    evidence: Evidence<'a>,
    in_series: usize,
    is_answered: bool,
}

impl Evidence<'_> {
    /// Returns the number of crashes that are [`SERIES_GAP`] apart.
    fn count_in_series(&self) -> usize {
        let mut times: Vec<Instant> = self.crashes.iter().map(|crash| crash.crashed_at).collect();
        times.sort_unstable();
        let mut last: Option<Instant> = None;
        let is_apart = |at: &Instant| {
            let is_apart = last.is_none_or(|last| at.duration_since(last) >= SERIES_GAP);
            if is_apart {
                last = Some(*at);
            }
            is_apart
        };
        times.iter().copied().filter(is_apart).count()
    }

    fn includes(&self, other: &Evidence<'_>) -> bool {
        let keys: HashSet<_> = self.crashes.iter().map(|crash| crash.endpoint).collect();
        other.crashes.iter().all(|crash| keys.contains(&crash.endpoint))
    }

    fn has_same_crashes(&self, other: &Evidence<'_>) -> bool {
        self.crashes.len() == other.crashes.len() && self.includes(other)
    }

    /// Returns whether this explains all crashes that the other does, and further ones.
    fn explains_more(&self, other: &Evidence<'_>) -> bool {
        self.crashes.len() > other.crashes.len() && self.includes(other)
    }
}

impl Candidate<'_> {
    fn is_convincing(&self, is_alone: bool) -> bool {
        let requests = self.evidence.requests.len();
        let is_certain = is_alone && !self.is_answered && requests >= MIN_CRASHES;
        let min_crashes = if is_certain { MIN_CRASHES } else { MIN_CRASHES_IF_UNCERTAIN };
        requests >= MIN_REQUESTS && self.in_series >= min_crashes
    }

    /// Order in which candidates are considered.
    fn priority(&self) -> impl Ord {
        (!self.is_answered, self.in_series)
    }
}

impl Quarantine {
    /// Records that an endpoint wrote a response to a request with these parts, and went on.
    pub fn parts_succeeded(&mut self, now: Instant, parts: &[Fingerprint]) {
        for part in parts {
            let last = self.part_successes.last_success(*part);
            self.part_successes.record(now, *part);
            let is_recent = |at| now.saturating_duration_since(at) < PART_SUCCESS_LOOKBACK;
            // A recent success has cleared the part of all crashes until now.
            if !last.is_some_and(is_recent) && self.crashes.remove_part(*part, now) {
                self.part_successes.queue_for_gossip(now, *part);
            }
            if self.decisions.release(now, *part) {
                self.part_successes.queue_for_gossip(now, *part);
                self.events.push(QuarantineEvent::Released { fingerprint: *part });
            }
        }
    }

    /// Returns the parts of a request that are suspected: none that was answered lately, and those
    /// first that never were.
    pub(super) fn suspect_parts(
        &self,
        time: CrashTime,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> Vec<SuspectPart> {
        let at = time.alive_at;
        let earliest = at.checked_sub(PART_SUCCESS_LOOKBACK).unwrap_or(at);
        let is_suspect = |part: &Fingerprint| !self.part_successes.succeeded_since(*part, earliest);
        let mut parts: Vec<_> = parts.iter().copied().filter(is_suspect).collect();
        parts.sort_by_key(|part| self.part_successes.last_success(*part).is_some());
        parts.truncate(MAX_SUSPECT_PARTS);
        parts.into_iter().map(|part| SuspectPart { part, request }).collect()
    }

    /// Queues what is known of answers to parts that are suspected repeatedly, for instances that
    /// have seen none.
    pub(super) fn publish_answered_parts(&mut self, now: Instant, parts: &[SuspectPart]) {
        for SuspectPart { part, .. } in parts {
            let is_answered = self.part_successes.last_success(*part).is_some();
            if is_answered && self.crashes.count_of_part(*part) > 1 {
                self.part_successes.queue_for_gossip(now, *part);
            }
        }
    }

    /// Returns the parts in quarantine that are suspected of a known crash.
    pub(super) fn quarantined_parts(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let parts = self.crashes.settled().flat_map(|crash| crash.parts());
        parts.filter(|part| self.decisions.is_quarantined(*part))
    }
}

/// Returns the parts that cause the settled crashes, besides those in `known`, with a greedy set
/// cover. `is_answered` tells whether a part is known to have been answered ever.
pub(super) fn find_causes(
    crashes: &Crashes,
    known: &HashSet<Fingerprint>,
    is_answered: impl Fn(Fingerprint) -> bool,
) -> Vec<CrashCause> {
    let mut known = known.clone();
    let mut causes = Vec::new();
    loop {
        let next = most_likely_causes(crashes, &known, &is_answered);
        if next.is_empty() {
            return causes;
        }
        known.extend(next.iter().map(|cause| cause.fingerprint));
        causes.extend(next);
    }
}

fn most_likely_causes(
    crashes: &Crashes,
    known: &HashSet<Fingerprint>,
    is_answered: &impl Fn(Fingerprint) -> bool,
) -> Vec<CrashCause> {
    let mut evidence: BTreeMap<Fingerprint, Evidence<'_>> = BTreeMap::new();
    for crash in crashes.settled().filter(|crash| !crash.involves_part(known)) {
        for suspect in &crash.parts {
            let evidence = evidence.entry(suspect.part).or_default();
            evidence.requests.insert(suspect.request);
            if evidence.crashes.last().is_none_or(|last| last.endpoint != crash.endpoint) {
                evidence.crashes.push(crash);
            }
        }
    }
    let candidates = evidence.into_iter().filter(|(_, e)| e.crashes.len() >= MIN_CRASHES);
    let candidates = candidates.map(|(part, evidence)| Candidate {
        part,
        in_series: evidence.count_in_series(),
        is_answered: is_answered(part),
        evidence,
    });
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.priority()));
    let mut groups = candidates.iter().map(|candidate| convicted_with(candidate, &candidates));
    groups.find(|group| !group.is_empty()).unwrap_or_default()
}

/// Returns the candidates that are convicted together with this one: those with the same crashes.
fn convicted_with(candidate: &Candidate<'_>, all: &[Candidate<'_>]) -> Vec<CrashCause> {
    let explains_more = |other: &Candidate<'_>| {
        other.is_answered <= candidate.is_answered
            && other.evidence.explains_more(&candidate.evidence)
    };
    let alike = all.iter().filter(|other| {
        other.is_answered == candidate.is_answered
            && other.evidence.has_same_crashes(&candidate.evidence)
    });
    let alike: Vec<_> = alike.collect();
    let is_alone = alike.len() == 1;
    // Of sound parts that stand beside each other one may have a cause that is not known yet.
    if all.iter().any(explains_more) || (candidate.is_answered && !is_alone) {
        return Vec::new();
    }
    let convicted = alike.into_iter().filter(|candidate| candidate.is_convincing(is_alone));
    let cause = |candidate: &Candidate<'_>| CrashCause {
        fingerprint: candidate.part,
        crashes: candidate.evidence.crashes.iter().map(|crash| crash.endpoint).collect(),
    };
    convicted.map(cause).collect()
}
