//! The budget for repeated attempts: a share of recent first attempts.

/// A budget for one service on one host.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    /// From 0 to `most`.
    tokens: f64,
    most: f64,
}

/// What is known after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

impl RetryBudget {
    /// Share of first attempts that may be repeated.
    pub const SHARE: f64 = 0.08;
    /// Attempts that can be saved up.
    pub const MOST: f64 = 10.0;

    /// A budget of a share of first attempts, starting with one attempt.
    pub fn new(share: f64, most: f64) -> Self {
        RetryBudget {
            share,
            tokens: 1.0_f64.min(most),
            most,
        }
    }

    /// Counts a first attempt.
    pub fn first(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.most);
    }

    /// Takes one more attempt from the budget, where the work allows it.
    pub fn again(&mut self, last: Attempt, repeatable: bool) -> bool {
        let allowed = repeatable || last == Attempt::NotRun;
        if !allowed || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(Self::SHARE, Self::MOST)
    }
}
