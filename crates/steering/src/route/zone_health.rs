//! Detects zones that can't be reached, from all requests to their upstreams.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::health::{AnswerOutcome, ejection_time};
use super::reported_upstream::UpstreamId;

/// Number of failing upstreams of a zone, without any answer from the zone in between, from
/// which the zone itself is suspected to be down. A single failing upstream is no evidence
/// about the others.
const MIN_FAILING_UPSTREAMS: usize = 2;

/// Change of what this host takes for a zone's reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone is suspected to be down.
    Suspected {
        /// Number of its upstreams that have failed since the zone last answered.
        failing: usize,
        /// Time until the suspicion expires.
        expires_in: Duration,
    },
    /// The zone answers again.
    Answers,
}

/// Reachability of a zone. Without this check, each upstream of a zone that lost its power
/// would cost each host a request that waits for a connection.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    /// Upstreams that have failed since the zone last answered.
    failing: BTreeSet<UpstreamId>,
    /// Number of suspicions since then.
    suspicions: u32,
    suspected_until: Option<Instant>,
}

impl ZoneHealth {
    /// Records the result of a request to one of the zone's upstreams. Returns what it changes.
    pub fn answered(
        &mut self,
        now: Instant,
        upstream: &str,
        outcome: AnswerOutcome,
    ) -> Option<ZoneChange> {
        match outcome {
            AnswerOutcome::Complete | AnswerOutcome::Refused => {
                let before = std::mem::take(self);
                before.suspected_until.map(|_| ZoneChange::Answers)
            }
            AnswerOutcome::Unreachable => self.failed(now, upstream),
            // An upstream that breaks off an answer can be reached.
            AnswerOutcome::Broken | AnswerOutcome::Unknown => None,
        }
    }

    /// Forgets the failures on a path to the zone that is not used any more.
    pub fn path_changed(&mut self) {
        *self = ZoneHealth::default();
    }

    /// Returns whether the zone's upstreams rank after all others. The suspicion expires
    /// from time to time so that a request tests whether the zone is back.
    pub fn is_suspected_down(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| until > now)
    }

    fn failed(&mut self, now: Instant, upstream: &str) -> Option<ZoneChange> {
        self.failing.insert(upstream.to_owned());
        // Requests sent before the suspicion began fail during it and add no evidence.
        if self.failing.len() < MIN_FAILING_UPSTREAMS || self.is_suspected_down(now) {
            return None;
        }
        let expires_in = ejection_time(self.suspicions);
        self.suspected_until = Some(now + expires_in);
        self.suspicions += 1;
        Some(ZoneChange::Suspected {
            failing: self.failing.len(),
            expires_in,
        })
    }
}
