//! Reading a body whole, within bounds.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::{future, io};
use futures::future::{select, Either};
use futures::pin_mut;
use http_types::{Body, Request, StatusCode};
use oxbowbend_core::memory::{Kind, OverBudget, Phase};
use thiserror::Error;

use crate::memory::{Charge, ConnectionHandle, Progress};
use crate::problem;

/// Size of the pieces in which bodies are read.
pub(crate) const CHUNK: usize = 16 * 1024;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is longer than {limit} bytes")]
    TooLarge {
        /// The bound.
        limit: usize,
    },
    /// It ended before the length that was announced.
    #[error("the body ended after {read} of {announced} bytes")]
    CutShort {
        /// Bytes that came.
        read: u64,
        /// Bytes announced.
        announced: u64,
    },
    /// It is a stream of events and ended inside one.
    #[error("the stream ended inside an event")]
    InsideEvent,
    /// It did not come in time.
    #[error("the body did not come within {0:?}")]
    TooSlow(Duration),
    /// The connection failed or the encoding is broken.
    #[error("the body could not be read: {0}")]
    Broken(std::io::Error),
    /// There is no memory for it, or it was needed for others while the caller made no progress.
    #[error("{0}")]
    OverBudget(#[from] OverBudget),
}

/// A request's body, whose bytes are charged until it is dropped.
#[derive(Debug, Default)]
pub struct RequestBody {
    /// The body.
    pub bytes: Vec<u8>,
    charge: Option<Charge>,
}

impl RequestBody {
    /// Charges so many bytes for what is made of the body.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn charge_more(&mut self, bytes: usize) -> Result<(), BodyError> {
        if let Some(charge) = &mut self.charge {
            charge.grow(bytes)?;
        }
        Ok(())
    }

    /// Drops the bytes, which stay charged for what was made of them.
    #[must_use]
    pub fn into_charge(self) -> Option<Charge> {
        self.charge
    }
}

/// Time after which a request that there was no memory for may come again.
const OVER_BUDGET_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bytes of the first buffer of a body.
const FIRST: usize = 1024;

impl BodyError {
    /// The answer to a caller that sent such a body.
    pub fn to_problem(&self) -> problem::Problem {
        let status = match self {
            BodyError::TooLarge { .. } => StatusCode::PayloadTooLarge,
            BodyError::TooSlow(_) => StatusCode::RequestTimeout,
            BodyError::OverBudget(_) => StatusCode::ServiceUnavailable,
            BodyError::CutShort { .. } | BodyError::InsideEvent | BodyError::Broken(_) => {
                StatusCode::BadRequest
            }
        };
        let problem = problem::Problem::new(status, "the request body cannot be used");
        let problem = problem.detail(self.to_string());
        match self {
            BodyError::OverBudget(_) => problem.retry_after(OVER_BUDGET_RETRY_AFTER),
            _ => problem,
        }
    }
}

/// Reads a request's body, at most `limit` bytes within `time`.
///
/// # Errors
///
/// Fails if the body is too long, too slow, broken, or shorter than its announced length.
pub async fn read_request(
    req: &mut Request,
    limit: usize,
    time: Duration,
) -> Result<Vec<u8>, BodyError> {
    Ok(read_charged(req, limit, time, None).await?.bytes)
}

/// The same, charged to the request's connection if that has a handle.
///
/// # Errors
///
/// Fails also if there is no memory for the body.
pub async fn read_charged(
    req: &mut Request,
    limit: usize,
    time: Duration,
    handle: Option<&Arc<ConnectionHandle>>,
) -> Result<RequestBody, BodyError> {
    let announced = req.len().map(|n| n as u64);
    if announced.is_some_and(|n| n > limit as u64) {
        return Err(BodyError::TooLarge { limit });
    }
    if let Some(handle) = handle {
        handle.set_phase(Phase::Body);
    }
    let read = read_to_end(req.take_body(), limit, handle);
    let body = future::timeout(time, read).await.map_err(|_| BodyError::TooSlow(time))??;
    check_length(body.bytes.len() as u64, announced)?;
    if let Some(handle) = handle {
        handle.set_phase(Phase::Running);
    }
    Ok(body)
}

pub(crate) fn check_length(read: u64, announced: Option<u64>) -> Result<(), BodyError> {
    match announced {
        Some(announced) if read < announced => Err(BodyError::CutShort { read, announced }),
        _ => Ok(()),
    }
}

async fn read_to_end(
    mut body: Body,
    limit: usize,
    handle: Option<&Arc<ConnectionHandle>>,
) -> Result<RequestBody, BodyError> {
    let charge = handle.map(|handle| Charge::new(handle.clone(), Kind::Bodies));
    let mut read = RequestBody { bytes: Vec::new(), charge };
    let (mut buf, mut progress) = (vec![0; CHUNK], Progress::default());
    loop {
        let n = read_piece(&mut body, &mut buf, handle).await?;
        if n == 0 {
            return Ok(read);
        }
        if read.bytes.len() + n > limit {
            return Err(BodyError::TooLarge { limit });
        }
        read.push(&buf[..n])?;
        if let Some(handle) = handle {
            progress.record(handle, n);
        }
    }
}

/// Reads a piece of a body, unless its connection is told that its bytes are needed.
async fn read_piece(
    body: &mut Body,
    buf: &mut [u8],
    handle: Option<&Arc<ConnectionHandle>>,
) -> Result<usize, BodyError> {
    let reading = body.read(buf);
    let Some(handle) = handle else { return reading.await.map_err(BodyError::Broken) };
    let told = std::future::poll_fn(|cx| handle.poll_told_to_end(cx));
    pin_mut!(reading, told);
    let read: io::Result<usize> = match select(reading, told).await {
        Either::Left((read, _)) => read,
        Either::Right(_) => return Err(BodyError::OverBudget(OverBudget)),
    };
    read.map_err(BodyError::Broken)
}

impl RequestBody {
    /// Appends bytes. The buffer doubles, and is charged before it grows.
    fn push(&mut self, data: &[u8]) -> Result<(), OverBudget> {
        let (length, capacity) = (self.bytes.len(), self.bytes.capacity());
        if length + data.len() > capacity {
            let more = data.len().max(capacity).max(FIRST);
            if let Some(charge) = &mut self.charge {
                charge.grow(more)?;
            }
            self.bytes.reserve_exact(more + capacity - length);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}
