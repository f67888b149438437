//! Signals that stop a host or make it reload its settings.

use std::time::Duration;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// Time between two checks whether the settings have changed without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Why the settings are read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadTrigger {
    /// SIGHUP was received.
    Signal,
    /// The settings are checked at regular intervals, since they may change without a signal.
    Time,
}

/// Waits for SIGTERM or SIGINT.
///
/// Until then, calls `reload` at each SIGHUP and at regular intervals. A SIGINT during the stop
/// ends the process at once.
pub fn wait_for_stop(mut reload: impl FnMut(ReloadTrigger)) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => reload(ReloadTrigger::Signal),
                () = sleep(CHECK_INTERVAL) => reload(ReloadTrigger::Time),
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
