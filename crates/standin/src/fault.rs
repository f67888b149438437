//! What a stand-in can be told to do wrong.

use std::time::Duration;

/// A fault of the platform's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It answers 503 and does nothing.
    Down,
    /// It does not answer for so long, then works.
    Slow(Duration),
    /// It does what it is asked and loses the answer.
    AnswerLost,
}
