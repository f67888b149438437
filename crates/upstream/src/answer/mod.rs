//! Validation of answers before they are passed on.

mod answer_error;
mod body_framing;
mod chunk_scanner;

pub use answer_error::AnswerError;
pub use body_framing::{BodyFraming, has_unknown_coding};
pub use chunk_scanner::ChunkScanner;
