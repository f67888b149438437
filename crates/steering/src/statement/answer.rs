//! The statements of a single answer.

use std::time::Duration;

/// Longest rest that is granted per answer. An upstream that can take nothing for longer should
/// announce that it leaves. With an hour, an upstream that sends a nonsensical value receives one
/// request per hour and host.
const MAX_REST: Duration = Duration::from_secs(3_600);
/// Rest granted if the requested time is unreadable: the shortest that can be expressed in whole
/// seconds.
const REST_IF_UNREADABLE: Duration = Duration::from_secs(1);

/// Minimum limit that is granted, in requests per second over all hosts. With a limit of 0 no host
/// would ever learn that the upstream accepts work again, so one request is sent every four
/// seconds.
const MIN_LIMIT_PER_S: f64 = 0.25;
/// Limits from this value on, in requests per second, are ignored, since no upstream receives so
/// many requests.
const UNLIMITED_FROM_PER_S: f64 = 100_000.0;
/// Limit granted if the requested number is unreadable, in requests per second: the lowest that
/// can be expressed as a whole number.
const LIMIT_IF_UNREADABLE_PER_S: f64 = 1.0;

/// What an answer states about the upstream that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// Whether the upstream is leaving and must not receive more work.
    pub leaves: bool,
    /// Time for which the upstream wants no requests from this host; `None` without such a
    /// statement.
    pub rest: Option<RequestedRest>,
    /// Request rate that the upstream accepts from all hosts in total; `None` without a limit.
    pub limit: Option<RequestedLimit>,
}

/// A limit that an upstream requests, on the requests of all hosts in total.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestedLimit {
    /// Requests per second; not negative.
    PerSecond(f64),
    /// The number could not be read.
    Unreadable,
}

impl RequestedLimit {
    /// Requests per second that are granted; `None` if the limit is too high to matter.
    pub fn granted(self) -> Option<f64> {
        match self {
            RequestedLimit::PerSecond(per_s) if per_s >= UNLIMITED_FROM_PER_S => None,
            RequestedLimit::PerSecond(per_s) => Some(per_s.max(MIN_LIMIT_PER_S)),
            RequestedLimit::Unreadable => Some(LIMIT_IF_UNREADABLE_PER_S),
        }
    }

    /// Whether exactly the requested limit is granted.
    pub fn is_granted_in_full(self) -> bool {
        matches!(self, RequestedLimit::PerSecond(per_s) if self.granted() == Some(per_s))
    }
}

/// A rest that an upstream requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestedRest {
    /// For this time from the answer on, without an upper bound.
    For(Duration),
    /// The time could not be read.
    Unreadable,
}

impl RequestedRest {
    /// The rest that is granted: at most an hour, and a second if the time is unreadable.
    pub fn granted(self) -> Duration {
        match self {
            RequestedRest::For(time) => time.min(MAX_REST),
            RequestedRest::Unreadable => REST_IF_UNREADABLE,
        }
    }

    /// Whether the requested rest is granted in full.
    pub fn is_granted_in_full(self) -> bool {
        matches!(self, RequestedRest::For(time) if time <= MAX_REST)
    }
}
