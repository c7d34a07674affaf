//! Attribution of crashes to a part that different requests share.
//!
//! A part is suspected where a request that holds it was in flight and awaited its response. Most
//! parts beside it are sound: they are in many requests, which other endpoints answer. A part that
//! some endpoint has answered lately is therefore no suspect, and of those that can't be told apart
//! by their crashes the ones that were never answered come first.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use super::crashes::{Crash, Crashes};
use super::decisions::CrashCause;
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

    fn has_same_crashes(&self, other: &Evidence<'_>) -> bool {
        let keys = |evidence: &Evidence<'_>| -> Vec<_> {
            evidence.crashes.iter().map(|crash| crash.endpoint).collect()
        };
        keys(self) == keys(other)
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
    let Some(first) = candidates.first() else { return Vec::new() };
    let is_like_first = |candidate: &&Candidate<'_>| {
        candidate.is_answered == first.is_answered
            && candidate.evidence.has_same_crashes(&first.evidence)
    };
    let alike: Vec<_> = candidates.iter().filter(is_like_first).collect();
    let is_alone = alike.len() == 1;
    // Of sound parts that stand beside each other one may have a cause that is not known yet.
    if first.is_answered && !is_alone {
        return Vec::new();
    }
    let convicted = alike.into_iter().filter(|candidate| candidate.is_convincing(is_alone));
    let cause = |candidate: &Candidate<'_>| CrashCause {
        fingerprint: candidate.part,
        crashes: candidate.evidence.crashes.iter().map(|crash| crash.endpoint).collect(),
    };
    convicted.map(cause).collect()
}
