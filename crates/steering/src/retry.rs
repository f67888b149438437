//! Retry budget: limits retries to a share of recent first attempts.

/// Token bucket for the retries of one service on one host.
///
/// Each first attempt adds a fraction of a token; each retry takes one token.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    /// From 0 to `max_tokens`.
    tokens: f64,
    max_tokens: f64,
}

/// Whether a failed attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailedAttempt {
    /// The attempt certainly did not run.
    NotRun,
    /// The attempt may have run.
    MayHaveRun,
}

impl RetryBudget {
    /// Default ratio of retries to first attempts.
    pub const SHARE: f64 = 0.08;
    /// Default capacity of the bucket, in retries.
    pub const MAX_TOKENS: f64 = 10.0;

    /// Creates a budget that starts with one token, or `max_tokens` if that is less.
    pub fn new(ratio: f64, max_tokens: f64) -> Self {
        RetryBudget {
            ratio,
            tokens: 1.0_f64.min(max_tokens),
            max_tokens,
        }
    }

    /// Adds the tokens of a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max_tokens);
    }

    /// Takes a token for a retry; returns whether the retry is allowed.
    ///
    /// A request that is not `repeatable` is retried only if the last attempt did not run.
    pub fn try_spend_retry(&mut self, last: FailedAttempt, repeatable: bool) -> bool {
        let allowed = repeatable || last == FailedAttempt::NotRun;
        if !allowed || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(Self::SHARE, Self::MAX_TOKENS)
    }
}
