//! The stand-ins as a command: trial run, measurements, single stand-ins.

use std::process::ExitCode;

use clap::Parser;
use standin::cli::{self, Cli};

fn main() -> ExitCode {
    match cli::run(&Cli::parse()) {
        Ok(good) if good => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
