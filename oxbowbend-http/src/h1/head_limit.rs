//! Bounds what is read of an answer before its head is complete.
//!
//! The library bounds the head itself, but skips interim answers, of which a faulty endpoint may
//! send any number.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use super::observed::Observer;
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

/// Reading fails beyond the limit.
impl Observer for HeadLimit {
    fn before_read(&mut self) -> io::Result<()> {
        if self.is_exhausted() {
            let error = format!("no complete head in {MAX_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        Ok(())
    }

    fn after_read(&mut self, bytes: usize) -> io::Result<()> {
        self.record_read(bytes);
        Ok(())
    }
}
