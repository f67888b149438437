//! Ranks upstreams for an object by weighted rendezvous hashing.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
//! Transactions on Networking 6(1), 1998; with weights as in Schindelhauer and Schomaker,
//! "Weighted distributed hash tables", SPAA 2005. When a member joins or leaves, only its
//! own objects move.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::iter;

use twox_hash::XxHash3_64;

/// Returns the hash of a service's object, the same on every host.
pub fn object_hash(service: &str, object: &[u8]) -> u64 {
    XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(service.as_bytes()), object)
}

/// Returns the indexes of members in the order of their score for an object. Each member is
/// given by its own hash and its weight; members of weight 0 come last.
///
/// The order is computed lazily: most requests need only the first one or two of thousands
/// of members.
pub fn rank(object: u64, members: impl Iterator<Item = (u64, f64)>) -> impl Iterator<Item = usize> {
    let mut weights = (f64::INFINITY, 0.0_f64);
    let scored = members.enumerate().map(|(index, (hash, weight))| {
        weights = (weights.0.min(weight), weights.1.max(weight));
        let score = unit(XxHash3_64::oneshot_with_seed(object, &hash.to_le_bytes()));
        (Scored { score, index }, weight)
    });
    let scored: Vec<(Scored, f64)> = scored.collect();
    // Among equal weights the hash alone has the same order as the weighted score.
    let is_weighted = weights.0 < weights.1;
    let scored = scored
        .into_iter()
        .map(|(scored, weight)| match is_weighted {
            true => Scored {
                score: weight / -scored.score.ln(),
                ..scored
            },
            false => scored,
        });
    let mut scored: BinaryHeap<Scored> = scored.collect();
    iter::from_fn(move || scored.pop().map(|score| score.index))
}

/// A member with its rendezvous score for an object.
struct Scored {
    score: f64,
    index: usize,
}

impl Ord for Scored {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then(other.index.cmp(&self.index))
    }
}

impl PartialOrd for Scored {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scored {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scored {}

/// Maps an object's hash to a number above 0 and below 1.
pub fn unit_hash(object: u64) -> f64 {
    unit(XxHash3_64::oneshot(&object.to_le_bytes()))
}

/// Maps a hash to a number above 0 and below 1.
fn unit(hash: u64) -> f64 {
    // An `f64` holds 53 bits exactly.
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
