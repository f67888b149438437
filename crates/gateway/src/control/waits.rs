//! What holds news of a feed up on their way into this host's beliefs.

use std::time::Duration;

use derive_more::Display;

/// What a host waits for before it goes on with a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Wait {
    /// Another host is expected to tell.
    #[display("listening")]
    Listening,
    /// The pause between two questions to the store.
    #[display("pace")]
    Pace,
    /// Other feeds' turns to ask a store that is away, and the pause after a failure.
    #[display("turn")]
    Turn,
    /// The store's answer.
    #[display("store")]
    Store,
    /// Another host's answer.
    #[display("host")]
    Host,
}

/// The longest wait since the feed was last heard.
#[derive(Debug, Default)]
pub(super) struct Waits {
    longest: Option<(Wait, Duration)>,
}

impl Waits {
    /// Notes a wait that is over.
    pub fn note(&mut self, wait: Wait, took: Duration) {
        if self.longest.is_none_or(|(_, longest)| took > longest) {
            self.longest = Some((wait, took));
        }
    }

    /// The longest one; what follows is counted anew.
    pub fn take(&mut self) -> Option<(Wait, Duration)> {
        self.longest.take()
    }
}
