//! A host's tokens for one customer.

use std::time::{Duration, Instant};

use super::KEEP_ALIVE;
use super::message::{TokenDemand, TokenGrant};

/// Span for whose requests tokens are held ahead: some answers from far regions.
const AHEAD: Duration = Duration::from_millis(400);
/// Share of the time until all that waited would have been served after which a pool that had
/// no token is asked again. Callers come back after all of it; with it before, a pool at eight
/// times its allowance lent 85 of 100 of its tokens (played in `tests/route_allowance.rs`).
const DRY_SHARE: f64 = 0.25;
/// Tokens that a host holds for a customer whose requests its zone's hosts ask it for: as many
/// as may come together. Where the bucket is smaller the pool lends fewer.
const SPARED_AT_ONCE: u32 = 4;
/// Time without a request of a customer after which its tokens are given back.
const IDLE_AFTER: Duration = Duration::from_secs(6);
/// Weight of the newest span in a customer's rate.
const NEWEST_WEIGHT: f64 = 0.5;
/// Shortest span over which a rate is taken.
const SPAN_LEAST: Duration = Duration::from_millis(200);

/// What becomes of a request that takes a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeResult {
    /// It has one.
    Taken,
    /// There is none for so long.
    Exhausted(Duration),
    /// It must be asked for.
    Wait,
}

/// A customer whose allowance is used up.
#[derive(Debug)]
struct Dry {
    /// Until when the pool is not asked again.
    until: Instant,
    /// When there would have been a token for each request that waited.
    all_served_at: Instant,
}

/// A host's tokens for a customer.
#[derive(Debug, Default)]
pub(super) struct Lease {
    tokens: u32,
    /// Tokens that the pool takes to be lent: all that are held, and some that are spent.
    lent: u32,
    /// Requests that wait for one.
    waiting: u32,
    /// Tokens for requests that wait, of the pool or of another host of the zone.
    spared: u32,
    dry: Option<Dry>,
    last_request: Option<Instant>,
    /// Requests since the rate was last taken, and when that was.
    requests: u32,
    rate_taken: Option<Instant>,
    rate_per_s: f64,
}

impl Lease {
    /// Tokens to hold for the requests to come. A host that others of its zone ask (`spares`)
    /// holds some also for customers whose requests are rare.
    pub fn wanted(&self, now: Instant, spares: bool) -> u32 {
        let idle = |at: Instant| now.saturating_duration_since(at) > IDLE_AFTER;
        let ahead = self.rate_per_s * AHEAD.as_secs_f64();
        match self.last_request {
            Some(at) if !idle(at) && spares => SPARED_AT_ONCE + ahead.ceil() as u32,
            Some(at) if !idle(at) => ahead.floor() as u32,
            _ => 0,
        }
    }

    /// Tokens that requests wait for and that are not there yet.
    pub fn lacking(&self) -> u32 {
        self.waiting.saturating_sub(self.tokens + self.spared)
    }

    /// Whether so few tokens are left that more are to be asked for: half of what is wanted
    /// lasts for the time of an answer from a far region.
    pub fn is_low(&self, wanted: u32) -> bool {
        self.tokens * 2 <= wanted && self.tokens < wanted
    }

    fn take_rate(&mut self, now: Instant) {
        let span = self.rate_taken.map(|at| now.saturating_duration_since(at));
        if span.is_some_and(|span| span < SPAN_LEAST) {
            return;
        }
        let span_s = span.unwrap_or(KEEP_ALIVE).as_secs_f64();
        let newest = f64::from(self.requests) / span_s;
        self.rate_per_s += NEWEST_WEIGHT * (newest - self.rate_per_s);
        self.requests = 0;
        self.rate_taken = Some(now);
    }

    /// What is to be said of the customer; none where nothing is.
    pub fn want(&mut self, now: Instant, customer: &str, spares: bool) -> Option<TokenDemand> {
        self.take_rate(now);
        let wanted = self.wanted(now, spares);
        if wanted == 0 && self.waiting == 0 {
            self.tokens = 0;
            let lent = std::mem::take(&mut self.lent);
            return (lent > 0).then(|| TokenDemand {
                customer: customer.to_owned(),
                held: 0,
                need: 0,
                ahead: 0,
            });
        }
        let lacks = self.lacking() > 0 || self.is_low(wanted);
        (lacks || self.lent != self.tokens).then(|| TokenDemand {
            customer: customer.to_owned(),
            held: self.tokens,
            need: self.lacking(),
            ahead: wanted.saturating_sub(self.tokens),
        })
    }

    /// Counts requests that have come.
    pub fn came(&mut self, now: Instant, requests: u32) {
        self.requests += requests;
        self.last_request = Some(now);
    }

    /// A request waits for a token from now on.
    pub fn wait(&mut self) {
        self.waiting += 1;
    }

    /// A request waits no more; what was spared for it is lost.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        self.spared = self.spared.min(self.waiting);
    }

    /// Takes a token that is held for a request; `is_good` where those of its pool still are.
    pub fn try_take(&mut self, now: Instant, is_good: bool) -> TakeResult {
        if is_good && self.tokens > 0 {
            self.tokens -= 1;
            return TakeResult::Taken;
        }
        match &self.dry {
            Some(dry) if dry.until > now => {
                TakeResult::Exhausted(dry.all_served_at.saturating_duration_since(now))
            }
            _ => TakeResult::Wait,
        }
    }

    /// Takes a token for a request that waits.
    pub fn try_again(&mut self, now: Instant, is_good: bool) -> TakeResult {
        let taken = match self.spared.checked_sub(1) {
            Some(left) => {
                self.spared = left;
                TakeResult::Taken
            }
            None => self.try_take(now, is_good),
        };
        if taken != TakeResult::Wait {
            self.leave();
        }
        taken
    }

    /// Takes back the token of a request that has not run.
    pub fn put_back(&mut self) {
        self.tokens += 1;
    }

    /// Gives tokens away.
    pub fn give(&mut self, most: u32) -> u32 {
        let given = self.tokens.min(most);
        self.tokens -= given;
        given
    }

    /// Takes tokens of another host for requests that wait.
    pub fn accept_zone_loan(&mut self, tokens: u32) {
        self.spared += tokens.min(self.waiting);
    }

    /// Takes what the pool has lent, in answer to `want`.
    pub fn take_grant(&mut self, now: Instant, want: &TokenDemand, grant: &TokenGrant) {
        self.accept_zone_loan(grant.needed);
        self.tokens += grant.ahead;
        self.lent = want.held + grant.ahead;
        let dry = Duration::from_millis(grant.retry_after_ms.into());
        self.dry = (!dry.is_zero()).then(|| Dry {
            until: now + dry.mul_f64(DRY_SHARE),
            all_served_at: now + dry,
        });
    }

    /// Forgets the tokens of a pool that this host is in no more.
    pub fn forget_tokens(&mut self) {
        self.tokens = 0;
        self.lent = 0;
    }
}
