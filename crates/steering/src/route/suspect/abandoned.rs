//! Requests whose callers stopped waiting while an upstream was still running them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::work::WorkIdentity;

/// Time for which an upstream may still be running an abandoned request, and crash because of it.
const MAX_RUN_AFTER_ABANDONMENT: Duration = Duration::from_secs(2);
/// Number of abandoned requests remembered per upstream; the oldest are dropped.
const MAX_ABANDONED: usize = 32;

/// One abandoned request.
#[derive(Debug, Clone, Copy)]
struct AbandonedRequest {
    work: WorkIdentity,
    sent_at: Instant,
    abandoned_at: Instant,
}

/// The requests that one start of an upstream received and that were abandoned before the answer,
/// ordered by the time of abandonment.
#[derive(Debug, Default)]
pub struct AbandonedRequests(VecDeque<AbandonedRequest>);

impl AbandonedRequests {
    /// Records a request that was sent at `sent_at` and is abandoned at `now`.
    pub fn note(&mut self, now: Instant, work: WorkIdentity, sent_at: Instant) {
        let is_expired = |first: &AbandonedRequest| {
            now.saturating_duration_since(first.abandoned_at) >= MAX_RUN_AFTER_ABANDONMENT
        };
        while self.0.len() == MAX_ABANDONED || self.0.front().is_some_and(is_expired) {
            self.0.pop_front();
        }
        self.0.push_back(AbandonedRequest {
            work,
            sent_at,
            abandoned_at: now,
        });
    }

    /// Removes all records and returns the requests, with their send times, that the upstream may
    /// still have been running when it crashed at `crashed_at`.
    pub fn take(&mut self, crashed_at: Instant) -> Vec<(WorkIdentity, Instant)> {
        let may_run = |request: &AbandonedRequest| {
            crashed_at.saturating_duration_since(request.abandoned_at) < MAX_RUN_AFTER_ABANDONMENT
        };
        let taken = self.0.drain(..).filter(may_run);
        taken
            .map(|request| (request.work, request.sent_at))
            .collect()
    }
}
