//! Hashes of callers' API keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of bytes kept of a hash: a guessed key matches with a probability of 2^-128.
const HASH_BYTES: usize = 16;

/// Hash of a customer's API key. The key itself is kept in memory only while the request
/// that presents it is processed, and is never sent to other hosts.
///
/// A look-up by hash takes the same time whichever bytes of a key are correct. The hash is
/// not printed either, since a short key could be found from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Returns the hash of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        let mut truncated = [0; HASH_BYTES];
        truncated.copy_from_slice(&hash[..HASH_BYTES]);
        KeyHash(truncated)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
