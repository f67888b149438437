//! The `stagedeck` command.

use std::process::ExitCode;

use clap::Parser;
use stagedeck::Cli;

fn main() -> ExitCode {
    let outcome = stagedeck::run(&Cli::parse());
    if !outcome.out.is_empty() {
        println!("{}", outcome.out.trim_end());
    }
    if !outcome.err.is_empty() {
        eprintln!("{}", outcome.err.trim_end());
    }
    outcome.code.into()
}
