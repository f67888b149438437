//! `serve`: runs a host until a signal.

use std::path::Path;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use super::outcome::{BAD_INPUT, Outcome, UNAVAILABLE};
use crate::config::Config;
use crate::host::{Host, Sockets};
use crate::logging;

pub fn run(settings: &Path) -> Outcome {
    let config = match Config::load(settings) {
        Ok(config) => config,
        Err(error) => return Outcome::failed(BAD_INPUT, error),
    };
    logging::start(&config.log);
    raise_open_files(&config);
    let started = Sockets::bind(&config).and_then(|sockets| Host::start(config, sockets));
    let host = match started {
        Ok(host) => host,
        Err(error) => return Outcome::failed(UNAVAILABLE, error),
    };
    if let Err(error) = wait_for_signal() {
        return Outcome::failed(UNAVAILABLE, error);
    }
    host.stop();
    Outcome::done("")
}

/// Connections that a host opens besides those of callers and hosts.
const OWN_CONNECTIONS: u64 = 1_024;

/// Lets the process open as many files as it may, and says where that is too few.
fn raise_open_files(config: &Config) {
    let wanted = u64::from(config.limits.connections) + OWN_CONNECTIONS;
    match rlimit::increase_nofile_limit(u64::MAX) {
        Ok(open_files) if open_files < wanted => {
            tracing::warn!(event = "few_open_files", open_files, wanted);
        }
        Ok(_) => {}
        Err(error) => tracing::warn!(event = "few_open_files", %error, wanted),
    }
}

/// Waits for the first signal; a second one ends the process at once.
fn wait_for_signal() -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
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
