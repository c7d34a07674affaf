//! How an instance stays sure that it knows every change of a part of the store.
//!
//! A watch that waits says nothing, and so does one that nobody will ever answer: the store fell silent when
//! it was sent, its answer was lost, or its connection went silent while others work. An instance that
//! trusts a watch for as long as it may wait can apply an old configuration for all that time, and after an
//! outage all instances can be in that state together, so that none can tell the others.
//!
//! So knowledge has an age: the time since the store last said, to this instance or to one that knows the same,
//! that there is nothing newer. One instance, the first by name that the store answers, asks often enough to
//! keep that age below a bound, and its reports tell the others, whose own watches wait long and are
//! given up for three reasons: nobody has verified what this instance knows for too long (the next one by name
//! is the first to notice), another instance knows something newer that the watch should have told, or the
//! store takes too long. What follows is a watch that does not wait, so its answer or its absence is known at once.
//!
//! What was traded: two calls within six tenths of the time in which changes must be in force, for the whole
//! fleet. Having every instance ask as often would cost as many times more as there are instances; trusting the
//! renewals of leases would cost a tenth, but they are answered on connections of their own.

use std::time::{Duration, Instant};

/// Part of the time within which changes must be in force after which the verifier asks again. With the time
/// that an answer may take (two attempts, 1.5 s) what was lost in an outage is known 2.7 s after its end at the
/// latest, where that time is 2 s.
const VERIFY_SHARE: f64 = 0.6;
/// Time for which a watch waits that others need not rely on: the longest that the platform allows.
const LONG_POLL: Duration = Duration::from_secs(30);
/// Time that an answer may take beside the wait, for each attempt in a row. The store answers in 4 ms, and up to
/// a hundred times slower when it is slow; the last one is what it is given for good.
const ANSWER_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1000), Duration::from_millis(1500)];
/// Time after which the next instance by name verifies what the first one should have, and that of each further
/// one after it. Reports come every 130 ms.
const TAKEOVER_DELAY: Duration = Duration::from_millis(500);
const TAKEOVER_STEP: Duration = Duration::from_millis(100);
/// Time for which another instance must have known something newer before a watch is taken for dead. Changes
/// reach all instances within some 10 ms.
const MISMATCH_DELAY: Duration = Duration::from_millis(300);
/// First and longest time between two watches given up because another instance knows something else. What two
/// instances believe may differ for 1.7 s after an outage although both are up to date.
const MISMATCH_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// What an instance's watches are for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Role {
    /// Instances by name before this one that the store answers; without one this instance verifies.
    pub rank: u32,
    /// How often knowledge is verified.
    pub verify_interval: Duration,
}

impl Role {
    /// The role behind so many instances, where changes must be in force within that time.
    pub fn new(rank: usize, in_force: Duration) -> Role {
        Role {
            rank: rank.min(u32::MAX as usize) as u32,
            verify_interval: in_force.mul_f64(VERIFY_SHARE),
        }
    }

    /// Age from which knowledge is verified by this instance, whoever should have done so.
    fn max_age(&self) -> Duration {
        match self.rank {
            0 => self.verify_interval,
            rank => (self.verify_interval + TAKEOVER_DELAY + TAKEOVER_STEP * (rank - 1))
                .min(self.verify_interval * 2),
        }
    }
}

/// A watch to begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchParams {
    /// How long the store may wait for a change.
    pub wait: Duration,
    /// How long the answer may take, the wait included.
    pub timeout: Duration,
}

/// Why a watch was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelReason {
    /// Nobody has verified for too long that there is nothing newer.
    Unverified,
    /// Another instance knows something newer.
    Overtaken,
}

/// Why a watch has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchFailure {
    /// There was none in time. The watch may have been lost on its way while the store was well.
    Unanswered,
    /// The store refused, or the connection failed.
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
    /// When the store last told this instance all there was.
    verified_at: Option<Instant>,
    /// When it last told another one that knows the same.
    peer_verified_at: Option<Instant>,
    /// Attempts in a row without an answer.
    failures: usize,
    /// Whether the next watch must not wait.
    is_probe_due: bool,
    /// Since when another instance has known something newer.
    newer_elsewhere_since: Option<Instant>,
    /// For how long no watch is given up for that again.
    mismatch_backoff: Option<MismatchBackoff>,
}

/// A difference to another instance that outlasts an answer of the store is tolerated longer each time.
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
    /// Notes that everything was read anew.
    pub fn reset(&mut self, now: Instant) {
        *self = Subscription { verified_at: Some(now), ..Subscription::default() };
    }

    /// Begins a watch.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use oxbowbend_core::subscription::{WatchFailure, Role, Subscription};
    ///
    /// let now = Instant::now();
    /// let role = Role::new(0, Duration::from_secs(2));
    /// let mut subscription = Subscription::default();
    /// subscription.reset(now);
    /// assert_eq!(subscription.start_watch(now, role).wait, Duration::from_millis(1200));
    /// // An unanswered watch says nothing of the store yet; one that did not wait does.
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

    /// Notes an answer of the store.
    pub fn record_answer(&mut self, now: Instant) {
        self.pending = None;
        self.verified_at = Some(now);
        self.failures = 0;
        self.is_probe_due = false;
        self.newer_elsewhere_since = None;
    }

    /// Notes that a watch has failed; returns whether that means that the store is away.
    pub fn record_failure(&mut self, failure: WatchFailure) -> bool {
        let was_probe = self.pending.take().is_some_and(|p| p.wait == Duration::ZERO);
        self.is_probe_due = true;
        self.failures += 1;
        was_probe || failure == WatchFailure::Refused
    }

    /// Notes what another instance knows: whether it is the same, and when the store told it that there was
    /// nothing newer.
    pub fn record_peer(&mut self, now: Instant, verified_at: Instant, is_same: bool) {
        if is_same {
            self.peer_verified_at = self.peer_verified_at.max(Some(verified_at));
            self.newer_elsewhere_since = None;
            self.mismatch_backoff = None;
        } else if Some(verified_at) > self.verified_at.max(self.peer_verified_at) {
            self.newer_elsewhere_since.get_or_insert(now);
        }
    }

    /// Whether the watch that waits is to be given up, and why. The next one does not wait.
    pub fn check_cancel(&mut self, now: Instant, role: Role) -> Option<CancelReason> {
        let pending = self.pending?;
        // Such a one is answered, or fails, by its own limit.
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

    /// Time since the store told this instance that there was nothing newer, to tell others.
    pub fn own_age(&self, now: Instant) -> Option<Duration> {
        self.verified_at.map(|at| now.saturating_duration_since(at))
    }

    /// Time since the store told this instance, or one that knows the same, that there was nothing newer.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.verified_at.max(self.peer_verified_at).map(|at| now.saturating_duration_since(at))
    }
}
