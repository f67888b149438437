//! The command line of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use tokio::runtime::Builder;

use crate::measure;
use crate::platform::StandInPlatform;
use crate::trial;
use crate::upstream::{Behaviour, StandInUpstream};

/// Stand-ins for the platform and the upstreams, the trial run and the measurements.
#[derive(Debug, Parser)]
#[command(name = "standin", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Start hosts in two zones, send real requests through the whole path, and count.
    Try {
        /// What the hosts log.
        #[arg(long, default_value = "error")]
        log: String,
    },
    /// Measure one thing and print one JSON line.
    Measure {
        /// What to measure.
        name: Measurement,
        /// Directory for plots, where the measurement has any.
        #[arg(long)]
        plots: Option<PathBuf>,
    },
    /// Measure what each role costs and print the tables of docs/CAPACITY.md.
    CapacityTable,
    /// Run a stand-in platform until the process is ended.
    Platform {
        /// IP number and port.
        #[arg(long)]
        address: SocketAddr,
    },
    /// Run a stand-in upstream until the process is ended.
    Upstream {
        /// Its name.
        #[arg(long)]
        name: String,
        /// IP number and port.
        #[arg(long)]
        address: SocketAddr,
        /// Requests at the same time.
        #[arg(long, default_value_t = 9)]
        slots: u32,
        /// Time of a request, in milliseconds.
        #[arg(long, default_value_t = 5)]
        service_time_ms: u64,
    },
}

/// What can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Latency through one host and two, beside direct requests; a large download.
    Overhead,
    /// Latency and headroom by load and upstream fault, beside baselines.
    Balance,
    /// Half of the traffic moves to cold upstreams.
    Shift,
    /// Two shifts toward one region at once, and a region lost meanwhile.
    Together,
    /// Reports stop for a minute.
    Stale,
    /// A region is lost.
    Loss,
    /// Look-up decisions on one core with 1.7 million client blocks.
    Lookup,
    /// Extra load while every upstream sheds.
    Retry,
    /// Drains: new work after the change, cuts, time to quiet.
    Drain,
    /// The platform is down under load.
    Outage,
    /// Ticketed work by mode, and its table writes.
    Claims,
    /// From acceptance to force on every host.
    Config,
    /// Zones cut off and healed.
    Partition,
    /// All hosts replaced one by one.
    Restart,
    /// What customers cost a request, by how many there are.
    Customers,
    /// What it costs a request to select its upstream, by the number of upstreams.
    Choice,
    /// What it costs a request to be looked up among work under which upstreams end.
    Suspects,
    /// Good and bad versions rolled out over hosts as values: verdicts and exposure.
    Rollouts,
    /// What each role costs, at several sizes, fitted.
    Capacity,
}

/// Runs a command; false where what it checked was not good.
pub fn run(cli: &Cli) -> io::Result<bool> {
    // Hundreds of hosts in one process open many connections.
    rlimit::increase_nofile_limit(u64::MAX)?;
    match &cli.command {
        Command::Try { log } => {
            let report = trial::run(log, &mut |line| println!("{line}"))?;
            println!("{report}");
            Ok(report.is_good())
        }
        Command::Measure { name, plots } => {
            let figures = match name {
                Measurement::Overhead => measure::overhead::run()?,
                Measurement::Customers => measure::customers::run(),
                Measurement::Choice => measure::choice::run(),
                Measurement::Suspects => measure::suspects::run(),
                Measurement::Balance => measure::balance::run(plots.as_deref())?,
                Measurement::Shift => measure::shift::run(plots.as_deref())?,
                Measurement::Together => measure::together::run()?,
                Measurement::Stale => measure::stale::run()?,
                Measurement::Loss => measure::loss::run()?,
                Measurement::Lookup => measure::look_up::run()?,
                Measurement::Retry => measure::retry::run()?,
                Measurement::Drain => measure::drain::run()?,
                Measurement::Outage => measure::outage::run()?,
                Measurement::Claims => measure::claims::run()?,
                Measurement::Config => measure::config::run()?,
                Measurement::Partition => measure::partition::run()?,
                Measurement::Restart => measure::restart::run()?,
                Measurement::Rollouts => measure::rollouts::run(plots.as_deref())?,
                Measurement::Capacity => measure::capacity::run()?,
            };
            println!("{figures}");
            Ok(true)
        }
        Command::CapacityTable => {
            println!("{}", measure::capacity::table(&measure::capacity::run()?));
            Ok(true)
        }
        Command::Platform { address } => {
            let platform = StandInPlatform::start(*address)?;
            println!("platform at {}", platform.address());
            wait_for_ever()
        }
        Command::Upstream {
            name,
            address,
            slots,
            service_time_ms,
        } => {
            let runtime = Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()?;
            let behaviour = Behaviour {
                slots: *slots,
                service_time: Duration::from_millis(*service_time_ms),
                ..Behaviour::default()
            };
            let upstream = StandInUpstream::start(name, *address, behaviour, runtime.handle())?;
            println!("upstream at {}", upstream.address());
            wait_for_ever()
        }
    }
}

fn wait_for_ever() -> io::Result<bool> {
    loop {
        std::thread::park();
    }
}
