//! A request that an upstream is working on, and what its end shows.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::ids::{HostName, RuleName};
use steering::route::{AnswerOutcome, Choice, DirectResult, Upstream, WorkIdentity, ZoneChange};
use upstream::Lease;

use super::Traffic;
use super::paths::direct_sent;

/// Time without an answer after which a request counts against the host that relays it.
const RELAY_SILENT_AFTER: Duration = Duration::from_millis(1_200);

/// The connection that a request was sent on.
#[derive(Debug, Default)]
enum Connection {
    /// Nothing was sent.
    #[default]
    None,
    /// This host's own.
    Direct {
        /// Whether the request is the first one on it.
        is_new: bool,
        /// Longest expected work on the request.
        work: Duration,
    },
    /// Through a host.
    Relayed(HostName),
}

/// A request in flight at an upstream. Its drop records the end of the request.
pub(super) struct InFlight {
    pub upstream: Arc<Upstream>,
    pub started_at: Instant,
    route: RuleName,
    /// Whether the upstream has answered with success.
    is_served: Cell<bool>,
    is_recorded: Cell<bool>,
    work: WorkIdentity,
    /// Whether any part of the request may have left this host.
    is_sent: Cell<bool>,
    connection: RefCell<Connection>,
    traffic: Arc<Traffic>,
}

impl InFlight {
    pub fn begin(
        traffic: &Arc<Traffic>,
        choice: &Choice,
        route: &RuleName,
        work: WorkIdentity,
    ) -> Self {
        let started_at = clock::now();
        let mut state = choice.upstream.state();
        state.request_sent(started_at);
        state.note_expected_work(choice.expectation.work.if_fetched);
        drop(state);
        InFlight {
            upstream: Arc::clone(&choice.upstream),
            started_at,
            route: route.clone(),
            is_served: Cell::new(false),
            is_recorded: Cell::new(false),
            work,
            is_sent: Cell::new(false),
            connection: RefCell::default(),
            traffic: Arc::clone(traffic),
        }
    }

    /// Records the connection that the request is about to be sent on.
    pub fn sent_on(&self, lease: &Lease, choice: &Choice) {
        let work = choice.expectation.work.if_fetched;
        self.is_sent.set(true);
        self.connection.replace(match lease.relay() {
            Some(relay) => Connection::Relayed(relay.host.clone()),
            None => {
                direct_sent(&self.traffic, choice, work);
                Connection::Direct {
                    is_new: lease.is_new(),
                    work,
                }
            }
        });
    }

    /// Records that the upstream has answered with success.
    pub fn served(&self) {
        self.is_served.set(true);
    }

    /// Records what the request shows of the path to the upstream.
    fn record_path(&self, now: Instant, outcome: AnswerOutcome) {
        let paths = &self.traffic.paths;
        match &*self.connection.borrow() {
            Connection::None => {}
            Connection::Direct { is_new, work } => {
                let result = DirectResult {
                    sent_at: self.started_at,
                    is_first: *is_new,
                    work: *work,
                    outcome,
                };
                paths.direct_ended(&self.upstream, result);
            }
            Connection::Relayed(host) => {
                let waited = now.saturating_duration_since(self.started_at);
                let is_silent = outcome == AnswerOutcome::Unknown && waited > RELAY_SILENT_AFTER;
                if is_silent || outcome == AnswerOutcome::Broken {
                    paths.relay_silent(host);
                }
            }
        }
    }

    /// Whether the request was sent on a path to the zone that is not used any more, so that its
    /// failure says nothing about the upstream.
    fn is_of_former_path(&self) -> bool {
        let is_relayed = self.traffic.paths.is_relayed(&self.upstream);
        match &*self.connection.borrow() {
            Connection::None => false,
            Connection::Direct { .. } => is_relayed,
            Connection::Relayed(_) => !is_relayed,
        }
    }

    pub fn record(&self, answered: AnswerOutcome) {
        let now = clock::now();
        let id = &self.upstream.report.id;
        if !answered.proves_alive() && self.is_of_former_path() {
            self.record_path(now, answered);
            self.is_recorded.set(true);
            return;
        }
        let mut state = self.upstream.state();
        state.answered(now, answered);
        if answered.proves_alive() && state.statements.answered(self.started_at) {
            tracing::info!(event = "upstream_rest_over", upstream = id);
        }
        drop(state);
        let change = self.upstream.zone().answered(now, id, answered);
        if let Some(change) = change {
            log_zone_change(&self.upstream, change);
        }
        self.record_path(now, answered);
        self.is_recorded.set(true);
    }
}

fn log_zone_change(upstream: &Upstream, change: ZoneChange) {
    let zone = &upstream.report.zone;
    match change {
        ZoneChange::Suspected {
            failing,
            expires_in,
        } => {
            let expires_in_ms = expires_in.as_millis() as u64;
            tracing::warn!(event = "zone_suspected", zone, failing, expires_in_ms);
        }
        ZoneChange::Answers => tracing::info!(event = "zone_answers", zone),
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let is_abandoned = !self.is_recorded.get() && self.is_sent.get();
        if !self.is_recorded.get() {
            self.record(AnswerOutcome::Unknown);
        }
        let now = clock::now();
        if is_abandoned || self.is_served.get() {
            let took = now.saturating_duration_since(self.started_at);
            let service = &self.upstream.report.service;
            let mut stats = self.traffic.stats();
            let response_times = stats.response_times(service, &self.route);
            match is_abandoned {
                true => response_times.record_unanswered(now, took),
                false => response_times.record(now, took),
            }
        }
        let mut state = self.upstream.state();
        if is_abandoned {
            state.abandoned.note(now, self.work, self.started_at);
        }
        state.statements.unanswered(self.started_at);
        state.request_ended(now);
    }
}
