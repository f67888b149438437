//! Deduplication of non-idempotent requests.
//!
//! A host remembers the outcome of each ticket, idempotency key or identity that was
//! used with it. For tickets in [`TicketMode::Store`](crate::document::TicketMode::Store)
//! it also writes a claim row to the platform's table before dispatch.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{ClaimId, HostName, Incarnation};

/// The answer to a request that ran, kept for replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer; `None` if it had none.
    pub content_type: Option<String>,
    /// The whole body, base64 in JSON; `None` if it was too large to keep.
    #[serde(with = "body_text")]
    pub body: Option<Bytes>,
}

/// Final outcome of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkOutcome {
    /// The request ran and was answered.
    Ran(Receipt),
    /// The request may have run. This outcome is final.
    Unknown,
}

/// How to handle a request that carries a ticket, idempotency key or identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketDecision {
    /// Run the request; no other request uses the ticket.
    Run,
    /// Refuse the request: an earlier one with the ticket is still running.
    InProgress,
    /// Refuse the request: the ticket was used for a different one.
    Conflict,
    /// Answer with the outcome of the earlier request.
    Replay(WorkOutcome),
    /// Refuse the request: the maximum number of tickets is remembered.
    Full,
}

/// Random number that identifies one attempt to run a request.
pub type AttemptId = u64;

/// SHA-256 of a request's method, path and body, hexadecimal.
pub type Fingerprint = String;

/// Returns the fingerprint of a request.
///
/// Each part is prefixed with its length, so that no two different requests hash the same bytes.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    format!("{:x}", digest.finalize())
}

#[derive(Debug)]
struct SpentTicket {
    fingerprint: Fingerprint,
    /// `None` while the request runs.
    ending: Option<WorkOutcome>,
    forget_at: Instant,
}

impl SpentTicket {
    fn kept_bytes(&self) -> usize {
        match &self.ending {
            Some(WorkOutcome::Ran(receipt)) => receipt.body.as_ref().map_or(0, Bytes::len),
            _ => 0,
        }
    }
}

/// Bounds of [`SpentTickets`].
#[derive(Debug, Clone, Copy)]
pub struct SpentLimits {
    /// Maximum number of tickets remembered.
    pub count: usize,
    /// Maximum size of all kept bodies together, in bytes.
    pub bytes: usize,
}

/// The spent tickets of one incarnation of a host: those that a request has used.
///
/// Each is remembered until it has expired and its request has ended.
#[derive(Debug)]
pub struct SpentTickets {
    limits: SpentLimits,
    spent: HashMap<ClaimId, SpentTicket>,
    /// Contains exactly the ids in `spent`, ordered by the time they are forgotten.
    by_forget_time: BTreeSet<(Instant, ClaimId)>,
    /// Total size of the bodies kept in `spent`.
    kept_bytes: usize,
}

impl SpentTickets {
    /// Creates an empty record.
    pub fn new(limits: SpentLimits) -> Self {
        SpentTickets {
            limits,
            spent: HashMap::new(),
            by_forget_time: BTreeSet::new(),
            kept_bytes: 0,
        }
    }

    /// Returns how to handle another request with a ticket that was used already; `None`
    /// if the ticket is not remembered.
    pub fn status(&self, id: &str, fingerprint: &str) -> Option<TicketDecision> {
        let spent = self.spent.get(id)?;
        Some(match &spent.ending {
            _ if spent.fingerprint != fingerprint => TicketDecision::Conflict,
            None => TicketDecision::InProgress,
            Some(ending) => TicketDecision::Replay(ending.clone()),
        })
    }

    /// Records the use of a ticket, or returns why its request must not run.
    ///
    /// The record stays until `forget_at`, or until the request has ended if that is later.
    pub fn begin(
        &mut self,
        now: Instant,
        id: &str,
        fingerprint: &str,
        forget_at: Instant,
    ) -> TicketDecision {
        self.forget_expired(now);
        if let Some(decision) = self.status(id, fingerprint) {
            return decision;
        }
        if self.spent.len() >= self.limits.count {
            return TicketDecision::Full;
        }
        let spent = SpentTicket {
            fingerprint: fingerprint.to_owned(),
            ending: None,
            forget_at,
        };
        self.spent.insert(id.to_owned(), spent);
        self.by_forget_time.insert((forget_at, id.to_owned()));
        TicketDecision::Run
    }

    /// Removes the record of a ticket whose request certainly did not run, so that the
    /// ticket can be used again.
    pub fn release(&mut self, id: &str) {
        if let Some(spent) = self.spent.remove(id) {
            self.by_forget_time
                .remove(&(spent.forget_at, id.to_owned()));
            self.kept_bytes -= spent.kept_bytes();
        }
    }

    /// Records the outcome of a request. Drops the body if it exceeds the byte bound.
    pub fn complete(&mut self, id: &str, mut ending: WorkOutcome) {
        let free_bytes = self.limits.bytes.saturating_sub(self.kept_bytes);
        if let WorkOutcome::Ran(receipt) = &mut ending
            && receipt
                .body
                .as_ref()
                .is_some_and(|body| body.len() > free_bytes)
        {
            receipt.body = None;
        }
        if let Some(spent) = self.spent.get_mut(id) {
            spent.ending = Some(ending);
            self.kept_bytes += spent.kept_bytes();
        }
    }

    /// Returns the number of remembered tickets.
    pub fn len(&self) -> usize {
        self.spent.len()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.spent.is_empty()
    }

    /// Whether another ticket may be issued.
    ///
    /// Half of [`SpentLimits::count`] stays free for tickets that are issued but unused.
    pub fn may_issue(&self) -> bool {
        self.spent.len() < self.limits.count / 2
    }

    /// Forgets expired tickets whose requests have ended.
    fn forget_expired(&mut self, now: Instant) {
        let expired: Vec<ClaimId> = self
            .by_forget_time
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| id.clone())
            .collect();
        for id in expired {
            if self.spent[&id].ending.is_some() {
                self.release(&id);
            }
        }
    }
}

/// A row of the platform's claim table, which lets one host run a request once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Host that wrote the claim.
    pub host: HostName,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Attempt that wrote the claim.
    pub attempt: AttemptId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// `None` while the request may still run.
    pub ending: Option<WorkOutcome>,
}

/// Result of writing a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This host holds the claim, and no host did before.
    Held,
    /// The claim had been written before, as this row.
    Taken(ClaimRow),
    /// The result is unknown, for this reason; the request must not run.
    Failed(String),
}

/// Decides how to handle a request whose claim row exists already.
///
/// If the holder is gone, its request has an unknown outcome.
pub fn decide_existing_claim(
    row: &ClaimRow,
    fingerprint: &str,
    holder_is_gone: bool,
) -> TicketDecision {
    if row.fingerprint != fingerprint {
        return TicketDecision::Conflict;
    }
    match &row.ending {
        Some(ending) => TicketDecision::Replay(ending.clone()),
        None if holder_is_gone => TicketDecision::Replay(WorkOutcome::Unknown),
        None => TicketDecision::InProgress,
    }
}

/// Time after the start of a claim's write in which its holder may dispatch the request.
///
/// A holder that was paused for longer must not dispatch. Another host that found the
/// claim may have answered that the outcome is unknown. This answer stays true, but a
/// drain or the retirement of an upstream may have been waited for in the meantime.
pub const CLAIM_DISPATCH_WINDOW: Duration = Duration::from_secs(5);

/// Serializes a body as base64 text.
mod body_text {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(body: &Option<Bytes>, to: S) -> Result<S::Ok, S::Error> {
        body.as_ref()
            .map(|body| STANDARD.encode(body))
            .serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Bytes>, D::Error> {
        let text: Option<String> = Option::deserialize(from)?;
        text.map(|text| STANDARD.decode(text).map(Bytes::from))
            .transpose()
            .map_err(serde::de::Error::custom)
    }
}
