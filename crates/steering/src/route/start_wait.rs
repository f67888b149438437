//! How long requests wait at a host that has just started.

use std::time::Duration;

/// Time after its start in which a host that is not ready counts as starting. A host that
/// can't be ready, for want of a document, refuses requests at once after that.
const START_TIME: Duration = Duration::from_secs(3);
/// Longest wait of a request.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Part of the time until its deadline for which a request may wait; most of it is left for
/// the request itself.
const WAIT_SHARE: f64 = 0.25;

/// Returns for how long a request waits for this host to be ready; zero if it must be refused
/// at once. `started_for` is the time since this host started, `time_left` the time until
/// the request's deadline.
///
/// Where all hosts start at once, a caller that is refused meets another host that starts,
/// and most callers retry only once.
pub fn start_wait(started_for: Duration, time_left: Duration) -> Duration {
    let starting_for = START_TIME.saturating_sub(started_for);
    let max_wait = time_left.mul_f64(WAIT_SHARE);
    MAX_WAIT.min(starting_for).min(max_wait)
}
