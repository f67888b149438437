//! The command `serve` with a settings file: runs a host until a signal stops it.

use std::path::Path;

use super::outcome::{BAD_INPUT, Outcome, UNAVAILABLE};
use super::signals::wait_for_stop;
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
    if let Err(error) = wait_for_stop(|_| {}) {
        return Outcome::failed(UNAVAILABLE, error);
    }
    host.stop();
    Outcome::done("")
}

/// Files reserved for connections that a host opens itself, to upstreams and other hosts.
const OUTGOING_CONNECTIONS: u64 = 1_024;

/// Raises the limit on open files as far as possible; warns if it is still too low.
fn raise_open_files(config: &Config) {
    let wanted = u64::from(config.limits.connections) + OUTGOING_CONNECTIONS;
    match rlimit::increase_nofile_limit(u64::MAX) {
        Ok(open_files) if open_files < wanted => {
            tracing::warn!(event = "few_open_files", open_files, wanted);
        }
        Ok(_) => {}
        Err(error) => tracing::warn!(event = "few_open_files", %error, wanted),
    }
}
