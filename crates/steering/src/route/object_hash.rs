//! Hashes of objects, the same on every host.

use twox_hash::XxHash3_64;

/// Returns the hash of a service's object.
pub fn object_hash(service: &str, object: &[u8]) -> u64 {
    XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(service.as_bytes()), object)
}

/// Maps an object's hash to a number above 0 and below 1.
pub fn unit_hash(object: u64) -> f64 {
    unit(rehash(object))
}

/// Returns a hash of an object's hash that is independent of it.
pub(super) fn rehash(object: u64) -> u64 {
    XxHash3_64::oneshot(&object.to_le_bytes())
}

/// Maps a hash to a number above 0 and below 1.
pub(super) fn unit(hash: u64) -> f64 {
    // An `f64` holds 53 bits exactly.
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
