//! An upper bound on the time that a message was under way, without synchronized clocks.
//!
//! A message is sent after its sender got the reply to the one before, and that reply was sent
//! after the one before had come. So the time since then on the receiver's clock, less the time
//! since the reply on the sender's, is at least the time that the message was under way. It
//! exceeds that time by the way of one reply.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use steering::route::Feed;

/// The sender's side, for one session.
#[derive(Debug)]
pub struct ReplyTimes {
    /// When the session was asked for, in reply to the receiver's challenge.
    opened: Instant,
    last: HashMap<Feed, Instant>,
}

impl ReplyTimes {
    /// A session that was asked for at `opened`.
    pub fn new(opened: Instant) -> Self {
        ReplyTimes {
            opened,
            last: HashMap::new(),
        }
    }

    /// Notes the reply to a message.
    pub fn record(&mut self, feed: Feed, now: Instant) {
        self.last.insert(feed, now);
    }

    /// Time since the last reply.
    pub fn since_last(&self, feed: Feed, now: Instant) -> Duration {
        let last = self.last.get(&feed).unwrap_or(&self.opened);
        now.saturating_duration_since(*last)
    }
}

/// The receiver's side, for one session.
#[derive(Debug)]
pub struct ReceiptTimes {
    /// When the sender was given its challenge.
    challenged: Instant,
    last: HashMap<Feed, Instant>,
}

impl ReceiptTimes {
    /// A session whose sender was given its challenge at `challenged`.
    pub fn new(challenged: Instant) -> Self {
        ReceiptTimes {
            challenged,
            last: HashMap::new(),
        }
    }

    /// Longest time that a message can have been under way that comes now, and whose sender
    /// had the last reply `since_reply` before it sent it.
    pub fn max_transit_time(
        &mut self,
        feed: Feed,
        now: Instant,
        since_reply: Duration,
    ) -> Duration {
        let before = self.last.insert(feed, now).unwrap_or(self.challenged);
        now.saturating_duration_since(before)
            .saturating_sub(since_reply)
    }
}
