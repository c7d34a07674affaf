//! The body of a request on its way out.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::held::HeldBody;
use super::whole::take_piece;

/// A body that is given out in pieces and tells when the last one was taken.
#[derive(Debug)]
pub struct Outgoing {
    body: HeldBody,
    /// What is left of the part of the body that is being given out, and the number of the next part.
    rest: Bytes,
    next: usize,
    left: usize,
    is_out: Arc<AtomicBool>,
}

impl Outgoing {
    /// Wraps a body; the flag becomes true with its last piece.
    pub(super) fn new(body: HeldBody) -> (Outgoing, Arc<AtomicBool>) {
        let (left, is_out) = (body.len(), Arc::new(AtomicBool::new(body.is_empty())));
        (Outgoing { body, rest: Bytes::new(), next: 0, left, is_out: is_out.clone() }, is_out)
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
            self.rest = self.body.pieces().get(self.next).cloned().unwrap_or_default();
            self.next += 1;
        }
        let Some(piece) = take_piece(&mut self.rest) else { return Poll::Ready(None) };
        self.left -= piece.len();
        if self.left == 0 {
            self.is_out.store(true, Ordering::SeqCst);
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
