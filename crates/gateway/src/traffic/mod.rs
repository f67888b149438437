//! Callers' requests, host lookups and readiness checks, all on one thread.

mod accept;
mod answers;
mod crash_check;
mod destination;
mod forward;
mod head;
mod in_flight;
mod look_up;
mod open_answer;
mod open_connection;
mod operator;
mod own_condition;
mod paths;
mod request_log;
mod run;
mod selection;
mod send;
mod server;
mod start_waits;
mod statements;
mod stats;
mod unanswered_send;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::ids::ServiceName;
use steering::route::{ServicePool, StatementCounts, StopTimetable};
use tokio::task::spawn_local;
use tokio::time::sleep;
use upstream::Connections;

use crate::host::{Common, RenderMetrics, Sockets, Stage};
use crate::wire_format::WireFormat;
use own_condition::OwnCondition;
use paths::Paths;
use start_waits::StartWaits;
use statements::UnknownStatements;
use stats::TrafficStats;

/// Interval at which shares are adapted to load.
const ADAPT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a leaving host checks whether its last connection has closed.
const LAST_CONNECTION_POLL: Duration = Duration::from_millis(20);

/// State of the traffic thread.
pub(crate) struct Traffic {
    common: Common,
    wire_format: Arc<dyn WireFormat>,
    connections: Connections,
    paths: Paths,
    render_metrics: RenderMetrics,
    stats: Mutex<TrafficStats>,
    /// Names of unknown statements in upstreams' answers.
    unknown_statements: UnknownStatements,
    start_waits: StartWaits,
    /// Open connections of callers, and connections relayed for other hosts. A connection closes only after its last answer has been written
    /// completely.
    open_connections: AtomicU32,
}

impl Traffic {
    fn stats(&self) -> MutexGuard<'_, TrafficStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stop_timetable(&self) -> StopTimetable {
        let longest_work = self.common.view.load().table.longest_timeout();
        StopTimetable::new(self.common.bounds().grace_period, longest_work)
    }

    /// Whether a request may begin now: not at a leaving host that has no time for it.
    fn may_begin(&self) -> bool {
        match *self.common.stage.borrow() {
            Stage::Serving => true,
            Stage::Leaving { since } => clock::elapsed(since) < self.stop_timetable().begin_until,
            Stage::Ended => false,
        }
    }

    /// Whether work that takes this long is done before this host ends. True unless it is stopping.
    fn has_time_for(&self, work: Duration) -> bool {
        match *self.common.stage.borrow() {
            Stage::Serving => true,
            Stage::Leaving { since } => self
                .stop_timetable()
                .ends_in_time(clock::elapsed(since), work),
            Stage::Ended => false,
        }
    }

    /// Waits until this host is stopping and gives up the requests under way.
    async fn until_end(&self) {
        let mut stage = self.common.stage.clone();
        let stopping = stage.wait_for(|stage| *stage != Stage::Serving).await;
        // The channel closes when the host has stopped.
        if let Ok(Stage::Leaving { since }) = stopping.as_deref() {
            let end = *since + self.stop_timetable().end;
            drop(stopping);
            sleep(clock::remaining(end)).await;
        }
    }

    /// Time since this host was told to stop; none unless it is stopping.
    fn stopping_for(&self) -> Option<Duration> {
        match *self.common.stage.borrow() {
            Stage::Leaving { since } => Some(clock::elapsed(since)),
            Stage::Serving | Stage::Ended => None,
        }
    }

    fn is_leaving(&self) -> bool {
        *self.common.stage.borrow() != Stage::Serving
    }

    /// Whether this host accepts no new connections of callers any more.
    fn has_stopped_accepting(&self) -> bool {
        match *self.common.stage.borrow() {
            Stage::Serving => false,
            Stage::Leaving { since } => clock::elapsed(since) >= self.stop_timetable().accept_until,
            Stage::Ended => true,
        }
    }

    /// Whether open connections that a host relays are used for further requests. Those of one that
    /// is leaving or has failed are not.
    fn may_relay(&self, host: &str) -> bool {
        let is_advertised = self.common.view.load().relay_hosts.contains_key(host);
        is_advertised && self.paths.may_use_relayed(host)
    }

    /// Number of connections of callers and to upstreams, without those relayed for other hosts.
    fn own_connections(&self) -> u32 {
        let open = self.open_connections.load(Ordering::Relaxed);
        let of_callers = open.saturating_sub(self.paths.relayed_connections());
        of_callers + self.connections.total()
    }
}

/// Serves until the host is leaving and the last connection has closed.
pub(crate) async fn run(
    common: Common,
    sockets: Sockets,
    wire_format: Arc<dyn WireFormat>,
    render_metrics: RenderMetrics,
) {
    let mut stage = common.stage.clone();
    let traffic = Arc::new(Traffic {
        stats: Mutex::new(TrafficStats::new(&common.settings)),
        connections: Connections::default(),
        paths: Paths::default(),
        unknown_statements: UnknownStatements::default(),
        start_waits: StartWaits::default(),
        open_connections: AtomicU32::default(),
        wire_format,
        render_metrics,
        common,
    });
    let callers = server::accept(&traffic, sockets.callers, server::Purpose::Callers);
    server::accept(&traffic, sockets.relays, server::Purpose::Relays);
    server::accept(&traffic, sockets.ready, server::Purpose::Checks);
    server::accept(&traffic, sockets.look_ups, server::Purpose::Checks);
    if let Some(metrics) = sockets.metrics {
        server::accept(&traffic, metrics, server::Purpose::Metrics);
    }
    spawn_local(adapt(Arc::clone(&traffic)));
    // The channel closes when the host has stopped.
    let _ = stage.wait_for(|stage| *stage != Stage::Serving).await;
    let timetable = traffic.stop_timetable();
    if let Some(longest) = traffic.common.view.load().table.longest_timeout()
        && !timetable.has_time_for(longest)
    {
        let longest_ms = longest.as_millis() as u64;
        let left_ms = (timetable.end - timetable.begin_until).as_millis() as u64;
        tracing::warn!(event = "stop_may_cut", longest_ms, left_ms);
    }
    sleep(timetable.accept_until).await;
    callers.abort();
    while traffic.open_connections.load(Ordering::Relaxed) > 0 {
        sleep(LAST_CONNECTION_POLL).await;
    }
}

async fn adapt(traffic: Arc<Traffic>) {
    let mut last = clock::now();
    let mut own_condition = OwnCondition::new();
    loop {
        sleep(ADAPT_INTERVAL).await;
        let now = clock::now();
        let view = traffic.common.view.load_full();
        let bounds = traffic.common.bounds();
        traffic.stats().adapt(&view, &bounds, now, now - last);
        own_condition.update(&traffic, &view, now, now - last);
        last = now;
        let open = traffic.open_connections.load(Ordering::Relaxed);
        metrics::gauge!("stagedeck_caller_connections").set(open);
        metrics::gauge!("stagedeck_document_version").set(view.version as f64);
        metrics::gauge!("stagedeck_works_refused")
            .set(traffic.common.suspects.refused().len() as f64);
        let relayed_zones = traffic.paths.upstreams().relayed_zones();
        metrics::gauge!("stagedeck_zones_relayed").set(relayed_zones as f64);
        metrics::gauge!("stagedeck_relayed_connections").set(traffic.paths.relayed_connections());
        metrics::gauge!("stagedeck_relays_used").set(traffic.connections.relayed());
        metrics::gauge!("stagedeck_sharers").set(view.sharing_hosts.unwrap_or(0) as f64);
        for (service, pool) in view.services.iter() {
            record_statement_counts(service, pool, now);
        }
    }
}

fn record_statement_counts(service: &ServiceName, pool: &ServicePool, now: Instant) {
    let StatementCounts {
        resting,
        leaving,
        limiting,
    } = pool.statement_counts(now);
    let service = || service.clone();
    metrics::gauge!("stagedeck_upstreams_resting", "service" => service()).set(resting as f64);
    metrics::gauge!("stagedeck_upstreams_leaving", "service" => service()).set(leaving as f64);
    metrics::gauge!("stagedeck_upstreams_limiting", "service" => service()).set(limiting as f64);
}
