//! Customers' allowances, as the thread that serves callers asks for them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::ids::CustomerName;
use steering::route::{Customer, GROUPS, TakeResult, TokenGroup, TokenLeases, group_of};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Longest wait for a token: two round trips between far regions. A caller that waits longer
/// has lost a third of its goal, and is told to come back.
const WAIT_MOST: Duration = Duration::from_millis(250);
/// Time after which a caller may come back to a host that hears of no pool.
const UNHEARD_WAIT: Duration = Duration::from_millis(800);

/// A host's tokens; the thread of control asks other hosts for more.
pub(crate) struct Allowances {
    leases: Mutex<TokenLeases>,
    groups: Vec<Signals>,
}

/// Of one group of customers.
#[derive(Default)]
struct Signals {
    /// Told when requests wait for tokens.
    waited_for: Notify,
    /// Told when tokens are wanted of the pool.
    wanted: Notify,
    /// Told when an answer has come.
    answered: Notify,
}

/// Why a request may not be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Beyond {
    /// The allowance is used up for so long.
    Used(Duration),
    /// Nobody has told in time whether it is.
    Unheard(Duration),
}

/// A request that waits for a token.
struct Waiting<'a> {
    allowances: &'a Allowances,
    customer: &'a str,
    settled: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.allowances.leases().cancel_wait(self.customer);
        }
    }
}

impl Allowances {
    /// No tokens yet.
    pub fn new() -> Self {
        Allowances {
            leases: Mutex::new(TokenLeases::new(clock::now())),
            groups: (0..GROUPS).map(|_| Signals::default()).collect(),
        }
    }

    /// What the host holds.
    pub fn leases(&self) -> MutexGuard<'_, TokenLeases> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn signals(&self, group: TokenGroup) -> &Signals {
        &self.groups[usize::from(group)]
    }

    /// Waits until requests of a group wait for tokens.
    pub async fn waited_for(&self, group: TokenGroup) {
        self.signals(group).waited_for.notified().await;
    }

    /// Waits until tokens of a group are wanted of its pool.
    pub async fn wanted(&self, group: TokenGroup) {
        self.signals(group).wanted.notified().await;
    }

    /// Tells that tokens of a group are wanted of its pool.
    pub fn want(&self, group: TokenGroup) {
        self.signals(group).wanted.notify_one();
    }

    /// Tells requests that wait that an answer has come.
    pub fn answered(&self, group: TokenGroup) {
        self.signals(group).answered.notify_waiters();
    }

    /// Takes a token of a request's customer, which has an allowance.
    ///
    /// # Errors
    ///
    /// There is none; the request must not run.
    pub async fn admit(&self, customer: &Customer) -> Result<(), Beyond> {
        let name: &CustomerName = &customer.name;
        let signals = self.signals(group_of(name));
        let now = clock::now();
        let (taken, runs_low) = {
            let mut leases = self.leases();
            let taken = leases.take(now, name);
            (taken, leases.runs_low(now, name))
        };
        if runs_low {
            signals.wanted.notify_one();
        }
        match taken {
            TakeResult::Taken => Ok(()),
            TakeResult::Exhausted(time) => Err(Beyond::Used(time)),
            TakeResult::Wait => self.wait(name, signals, now + WAIT_MOST).await,
        }
    }

    async fn wait(&self, customer: &str, signals: &Signals, end: Instant) -> Result<(), Beyond> {
        let mut waiting = Waiting {
            allowances: self,
            customer,
            settled: false,
        };
        loop {
            let answered = signals.answered.notified();
            let taken = self.leases().retry(clock::now(), customer);
            waiting.settled = taken != TakeResult::Wait;
            match taken {
                TakeResult::Taken => return Ok(()),
                TakeResult::Exhausted(time) => return Err(Beyond::Used(time)),
                TakeResult::Wait => signals.waited_for.notify_one(),
            }
            if timeout(clock::left(end), answered).await.is_err() {
                return Err(Beyond::Unheard(UNHEARD_WAIT));
            }
        }
    }

    /// Gives back the token of a request that has not run.
    pub fn give_back(&self, customer: &Customer) {
        self.leases().give_back(clock::now(), &customer.name);
    }
}
