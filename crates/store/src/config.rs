//! Accepted configurations in the platform's table and object store.
//!
//! `config/head` holds the last revision; each change has a row by revision and
//! one by its own id, written in the same transaction. A lost answer is settled
//! by trying the same transaction again: either it takes effect now, or the
//! row by id shows that it did before.

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use steering::document::{EditError, Proposal, ProposalOutcome};
use steering::history::{Entry, History, HistoryError, Snapshot};
use steering::ids::Revision;

use crate::table::{
    Commit, Platform, StoreError, Transaction, Version, Write, parse, read_one, text,
};

const HEAD: &str = "config/head";
const CHANGES: &str = "config/change/";
const IDS: &str = "config/id/";
const SNAPSHOTS: &str = "config-snapshot-";
const SCAN_LIMIT: usize = 128;
const SNAPSHOT_EVERY: Revision = 64;
const KEEP_CHANGES: Revision = 128;
const TRIES: usize = 8;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Head {
    revision: Revision,
    snapshot_revision: Option<Revision>,
}

/// Why a poll brought nothing; what is in force stays.
#[derive(Debug, Display, Error, From)]
pub enum PollError {
    /// The platform gave no answer.
    #[display("{_0}")]
    Store(StoreError),
    /// What it gave is not taken.
    #[display("{_0}")]
    History(HistoryError),
}

/// Configurations in the platform.
pub struct ConfigStore<'a> {
    platform: &'a dyn Platform,
}

impl<'a> ConfigStore<'a> {
    /// Configurations in this platform.
    pub fn new(platform: &'a dyn Platform) -> Self {
        ConfigStore { platform }
    }

    /// Brings `history` up to the last revision; one read where nothing is new.
    pub fn poll(&self, history: &mut History) -> Result<(), PollError> {
        self.catch_up(history).map(|_| ())
    }

    /// Proposes a change. `history` is brought up to date on the way.
    pub fn propose(&self, history: &mut History, proposal: &Proposal) -> ProposalOutcome {
        let mut may_have_taken_effect = false;
        for _ in 0..TRIES {
            match self.try_propose(history, proposal, &mut may_have_taken_effect) {
                Ok(Some(verdict)) => return verdict,
                Ok(None) => {}
                Err(error) if may_have_taken_effect => {
                    return ProposalOutcome::Unknown(error.to_string());
                }
                Err(error) => return ProposalOutcome::Unavailable(error.to_string()),
            }
        }
        match may_have_taken_effect {
            true => ProposalOutcome::Unknown(format!("no answer in {TRIES} tries")),
            false => {
                ProposalOutcome::Unavailable(format!("other changes came first {TRIES} times"))
            }
        }
    }

    /// What became of a change, by its id.
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
        if let Some(verdict) = judge(history, proposal) {
            // A lost try was made on an older head, which is gone: this is final.
            return Ok(Some(verdict));
        }
        let entry = history.propose(proposal.change.clone());
        match self.platform.commit(&accept(&head, version, &entry)) {
            Ok(Commit::Done) => {
                history.accept(&entry)?;
                self.keep_snapshot(history);
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
        let row = read_one(self.platform, HEAD)?;
        let head: Head = match row.value.is_empty() {
            true => Head::default(),
            false => parse(&row)?,
        };
        let behind = head.revision.saturating_sub(history.revision());
        if behind > KEEP_CHANGES
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
            .scan(CHANGES, &change_key(revision), SCAN_LIMIT)?;
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

    /// Stores a snapshot where one is due, then drops changes that it covers.
    ///
    /// A failure leaves the older snapshot and all changes after it in place.
    fn keep_snapshot(&self, history: &History) {
        let revision = history.revision();
        if !revision.is_multiple_of(SNAPSHOT_EVERY) {
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
        let row = read_one(self.platform, HEAD)?;
        let mut head: Head = parse(&row)?;
        let old = head.snapshot_revision.replace(revision);
        let transaction = Transaction::default().replace(HEAD, row.version, text(&head));
        if self.platform.commit(&transaction)? == Commit::Done
            && let Some(old) = old
        {
            self.drop_changes(old)?;
        }
        Ok(())
    }

    /// Drops changes up to the snapshot before the last: a host that is behind
    /// by less than that needs them.
    fn drop_changes(&self, up_to: Revision) -> Result<(), StoreError> {
        let Some(up_to) = up_to.checked_sub(KEEP_CHANGES) else {
            return Ok(());
        };
        let first = up_to.saturating_sub(SNAPSHOT_EVERY);
        let drop = |revision| Write {
            key: change_key(revision),
            value: None,
        };
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: (first..=up_to).map(drop).collect(),
        };
        self.platform.commit(&transaction).map(|_| ())
    }
}

fn judge(history: &History, proposal: &Proposal) -> Option<ProposalOutcome> {
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

fn accept(head: &Head, version: Version, entry: &Entry) -> Transaction {
    let head = Head {
        revision: entry.revision,
        snapshot_revision: head.snapshot_revision,
    };
    Transaction::default()
        .replace(HEAD, version, text(&head))
        .insert(change_key(entry.revision), text(entry))
        .insert(id_key(&entry.change.id), text(&entry.revision))
}

fn change_key(revision: Revision) -> String {
    format!("{CHANGES}{revision:020}")
}

fn id_key(id: &str) -> String {
    format!("{IDS}{id}")
}

fn snapshot_name(revision: Revision) -> String {
    format!("{SNAPSHOTS}{revision}")
}
