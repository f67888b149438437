//! Takes what upstreams say of themselves in the heads of their answers.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use hyper::header::HeaderName;
use steering::route::Upstream;
use steering::statement::{LimitChange, LimitNamed, RestAsked, Statement};

/// Names of statements that are kept in mind because nothing reads them.
const UNREAD_MOST: usize = 32;

/// An answer, as far as it says something of its upstream.
pub(super) struct Said {
    /// When its request was sent.
    pub sent: Instant,
    /// What it states.
    pub statement: Statement,
    /// Whether it is the upstream's own answer, whole as far as can be told from its head. Only
    /// such a one says something by what it does not name.
    pub is_own: bool,
}

/// Takes what an answer states of its upstream.
pub(super) fn hear(upstream: &Upstream, said: &Said) {
    let statement = &said.statement;
    let now = clock::now();
    if statement.leaves && upstream.state().statements.leave(now) {
        let (id, born_ms) = (&upstream.report.id, upstream.report.started_ms);
        tracing::info!(event = "upstream_leaves", upstream = id, born_ms);
    }
    if let Some(asked) = statement.rest {
        hear_rest(upstream, now, asked);
    }
    hear_limit(upstream, now, said);
}

fn hear_rest(upstream: &Upstream, now: Instant, asked: RestAsked) {
    let rest = asked.granted();
    if upstream.state().statements.rest(now, rest) {
        let (id, rest_ms) = (&upstream.report.id, rest.as_millis() as u64);
        let as_asked = asked.is_granted_whole();
        tracing::info!(event = "upstream_rests", upstream = id, rest_ms, as_asked);
    }
}

fn hear_limit(upstream: &Upstream, now: Instant, said: &Said) {
    let named = said.statement.limit;
    if named.is_none() && !said.is_own {
        return;
    }
    let granted = named.and_then(LimitNamed::granted);
    let change = upstream.state().statements.limit(now, said.sent, granted);
    let (id, born_ms) = (&upstream.report.id, upstream.report.started_ms);
    match (change, named) {
        (Some(LimitChange::Named), Some(named)) => {
            let as_named = named.is_granted_whole();
            tracing::info!(
                event = "upstream_limits",
                upstream = id,
                born_ms,
                per_s = granted,
                as_named
            );
        }
        (Some(LimitChange::Ended), _) => {
            tracing::info!(event = "upstream_limit_over", upstream = id, born_ms);
        }
        _ => {}
    }
}

/// Names of statements that nothing reads, each told once.
#[derive(Debug, Default)]
pub(super) struct Unread(Mutex<BTreeSet<String>>);

impl Unread {
    /// Counts those of an answer of `upstream`.
    pub fn note(&self, upstream: &str, names: &[&HeaderName]) {
        if names.is_empty() {
            return;
        }
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for name in names.iter().map(|name| name.as_str()) {
            if !known.contains(name) {
                if known.len() >= UNREAD_MOST {
                    continue;
                }
                known.insert(name.to_owned());
                tracing::warn!(event = "statement_unread", upstream, name);
            }
            metrics::counter!("stagedeck_unread_statements_total", "name" => name.to_owned())
                .increment(1);
        }
    }
}
