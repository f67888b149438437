//! What a command prints, and its exit code.

use operator::ClientError;
use steering::document::ProposalOutcome;

use crate::cli::Output;

/// What a command prints, and its exit code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// For standard output.
    pub out: String,
    /// For standard error.
    pub err: String,
    /// Exit code; the command line's help lists them.
    pub code: u8,
}

/// The command did what it was asked.
pub const DONE: u8 = 0;
/// Something in the input is wrong.
pub const BAD_INPUT: u8 = 2;
/// Another operator was first.
pub const CONFLICT: u8 = 3;
/// What became of the change is not known.
pub const UNKNOWN: u8 = 4;
/// The host or the platform can't be reached.
pub const UNAVAILABLE: u8 = 5;

impl Outcome {
    /// Done, with this output.
    pub fn done(out: impl Into<String>) -> Self {
        Outcome {
            out: out.into(),
            err: String::new(),
            code: DONE,
        }
    }

    /// Failed, with this message.
    pub fn failed(code: u8, err: impl ToString) -> Self {
        Outcome {
            out: String::new(),
            err: err.to_string(),
            code,
        }
    }

    /// A host could not be asked, and nothing was changed.
    pub fn unreachable(error: &ClientError) -> Self {
        Outcome::failed(UNAVAILABLE, error)
    }

    /// What became of a change.
    pub fn of_verdict(verdict: &ProposalOutcome, id: &str, output: Output) -> Self {
        let (code, text) = match verdict {
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
                out: serde_json::json!({"change_id": id, "verdict": verdict}).to_string(),
                err: String::new(),
                code,
            },
            (Output::Text, DONE) => Outcome::done(text),
            (Output::Text, _) => Outcome::failed(code, text),
        }
    }
}
