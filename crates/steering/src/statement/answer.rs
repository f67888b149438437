//! What an answer says of the upstream that gave it.

use std::time::Duration;

/// Longest rest that is taken from one answer. An upstream that can take nothing for
/// longer leaves; with an hour, one that has written nonsense costs a host a request an hour.
const REST_MOST: Duration = Duration::from_secs(3_600);
/// Rest of one that wants it and does not say readably for how long: the least that can be
/// said in whole seconds.
const REST_UNREADABLE: Duration = Duration::from_secs(1);

/// Least limit that is kept, in requests a second over all hosts. With one that takes nothing
/// for ever nobody would hear when it takes work again; one in four seconds asks.
const LIMIT_LEAST_PER_S: f64 = 0.25;
/// Limit from which on one binds nobody, in requests a second: no upstream gets so many.
const LIMIT_MOST_PER_S: f64 = 100_000.0;
/// Limit of one that names one and not readably how much, in requests a second: the least that
/// can be said in a whole number.
const LIMIT_UNREADABLE_PER_S: f64 = 1.0;

/// What an answer states of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// Whether the upstream leaves: it is to get no more work.
    pub leaves: bool,
    /// For how long it wants nothing from this host; none where it does not say so.
    pub rest: Option<RequestedRest>,
    /// How much it takes from all hosts together; none where it names no limit.
    pub limit: Option<RequestedLimit>,
}

/// A limit that an upstream names: requests a second from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestedLimit {
    /// So many, not negative.
    PerSecond(f64),
    /// A number that can't be read.
    Unreadable,
}

impl RequestedLimit {
    /// Requests a second that it gets; none where the limit binds nobody.
    pub fn granted(self) -> Option<f64> {
        match self {
            RequestedLimit::PerSecond(per_s) if per_s >= LIMIT_MOST_PER_S => None,
            RequestedLimit::PerSecond(per_s) => Some(per_s.max(LIMIT_LEAST_PER_S)),
            RequestedLimit::Unreadable => Some(LIMIT_UNREADABLE_PER_S),
        }
    }

    /// Whether it is kept as it was named.
    pub fn is_granted_in_full(self) -> bool {
        matches!(self, RequestedLimit::PerSecond(per_s) if self.granted() == Some(per_s))
    }
}

/// A rest that an upstream asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestedRest {
    /// For this long from the answer on, whatever that is.
    For(Duration),
    /// For a time that can't be read.
    Unreadable,
}

impl RequestedRest {
    /// The rest that it gets: an hour at most, a second where it can't be read.
    pub fn granted(self) -> Duration {
        match self {
            RequestedRest::For(time) => time.min(REST_MOST),
            RequestedRest::Unreadable => REST_UNREADABLE,
        }
    }

    /// Whether it gets what it asked for.
    pub fn is_granted_in_full(self) -> bool {
        matches!(self, RequestedRest::For(time) if time <= REST_MOST)
    }
}
