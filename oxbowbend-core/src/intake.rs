//! How many new connections of clients this instance takes.
//!
//! A balancer may send an instance many times its usual share of new connections. What the instance
//! reads beyond what its link and its processor bear delays everything it has read before: answers
//! miss their deadlines, and sound endpoints seem silent. A client whose connection closes before its
//! request was read tries another instance at once. So an instance that is near its limits takes
//! fewer new connections and closes the others unread.
//!
//! The link is measured by the bytes that pass the instance's sockets, against the bandwidth in its
//! settings. The processor is measured by the delay of its timers, which is the time that a task
//! waits for its turn.

use std::time::{Duration, Instant};

/// Fraction of the bandwidth that is used before a backlog counts: the rest is for TCP and IP headers,
/// retransmissions and bytes that are not measured.
const USABLE_SHARE: f64 = 0.8;
/// Backlog of the link, as the time that it takes to drain, at which fewer connections are taken: a
/// tenth to a sixth of the usual objectives for a first event.
const MAX_BACKLOG: Duration = Duration::from_millis(60);
/// Backlog below which more connections are taken.
const LOW_BACKLOG: Duration = Duration::from_millis(20);
/// Mean delay of timers at which fewer connections are taken. It is longer than the pauses of a
/// processor share that is enforced every 100 ms, as long as the share is not used up all the time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(60);
/// Mean delay of timers below which more connections are taken.
const LOW_TIMER_DELAY: Duration = Duration::from_millis(25);
/// Weight of a new sample in the mean delay.
const DELAY_WEIGHT: f64 = 0.2;
/// Time over which the rate of taken connections is measured.
const RATE_TIME: Duration = Duration::from_millis(300);
/// Fraction of the connections taken before at which a limit begins.
const FIRST_SHARE: f64 = 0.5;
/// Time between two changes of the limit: about what a request takes until its bytes have passed.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Factors on the limit while a bottleneck is over its threshold, and while none is near it.
const DECREASE: f64 = 0.8;
const INCREASE: f64 = 1.07;
/// Smallest limit in connections per second. A balancer, or an operator whose settings name too little
/// bandwidth, must not find an instance that is ready and takes none.
const MIN_RATE: f64 = 4.0;
/// Time without a closed connection after which the limit ends.
const RELEASE_TIME: Duration = Duration::from_millis(500);
/// Largest sample: a single one, after a suspension of the machine, must not limit the intake.
const MAX_DELAY_SAMPLE: Duration = Duration::from_millis(250);

/// What has passed since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
    /// New connections that were taken.
    pub taken: u64,
    /// New connections that were closed unread.
    pub closed: u64,
}

/// What limits an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Bottleneck {
    /// The link, in the direction to this instance.
    Receiving,
    /// The link, in the direction from this instance.
    Sending,
    /// The processor.
    Processor,
}

impl Bottleneck {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Bottleneck::Receiving => "receiving",
            Bottleneck::Sending => "sending",
            Bottleneck::Processor => "processor",
        }
    }
}

/// A limit that begins or ends, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IntakeChange {
    /// What limits the instance now; `None` if it takes all new connections again.
    pub bottleneck: Option<Bottleneck>,
    /// Time that the received backlog takes to drain.
    pub receiving: Duration,
    /// Time that the backlog to be sent takes to drain.
    pub sending: Duration,
    /// Mean delay of timers.
    pub timer_delay: Duration,
}

/// Bytes beyond the usable bandwidth in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    total: u64,
    bytes: f64,
}

impl Backlog {
    fn update(&mut self, total: u64, drained: f64) {
        let passed = total.saturating_sub(self.total) as f64;
        self.total = total;
        self.bytes = (self.bytes + passed - drained).max(0.0);
    }
}

/// A limit on new connections.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    adjusted_at: Instant,
    /// When a connection was last closed, or the limit began.
    closed_at: Instant,
}

/// Decides how many new connections an instance takes.
///
/// The limit follows the load: it falls by a fifth every 100 ms while a bottleneck is over its threshold
/// and rises slowly while none is near it, so that the time to measure a request's bytes does not
/// make it swing. It ends when no connection has been closed for half a second.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::intake::{Bottleneck, Intake, Totals};
///
/// let (start, tick) = (Instant::now(), Duration::from_millis(25));
/// // 10 Mbit/s; 40 KB in 25 ms are 12.8 Mbit/s.
/// let mut intake = Intake::new(start, Some(1_250_000));
/// let mut totals = Totals::default();
/// let changes: Vec<_> = (1..=20)
///     .filter_map(|n| {
///         totals.sent += 40_000;
///         totals.taken += 6;
///         intake.update(start + tick * n, Duration::ZERO, totals)
///     })
///     .collect();
/// assert_eq!(changes.len(), 1);
/// assert_eq!(changes[0].bottleneck, Some(Bottleneck::Sending));
/// assert!(intake.limit_per_s().is_some_and(|limit| limit < 240.0));
/// ```
#[derive(Clone, Debug)]
pub struct Intake {
    bytes_per_s: Option<f64>,
    updated_at: Instant,
    totals: Totals,
    received: Backlog,
    sent: Backlog,
    /// Mean delay of timers in seconds.
    timer_delay_s: f64,
    /// Connections taken per second.
    taken_per_s: f64,
    limit: Option<Limit>,
}

impl Intake {
    /// Creates one without a limit, for a link of `bytes_per_s` in each direction; `None` if its
    /// bandwidth is not known.
    pub fn new(now: Instant, bytes_per_s: Option<u64>) -> Intake {
        Intake {
            bytes_per_s: bytes_per_s.filter(|n| *n > 0).map(|n| n as f64),
            updated_at: now,
            totals: Totals::default(),
            received: Backlog::default(),
            sent: Backlog::default(),
            timer_delay_s: 0.0,
            taken_per_s: 0.0,
            limit: None,
        }
    }

    /// New connections to take per second; all if `None`.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }

    /// Whether there is neither a limit nor a backlog. Updates may then be rare.
    pub fn is_calm(&self) -> bool {
        self.limit.is_none() && self.received.bytes.max(self.sent.bytes) <= 0.0
    }

    /// Updates the measurements with the delay of the timer that led to this call and what has passed,
    /// and adjusts the limit. Returns a change if a limit begins or ends.
    pub fn update(
        &mut self,
        now: Instant,
        timer_delay: Duration,
        totals: Totals,
    ) -> Option<IntakeChange> {
        self.measure(now, timer_delay, totals);
        let is_closing = totals.closed > self.totals.closed;
        self.totals = totals;
        let over = self.bottleneck(MAX_BACKLOG, MAX_TIMER_DELAY);
        let is_calm = self.bottleneck(LOW_BACKLOG, LOW_TIMER_DELAY).is_none();
        let Some(mut limit) = self.limit else {
            let bottleneck = over?;
            let per_s = (self.taken_per_s * FIRST_SHARE).max(MIN_RATE);
            self.limit = Some(Limit { per_s, adjusted_at: now, closed_at: now });
            return Some(self.change(Some(bottleneck)));
        };
        if is_closing {
            limit.closed_at = now;
        }
        if is_calm && now.saturating_duration_since(limit.closed_at) >= RELEASE_TIME {
            self.limit = None;
            return Some(self.change(None));
        }
        if now.saturating_duration_since(limit.adjusted_at) >= ADJUST_INTERVAL {
            limit.adjusted_at = now;
            if over.is_some() {
                limit.per_s = (limit.per_s * DECREASE).max(MIN_RATE);
            } else if is_calm && is_closing {
                limit.per_s *= INCREASE;
            }
        }
        self.limit = Some(limit);
        None
    }

    fn measure(&mut self, now: Instant, timer_delay: Duration, totals: Totals) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let drained = self.usable_per_s() * elapsed;
        self.received.update(totals.received, drained);
        self.sent.update(totals.sent, drained);
        let sample = timer_delay.min(MAX_DELAY_SAMPLE).as_secs_f64();
        self.timer_delay_s += (sample - self.timer_delay_s) * DELAY_WEIGHT;
        let taken = totals.taken.saturating_sub(self.totals.taken) as f64;
        let kept = (-elapsed / RATE_TIME.as_secs_f64()).exp();
        self.taken_per_s = self.taken_per_s * kept + taken / RATE_TIME.as_secs_f64();
    }

    /// What is over a threshold.
    fn bottleneck(&self, backlog: Duration, timer_delay: Duration) -> Option<Bottleneck> {
        if self.drain_time(self.sent) > backlog {
            Some(Bottleneck::Sending)
        } else if self.drain_time(self.received) > backlog {
            Some(Bottleneck::Receiving)
        } else if self.timer_delay() > timer_delay {
            Some(Bottleneck::Processor)
        } else {
            None
        }
    }

    fn change(&self, bottleneck: Option<Bottleneck>) -> IntakeChange {
        IntakeChange {
            bottleneck,
            receiving: self.drain_time(self.received),
            sending: self.drain_time(self.sent),
            timer_delay: self.timer_delay(),
        }
    }

    fn usable_per_s(&self) -> f64 {
        self.bytes_per_s.map_or(f64::MAX, |n| n * USABLE_SHARE)
    }

    fn drain_time(&self, backlog: Backlog) -> Duration {
        Duration::from_secs_f64(backlog.bytes / self.usable_per_s())
    }

    /// Mean delay of timers.
    pub fn timer_delay(&self) -> Duration {
        Duration::from_secs_f64(self.timer_delay_s)
    }
}
