//! Speed estimates of endpoints and detection of stragglers.
//!
//! Estimates are learned from the scheduler's own runs, since the endpoints' reports are stale.
//! They are exponentially weighted means of seconds per token; means of tokens per second would
//! underweight slow runs. An endpoint is compared with its own history rather than with other
//! endpoints to detect stragglers.

use std::time::{Duration, Instant};

use crate::message;

/// Weight of the newest run in the mean seconds per token.
const RATE_WEIGHT: f64 = 0.25;
/// Weight of the newest run in the baseline.
const BASELINE_WEIGHT: f64 = 0.01;
/// Multiple of the baseline above which a run makes its endpoint a straggler.
const STRAGGLER_RATIO: f64 = 2.5;
/// Minimum number of runs before an endpoint can be a straggler.
const MIN_RUNS: u32 = 5;
/// Time after which a straggler receives one request as a probe.
const PROBE_AFTER: Duration = Duration::from_secs(10);

/// The speed estimate of one endpoint.
///
/// ```
/// use oxbowbend_core::speed::SpeedEstimate;
/// let speed = SpeedEstimate::new(1000.0, 10.0);
/// assert_eq!(speed.predict_seconds(500, 20), 2.5);
/// ```
#[derive(Clone, Debug)]
pub struct SpeedEstimate {
    prefill_s_per_token: f64,
    decode_s_per_token: f64,
    baseline_ratio: f64,
    runs: u32,
    straggling_since: Option<Instant>,
    probing: bool,
}

impl SpeedEstimate {
    /// Creates an estimate from configured rates in tokens per second.
    pub fn new(prefill_rate: f64, decode_rate: f64) -> SpeedEstimate {
        let decode_s_per_token = 1.0 / decode_rate.max(f64::MIN_POSITIVE);
        let prefill_s_per_token = 1.0 / prefill_rate.max(f64::MIN_POSITIVE);
        let (baseline_ratio, runs) = (1.0, 0);
        SpeedEstimate {
            prefill_s_per_token,
            decode_s_per_token,
            baseline_ratio,
            runs,
            straggling_since: None,
            probing: false,
        }
    }

    /// Updates the estimate from a finished run.
    pub fn record_run(&mut self, now: Instant, report: &message::RunReport) {
        if report.outcome != message::RunOutcome::Complete {
            return;
        }
        let uncached = report.prompt_tokens.saturating_sub(report.cached_tokens);
        let expected = self.predict_seconds(uncached, report.output_tokens);
        let ratio = report.total_ms as f64 / 1000.0 / expected.max(1e-6);
        match report.first_token_ms {
            Some(first) => self.update_rates(report, uncached, first),
            None => self.scale_rates(ratio),
        }
        self.update_straggling(now, ratio);
    }

    fn update_rates(&mut self, report: &message::RunReport, uncached: u32, first: u64) {
        if uncached > 0 {
            update_mean(
                &mut self.prefill_s_per_token,
                first as f64 / 1000.0 / f64::from(uncached),
                RATE_WEIGHT,
            );
        }
        if report.output_tokens > 1 {
            let decode = report.total_ms.saturating_sub(first) as f64 / 1000.0;
            update_mean(
                &mut self.decode_s_per_token,
                decode / f64::from(report.output_tokens - 1),
                RATE_WEIGHT,
            );
        }
    }

    /// Scales both rates for a response that was not streamed, of which only the total time is
    /// known.
    fn scale_rates(&mut self, ratio: f64) {
        let factor = 1.0 + (ratio.clamp(0.1, 10.0) - 1.0) * RATE_WEIGHT;
        self.prefill_s_per_token *= factor;
        self.decode_s_per_token *= factor;
    }

    /// Updates the baseline, the long-term mean of actual to predicted time, and the straggler
    /// state. The rates adapt to a slowdown, so the ratio returns to 1 while the endpoint is still
    /// slow; the state is therefore entered at the onset and left with a probe of normal speed or a
    /// run faster than predicted.
    fn update_straggling(&mut self, now: Instant, ratio: f64) {
        self.runs += 1;
        update_mean(&mut self.baseline_ratio, ratio, BASELINE_WEIGHT);
        let slow = ratio > STRAGGLER_RATIO * self.baseline_ratio.max(1.0);
        if self.runs >= MIN_RUNS && slow {
            self.straggling_since = Some(now);
        } else if self.probing || ratio < 1.0 {
            self.straggling_since = None;
        }
        self.probing = false;
    }

    /// Returns the predicted seconds from dispatch to the last token.
    pub fn predict_seconds(&self, fresh_prompt_tokens: u32, output_tokens: u32) -> f64 {
        f64::from(fresh_prompt_tokens) * self.prefill_s_per_token
            + f64::from(output_tokens) * self.decode_s_per_token
    }

    /// Returns whether the endpoint should be avoided as a straggler. It is `false` for one request
    /// after a while, which the caller marks with [`SpeedEstimate::start_probe`].
    pub fn should_avoid(&self, now: Instant) -> bool {
        match self.straggling_since {
            None => false,
            Some(since) => self.probing || now.duration_since(since) < PROBE_AFTER,
        }
    }

    /// Marks the next run as the probe of a straggler.
    pub fn start_probe(&mut self) {
        self.probing = self.straggling_since.is_some();
    }
}

fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}
