//! Recognizes a body that is in chunks.

/// Checks whether a body as a whole is in the chunked coding (RFC 9112, section 7.1). Bodies with
/// trailers or chunk extensions are not recognized.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkScanner(State);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Within the size of a chunk; `digits` counts those read so far.
    Size { size: u64, digits: u32 },
    /// After the CR that follows a size.
    SizeEnd { size: u64 },
    /// Within the data of a chunk. `left` is never 0.
    Data { left: u64 },
    /// After the data of a chunk, or after the size of the last chunk, which has no data.
    DataEnd { is_last: bool },
    /// After the CR that ends a chunk.
    LineEnd { is_last: bool },
    /// After the last chunk.
    Complete,
    /// The body is not in chunks.
    Other,
}

/// Maximum number of hexadecimal digits of a size, so that it fits in 60 bits.
const MAX_SIZE_DIGITS: u32 = 15;
const BEGIN: State = State::Size { size: 0, digits: 0 };

impl Default for ChunkScanner {
    fn default() -> Self {
        ChunkScanner(BEGIN)
    }
}

impl ChunkScanner {
    /// Reads the next bytes of the body.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while let Some((byte, rest)) = bytes.split_first() {
            (self.0, bytes) = match self.0 {
                State::Other => return,
                State::Data { left } => {
                    let count = left.min(bytes.len() as u64);
                    let next = match left - count {
                        0 => State::DataEnd { is_last: false },
                        left => State::Data { left },
                    };
                    (next, &bytes[count as usize..])
                }
                state => (state.after(*byte), rest),
            };
        }
    }

    /// Whether all bytes that were read are one body in chunks, up to its last one.
    pub fn is_complete(&self) -> bool {
        self.0 == State::Complete
    }
}

impl State {
    /// The state after a byte outside the data of a chunk.
    fn after(self, byte: u8) -> State {
        match (self, byte) {
            (State::Size { size, digits: 1.. }, b'\r') => State::SizeEnd { size },
            (State::Size { size, digits }, _) if digits < MAX_SIZE_DIGITS => {
                match char::from(byte).to_digit(16) {
                    Some(digit) => State::Size {
                        size: size * 16 + u64::from(digit),
                        digits: digits + 1,
                    },
                    None => State::Other,
                }
            }
            (State::SizeEnd { size: 0 }, b'\n') => State::DataEnd { is_last: true },
            (State::SizeEnd { size }, b'\n') => State::Data { left: size },
            (State::DataEnd { is_last }, b'\r') => State::LineEnd { is_last },
            (State::LineEnd { is_last: true }, b'\n') => State::Complete,
            (State::LineEnd { is_last: false }, b'\n') => BEGIN,
            _ => State::Other,
        }
    }
}
