//! Signals that a host heeds.

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for the first signal to stop; a second one ends the process at once.
/// `reload` is called at each SIGHUP before that.
pub fn wait_to_stop(mut reload: impl FnMut()) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => reload(),
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
