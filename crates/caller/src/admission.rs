//! Pools that this host admits to, with the requests that wait for them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use serde::Serialize;
use steering::choice::LeastExpected;
use steering::document::Upstream;
use steering::error::ErrorKind;
use steering::plan::PoolKey;
use steering::pool::{
    Decision, Grant, LoadReport, MemberStatus, Outcome, Pool, PoolLimits, PoolLoad, PoolRequest,
    QueueStep, WaitId,
};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::shared::lock;

type Answer = Result<Grant, ErrorKind>;

struct Owned {
    pool: Pool,
    waiting: HashMap<WaitId, oneshot::Sender<Answer>>,
    rng: StdRng,
}

impl Owned {
    fn tell(&mut self, steps: Vec<QueueStep>) -> Vec<Grant> {
        let mut unclaimed = Vec::new();
        for step in steps {
            let (wait, answer) = match step {
                QueueStep::Granted(grant) => (grant.wait, Ok(grant)),
                QueueStep::Refused(wait, kind) => (wait, Err(kind)),
            };
            let Some(waiter) = self.waiting.remove(&wait) else {
                unclaimed.extend(answer.ok());
                continue;
            };
            if let Err(Ok(grant)) = waiter.send(answer) {
                unclaimed.push(grant);
            }
        }
        unclaimed
    }

    /// Tells waiters of steps; a grant that nobody waits for any more goes on.
    fn settle(&mut self, now: Instant, steps: Vec<QueueStep>) {
        let mut unclaimed = self.tell(steps);
        while let Some(grant) = unclaimed.pop() {
            let steps = self
                .pool
                .release(now, &grant, Outcome::Cancelled, &mut self.rng);
            unclaimed.extend(self.tell(steps));
        }
    }
}

/// State of a pool, for dumps and drains.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolState {
    /// Its name.
    pub pool: PoolKey,
    /// Its load.
    pub load: PoolLoad,
    /// Its upstreams.
    pub upstreams: Vec<MemberStatus>,
}

#[derive(Clone)]
struct Handle {
    owned: Arc<Mutex<Owned>>,
    key: PoolKey,
}

/// All pools that this host admits to.
#[derive(Default)]
pub struct Gate {
    pools: RwLock<HashMap<PoolKey, Handle>>,
}

/// Leave to send one request; gives its slot back when dropped.
pub struct Permit {
    owned: Arc<Mutex<Owned>>,
    grant: Grant,
    outcome: Outcome,
}

impl Permit {
    /// The upstream to send to.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.grant.upstream
    }

    /// The answer has begun.
    pub fn first_byte(&mut self) {
        let now = clock::now();
        lock(&self.owned).pool.first_byte(now, &self.grant);
        self.outcome = Outcome::Answered(now.saturating_duration_since(self.grant.sent));
    }

    /// Sets how the request ended; without it counts as cancelled.
    pub fn outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = clock::now();
        let owned = &mut *lock(&self.owned);
        let steps = owned
            .pool
            .release(now, &self.grant, self.outcome, &mut owned.rng);
        owned.settle(now, steps);
    }
}

impl Gate {
    /// Makes or updates a pool. Upstreams that are new to it count as full
    /// until a report comes, at most for `unknown_for`.
    pub fn configure(
        &self,
        key: &str,
        limits: PoolLimits,
        upstreams: &[Arc<Upstream>],
        unknown_for: Duration,
    ) {
        let handle = self
            .handle(key)
            .unwrap_or_else(|| self.insert(key, &limits));
        let now = clock::now();
        let owned = &mut *lock(&handle.owned);
        owned.pool.configure(now, limits, upstreams, unknown_for);
        let steps = owned.pool.advance(now, &mut owned.rng);
        owned.settle(now, steps);
    }

    /// Whether the pool is held here.
    pub fn has(&self, key: &str) -> bool {
        self.handle(key).is_some()
    }

    /// Drops pools that `keep` does not name, once nothing is in flight in them.
    pub fn retain(&self, keep: &[PoolKey]) {
        let mut pools = self.pools.write().unwrap_or_else(|e| e.into_inner());
        pools.retain(|key, handle| {
            let load = lock(&handle.owned).pool.load();
            keep.contains(key) || load.in_flight + load.queued > 0
        });
    }

    /// Waits for leave to send a request.
    pub async fn admit(&self, key: &str, offer: PoolRequest) -> Result<Permit, ErrorKind> {
        let handle = self.handle(key).ok_or(ErrorKind::NoUpstream)?;
        let (wait, answer) = {
            let owned = &mut *lock(&handle.owned);
            let decision = owned.pool.offer(clock::now(), offer, &mut owned.rng);
            match decision {
                Decision::Granted(grant) => return Ok(handle.permit(grant)),
                Decision::Refused(kind) => return Err(kind),
                Decision::Queued(wait) => {
                    let (tell, answer) = oneshot::channel();
                    owned.waiting.insert(wait, tell);
                    (wait, answer)
                }
            }
        };
        let mut waiting = Waiting {
            handle: &handle,
            wait: Some(wait),
            answer,
        };
        waiting.finish(offer.deadline).await
    }

    /// Lets waiting requests go on where a pause or a deadline has passed.
    pub fn advance(&self) {
        let waiting = |handle: &Handle| lock(&handle.owned).pool.load().queued > 0;
        for handle in self.handles().into_iter().filter(waiting) {
            let now = clock::now();
            let owned = &mut *lock(&handle.owned);
            let steps = owned.pool.advance(now, &mut owned.rng);
            owned.settle(now, steps);
        }
    }

    /// Takes an upstream's report, or that none came.
    pub fn report(&self, key: &str, upstream: &str, measured: Instant, report: Option<LoadReport>) {
        let Some(handle) = self.handle(key) else {
            return;
        };
        let now = clock::now();
        let owned = &mut *lock(&handle.owned);
        let name = upstream.to_owned();
        match report {
            Some(report) => owned.pool.report(measured, &name, &report),
            None => owned.pool.probe_failed(&name),
        }
        let steps = owned.pool.advance(now, &mut owned.rng);
        owned.settle(now, steps);
    }

    /// Load of a pool.
    pub fn load(&self, key: &str) -> Option<PoolLoad> {
        self.handle(key)
            .map(|handle| lock(&handle.owned).pool.load())
    }

    /// All pools.
    pub fn states(&self) -> Vec<PoolState> {
        let state = |handle: Handle| {
            let owned = lock(&handle.owned);
            PoolState {
                pool: handle.key.clone(),
                load: owned.pool.load(),
                upstreams: owned.pool.members(),
            }
        };
        let mut states: Vec<PoolState> = self.handles().into_iter().map(state).collect();
        states.sort_by(|a, b| a.pool.cmp(&b.pool));
        states
    }

    fn handle(&self, key: &str) -> Option<Handle> {
        let pools = self.pools.read().unwrap_or_else(|e| e.into_inner());
        pools.get(key).cloned()
    }

    fn handles(&self) -> Vec<Handle> {
        let pools = self.pools.read().unwrap_or_else(|e| e.into_inner());
        pools.values().cloned().collect()
    }

    fn insert(&self, key: &str, limits: &PoolLimits) -> Handle {
        let owned = Owned {
            pool: Pool::new(limits.clone(), Box::new(LeastExpected)),
            waiting: HashMap::new(),
            rng: StdRng::seed_from_u64(rand::rng().next_u64()),
        };
        let handle = Handle {
            owned: Arc::new(Mutex::new(owned)),
            key: key.to_owned(),
        };
        let mut pools = self.pools.write().unwrap_or_else(|e| e.into_inner());
        pools.entry(key.to_owned()).or_insert(handle).clone()
    }
}

impl Handle {
    fn permit(&self, grant: Grant) -> Permit {
        Permit {
            owned: Arc::clone(&self.owned),
            grant,
            outcome: Outcome::Cancelled,
        }
    }
}

/// A request that waits; dropped, it leaves the queue and gives a grant back.
struct Waiting<'a> {
    handle: &'a Handle,
    wait: Option<WaitId>,
    answer: oneshot::Receiver<Answer>,
}

impl Waiting<'_> {
    async fn finish(&mut self, deadline: Instant) -> Result<Permit, ErrorKind> {
        let answer = timeout(clock::left(deadline), &mut self.answer).await;
        match answer {
            Ok(Ok(answer)) => {
                self.wait = None;
                answer.map(|grant| self.handle.permit(grant))
            }
            Ok(Err(_)) => Err(ErrorKind::Internal),
            Err(_) => Err(ErrorKind::DeadlineBeforeDispatch),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(wait) = self.wait else {
            return;
        };
        let granted = {
            let mut owned = lock(&self.handle.owned);
            owned.waiting.remove(&wait);
            owned.pool.cancel(wait);
            self.answer.try_recv()
        };
        if let Ok(Ok(grant)) = granted {
            drop(self.handle.permit(grant));
        }
    }
}
