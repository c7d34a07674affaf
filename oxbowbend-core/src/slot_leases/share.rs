//! The part of each endpoint's slots that an owner may grant.
//!
//! During a network partition, each side has an owner. Each of them grants the slots times the
//! share of the fleet that it hears, so that both together stay within the slots of an endpoint
//! with at least two. With more than two sides, the minimum of one slot per owner can exceed them.
//! The sides must be disjoint: two candidates that are cut off only from each other both hear
//! almost the whole fleet, and both grant almost all slots.
//!
//! A lower share applies at once, a higher one after [`RAISE_DELAY`]: when a partition ends, the
//! other owner steps down with the first probe that gets through, and what it granted until then
//! has been renewed here or has expired.

use std::time::{Duration, Instant};

use super::{LEASE, SILENCE_TIMEOUT};

/// Time from a higher share until it applies. Covers the loss of two probes and one lease.
pub(super) const RAISE_DELAY: Duration = SILENCE_TIMEOUT.saturating_add(LEASE);
/// Tolerance for rounding, so that two thirds of six slots are four.
const ROUNDING: f64 = 1e-9;

/// The share of the fleet that this instance hears, delayed when it rises.
#[derive(Clone, Debug)]
pub(super) struct VisibleShare {
    latest: f64,
    /// Earlier, lower shares, with the time at which they were replaced. The time is unknown until
    /// the next call of [`VisibleShare::advance`].
    replaced: Vec<(f64, Option<Instant>)>,
}

impl VisibleShare {
    pub(super) fn new() -> VisibleShare {
        VisibleShare { latest: 1.0, replaced: Vec::new() }
    }

    pub(super) fn set(&mut self, share: f64) {
        let share = share.clamp(0.0, 1.0);
        if share > self.latest {
            self.replaced.push((self.latest, None));
        }
        self.replaced.retain(|(earlier, _)| *earlier < share);
        self.latest = share;
    }

    pub(super) fn advance(&mut self, now: Instant) {
        self.replaced
            .retain_mut(|(_, replaced_at)| now < *replaced_at.get_or_insert(now) + RAISE_DELAY);
    }

    /// Returns when a higher share applies.
    pub(super) fn next_change(&self) -> Option<Instant> {
        self.replaced.iter().filter_map(|(_, at)| Some((*at)? + RAISE_DELAY)).min()
    }

    /// Returns the number of an endpoint's slots that may be granted.
    pub(super) fn of(&self, slots: u32) -> u32 {
        let share = self.replaced.iter().map(|(share, _)| *share).fold(self.latest, f64::min);
        let part = (f64::from(slots) * share + ROUNDING) as u32;
        part.max(slots.min(1))
    }
}
