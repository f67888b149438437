//! Arguments of the command line.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  2  bad input: nothing was changed
  3  conflict: another operator changed the same objects first
  4  outcome unknown: run the same command again with the printed --change-id
  5  unavailable: nothing was changed; try again later";

/// Routes callers' requests to upstreams that can serve them, across regions and zones.
#[derive(Debug, Parser)]
#[command(name = "stagedeck", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// Format of the results.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    pub output: Output,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Format of the results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people.
    Text,
    /// For programs: one JSON value.
    Json,
}

/// Commands of `stagedeck`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a host until SIGTERM or SIGINT, then stop it without interrupting a request.
    Serve {
        /// Settings of the host, a JSON file. Without it, the host runs on the platform and
        /// reads the platform's settings file, which an environment variable names.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Port on which a host on the platform serves its metrics, at the IP address where it
        /// serves callers.
        #[arg(long, conflicts_with = "settings")]
        metrics_port: Option<u16>,
    },
    /// Explain from the logs of hosts what happened to a request.
    Explain {
        /// Identity of the request, as in the log field `id`.
        id: String,
        /// Log files of the hosts.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Check a settings file or a configuration file, and list all its problems.
    Check {
        /// File to check.
        file: PathBuf,
    },
    /// Replace the configuration in force by that in a file.
    Apply {
        /// Configuration, a JSON file.
        file: PathBuf,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Set or remove labels of an object: `label upstream/surcos-1 tier=gold old-`.
    Label {
        /// Object, as KIND/NAME; kinds: region, zone, service, upstream, rule, block.
        object: String,
        /// Labels to set, as KEY=VALUE; KEY- removes a label.
        #[arg(required = true)]
        labels: Vec<String>,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Send no new requests to an upstream or a whole zone; those in flight are completed.
    Drain {
        /// Name of an upstream, or zone/NAME.
        name: String,
        /// Wait until no request is in flight, and print their number meanwhile.
        #[arg(long)]
        wait: bool,
        /// Longest time to wait, in seconds.
        #[arg(long, default_value_t = 3_600, requires = "wait")]
        wait_limit_s: u64,
        /// Drain a zone even if the other zones lack the capacity for its requests.
        #[arg(long)]
        force: bool,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Take an upstream out of use permanently; drain it first.
    Retire {
        /// Name of the upstream.
        name: String,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Show the state known to a host: revision, hosts, zones and pools.
    Status {
        /// Which host to ask.
        #[command(flatten)]
        host: HostArgs,
    },
    /// Ask a host, as a caller does, which hosts to use.
    Lookup {
        /// Address of a host for callers, IP:PORT.
        #[arg(long)]
        at: SocketAddr,
        /// Name of the service.
        #[arg(long)]
        service: String,
        /// Caller's IP address to look up; by default that of the connection.
        #[arg(long)]
        address: Option<IpAddr>,
        /// Number of tickets to ask for.
        #[arg(long, default_value_t = 0)]
        tickets: usize,
    },
    /// List or change the work that hosts on the platform refuse because it crashes upstreams.
    /// A host accepts changes from its own machine only, and forwards them to all hosts.
    Works {
        /// Address of a host for metrics, IP:PORT.
        #[arg(long)]
        at: SocketAddr,
        /// Refuse this work; WORK is the value of the log field `work`.
        #[arg(long, value_name = "WORK", conflicts_with = "clear")]
        refuse: Option<String>,
        /// Serve this work again, and remove its record.
        #[arg(long, value_name = "WORK")]
        clear: Option<String>,
    },
    /// Print the whole state of a host's process as JSON.
    Dump {
        /// Which host to ask.
        #[command(flatten)]
        host: HostArgs,
    },
    /// Print the configuration in force, as a file for `apply`.
    Show {
        /// Which host to ask.
        #[command(flatten)]
        host: HostArgs,
    },
    /// Print a completion script for a shell.
    Completions {
        /// Shell to print it for.
        shell: Shell,
    },
}

/// Which host to ask.
#[derive(Debug, Clone, Copy, Args)]
pub struct HostArgs {
    /// Address of a host for operators, IP:PORT.
    #[arg(long, env = "STAGEDECK_HOST")]
    pub host: SocketAddr,
    /// Longest time to wait for the host's answer, in seconds.
    #[arg(long, default_value_t = 30)]
    pub timeout_s: u64,
}

/// How to make a change.
#[derive(Debug, Clone, Args)]
pub struct ChangeArgs {
    /// Which host to ask.
    #[command(flatten)]
    pub host: HostArgs,
    /// Identity of the change; the one that an earlier run printed makes this a repetition of it,
    /// which reports the outcome.
    #[arg(long)]
    pub change_id: Option<String>,
}
