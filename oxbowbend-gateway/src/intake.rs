//! Measurement of what this instance's link and processor bear, for [`oxbowbend_core::intake`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use oxbowbend_core::intake::{Intake, Totals};
use oxbowbend_http::h1;

use crate::observe;

/// Time between two lines about a loaded instance.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the link's bandwidth, and mean delay of timers, from which lines are written.
const LOGGED_LINK_SHARE: f64 = 0.5;
const LOGGED_TIMER_DELAY: Duration = Duration::from_millis(25);

/// Watches the link and the processor of this instance.
pub(crate) struct LoadWatch {
    intake: Intake,
    meter: Arc<h1::LinkMeter>,
    /// Of the connections of callers.
    gate: Arc<h1::ConnectionGate>,
    bytes_per_s: Option<u64>,
    logged_at: Instant,
    logged: Totals,
    logged_reports: u64,
}

impl LoadWatch {
    pub(crate) fn new(
        now: Instant,
        bytes_per_s: Option<u64>,
        meter: Arc<h1::LinkMeter>,
        gate: Arc<h1::ConnectionGate>,
    ) -> LoadWatch {
        LoadWatch {
            intake: Intake::new(now, bytes_per_s),
            meter,
            gate,
            bytes_per_s,
            logged_at: now,
            logged: Totals::default(),
            logged_reports: 0,
        }
    }

    /// Whether updates may be rare.
    pub(crate) fn is_calm(&self) -> bool {
        self.intake.is_calm()
    }

    /// Takes a measurement, at a timer that was due `timer_delay` ago, and sets how many connections
    /// are taken. Returns whether they are limited.
    pub(crate) fn update(&mut self, now: Instant, timer_delay: Duration) -> bool {
        let counts = self.gate.counts();
        let totals = Totals {
            received: self.meter.received(),
            sent: self.meter.sent(),
            taken: counts.taken,
            closed: counts.closed,
        };
        if let Some(change) = self.intake.update(now, timer_delay, totals) {
            log::warn!(
                "event=intake is_limited={} bottleneck={} receiving_ms={} sending_ms={} \
                 timer_delay_ms={} closed={}",
                change.bottleneck.is_some(),
                change.bottleneck.map_or("-", |bottleneck| bottleneck.name()),
                change.receiving.as_millis(),
                change.sending.as_millis(),
                change.timer_delay.as_millis(),
                totals.closed
            );
        }
        self.gate.set_limit(self.intake.limit_per_s());
        self.log_load(now, totals);
        self.intake.limit_per_s().is_some()
    }

    /// Shows the load, and logs it if it is high.
    fn log_load(&mut self, now: Instant, totals: Totals) {
        let elapsed = now.saturating_duration_since(self.logged_at);
        if elapsed < LOG_INTERVAL {
            return;
        }
        let per_s = |bytes: u64| (bytes as f64 / elapsed.as_secs_f64()) as u64;
        let received = per_s(totals.received - self.logged.received);
        let sent = per_s(totals.sent - self.logged.sent);
        let reports = per_s(self.meter.reports_sent() - self.logged_reports);
        (self.logged_at, self.logged) = (now, totals);
        self.logged_reports = self.meter.reports_sent();
        let timer_delay = self.intake.timer_delay();
        observe::load(received, sent, timer_delay);
        observe::connections_closed(totals.closed);
        let is_link_loaded = self
            .bytes_per_s
            .is_some_and(|limit| received.max(sent) as f64 > limit as f64 * LOGGED_LINK_SHARE);
        if is_link_loaded || timer_delay > LOGGED_TIMER_DELAY {
            log::info!(
                "event=load received_per_s={received} sent_per_s={sent} reports_per_s={reports} \
                 link_per_s={} timer_delay_ms={} limit_per_s={:.0} closed={}",
                self.bytes_per_s.unwrap_or(0),
                timer_delay.as_millis(),
                self.intake.limit_per_s().unwrap_or(0.0),
                totals.closed
            );
        }
    }
}
