//! Requests whose answers lie in a connection's buffer.
//!
//! The library drops the body of an answer once its last bytes are in the connection's buffer. It
//! flushes the stream after it has written all of that buffer, and only then have they been handed to
//! the kernel.

use std::sync::{Arc, Mutex};

use super::observed::Observer;

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

/// Lets go of what is held when the stream is flushed or dropped.
pub(super) struct ReleaseOnFlush<T>(pub(super) Unflushed<T>);

impl<T> Observer for ReleaseOnFlush<T> {
    fn after_flush(&mut self) {
        self.0.release();
    }
}

impl<T> Drop for ReleaseOnFlush<T> {
    fn drop(&mut self) {
        self.0.release();
    }
}
