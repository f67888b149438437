//! When a host that is told to stop ceases to accept work.

use std::time::Duration;

/// Longest time for which a stopping host accepts connections. Callers use its address until their
/// last look-up has expired.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);
/// Longest time after that in which a first request may arrive on a connection just accepted.
const MAX_FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time before the end of the grace period at which requests under way are given up.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Longest time after that in which their answers are written.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);

/// The steps of a planned stop. All times count from the signal to stop, whenever a connection was
/// opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimetable {
    /// Until when new connections are accepted; at most half of the grace period.
    pub accept_until: Duration,
    /// Until when a request may begin, on any connection. Never before `accept_until`. Connections
    /// without a request are closed then, unread, so that their callers can go elsewhere.
    pub begin_until: Duration,
    /// When requests under way are given up and get a final answer.
    pub end: Duration,
    /// When the process ends in any case: at `end` or later, and within the grace period.
    pub exit: Duration,
}

impl StopTimetable {
    /// Plans a stop. `longest_work` is the longest time that a request may take; none if that has
    /// no bound.
    pub fn new(grace_period: Duration, longest_work: Option<Duration>) -> Self {
        let end = grace_period.saturating_sub(END_MARGIN);
        let accept_until = MAX_ACCEPT_TIME.min(grace_period / 2).min(end);
        let latest_begin = longest_work.map_or(Duration::ZERO, |work| end.saturating_sub(work));
        StopTimetable {
            accept_until,
            begin_until: latest_begin
                .clamp(accept_until, accept_until + MAX_FIRST_REQUEST_TIME)
                .min(end),
            end,
            exit: (end + LAST_ANSWERS_TIME).min(grace_period),
        }
    }

    /// Whether work that begins `since_signal` after the signal is done before it is given up.
    pub fn ends_in_time(&self, since_signal: Duration, work: Duration) -> bool {
        since_signal + work <= self.end
    }

    /// Whether a request of this length that begins as late as allowed is done in time.
    pub fn has_time_for(&self, work: Duration) -> bool {
        self.ends_in_time(self.begin_until, work)
    }
}
