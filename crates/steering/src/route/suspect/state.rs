//! Replicated state of refused work, exchanged when a host asks another for updates that it
//! missed.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

use super::work::WorkKey;

/// Digest over all shared states; equal digests mean that two hosts know the same.
pub type WorkDigest = u64;

/// Version of the state of a request or an object. Each crash, answer and clearing raises the
/// version, so that hosts converge whatever the order of delivery. Starting a trial does not raise
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkRank {
    /// Number of times that suspicion known to other hosts was cleared.
    pub clears: u32,
    /// Crashes since the last clearing.
    #[serde(rename = "ends")]
    pub crashes: u32,
    /// Answers since the last crash.
    pub answers: u32,
}

/// Replicated state of one request or object that is or was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkState {
    /// The request or object.
    pub key: WorkKey,
    /// Version of this state.
    pub rank: WorkRank,
    /// Hashes of the latest upstream starts that crashed while running this work.
    pub starts: Vec<u64>,
    /// Time since the last crash, in milliseconds; since the clearing if there was no crash after
    /// it.
    #[serde(rename = "last_end_ms")]
    pub last_crash_ms: u32,
    /// Time since the last clearing, in milliseconds.
    pub cleared_ms: Option<u32>,
    /// Time since the last answer, in milliseconds.
    pub last_answer_ms: Option<u32>,
    /// Time since the current trial request was admitted, in milliseconds; `None` without a trial.
    #[serde(rename = "tried_ms")]
    pub trial_ms: Option<u32>,
}

/// The instant `age_ms` before `now`; `now` itself if the clock does not reach that far back.
pub(super) fn instant_before(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms.into()))
        .unwrap_or(now)
}

/// Digest of one state. The digests are combined by XOR, so their order does not matter.
pub(super) fn digest(key: WorkKey, rank: WorkRank) -> WorkDigest {
    let WorkRank {
        clears,
        crashes,
        answers,
    } = rank;
    let counters = [clears, crashes, answers];
    counters.iter().fold(key, |digest, counter| {
        XxHash3_64::oneshot_with_seed(digest, &counter.to_le_bytes())
    })
}
