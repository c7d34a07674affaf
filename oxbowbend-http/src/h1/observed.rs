//! A connection that tells an observer what passes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};

/// What is told of a connection.
pub(super) trait Observer {
    /// Something is about to be read. An error is what the reader gets instead.
    fn before_read(&mut self) -> io::Result<()> {
        Ok(())
    }

    /// So many bytes were read, 0 at the end. An error is what the reader gets instead.
    fn after_read(&mut self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }

    /// So many bytes were written, or writing has to wait or has failed.
    fn after_write(&mut self, _written: &Poll<io::Result<usize>>) {}

    /// All that was written before is out, or cannot be.
    fn after_flush(&mut self) {}
}

impl<O: Observer> Observer for Option<O> {
    fn before_read(&mut self) -> io::Result<()> {
        self.as_mut().map_or(Ok(()), O::before_read)
    }

    fn after_read(&mut self, bytes: usize) -> io::Result<()> {
        self.as_mut().map_or(Ok(()), |observer| observer.after_read(bytes))
    }

    fn after_write(&mut self, written: &Poll<io::Result<usize>>) {
        if let Some(observer) = self {
            observer.after_write(written);
        }
    }

    fn after_flush(&mut self) {
        if let Some(observer) = self {
            observer.after_flush();
        }
    }
}

/// A stream with an observer.
pub(super) struct Observed<S, O> {
    stream: S,
    observer: O,
}

impl<S, O> Observed<S, O> {
    pub(super) fn new(stream: S, observer: O) -> Observed<S, O> {
        Observed { stream, observer }
    }
}

impl<S: AsyncRead + Unpin, O: Observer + Unpin> AsyncRead for Observed<S, O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.observer.before_read()?;
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = &read {
            self.observer.after_read(*n)?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin, O: Observer + Unpin> AsyncWrite for Observed<S, O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.observer.after_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.observer.after_flush();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
