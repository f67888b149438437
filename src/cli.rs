//! The command line.

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

/// Steers callers to upstreams that can answer, across regions and zones.
#[derive(Debug, Parser)]
#[command(name = "stagedeck", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// How results are printed.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// For people.
    Text,
    /// For programs: one JSON value.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a host until SIGTERM or SIGINT, then stop it without cutting a request.
    Serve {
        /// The host's settings, a JSON file. Without it the host serves the routes of
        /// the platform whose settings file the environment names.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Port at which a host on the platform tells its metrics, beside its own
        /// address for callers.
        #[arg(long, conflicts_with = "settings")]
        metrics_port: Option<u16>,
    },
    /// Tell the story of a request from the logs of hosts.
    Explain {
        /// Identity of the request.
        id: String,
        /// Log files.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Check a settings file or a configuration file, and list all problems.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Put a whole configuration file in force.
    Apply {
        /// The configuration, a JSON file.
        file: PathBuf,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Set labels of an object: `label upstream/surcos-1 tier=gold old-`.
    Label {
        /// The object, as KIND/NAME; kinds: region, zone, service, upstream, rule, block.
        object: String,
        /// Labels to set, as KEY=VALUE; KEY- takes a label away.
        #[arg(required = true)]
        labels: Vec<String>,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Give an upstream, or a whole zone, no new work; what runs is finished.
    Drain {
        /// An upstream's name, or zone/NAME.
        name: String,
        /// Wait until nothing is in flight, and show what still is.
        #[arg(long)]
        wait: bool,
        /// Longest wait, in seconds.
        #[arg(long, default_value_t = 3_600, requires = "wait")]
        wait_limit_s: u64,
        /// Drain a zone even where the rest has no room for its work.
        #[arg(long)]
        force: bool,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Take an upstream out of use for good; drain it first.
    Retire {
        /// The upstream's name.
        name: String,
        /// How to make the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Show a host's view: revision, hosts, zones and pools.
    Status {
        /// Which host to ask.
        #[command(flatten)]
        host: HostArgs,
    },
    /// Ask a host, as a caller would, which hosts to use.
    Lookup {
        /// A host's address for callers, IP:PORT.
        #[arg(long)]
        at: SocketAddr,
        /// The service.
        #[arg(long)]
        service: String,
        /// Caller's address to look up; yours by default.
        #[arg(long)]
        address: Option<IpAddr>,
        /// Tickets to ask for.
        #[arg(long, default_value_t = 0)]
        tickets: usize,
    },
    /// List the work that hosts on the platform refuse because upstreams end under it, or change
    /// that. Changes are taken from the host itself only, and told to all hosts.
    Works {
        /// A host's address for metrics, IP:PORT.
        #[arg(long)]
        at: SocketAddr,
        /// Refuse this work, as the log names it.
        #[arg(long, value_name = "WORK", conflicts_with = "clear")]
        refuse: Option<String>,
        /// Serve this work again.
        #[arg(long, value_name = "WORK")]
        clear: Option<String>,
    },
    /// Print the whole state of a host's process as JSON.
    Dump {
        /// Which host to ask.
        #[command(flatten)]
        host: HostArgs,
    },
    /// Print the configuration in force, fit for `apply`.
    Show {
        /// Which host to ask.
        #[command(flatten)]
        host: HostArgs,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Which host to ask.
#[derive(Debug, Clone, Copy, Args)]
pub struct HostArgs {
    /// A host's address for operators, IP:PORT.
    #[arg(long, env = "STAGEDECK_HOST")]
    pub host: SocketAddr,
    /// Longest wait for the host, in seconds.
    #[arg(long, default_value_t = 30)]
    pub timeout_s: u64,
}

/// How to make a change.
#[derive(Debug, Clone, Args)]
pub struct ChangeArgs {
    /// Which host to ask.
    #[command(flatten)]
    pub host: HostArgs,
    /// Identity of the change; give the printed one to find out how an earlier try ended.
    #[arg(long)]
    pub change_id: Option<String>,
}
