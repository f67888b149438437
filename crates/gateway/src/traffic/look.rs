//! Finds out whether an upstream has ended under a request.

use std::sync::Arc;
use std::time::Instant;

use steering::ids::RequestId;
use steering::route::{Upstream, WorkIdentity, WorkTold};

use super::Traffic;
use crate::suspects;

/// A look at an upstream that has closed a request's connection. That alone says little: it
/// loses an answer now and then.
pub(super) struct Look {
    pub traffic: Arc<Traffic>,
    pub upstream: Arc<Upstream>,
    /// Identity of the request.
    pub id: RequestId,
    pub work: WorkIdentity,
    /// When it was sent.
    pub sent: Instant,
}

impl Look {
    /// Looks, and learns of an end.
    pub async fn run(self) {
        let closed = clock::now();
        let report = &self.upstream.report;
        if !self.traffic.connections.is_refused(report.address).await {
            return;
        }
        tracing::info!(
            event = "upstream_ended",
            id = self.id,
            upstream = report.id,
            work = suspects::name(self.work.request),
            object = suspects::name(self.work.object)
        );
        self.learn(self.work, self.sent, closed);
        // Whoever has left will not tell what became of what it sent.
        let abandoned = self.upstream.state().abandoned.take(closed);
        for (work, sent) in abandoned {
            self.learn(work, sent, closed);
        }
    }

    fn learn(&self, work: WorkIdentity, sent: Instant, closed: Instant) {
        let told = WorkTold::Ended {
            start: self.upstream.report.start_hash(),
            sent_ms: clock::elapsed(sent).as_millis() as u32,
            ended_ms: clock::elapsed(closed).as_millis() as u32,
        };
        self.traffic.common.suspects.learn(work, told);
    }
}
