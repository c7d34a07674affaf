//! Whether a version answers worse than those that run.
//!
//! The versions that run are the control: whatever makes all endpoints slow or fail, crests, crashes, callers' own
//! errors, shows there as well. For failures, and for answers slower than each of some bounds, the shares of both
//! sides are compared by a likelihood ratio, over the last second, all of the time and spans between, since a version
//! may turn bad late; and for each route by itself, since it may be bad on one only.
//!
//! The test is looked at again and again, so the bound on the ratio is high.

use super::responses::{slow_buckets, Comparison, GroupCounts, ResponseCounts, ResponseHistory};

/// Logarithm of the likelihood ratio from which a version is bad: by its failures, and by its slow answers, of which what
/// slows one endpoint down for a moment makes several at once.
const MIN_LOG_RATIO_FAILURES: f64 = 12.0;
const MIN_LOG_RATIO_SLOW: f64 = 15.0;
/// Bad answers below which nothing follows.
const MIN_BAD_RESPONSES: u32 = 6;
/// By how much its share of bad answers must be larger, so that a difference that nobody minds is none.
const MIN_FAILURE_SHARE_EXCESS: f64 = 0.04;
/// Answers of the control below which nobody can tell what is slow.
const MIN_BASELINE_RESPONSES: u32 = 24;
/// How many times as often its answers must be slow as the control's. A third of the engines may be slower than the others, and
/// a canary's few endpoints may all be such ones.
const MIN_SLOW_SHARE_RATIO: f64 = 8.0;
/// Answers that are taken to be known of the control beforehand, and how many of them were bad: without any, a single
/// failure would be infinitely unlikely. Failures are rare at all endpoints; how many answers are slower than some
/// bound is not known beforehand.
const FAILURE_PRIOR: Prior = Prior { total: 30.0, bad: 0.3 };
const SLOW_PRIOR: Prior = Prior { total: 2.0, bad: 1.0 };

struct Prior {
    total: f64,
    bad: f64,
}

/// Answers of one side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// All of them.
    pub total: u32,
    /// The bad ones.
    pub bad: u32,
}

impl Sample {
    /// Leaves out the bad answers of some moments: an endpoint or a machine that stands still spoils all that it has at once, and
    /// these are no independent signs.
    fn without(self, bad: u32) -> Sample {
        Sample { total: self.total - bad, bad: self.bad - bad }
    }
}

/// Why a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Regression {
    /// Answers of the version.
    pub candidate: Sample,
    /// Those of the versions that run.
    pub baseline: Sample,
    /// Logarithm of the likelihood ratio.
    pub log_ratio: f64,
    /// Class of time from which an answer counted as bad; none if failures only did.
    pub slow_bucket: Option<usize>,
}

/// Looks for a version that answers worse.
pub fn find_regression(evidence: &ResponseHistory) -> Option<Regression> {
    evidence.windows().flatten().find_map(|comparison| compare(&comparison))
}

fn compare(comparison: &Comparison) -> Option<Regression> {
    let GroupCounts { baseline: old, candidate: new } = &comparison.total;
    if new.total() < MIN_BAD_RESPONSES {
        return None;
    }
    let failures = |counts: &ResponseCounts| Sample { total: counts.total(), bad: counts.failed() };
    compare_bad_shares(failures(new), failures(old), FAILURE_PRIOR, None)
        .or_else(|| find_slowdown(comparison))
}

/// Without a control in the same moments a version is judged by its failures alone: what slows all machines down after the shift
/// would look like a slow version.
fn find_slowdown(comparison: &Comparison) -> Option<Regression> {
    let GroupCounts { baseline: old, candidate: new } = &comparison.controlled;
    let mut bounds = slow_buckets().filter(|_| old.total() >= MIN_BASELINE_RESPONSES);
    bounds.find_map(|class| {
        let slow = |counts: &ResponseCounts| Sample {
            total: counts.total(),
            bad: counts.failed_or_slow(class),
        };
        let lasting = slow(new).without(comparison.worst_failed_or_slow(class));
        compare_bad_shares(lasting, slow(old), SLOW_PRIOR, Some(class))
    })
}

/// Compares the shares of bad answers of both sides.
fn compare_bad_shares(
    new: Sample,
    old: Sample,
    before: Prior,
    slow_from: Option<usize>,
) -> Option<Regression> {
    let share = |bad: f64, all: f64| bad / all;
    let (bad, all) = (f64::from(new.bad), f64::from(new.total));
    let (old_bad, old_all) = (f64::from(old.bad) + before.bad, f64::from(old.total) + before.total);
    let (share_new, share_old) = (share(bad, all), share(old_bad, old_all));
    let least = if slow_from.is_some() {
        MIN_SLOW_SHARE_RATIO * share_old
    } else {
        share_old + MIN_FAILURE_SHARE_EXCESS
    };
    if new.bad < MIN_BAD_RESPONSES || share_new < least {
        return None;
    }
    // Against both sides having the share of the two together.
    let share_both = share(bad + old_bad, all + old_all);
    let ratio = log_likelihood(bad, all, share_new) + log_likelihood(old_bad, old_all, share_old)
        - log_likelihood(bad + old_bad, all + old_all, share_both);
    let bound = if slow_from.is_some() { MIN_LOG_RATIO_SLOW } else { MIN_LOG_RATIO_FAILURES };
    (ratio >= bound).then_some(Regression {
        candidate: new,
        baseline: old,
        log_ratio: ratio,
        slow_bucket: slow_from,
    })
}

/// Logarithm of the likelihood of so many bad ones of all at a share.
fn log_likelihood(bad: f64, all: f64, share: f64) -> f64 {
    let term = |n: f64, share: f64| if n > 0.0 { n * share.ln() } else { 0.0 };
    term(bad, share) + term(all - bad, 1.0 - share)
}
