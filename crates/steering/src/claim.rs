//! What a host remembers of work that may not be repeated, and the claim that
//! it writes to the platform's table before such work where a ticket asks for it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{ClaimId, HostName, Incarnation};

/// The answer to work that ran, kept so that it can be fetched again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer, where it had one.
    pub content_type: Option<String>,
    /// The whole body, base64 in JSON; none where it was too large to be kept.
    #[serde(with = "body_text")]
    pub body: Option<Bytes>,
}

/// How work ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It ran and was answered.
    Ran(Receipt),
    /// It may have run; this never changes.
    Unknown,
}

/// What a request for work with a ticket or key should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Spend {
    /// Run it; nobody else does.
    Run,
    /// It runs now.
    InProgress,
    /// The ticket was used for another request.
    Conflict,
    /// It has ended; answer this.
    Replay(Ending),
    /// Too much is remembered already; don't run it.
    Full,
}

/// Number of one try at some work, drawn at random.
pub type AttemptId = u64;

/// Digest of a request's method, path and body.
pub type Fingerprint = String;

/// Makes the fingerprint of a request.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    format!("{:x}", digest.finalize())
}

#[derive(Debug)]
struct Spent {
    fingerprint: Fingerprint,
    /// None while it runs.
    ending: Option<Ending>,
    forget_at: Instant,
}

impl Spent {
    fn kept_bytes(&self) -> usize {
        match &self.ending {
            Some(Ending::Ran(receipt)) => receipt.body.as_ref().map_or(0, Bytes::len),
            _ => 0,
        }
    }
}

/// Bounds on what a host remembers.
#[derive(Debug, Clone, Copy)]
pub struct SpentLimits {
    /// Tickets remembered.
    pub count: usize,
    /// Bytes of bodies kept.
    pub bytes: usize,
}

/// The spent tickets of one incarnation; each is remembered until it has lapsed.
#[derive(Debug)]
pub struct SpentTickets {
    limits: SpentLimits,
    spent: HashMap<ClaimId, Spent>,
    /// Holds exactly the ids of `spent`, by the time they are forgotten.
    order: BTreeSet<(Instant, ClaimId)>,
    /// Sum of the bodies kept in `spent`.
    kept_bytes: usize,
}

impl SpentTickets {
    /// Remembers nothing yet.
    pub fn new(limits: SpentLimits) -> Self {
        SpentTickets {
            limits,
            spent: HashMap::new(),
            order: BTreeSet::new(),
            kept_bytes: 0,
        }
    }

    /// What became of a ticket that was spent; none where nothing is remembered of it.
    pub fn recall(&self, id: &str, fingerprint: &str) -> Option<Spend> {
        let spent = self.spent.get(id)?;
        Some(match &spent.ending {
            _ if spent.fingerprint != fingerprint => Spend::Conflict,
            None => Spend::InProgress,
            Some(ending) => Spend::Replay(ending.clone()),
        })
    }

    /// Spends a ticket, to be remembered until `forget_at`, or says why it can't be spent.
    pub fn spend(
        &mut self,
        now: Instant,
        id: &str,
        fingerprint: &str,
        forget_at: Instant,
    ) -> Spend {
        self.forget(now);
        if let Some(spent) = self.recall(id, fingerprint) {
            return spent;
        }
        if self.spent.len() >= self.limits.count {
            return Spend::Full;
        }
        let spent = Spent {
            fingerprint: fingerprint.to_owned(),
            ending: None,
            forget_at,
        };
        self.spent.insert(id.to_owned(), spent);
        self.order.insert((forget_at, id.to_owned()));
        Spend::Run
    }

    /// The work certainly did not run: the ticket can be spent again.
    pub fn give_back(&mut self, id: &str) {
        if let Some(spent) = self.spent.remove(id) {
            self.order.remove(&(spent.forget_at, id.to_owned()));
            self.kept_bytes -= spent.kept_bytes();
        }
    }

    /// The work has ended. A body that there is no room for is not kept.
    pub fn end(&mut self, id: &str, mut ending: Ending) {
        let room = self.limits.bytes.saturating_sub(self.kept_bytes);
        if let Ending::Ran(receipt) = &mut ending
            && receipt.body.as_ref().is_some_and(|body| body.len() > room)
        {
            receipt.body = None;
        }
        if let Some(spent) = self.spent.get_mut(id) {
            spent.ending = Some(ending);
            self.kept_bytes += spent.kept_bytes();
        }
    }

    /// Tickets remembered now.
    pub fn len(&self) -> usize {
        self.spent.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.spent.is_empty()
    }

    /// Whether another ticket may be issued: half the room is kept for those that are out.
    pub fn may_issue(&self) -> bool {
        self.spent.len() < self.limits.count / 2
    }

    /// Forgets what has lapsed and does not run any more.
    fn forget(&mut self, now: Instant) {
        let lapsed: Vec<ClaimId> = self
            .order
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| id.clone())
            .collect();
        for id in lapsed {
            if self.spent[&id].ending.is_some() {
                self.give_back(&id);
            }
        }
    }
}

/// A row of the table that gives one host the right to run some work once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Host that holds it.
    pub host: HostName,
    /// Start of that host.
    pub incarnation: Incarnation,
    /// Number of the try that wrote it, drawn anew for each.
    pub attempt: AttemptId,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// None while it may run.
    pub ending: Option<Ending>,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This host holds it, and nobody did before.
    Held,
    /// The row was there already.
    Taken(ClaimRow),
    /// It is not known, for this reason; the work must not run.
    Failed(String),
}

/// What a claim row that was there before means for a request.
pub fn judge(row: &ClaimRow, fingerprint: &str, holder_is_gone: bool) -> Spend {
    if row.fingerprint != fingerprint {
        return Spend::Conflict;
    }
    match &row.ending {
        Some(ending) => Spend::Replay(ending.clone()),
        None if holder_is_gone => Spend::Replay(Ending::Unknown),
        None => Spend::InProgress,
    }
}

/// Time that a claim is good for dispatch, from before its write was begun.
///
/// A holder that was paused for longer must not dispatch: whoever found its
/// claim may have told a caller that the outcome is unknown, which stays true,
/// but a drain or a retired upstream may have been waited for meanwhile.
pub const CLAIM_DISPATCH_WINDOW: Duration = Duration::from_secs(5);

/// Bodies as base64 text.
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
