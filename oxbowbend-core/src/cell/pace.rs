//! Estimates of the time to the first event at an endpoint.
//!
//! The estimate is the time per unit of work, where a request has one unit for each token of its
//! prompt and [`FIXED_WORK_UNITS`] for everything else. Instances report their estimates with the
//! number of samples to each other, so that a restarted instance does not begin from nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::EndpointKey;

/// Units of work of a request besides its prompt: the fixed cost of a first event, in prompt
/// tokens.
pub const FIXED_WORK_UNITS: u32 = 300;
/// Weight of a new sample in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.2;
/// Highest estimate that is believed of another instance: a second for a token, where engines take less than a
/// hundredth. The times of the longest prompts and answers remain far below what a `Duration` holds.
const MAX_NS_PER_UNIT: u64 = 1_000_000_000;
/// Maximum weight of an estimate when combined with others.
const MAX_SAMPLES: u32 = 20;

/// Factor by which an estimate must differ from the persisted one to be persisted again. Estimates of
/// an unchanged endpoint vary by less, and each change costs a call to the store.
const PERSISTED_RATIO: f64 = 1.5;

/// The estimates that were persisted last.
#[derive(Clone, Debug, Default)]
pub(super) struct PersistedPaces(BTreeMap<EndpointKey, u64>);

impl PersistedPaces {
    /// Takes over estimates that are new or differ much, and drops those that are unknown now.
    pub(super) fn update(&mut self, known: Vec<(EndpointKey, u64)>) -> Vec<(EndpointKey, u64)> {
        let previous = std::mem::take(&mut self.0);
        let is_near = |old: u64, new: u64| {
            let (old, new) = (old.max(1) as f64, new.max(1) as f64);
            old.max(new) <= old.min(new) * PERSISTED_RATIO
        };
        let kept = |(key, new): (EndpointKey, u64)| {
            let old = previous.get(&key).copied().filter(|old| is_near(*old, new));
            (key, old.unwrap_or(new))
        };
        self.0 = known.into_iter().map(kept).collect();
        self.0.iter().map(|(key, ns)| (*key, *ns)).collect()
    }
}

/// Exponentially weighted moving average of one instance's measurements at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    ns_per_unit: f64,
    samples: u32,
}

impl LatencyEstimate {
    /// Restores an estimate from a report of another instance.
    pub fn from_report(ns_per_unit: u64, samples: u32) -> LatencyEstimate {
        let ns_per_unit = ns_per_unit.min(MAX_NS_PER_UNIT) as f64;
        LatencyEstimate { ns_per_unit, samples: samples.min(MAX_SAMPLES) }
    }

    /// Adds a sample: the time to the first event of a request with `prompt` tokens to read.
    pub fn record(&mut self, prompt: u32, first: Duration) {
        let ns_per_unit =
            first.as_nanos() as f64 / (f64::from(prompt) + f64::from(FIXED_WORK_UNITS));
        self.ns_per_unit = if self.samples == 0 {
            ns_per_unit
        } else {
            self.ns_per_unit + EWMA_WEIGHT * (ns_per_unit - self.ns_per_unit)
        };
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
    }

    /// Returns the nanoseconds per unit and the number of samples.
    pub fn as_parts(self) -> (u64, u32) {
        (self.ns_per_unit as u64, self.samples)
    }

    /// Combines estimates, weighted by their samples; `None` if there are no samples.
    pub fn weighted_mean(estimates: impl IntoIterator<Item = LatencyEstimate>) -> Option<f64> {
        let (mut sum, mut n) = (0.0, 0.0);
        for estimate in estimates {
            sum += estimate.ns_per_unit * f64::from(estimate.samples);
            n += f64::from(estimate.samples);
        }
        (n > 0.0).then(|| sum / n)
    }
}
