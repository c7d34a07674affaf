//! Bodies of requests that are held whole, and what is thrown away of others.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use async_std::future;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use oxbowbend_core::memory::{Buffer, Kind, OverBudget, Phase, FIRST_BUFFER};
use thiserror::Error;

use crate::memory::{Charge, ConnectionHandle, Progress};

/// Bytes of the pieces of a long body. Pieces of one size are used again by the allocator, while a buffer that grows with
/// the body leaves gaps of many sizes.
const PIECE: usize = 64 * 1024;
/// Bytes of the first buffer of a body without a length.
const FIRST: usize = 1024;

/// Why a body is not held.
#[derive(Debug, Error)]
pub enum HoldError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLarge,
    /// The connection failed, or the body ended before its length.
    #[error("the body is incomplete: {0}")]
    Broken(hyper::Error),
    /// There is no memory for it.
    #[error("{0}")]
    OverBudget(#[from] OverBudget),
    /// Its client makes no progress, and its bytes are needed for others.
    #[error("the body makes no progress")]
    Yielded,
}

/// A body that is held whole, in pieces. Clones share the bytes, which are charged until the last one is dropped.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    held: Arc<Held>,
}

#[derive(Debug, Default)]
struct Held {
    pieces: Vec<Bytes>,
    _charge: Option<Charge>,
}

impl HeldBody {
    /// The pieces in order.
    pub fn pieces(&self) -> &[Bytes] {
        &self.held.pieces
    }

    /// Bytes of all pieces.
    pub fn len(&self) -> usize {
        self.held.pieces.iter().map(Bytes::len).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> HeldBody {
        let pieces = if bytes.is_empty() { Vec::new() } else { vec![bytes] };
        HeldBody { held: Arc::new(Held { pieces, _charge: None }) }
    }
}

/// Reads a body of at most `limit` bytes, charged to its connection if that has a handle. The bytes are copied:
/// what the library gives out keeps the buffer that it was read into, many times the bytes of a small chunk.
///
/// # Errors
///
/// Every [`HoldError`]. The rest of the body is still to be read then.
pub async fn hold(
    body: &mut Incoming,
    handle: Option<&Arc<ConnectionHandle>>,
    limit: usize,
) -> Result<HeldBody, HoldError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(HoldError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let mut buf = PieceBuf::new(handle.cloned(), body.size_hint().exact().unwrap_or(0) as usize);
    let mut progress = Progress::default();
    if let Some(handle) = handle {
        handle.set_phase(Phase::Body);
    }
    while let Some(frame) = next_frame(body, handle).await? {
        let Ok(data) = frame.into_data() else { continue };
        if buf.bytes + data.len() > limit {
            return Err(HoldError::TooLarge);
        }
        buf.push(&data)?;
        if let Some(handle) = handle {
            progress.record(handle, data.len());
        }
    }
    if let Some(handle) = handle.filter(|_| buf.bytes > FIRST_BUFFER) {
        handle.record_grown(Buffer::Read);
    }
    if let Some(handle) = handle {
        handle.set_phase(Phase::Running);
    }
    Ok(buf.finish())
}

/// The next frame of a body, unless its connection is told that its bytes are needed.
async fn next_frame(
    body: &mut Incoming,
    handle: Option<&Arc<ConnectionHandle>>,
) -> Result<Option<Frame<Bytes>>, HoldError> {
    poll_fn(|cx| {
        if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
            return Poll::Ready(frame.transpose().map_err(HoldError::Broken));
        }
        match handle.map(|handle| handle.poll_told_to_end(cx)) {
            Some(Poll::Ready(())) => Poll::Ready(Err(HoldError::Yielded)),
            _ => Poll::Pending,
        }
    })
    .await
}

/// A body that is being copied into pieces.
struct PieceBuf {
    pieces: Vec<Bytes>,
    current: Vec<u8>,
    /// Bytes in all.
    bytes: usize,
    /// Length of the body as announced; 0 if unknown.
    announced: usize,
    charge: Option<Charge>,
}

impl PieceBuf {
    fn new(handle: Option<Arc<ConnectionHandle>>, announced: usize) -> PieceBuf {
        let charge = handle.map(|handle| Charge::new(handle, Kind::Bodies));
        PieceBuf { pieces: Vec::new(), current: Vec::new(), bytes: 0, announced, charge }
    }

    fn push(&mut self, mut data: &[u8]) -> Result<(), OverBudget> {
        while !data.is_empty() {
            if self.current.len() == self.current.capacity() {
                self.grow(data.len())?;
            }
            let n = data.len().min(self.current.capacity() - self.current.len());
            self.current.extend_from_slice(&data[..n]);
            self.bytes += n;
            data = &data[n..];
        }
        Ok(())
    }

    /// Makes room for more bytes: by doubling a piece that is not full, or with another one.
    fn grow(&mut self, needed: usize) -> Result<(), OverBudget> {
        if self.current.capacity() >= PIECE {
            self.pieces.push(Bytes::from(std::mem::take(&mut self.current)));
        }
        let capacity = self.current.capacity();
        let left = self.announced.saturating_sub(self.bytes);
        let wanted = needed.max(capacity).max(FIRST);
        // A body never takes more than its length, nor more than twice what has come of it.
        let wanted = if left > 0 { wanted.min(left) } else { wanted };
        let more = wanted.min(PIECE - capacity);
        if let Some(charge) = &mut self.charge {
            charge.grow(more)?;
        }
        self.current.reserve_exact(more);
        Ok(())
    }

    fn finish(mut self) -> HeldBody {
        if !self.current.is_empty() {
            self.pieces.push(Bytes::from(self.current));
        }
        HeldBody { held: Arc::new(Held { pieces: self.pieces, _charge: self.charge }) }
    }
}

/// Reads the rest of a body and throws it away, up to so many bytes within a time, and for as long as its connection is not
/// told to end. A client that is still sending may not read an answer, and would lose one that is followed by a reset.
/// Returns whether the end was reached.
pub async fn discard(
    body: &mut Incoming,
    handle: Option<&Arc<ConnectionHandle>>,
    limit: usize,
    time: Duration,
) -> bool {
    if body.size_hint().lower() > limit as u64 {
        return false;
    }
    let (mut left, mut progress) = (limit, Progress::default());
    if let Some(handle) = handle {
        handle.set_phase(Phase::Body);
    }
    let reading = async {
        while let Some(frame) = next_frame(body, handle).await.ok()? {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            left = left.checked_sub(bytes)?;
            if let Some(handle) = handle {
                progress.record(handle, bytes);
            }
        }
        Some(())
    };
    let is_whole = matches!(future::timeout(time, reading).await, Ok(Some(())));
    if let Some(handle) = handle {
        handle.set_phase(Phase::Running);
    }
    is_whole
}
