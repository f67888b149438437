//! Why an answer can't be passed on.

use derive_more::{Display, Error};

/// What is wrong with an answer. Its request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum AnswerError {
    /// The status is in no class of statuses (RFC 9110, section 15).
    #[display("the status is undefined")]
    Status,
    /// There is a length that is not a number of bytes, or more than one.
    #[display("the length is invalid")]
    Length,
    /// The transfer coding is another one than `chunked`, the only one that every recipient knows
    /// (RFC 9112, section 7).
    #[display("the transfer coding is unknown")]
    Coding,
    /// There are a length and a transfer coding (RFC 9112, section 6.3).
    #[display("a length beside a transfer coding")]
    LengthAndCoding,
    /// There is neither a length nor a transfer coding, and the head does not announce that the
    /// connection closes.
    #[display("the end of the body is not stated")]
    NoEnd,
    /// There is a body that the status does not allow.
    #[display("a body that the status does not allow")]
    BodyNotAllowed,
    /// The chunks of the body are malformed.
    #[display("the chunks of the body are malformed")]
    Body,
    /// Bytes that do not begin another answer follow the stated end of the body.
    #[display("bytes follow the stated end of the body")]
    Surplus,
    /// The body is in chunks, but the head states no transfer coding.
    #[display("a body in chunks without a stated coding")]
    UndeclaredChunks,
}
