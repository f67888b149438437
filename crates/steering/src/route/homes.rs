//! Which upstreams look after an object: weighted rendezvous hashing.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! IEEE/ACM Transactions on Networking 6(1), 1998; with weights as in Schindelhauer
//! and Schomaker, "Weighted distributed hash tables", SPAA 2005. When a member
//! comes or goes only its own objects move.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::iter;

use twox_hash::XxHash3_64;

/// A hash of an object of a service, the same on every host.
pub fn object_hash(service: &str, object: &[u8]) -> u64 {
    XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(service.as_bytes()), object)
}

/// Places of members in the order of their claim to an object, each given by its own
/// hash and its weight. Members without weight come last.
///
/// The order is found as far as it is asked for: most requests need the first one or
/// two of thousands.
pub fn rank(object: u64, members: impl Iterator<Item = (u64, f64)>) -> impl Iterator<Item = usize> {
    let claims = members.enumerate().map(|(place, (hash, weight))| Claim {
        score: claim(object, hash, weight),
        place,
    });
    let mut claims: BinaryHeap<Claim> = claims.collect();
    iter::from_fn(move || claims.pop().map(|claim| claim.place))
}

/// A member's claim to an object.
struct Claim {
    score: f64,
    place: usize,
}

impl Ord for Claim {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then(other.place.cmp(&self.place))
    }
}

impl PartialOrd for Claim {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Claim {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Claim {}

fn claim(object: u64, member: u64, weight: f64) -> f64 {
    let mixed = XxHash3_64::oneshot_with_seed(object, &member.to_le_bytes());
    weight / -unit(mixed).ln()
}

/// An object's own number, above 0 and below 1.
pub fn place(object: u64) -> f64 {
    unit(XxHash3_64::oneshot(&object.to_le_bytes()))
}

/// A hash as a number above 0 and below 1.
fn unit(hash: u64) -> f64 {
    // 53 bits are what a double holds exactly.
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
