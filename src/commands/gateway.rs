//! The command `serve` on the platform: runs a host that serves the operator's routes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use gateway::{GatewayHost, GatewaySettings};
use platform::{PATH_VARIABLE, PlatformStore, PlatformWireFormat, parse_settings};

use super::outcome::{BAD_INPUT, Outcome, UNAVAILABLE};
use super::signals::{ReloadTrigger, wait_for_stop};
use crate::{logging, metrics_text};

/// Log filter where the environment sets none.
const DEFAULT_LOG: &str = "info";
/// Environment variable with a `tracing` filter.
const LOG_VARIABLE: &str = "STAGEDECK_LOG";

pub fn run(metrics_port: Option<u16>) -> Outcome {
    let Some(path) = std::env::var_os(PATH_VARIABLE).map(PathBuf::from) else {
        let reason =
            format!("either --settings or the environment variable {PATH_VARIABLE} is needed");
        return Outcome::failed(BAD_INPUT, reason);
    };
    let mut settings = match load(&path) {
        Ok(settings) => settings,
        Err(reason) => return Outcome::failed(BAD_INPUT, reason),
    };
    let filter = std::env::var(LOG_VARIABLE).unwrap_or_else(|_| DEFAULT_LOG.to_owned());
    let _writer = logging::start_nonblocking(&filter, &settings.host);
    let store = settings.store_address;
    let ip = settings.caller_address.ip();
    settings.metrics_address = metrics_port.map(|port| SocketAddr::new(ip, port));
    let version = env!("CARGO_PKG_VERSION");
    tracing::info!(event = "start", zone = settings.zone, version, filter);
    // The recorder must be installed before the first metric is recorded.
    metrics_text::handle();
    let records = Box::new(move || Box::new(PlatformStore::new(store)) as _);
    let host = match GatewayHost::start(
        settings,
        Arc::new(PlatformWireFormat),
        records,
        metrics_text::render,
    ) {
        Ok(host) => host,
        Err(error) => return Outcome::failed(UNAVAILABLE, error),
    };
    // Text of the settings file after the start; later changes are detected against it.
    let mut text = std::fs::read_to_string(&path).unwrap_or_default();
    let reload = |trigger: ReloadTrigger| {
        let read = std::fs::read_to_string(&path).unwrap_or_default();
        if std::mem::replace(&mut text, read) == text && trigger == ReloadTrigger::Time {
            return;
        }
        match load(&path) {
            Ok(changed) => host.reload(&changed),
            Err(reason) => tracing::warn!(event = "reload_refused", reason),
        }
    };
    if let Err(error) = wait_for_stop(reload) {
        return Outcome::failed(UNAVAILABLE, error);
    }
    host.stop();
    Outcome::done("")
}

fn load(path: &PathBuf) -> Result<GatewaySettings, String> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| format!("{}: {error}", path.display()))?;
    parse_settings(&text).map_err(|error| format!("{}: {error}", path.display()))
}
