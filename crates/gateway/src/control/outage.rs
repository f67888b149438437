//! Limits calls to the store while the store does not answer.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

/// Pause after the first failed call to the store, doubled after each further failure.
const PAUSE_FIRST: Duration = Duration::from_millis(400);
/// Longest pause between attempts to write a host's own rows, which are not urgent.
pub(super) const ROW_PAUSE_MOST: Duration = Duration::from_millis(3_200);

/// Jittered exponential backoff between failed calls to the store, at most `most`. The jitter
/// prevents hosts that failed together from retrying together.
pub(super) fn pauses(most: Duration) -> ExponentialBackoff {
    // The jitter adds up to the same amount again.
    let most = most / 2;
    let pauses = ExponentialBuilder::new().with_min_delay(PAUSE_FIRST.min(most));
    let pauses = pauses.with_max_delay(most).without_max_times();
    pauses.with_jitter().build()
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
    until: Cell<Option<Instant>>,
    /// Remaining backoff; none if the store is available.
    pauses: RefCell<Option<ExponentialBackoff>>,
    turn: Mutex<()>,
}

impl Outage {
    /// Waits until a call may be made. During an outage, returns a guard that excludes calls for
    /// other feeds.
    pub async fn turn(&self) -> Option<MutexGuard<'_, ()>> {
        self.until.get()?;
        let turn = self.turn.lock().await;
        // The previous call may have ended the outage.
        let until = self.until.get()?;
        sleep(clock::left(until)).await;
        Some(turn)
    }

    /// Whether the store is unavailable.
    pub fn is_on(&self) -> bool {
        self.until.get().is_some()
    }

    /// Records that the store answered. Returns whether there was an outage.
    pub fn end(&self) -> bool {
        self.pauses.take();
        self.until.take().is_some()
    }

    /// Records that the store did not answer. The pause until the next call is at most
    /// `pause_most`.
    pub fn go_on(&self, pause_most: Duration) {
        let mut pauses = self.pauses.borrow_mut();
        let pauses = pauses.get_or_insert_with(|| self::pauses(pause_most));
        let pause = pauses.next().unwrap_or(pause_most);
        self.until.set(Some(clock::now() + pause));
    }
}
