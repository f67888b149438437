//! Handles what upstreams declare about themselves in the heads of their answers.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use hyper::header::HeaderName;
use steering::route::Upstream;
use steering::statement::{LimitChange, RequestedLimit, RequestedRest, Statement};

/// Maximum number of unknown statement names that are remembered.
const MAX_UNKNOWN_STATEMENTS: usize = 32;

/// The head of an answer, as far as it concerns the upstream.
pub(super) struct AnswerHead {
    /// When the request was sent.
    pub sent_at: Instant,
    /// What the head declares.
    pub statement: Statement,
    /// Whether the answer comes from the upstream itself and looks complete by its head. Only in
    /// such an answer does a missing declaration mean anything.
    pub is_own: bool,
}

/// Applies what the head of an answer declares about its upstream.
pub(super) fn apply_statement(upstream: &Upstream, head: &AnswerHead) {
    let statement = &head.statement;
    let now = clock::now();
    if statement.leaves && upstream.state().statements.leave(now) {
        let (id, started_ms) = (&upstream.report.id, upstream.report.started_ms);
        tracing::info!(
            event = "upstream_leaves",
            upstream = id,
            born_ms = started_ms
        );
    }
    if let Some(asked) = statement.rest {
        apply_rest(upstream, now, asked);
    }
    apply_limit(upstream, now, head);
}

fn apply_rest(upstream: &Upstream, now: Instant, asked: RequestedRest) {
    let rest = asked.granted();
    if upstream.state().statements.rest(now, rest) {
        let (id, rest_ms) = (&upstream.report.id, rest.as_millis() as u64);
        let as_asked = asked.is_granted_in_full();
        tracing::info!(event = "upstream_rests", upstream = id, rest_ms, as_asked);
    }
}

fn apply_limit(upstream: &Upstream, now: Instant, head: &AnswerHead) {
    let named = head.statement.limit;
    if named.is_none() && !head.is_own {
        return;
    }
    let granted = named.and_then(RequestedLimit::granted);
    let change = upstream
        .state()
        .statements
        .limit(now, head.sent_at, granted);
    let (id, started_ms) = (&upstream.report.id, upstream.report.started_ms);
    match (change, named) {
        (Some(LimitChange::Named), Some(named)) => {
            let as_named = named.is_granted_in_full();
            tracing::info!(
                event = "upstream_limits",
                upstream = id,
                born_ms = started_ms,
                per_s = granted,
                as_named
            );
        }
        (Some(LimitChange::Ended), _) => {
            tracing::info!(
                event = "upstream_limit_over",
                upstream = id,
                born_ms = started_ms
            );
        }
        _ => {}
    }
}

/// Names of unknown statements. Each is logged once.
#[derive(Debug, Default)]
pub(super) struct UnknownStatements(Mutex<BTreeSet<String>>);

impl UnknownStatements {
    /// Counts the unknown statements in an answer of `upstream`.
    pub fn note(&self, upstream: &str, names: &[&HeaderName]) {
        if names.is_empty() {
            return;
        }
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for name in names.iter().map(|name| name.as_str()) {
            if !seen.contains(name) {
                if seen.len() >= MAX_UNKNOWN_STATEMENTS {
                    continue;
                }
                seen.insert(name.to_owned());
                tracing::warn!(event = "statement_unread", upstream, name);
            }
            metrics::counter!("stagedeck_unread_statements_total", "name" => name.to_owned())
                .increment(1);
        }
    }
}
