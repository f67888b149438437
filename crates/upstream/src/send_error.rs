//! Why a request got no answer that can be passed on.

use std::error::Error as _;
use std::io::ErrorKind;

use derive_more::{Display, Error};
use hyper::Request;

use crate::{AnswerError, Body};

/// Why a request got no answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// Nothing of the request was sent.
    #[display("not sent: {reason}")]
    NotSent {
        /// Cause of the error.
        reason: String,
        /// The request; none if its body was already consumed.
        #[error(not(source))]
        request: Option<Box<Request<Body>>>,
    },
    /// The request was sent, at least in part.
    #[display("sent, no answer: {reason}")]
    Lost {
        /// Cause of the error.
        reason: String,
    },
    /// The request was sent, and the answer can't be passed on.
    #[display("sent, invalid answer: {reason}")]
    InvalidAnswer {
        /// What is wrong with the answer.
        reason: AnswerError,
    },
    /// The deadline passed after the request was sent, at least in part.
    #[display("sent, no answer before the deadline")]
    Timeout,
}

impl SendError {
    pub(crate) fn not_sent(reason: impl ToString, request: Request<Body>) -> Self {
        SendError::NotSent {
            reason: reason.to_string(),
            request: Some(Box::new(request)),
        }
    }

    /// Classifies the error of an answer's body before its first byte.
    pub(crate) fn of_body(error: hyper::Error) -> Self {
        let source = error.source().and_then(|source| source.downcast_ref());
        let kind = source.map(std::io::Error::kind);
        match kind {
            Some(ErrorKind::InvalidData | ErrorKind::InvalidInput) => SendError::InvalidAnswer {
                reason: AnswerError::Body,
            },
            _ => SendError::Lost {
                reason: error.to_string(),
            },
        }
    }
}
