//! Claims and receipts for work that may not be repeated, in grouped commits.

use std::collections::BTreeMap;

use steering::claim::{AttemptId, ClaimOutcome, ClaimRow, Fingerprint, WorkOutcome};
use steering::ids::{ClaimId, HostName, Incarnation};

use crate::table::{
    ABSENT, Commit, Condition, Platform, Row, StoreError, Transaction, Write, parse, read_one, text,
};

const CLAIMS: &str = "claim/";
const TRIES: usize = 4;

/// A claim to be written where the row is absent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The work.
    pub id: ClaimId,
    /// The try at it.
    pub attempt: AttemptId,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
}

/// The end of some work, to be written for others to find.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceiptWrite {
    /// The work.
    pub id: ClaimId,
    /// The try at it.
    pub attempt: AttemptId,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// How it ended; none takes the row away: it certainly did not run.
    pub ending: Option<WorkOutcome>,
}

/// Claims of one start of a host.
pub struct ClaimStore<'a> {
    platform: &'a dyn Platform,
    host: HostName,
    incarnation: Incarnation,
}

impl<'a> ClaimStore<'a> {
    /// Claims of this start in this platform.
    pub fn new(platform: &'a dyn Platform, host: HostName, incarnation: Incarnation) -> Self {
        ClaimStore {
            platform,
            host,
            incarnation,
        }
    }

    /// Writes claims in as few commits as their conflicts allow; answers in order.
    ///
    /// A lost answer is settled by reading back: a row that is there with this
    /// try's number was written by the lost one.
    pub fn claim(&self, requests: &[ClaimRequest]) -> Vec<ClaimOutcome> {
        let mut answers: BTreeMap<ClaimId, ClaimOutcome> = BTreeMap::new();
        let mut open: BTreeMap<ClaimId, &ClaimRequest> = requests
            .iter()
            .map(|request| (request.id.clone(), request))
            .collect();
        let mut lost = false;
        let mut last = StoreError::AnswerLost(format!("no answer in {TRIES} tries"));
        for _ in 0..TRIES {
            if open.is_empty() {
                break;
            }
            match self.platform.commit(&self.insert(open.values().copied())) {
                Ok(Commit::Done) => {
                    let held = open.keys().map(|id| (id.clone(), ClaimOutcome::Held));
                    answers.extend(held);
                    open.clear();
                }
                Ok(Commit::Conflict(rows)) => self.settle(&rows, lost, &mut open, &mut answers),
                Err(StoreError::AnswerLost(reason)) => {
                    lost = true;
                    last = StoreError::AnswerLost(reason);
                    let keys: Vec<String> = open.keys().map(|id| key(id)).collect();
                    if let Ok(rows) = self.platform.read(&keys) {
                        self.settle(&rows, lost, &mut open, &mut answers);
                    }
                }
                Err(error) => {
                    last = error;
                    break;
                }
            }
        }
        let answer = |request: &ClaimRequest| {
            let known = answers.get(&request.id).cloned();
            known.unwrap_or_else(|| ClaimOutcome::Failed(last.to_string()))
        };
        requests.iter().map(answer).collect()
    }

    /// Takes rows that are there out of `open`, with what they mean.
    fn settle(
        &self,
        rows: &[Row],
        lost: bool,
        open: &mut BTreeMap<ClaimId, &ClaimRequest>,
        answers: &mut BTreeMap<ClaimId, ClaimOutcome>,
    ) {
        for row in rows.iter().filter(|row| row.version != ABSENT) {
            let id = row.key.trim_start_matches(CLAIMS).to_owned();
            if let Some(request) = open.remove(&id) {
                answers.insert(id, self.judge(row, request, lost));
            }
        }
    }

    /// Writes the ends of work that this host ran, and takes away the claims of
    /// work that it did not run.
    ///
    /// Only the host that ran it writes an end, so those rows' earlier state does
    /// not matter. A claim is taken away only where this very try wrote it: the row
    /// may be another host's, or that of a later try which is running.
    pub fn finish(&self, receipts: &[ReceiptWrite]) -> Result<(), StoreError> {
        let mut transaction = Transaction::default();
        let unused: Vec<&ReceiptWrite> = receipts
            .iter()
            .filter(|receipt| receipt.ending.is_none())
            .collect();
        if !unused.is_empty() {
            let keys: Vec<String> = unused.iter().map(|receipt| key(&receipt.id)).collect();
            let rows = self.platform.read(&keys)?;
            for (row, receipt) in rows.into_iter().zip(unused) {
                let claim = parse::<ClaimRow>(&row);
                if row.version != ABSENT
                    && claim.is_ok_and(|claim| self.wrote(&claim, receipt.attempt))
                {
                    transaction.conditions.push(Condition {
                        key: row.key.clone(),
                        version: row.version,
                    });
                    transaction.writes.push(Write {
                        key: row.key,
                        value: None,
                    });
                }
            }
        }
        for receipt in receipts {
            if let Some(ending) = &receipt.ending {
                transaction.writes.push(Write {
                    key: key(&receipt.id),
                    value: Some(text(&self.row(
                        receipt.attempt,
                        &receipt.fingerprint,
                        Some(ending.clone()),
                    ))),
                });
            }
        }
        if transaction.writes.is_empty() {
            return Ok(());
        }
        match self.platform.commit(&transaction)? {
            Commit::Done => Ok(()),
            Commit::Conflict(_) => {
                Err(StoreError::Unavailable("rows changed meanwhile".to_owned()))
            }
        }
    }

    /// The row of some work; none where there is none.
    pub fn find(&self, id: &str) -> Result<Option<ClaimRow>, StoreError> {
        let row = read_one(self.platform, &key(id))?;
        if row.version == ABSENT {
            return Ok(None);
        }
        parse(&row).map(Some)
    }

    fn insert<'r>(&self, requests: impl Iterator<Item = &'r ClaimRequest>) -> Transaction {
        let mut transaction = Transaction::default();
        for request in requests {
            transaction.conditions.push(Condition {
                key: key(&request.id),
                version: ABSENT,
            });
            transaction.writes.push(Write {
                key: key(&request.id),
                value: Some(text(&self.row(request.attempt, &request.fingerprint, None))),
            });
        }
        transaction
    }

    /// What a row that is there means: after a lost answer it may be this try's own.
    fn judge(&self, row: &Row, request: &ClaimRequest, lost: bool) -> ClaimOutcome {
        match parse::<ClaimRow>(row) {
            Ok(row) if lost && self.wrote(&row, request.attempt) => ClaimOutcome::Held,
            Ok(row) => ClaimOutcome::Taken(row),
            Err(error) => ClaimOutcome::Failed(error.to_string()),
        }
    }

    /// Whether this start wrote the row in this try, and the work has not ended.
    fn wrote(&self, row: &ClaimRow, attempt: AttemptId) -> bool {
        let mine = row.host == self.host && row.incarnation == self.incarnation;
        mine && row.attempt == attempt && row.ending.is_none()
    }

    fn row(&self, attempt: AttemptId, fingerprint: &str, ending: Option<WorkOutcome>) -> ClaimRow {
        ClaimRow {
            host: self.host.clone(),
            incarnation: self.incarnation,
            attempt,
            fingerprint: fingerprint.to_owned(),
            ending,
        }
    }
}

fn key(id: &str) -> String {
    format!("{CLAIMS}{id}")
}
