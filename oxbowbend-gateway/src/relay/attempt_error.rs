//! Why an attempt to have an endpoint execute a request failed, and what follows from it.

use std::time::Duration;

use oxbowbend_core::isolation::PathFailure;
use oxbowbend_http::h1;
use thiserror::Error;

use super::attempt::Progress;
use super::refusal::Refusal;
use crate::seam::Verdict;

/// Why an attempt produced no response.
#[derive(Debug, Error)]
pub(crate) enum AttemptError {
    /// The request is quarantined for crashing endpoints and was not sent; holds the time left.
    #[error("request is quarantined for {0:?}")]
    Quarantined(Duration),
    /// The endpoint signalled, after the request was assigned to it, that it is draining or backing
    /// off; nothing was sent.
    #[error("endpoint no longer accepts requests")]
    NotAccepting,
    /// The connection failed before anything was sent.
    #[error("request not sent: {0}")]
    NotSent(h1::CallError),
    /// The endpoint did not execute the request.
    #[error("request not executed: {0:?}")]
    NotExecuted(Verdict),
    /// The endpoint did not execute the request and asked this instance to back off for this long.
    #[error("request not executed: endpoint asked to back off for {0:?}")]
    BackoffRequested(Duration),
    /// The connection failed, or the response does not belong to the request, which may have been
    /// executed.
    #[error("no valid response: {0}")]
    NoValidResponse(String),
    /// The endpoint did not start to respond in the expected time.
    #[error("endpoint did not start to respond in time")]
    Unresponsive,
    /// The request's deadline passed.
    #[error("request deadline exceeded")]
    DeadlineExceeded,
}

impl AttemptError {
    /// Returns whether it is certain that the request was not executed.
    pub(crate) fn is_unexecuted(&self) -> bool {
        matches!(
            self,
            AttemptError::NotSent(_)
                | AttemptError::NotExecuted(_)
                | AttemptError::BackoffRequested(_)
                | AttemptError::Quarantined(_)
                | AttemptError::NotAccepting
        )
    }

    /// Returns whether another endpoint than the one that was meant has refused the request.
    pub(crate) fn is_misdirected(&self) -> bool {
        matches!(self, AttemptError::NotExecuted(Verdict::NotThere))
    }

    /// Returns whether the request may have reached the endpoint.
    pub(crate) fn reached_endpoint(&self) -> bool {
        !matches!(
            self,
            AttemptError::NotSent(_) | AttemptError::Quarantined(_) | AttemptError::NotAccepting
        )
    }

    /// Returns how the path to the endpoint may have failed, if it may.
    pub(super) fn path_failure(&self, progress: Progress) -> Option<PathFailure> {
        match self {
            AttemptError::NotSent(h1::CallError::Connect { .. }) => Some(PathFailure::Connect),
            AttemptError::NotSent(_) => Some(PathFailure::Broken),
            AttemptError::Unresponsive if progress == Progress::Connecting => {
                Some(PathFailure::Connect)
            }
            AttemptError::NoValidResponse(_) => Some(PathFailure::Broken),
            AttemptError::Unresponsive => Some(PathFailure::Unresponsive),
            _ => None,
        }
    }

    pub(crate) fn is_deadline_exceeded(&self) -> bool {
        matches!(self, AttemptError::DeadlineExceeded)
    }

    /// Returns the refusal for a request that is not retried after this error.
    pub(crate) fn into_refusal(self) -> Refusal {
        match self {
            AttemptError::DeadlineExceeded | AttemptError::Unresponsive => Refusal::TimedOut,
            _ => Refusal::Failed,
        }
    }
}
