//! Implementation of the commands.

mod change;
mod check;
mod drain;
mod explain;
mod gateway;
mod outcome;
mod serve;
mod show;
mod signals;
mod works;

pub use outcome::Outcome;

use clap::CommandFactory;
use steering::document::Kind;
use steering::labels::{STATE, STATE_DRAINING, STATE_RETIRED};

use crate::cli::{Cli, Command};

/// Runs a command; calls `progress` with a line for each change while the command waits.
pub fn run_with(cli: &Cli, progress: &mut dyn FnMut(&str)) -> Outcome {
    let output = cli.output;
    match &cli.command {
        Command::Serve {
            settings,
            metrics_port,
        } => match settings {
            Some(settings) => serve::run(settings),
            None => gateway::run(*metrics_port),
        },
        Command::Explain { id, logs } => explain::run(id, logs, output),
        Command::Check { file } => check::run(file, output),
        Command::Apply { file, change } => change::apply(file, change, output),
        Command::Label {
            object,
            labels,
            change,
        } => change::label(object, labels, change, output),
        Command::Drain {
            name,
            wait,
            wait_limit_s,
            force,
            change,
        } => {
            let wait = wait.then_some(std::time::Duration::from_secs(*wait_limit_s));
            drain::run(name, wait, *force, change, output, progress)
        }
        Command::Retire { name, change } => {
            change::set_state(Kind::Upstream, name, STATE_RETIRED, change, output)
        }
        Command::Status { host } => show::status(host, output),
        Command::Lookup {
            at,
            service,
            address,
            tickets,
        } => show::look_up(*at, service, *address, *tickets),
        Command::Works { at, refuse, clear } => {
            works::run(*at, refuse.as_deref(), clear.as_deref())
        }
        Command::Dump { host } => show::dump(host),
        Command::Show { host } => show::document(host),
        Command::Completions { shell } => completions(*shell),
    }
}

/// Runs a command, and prints its progress to standard error.
pub fn run(cli: &Cli) -> Outcome {
    run_with(cli, &mut |line| eprintln!("{line}"))
}

fn completions(shell: clap_complete::Shell) -> Outcome {
    let mut out = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "stagedeck", &mut out);
    Outcome::done(String::from_utf8_lossy(&out))
}

/// Label that `drain` sets, as key and value.
const DRAINING: (&str, &str) = (STATE, STATE_DRAINING);
