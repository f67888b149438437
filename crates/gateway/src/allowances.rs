//! Customers' allowances, shared between the threads of a host.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::ids::CustomerName;
use steering::route::{Customer, GROUPS, TakeResult, TokenGroup, TokenLeases, group_of};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Longest wait for a token: two round trips between distant regions. A longer wait would use up a
/// third of the latency goal, so the caller is told to retry instead.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a caller may retry at a host that can't reach a pool.
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Tokens that this host holds. The control thread requests more from other hosts.
pub(crate) struct Allowances {
    leases: Mutex<TokenLeases>,
    groups: Vec<Notifications>,
}

/// Notifications for one group of customers.
#[derive(Default)]
struct Notifications {
    /// Notified when requests wait for tokens.
    requests_waiting: Notify,
    /// Notified when tokens should be requested from the pool.
    refill_needed: Notify,
    /// Notified when an answer has arrived.
    answered: Notify,
}

/// Why a request may not run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AllowanceError {
    /// The allowance is used up for this time.
    Exhausted(Duration),
    /// No host has answered in time whether the allowance is used up; retry after this time.
    NoAnswer(Duration),
}

/// A request that waits for a token.
struct Waiting<'a> {
    allowances: &'a Allowances,
    customer: &'a str,
    is_settled: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.allowances.leases().cancel_wait(self.customer);
        }
    }
}

impl Allowances {
    /// Starts without tokens.
    pub fn new() -> Self {
        Allowances {
            leases: Mutex::new(TokenLeases::new(clock::now())),
            groups: (0..GROUPS).map(|_| Notifications::default()).collect(),
        }
    }

    /// Tokens that this host holds.
    pub fn leases(&self) -> MutexGuard<'_, TokenLeases> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notifications(&self, group: TokenGroup) -> &Notifications {
        &self.groups[usize::from(group)]
    }

    /// Waits until requests of a group wait for tokens.
    pub async fn requests_waiting(&self, group: TokenGroup) {
        self.notifications(group).requests_waiting.notified().await;
    }

    /// Waits until tokens of a group should be requested from the pool.
    pub async fn refill_needed(&self, group: TokenGroup) {
        self.notifications(group).refill_needed.notified().await;
    }

    /// Signals that tokens of a group should be requested from the pool.
    pub fn request_refill(&self, group: TokenGroup) {
        self.notifications(group).refill_needed.notify_one();
    }

    /// Signals to waiting requests that an answer has arrived.
    pub fn notify_answered(&self, group: TokenGroup) {
        self.notifications(group).answered.notify_waiters();
    }

    /// Takes a token of the request's customer, which has an allowance.
    ///
    /// # Errors
    ///
    /// No token is available; the request must not run.
    pub async fn admit(&self, customer: &Customer) -> Result<(), AllowanceError> {
        let name: &CustomerName = &customer.name;
        let notifications = self.notifications(group_of(name));
        let now = clock::now();
        let (taken, runs_low) = {
            let mut leases = self.leases();
            let taken = leases.take(now, name);
            (taken, leases.runs_low(now, name))
        };
        if runs_low {
            notifications.refill_needed.notify_one();
        }
        match taken {
            TakeResult::Taken => Ok(()),
            TakeResult::Exhausted(time) => Err(AllowanceError::Exhausted(time)),
            TakeResult::Wait => self.wait(name, notifications, now + TOKEN_TIMEOUT).await,
        }
    }

    async fn wait(
        &self,
        customer: &str,
        notifications: &Notifications,
        deadline: Instant,
    ) -> Result<(), AllowanceError> {
        let mut waiting = Waiting {
            allowances: self,
            customer,
            is_settled: false,
        };
        loop {
            let answered = notifications.answered.notified();
            let taken = self.leases().retry(clock::now(), customer);
            waiting.is_settled = taken != TakeResult::Wait;
            match taken {
                TakeResult::Taken => return Ok(()),
                TakeResult::Exhausted(time) => return Err(AllowanceError::Exhausted(time)),
                TakeResult::Wait => notifications.requests_waiting.notify_one(),
            }
            if timeout(clock::remaining(deadline), answered).await.is_err() {
                return Err(AllowanceError::NoAnswer(NO_ANSWER_RETRY_AFTER));
            }
        }
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(&self, customer: &Customer) {
        self.leases().give_back(clock::now(), &customer.name);
    }
}
