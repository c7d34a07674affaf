//! Detects whether a candidate version responds worse than the baseline.
//!
//! The baseline versions are the control: anything that slows down or fails all endpoints alike,
//! such as load peaks, crashes or invalid requests, affects them as well. A likelihood-ratio test
//! compares both groups by their share of failures, and by their share of responses slower than
//! each of several thresholds. It runs for several time windows, because a version may regress
//! late, and for each route, because it may regress on only one.
//!
//! The test is repeated continuously, so its thresholds are high.

use super::responses::{slow_buckets, Comparison, GroupCounts, ResponseCounts, ResponseHistory};

/// Log likelihood ratios from which a candidate is worse by its failures, and by its slow
/// responses. The latter is higher because a brief stall makes several responses slow at once.
const MIN_LOG_RATIO_FAILURES: f64 = 12.0;
const MIN_LOG_RATIO_SLOW: f64 = 15.0;
/// Fewer failed or slow responses are never significant.
const MIN_BAD_RESPONSES: u32 = 6;
/// Smallest relevant difference between the shares of failures.
const MIN_FAILURE_SHARE_EXCESS: f64 = 0.04;
/// Fewer baseline responses don't establish what is slow.
const MIN_BASELINE_RESPONSES: u32 = 24;
/// How many times larger the candidate's share of slow responses must be. A third of the engines
/// may be slower than the others, and a canary may get only those.
const MIN_SLOW_SHARE_RATIO: f64 = 8.0;
/// Pseudo-counts added to the baseline, so that a first failure is not infinitely unlikely.
/// Failures are known to be rare; the share of slow responses is not known in advance.
const FAILURE_PRIOR: Prior = Prior { total: 30.0, bad: 0.3 };
const SLOW_PRIOR: Prior = Prior { total: 2.0, bad: 1.0 };

struct Prior {
    total: f64,
    bad: f64,
}

/// Response counts of one version group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// All responses.
    pub total: u32,
    /// Failed or slow responses.
    pub bad: u32,
}

impl Sample {
    /// Excludes `bad` bad responses. A stalled endpoint or machine delays everything it has in
    /// flight, so these responses are not independent.
    fn without(self, bad: u32) -> Sample {
        Sample { total: self.total.saturating_sub(bad), bad: self.bad.saturating_sub(bad) }
    }
}

/// Evidence that the candidate is worse.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Regression {
    /// Responses of the candidate.
    pub candidate: Sample,
    /// Responses of the baseline.
    pub baseline: Sample,
    /// Log likelihood ratio.
    pub log_ratio: f64,
    /// Latency bucket from which responses counted as bad; `None` if only failures did.
    pub slow_bucket: Option<usize>,
}

/// Returns the first regression found in any time window, on any route.
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

/// Only uses time slots in which the baseline is a control. Otherwise, machines that slow down
/// after the shift would make the candidate look slow.
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

/// Tests whether the candidate's share of bad responses is significantly larger.
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
    // The null hypothesis: both groups have the same share.
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

/// Returns the log likelihood of `bad` bad responses out of `total` if this share is expected.
fn log_likelihood(bad: f64, total: f64, share: f64) -> f64 {
    let term = |n: f64, share: f64| if n > 0.0 { n * share.ln() } else { 0.0 };
    term(bad, share) + term(total - bad, 1.0 - share)
}
