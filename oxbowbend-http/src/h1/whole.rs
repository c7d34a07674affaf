//! A body that has been read whole, on its way out.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Size of the pieces. The library copies each one into the buffer of its connection, which keeps its size for as long as
/// the connection lives.
const PIECE: usize = 16 * 1024;

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
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let n = self.rest.len().min(PIECE);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(n)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
