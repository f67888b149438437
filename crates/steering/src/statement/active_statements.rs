//! The statements of an upstream that are in force.

use std::time::{Duration, Instant};

use super::obstacle::Obstacle;

/// Time for which a leaving start is remembered after its last report. If a report reappears
/// later, the upstream must state again that it is leaving, which costs one request.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// Time for which the limit of a start is remembered after its last report.
const LIMIT_RETENTION: Duration = Duration::from_secs(60);
/// Upper bound of the time over which refused callers are told to return.
const MAX_RETURN_SPAN: Duration = Duration::from_secs(5);

/// The statements of one start of an upstream that are in force.
///
/// They are separate from what this host observes. An answer that shows that the upstream is alive
/// does not revoke them; only the methods of this type do.
#[derive(Debug, Default)]
pub struct ActiveStatements {
    /// Since when the upstream has been leaving. Never reset; the state ends with the start.
    leaves_since: Option<Instant>,
    rest: Rest,
    /// Limit on the requests of all hosts in total.
    limit: Option<Limit>,
}

/// A limit in force.
#[derive(Debug, Clone, Copy)]
struct Limit {
    /// Requests per second.
    per_s: f64,
    /// Time of the last answer with a limit.
    received_at: Instant,
    /// Until when no holder of a share has a token.
    exhausted_until: Instant,
    /// Requests refused because of the limit since the last token.
    refused: u32,
}

/// A limit in force, with the age of this host's knowledge of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLimit {
    /// Requests per second of all hosts in total.
    pub per_s: f64,
    /// Time since this host last received the limit.
    pub age: Duration,
}

/// How an answer changes an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is new, or has a different value.
    Named,
    /// The upstream has no limit any more.
    Ended,
}

/// State of a requested rest.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// No rest was requested, or the upstream has answered since the rest.
    #[default]
    None,
    /// The rest lasts until this time. The next request after it is a trial.
    Until(Instant),
    /// The rest is over and the trial request, sent at this time, is not answered yet. Without a
    /// trial all waiting requests would be sent at the same moment: with 9 hosts and 20 requests
    /// each that is 180 requests instead of 9. See `tests/stated.rs`.
    Trial(Instant),
}

impl ActiveStatements {
    /// Records that the upstream is leaving; true if this is new.
    pub fn leave(&mut self, now: Instant) -> bool {
        let is_new = self.leaves_since.is_none();
        self.leaves_since.get_or_insert(now);
        is_new
    }

    /// Records that the upstream wants no requests for `rest` from now on. Of overlapping rests
    /// the one that ends last applies; true if it is this one.
    pub fn rest(&mut self, now: Instant, rest: Duration) -> bool {
        if rest.is_zero() {
            return false;
        }
        let until = now + rest;
        let ends_later = match self.rest {
            Rest::Until(known) => known < until,
            Rest::None | Rest::Trial(_) => true,
        };
        if ends_later {
            self.rest = Rest::Until(until);
        }
        ends_later
    }

    /// Records the limit, in requests per second, of an answer to a request sent at `sent`, and
    /// returns what it changes.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the limit was
    /// last received, because the order of concurrent answers is unknown.
    pub fn limit(
        &mut self,
        now: Instant,
        sent: Instant,
        requested: Option<f64>,
    ) -> Option<LimitChange> {
        let known = self.limit;
        let Some(per_s) = requested else {
            let ends = known.is_some_and(|known| sent >= known.received_at);
            self.limit = known.filter(|_| !ends);
            return ends.then_some(LimitChange::Ended);
        };
        let (exhausted_until, refused) =
            known.map_or((now, 0), |known| (known.exhausted_until, known.refused));
        self.limit = Some(Limit {
            per_s,
            received_at: now,
            exhausted_until,
            refused,
        });
        let is_known = known.is_some_and(|known| known.per_s == per_s);
        (!is_known).then_some(LimitChange::Named)
    }

    /// The limit in force, if any. With a limit, each request needs a token.
    pub fn known_limit(&self, now: Instant) -> Option<KnownLimit> {
        self.limit.map(|limit| KnownLimit {
            per_s: limit.per_s,
            age: now.saturating_duration_since(limit.received_at),
        })
    }

    /// Records that no holder of a share of the limit has a token for `wait`.
    pub fn limit_exhausted(&mut self, now: Instant, wait: Duration) {
        if let Some(limit) = &mut self.limit {
            limit.exhausted_until = now + wait;
        }
    }

    /// Records that a request obtained a token of the limit.
    pub fn limit_token_granted(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.refused = 0;
        }
    }

    /// Records that a request was refused because of the limit; returns the time over which the
    /// callers refused so far should return.
    pub fn limit_refused_request(&mut self) -> Duration {
        let Some(limit) = &mut self.limit else {
            return Duration::ZERO;
        };
        limit.refused = limit.refused.saturating_add(1);
        let all_served_s = f64::from(limit.refused) / limit.per_s;
        Duration::from_secs_f64(all_served_s.min(MAX_RETURN_SPAN.as_secs_f64()))
    }

    /// The obstacle to a request now that follows from the statements.
    pub fn obstacle(&self, now: Instant) -> Option<Obstacle> {
        if self.leaves_since.is_some() {
            return Some(Obstacle::Leaves);
        }
        match self.rest {
            Rest::Until(until) if until > now => Some(Obstacle::Rests(until - now)),
            Rest::Trial(_) => Some(Obstacle::TrialPending),
            Rest::None | Rest::Until(_) => self.exhausted_limit(now),
        }
    }

    fn exhausted_limit(&self, now: Instant) -> Option<Obstacle> {
        let until = self.limit?.exhausted_until;
        (until > now).then(|| Obstacle::LimitExhausted(until - now))
    }

    /// Records a request that is about to be sent.
    pub fn sent(&mut self, now: Instant) {
        if matches!(self.rest, Rest::Until(until) if until <= now) {
            self.rest = Rest::Trial(now);
        }
    }

    /// Records an answer to a request sent at `sent`; true if this ends a rest. Answers to
    /// requests from before the rest do not end it.
    pub fn answered(&mut self, sent: Instant) -> bool {
        let is_over = self.rest == Rest::Trial(sent);
        if is_over {
            self.rest = Rest::None;
        }
        is_over
    }

    /// Records that a request sent at `sent` got no answer. If it was the trial, the next request
    /// is the trial.
    pub fn unanswered(&mut self, sent: Instant) {
        if self.rest == Rest::Trial(sent) {
            self.rest = Rest::Until(sent);
        }
    }

    /// Whether the statements must be kept although no report names the start any more, since the
    /// report may reappear.
    pub fn is_remembered(&self, now: Instant) -> bool {
        let leaves = self
            .leaves_since
            .is_some_and(|since| now.saturating_duration_since(since) < LEAVING_RETENTION);
        let limits = self
            .known_limit(now)
            .is_some_and(|limit| limit.age < LIMIT_RETENTION);
        let rests = matches!(self.rest, Rest::Until(until) if until > now);
        leaves || rests || limits
    }
}
