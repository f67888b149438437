//! Keys that callers present, as hosts hold them.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes kept of a hash: a key that is guessed fits with a probability of 2^-128.
const HASH_BYTES: usize = 16;

/// Hash of a customer's key. The key itself is in no memory longer than the request that
/// presents it, and in no message between hosts.
///
/// A look-up by the hash takes the same time whichever bytes of a key are right. The hash is
/// not shown either: a short key could be found from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        let mut kept = [0; HASH_BYTES];
        kept.copy_from_slice(&hash[..HASH_BYTES]);
        KeyHash(kept)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
