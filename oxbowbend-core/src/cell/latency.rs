//! How fast an endpoint gets to its first event, learned from the requests sent to it.
//!
//! The work of a request is told in units: the tokens of its prompt and a fixed number for all
//! else. What is learned is the time for one unit. Instances tell each other their measurements
//! and the number of them, so that a restarted one starts with the others' experience.

use std::time::Duration;

/// Units of work of a request beside its prompt. On the users' engines a first event costs about
/// as much as reading 300 tokens.
pub const FIXED_WORK_UNITS: u32 = 300;
/// Weight of a new measurement.
const EWMA_WEIGHT: f64 = 0.2;
/// Measurements beyond which more add no confidence.
const MAX_SAMPLES: u32 = 20;

/// What one instance has measured at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    ns_per_unit: f64,
    samples: u32,
}

impl LatencyEstimate {
    /// What another instance reports.
    pub fn from_report(ns_per_unit: u64, samples: u32) -> LatencyEstimate {
        LatencyEstimate { ns_per_unit: ns_per_unit as f64, samples: samples.min(MAX_SAMPLES) }
    }

    /// Takes a measurement.
    pub fn record(&mut self, prompt: u32, first: Duration) {
        let ns_per_unit = first.as_nanos() as f64 / f64::from(prompt + FIXED_WORK_UNITS);
        self.ns_per_unit = if self.samples == 0 {
            ns_per_unit
        } else {
            self.ns_per_unit + EWMA_WEIGHT * (ns_per_unit - self.ns_per_unit)
        };
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
    }

    /// Nanoseconds for a unit, and the measurements behind that.
    pub fn as_parts(self) -> (u64, u32) {
        (self.ns_per_unit as u64, self.samples)
    }

    /// All measurements together; none if there are none.
    pub fn weighted_mean(estimates: impl IntoIterator<Item = LatencyEstimate>) -> Option<f64> {
        let (mut sum, mut n) = (0.0, 0.0);
        for estimate in estimates {
            sum += estimate.ns_per_unit * f64::from(estimate.samples);
            n += f64::from(estimate.samples);
        }
        (n > 0.0).then(|| sum / n)
    }
}
