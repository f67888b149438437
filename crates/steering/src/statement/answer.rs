//! What an answer says of the upstream that gave it.

use std::time::Duration;

/// Longest rest that is taken from one answer. An upstream that can take nothing for
/// longer leaves; with an hour, one that has written nonsense costs a host a request an hour.
const REST_MOST: Duration = Duration::from_secs(3_600);
/// Rest of one that wants it and does not say readably for how long: the least that can be
/// said in whole seconds.
const REST_UNREADABLE: Duration = Duration::from_secs(1);

/// What an answer states of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether the upstream leaves: it is to get no more work.
    pub leaves: bool,
    /// For how long it wants nothing from this host; none where it does not say so.
    pub rest: Option<RestAsked>,
}

/// A rest that an upstream asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestAsked {
    /// For this long from the answer on, whatever that is.
    For(Duration),
    /// For a time that can't be read.
    Unreadable,
}

impl RestAsked {
    /// The rest that it gets: an hour at most, a second where it can't be read.
    pub fn granted(self) -> Duration {
        match self {
            RestAsked::For(time) => time.min(REST_MOST),
            RestAsked::Unreadable => REST_UNREADABLE,
        }
    }

    /// Whether it gets what it asked for.
    pub fn is_granted_whole(self) -> bool {
        matches!(self, RestAsked::For(time) if time <= REST_MOST)
    }
}
