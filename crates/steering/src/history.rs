//! The accepted revisions of the configuration that a host holds.
//!
//! The digest of each revision covers the digest before it, so that two hosts with the
//! same digest have the same history. A host never moves to a lower revision.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::document::{Change, Document, ObjectId};
use crate::ids::Revision;

/// Maximum number of entries kept to serve hosts that are behind.
const RECENT_LIMIT: usize = 256;

/// Digest of a history as hexadecimal SHA-256; empty at revision 0.
pub type HistoryDigest = String;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision that the change creates: the one before plus 1.
    pub revision: Revision,
    /// Digest of the history up to and including this change.
    pub digest: HistoryDigest,
    /// The accepted change.
    pub change: Change,
}

/// The whole configuration at a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the document.
    pub revision: Revision,
    /// Digest of the history up to this revision.
    pub digest: HistoryDigest,
    /// SHA-256 of the revision, the digest and the document as JSON, hexadecimal.
    pub checksum: String,
    /// The configuration.
    pub document: Arc<Document>,
}

/// The revision that a host has in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the history up to this revision.
    pub digest: HistoryDigest,
}

/// Why an entry or snapshot is refused; the configuration in force stays unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum HistoryError {
    /// Entries between the revision in force and the received one are missing.
    #[display("revision {have} is in force, {got} does not follow it")]
    Gap {
        /// Revision in force.
        have: Revision,
        /// Revision received.
        got: Revision,
    },
    /// The digest or checksum does not match the content.
    #[display("revision {_0} does not match its digest")]
    DigestMismatch(#[error(not(source))] Revision),
    /// The document or change is invalid.
    #[display("revision {revision} is not valid: {reason}")]
    Invalid {
        /// Revision received.
        revision: Revision,
        /// The problems found.
        reason: String,
    },
}

/// The configuration in force and the most recent changes that led to it.
#[derive(Debug, Clone, Default)]
pub struct History {
    position: Position,
    document: Arc<Document>,
    /// The latest entries in order and without gaps, up to the revision in force.
    recent: VecDeque<Entry>,
}

/// Returns the digest of a history after one more change.
pub fn next_digest(previous: &str, change: &Change) -> HistoryDigest {
    let change = serde_json::to_vec(change).expect("a change is always valid JSON");
    let mut digest = Sha256::new();
    digest.update(previous.as_bytes());
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
    /// Returns the revision and digest in force.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.position.revision
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Applies the next entry; returns false if its revision is in force or older.
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
            return Err(HistoryError::DigestMismatch(entry.revision));
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

    /// Replaces the document by a snapshot; returns false if the snapshot's revision is not
    /// above the one in force.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<bool, HistoryError> {
        if snapshot.revision <= self.revision() {
            return Ok(false);
        }
        let position = Position {
            revision: snapshot.revision,
            digest: snapshot.digest.clone(),
        };
        if checksum(&position, &snapshot.document) != snapshot.checksum {
            return Err(HistoryError::DigestMismatch(snapshot.revision));
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

    /// Returns a snapshot of the document in force, to store or send.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision(),
            digest: self.position.digest.clone(),
            checksum: checksum(&self.position, &self.document),
            document: Arc::clone(&self.document),
        }
    }

    /// Returns the entry for a change as the next revision, without applying it.
    pub fn propose(&self, change: Change) -> Entry {
        Entry {
            revision: self.revision() + 1,
            digest: next_digest(&self.position.digest, &change),
            change,
        }
    }

    /// Returns the entries after a revision; `None` if some are no longer kept.
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

    /// Finds a kept entry by the id of its change.
    pub fn find(&self, change_id: &str) -> Option<&Entry> {
        self.recent
            .iter()
            .find(|entry| entry.change.id == change_id)
    }

    /// Returns the objects of `change` that were edited after revision `base`; `None` if
    /// the entries since then are no longer kept.
    pub fn conflicting_objects(
        &self,
        base: Revision,
        change: &Change,
    ) -> Option<BTreeSet<ObjectId>> {
        let edited: BTreeSet<ObjectId> = self
            .entries_after(base)?
            .iter()
            .flat_map(|entry| entry.change.objects())
            .collect();
        Some(change.objects().intersection(&edited).cloned().collect())
    }
}
