//! Proposals of configuration changes by operators, and their outcome.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Change, ObjectId};
use crate::ids::Revision;

/// A change together with the revision that the operator based it on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposed change.
    pub change: Change,
    /// Revision that the operator saw; used to detect conflicting changes.
    pub base: Revision,
}

/// Outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalOutcome {
    /// The change is in force from this revision on.
    Accepted(Revision),
    /// The change is not in force: these objects were changed after the base revision.
    Conflict(BTreeSet<ObjectId>),
    /// The change is not in force: it is invalid, for this reason.
    Refused(String),
    /// The platform did not confirm the change, for this reason. It may come into force;
    /// propose it again with the same id.
    Unknown(String),
    /// The platform can't be reached, for this reason. The change is not in force and will
    /// not be.
    Unavailable(String),
}
