//! Error responses as of RFC 9457, and the headers that tell a request's fate.

use std::time::Duration;

use http_types::{Mime, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// Header with the id that a request was given.
pub const REQUEST_ID: &str = "Oxbow-Request-Id";
/// Header with a request's [`Outcome`].
pub const OUTCOME: &str = "Oxbow-Outcome";

/// What has become of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It did not run anywhere and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, or was tried, and failed.
    Failed,
    /// It ran to its end.
    Done,
}

impl Outcome {
    /// The outcome as it stands in the header.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Failed => "failed",
            Outcome::Done => "done",
        }
    }
}

/// A problem document.
///
/// ```
/// use http_types::StatusCode;
/// use oxbowbend_http::problem::{Outcome, Problem};
/// let problem = Problem::new(StatusCode::TooManyRequests, "too many requests")
///     .outcome(Outcome::NotRun)
///     .retry_after(std::time::Duration::from_millis(1500));
/// let response = problem.into_response();
/// assert_eq!(response["Retry-After"], "2");
/// assert_eq!(response["Oxbow-Outcome"], "not-run");
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short summary, the same for every problem of the kind.
    pub title: String,
    /// What happened this time.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// What has become of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// Id of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Seconds after which to come back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// Further parts of the problem, such as the mistakes in a file.
    #[serde(default, skip_serializing_if = "serde_json::Value::is_null")]
    pub errors: serde_json::Value,
}

impl Problem {
    /// Begins a problem document.
    pub fn new(status: StatusCode, title: &str) -> Problem {
        Problem {
            status: status as u16,
            title: title.to_owned(),
            detail: String::new(),
            outcome: None,
            request_id: None,
            retry_after: None,
            errors: serde_json::Value::Null,
        }
    }

    /// Adds what happened this time.
    pub fn detail(mut self, detail: impl Into<String>) -> Problem {
        self.detail = detail.into();
        self
    }

    /// Adds the fate of the request.
    pub fn outcome(mut self, outcome: Outcome) -> Problem {
        self.outcome = Some(outcome);
        self
    }

    /// Adds the id of the request.
    pub fn request_id(mut self, id: &str) -> Problem {
        self.request_id = Some(id.to_owned());
        self
    }

    /// Adds when to come back, rounded up to whole seconds and at least one.
    pub fn retry_after(mut self, after: Duration) -> Problem {
        let seconds = after.as_millis().div_ceil(1000).max(1);
        self.retry_after = Some(seconds as u64);
        self
    }

    /// Adds further parts.
    pub fn errors(mut self, errors: serde_json::Value) -> Problem {
        self.errors = errors;
        self
    }

    /// Turns the document into a response.
    pub fn into_response(self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut res = Response::new(status);
        res.set_body(serde_json::to_string(&self).unwrap_or_default());
        res.set_content_type(Mime::from("application/problem+json"));
        if let Some(outcome) = self.outcome {
            res.insert_header(OUTCOME, outcome.name());
        }
        if let Some(id) = &self.request_id {
            res.insert_header(REQUEST_ID, id.as_str());
        }
        if let Some(seconds) = self.retry_after {
            res.insert_header("Retry-After", seconds.to_string());
        }
        res
    }
}

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let mut res = Response::new(status);
    match serde_json::to_string(value) {
        Ok(text) => res.set_body(text),
        Err(e) => {
            let problem = Problem::new(StatusCode::InternalServerError, "cannot write the answer");
            return problem.detail(e.to_string()).into_response();
        }
    }
    res.set_content_type(Mime::from("application/json"));
    res
}
