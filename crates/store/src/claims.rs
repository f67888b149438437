//! Claims and receipts of requests that must not run more than once, written in batches.

use std::collections::BTreeMap;

use steering::claim::{AttemptId, ClaimOutcome, ClaimRow, Fingerprint, WorkOutcome};
use steering::ids::{ClaimId, HostName, Incarnation};

use crate::table::{
    ABSENT, Commit, Condition, Platform, Row, StoreError, Transaction, Write, parse, read_one,
    to_json,
};

const KEY_PREFIX: &str = "claim/";
/// Maximum number of commits or reads for one batch of claims.
const MAX_ATTEMPTS: usize = 4;

/// A claim to insert; fails if the row exists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Identity of the claimed request.
    pub id: ClaimId,
    /// Random number that identifies the attempt to run the request.
    pub attempt: AttemptId,
    /// Digest of the request's contents.
    pub fingerprint: Fingerprint,
}

/// The outcome of a claimed request, written so that other hosts can find it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceiptWrite {
    /// Identity of the claimed request.
    pub id: ClaimId,
    /// Random number that identifies the attempt to run the request.
    pub attempt: AttemptId,
    /// Digest of the request's contents.
    pub fingerprint: Fingerprint,
    /// Outcome of the request; none if the request certainly did not run, which removes the claim.
    pub ending: Option<WorkOutcome>,
}

/// Claims written by one incarnation of a host.
pub struct ClaimStore<'a> {
    platform: &'a dyn Platform,
    host: HostName,
    incarnation: Incarnation,
}

impl<'a> ClaimStore<'a> {
    /// Creates a store for the claims of the given incarnation of `host`.
    pub fn new(platform: &'a dyn Platform, host: HostName, incarnation: Incarnation) -> Self {
        ClaimStore {
            platform,
            host,
            incarnation,
        }
    }

    /// Writes claims in as few commits as conflicts allow; returns the outcomes in the order of
    /// `requests`.
    ///
    /// After a lost answer the rows are read again: an existing row with the same attempt number
    /// was written by the commit whose answer was lost.
    pub fn claim(&self, requests: &[ClaimRequest]) -> Vec<ClaimOutcome> {
        let mut outcomes: BTreeMap<ClaimId, ClaimOutcome> = BTreeMap::new();
        let mut open: BTreeMap<ClaimId, &ClaimRequest> = requests
            .iter()
            .map(|request| (request.id.clone(), request))
            .collect();
        let mut answer_lost = false;
        let mut last_error =
            StoreError::AnswerLost(format!("no answer in {MAX_ATTEMPTS} attempts"));
        for _ in 0..MAX_ATTEMPTS {
            if open.is_empty() {
                break;
            }
            match self.platform.commit(&self.insert(open.values().copied())) {
                Ok(Commit::Done) => {
                    let held = open.keys().map(|id| (id.clone(), ClaimOutcome::Held));
                    outcomes.extend(held);
                    open.clear();
                }
                Ok(Commit::Conflict(rows)) => {
                    self.resolve(&rows, answer_lost, &mut open, &mut outcomes)
                }
                Err(StoreError::AnswerLost(reason)) => {
                    answer_lost = true;
                    last_error = StoreError::AnswerLost(reason);
                    let keys: Vec<String> = open.keys().map(|id| key(id)).collect();
                    if let Ok(rows) = self.platform.read(&keys) {
                        self.resolve(&rows, answer_lost, &mut open, &mut outcomes);
                    }
                }
                Err(error) => {
                    last_error = error;
                    break;
                }
            }
        }
        let outcome = |request: &ClaimRequest| {
            let known = outcomes.get(&request.id).cloned();
            known.unwrap_or_else(|| ClaimOutcome::Failed(last_error.to_string()))
        };
        requests.iter().map(outcome).collect()
    }

    /// Moves claims whose rows exist from `open` to `outcomes`.
    fn resolve(
        &self,
        rows: &[Row],
        answer_lost: bool,
        open: &mut BTreeMap<ClaimId, &ClaimRequest>,
        outcomes: &mut BTreeMap<ClaimId, ClaimOutcome>,
    ) {
        for row in rows.iter().filter(|row| row.version != ABSENT) {
            let id = row.key.trim_start_matches(KEY_PREFIX).to_owned();
            if let Some(request) = open.remove(&id) {
                outcomes.insert(id, self.existing_claim(row, request, answer_lost));
            }
        }
    }

    /// Writes the outcomes of requests that this host ran, and removes the claims of requests that
    /// this host did not run.
    ///
    /// Only the host that ran a request writes an outcome, so outcomes are written without
    /// conditions. A claim is removed only if the same attempt wrote the claim, since the row may
    /// belong to another host or to a later attempt that is running.
    pub fn finish(&self, receipts: &[ReceiptWrite]) -> Result<(), StoreError> {
        let mut transaction = Transaction::default();
        let not_run: Vec<&ReceiptWrite> = receipts
            .iter()
            .filter(|receipt| receipt.ending.is_none())
            .collect();
        if !not_run.is_empty() {
            let keys: Vec<String> = not_run.iter().map(|receipt| key(&receipt.id)).collect();
            let rows = self.platform.read(&keys)?;
            for (row, receipt) in rows.into_iter().zip(not_run) {
                let claim = parse::<ClaimRow>(&row);
                if row.version != ABSENT
                    && claim.is_ok_and(|claim| self.is_own_open_claim(&claim, receipt.attempt))
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
                    value: Some(to_json(&self.row(
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
            Commit::Conflict(_) => Err(StoreError::Unavailable(
                "rows changed between read and write".to_owned(),
            )),
        }
    }

    /// Returns the row of a request; none if there is no row.
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
                value: Some(to_json(&self.row(
                    request.attempt,
                    &request.fingerprint,
                    None,
                ))),
            });
        }
        transaction
    }

    /// Returns the outcome of a claim whose row exists. After a lost answer the row may be the one
    /// that this attempt wrote.
    fn existing_claim(&self, row: &Row, request: &ClaimRequest, answer_lost: bool) -> ClaimOutcome {
        match parse::<ClaimRow>(row) {
            Ok(row) if answer_lost && self.is_own_open_claim(&row, request.attempt) => {
                ClaimOutcome::Held
            }
            Ok(row) => ClaimOutcome::Taken(row),
            Err(error) => ClaimOutcome::Failed(error.to_string()),
        }
    }

    /// Whether this incarnation wrote the row in this attempt, and the request has no outcome yet.
    fn is_own_open_claim(&self, row: &ClaimRow, attempt: AttemptId) -> bool {
        let is_own = row.host == self.host && row.incarnation == self.incarnation;
        is_own && row.attempt == attempt && row.ending.is_none()
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
    format!("{KEY_PREFIX}{id}")
}
