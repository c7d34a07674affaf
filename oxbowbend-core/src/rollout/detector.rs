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
pub fn find_regression(history: &ResponseHistory) -> Option<Regression> {
    history.windows().flatten().find_map(|comparison| compare(&comparison))
}

fn compare(comparison: &Comparison) -> Option<Regression> {
    let GroupCounts { baseline, candidate } = &comparison.total;
    if candidate.total() < MIN_BAD_RESPONSES {
        return None;
    }
    let failures = |counts: &ResponseCounts| Sample { total: counts.total(), bad: counts.failed() };
    compare_bad_shares(failures(candidate), failures(baseline), FAILURE_PRIOR, None)
        .or_else(|| find_slowdown(comparison))
}

/// Without a control in the same moments a version is judged by its failures alone: what slows all machines down after the shift
/// would look like a slow version.
fn find_slowdown(comparison: &Comparison) -> Option<Regression> {
    let GroupCounts { baseline, candidate } = &comparison.controlled;
    let mut thresholds = slow_buckets().filter(|_| baseline.total() >= MIN_BASELINE_RESPONSES);
    thresholds.find_map(|bucket| {
        let slow = |counts: &ResponseCounts| Sample {
            total: counts.total(),
            bad: counts.failed_or_slow(bucket),
        };
        let independent = slow(candidate).without(comparison.worst_failed_or_slow(bucket));
        compare_bad_shares(independent, slow(baseline), SLOW_PRIOR, Some(bucket))
    })
}

/// Compares the shares of bad answers of both sides.
fn compare_bad_shares(
    candidate: Sample,
    baseline: Sample,
    prior: Prior,
    slow_bucket: Option<usize>,
) -> Option<Regression> {
    let share = |bad: f64, total: f64| bad / total;
    let (bad, total) = (f64::from(candidate.bad), f64::from(candidate.total));
    let (baseline_bad, baseline_total) =
        (f64::from(baseline.bad) + prior.bad, f64::from(baseline.total) + prior.total);
    let (candidate_share, baseline_share) =
        (share(bad, total), share(baseline_bad, baseline_total));
    let min_share = if slow_bucket.is_some() {
        MIN_SLOW_SHARE_RATIO * baseline_share
    } else {
        baseline_share + MIN_FAILURE_SHARE_EXCESS
    };
    if candidate.bad < MIN_BAD_RESPONSES || candidate_share < min_share {
        return None;
    }
    // Against both sides having the share of the two together.
    let pooled_share = share(bad + baseline_bad, total + baseline_total);
    let log_ratio = log_likelihood(bad, total, candidate_share)
        + log_likelihood(baseline_bad, baseline_total, baseline_share)
        - log_likelihood(bad + baseline_bad, total + baseline_total, pooled_share);
    let min_log_ratio =
        if slow_bucket.is_some() { MIN_LOG_RATIO_SLOW } else { MIN_LOG_RATIO_FAILURES };
    (log_ratio >= min_log_ratio).then_some(Regression {
        candidate,
        baseline,
        log_ratio,
        slow_bucket,
    })
}

/// Logarithm of the likelihood of so many bad ones of all at a share.
fn log_likelihood(bad: f64, total: f64, share: f64) -> f64 {
    let term = |n: f64, share: f64| if n > 0.0 { n * share.ln() } else { 0.0 };
    term(bad, share) + term(total - bad, 1.0 - share)
}
