//! Bytes that an upstream sends after the end of an answer.

/// Beginning of every answer.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// What follows an answer on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Surplus {
    /// Nothing has arrived.
    Nothing,
    /// Another answer, or the beginning of one. It belongs to no request.
    Answer,
    /// Other bytes. The stated end of the answer is not its real end.
    Other,
}

impl Surplus {
    /// Classifies the bytes that have arrived after the end of an answer.
    pub fn classify(bytes: &[u8]) -> Surplus {
        let start = &bytes[..bytes.len().min(ANSWER_START.len())];
        match start {
            [] => Surplus::Nothing,
            _ if ANSWER_START.starts_with(start) => Surplus::Answer,
            _ => Surplus::Other,
        }
    }
}
