//! Admission by the one owner of a pool: a service's upstreams in a zone, or a
//! part of them. The owner counts slots and connections exactly, and keeps one
//! queue for all.

mod member;
mod queue;

pub use member::{LoadReport, MemberStatus, Outcome};
pub use queue::{Wait, WaitId};

use std::sync::Arc;
use std::time::{Duration, Instant};

use member::Member;
use queue::WaitQueue;
use rand::RngCore;
use serde::{Deserialize, Serialize};

use crate::choice::{Candidate, Policy};
use crate::document::{Service, Upstream};
use crate::error::ErrorKind;
use crate::ids::UpstreamName;

/// Limits of a pool that its service sets.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLimits {
    /// Most requests that wait.
    pub queue_limit: usize,
    /// Expected time of a request on a warm upstream.
    pub expected: Duration,
}

impl From<&Service> for PoolLimits {
    fn from(service: &Service) -> Self {
        PoolLimits {
            queue_limit: service.queue_limit as usize,
            expected: Duration::from_secs_f64(service.expected_ms / 1_000.0),
        }
    }
}

/// A request that is offered to a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolRequest {
    /// Time by which it must have its first byte.
    pub deadline: Instant,
    /// Priority of its service.
    pub priority: u8,
    /// Whether it is the second try at one that is late: it goes where nothing is
    /// waited for as long as for that one.
    pub hedge: bool,
}

/// Leave to send one request to one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The waiting request that it is for; 0 where it did not wait.
    pub wait: WaitId,
    /// The upstream to send to.
    pub upstream: Arc<Upstream>,
    /// When it was given; tells the request from others on the same upstream.
    pub sent: Instant,
}

/// What becomes of a request that is offered to a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it now.
    Granted(Grant),
    /// It waits; a later [`QueueStep`] says what becomes of it.
    Queued(WaitId),
    /// It is not run.
    Refused(ErrorKind),
}

/// What a change of the pool's state means for waiting requests.
#[derive(Debug, Clone, PartialEq)]
pub enum QueueStep {
    /// The request may be sent.
    Granted(Grant),
    /// The request is not run.
    Refused(WaitId, ErrorKind),
}

/// Load of a pool, as told to other hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Slots that may be used now: of upstreams that are up and warm, and neither leave nor rest.
    pub capacity: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Smoothed time of a request, in milliseconds.
    pub latency_ms: f64,
}

/// A pool, owned by one host at a time.
pub struct Pool {
    limits: PoolLimits,
    members: Vec<Member>,
    queue: WaitQueue,
    policy: Box<dyn Policy>,
}

impl Pool {
    /// A pool without upstreams.
    pub fn new(limits: PoolLimits, policy: Box<dyn Policy>) -> Self {
        Pool {
            queue: WaitQueue::new(limits.queue_limit),
            limits,
            members: Vec::new(),
            policy,
        }
    }

    /// Takes the upstreams of a new configuration; counts of those that stay are kept.
    ///
    /// An upstream that the pool has not had before is counted as full until a
    /// report or `unknown_for` clears it: another host may have sent it work.
    pub fn configure(
        &mut self,
        now: Instant,
        limits: PoolLimits,
        upstreams: &[Arc<Upstream>],
        unknown_for: Duration,
    ) {
        self.queue.set_limit(limits.queue_limit);
        self.limits = limits;
        for member in &mut self.members {
            member.leaving = true;
        }
        for upstream in upstreams {
            let known = self
                .members
                .iter_mut()
                .find(|member| member.upstream.name == upstream.name);
            match known {
                Some(member) => member.reconfigure(Arc::clone(upstream)),
                None => {
                    self.members
                        .push(Member::new(Arc::clone(upstream), now, now + unknown_for))
                }
            }
        }
        self.members
            .retain(|member| !member.leaving || member.in_flight > 0);
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Instant, offer: PoolRequest, rng: &mut dyn RngCore) -> Decision {
        let PoolRequest {
            deadline,
            priority,
            hedge,
        } = offer;
        if now + self.limits.expected > deadline {
            return Decision::Refused(ErrorKind::DeadlineBeforeDispatch);
        }
        if self.queue.is_empty()
            && let Some(grant) = self.grant(now, 0, hedge, rng)
        {
            return Decision::Granted(grant);
        }
        if !self.members.iter().any(Member::usable) {
            return Decision::Refused(ErrorKind::NoUpstream);
        }
        let ready = now + self.expected_wait().max(self.shortest_rest()) + self.limits.expected;
        if ready > deadline {
            return Decision::Refused(ErrorKind::NoCapacity);
        }
        let latest_start = deadline - self.limits.expected;
        match self.queue.push(latest_start, priority) {
            Some(wait) => Decision::Queued(wait),
            None => Decision::Refused(ErrorKind::NoCapacity),
        }
    }

    /// The first byte of an answer has come, while its slot stays taken.
    pub fn first_byte(&mut self, now: Instant, grant: &Grant) {
        let expected = self.limits.expected;
        if let Some(member) = self.find(&grant.upstream.name) {
            member.first_byte(now, grant.sent, expected);
        }
    }

    /// A request has ended and its slot is free; says who may go next.
    pub fn release(
        &mut self,
        now: Instant,
        grant: &Grant,
        outcome: Outcome,
        rng: &mut dyn RngCore,
    ) -> Vec<QueueStep> {
        let expected = self.limits.expected;
        if let Some(member) = self.find(&grant.upstream.name) {
            member.release(now, grant.sent, outcome, expected);
        }
        self.members
            .retain(|member| !member.leaving || member.in_flight > 0);
        self.advance(now, rng)
    }

    /// A waiting request's caller has gone; false where it no longer waits.
    pub fn cancel(&mut self, wait: WaitId) -> bool {
        self.queue.remove(wait)
    }

    /// Takes a load report of an upstream, measured at `measured`.
    pub fn report(&mut self, measured: Instant, upstream: &UpstreamName, report: &LoadReport) {
        if let Some(member) = self.find(upstream) {
            member.report(measured, report);
        }
    }

    /// An upstream's probe failed.
    pub fn probe_failed(&mut self, upstream: &UpstreamName) {
        if let Some(member) = self.find(upstream) {
            member.probe_failed();
        }
    }

    /// Grants what can go now and refuses what can't make its deadline any more.
    pub fn advance(&mut self, now: Instant, rng: &mut dyn RngCore) -> Vec<QueueStep> {
        let mut steps: Vec<QueueStep> = self
            .queue
            .drain_late(now)
            .into_iter()
            .map(|wait| QueueStep::Refused(wait, ErrorKind::DeadlineBeforeDispatch))
            .collect();
        steps.extend(
            self.queue
                .drain_evicted()
                .into_iter()
                .map(|wait| QueueStep::Refused(wait, ErrorKind::NoCapacity)),
        );
        while let Some(wait) = self.queue.peek() {
            let Some(grant) = self.grant(now, wait, false, rng) else {
                break;
            };
            self.queue.remove(wait);
            steps.push(QueueStep::Granted(grant));
        }
        steps
    }

    /// Load of the whole pool.
    pub fn load(&self) -> PoolLoad {
        let usable = || self.members.iter().filter(|member| member.usable());
        let weighed: f64 = usable().map(|member| member.latency_ms()).sum();
        let count = usable().count().max(1);
        PoolLoad {
            in_flight: self.members.iter().map(|member| member.in_flight).sum(),
            capacity: usable().map(Member::allowed).sum(),
            queued: self.queue.len() as u32,
            latency_ms: weighed / count as f64,
        }
    }

    /// State of each upstream, for dumps and drains.
    pub fn members(&self) -> Vec<MemberStatus> {
        self.members.iter().map(Member::status).collect()
    }

    fn find(&mut self, upstream: &UpstreamName) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.upstream.name == *upstream)
    }

    fn grant(
        &mut self,
        now: Instant,
        wait: WaitId,
        hedge: bool,
        rng: &mut dyn RngCore,
    ) -> Option<Grant> {
        let expected = self.limits.expected;
        for member in &mut self.members {
            member.refresh(now, expected);
        }
        let candidates = self.members.iter().map(|member| member.candidate(hedge));
        let candidates: Vec<Candidate> = candidates.collect();
        let chosen = self.policy.choose(&candidates, self.queue.len(), rng)?;
        let member = &mut self.members[chosen];
        member.enter(now);
        Some(Grant {
            wait,
            upstream: Arc::clone(&member.upstream),
            sent: now,
        })
    }

    /// Time until the first of those that take work has rested; zero where one does not rest.
    fn shortest_rest(&self) -> Duration {
        let usable = self.members.iter().filter(|member| member.usable());
        let rests = usable.map(|member| member.rests_for().unwrap_or_default());
        rests.min().unwrap_or_default()
    }

    fn expected_wait(&self) -> Duration {
        let slots: u32 = self
            .members
            .iter()
            .filter(|member| member.usable())
            .map(Member::allowed)
            .sum();
        let per_slot_s = self.load().latency_ms / 1_000.0 / f64::from(slots.max(1));
        Duration::from_secs_f64(per_slot_s * (self.queue.len() + 1) as f64)
    }
}
