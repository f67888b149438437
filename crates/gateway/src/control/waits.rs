//! Measures what delays the changes of a feed.

use std::time::Duration;

use derive_more::Display;

/// What this host waits for before it continues with a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Wait {
    /// An update from another host.
    #[display("listening")]
    Update,
    /// The interval between two polls of the store.
    #[display("pace")]
    PollInterval,
    /// The calls of other feeds to an unavailable store, and the backoff after a failure.
    #[display("turn")]
    Turn,
    /// The store's answer.
    #[display("store")]
    Store,
    /// Another host's answer.
    #[display("host")]
    Host,
}

/// The longest wait since the feed's state was last renewed.
#[derive(Debug, Default)]
pub(super) struct LongestWait {
    longest: Option<(Wait, Duration)>,
}

impl LongestWait {
    /// Records a completed wait.
    pub fn record(&mut self, wait: Wait, took: Duration) {
        if self.longest.is_none_or(|(_, longest)| took > longest) {
            self.longest = Some((wait, took));
        }
    }

    /// Takes the longest wait and starts over.
    pub fn take(&mut self) -> Option<(Wait, Duration)> {
        self.longest.take()
    }
}
