//! The expected time that requests occupy a slot, measured for each service.
//!
//! The estimates of [`super::order::generation_time`] assume a fixed ratio between the time of an
//! output token and that of a prompt token. Known engines differ by a factor of 2.4 in this ratio,
//! and callers' estimates of the output are often far off. A floor that is computed from them would
//! be wrong by the same factor for ranks with long outputs. This module measures the time of an
//! output token instead: the time for which requests of this instance occupied slots, less the
//! expected time of their prompts, divided by their expected output.

use std::time::{Duration, Instant};

/// Time over which measurements are averaged. It covers several requests of the longest kind.
const AVERAGING_TIME: Duration = Duration::from_secs(30);
/// Time before the first measurement is used: slots are occupied only after a request has been
/// counted, and requests of the longest kind take a second.
const MIN_MEASURED_TIME: Duration = Duration::from_secs(5);
/// Bounds of the measured time of an output token, as multiples of the default.
const BOUNDS: (f64, f64) = (0.25, 2.0);

/// Occupied slots and expected work of one service at this instance.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::cell::SlotUsage;
///
/// let (start, default) = (Instant::now(), Duration::from_millis(7));
/// let mut usage = SlotUsage::new(start);
/// // One request after the other occupies a slot for 0.6 s: 0.1 s for its prompt, and 100 tokens.
/// let mut running = 0;
/// for n in 0..20 {
///     let now = start + Duration::from_millis(600) * n;
///     usage.record_begun(now, running, Duration::from_millis(100), 100);
///     running = 1;
/// }
/// let token = usage.output_token_time(start + Duration::from_secs(12), default);
/// assert!(token > Duration::from_micros(4500) && token < Duration::from_micros(5500));
/// ```
#[derive(Clone, Debug)]
pub struct SlotUsage {
    started_at: Instant,
    updated_at: Instant,
    /// Decaying sums: seconds for which slots were occupied, expected seconds of prompts, and
    /// expected output tokens.
    occupied_s: f64,
    prompt_s: f64,
    output_tokens: f64,
}

impl SlotUsage {
    /// Creates a measurement without requests.
    pub fn new(now: Instant) -> SlotUsage {
        SlotUsage {
            started_at: now,
            updated_at: now,
            occupied_s: 0.0,
            prompt_s: 0.0,
            output_tokens: 0.0,
        }
    }

    /// Records that a request got a slot while `running` others of this instance occupied one.
    /// `prompt_time` and `output_tokens` are what it is expected to need.
    pub fn record_begun(
        &mut self,
        now: Instant,
        running: u32,
        prompt_time: Duration,
        output_tokens: u32,
    ) {
        self.advance(now, running);
        self.prompt_s += prompt_time.as_secs_f64();
        self.output_tokens += f64::from(output_tokens);
    }

    /// Records that a request ended; `running` includes it.
    pub fn record_ended(&mut self, now: Instant, running: u32) {
        self.advance(now, running);
    }

    /// Returns the measured time of an output token, or `default` if there are too few requests.
    pub fn output_token_time(&self, now: Instant, default: Duration) -> Duration {
        let is_new = now.saturating_duration_since(self.started_at) < MIN_MEASURED_TIME;
        if is_new || self.output_tokens < 1.0 {
            return default;
        }
        let token_s = (self.occupied_s - self.prompt_s) / self.output_tokens;
        let default_s = default.as_secs_f64();
        Duration::from_secs_f64(token_s.clamp(default_s * BOUNDS.0, default_s * BOUNDS.1))
    }

    fn advance(&mut self, now: Instant, running: u32) {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now.max(self.updated_at);
        let kept = (-elapsed_s / AVERAGING_TIME.as_secs_f64()).exp();
        for sum in [&mut self.occupied_s, &mut self.prompt_s, &mut self.output_tokens] {
            *sum *= kept;
        }
        self.occupied_s += elapsed_s * f64::from(running);
    }
}
