//! Bytes that pass the link of this machine.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::Poll;

use super::observed::Observer;

/// Counters of the bytes read from and written to sockets, without the headers of TCP and IP.
///
/// ```
/// use oxbowbend_http::h1::LinkMeter;
///
/// let meter = LinkMeter::default();
/// meter.add_sent(1200);
/// assert_eq!((meter.received(), meter.sent()), (0, 1200));
/// ```
#[derive(Debug, Default)]
pub struct LinkMeter {
    received: AtomicU64,
    sent: AtomicU64,
    reports_sent: AtomicU64,
}

impl LinkMeter {
    /// Counts received bytes.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts sent bytes.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts sent bytes of reports to other instances, which [`LinkMeter::add_sent`] counts too.
    pub fn add_report_sent(&self, bytes: usize) {
        self.reports_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// The part of them that were reports.
    pub fn reports_sent(&self) -> u64 {
        self.reports_sent.load(Ordering::Relaxed)
    }
}

impl Observer for Arc<LinkMeter> {
    fn after_read(&mut self, bytes: usize) -> io::Result<()> {
        self.add_received(bytes);
        Ok(())
    }

    fn after_write(&mut self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(n)) = written {
            self.add_sent(*n);
        }
    }
}
