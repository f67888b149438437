//! Admission to the upstream pools that this host owns, and the requests queued for them.

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

type AdmissionResult = Result<Grant, ErrorKind>;

struct OwnedPool {
    pool: Pool,
    waiting: HashMap<WaitId, oneshot::Sender<AdmissionResult>>,
    rng: StdRng,
}

impl OwnedPool {
    /// Sends steps to the queued requests; returns grants whose request is gone.
    fn send_steps(&mut self, steps: Vec<QueueStep>) -> Vec<Grant> {
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

    /// Sends steps to the queued requests; a grant whose request is gone is released, which
    /// may admit the next one.
    fn apply_steps(&mut self, now: Instant, steps: Vec<QueueStep>) {
        let mut unclaimed = self.send_steps(steps);
        while let Some(grant) = unclaimed.pop() {
            let steps = self
                .pool
                .release(now, &grant, Outcome::Cancelled, &mut self.rng);
            unclaimed.extend(self.send_steps(steps));
        }
    }
}

/// State of a pool, for dumps and the status of a host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolState {
    /// Key of the pool, `SERVICE/…`.
    pub pool: PoolKey,
    /// Requests in flight and queued, capacity and latency of the pool.
    pub load: PoolLoad,
    /// The upstreams of the pool with all that is known of each.
    pub upstreams: Vec<MemberStatus>,
}

#[derive(Clone)]
struct PoolHandle {
    owned: Arc<Mutex<OwnedPool>>,
    key: PoolKey,
}

/// All pools for which this host decides on admission.
#[derive(Default)]
pub struct PoolRegistry {
    pools: RwLock<HashMap<PoolKey, PoolHandle>>,
}

/// A slot of an upstream for one request, released on drop.
pub struct Permit {
    owned: Arc<Mutex<OwnedPool>>,
    grant: Grant,
    outcome: Outcome,
}

impl Permit {
    /// The upstream that the request is to be sent to.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.grant.upstream
    }

    /// Records the arrival of the first byte of the response.
    pub fn first_byte(&mut self) {
        let now = clock::now();
        lock(&self.owned).pool.first_byte(now, &self.grant);
        self.outcome = Outcome::Answered(now.saturating_duration_since(self.grant.sent));
    }

    /// Sets how the request ended. A request without an outcome counts as cancelled.
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
        owned.apply_steps(now, steps);
    }
}

impl PoolRegistry {
    /// Creates or updates a pool.
    ///
    /// Upstreams that are new to the pool count as full until their first load report, at
    /// most for `unknown_for`.
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
        owned.apply_steps(now, steps);
    }

    /// Whether this host decides on admission to the pool.
    pub fn has(&self, key: &str) -> bool {
        self.handle(key).is_some()
    }

    /// Removes pools that are not in `keep` and have no request in flight or queued.
    pub fn retain(&self, keep: &[PoolKey]) {
        let mut pools = self.pools.write().unwrap_or_else(|e| e.into_inner());
        pools.retain(|key, handle| {
            let load = lock(&handle.owned).pool.load();
            keep.contains(key) || load.in_flight + load.queued > 0
        });
    }

    /// Waits until the request may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// The reason for a refusal, or that the deadline has passed.
    pub async fn admit(&self, key: &str, request: PoolRequest) -> Result<Permit, ErrorKind> {
        let handle = self.handle(key).ok_or(ErrorKind::NoUpstream)?;
        let (wait, answer) = {
            let owned = &mut *lock(&handle.owned);
            let decision = owned.pool.offer(clock::now(), request, &mut owned.rng);
            match decision {
                Decision::Granted(grant) => return Ok(handle.permit(grant)),
                Decision::Refused(kind) => return Err(kind),
                Decision::Queued(wait) => {
                    let (sender, answer) = oneshot::channel();
                    owned.waiting.insert(wait, sender);
                    (wait, answer)
                }
            }
        };
        let mut queued = QueuedRequest {
            handle: &handle,
            wait: Some(wait),
            answer,
        };
        queued.admitted(request.deadline).await
    }

    /// Admits or refuses queued requests where a pause or a deadline has passed.
    pub fn advance(&self) {
        let has_queue = |handle: &PoolHandle| lock(&handle.owned).pool.load().queued > 0;
        for handle in self.handles().into_iter().filter(has_queue) {
            let now = clock::now();
            let owned = &mut *lock(&handle.owned);
            let steps = owned.pool.advance(now, &mut owned.rng);
            owned.apply_steps(now, steps);
        }
    }

    /// Records a load report of an upstream; `None` for a failed probe.
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
        owned.apply_steps(now, steps);
    }

    /// Load of a pool; `None` if this host does not decide on its admission.
    pub fn load(&self, key: &str) -> Option<PoolLoad> {
        self.handle(key)
            .map(|handle| lock(&handle.owned).pool.load())
    }

    /// States of all pools, sorted by key.
    pub fn states(&self) -> Vec<PoolState> {
        let state = |handle: PoolHandle| {
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

    fn handle(&self, key: &str) -> Option<PoolHandle> {
        let pools = self.pools.read().unwrap_or_else(|e| e.into_inner());
        pools.get(key).cloned()
    }

    fn handles(&self) -> Vec<PoolHandle> {
        let pools = self.pools.read().unwrap_or_else(|e| e.into_inner());
        pools.values().cloned().collect()
    }

    fn insert(&self, key: &str, limits: &PoolLimits) -> PoolHandle {
        let owned = OwnedPool {
            pool: Pool::new(limits.clone(), Box::new(LeastExpected)),
            waiting: HashMap::new(),
            rng: StdRng::seed_from_u64(rand::rng().next_u64()),
        };
        let handle = PoolHandle {
            owned: Arc::new(Mutex::new(owned)),
            key: key.to_owned(),
        };
        let mut pools = self.pools.write().unwrap_or_else(|e| e.into_inner());
        pools.entry(key.to_owned()).or_insert(handle).clone()
    }
}

impl PoolHandle {
    fn permit(&self, grant: Grant) -> Permit {
        Permit {
            owned: Arc::clone(&self.owned),
            grant,
            outcome: Outcome::Cancelled,
        }
    }
}

/// A queued request. On drop it leaves the queue and releases a grant that came too late.
struct QueuedRequest<'a> {
    handle: &'a PoolHandle,
    wait: Option<WaitId>,
    answer: oneshot::Receiver<AdmissionResult>,
}

impl QueuedRequest<'_> {
    async fn admitted(&mut self, deadline: Instant) -> Result<Permit, ErrorKind> {
        let answer = timeout(clock::remaining(deadline), &mut self.answer).await;
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

impl Drop for QueuedRequest<'_> {
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
