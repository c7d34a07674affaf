//! Reading a body whole, within bounds.

use std::time::Duration;

use async_std::future;
use async_std::io::ReadExt;
use http_types::{Body, Request, StatusCode};
use thiserror::Error;

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
}

impl BodyError {
    /// The answer to a caller that sent such a body.
    pub fn to_problem(&self) -> problem::Problem {
        let status = match self {
            BodyError::TooLarge { .. } => StatusCode::PayloadTooLarge,
            BodyError::TooSlow(_) => StatusCode::RequestTimeout,
            BodyError::CutShort { .. } | BodyError::InsideEvent | BodyError::Broken(_) => {
                StatusCode::BadRequest
            }
        };
        problem::Problem::new(status, "the request body cannot be used").detail(self.to_string())
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
    let announced = req.len().map(|n| n as u64);
    if announced.is_some_and(|n| n > limit as u64) {
        return Err(BodyError::TooLarge { limit });
    }
    let body = req.take_body();
    let read = read_to_end(body, limit);
    let bytes = future::timeout(time, read).await.map_err(|_| BodyError::TooSlow(time))??;
    check_length(bytes.len() as u64, announced)?;
    Ok(bytes)
}

pub(crate) fn check_length(read: u64, announced: Option<u64>) -> Result<(), BodyError> {
    match announced {
        Some(announced) if read < announced => Err(BodyError::CutShort { read, announced }),
        _ => Ok(()),
    }
}

async fn read_to_end(mut body: Body, limit: usize) -> Result<Vec<u8>, BodyError> {
    let mut bytes = Vec::new();
    let mut buf = vec![0; CHUNK];
    loop {
        let n = body.read(&mut buf).await.map_err(BodyError::Broken)?;
        if n == 0 {
            return Ok(bytes);
        }
        if bytes.len() + n > limit {
            return Err(BodyError::TooLarge { limit });
        }
        bytes.extend_from_slice(&buf[..n]);
    }
}
