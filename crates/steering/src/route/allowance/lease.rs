//! The tokens that a host holds for one customer.

use std::time::{Duration, Instant};

use super::KEEP_ALIVE;
use super::message::{TokenDemand, TokenGrant};

/// Time span for whose expected requests tokens are held in advance: several round trips to far
/// regions.
const PREFETCH_SPAN: Duration = Duration::from_millis(400);
/// Fraction of the time until all waiting requests could be served, after which the pool is asked
/// again. Callers return after the whole time. When the pool was asked only then as well, a pool
/// under eight times its allowance lent only 85 % of its tokens (simulated in
/// `tests/route_allowance.rs`).
const RETRY_FRACTION: f64 = 0.25;
/// Tokens that a host holds for a customer on behalf of its zone, enough for requests that arrive
/// together. If the bucket is smaller, the pool lends fewer.
const ZONE_RESERVE: u32 = 4;
/// Time without requests of a customer after which its tokens are returned.
const IDLE_AFTER: Duration = Duration::from_secs(6);
/// Weight of the latest span in the moving average of a customer's request rate.
const NEWEST_WEIGHT: f64 = 0.5;
/// Minimum span over which a request rate is measured.
const MIN_RATE_SPAN: Duration = Duration::from_millis(200);

/// Result of a request's attempt to take a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeResult {
    /// The request has a token.
    Taken,
    /// The allowance is used up for this long.
    Exhausted(Duration),
    /// A token must be requested from another host.
    Wait,
}

/// State of a customer whose allowance is used up.
#[derive(Debug)]
struct Exhaustion {
    /// Until when the pool is not asked again.
    until: Instant,
    /// When there would be a token for each request that waited.
    all_served_at: Instant,
}

/// The tokens of one customer.
#[derive(Debug, Default)]
pub(super) struct Lease {
    tokens: u32,
    /// Tokens that the pool counts as lent: those held, and some that are spent since the last
    /// request to the pool.
    lent: u32,
    /// Requests that wait for a token.
    waiting: u32,
    /// Tokens for requests that wait, from the pool or from another host of the zone.
    reserved: u32,
    exhaustion: Option<Exhaustion>,
    last_request_at: Option<Instant>,
    /// Requests since the rate was last measured, and the time of that measurement.
    requests: u32,
    rate_measured_at: Option<Instant>,
    rate_per_s: f64,
}

impl Lease {
    /// Number of tokens to hold for expected requests. A zone lender also holds some for customers
    /// whose requests are rare.
    pub fn prefetch_target(&self, now: Instant, is_zone_lender: bool) -> u32 {
        let idle = |at: Instant| now.saturating_duration_since(at) > IDLE_AFTER;
        let ahead = self.rate_per_s * PREFETCH_SPAN.as_secs_f64();
        match self.last_request_at {
            Some(at) if !idle(at) && is_zone_lender => ZONE_RESERVE + ahead.ceil() as u32,
            Some(at) if !idle(at) => ahead.floor() as u32,
            _ => 0,
        }
    }

    /// Number of tokens missing for requests that wait.
    pub fn lacking(&self) -> u32 {
        self.waiting.saturating_sub(self.tokens + self.reserved)
    }

    /// Whether more tokens should be requested: half of `wanted` lasts for a round trip to a far
    /// region.
    pub fn is_low(&self, wanted: u32) -> bool {
        self.tokens * 2 <= wanted && self.tokens < wanted
    }

    fn update_rate(&mut self, now: Instant) {
        let span = self
            .rate_measured_at
            .map(|at| now.saturating_duration_since(at));
        if span.is_some_and(|span| span < MIN_RATE_SPAN) {
            return;
        }
        let span_s = span.unwrap_or(KEEP_ALIVE).as_secs_f64();
        let newest = f64::from(self.requests) / span_s;
        self.rate_per_s += NEWEST_WEIGHT * (newest - self.rate_per_s);
        self.requests = 0;
        self.rate_measured_at = Some(now);
    }

    /// The demand to send to the pool; `None` if there is nothing to report.
    pub fn demand(
        &mut self,
        now: Instant,
        customer: &str,
        is_zone_lender: bool,
    ) -> Option<TokenDemand> {
        self.update_rate(now);
        let wanted = self.prefetch_target(now, is_zone_lender);
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
        let needs_tokens = self.lacking() > 0 || self.is_low(wanted);
        (needs_tokens || self.lent != self.tokens).then(|| TokenDemand {
            customer: customer.to_owned(),
            held: self.tokens,
            need: self.lacking(),
            ahead: wanted.saturating_sub(self.tokens),
        })
    }

    /// Counts new requests.
    pub fn record_requests(&mut self, now: Instant, requests: u32) {
        self.requests += requests;
        self.last_request_at = Some(now);
    }

    /// Adds a waiting request.
    pub fn add_waiter(&mut self) {
        self.waiting += 1;
    }

    /// Removes a waiting request; a token reserved for it is lost.
    pub fn remove_waiter(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        self.reserved = self.reserved.min(self.waiting);
    }

    /// Takes a held token for a request; `is_valid` says whether the tokens of the pool are still
    /// valid.
    pub fn try_take(&mut self, now: Instant, is_valid: bool) -> TakeResult {
        if is_valid && self.tokens > 0 {
            self.tokens -= 1;
            return TakeResult::Taken;
        }
        match &self.exhaustion {
            Some(exhaustion) if exhaustion.until > now => {
                TakeResult::Exhausted(exhaustion.all_served_at.saturating_duration_since(now))
            }
            _ => TakeResult::Wait,
        }
    }

    /// Takes a token for a request that waits.
    pub fn retry(&mut self, now: Instant, is_valid: bool) -> TakeResult {
        let taken = match self.reserved.checked_sub(1) {
            Some(left) => {
                self.reserved = left;
                TakeResult::Taken
            }
            None => self.try_take(now, is_valid),
        };
        if taken != TakeResult::Wait {
            self.remove_waiter();
        }
        taken
    }

    /// Returns the token of a request that did not run.
    pub fn give_back(&mut self) {
        self.tokens += 1;
    }

    /// Removes up to `most` tokens to lend them to another host, and returns their number.
    pub fn lend(&mut self, most: u32) -> u32 {
        let lent = self.tokens.min(most);
        self.tokens -= lent;
        lent
    }

    /// Reserves tokens for requests that wait, at most one for each.
    pub fn reserve(&mut self, tokens: u32) {
        self.reserved += tokens.min(self.waiting);
    }

    /// Adds the tokens that the pool lent in answer to `demand`.
    pub fn take_grant(&mut self, now: Instant, demand: &TokenDemand, grant: &TokenGrant) {
        self.reserve(grant.needed);
        self.tokens += grant.ahead;
        self.lent = demand.held + grant.ahead;
        let retry_after = Duration::from_millis(grant.retry_after_ms.into());
        self.exhaustion = (!retry_after.is_zero()).then(|| Exhaustion {
            until: now + retry_after.mul_f64(RETRY_FRACTION),
            all_served_at: now + retry_after,
        });
    }

    /// Drops the tokens of a pool that this host has left.
    pub fn drop_tokens(&mut self) {
        self.tokens = 0;
        self.lent = 0;
    }
}
