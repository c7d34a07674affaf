//! Bounds what is read of an answer before its head is complete.
//!
//! The library bounds the head itself, but skips interim answers, of which a faulty endpoint may
//! send any number.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};

use super::pool::MAX_BUFFER;

/// Bytes of interim answers and of the head together. The library may read as much again of the body
/// before the caller learns of the head, and once more ahead. Thousands of interim answers would take
/// a small machine's processor.
const MAX_BYTES: usize = 3 * MAX_BUFFER;

/// Bytes that may still be read of a connection; clones share them.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit {
    left: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> HeadLimit {
        HeadLimit { left: Arc::new(AtomicUsize::new(MAX_BYTES)) }
    }
}

impl HeadLimit {
    /// An answer is awaited from now on.
    pub(super) fn start(&self) {
        self.left.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// The head is complete; the body has bounds of its own.
    pub(super) fn end(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    fn is_exhausted(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn record_read(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connection that fails beyond the limit.
pub(super) struct HeadLimited<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> HeadLimited<S> {
    pub(super) fn new(stream: S, limit: HeadLimit) -> HeadLimited<S> {
        HeadLimited { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.limit.is_exhausted() {
            let error = format!("no complete head in {MAX_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = &read {
            self.limit.record_read(*n);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
