//! Connects the operators' HTTP server to the control thread.

use ::operator::{InForce, OperatorHandler, Status};
use steering::document::{Proposal, ProposalOutcome};
use tokio::sync::{mpsc, oneshot};

use super::state::Command;
use crate::metrics_text;

/// Forwards requests of operators to the control thread as commands.
pub struct Handler {
    /// Channel to the control thread.
    pub commands: mpsc::UnboundedSender<Command>,
}

impl Handler {
    fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        self.commands.send(command(sender)).ok()?;
        answer.blocking_recv().ok()
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
        let stopped = "the host stopped before the outcome was known";
        self.ask(|answer| Command::Propose(Box::new(proposal), answer))
            .unwrap_or_else(|| ProposalOutcome::Unknown(stopped.to_owned()))
    }
}
