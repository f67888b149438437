//! The result of a command: its output and exit code.

use operator::ClientError;
use steering::document::ProposalOutcome;

use crate::cli::Output;

/// Output and exit code of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Text for standard output; may be empty.
    pub out: String,
    /// Text for standard error; may be empty.
    pub err: String,
    /// Exit code, one of those that `--help` lists.
    pub code: u8,
}

/// The command succeeded.
pub const DONE: u8 = 0;
/// The input is invalid; nothing was changed.
pub const BAD_INPUT: u8 = 2;
/// Another operator has changed the same objects first.
pub const CONFLICT: u8 = 3;
/// It is not known whether the change was made.
pub const UNKNOWN: u8 = 4;
/// The host or the platform can't be reached; nothing was changed.
pub const UNAVAILABLE: u8 = 5;

impl Outcome {
    /// Success, with this output.
    pub fn done(out: impl Into<String>) -> Self {
        Outcome {
            out: out.into(),
            err: String::new(),
            code: DONE,
        }
    }

    /// Failure, with this exit code and message.
    pub fn failed(code: u8, err: impl ToString) -> Self {
        Outcome {
            out: String::new(),
            err: err.to_string(),
            code,
        }
    }

    /// Failure of a request to a host that changed nothing.
    pub fn unreachable(error: &ClientError) -> Self {
        Outcome::failed(UNAVAILABLE, error)
    }

    /// Result of a proposed change; `id` is the identity of the change.
    pub fn of_proposal(outcome: &ProposalOutcome, id: &str, output: Output) -> Self {
        let (code, text) = match outcome {
            ProposalOutcome::Accepted(revision) => {
                (DONE, format!("in force from revision {revision} on"))
            }
            ProposalOutcome::Conflict(objects) => {
                let names: Vec<String> = objects.iter().map(ToString::to_string).collect();
                (
                    CONFLICT,
                    format!(
                        "changed by another operator meanwhile: {}",
                        names.join(", ")
                    ),
                )
            }
            ProposalOutcome::Refused(reason) => (BAD_INPUT, reason.clone()),
            ProposalOutcome::Unknown(reason) => (
                UNKNOWN,
                format!("outcome unknown: {reason}\nrun it again with --change-id {id}"),
            ),
            ProposalOutcome::Unavailable(reason) => (UNAVAILABLE, format!("not changed: {reason}")),
        };
        match (output, code) {
            (Output::Json, _) => Outcome {
                out: serde_json::json!({"change_id": id, "verdict": outcome}).to_string(),
                err: String::new(),
                code,
            },
            (Output::Text, DONE) => Outcome::done(text),
            (Output::Text, _) => Outcome::failed(code, text),
        }
    }
}
