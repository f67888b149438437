//! Calls to the store while it gives no answer.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

/// Pause after a first call to the store that fails, doubled after each further one.
const PAUSE_FIRST: Duration = Duration::from_millis(400);
/// Longest pause between writes of a host's own rows, which nothing waits for.
pub(super) const ROW_PAUSE_MOST: Duration = Duration::from_millis(3_200);

/// Pauses between calls to the store that fail. They vary by chance, so that hosts that were
/// turned away together do not come back together; none is longer than `most`.
pub(super) fn pauses(most: Duration) -> ExponentialBackoff {
    // Chance adds as much again.
    let most = most / 2;
    let pauses = ExponentialBuilder::new().with_min_delay(PAUSE_FIRST.min(most));
    let pauses = pauses.with_max_delay(most).without_max_times();
    pauses.with_jitter().build()
}

/// Whether the store is away, as this host sees it. While it is, one feed after the other
/// asks, not all at once: each call of each host is in vain and paid for.
///
/// A turn lasts for one call. Any answer ends the outage for all feeds, also one that says
/// only that the history is gone: a feed that waited on for the others' turns and paces was
/// 4 s late with a document after 3 s without history.
#[derive(Default)]
pub(super) struct Outage {
    /// When the store may be asked again; none while it answers.
    until: Cell<Option<Instant>>,
    /// Pauses still to come; none while it answers.
    pauses: RefCell<Option<ExponentialBackoff>>,
    turn: Mutex<()>,
}

impl Outage {
    /// Waits until a call may be made; whoever holds the turn makes the next one.
    pub async fn turn(&self) -> Option<MutexGuard<'_, ()>> {
        self.until.get()?;
        let turn = self.turn.lock().await;
        // It may have ended with the call before.
        let until = self.until.get()?;
        sleep(clock::left(until)).await;
        Some(turn)
    }

    /// Whether the store is away.
    pub fn is_on(&self) -> bool {
        self.until.get().is_some()
    }

    /// Notes that the store has answered; true where it had been away.
    pub fn end(&self) -> bool {
        self.pauses.take();
        self.until.take().is_some()
    }

    /// Notes that it has not. No pause until the next call is longer than `max_retry_pause`.
    pub fn go_on(&self, pause_most: Duration) {
        let mut pauses = self.pauses.borrow_mut();
        let pauses = pauses.get_or_insert_with(|| self::pauses(pause_most));
        let pause = pauses.next().unwrap_or(pause_most);
        self.until.set(Some(clock::now() + pause));
    }
}
