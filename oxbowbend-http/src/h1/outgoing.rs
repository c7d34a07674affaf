//! The body of a request on its way out.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};

use super::held::HeldBody;

/// Size of the pieces. The library takes a piece when it has room for it, so a body that is not
/// through shows within about two of them.
const PIECE: usize = 16 * 1024;

/// A body that is given out in pieces and tells when the last one was taken.
#[derive(Debug)]
pub struct Outgoing {
    body: HeldBody,
    /// The next piece to give out, and the bytes of it that are out.
    next: usize,
    offset: usize,
    left: usize,
    is_out: Arc<AtomicBool>,
}

impl Outgoing {
    /// Wraps a body; the flag becomes true with its last piece.
    pub(super) fn new(body: HeldBody) -> (Outgoing, Arc<AtomicBool>) {
        let (left, is_out) = (body.len(), Arc::new(AtomicBool::new(body.is_empty())));
        (Outgoing { body, next: 0, offset: 0, left, is_out: is_out.clone() }, is_out)
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(whole) = self.body.pieces().get(self.next) else { return Poll::Ready(None) };
        let mut piece = whole.clone();
        let length = whole.len();
        piece.advance(self.offset);
        piece.truncate(PIECE);
        self.offset += piece.len();
        self.left -= piece.len();
        if self.offset == length {
            (self.next, self.offset) = (self.next + 1, 0);
        }
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
