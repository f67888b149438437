//! What operators propose, and what they are told of it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{Change, ObjectId};
use crate::ids::Revision;

/// A change and the revision that its operator saw.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The change.
    pub change: Change,
    /// Revision that it was made against.
    pub base: Revision,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force from this revision on.
    Accepted(Revision),
    /// Another operator changed these objects since; it is not in force.
    Conflict(BTreeSet<ObjectId>),
    /// It is wrong; it is not in force.
    Refused(String),
    /// The platform can't be asked; it may come into force. Ask again with the same id.
    Unknown(String),
    /// The platform can't be reached; it is not in force and won't be.
    Unavailable(String),
}
