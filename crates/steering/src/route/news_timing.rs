//! How long news may wait on their way from the store into a host's beliefs.
//!
//! What must hold is the sum of the waits on each way that a fault can force. A test adds them
//! up from the constants here, for the bounds of every deployment that is known.

use std::time::Duration;

/// Share of the tightest bound after which what a host knows is too old to wait for others.
const STALE_SHARE: f64 = 0.6;
/// Share of the tightest bound between two questions of the leader.
const PACE_SHARE: f64 = 0.25;
/// Share of the tightest bound for which a question waits for news.
const WAIT_SHARE: f64 = 0.2;

/// Longest wait for a call to the store that does not itself wait. The store answers in some
/// 4 ms, and up to 80 times as slowly on its slow days.
pub const STORE_CALL_LIMIT: Duration = Duration::from_millis(800);
/// Longest wait for another host's answer to a question. Some hundred KB take 0.1 s on a link
/// of 10 Mbit/s; a host that has lost its power answers nothing at all.
pub const HOST_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Time after the store's return in which all hosts are told of reports that lapsed while it
/// was away. What vanishes later has left: held on, it would get work for longer than a
/// service may allow, which is 2 s in the tightest deployment known.
pub const LAPSES_TOLD_WITHIN: Duration = Duration::from_secs(1);

/// Time that is left, when a host that was cut off counts as in touch again, for its first call
/// to the store that is answered.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_millis(200);
/// Shortest of the longest pauses, where hosts count as in touch again after very little time.
const PAUSE_MOST_LEAST: Duration = Duration::from_millis(400);

/// Pauses and waits of a host that follows a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewsTiming {
    /// Shortest time in which what the feed says must be heeded.
    pub tightest: Duration,
}

impl NewsTiming {
    /// Age of what a host knows at which it asks for itself.
    pub fn stale_after(self) -> Duration {
        self.tightest.mul_f64(STALE_SHARE)
    }

    /// Time between two questions.
    pub fn pace(self) -> Duration {
        self.tightest.mul_f64(PACE_SHARE)
    }

    /// Time for which a question waits for news.
    pub fn wait(self) -> Duration {
        self.tightest.mul_f64(WAIT_SHARE)
    }
}

/// Longest pause between calls to a store that gives no answer, whatever chance adds to it.
///
/// `contact` is the time after which a host that was cut off counts as in touch again. By then
/// it must have heard of everything, though a call was under way when the cut ended. With
/// pauses of up to 3.2 s a host asked as late as 4.0 s after a cut, and counted as in touch
/// after 3 s (sum of the constants).
pub fn pause_most(contact: Duration) -> Duration {
    let others = STORE_CALL_LIMIT + FIRST_ANSWER_WITHIN + LAPSES_TOLD_WITHIN;
    contact.saturating_sub(others).max(PAUSE_MOST_LEAST)
}
