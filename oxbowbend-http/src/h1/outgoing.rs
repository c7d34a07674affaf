//! The body of a request on its way out.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Size of the pieces. The library takes a piece when it has room for it, so a body that is not
/// through shows within about two of them.
const PIECE: usize = 16 * 1024;

/// A body that is given out in pieces and tells when the last one was taken.
#[derive(Debug)]
pub struct Outgoing {
    rest: Bytes,
    is_out: Arc<AtomicBool>,
}

impl Outgoing {
    /// Wraps a body; the flag becomes true with its last piece.
    pub(super) fn new(body: Bytes) -> (Outgoing, Arc<AtomicBool>) {
        let is_out = Arc::new(AtomicBool::new(body.is_empty()));
        (Outgoing { rest: body, is_out: is_out.clone() }, is_out)
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let n = self.rest.len().min(PIECE);
        let piece = self.rest.split_to(n);
        if self.rest.is_empty() {
            self.is_out.store(true, Ordering::SeqCst);
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
