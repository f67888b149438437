//! The time limit of the answer that a caller's connection is transmitting.

use std::time::Instant;

use tokio::sync::watch;
use tokio::time::sleep;

/// When the answer under way on a connection must have ended. It covers a body that stops, one that
/// arrives too slowly, and a caller that does not read.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenAnswer(watch::Sender<Option<Instant>>);

/// An answer under way; its drop ends the limit.
pub(super) struct OpenAnswerGuard(watch::Sender<Option<Instant>>);

impl OpenAnswer {
    /// Begins an answer that must have ended at `deadline`.
    pub fn begin(&self, deadline: Instant) -> OpenAnswerGuard {
        self.0.send_replace(Some(deadline));
        OpenAnswerGuard(self.0.clone())
    }

    /// Waits until an answer is under way at its deadline.
    pub async fn until_late(&self) {
        let mut changes = self.0.subscribe();
        loop {
            let deadline = *changes.borrow_and_update();
            // The sender is alive as long as `self`.
            let changed = changes.changed();
            match deadline {
                Some(deadline) => tokio::select! {
                    () = sleep(clock::remaining(deadline)) => return,
                    _ = changed => {}
                },
                None => {
                    let _ = changed.await;
                }
            }
        }
    }
}

impl Drop for OpenAnswerGuard {
    fn drop(&mut self) {
        self.0.send_replace(None);
    }
}
