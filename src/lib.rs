//! stagedeck routes callers' requests to upstreams that can serve them, across regions and
//! availability zones, on hosts that may disappear without notice.
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
