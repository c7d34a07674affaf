//! Bounds on retries and on trusting an endpoint that fails.
//!
//! A retry budget keeps retries a fixed share of first attempts, so that an outage does not
//! multiply the load. A breaker stops sending to an endpoint that refuses, and lets one request
//! through at a growing interval. Ejection is bounded elsewhere: when every endpoint of a pool is
//! open, the one that opened first is used all the same.

use std::time::{Duration, Instant};

/// Retries allowed for each first attempt.
const RETRY_RATIO: f64 = 0.1;
/// Retries that may be saved up.
const MAX_BALANCE: f64 = 20.0;
/// Failures in a row that open a breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// First interval for which a breaker stays open.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);
/// Longest interval for which a breaker stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(16);

/// A share of first attempts that may be spent on retries.
///
/// ```
/// use oxbowbend_core::budget::RetryBudget;
/// let mut budget = RetryBudget::default();
/// let spent = (0..100).filter(|_| budget.try_withdraw()).count();
/// assert_eq!(spent, 20);
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_RATIO).min(MAX_BALANCE);
    }

    /// Takes one retry out of the budget, if it allows one.
    pub fn try_withdraw(&mut self) -> bool {
        // Ten deposits of a tenth must buy a whole retry in spite of rounding.
        const EPSILON: f64 = 1e-9;
        if self.balance + EPSILON < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Circuit breaker of one endpoint.
///
/// ```
/// use oxbowbend_core::budget::CircuitBreaker;
/// use std::time::{Duration, Instant};
/// let start = Instant::now();
/// let mut breaker = CircuitBreaker::default();
/// (0..3).for_each(|_| breaker.record_failure(start));
/// assert!(!breaker.allows(start));
/// assert!(breaker.allows(start + Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    consecutive_failures: u32,
    open_until: Option<Instant>,
}

impl CircuitBreaker {
    /// Notes a success and closes the breaker.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Notes a failure; several in a row open the breaker.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURE_THRESHOLD).min(5);
        let open_time = (INITIAL_OPEN_TIME * (1 << doublings)).min(MAX_OPEN_TIME);
        self.open_until = Some(now + open_time);
    }

    /// Whether a request may be sent. While the breaker is open only a probe at its end may.
    pub fn allows(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }
}
