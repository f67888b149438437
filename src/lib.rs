//! stagedeck steers callers to upstreams that can answer, across regions and
//! availability zones, on hosts that may vanish without notice.
//!
//! ```
//! use stagedeck::Config;
//!
//! let problems = Config::parse("{}").unwrap_err();
//! assert!(problems.to_string().contains("host"));
//! ```

pub mod cli;
mod commands;
mod config;
pub mod explain;
mod host;
pub mod logging;
mod metrics_text;

pub use cli::Cli;
pub use commands::{Outcome, run};
pub use config::{Advertised, Config, ConfigError};
pub use host::{Addresses, Host, HostError, Sockets};
