//! `serve`: runs a host until a signal.

use std::path::Path;

use super::outcome::{BAD_INPUT, Outcome, UNAVAILABLE};
use super::signals::wait_to_stop;
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
    if let Err(error) = wait_to_stop(|_| {}) {
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
