//! Limits calls to the store while the store does not answer.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

/// Pause after the first failed call to the store, doubled after each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Shortest pause between attempts to write a host's own row.
const MIN_ROW_BACKOFF: Duration = Duration::from_millis(1_200);
/// Longest pause between attempts to write a host's own rows, which are not urgent.
pub(super) const MAX_ROW_BACKOFF: Duration = Duration::from_millis(3_200);

/// Jittered exponential backoff between failed calls to the store, at most `max_delay`. The jitter
/// prevents hosts that failed together from retrying together.
pub(super) fn backoff(max_delay: Duration) -> ExponentialBackoff {
    backoff_from(INITIAL_BACKOFF, max_delay)
}

/// Backoff between attempts to write a host's own row. When all hosts start, their writes wait in
/// the store for a second or more; an attempt that got no answer is still among them.
pub(super) fn row_backoff() -> ExponentialBackoff {
    backoff_from(MIN_ROW_BACKOFF, MAX_ROW_BACKOFF)
}

fn backoff_from(min_delay: Duration, max_delay: Duration) -> ExponentialBackoff {
    // The jitter adds up to the same amount again.
    let max_delay = max_delay / 2;
    let backoff = ExponentialBuilder::new().with_min_delay(min_delay.min(max_delay));
    let backoff = backoff.with_max_delay(max_delay).without_max_times();
    backoff.with_jitter().build()
}

/// Whether the store is unavailable to this host. During an outage the feeds call the store one
/// after the other, since each call of each host fails and costs money.
///
/// A turn lasts for one call. Any answer ends the outage for all feeds, even an error that the
/// history is gone: waiting for the turns and pauses of other feeds would delay a document by 4 s
/// after 3 s without history.
#[derive(Default)]
pub(super) struct Outage {
    /// When the store may be called again; none if the store is available.
    retry_at: Cell<Option<Instant>>,
    /// Remaining backoff; none if the store is available.
    backoff: RefCell<Option<ExponentialBackoff>>,
    turn: Mutex<()>,
}

impl Outage {
    /// Waits until a call may be made. During an outage, returns a guard that excludes calls for
    /// other feeds.
    pub async fn wait_for_turn(&self) -> Option<MutexGuard<'_, ()>> {
        self.retry_at.get()?;
        let turn = self.turn.lock().await;
        // The previous call may have ended the outage.
        let retry_at = self.retry_at.get()?;
        sleep(clock::remaining(retry_at)).await;
        Some(turn)
    }

    /// Whether the store is unavailable.
    pub fn is_active(&self) -> bool {
        self.retry_at.get().is_some()
    }

    /// Records that the store answered. Returns whether there was an outage.
    pub fn record_answer(&self) -> bool {
        self.backoff.take();
        self.retry_at.take().is_some()
    }

    /// Records that the store did not answer. The pause until the next call is at most
    /// `max_backoff`.
    pub fn record_failure(&self, max_backoff: Duration) {
        let mut backoff = self.backoff.borrow_mut();
        let backoff = backoff.get_or_insert_with(|| self::backoff(max_backoff));
        let delay = backoff.next().unwrap_or(max_backoff);
        self.retry_at.set(Some(clock::now() + delay));
    }
}
