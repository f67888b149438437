//! Reasons not to send a request to an upstream.

use std::time::Duration;

use derive_more::Display;

/// Reason not to send a request to an upstream now. The upstream's own statements take precedence
/// over what this host has observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Obstacle {
    /// Another start of an upstream has its address.
    #[display("replaced")]
    Replaced,
    /// The upstream stated that it is leaving.
    #[display("leaves")]
    Leaves,
    /// The upstream requested a rest; this much of the rest remains.
    #[display("rests")]
    Rests(Duration),
    /// The rest is over, and the first request after it has not been answered yet.
    #[display("returns")]
    TrialPending,
    /// The upstream requested a limit, and no holder of a share has a token for this much longer.
    #[display("limits")]
    LimitExhausted(Duration),
    /// Recent requests to the upstream failed.
    #[display("failed")]
    Failed,
    /// None of the requests in flight at the upstream has been answered.
    #[display("silent")]
    Silent,
}

impl Obstacle {
    /// Whether the obstacle follows from a statement of the upstream, which is binding.
    pub fn is_stated(self) -> bool {
        !matches!(self, Obstacle::Failed | Obstacle::Silent)
    }

    /// Whether the obstacle also blocks a request for which the upstream was chosen earlier, and
    /// which has waited for a connection since. Not for `TrialPending`, since the request may be
    /// the trial itself, nor for `LimitExhausted`, since the request may already hold a token.
    pub fn blocks_chosen_request(self) -> bool {
        self.is_stated() && !matches!(self, Obstacle::TrialPending | Obstacle::LimitExhausted(_))
    }
}
