//! Accepted configurations, in the platform's table service and object store.
//!
//! The row `config/head` contains the last revision. Each change has one row by revision and one
//! by change id, written in the same transaction. If the answer to a commit is lost, the same
//! transaction is tried again: either the retry takes effect, or the row by change id shows that
//! the first commit took effect.

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use steering::document::{EditError, Proposal, ProposalOutcome};
use steering::history::{Entry, History, HistoryError, Snapshot};
use steering::ids::Revision;

use crate::table::{
    Commit, Platform, StoreError, Transaction, Version, Write, parse, read_one, to_json,
};

const HEAD_KEY: &str = "config/head";
const CHANGE_PREFIX: &str = "config/change/";
const ID_PREFIX: &str = "config/id/";
const SNAPSHOT_PREFIX: &str = "config-snapshot-";
/// Maximum number of changes read at once.
const SCAN_LIMIT: usize = 128;
/// Number of revisions between two snapshots.
const SNAPSHOT_INTERVAL: Revision = 64;
/// Number of changes that are kept before the previous snapshot. A host that is further behind
/// loads the latest snapshot instead.
const KEPT_CHANGES: Revision = 128;
/// Maximum number of commits for one proposal.
const MAX_ATTEMPTS: usize = 8;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Head {
    revision: Revision,
    snapshot_revision: Option<Revision>,
}

/// Why a poll failed; the configuration in force is unchanged.
#[derive(Debug, Display, Error, From)]
pub enum PollError {
    /// The call to the platform failed.
    #[display("{_0}")]
    Store(StoreError),
    /// The stored history is invalid.
    #[display("{_0}")]
    History(HistoryError),
}

/// Client of the configurations stored in the platform.
pub struct ConfigStore<'a> {
    platform: &'a dyn Platform,
}

impl<'a> ConfigStore<'a> {
    /// Creates a client of the given platform.
    pub fn new(platform: &'a dyn Platform) -> Self {
        ConfigStore { platform }
    }

    /// Updates `history` to the last revision; needs one read if there is no new revision.
    pub fn poll(&self, history: &mut History) -> Result<(), PollError> {
        self.catch_up(history).map(|_| ())
    }

    /// Proposes a change. Also updates `history` to the last revision.
    pub fn propose(&self, history: &mut History, proposal: &Proposal) -> ProposalOutcome {
        let mut may_have_taken_effect = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_propose(history, proposal, &mut may_have_taken_effect) {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => {}
                Err(error) if may_have_taken_effect => {
                    return ProposalOutcome::Unknown(error.to_string());
                }
                Err(error) => return ProposalOutcome::Unavailable(error.to_string()),
            }
        }
        match may_have_taken_effect {
            true => ProposalOutcome::Unknown(format!("no answer in {MAX_ATTEMPTS} attempts")),
            false => ProposalOutcome::Unavailable(format!(
                "other changes were accepted first {MAX_ATTEMPTS} times"
            )),
        }
    }

    /// Returns the revision that the change `id` created; none if the change was not accepted.
    pub fn find(&self, id: &str) -> Result<Option<Revision>, StoreError> {
        let row = read_one(self.platform, &id_key(id))?;
        if row.value.is_empty() {
            return Ok(None);
        }
        parse(&row).map(Some)
    }

    fn try_propose(
        &self,
        history: &mut History,
        proposal: &Proposal,
        may_have_taken_effect: &mut bool,
    ) -> Result<Option<ProposalOutcome>, PollError> {
        let (head, version) = self.catch_up(history)?;
        if let Some(revision) = self.find(&proposal.change.id)? {
            return Ok(Some(ProposalOutcome::Accepted(revision)));
        }
        if let Some(outcome) = rejection(history, proposal) {
            // A commit whose answer was lost was based on an older head and can no longer take
            // effect, so this outcome is final.
            return Ok(Some(outcome));
        }
        let entry = history.propose(proposal.change.clone());
        match self
            .platform
            .commit(&accept_transaction(&head, version, &entry))
        {
            Ok(Commit::Done) => {
                history.accept(&entry)?;
                self.store_due_snapshot(history);
                Ok(Some(ProposalOutcome::Accepted(entry.revision)))
            }
            Ok(Commit::Conflict(_)) => Ok(None),
            Err(StoreError::AnswerLost(_)) => {
                *may_have_taken_effect = true;
                Ok(None)
            }
            Err(error) => Err(error.into()),
        }
    }

    fn catch_up(&self, history: &mut History) -> Result<(Head, Version), PollError> {
        let row = read_one(self.platform, HEAD_KEY)?;
        let head: Head = match row.value.is_empty() {
            true => Head::default(),
            false => parse(&row)?,
        };
        let behind = head.revision.saturating_sub(history.revision());
        if behind > KEPT_CHANGES
            && let Some(revision) = head.snapshot_revision
        {
            self.load_snapshot(history, revision)?;
        }
        while history.revision() < head.revision {
            let entries = self.changes_after(history.revision())?;
            if entries.is_empty() {
                let missing = format!("no change after revision {}", history.revision());
                return Err(StoreError::InvalidAnswer(missing).into());
            }
            for entry in &entries {
                history.accept(entry)?;
            }
        }
        Ok((head, row.version))
    }

    fn changes_after(&self, revision: Revision) -> Result<Vec<Entry>, StoreError> {
        let rows = self
            .platform
            .scan(CHANGE_PREFIX, &change_key(revision), SCAN_LIMIT)?;
        rows.iter().map(parse).collect()
    }

    fn load_snapshot(&self, history: &mut History, revision: Revision) -> Result<(), PollError> {
        let name = snapshot_name(revision);
        let bytes = self.platform.get(&name)?;
        let bytes =
            bytes.ok_or_else(|| StoreError::InvalidAnswer(format!("no object `{name}`")))?;
        let snapshot: Snapshot =
            serde_json::from_slice(&bytes).map_err(|_| HistoryError::DigestMismatch(revision))?;
        history.install(&snapshot)?;
        Ok(())
    }

    /// Stores a snapshot if one is due, then deletes changes that the snapshot covers.
    ///
    /// After a failure, the previous snapshot and all later changes are still stored.
    fn store_due_snapshot(&self, history: &History) {
        let revision = history.revision();
        if !revision.is_multiple_of(SNAPSHOT_INTERVAL) {
            return;
        }
        if let Err(error) = self.store_snapshot(history) {
            tracing::warn!(event = "snapshot_failed", revision, %error);
        }
    }

    fn store_snapshot(&self, history: &History) -> Result<(), StoreError> {
        let revision = history.revision();
        let bytes = serde_json::to_vec(&history.snapshot()).expect("snapshots are valid JSON");
        self.platform.put(&snapshot_name(revision), &bytes)?;
        let row = read_one(self.platform, HEAD_KEY)?;
        let mut head: Head = parse(&row)?;
        let previous = head.snapshot_revision.replace(revision);
        let transaction = Transaction::default().replace(HEAD_KEY, row.version, to_json(&head));
        if self.platform.commit(&transaction)? == Commit::Done
            && let Some(previous) = previous
        {
            self.delete_changes(previous)?;
        }
        Ok(())
    }

    /// Deletes changes that are [`KEPT_CHANGES`] or more revisions older than the previous snapshot.
    /// Hosts that are less far behind need the later changes.
    fn delete_changes(&self, up_to: Revision) -> Result<(), StoreError> {
        let Some(up_to) = up_to.checked_sub(KEPT_CHANGES) else {
            return Ok(());
        };
        let first = up_to.saturating_sub(SNAPSHOT_INTERVAL);
        let deletion = |revision| Write {
            key: change_key(revision),
            value: None,
        };
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: (first..=up_to).map(deletion).collect(),
        };
        self.platform.commit(&transaction).map(|_| ())
    }
}

/// Returns why a proposal is rejected; none if the proposal can be committed.
fn rejection(history: &History, proposal: &Proposal) -> Option<ProposalOutcome> {
    match history.conflicting_objects(proposal.base, &proposal.change) {
        Some(objects) if objects.is_empty() => {}
        Some(objects) => return Some(ProposalOutcome::Conflict(objects)),
        None => return Some(ProposalOutcome::Conflict(proposal.change.objects())),
    }
    match proposal.change.apply(history.document()) {
        Ok(_) => None,
        Err(error @ (EditError::Missing(_) | EditError::NoLabels(_) | EditError::Problems(_))) => {
            Some(ProposalOutcome::Refused(error.to_string()))
        }
    }
}

fn accept_transaction(head: &Head, version: Version, entry: &Entry) -> Transaction {
    let head = Head {
        revision: entry.revision,
        snapshot_revision: head.snapshot_revision,
    };
    Transaction::default()
        .replace(HEAD_KEY, version, to_json(&head))
        .insert(change_key(entry.revision), to_json(entry))
        .insert(id_key(&entry.change.id), to_json(&entry.revision))
}

fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{revision:020}")
}

fn id_key(id: &str) -> String {
    format!("{ID_PREFIX}{id}")
}

fn snapshot_name(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{revision}")
}
