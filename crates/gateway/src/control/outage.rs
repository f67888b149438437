//! Calls to the store while it gives no answer.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep_until;

/// Pause after a first call to the store that fails, doubled after each further one.
const PAUSE_FIRST: Duration = Duration::from_millis(400);
/// Longest such pause: what a host that reaches the store again lacks is to be heeded
/// within some 4 s.
pub(super) const PAUSE_MOST: Duration = Duration::from_millis(1_600);

/// Pauses between calls to the store that fail. They vary by chance, so that hosts that were
/// turned away together do not come back together.
pub(super) fn pauses() -> ExponentialBackoff {
    let pauses = ExponentialBuilder::new().with_min_delay(PAUSE_FIRST);
    let pauses = pauses.with_max_delay(PAUSE_MOST).without_max_times();
    pauses.with_jitter().build()
}

/// Whether the store is away, as this host sees it. While it is, one feed after the other
/// asks, not all at once: each call of each host is in vain and paid for.
///
/// A turn lasts for one call. Any answer ends the outage for all feeds, also one that says
/// only that the history is gone: a feed that waited on for the others' turns and paces was
/// 4 s late with a document after 3 s without history.
pub(super) struct Outage {
    /// When the store may be asked again; none while it answers.
    until: Cell<Option<Instant>>,
    pauses: RefCell<ExponentialBackoff>,
    turn: Mutex<()>,
}

impl Default for Outage {
    fn default() -> Self {
        Outage {
            until: Cell::default(),
            pauses: RefCell::new(pauses()),
            turn: Mutex::default(),
        }
    }
}

impl Outage {
    /// Waits until a call may be made; whoever holds the turn makes the next one.
    pub async fn turn(&self) -> Option<MutexGuard<'_, ()>> {
        self.until.get()?;
        let turn = self.turn.lock().await;
        // It may have ended with the call before.
        let until = self.until.get()?;
        sleep_until(until.into()).await;
        Some(turn)
    }

    /// Whether the store is away.
    pub fn is_on(&self) -> bool {
        self.until.get().is_some()
    }

    /// Notes that the store has answered.
    pub fn end(&self) {
        if self.until.take().is_some() {
            self.pauses.replace(pauses());
        }
    }

    /// Notes that it has not.
    pub fn go_on(&self) {
        let pause = self.pauses.borrow_mut().next().unwrap_or(PAUSE_MOST);
        self.until.set(Some(Instant::now() + pause));
    }
}
