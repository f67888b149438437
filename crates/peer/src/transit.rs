//! Computes an upper bound on the transit time of a message without synchronized clocks.
//!
//! The sender sends a message after it received the reply to the previous message, and the
//! receiver sent that reply after it received the previous message. The time between the two
//! messages on the receiver's clock, minus the time between reply and message on the sender's
//! clock, is therefore at least the transit time of the message. The difference is the transit
//! time of the reply.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use steering::route::Feed;

/// When the sender received replies, for one session.
#[derive(Debug)]
pub struct ReplyTimes {
    /// Instant at which the sender answered the receiver's challenge.
    opened: Instant,
    last: HashMap<Feed, Instant>,
}

impl ReplyTimes {
    /// Creates the state of a session that was requested at `opened`.
    pub fn new(opened: Instant) -> Self {
        ReplyTimes {
            opened,
            last: HashMap::new(),
        }
    }

    /// Records that the reply to a message arrived at `now`.
    pub fn record(&mut self, feed: Feed, now: Instant) {
        self.last.insert(feed, now);
    }

    /// Returns the time since the last reply for `feed`, or since the session was requested.
    pub fn since_last(&self, feed: Feed, now: Instant) -> Duration {
        let last = self.last.get(&feed).unwrap_or(&self.opened);
        now.saturating_duration_since(*last)
    }
}

/// When the receiver received messages, for one session.
#[derive(Debug)]
pub struct ReceiptTimes {
    /// Instant at which the receiver sent the challenge.
    challenged: Instant,
    last: HashMap<Feed, Instant>,
}

impl ReceiptTimes {
    /// Creates the state of a session whose challenge was sent at `challenged`.
    pub fn new(challenged: Instant) -> Self {
        ReceiptTimes {
            challenged,
            last: HashMap::new(),
        }
    }

    /// Returns the maximum transit time of a message that arrives at `now` and was sent
    /// `since_reply` after its sender received the previous reply.
    pub fn max_transit_time(
        &mut self,
        feed: Feed,
        now: Instant,
        since_reply: Duration,
    ) -> Duration {
        let previous = self.last.insert(feed, now).unwrap_or(self.challenged);
        now.saturating_duration_since(previous)
            .saturating_sub(since_reply)
    }
}
