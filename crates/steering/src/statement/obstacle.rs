//! Why an upstream may not be sent a request now.

use std::time::Duration;

use derive_more::Display;

/// What stands against a request to an upstream. What it has said of itself comes first: it
/// binds, whatever else this host has learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Obstacle {
    /// Another start has its address.
    #[display("replaced")]
    Replaced,
    /// It has said that it leaves.
    #[display("leaves")]
    Leaves,
    /// It has asked for rest, which lasts so much longer.
    #[display("rests")]
    Rests(Duration),
    /// Its rest is over, and the first request after it is not answered yet.
    #[display("returns")]
    TrialPending,
    /// It names a limit, and no host that holds a part of it has a token for so much longer.
    #[display("limits")]
    LimitExhausted(Duration),
    /// It has failed lately.
    #[display("failed")]
    Failed,
    /// Nothing has come back of what is in flight there.
    #[display("silent")]
    Silent,
}

impl Obstacle {
    /// Whether the upstream itself has said so, and it therefore binds.
    pub fn is_stated(self) -> bool {
        !matches!(self, Obstacle::Failed | Obstacle::Silent)
    }

    /// Whether it also bars a request that was chosen before, and has waited for a connection
    /// since. The first request after a rest is such a one itself, and one that has a token
    /// may go though there is none for others.
    pub fn blocks_chosen_request(self) -> bool {
        self.is_stated() && !matches!(self, Obstacle::TrialPending | Obstacle::LimitExhausted(_))
    }
}
