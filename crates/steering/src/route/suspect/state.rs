//! What hosts know of refused work, as one asks another for what it may have missed.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

use super::work::WorkKey;

/// Tells whether two hosts know the same.
pub type WorkDigest = u64;

/// How much is known of a request or an object. Each end, answer and clearing raises this, so
/// that hosts agree whatever order they hear in; that one finds out does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkRank {
    /// Times that it was cleared of what other hosts may hold against it.
    pub clears: u32,
    /// Ends since.
    pub ends: u32,
    /// Answers since the last end.
    pub answers: u32,
}

/// What a host knows of a request or an object that is refused, or was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkState {
    /// Which one.
    pub key: WorkKey,
    /// How much is known of it.
    pub rank: WorkRank,
    /// Hashes of the starts of upstreams that have ended under it, the last ones.
    pub starts: Vec<u64>,
    /// Time since the last end, in milliseconds; since it was cleared where there is none.
    pub last_end_ms: u32,
    /// Time since it was cleared last, in milliseconds.
    pub cleared_ms: Option<u32>,
    /// Time since the last answer, in milliseconds.
    pub last_answer_ms: Option<u32>,
    /// Time since a request was let through to find out, in milliseconds; none where none is.
    pub tried_ms: Option<u32>,
}

/// The moment that lies so long before `now`; `now` where the clock does not reach so far back.
pub(super) fn ago(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms.into()))
        .unwrap_or(now)
}

/// A part of the digest that does not depend on the others' order.
pub(super) fn digest(key: WorkKey, rank: WorkRank) -> WorkDigest {
    let WorkRank {
        clears,
        ends,
        answers,
    } = rank;
    let parts = [clears, ends, answers];
    parts.iter().fold(key, |digest, part| {
        XxHash3_64::oneshot_with_seed(digest, &part.to_le_bytes())
    })
}
