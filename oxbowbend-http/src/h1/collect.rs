//! Reading a body whole, up to a bound.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// What was read of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The beginning of a body that is longer than the bound; the rest is still to be read.
    Beginning(Bytes),
}

/// Reads a body until its end, or until more than `limit` bytes are read. Nothing is read of a body
/// that states a greater length.
///
/// The bytes are copied into one buffer, since a body in small chunks would otherwise take many
/// times its length.
///
/// # Errors
///
/// Fails if the connection fails, or the body ends before its stated length.
pub async fn collect(body: &mut Incoming, limit: usize) -> Result<Collected, hyper::Error> {
    if body.size_hint().lower() > limit as u64 {
        return Ok(Collected::Beginning(Bytes::new()));
    }
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame?.data_ref() {
            buf.extend_from_slice(data);
        }
        if buf.len() > limit {
            return Ok(Collected::Beginning(buf.freeze()));
        }
    }
    Ok(Collected::Whole(buf.freeze()))
}
