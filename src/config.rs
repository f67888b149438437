//! Settings of a host, read from a JSON file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use caller::Limits;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use steering::document::Problems;
use steering::ids::{HostName, ZoneName};

const MIN_PEER_KEY_LEN: usize = 16;
const MIN_HEAD_BYTES: usize = 8_192;
const MAX_NAME_LEN: usize = 64;

/// Settings of a host, as in its JSON file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the host, unique in the deployment.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// IP address and port on which the host accepts requests of callers.
    pub caller_address: SocketAddr,
    /// IP address and port on which the host accepts requests that other hosts relay.
    pub relay_address: SocketAddr,
    /// IP address and port on which the host accepts messages of other hosts.
    pub peer_address: SocketAddr,
    /// IP address and port on which the host accepts requests of operators.
    pub operator_address: SocketAddr,
    /// IP address and port of the platform's service.
    pub platform_address: SocketAddr,
    /// Secret key that all hosts of the deployment share, at least 16 characters.
    pub peer_key: String,
    /// Addresses at which others reach the host, where they differ from those it listens on.
    #[serde(default)]
    pub advertised: Advertised,
    /// Peer addresses of hosts to contact besides those in the platform's list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Timeout of a call to the platform, 10 to 60000 ms.
    #[serde(default = "default_platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    /// Time that callers may cache the result of a look-up, 100 to 600000 ms.
    #[serde(default = "default_look_up_ttl_ms")]
    pub look_up_ttl_ms: u64,
    /// Time from the issue of a ticket to its expiry, 1000 to 3600000 ms.
    #[serde(default = "default_ticket_ttl_ms")]
    pub ticket_ttl_ms: u64,
    /// Longest delay until a change shows in the platform's host list, 0 to 3600000 ms.
    #[serde(default = "default_host_list_lag_ms")]
    pub host_list_lag_ms: u64,
    /// Threads that serve requests, 1 to 64.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Log filter: `error`, `warn`, `info`, `debug`, or a `tracing` filter.
    #[serde(default = "default_log")]
    pub log: String,
    /// Bounds on the resources of the host that callers can use.
    #[serde(default)]
    pub limits: Limits,
}

/// Addresses at which others reach a host; `None` stands for the one that it listens on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Advertised {
    /// IP address and port for requests of callers.
    pub caller_address: Option<SocketAddr>,
    /// IP address and port for requests that other hosts relay.
    pub relay_address: Option<SocketAddr>,
    /// IP address and port for messages of other hosts.
    pub peer_address: Option<SocketAddr>,
    /// IP address and port for requests of operators.
    pub operator_address: Option<SocketAddr>,
}

fn default_platform_timeout_ms() -> u64 {
    2_000
}

fn default_look_up_ttl_ms() -> u64 {
    5_000
}

fn default_ticket_ttl_ms() -> u64 {
    20_000
}

fn default_host_list_lag_ms() -> u64 {
    15_000
}

fn default_traffic_threads() -> usize {
    2
}

fn default_log() -> String {
    "info".to_owned()
}

/// Why settings are rejected.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[display("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON, or has missing, unknown or mistyped fields.
    #[display("{_0}")]
    Format(serde_json::Error),
    /// Fields have wrong values.
    #[display("{_0}")]
    Values(Problems),
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or its contents are rejected as by [`Config::parse`].
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Config::parse(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Format`], or [`ConfigError::Values`] with all invalid fields.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let config: Config = serde_json::from_str(text).map_err(ConfigError::Format)?;
        config.check().map_err(ConfigError::Values)?;
        Ok(config)
    }

    /// Time that callers may cache the result of a look-up.
    pub fn look_up_ttl(&self) -> Duration {
        Duration::from_millis(self.look_up_ttl_ms)
    }

    /// Time from the issue of a ticket to its expiry.
    pub fn ticket_ttl(&self) -> Duration {
        Duration::from_millis(self.ticket_ttl_ms)
    }

    fn check(&self) -> Result<(), Problems> {
        let mut problems = Problems::default();
        for (path, name) in [("host", &self.host), ("zone", &self.zone)] {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(is_allowed) {
                problems.push(path, "must be 1 to 64 letters, digits, `-`, `_` or `.`");
            }
        }
        if self.peer_key.len() < MIN_PEER_KEY_LEN {
            let reason = format!("must have at least {MIN_PEER_KEY_LEN} characters");
            problems.push("peer_key", reason);
        }
        let ranges = [
            ("platform_timeout_ms", self.platform_timeout_ms, 10, 60_000),
            ("look_up_ttl_ms", self.look_up_ttl_ms, 100, 600_000),
            ("ticket_ttl_ms", self.ticket_ttl_ms, 1_000, 3_600_000),
            ("host_list_lag_ms", self.host_list_lag_ms, 0, 3_600_000),
            ("traffic_threads", self.traffic_threads as u64, 1, 64),
            (
                "limits.head_bytes",
                self.limits.head_bytes as u64,
                MIN_HEAD_BYTES as u64,
                1 << 20,
            ),
            (
                "limits.header_fields",
                self.limits.header_fields as u64,
                1,
                256,
            ),
            (
                "limits.connections",
                self.limits.connections.into(),
                1,
                1 << 20,
            ),
            (
                "limits.requests_in_flight",
                self.limits.requests_in_flight.into(),
                1,
                1 << 20,
            ),
            (
                "limits.head_timeout_ms",
                self.limits.head_timeout_ms,
                1,
                3_600_000,
            ),
            (
                "limits.stall_timeout_ms",
                self.limits.stall_timeout_ms,
                1,
                3_600_000,
            ),
            (
                "limits.spent_tickets",
                self.limits.spent_tickets as u64,
                2,
                1 << 24,
            ),
        ];
        for (path, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                problems.push(path, format!("must be from {min} to {max}, is {value}"));
            }
        }
        self.check_addresses(&mut problems);
        // The parser of the filter panics on some texts that are not ASCII.
        let is_filter =
            self.log.is_ascii() && self.log.parse::<tracing_subscriber::EnvFilter>().is_ok();
        if !is_filter {
            problems.push("log", format!("`{}` is not a valid log filter", self.log));
        }
        problems.into_result()
    }

    fn check_addresses(&self, problems: &mut Problems) {
        let own = [
            ("caller_address", self.caller_address),
            ("relay_address", self.relay_address),
            ("peer_address", self.peer_address),
            ("operator_address", self.operator_address),
        ];
        for (i, (path, address)) in own.iter().enumerate() {
            if address.ip().is_unspecified() {
                problems.push(*path, "must be an IP address that others can reach");
            }
            let is_repeated = own[..i].iter().any(|(_, other)| other == address);
            if address.port() != 0 && is_repeated {
                problems.push(*path, format!("`{address}` is used twice"));
            }
        }
    }
}
