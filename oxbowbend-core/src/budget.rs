//! Retry budgets and circuit breakers.
//!
//! A retry budget limits retries to a fixed share of first attempts, so that an outage does not
//! multiply the load. A circuit breaker stops requests to a failing endpoint and lets one request
//! through as a probe at exponentially growing intervals. If the breakers of all endpoints of a
//! pool are open, the scheduler still uses the one that opened first.

use std::time::{Duration, Instant};

/// Retries earned by each first attempt.
const RETRY_RATIO: f64 = 0.1;
/// Upper bound of the accumulated retries.
const MAX_BALANCE: f64 = 20.0;
/// Consecutive failures that open a breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// Time for which a breaker stays open at first.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a breaker stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(16);

/// A budget of retries that grows with first attempts.
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
    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_RATIO).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns `false` if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        // Ten deposits of 0.1 must allow one retry despite rounding errors.
        const EPSILON: f64 = 1e-9;
        if self.balance + EPSILON < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// The circuit breaker of one endpoint.
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
    /// Records a success and closes the breaker.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records a failure; the breaker opens after several consecutive ones.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURE_THRESHOLD).min(5);
        let open_time = (INITIAL_OPEN_TIME * (1 << doublings)).min(MAX_OPEN_TIME);
        self.open_until = Some(now + open_time);
    }

    /// Returns whether a request may be sent, either because the breaker is closed or as a probe at
    /// the end of its open time.
    pub fn allows(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }
}
