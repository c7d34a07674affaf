//! Detects stale watches of a part of the store.
//!
//! A watch without changes looks the same as one whose request or answer was lost, so an instance
//! that trusts a watch for as long as it may block can apply an outdated configuration for all that
//! time. After an outage, all instances can be in this state at once.
//!
//! Therefore the store's state has an age: the time since the store last confirmed, to this
//! instance or to another one with the same state, that nothing newer exists. The verifier, the
//! first instance by name that can reach the store, polls often enough to bound that age and shares
//! it through its reports. Other instances use long polls and cancel them when
//!
//! - the state was not verified for too long, in which case the next instance by name is the first
//!   to take over,
//! - another instance has a newer state that the watch should have delivered, or
//! - the store does not answer in time.
//!
//! A cancelled watch is followed by one that does not block, so that a failure is noticed at once.
//! The whole fleet makes about one verifying call for each part of the store per
//! [`Role::verify_interval`], independent of its size. Lease renewals cannot replace these calls,
//! because they use connections of their own.

use std::time::{Duration, Instant};

/// Fraction of the time within which changes must be in force after which the verifier polls again.
/// Allowing two attempts for an answer (1.5 s), a change lost in an outage is noticed within 2.7 s
/// of its end if that time is 2 s.
const VERIFY_SHARE: f64 = 0.6;
/// Time for which a watch blocks at instances that are not the verifier: the maximum that the
/// platform allows.
const LONG_POLL: Duration = Duration::from_secs(30);
/// Time to wait for an answer beyond the blocking time, by the number of preceding failures.
const ANSWER_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1000), Duration::from_millis(1500)];
/// Delay after which the next instance by name verifies in place of the verifier, and additional
/// delay of each further instance. Several times the report interval of 130 ms.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
const TAKEOVER_STEP: Duration = Duration::from_millis(100);
/// Time for which another instance must have had a newer state before a watch is considered lost.
/// Changes normally reach all instances within some 10 ms.
const MISMATCH_DELAY: Duration = Duration::from_millis(300);
/// Minimum time between two watches cancelled because of another instance's state: initial and
/// maximum. The states of two up-to-date instances can differ for 1.7 s after an outage.
const MISMATCH_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// How an instance watches the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Role {
    /// Number of instances preceding this one by name that can reach the store. The instance with
    /// rank 0 is the verifier.
    pub rank: u32,
    /// Interval at which the state is verified.
    pub verify_interval: Duration,
}

impl Role {
    /// Creates the role of the instance with this rank, where changes must be in force within
    /// `in_force`.
    pub fn new(rank: usize, in_force: Duration) -> Role {
        Role {
            rank: rank.min(u32::MAX as usize) as u32,
            verify_interval: in_force.mul_f64(VERIFY_SHARE),
        }
    }

    /// Age of the state at which this instance verifies it.
    fn max_age(&self) -> Duration {
        match self.rank {
            0 => self.verify_interval,
            rank => (self.verify_interval + TAKEOVER_DELAY + TAKEOVER_STEP * (rank - 1))
                .min(self.verify_interval * 2),
        }
    }
}

/// Parameters of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchParams {
    /// How long the store may block until there is a change.
    pub wait: Duration,
    /// How long the answer may take, including `wait`.
    pub timeout: Duration,
}

/// Why a watch was cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelReason {
    /// The state was not verified for too long.
    Unverified,
    /// Another instance has a newer state.
    Overtaken,
}

/// Why a watch failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchFailure {
    /// There was no answer in time. The watch may have been lost while the store is available.
    Unanswered,
    /// The store refused the call, or the connection failed.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct PendingWatch {
    started_at: Instant,
    wait: Duration,
}

/// State of the watch of one part of the store.
#[derive(Clone, Debug, Default)]
pub struct Subscription {
    pending: Option<PendingWatch>,
    /// When the store last confirmed the state to this instance.
    verified_at: Option<Instant>,
    /// When the store last confirmed the state to another instance that has the same one.
    peer_verified_at: Option<Instant>,
    /// Consecutive failures.
    failures: usize,
    /// Whether the next watch must not block.
    is_probe_due: bool,
    /// Since when another instance has had a newer state.
    newer_elsewhere_since: Option<Instant>,
    /// Limits cancellations because of another instance's state.
    mismatch_backoff: Option<MismatchBackoff>,
}

/// Grows while a difference to another instance persists although the store has answered.
#[derive(Clone, Copy, Debug)]
struct MismatchBackoff {
    until: Instant,
    next: Duration,
}

impl MismatchBackoff {
    fn following(now: Instant, last: Option<MismatchBackoff>) -> MismatchBackoff {
        let pause = last.map_or(MISMATCH_PAUSES.0, |b| b.next);
        MismatchBackoff { until: now + pause, next: (pause * 2).min(MISMATCH_PAUSES.1) }
    }
}

impl Subscription {
    /// Records that the whole state was read again.
    pub fn reset(&mut self, now: Instant) {
        *self = Subscription { verified_at: Some(now), ..Subscription::default() };
    }

    /// Starts a watch.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use oxbowbend_core::subscription::{Role, Subscription, WatchFailure};
    ///
    /// let now = Instant::now();
    /// let role = Role::new(0, Duration::from_secs(2));
    /// let mut subscription = Subscription::default();
    /// subscription.reset(now);
    /// assert_eq!(subscription.start_watch(now, role).wait, Duration::from_millis(1200));
    /// // An unanswered watch does not mean that the store is unavailable, unless it did not block.
    /// assert!(!subscription.record_failure(WatchFailure::Unanswered));
    /// assert_eq!(subscription.start_watch(now, role).wait, Duration::ZERO);
    /// assert!(subscription.record_failure(WatchFailure::Unanswered));
    /// ```
    pub fn start_watch(&mut self, now: Instant, role: Role) -> WatchParams {
        let wait = match role.rank {
            _ if self.is_probe_due => Duration::ZERO,
            0 => role.verify_interval.saturating_sub(self.own_age(now).unwrap_or(Duration::ZERO)),
            _ => LONG_POLL,
        };
        self.pending = Some(PendingWatch { started_at: now, wait });
        self.newer_elsewhere_since = None;
        WatchParams {
            wait,
            timeout: wait + ANSWER_TIMEOUTS[self.failures.min(ANSWER_TIMEOUTS.len() - 1)],
        }
    }

    /// Records an answer of the store.
    pub fn record_answer(&mut self, now: Instant) {
        self.pending = None;
        self.verified_at = Some(now);
        self.failures = 0;
        self.is_probe_due = false;
        self.newer_elsewhere_since = None;
    }

    /// Records a failed watch. Returns whether the store is unavailable.
    pub fn record_failure(&mut self, failure: WatchFailure) -> bool {
        let was_probe = self.pending.take().is_some_and(|p| p.wait == Duration::ZERO);
        self.is_probe_due = true;
        self.failures += 1;
        was_probe || failure == WatchFailure::Refused
    }

    /// Records the state of another instance: whether it is the same, and when the store last
    /// confirmed it.
    pub fn record_peer(&mut self, now: Instant, verified_at: Instant, is_same: bool) {
        if is_same {
            self.peer_verified_at = self.peer_verified_at.max(Some(verified_at));
            self.newer_elsewhere_since = None;
            self.mismatch_backoff = None;
        } else if Some(verified_at) > self.verified_at.max(self.peer_verified_at) {
            self.newer_elsewhere_since.get_or_insert(now);
        }
    }

    /// Returns why the current watch must be cancelled, if it must. The next watch does not block.
    pub fn check_cancel(&mut self, now: Instant, role: Role) -> Option<CancelReason> {
        let pending = self.pending?;
        // A short watch ends by its own timeout.
        if pending.wait <= role.verify_interval {
            return None;
        }
        let reason = if self.has_missed_change(now, pending) {
            self.mismatch_backoff = Some(MismatchBackoff::following(now, self.mismatch_backoff));
            CancelReason::Overtaken
        } else if self.age(now).is_none_or(|age| age >= role.max_age()) {
            CancelReason::Unverified
        } else {
            return None;
        };
        self.pending = None;
        self.is_probe_due = true;
        Some(reason)
    }

    fn has_missed_change(&self, now: Instant, pending: PendingWatch) -> bool {
        let is_overdue = |since: Instant| {
            since >= pending.started_at && now.duration_since(since) >= MISMATCH_DELAY
        };
        self.newer_elsewhere_since.is_some_and(is_overdue)
            && self.mismatch_backoff.is_none_or(|b| now >= b.until)
    }

    /// Time since the store last confirmed the state to this instance.
    pub fn own_age(&self, now: Instant) -> Option<Duration> {
        self.verified_at.map(|at| now.saturating_duration_since(at))
    }

    /// Time since the store last confirmed the state to this instance or to another one with the
    /// same state.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.verified_at.max(self.peer_verified_at).map(|at| now.saturating_duration_since(at))
    }
}
