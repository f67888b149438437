//! The command `explain`, which prints the trace of a request from the logs of hosts.

use std::path::PathBuf;

use super::outcome::{BAD_INPUT, Outcome};
use crate::cli::Output;
use crate::explain::{Line, explain, parse_line};

pub fn run(id: &str, logs: &[PathBuf], output: Output) -> Outcome {
    let mut lines: Vec<Line> = Vec::new();
    for path in logs {
        match std::fs::read(path) {
            // A process that was killed may have left an incomplete line.
            Ok(bytes) => {
                let text = String::from_utf8_lossy(&bytes);
                lines.extend(text.lines().filter_map(parse_line));
            }
            Err(error) => {
                return Outcome::failed(BAD_INPUT, format!("{}: {error}", path.display()));
            }
        }
    }
    let trace = explain(id, &lines);
    if trace.request.is_empty() {
        let count = lines.len();
        let reason = format!("none of {count} lines is about the request `{id}`");
        return Outcome::failed(BAD_INPUT, reason);
    }
    match output {
        Output::Text => Outcome::done(trace.to_text()),
        Output::Json => {
            Outcome::done(serde_json::to_string_pretty(&trace).expect("traces are valid JSON"))
        }
    }
}
