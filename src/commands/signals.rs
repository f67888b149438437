//! Signals that a host heeds.

use std::time::Duration;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Time between two looks whether the settings have changed without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// Why settings are looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Look {
    /// A signal says that they have changed.
    Signal,
    /// They may have changed without one.
    Time,
}

/// Waits for the first signal to stop; a second one ends the process at once.
/// `look` is called at each SIGHUP before that, and now and then.
pub fn wait_to_stop(mut look: impl FnMut(Look)) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => look(Look::Signal),
                () = sleep(LOOK_EVERY) => look(Look::Time),
            }
        }
        Ok::<(), std::io::Error>(())
    })?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            let second = runtime.block_on(async {
                let mut interrupt = signal(SignalKind::interrupt())?;
                interrupt.recv().await;
                Ok::<(), std::io::Error>(())
            });
            if second.is_ok() {
                tracing::warn!(event = "ended_at_once", reason = "second signal");
                std::process::exit(1);
            }
        })?;
    Ok(())
}
