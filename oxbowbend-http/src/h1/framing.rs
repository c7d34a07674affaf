//! What marks the end of an answer's body.

use http::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, StatusCode};

/// What marks the end of an answer's body (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// There is no body.
    Bodyless,
    /// Its length is stated.
    Length,
    /// Its last chunk.
    Chunked,
    /// The end of the connection. A sender that fails ends it too, so the end alone does not show
    /// that the body is complete.
    UntilClose,
}

impl Framing {
    /// Returns the framing of the answer to a request.
    ///
    /// ```
    /// use http::{HeaderMap, Method, StatusCode};
    /// use oxbowbend_http::h1::Framing;
    /// let (headers, get) = (HeaderMap::new(), Method::GET);
    /// assert_eq!(Framing::of(&get, StatusCode::OK, &headers), Framing::UntilClose);
    /// assert_eq!(Framing::of(&get, StatusCode::NO_CONTENT, &headers), Framing::Bodyless);
    /// ```
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
        let is_bodyless = *method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        match coding.map(|value| value.as_bytes().to_ascii_lowercase()) {
            _ if is_bodyless => Framing::Bodyless,
            Some(coding) if coding.trim_ascii().ends_with(b"chunked") => Framing::Chunked,
            Some(_) => Framing::UntilClose,
            None if headers.contains_key(CONTENT_LENGTH) => Framing::Length,
            None => Framing::UntilClose,
        }
    }
}
