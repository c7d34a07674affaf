//! The pace of reports to the other instances of a cell.
//!
//! An instance reports each change of its load, and its changes grow with the requests that it gets.
//! At an instance that gets most of a zone's connections, reports to 11 others filled a link of
//! 10 Mbit/s, and requests that it had read could not be sent on. So reports get a fixed part of the
//! link, with an allowance for short bursts. What changes meanwhile goes into the next report.

use std::time::{Duration, Instant};

/// Fraction of the link's bandwidth that reports may use for long.
const REPORT_SHARE: f64 = 0.3;
/// Time at that rate whose bytes may be sent at once: 20 to 40 reports, as many as a burst of
/// requests brings that is over before anything is late.
const BURST: Duration = Duration::from_millis(300);

/// Delays reports that would take more than their part of the link.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use oxbowbend_core::report_pacing::ReportPacer;
///
/// let now = Instant::now();
/// // 10 Mbit/s: reports may use 375 KB a second and 112.5 KB at once.
/// let mut pacer = ReportPacer::new(now, Some(1_250_000));
/// pacer.record_sent(now, 100_000);
/// assert_eq!(pacer.delay(now), Duration::ZERO);
/// pacer.record_sent(now, 50_000);
/// assert_eq!(pacer.delay(now), Duration::from_millis(100));
///
/// // Nothing is delayed on a link whose bandwidth is not known.
/// let mut pacer = ReportPacer::new(now, None);
/// pacer.record_sent(now, 1_000_000_000);
/// assert_eq!(pacer.delay(now), Duration::ZERO);
/// ```
#[derive(Clone, Debug)]
pub struct ReportPacer {
    /// Bytes per second that reports may use; `None` if the bandwidth is not known.
    bytes_per_s: Option<f64>,
    /// Time by which everything is sent at that rate.
    sent_until: Instant,
}

impl ReportPacer {
    /// Creates a pacer for a link of `link_bytes_per_s`; `None` if its bandwidth is not known.
    pub fn new(now: Instant, link_bytes_per_s: Option<u64>) -> ReportPacer {
        let known = link_bytes_per_s.filter(|n| *n > 0);
        ReportPacer { bytes_per_s: known.map(|n| n as f64 * REPORT_SHARE), sent_until: now }
    }

    /// Records the bytes of a report to all its recipients.
    pub fn record_sent(&mut self, now: Instant, bytes: usize) {
        let Some(bytes_per_s) = self.bytes_per_s else { return };
        let time = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        self.sent_until = self.sent_until.max(now) + time;
    }

    /// Time to wait before the next report.
    pub fn delay(&self, now: Instant) -> Duration {
        self.sent_until.saturating_duration_since(now).saturating_sub(BURST)
    }
}
