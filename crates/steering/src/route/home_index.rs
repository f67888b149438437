//! Ranks the members of a pool for an object by weighted rendezvous hashing.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
//! Transactions on Networking 6(1), 1998; with weights as in Schindelhauer and Schomaker,
//! "Weighted distributed hash tables", SPAA 2005. When a member joins or leaves, only its
//! own objects move.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::iter;

use super::object_hash::{rehash, unit};

/// Number of homes that are found in the first pass over the members. Most requests need
/// one or two.
const FIRST_HOMES: usize = 4;

/// Members of a pool, arranged so that an object's first homes are found by one
/// multiplication for each member.
#[derive(Debug, Default)]
pub struct HomeIndex {
    /// Members by weight; each member is in one class.
    classes: Vec<WeightClass>,
}

/// Members of the same weight. Among them the hash alone has the order of the weighted
/// score.
#[derive(Debug)]
struct WeightClass {
    weight: f64,
    /// Hashes of the members, in the order of `positions`.
    hashes: Vec<u64>,
    /// Positions of the members in the pool, in rising order.
    positions: Vec<usize>,
}

/// The part of a member's score that depends on the object alone.
#[derive(Clone, Copy)]
struct ObjectKey {
    object: u64,
    /// Odd, so that the multiplication loses no bits.
    multiplier: u64,
}

impl ObjectKey {
    fn new(object: u64) -> Self {
        ObjectKey {
            object,
            multiplier: rehash(object) | 1,
        }
    }

    /// Hash of the object with a member: the folded product, as in wyhash.
    fn hash(self, member: u64) -> u64 {
        let product = u128::from(member ^ self.object) * u128::from(self.multiplier);
        (product >> 64) as u64 ^ product as u64
    }
}

impl HomeIndex {
    /// Creates the index of members that are given by their hashes and weights.
    pub fn new(members: impl Iterator<Item = (u64, f64)>) -> Self {
        let mut classes: Vec<WeightClass> = Vec::new();
        for (position, (hash, weight)) in members.enumerate() {
            let class = classes.iter().position(|class| class.weight == weight);
            let class = class.unwrap_or_else(|| {
                classes.push(WeightClass {
                    weight,
                    hashes: Vec::new(),
                    positions: Vec::new(),
                });
                classes.len() - 1
            });
            classes[class].hashes.push(hash);
            classes[class].positions.push(position);
        }
        HomeIndex { classes }
    }

    /// Returns the positions of all members in the order of their score for an object;
    /// members of weight 0 come last.
    pub fn rank(&self, object: u64) -> impl Iterator<Item = usize> + '_ {
        let key = ObjectKey::new(object);
        let first = self.first_homes(key);
        let found = first.len();
        let others = iter::once_with(move || self.all_homes(key).skip(found)).flatten();
        first.into_iter().chain(others)
    }

    /// The first homes, in order.
    fn first_homes(&self, key: ObjectKey) -> Vec<usize> {
        let classes = self.classes.iter();
        let mut scored: Vec<Scored> = classes.flat_map(|class| class.highest(key)).collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.truncate(FIRST_HOMES);
        scored.into_iter().map(|scored| scored.position).collect()
    }

    /// All homes, in order.
    fn all_homes(&self, key: ObjectKey) -> impl Iterator<Item = usize> + use<> {
        let classes = self.classes.iter();
        let scored = classes.flat_map(|class| {
            let members = class.hashes.iter().zip(&class.positions);
            members.map(move |(hash, position)| class.scored(key.hash(*hash), *position))
        });
        let mut scored: BinaryHeap<Scored> = scored.collect();
        iter::from_fn(move || scored.pop().map(|scored| scored.position))
    }
}

impl WeightClass {
    /// The members of the highest scores, at most [`FIRST_HOMES`].
    fn highest(&self, key: ObjectKey) -> Vec<Scored> {
        let hashed = self.hashes.iter().map(|member| key.hash(*member));
        let mut hashed = hashed.zip(&self.positions);
        let mut highest: Vec<(u64, &usize)> = hashed.by_ref().take(FIRST_HOMES).collect();
        highest.sort_unstable_by_key(|(hash, position)| (Reverse(*hash), *position));
        let mut lowest = highest.last().map_or(0, |(hash, _)| *hash);
        for (hash, position) in hashed {
            if hash > lowest {
                highest.pop();
                let place = highest.partition_point(|(other, _)| *other >= hash);
                highest.insert(place, (hash, position));
                lowest = highest[FIRST_HOMES - 1].0;
            }
        }
        let highest = highest.into_iter();
        highest
            .map(|(hash, position)| self.scored(hash, *position))
            .collect()
    }

    fn scored(&self, hash: u64, position: usize) -> Scored {
        Scored {
            score: self.weight / -unit(hash).ln(),
            hash,
            position,
        }
    }
}

/// A member with its rendezvous score for an object.
struct Scored {
    score: f64,
    hash: u64,
    position: usize,
}

impl Ord for Scored {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score
            .then(self.hash.cmp(&other.hash))
            .then(other.position.cmp(&self.position))
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
