//! What this host has seen of an availability zone's upstreams together.

use std::collections::BTreeSet;
use std::time::Instant;

use super::health::{Answered, pause};
use super::upstream::UpstreamId;

/// Upstreams of a zone that fail, with no answer from the zone in between, from which
/// on the zone itself is doubted. One that fails alone says nothing of the others.
const FAILING_LEAST: usize = 2;

/// Whether a zone can be reached. Without it each upstream of a zone that has lost its
/// power costs each host a request that waits for a connection.
#[derive(Debug, Default)]
pub struct ZoneCondition {
    /// Upstreams that have failed since the zone last answered.
    failing: BTreeSet<UpstreamId>,
    /// Times that the zone was doubted since then.
    doubts: u32,
    doubted_until: Option<Instant>,
}

impl ZoneCondition {
    /// Takes how a request to one of its upstreams ended.
    pub fn answered(&mut self, now: Instant, upstream: &str, answered: Answered) {
        match answered {
            Answered::Whole | Answered::Refused => *self = ZoneCondition::default(),
            Answered::Failed => self.failed(now, upstream),
            // Whoever breaks off an answer can be reached.
            Answered::Broken | Answered::Unknown => {}
        }
    }

    /// Whether its upstreams come after all others. Ends now and then, so that a
    /// request shows whether the zone is back.
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.doubted_until.is_some_and(|until| until > now)
    }

    fn failed(&mut self, now: Instant, upstream: &str) {
        self.failing.insert(upstream.to_owned());
        // What was sent before the doubt fails during it, and adds nothing.
        if self.failing.len() >= FAILING_LEAST && !self.is_doubted(now) {
            self.doubted_until = Some(now + pause(self.doubts));
            self.doubts += 1;
        }
    }
}
