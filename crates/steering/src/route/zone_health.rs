//! Detects zones that can't be reached, from all requests to their upstreams.

use std::collections::BTreeSet;
use std::time::Instant;

use super::health::{AnswerOutcome, ejection_time};
use super::reported_upstream::UpstreamId;

/// Number of failing upstreams of a zone, without any answer from the zone in between, from
/// which the zone itself is suspected to be down. A single failing upstream is no evidence
/// about the others.
const MIN_FAILING_UPSTREAMS: usize = 2;

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
    /// Records the result of a request to one of the zone's upstreams.
    pub fn answered(&mut self, now: Instant, upstream: &str, outcome: AnswerOutcome) {
        match outcome {
            AnswerOutcome::Complete | AnswerOutcome::Refused => *self = ZoneHealth::default(),
            AnswerOutcome::Unreachable => self.failed(now, upstream),
            // An upstream that breaks off an answer can be reached.
            AnswerOutcome::Broken | AnswerOutcome::Unknown => {}
        }
    }

    /// Returns whether the zone's upstreams rank after all others. The suspicion expires
    /// from time to time so that a request tests whether the zone is back.
    pub fn is_suspected_down(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| until > now)
    }

    fn failed(&mut self, now: Instant, upstream: &str) {
        self.failing.insert(upstream.to_owned());
        // Requests sent before the suspicion began fail during it and add no evidence.
        if self.failing.len() >= MIN_FAILING_UPSTREAMS && !self.is_suspected_down(now) {
            self.suspected_until = Some(now + ejection_time(self.suspicions));
            self.suspicions += 1;
        }
    }
}
