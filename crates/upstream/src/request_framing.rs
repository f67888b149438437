//! The framing of a request's body on the connection to its next recipient.

use http_body::Body as HttpBody;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};

/// How the end of a request's body is recognized. Follows from the body alone, for every method, so
/// that the head never states another body than the one that is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFraming {
    /// There is no body.
    NoBody,
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
}

impl RequestFraming {
    /// Returns the framing of a request. An empty body counts as none unless the head states its
    /// length.
    pub fn of(headers: &HeaderMap, body: &impl HttpBody) -> RequestFraming {
        let length = match body.is_end_stream() {
            true => Some(0),
            false => body.size_hint().exact(),
        };
        match length {
            Some(0) if !headers.contains_key(CONTENT_LENGTH) => RequestFraming::NoBody,
            Some(length) => RequestFraming::Length(length),
            None => RequestFraming::Chunked,
        }
    }

    /// Replaces the fields that framed the body on the connection on which it arrived.
    pub fn replace_fields(self, headers: &mut HeaderMap) {
        headers.remove(CONTENT_LENGTH);
        headers.remove(TRANSFER_ENCODING);
        match self {
            RequestFraming::NoBody => {}
            RequestFraming::Length(length) => {
                headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
            }
            // hyper drops a body of unknown length from GET and HEAD requests unless the head states
            // that the body comes in chunks.
            RequestFraming::Chunked => {
                headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
            }
        }
    }
}
