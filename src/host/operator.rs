//! Between the operators' endpoint and the control thread.

use ::operator::{InForce, OperatorHandler, Status};
use steering::document::{Proposal, ProposalOutcome};
use tokio::sync::{mpsc, oneshot};

use super::state::Command;
use crate::metrics_text;

/// Passes operators' requests to the control thread.
pub struct Handler {
    /// To the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
}

impl Handler {
    fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (answer, answered) = oneshot::channel();
        self.commands.send(command(answer)).ok()?;
        answered.blocking_recv().ok()
    }
}

impl OperatorHandler for Handler {
    fn status(&self) -> Option<Status> {
        self.ask(Command::Status)
    }

    fn dump(&self) -> Option<serde_json::Value> {
        self.ask(Command::Dump)
    }

    fn document(&self) -> Option<InForce> {
        self.ask(Command::Document)
    }

    fn metrics(&self) -> String {
        metrics_text::render()
    }

    fn propose(&self, proposal: Proposal) -> ProposalOutcome {
        let ended = "the host ended before it was told";
        self.ask(|answer| Command::Propose(Box::new(proposal), answer))
            .unwrap_or_else(|| ProposalOutcome::Unknown(ended.to_owned()))
    }
}
