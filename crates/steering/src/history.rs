//! The accepted revisions of the configuration, as a host holds them.
//!
//! Each revision's digest covers the one before, so that two hosts with the same
//! digest have the same history. A host only ever moves up.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::document::{Change, Document, ObjectId};
use crate::ids::Revision;

const RECENT_LIMIT: usize = 256;

/// Digest of a history, as hexadecimal SHA-256; empty at revision 0.
pub type HistoryDigest = String;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its revision; the one before it plus 1.
    pub revision: Revision,
    /// Digest of the history up to here.
    pub digest: HistoryDigest,
    /// The change.
    pub change: Change,
}

/// A whole document at a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Its revision.
    pub revision: Revision,
    /// Digest of the history up to here.
    pub digest: HistoryDigest,
    /// SHA-256 of the revision, its digest and the document as JSON, hexadecimal.
    pub checksum: String,
    /// The document.
    pub document: Arc<Document>,
}

/// Where a host stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Revision in force.
    pub revision: Revision,
    /// Its digest.
    pub digest: HistoryDigest,
}

/// Why an entry or snapshot is not taken; what is in force stays.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum HistoryError {
    /// Entries between are missing.
    #[display("revision {have} is in force, {got} does not follow it")]
    Gap {
        /// Revision in force.
        have: Revision,
        /// Revision that came.
        got: Revision,
    },
    /// The digest does not match what it covers.
    #[display("revision {_0} does not match its digest")]
    Damaged(#[error(not(source))] Revision),
    /// The document or change is not valid.
    #[display("revision {revision} is not valid: {reason}")]
    Invalid {
        /// Revision that came.
        revision: Revision,
        /// Why.
        reason: String,
    },
}

/// The revisions that a host holds.
#[derive(Debug, Clone, Default)]
pub struct History {
    position: Position,
    document: Arc<Document>,
    /// The last revisions in order, up to the one in force, without gaps.
    recent: VecDeque<Entry>,
}

/// The digest of a history after one more change.
pub fn next_digest(before: &str, change: &Change) -> HistoryDigest {
    let change = serde_json::to_vec(change).expect("a change is always valid JSON");
    let mut digest = Sha256::new();
    digest.update(before.as_bytes());
    digest.update(change);
    format!("{:x}", digest.finalize())
}

fn checksum(position: &Position, document: &Document) -> String {
    let document = serde_json::to_vec(document).expect("a document is always valid JSON");
    let mut checksum = Sha256::new();
    checksum.update(position.revision.to_be_bytes());
    checksum.update((position.digest.len() as u64).to_be_bytes());
    checksum.update(&position.digest);
    checksum.update(document);
    format!("{:x}", checksum.finalize())
}

impl History {
    /// Revision and digest in force.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.position.revision
    }

    /// The document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Takes the entry that follows; false where it is already in force or older.
    pub fn accept(&mut self, entry: &Entry) -> Result<bool, HistoryError> {
        if entry.revision <= self.revision() {
            return Ok(false);
        }
        if entry.revision != self.revision() + 1 {
            return Err(HistoryError::Gap {
                have: self.revision(),
                got: entry.revision,
            });
        }
        if next_digest(&self.position.digest, &entry.change) != entry.digest {
            return Err(HistoryError::Damaged(entry.revision));
        }
        let document =
            entry
                .change
                .apply(&self.document)
                .map_err(|error| HistoryError::Invalid {
                    revision: entry.revision,
                    reason: error.to_string(),
                })?;
        self.position = Position {
            revision: entry.revision,
            digest: entry.digest.clone(),
        };
        self.document = Arc::new(document);
        self.recent.push_back(entry.clone());
        if self.recent.len() > RECENT_LIMIT {
            self.recent.pop_front();
        }
        Ok(true)
    }

    /// Takes a whole document; false where it is not above what is in force.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<bool, HistoryError> {
        if snapshot.revision <= self.revision() {
            return Ok(false);
        }
        let position = Position {
            revision: snapshot.revision,
            digest: snapshot.digest.clone(),
        };
        if checksum(&position, &snapshot.document) != snapshot.checksum {
            return Err(HistoryError::Damaged(snapshot.revision));
        }
        snapshot
            .document
            .check()
            .map_err(|problems| HistoryError::Invalid {
                revision: snapshot.revision,
                reason: problems.to_string(),
            })?;
        self.position = position;
        self.document = Arc::clone(&snapshot.document);
        self.recent.clear();
        Ok(true)
    }

    /// The document in force, to be stored or sent.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision(),
            digest: self.position.digest.clone(),
            checksum: checksum(&self.position, &self.document),
            document: Arc::clone(&self.document),
        }
    }

    /// The entry that a change would be, were it accepted next.
    pub fn propose(&self, change: Change) -> Entry {
        Entry {
            revision: self.revision() + 1,
            digest: next_digest(&self.position.digest, &change),
            change,
        }
    }

    /// Entries after a revision; none where they are no longer held.
    pub fn entries_after(&self, revision: Revision) -> Option<Vec<Entry>> {
        if revision >= self.revision() {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        if revision + 1 < first {
            return None;
        }
        let skip = (revision + 1 - first) as usize;
        Some(self.recent.iter().skip(skip).cloned().collect())
    }

    /// The entry with this change, where it is among the recent ones.
    pub fn find(&self, change: &str) -> Option<&Entry> {
        self.recent.iter().find(|entry| entry.change.id == change)
    }

    /// Objects of a change that were touched after `base`; none where that is not known.
    pub fn overlap(&self, base: Revision, change: &Change) -> Option<BTreeSet<ObjectId>> {
        let touched: BTreeSet<ObjectId> = self
            .entries_after(base)?
            .iter()
            .flat_map(|entry| entry.change.objects())
            .collect();
        Some(change.objects().intersection(&touched).cloned().collect())
    }
}
