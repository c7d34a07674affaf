//! Requests whose answers lie in a connection's buffer.
//!
//! The library drops the body of an answer once its last bytes are in the connection's buffer. It
//! flushes the stream after it has written all of that buffer, and only then have they been handed to
//! the kernel.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};

/// What is held until the buffer of a connection has been written; clones share it.
pub(super) struct Unflushed<T>(Arc<Mutex<Vec<T>>>);

impl<T> Clone for Unflushed<T> {
    fn clone(&self) -> Unflushed<T> {
        Unflushed(self.0.clone())
    }
}

impl<T> Default for Unflushed<T> {
    fn default() -> Unflushed<T> {
        Unflushed(Arc::default())
    }
}

impl<T> Unflushed<T> {
    /// Holds something until what is in the buffer now has been written, or the connection ends.
    pub(super) fn hold(&self, held: T) {
        self.0.lock().expect("no panic under lock").push(held);
    }

    fn release(&self) {
        let held = std::mem::take(&mut *self.0.lock().expect("no panic under lock"));
        drop(held);
    }
}

/// A stream that lets go of what is held when it is flushed or dropped.
pub(super) struct FlushWatched<S, T> {
    stream: S,
    unflushed: Unflushed<T>,
}

impl<S, T> FlushWatched<S, T> {
    pub(super) fn new(stream: S, unflushed: Unflushed<T>) -> FlushWatched<S, T> {
        FlushWatched { stream, unflushed }
    }
}

impl<S, T> Drop for FlushWatched<S, T> {
    fn drop(&mut self) {
        self.unflushed.release();
    }
}

impl<S: AsyncRead + Unpin, T> AsyncRead for FlushWatched<S, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin, T> AsyncWrite for FlushWatched<S, T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.unflushed.release();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
