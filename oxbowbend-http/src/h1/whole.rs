//! A body that has been read whole, on its way out.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Size of the pieces. The library takes a piece when it has room for it, so a body that is not through shows within about
/// two of them. It copies each one into the buffer of its connection, which keeps its size for as long as the connection
/// lives.
const PIECE: usize = 16 * 1024;

/// Takes the next piece off a body; `None` if nothing is left.
pub(super) fn take_piece(rest: &mut Bytes) -> Option<Bytes> {
    (!rest.is_empty()).then(|| rest.split_to(rest.len().min(PIECE)))
}

/// A body that has been read whole. It is given out in pieces, so that a long one does not leave a long buffer behind.
///
/// ```
/// use hyper::body::Body;
/// use oxbowbend_http::h1::Whole;
///
/// assert_eq!(Whole::from("words").size_hint().exact(), Some(5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Whole {
    rest: Bytes,
}

impl Whole {
    /// Wraps a body.
    pub fn new(body: Bytes) -> Whole {
        Whole { rest: body }
    }
}

impl<T: Into<Bytes>> From<T> for Whole {
    fn from(body: T) -> Whole {
        Whole::new(body.into())
    }
}

impl Body for Whole {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(take_piece(&mut self.rest).map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
