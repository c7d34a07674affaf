//! Policies that select an endpoint for a request.
//!
//! The scheduler uses [`EarliestFinish`], which selects the endpoint with the earliest predicted
//! completion, taking cached prompt tokens into account. The other policies are baselines for the
//! experiment tool.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// An endpoint with a free slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Index in the pool's list of endpoints.
    pub index: usize,
    /// Predicted seconds from dispatch to the last token.
    pub predicted_seconds: f64,
    /// Outstanding requests that the scheduler granted to the endpoint.
    pub outstanding: u32,
    /// Running requests according to the endpoint's last report, which may be stale.
    pub reported_running: u32,
    /// Whether the endpoint is a straggler, to be selected only if there is no other.
    pub avoid: bool,
}

/// A policy that selects one of the candidates.
pub trait SelectionPolicy {
    /// Returns the position of the selected endpoint in `candidates`, or `None` if it is empty.
    fn select(&mut self, candidates: &[Candidate]) -> Option<usize>;
}

/// Earliest predicted completion, with stragglers last.
///
/// ```
/// use oxbowbend_core::selection::{Candidate, EarliestFinish, SelectionPolicy};
/// let c = |index, predicted_seconds, avoid| Candidate {
///     index,
///     predicted_seconds,
///     outstanding: 0,
///     reported_running: 0,
///     avoid,
/// };
/// let candidates = [c(0, 3.0, false), c(1, 1.0, true), c(2, 2.0, false)];
/// assert_eq!(EarliestFinish.select(&candidates), Some(2));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EarliestFinish;

impl SelectionPolicy for EarliestFinish {
    fn select(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let key = |c: &Candidate| (c.avoid, c.predicted_seconds, c.outstanding);
        min_position(candidates, |a, b| {
            let ((x, s, n), (y, t, m)) = (key(a), key(b));
            x.cmp(&y).then(s.total_cmp(&t)).then(n.cmp(&m))
        })
    }
}

/// Baseline: fewest outstanding requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl SelectionPolicy for LeastOutstanding {
    fn select(&mut self, candidates: &[Candidate]) -> Option<usize> {
        min_position(candidates, |a, b| a.outstanding.cmp(&b.outstanding))
    }
}

/// Baseline: endpoints in rotation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    last: Option<usize>,
}

impl SelectionPolicy for RoundRobin {
    fn select(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let after = candidates.iter().position(|c| Some(c.index) > self.last);
        let chosen = after.or(if candidates.is_empty() { None } else { Some(0) })?;
        self.last = Some(candidates[chosen].index);
        Some(chosen)
    }
}

/// Baseline: uniformly random.
#[derive(Clone, Debug)]
pub struct Random(Pcg32);

impl Random {
    /// Creates the policy from a seed.
    pub fn new(seed: u64) -> Random {
        Random(Pcg32::seed_from_u64(seed))
    }
}

impl SelectionPolicy for Random {
    fn select(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(self.0.random_range(0..candidates.len()))
    }
}

/// Baseline: the less loaded of two random endpoints according to their last reports.
#[derive(Clone, Debug)]
pub struct PowerOfTwoChoices(Pcg32);

impl PowerOfTwoChoices {
    /// Creates the policy from a seed.
    pub fn new(seed: u64) -> PowerOfTwoChoices {
        PowerOfTwoChoices(Pcg32::seed_from_u64(seed))
    }
}

impl SelectionPolicy for PowerOfTwoChoices {
    fn select(&mut self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let a = self.0.random_range(0..candidates.len());
        let b = self.0.random_range(0..candidates.len());
        Some(if candidates[b].reported_running < candidates[a].reported_running { b } else { a })
    }
}

fn min_position(
    candidates: &[Candidate],
    compare: impl Fn(&Candidate, &Candidate) -> std::cmp::Ordering,
) -> Option<usize> {
    let (at, _) = candidates.iter().enumerate().min_by(|a, b| compare(a.1, b.1))?;
    Some(at)
}
