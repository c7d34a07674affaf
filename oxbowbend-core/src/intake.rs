//! Whether this instance takes new connections of clients.
//!
//! A balancer may send an instance many times its usual share of new connections. What the instance
//! reads beyond what its link and its processor bear delays everything it has read before: answers
//! miss their deadlines, and sound endpoints seem silent. A client whose connection closes before its
//! request was read tries another instance at once. So an instance that is near its limits closes new
//! connections unread.
//!
//! The link is measured by the bytes that pass the instance's sockets, against the bandwidth in its
//! settings. The processor is measured by the delay of its timers, which is the time that a task
//! waits for its turn.

use std::time::{Duration, Instant};

/// Fraction of the bandwidth that is used before a backlog counts: the rest is for TCP and IP headers,
/// retransmissions and bytes that are not measured.
const USABLE_SHARE: f64 = 0.8;
/// Backlog of the link, as the time that it takes to drain, at which new connections are closed: a
/// tenth to a sixth of the usual objectives for a first event.
const MAX_BACKLOG: Duration = Duration::from_millis(60);
/// Backlog at which new connections are taken again.
const LOW_BACKLOG: Duration = Duration::from_millis(20);
/// Mean delay of timers at which new connections are closed. It is longer than the pauses of a
/// processor share that is enforced every 100 ms, as long as the share is not used up all the time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(60);
/// Mean delay of timers at which new connections are taken again.
const LOW_TIMER_DELAY: Duration = Duration::from_millis(25);
/// Weight of a new sample in the mean delay.
const DELAY_WEIGHT: f64 = 0.2;
/// Largest sample: a single one, after a suspension of the machine, must not close the intake.
const MAX_DELAY_SAMPLE: Duration = Duration::from_millis(250);

/// Bytes that have passed the link since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkTotals {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
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

/// A change of the intake, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IntakeChange {
    /// What limits the instance now; `None` if it takes new connections again.
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

/// Decides whether an instance takes new connections.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::intake::{Bottleneck, Intake, LinkTotals};
///
/// let (start, tick) = (Instant::now(), Duration::from_millis(25));
/// // 10 Mbit/s; 40 KB in 25 ms are 12.8 Mbit/s.
/// let mut intake = Intake::new(start, Some(1_250_000));
/// let mut totals = LinkTotals::default();
/// let changes: Vec<_> = (1..=20)
///     .filter_map(|n| {
///         totals.sent += 40_000;
///         intake.update(start + tick * n, Duration::ZERO, totals)
///     })
///     .collect();
/// assert_eq!(changes.len(), 1);
/// assert_eq!(changes[0].bottleneck, Some(Bottleneck::Sending));
/// assert!(!intake.is_open());
/// ```
#[derive(Clone, Debug)]
pub struct Intake {
    bytes_per_s: Option<f64>,
    updated_at: Instant,
    received: Backlog,
    sent: Backlog,
    /// Mean delay of timers in seconds.
    timer_delay_s: f64,
    bottleneck: Option<Bottleneck>,
}

impl Intake {
    /// Creates one that is open, for a link of `bytes_per_s` in each direction; `None` if its
    /// bandwidth is not known.
    pub fn new(now: Instant, bytes_per_s: Option<u64>) -> Intake {
        Intake {
            bytes_per_s: bytes_per_s.filter(|n| *n > 0).map(|n| n as f64),
            updated_at: now,
            received: Backlog::default(),
            sent: Backlog::default(),
            timer_delay_s: 0.0,
            bottleneck: None,
        }
    }

    /// Whether new connections are taken.
    pub fn is_open(&self) -> bool {
        self.bottleneck.is_none()
    }

    /// Whether neither backlog nor delay is left. Updates may then be rare.
    pub fn is_calm(&self) -> bool {
        self.is_open() && self.received.bytes.max(self.sent.bytes) <= 0.0
    }

    /// Updates the measurements with the delay of the timer that led to this call and the bytes that
    /// have passed the link. Returns a change, if there is one.
    pub fn update(
        &mut self,
        now: Instant,
        timer_delay: Duration,
        totals: LinkTotals,
    ) -> Option<IntakeChange> {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        let drained = self.usable_per_s() * elapsed.as_secs_f64();
        self.received.update(totals.received, drained);
        self.sent.update(totals.sent, drained);
        let sample = timer_delay.min(MAX_DELAY_SAMPLE).as_secs_f64();
        self.timer_delay_s += (sample - self.timer_delay_s) * DELAY_WEIGHT;
        let bottleneck = self.find_bottleneck();
        let is_changed = bottleneck.is_some() != self.bottleneck.is_some();
        self.bottleneck = bottleneck;
        is_changed.then(|| IntakeChange {
            bottleneck,
            receiving: self.drain_time(self.received),
            sending: self.drain_time(self.sent),
            timer_delay: self.timer_delay(),
        })
    }

    fn find_bottleneck(&self) -> Option<Bottleneck> {
        let (max_backlog, max_delay) = match self.is_open() {
            true => (MAX_BACKLOG, MAX_TIMER_DELAY),
            false => (LOW_BACKLOG, LOW_TIMER_DELAY),
        };
        if self.drain_time(self.sent) > max_backlog {
            Some(Bottleneck::Sending)
        } else if self.drain_time(self.received) > max_backlog {
            Some(Bottleneck::Receiving)
        } else if self.timer_delay() > max_delay {
            Some(Bottleneck::Processor)
        } else {
            None
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
