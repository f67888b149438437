//! Checks whether an upstream has crashed while serving a request.

use std::sync::Arc;
use std::time::Instant;

use steering::ids::RequestId;
use steering::route::{Upstream, WorkEvent, WorkIdentity};

use super::Traffic;
use super::paths::{RelayAnswer, ask_relays};
use crate::suspects;

/// Checks an upstream that has closed a request's connection. A closed connection alone is weak
/// evidence, since an upstream loses an answer now and then.
pub(super) struct CrashCheck {
    pub traffic: Arc<Traffic>,
    pub upstream: Arc<Upstream>,
    /// Identity of the request.
    pub id: RequestId,
    pub work: WorkIdentity,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl CrashCheck {
    /// Runs the check, and records a crash.
    pub async fn run(self) {
        let closed_at = clock::now();
        let report = &self.upstream.report;
        if !self.has_ended().await {
            return;
        }
        tracing::info!(
            event = "upstream_ended",
            id = self.id,
            upstream = report.id,
            work = suspects::format_key(self.work.request),
            object = suspects::format_key(self.work.object)
        );
        self.record_crash(self.work, self.sent_at, closed_at);
        // Requests whose callers have disconnected are no longer tracked, so their crashes are
        // recorded here.
        let abandoned = self.upstream.state().abandoned.take(closed_at);
        for (work, sent_at) in abandoned {
            self.record_crash(work, sent_at, closed_at);
        }
    }

    /// Whether nothing listens at the upstream's address. A refusal that only this host gets comes
    /// from its own links.
    async fn has_ended(&self) -> bool {
        let Traffic {
            connections, paths, ..
        } = &*self.traffic;
        if paths.is_relayed(&self.upstream) {
            return ask_relays(&self.traffic, &self.upstream).await == RelayAnswer::Refuses;
        }
        connections.is_refused(self.upstream.report.address).await
            && !matches!(
                ask_relays(&self.traffic, &self.upstream).await,
                RelayAnswer::Answered | RelayAnswer::Silent
            )
    }

    fn record_crash(&self, work: WorkIdentity, sent_at: Instant, closed_at: Instant) {
        let event = WorkEvent::Crashed {
            start: self.upstream.report.start_hash(),
            sent_ms: clock::elapsed(sent_at).as_millis() as u32,
            crashed_ms: clock::elapsed(closed_at).as_millis() as u32,
        };
        self.traffic.common.suspects.record_event(work, event);
    }
}
