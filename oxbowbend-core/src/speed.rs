//! Learned speed of an endpoint, and whether it straggles.
//!
//! Equal work does not finish in equal time, and reports arrive stale; what an endpoint did with
//! our own runs is the freshest evidence. TokenBuckets are kept as exponentially weighted means of
//! seconds per token, which, unlike means of tokens per second, weigh slow runs as much as they
//! cost. A straggler is judged against its own long history, not against other endpoints.

use std::time::{Duration, Instant};

use crate::message;

/// Weight of the newest run in the fast mean.
const RATE_WEIGHT: f64 = 0.25;
/// Weight of the newest run in the slow mean, the endpoint's history.
const BASELINE_WEIGHT: f64 = 0.01;
/// An endpoint straggles when its recent runs take this many times its history.
const STRAGGLER_RATIO: f64 = 2.5;
/// Runs that must have been seen before an endpoint can be called a straggler.
const MIN_RUNS: u32 = 5;
/// Time after which a straggler is given one request as a probe.
const PROBE_AFTER: Duration = Duration::from_secs(10);

/// Estimates for one endpoint.
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
    /// Starts from declared rates in tokens per second.
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

    /// Learns from a finished run.
    pub fn record_run(&mut self, now: Instant, report: &message::RunReport) {
        if report.end != message::RunEnd::Complete {
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

    /// An answer that came in one piece shows only the sum, so both phases are scaled alike.
    fn scale_rates(&mut self, ratio: f64) {
        let factor = 1.0 + (ratio.clamp(0.1, 10.0) - 1.0) * RATE_WEIGHT;
        self.prefill_s_per_token *= factor;
        self.decode_s_per_token *= factor;
    }

    /// `baseline_ratio` is the slow mean of (actual / predicted), carried along with the prediction: as
    /// the fast means adapt, the ratio falls back to 1, so the straggle is judged on onset and
    /// ended by a probe that meets the prediction made before it.
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

    /// Seconds that a run of this size takes from dispatch to the last token.
    pub fn predict_seconds(&self, fresh_prompt_tokens: u32, output_tokens: u32) -> f64 {
        f64::from(fresh_prompt_tokens) * self.prefill_s_per_token
            + f64::from(output_tokens) * self.decode_s_per_token
    }

    /// Whether the endpoint should be passed over. After a while it is let through once; the
    /// caller then says so with [`SpeedEstimate::start_probe`].
    pub fn should_avoid(&self, now: Instant) -> bool {
        match self.straggling_since {
            None => false,
            Some(since) => self.probing || now.duration_since(since) < PROBE_AFTER,
        }
    }

    /// Notes that a request was sent although the endpoint is a straggler.
    pub fn start_probe(&mut self) {
        self.probing = self.straggling_since.is_some();
    }
}

fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * weight;
}
