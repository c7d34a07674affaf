//! Bytes that pass the link of this machine.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};

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

/// A connection whose bytes are counted if there is a meter.
pub(super) struct Metered<S> {
    stream: S,
    meter: Option<Arc<LinkMeter>>,
}

impl<S> Metered<S> {
    pub(super) fn new(stream: S, meter: Option<Arc<LinkMeter>>) -> Metered<S> {
        Metered { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let (Poll::Ready(Ok(n)), Some(meter)) = (&read, &self.meter) {
            meter.add_received(*n);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let (Poll::Ready(Ok(n)), Some(meter)) = (&written, &self.meter) {
            meter.add_sent(*n);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
