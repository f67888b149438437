//! What an upstream has said of itself in its answers to this host.

use std::time::{Duration, Instant};

use super::obstacle::Obstacle;

/// Time for which a start that leaves is remembered while no report names it. One whose
/// report comes back later says again that it leaves, at the cost of one request.
const LEAVING_REMEMBERED: Duration = Duration::from_secs(600);
/// Time for which the limit of a start is remembered that no report names.
const LIMIT_REMEMBERED: Duration = Duration::from_secs(60);
/// Longest time over which callers come back that a limit has turned away.
const TURNED_AWAY_OVER: Duration = Duration::from_secs(5);

/// The statements of one start of an upstream that still hold.
///
/// They are kept apart from what this host has learned by itself: an answer that shows that
/// an upstream lives says nothing against them, and they end in no other way than here.
#[derive(Debug, Default)]
pub struct ActiveStatements {
    /// Since when it leaves. Never taken back: it ends with the start.
    leaves_since: Option<Instant>,
    rest: Rest,
    /// How much it takes from all hosts together.
    limit: Option<Limit>,
}

/// A limit that was named.
#[derive(Debug, Clone, Copy)]
struct Limit {
    /// Requests a second.
    per_s: f64,
    /// When this host last had an answer that names one.
    heard: Instant,
    /// Until when no host that holds a part of it has a token.
    dry_until: Instant,
    /// Requests that were turned away for it since the last token.
    turned_away: u32,
}

/// A limit that an upstream names, as this host has last heard it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownLimit {
    /// Requests a second from all hosts together.
    pub per_s: f64,
    /// Time since it was heard.
    pub age: Duration,
}

/// What an answer has changed of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// It names its first, or another one.
    Named,
    /// It names none any more.
    Ended,
}

/// A rest that was asked for.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// None is, or it is over and the upstream has answered again.
    #[default]
    None,
    /// It lasts until then; after that the next request shows whether it takes work again.
    Until(Instant),
    /// It is over, and that request is under way since then. All that waited for the end of
    /// the rest would else come in the same moment: of 9 hosts with 20 requests each one
    /// request each, not 180 in all (counted in `tests/stated.rs`).
    Trial(Instant),
}

impl ActiveStatements {
    /// Takes that it leaves; true where that is new.
    pub fn leave(&mut self, now: Instant) -> bool {
        let is_new = self.leaves_since.is_none();
        self.leaves_since.get_or_insert(now);
        is_new
    }

    /// Takes that it wants nothing for `rest` from now on. Of rests that overlap the later
    /// end holds; true where this is that.
    pub fn rest(&mut self, now: Instant, rest: Duration) -> bool {
        if rest.is_zero() {
            return false;
        }
        let until = now + rest;
        let is_later = match self.rest {
            Rest::Until(known) => known < until,
            Rest::None | Rest::Trial(_) => true,
        };
        if is_later {
            self.rest = Rest::Until(until);
        }
        is_later
    }

    /// Takes the limit that an answer names to a request sent at `sent`, in requests a second;
    /// what that changes.
    ///
    /// An answer without one ends a limit only where its request was sent after the limit was
    /// last heard: of answers that are under way together the later one is not known.
    pub fn limit(
        &mut self,
        now: Instant,
        sent: Instant,
        named: Option<f64>,
    ) -> Option<LimitChange> {
        let known = self.limit;
        let Some(per_s) = named else {
            let ends = known.is_some_and(|known| sent >= known.heard);
            self.limit = known.filter(|_| !ends);
            return ends.then_some(LimitChange::Ended);
        };
        let (dry_until, turned_away) =
            known.map_or((now, 0), |known| (known.dry_until, known.turned_away));
        self.limit = Some(Limit {
            per_s,
            heard: now,
            dry_until,
            turned_away,
        });
        let is_known = known.is_some_and(|known| known.per_s == per_s);
        (!is_known).then_some(LimitChange::Named)
    }

    /// Its limit; none where it names none. Where there is one, a request needs a token of it.
    pub fn limit_heard(&self, now: Instant) -> Option<KnownLimit> {
        self.limit.map(|limit| KnownLimit {
            per_s: limit.per_s,
            age: now.saturating_duration_since(limit.heard),
        })
    }

    /// Takes that no host that holds a part of its limit has a token for so long.
    pub fn limit_exhausted(&mut self, now: Instant, wait: Duration) {
        if let Some(limit) = &mut self.limit {
            limit.dry_until = now + wait;
        }
    }

    /// Takes that a request has a token of its limit.
    pub fn limit_token_granted(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.turned_away = 0;
        }
    }

    /// Takes that a request was turned away for its limit; the time over which callers who are
    /// turned away together should come back.
    pub fn limit_refused_request(&mut self) -> Duration {
        let Some(limit) = &mut self.limit else {
            return Duration::ZERO;
        };
        limit.turned_away = limit.turned_away.saturating_add(1);
        let all_served_s = f64::from(limit.turned_away) / limit.per_s;
        Duration::from_secs_f64(all_served_s.min(TURNED_AWAY_OVER.as_secs_f64()))
    }

    /// What stands against a request now.
    pub fn obstacle(&self, now: Instant) -> Option<Obstacle> {
        if self.leaves_since.is_some() {
            return Some(Obstacle::Leaves);
        }
        match self.rest {
            Rest::Until(until) if until > now => Some(Obstacle::Rests(until - now)),
            Rest::Trial(_) => Some(Obstacle::TrialPending),
            Rest::None | Rest::Until(_) => self.dry(now),
        }
    }

    fn dry(&self, now: Instant) -> Option<Obstacle> {
        let until = self.limit?.dry_until;
        (until > now).then(|| Obstacle::LimitExhausted(until - now))
    }

    /// Notes a request that is about to be sent.
    pub fn sent(&mut self, now: Instant) {
        if matches!(self.rest, Rest::Until(until) if until <= now) {
            self.rest = Rest::Trial(now);
        }
    }

    /// Notes that a request sent at `sent` was answered; true where that ends a rest. A
    /// request from before the rest says nothing of it.
    pub fn answered(&mut self, sent: Instant) -> bool {
        let is_over = self.rest == Rest::Trial(sent);
        if is_over {
            self.rest = Rest::None;
        }
        is_over
    }

    /// Notes that no answer came to a request sent at `sent`: the next one shows more.
    pub fn unanswered(&mut self, sent: Instant) {
        if self.rest == Rest::Trial(sent) {
            self.rest = Rest::Until(sent);
        }
    }

    /// Whether it must be remembered though no report names its start any more: the report
    /// may come back.
    pub fn is_remembered(&self, now: Instant) -> bool {
        let leaves = self
            .leaves_since
            .is_some_and(|since| now.saturating_duration_since(since) < LEAVING_REMEMBERED);
        let limits = self
            .limit_heard(now)
            .is_some_and(|limit| limit.age < LIMIT_REMEMBERED);
        let rests = matches!(self.rest, Rest::Until(until) if until > now);
        leaves || rests || limits
    }
}
