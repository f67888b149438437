//! The framing of an answer's body, as its head states it.

use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode, Version};

use super::AnswerError;

/// Largest status that belongs to a class (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// Statuses of answers that have no content of their own and describe none.
const EMPTY_STATUSES: [StatusCode; 2] = [StatusCode::NO_CONTENT, StatusCode::RESET_CONTENT];

/// How the end of an answer's body is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body, whatever the fields say.
    NoBody,
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
    /// The body ends when the connection closes, as the head announces.
    Close,
}

impl BodyFraming {
    /// Reads the framing of the answer to a request with this method.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerError`] if two recipients might disagree about the end of the body. Such a
    /// head is damaged, and what it says of the body can't be relied on.
    pub fn read(method: &Method, head: &Parts) -> Result<BodyFraming, AnswerError> {
        if head.status.as_u16() > MAX_STATUS {
            return Err(AnswerError::Status);
        }
        let length = length(&head.headers)?;
        if has_unknown_coding(&head.headers) {
            return Err(AnswerError::Coding);
        }
        let is_coded = head.headers.contains_key(TRANSFER_ENCODING);
        if is_coded && length.is_some() {
            return Err(AnswerError::LengthAndCoding);
        }
        let states_body = is_coded || length.is_some_and(|length| length > 0);
        let is_empty = EMPTY_STATUSES.contains(&head.status);
        if is_empty && states_body && *method != Method::HEAD {
            return Err(AnswerError::BodyNotAllowed);
        }
        let has_no_body = *method == Method::HEAD
            || head.status.is_informational()
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        Ok(match length {
            _ if has_no_body => BodyFraming::NoBody,
            _ if is_coded => BodyFraming::Chunked,
            Some(length) => BodyFraming::Length(length),
            None if closes(head) => BodyFraming::Close,
            // Without an announced close, the field that frames the body was probably damaged.
            None => return Err(AnswerError::NoEnd),
        })
    }

    /// Replaces the fields that frame the body on the upstream's connection. The next connection
    /// frames it by the size of the body; a length stays where it describes this body.
    pub fn replace_fields(self, headers: &mut HeaderMap) {
        headers.remove(TRANSFER_ENCODING);
        match self {
            BodyFraming::Length(length) => {
                headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
            }
            // The length describes the content that a GET would return (RFC 9110, section 8.6).
            BodyFraming::NoBody => {}
            BodyFraming::Chunked | BodyFraming::Close => {
                headers.remove(CONTENT_LENGTH);
            }
        }
    }
}

/// Returns the stated length; none if there is none.
fn length(headers: &HeaderMap) -> Result<Option<u64>, AnswerError> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_single = values.next().is_none();
    let has_digits = value.as_bytes().iter().all(u8::is_ascii_digit);
    let length = value.to_str().ok().and_then(|text| text.parse().ok());
    match length.filter(|_| is_single && has_digits) {
        Some(length) => Ok(Some(length)),
        None => Err(AnswerError::Length),
    }
}

/// Whether the head states that the connection closes after the answer (RFC 9112, section 9.3).
fn closes(head: &Parts) -> bool {
    let options = head.headers.get_all(CONNECTION).iter();
    let mut options = options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim);
    match head.version {
        Version::HTTP_10 => !options.any(|option| option.eq_ignore_ascii_case("keep-alive")),
        _ => options.any(|option| option.eq_ignore_ascii_case("close")),
    }
}

/// Whether a message is in a transfer coding other than `chunked` alone, which is the only one that
/// every recipient knows (RFC 9112, section 7).
pub fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    values.next().is_some_and(|value| !is_chunked(value)) || values.next().is_some()
}
