//! Admission to a pool: the upstreams of a service in a zone, or a part of them. One host owns a
//! pool at a time. The owner counts slots and connections exactly, and keeps one queue for all
//! upstreams.

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

/// Limits of a pool, from the settings of its service.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolLimits {
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// Expected duration of a request on a warm upstream.
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

/// A request for admission to a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolRequest {
    /// Deadline for the first byte of the answer.
    pub deadline: Instant,
    /// Priority of the request's service.
    pub priority: u8,
    /// Whether this is a hedge for a late request. A hedge avoids upstreams with a request that
    /// has waited as long as the late one.
    pub hedge: bool,
}

/// Permission to send one request to one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Identifier of the waiting request; 0 if it did not wait.
    pub wait: WaitId,
    /// The upstream to send to.
    pub upstream: Arc<Upstream>,
    /// Time of the grant; distinguishes the request from others on the same upstream.
    pub sent: Instant,
}

/// Decision on a request for admission.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request may be sent now.
    Granted(Grant),
    /// The request waits; a later [`QueueStep`] decides on it.
    Queued(WaitId),
    /// The request must not be sent.
    Refused(ErrorKind),
}

/// Effect of a change in the pool on a waiting request.
#[derive(Debug, Clone, PartialEq)]
pub enum QueueStep {
    /// The request may be sent.
    Granted(Grant),
    /// The request must not be sent.
    Refused(WaitId, ErrorKind),
}

/// Load of a pool, as reported to other hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of slots that may be used now: those of upstreams that are up, warm, not leaving and
    /// not resting.
    pub capacity: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Moving average of the time to first byte, in milliseconds.
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
    /// Creates a pool without upstreams.
    pub fn new(limits: PoolLimits, policy: Box<dyn Policy>) -> Self {
        Pool {
            queue: WaitQueue::new(limits.queue_limit),
            limits,
            members: Vec::new(),
            policy,
        }
    }

    /// Applies a new configuration, and keeps the counts of upstreams that remain.
    ///
    /// An upstream that is new to the pool counts as full until a report arrives or `unknown_for`
    /// has passed, since another host may have sent it work.
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

    /// Decides on a request for admission.
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
        let expected_answer =
            now + self.expected_wait().max(self.shortest_rest()) + self.limits.expected;
        if expected_answer > deadline {
            return Decision::Refused(ErrorKind::NoCapacity);
        }
        let latest_start = deadline - self.limits.expected;
        match self.queue.push(latest_start, priority) {
            Some(wait) => Decision::Queued(wait),
            None => Decision::Refused(ErrorKind::NoCapacity),
        }
    }

    /// Records the first byte of an answer; the request keeps its slot.
    pub fn first_byte(&mut self, now: Instant, grant: &Grant) {
        let expected = self.limits.expected;
        if let Some(member) = self.find(&grant.upstream.name) {
            member.first_byte(now, grant.sent, expected);
        }
    }

    /// Records the end of a request, which frees its slot; returns what follows for waiting
    /// requests.
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

    /// Removes a waiting request whose caller has left; false if it no longer waits.
    pub fn cancel(&mut self, wait: WaitId) -> bool {
        self.queue.remove(wait)
    }

    /// Applies a load report of an upstream, measured at `measured`.
    pub fn report(&mut self, measured: Instant, upstream: &UpstreamName, report: &LoadReport) {
        if let Some(member) = self.find(upstream) {
            member.report(measured, report);
        }
    }

    /// Records that a probe of an upstream failed.
    pub fn probe_failed(&mut self, upstream: &UpstreamName) {
        if let Some(member) = self.find(upstream) {
            member.probe_failed();
        }
    }

    /// Grants waiting requests that can be sent now, and refuses those that cannot meet their
    /// deadline any more.
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
        let total_ms: f64 = usable().map(|member| member.latency_ms()).sum();
        let count = usable().count().max(1);
        PoolLoad {
            in_flight: self.members.iter().map(|member| member.in_flight).sum(),
            capacity: usable().map(Member::allowed).sum(),
            queued: self.queue.len() as u32,
            latency_ms: total_ms / count as f64,
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

    /// Time until the first usable upstream ends its rest; zero if one is not resting.
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
