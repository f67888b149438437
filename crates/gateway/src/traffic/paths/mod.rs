//! Connects to upstreams: directly, or through another host if this host's own links are cut.

mod relay_client;
mod relay_server;
mod relay_table;
mod trial;

use std::pin::pin;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Display;
use steering::ids::HostName;
use steering::route::{
    CheckResult, Choice, ConnectPlan, DirectResult, PathChange, RelayRecords, Upstream,
    UpstreamPaths,
};
use tokio::select;
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use upstream::{ConnectError, ConnectionId, Lease, Reuse};

use super::Traffic;
use relay_client::RELAY_TIMEOUT;
pub(super) use relay_client::{RelayAnswer, ask_relays};
pub(super) use relay_server::serve_relay;
use relay_table::RelayTable;
use trial::{TRIAL_TIME, keep_connection, try_directly};

/// Maximum number of connections to an upstream whose service declares no limit.
const DEFAULT_CONNECTIONS: u32 = 256;
/// Interval at which a path with unanswered requests is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a check waits for an answer to this host after another host was answered; longer
/// than a round trip between regions.
const CHECK_MARGIN: Duration = Duration::from_millis(150);
/// Maximum number of requests for relays that are being read or answered.
const MAX_RELAY_REQUESTS: usize = 64;

/// How this host reaches upstreams, and the connections that it relays for others.
pub(super) struct Paths {
    upstreams: Mutex<UpstreamPaths>,
    relay_records: Mutex<RelayRecords>,
    /// Requests that wait for a relayed connection.
    waiting: AtomicU32,
    relayed: RelayTable,
    relay_requests: Semaphore,
    /// Notified when connections to a zone become relayed.
    cut: Notify,
}

impl Default for Paths {
    fn default() -> Self {
        Paths {
            upstreams: Mutex::default(),
            relay_records: Mutex::default(),
            waiting: AtomicU32::default(),
            relayed: RelayTable::default(),
            relay_requests: Semaphore::new(MAX_RELAY_REQUESTS),
            cut: Notify::new(),
        }
    }
}

impl Paths {
    /// Number of connections relayed for other hosts.
    pub fn relayed_connections(&self) -> u32 {
        self.relayed.total()
    }

    pub fn upstreams(&self) -> MutexGuard<'_, UpstreamPaths> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a request that was sent on a direct connection can get no answer, since the path
    /// is cut.
    pub async fn until_lost(&self, upstream: &Upstream, sent_at: Instant) {
        loop {
            let cut = self.cut.notified();
            if self
                .upstreams()
                .zone(&upstream.report.zone)
                .is_lost(sent_at)
            {
                return;
            }
            cut.await;
        }
    }

    /// Records what came of a request on a direct connection.
    pub fn direct_ended(&self, upstream: &Upstream, result: DirectResult) {
        let now = clock::now();
        let report = &upstream.report;
        self.upstreams()
            .zone(&report.zone)
            .direct_ended(now, &report.id, result);
    }

    /// Whether connections to an upstream go through other hosts, so that failures of direct ones
    /// say nothing about the upstream.
    pub fn is_relayed(&self, upstream: &Upstream) -> bool {
        self.upstreams().is_relayed(&upstream.report.zone)
    }

    /// Whether this host can't tell from a failure of its own whether an upstream is down.
    fn is_doubtful(&self, upstream: &Upstream) -> bool {
        let now = clock::now();
        self.upstreams()
            .zone(&upstream.report.zone)
            .is_doubtful(now)
    }

    /// Records that a request on a connection that a host relays got no answer.
    pub fn relay_silent(&self, host: &HostName) {
        self.relay_records().silent(clock::now(), host);
    }

    /// Whether open connections that a host relays are used.
    pub fn may_use_relayed(&self, host: &str) -> bool {
        self.relay_records().may_use_open(clock::now(), host)
    }

    fn relay_records(&self) -> MutexGuard<'_, RelayRecords> {
        self.relay_records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that a request needs.
pub(super) struct Wanted<'a> {
    pub choice: &'a Choice,
    pub reuse: Reuse,
    /// Connections on which the request was sent. None of them is used again: an answer on it
    /// would not tell which of the sends it belongs to.
    pub used: &'a [ConnectionId],
    /// Whether a host of a region may pass on the request's bytes.
    pub may_pass: &'a dyn Fn(&str) -> bool,
    pub deadline: Instant,
    /// Time until which the request waits for a connection that another host relays, if all are in
    /// use.
    pub wait_until: Instant,
}

/// Why there is no connection to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(super) enum ConnectFailure {
    /// The upstream could not be reached.
    #[display("{_0}")]
    Unreachable(String),
    /// This host can't open a connection. Says nothing about the upstream.
    #[display("{_0}")]
    Local(String),
    /// The hosts that could relay a connection have no room for it, or do not answer. Says nothing
    /// about the upstream.
    #[display("no host has room to relay a connection")]
    NoRelay {
        /// Time after which the request may be tried again.
        retry_after: Duration,
    },
}

impl From<ConnectError> for ConnectFailure {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Unreachable(error) => ConnectFailure::Unreachable(error.to_string()),
            error @ (ConnectError::AllInUse | ConnectError::Local(_)) => {
                ConnectFailure::Local(error.to_string())
            }
        }
    }
}

/// Returns a connection to the selected upstream.
///
/// # Errors
///
/// Returns [`ConnectFailure`] if there is no connection before the deadline.
pub(super) async fn connect(
    traffic: &Arc<Traffic>,
    wanted: &Wanted<'_>,
) -> Result<Lease, ConnectFailure> {
    let time_left = clock::remaining(wanted.deadline);
    let connected = tokio::time::timeout(time_left, connect_by_plan(traffic, wanted)).await;
    connected.unwrap_or_else(|_| {
        let reason = "connecting took too long".to_owned();
        match traffic.paths.is_relayed(&wanted.choice.upstream) {
            true => Err(ConnectFailure::Local(reason)),
            false => Err(ConnectFailure::Unreachable(reason)),
        }
    })
}

async fn connect_by_plan(
    traffic: &Arc<Traffic>,
    wanted: &Wanted<'_>,
) -> Result<Lease, ConnectFailure> {
    let upstream = &wanted.choice.upstream;
    let address = upstream.report.address;
    let max_connections = wanted.choice.connections.unwrap_or(DEFAULT_CONNECTIONS);
    let plan = plan(traffic, upstream, max_connections);
    let may_use = |id: ConnectionId, relay: Option<&upstream::Relay>| {
        let may_take = match relay {
            None => plan.uses_open_direct,
            Some(relay) => relay_client::may_use(traffic, wanted, relay),
        };
        may_take && !wanted.used.contains(&id)
    };
    let connections = &traffic.connections;
    if let Some(lease) = connections.take_open(address, wanted.reuse, may_use).await {
        return Ok(lease);
    }
    if !plan.relays {
        let failure = match connections.open_direct(address, max_connections).await {
            Err(ConnectError::Unreachable(failure)) => failure,
            connected_or_local => return connected_or_local.map_err(ConnectFailure::from),
        };
        let report = &upstream.report;
        let mut paths = traffic.paths.upstreams();
        let zone_path = paths.zone(&report.zone);
        zone_path.direct_failed(clock::now(), &report.id);
        drop(paths);
        if !self::plan(traffic, upstream, max_connections).relays {
            return Err(ConnectFailure::Unreachable(failure.to_string()));
        }
    }
    relay_client::open(traffic, wanted, max_connections).await
}

/// Records a request that is about to be sent on a direct connection, and watches the path until
/// it is answered.
pub(super) fn direct_sent(traffic: &Arc<Traffic>, choice: &Choice, work: Duration) {
    let upstream = &choice.upstream;
    let now = clock::now();
    let mut paths = traffic.paths.upstreams();
    let begins_watch = paths.zone(&upstream.report.zone).direct_sent(now, work);
    drop(paths);
    if begins_watch {
        let max_connections = choice.connections.unwrap_or(DEFAULT_CONNECTIONS);
        spawn_local(watch(
            Arc::clone(traffic),
            Arc::clone(upstream),
            max_connections,
        ));
    }
}

/// Starts the checks of a path that are due, also if no further request needs a connection.
async fn watch(traffic: Arc<Traffic>, upstream: Arc<Upstream>, max_connections: u32) {
    let zone = &upstream.report.zone;
    loop {
        sleep(WATCH_INTERVAL).await;
        if !traffic.paths.upstreams().zone(zone).is_watched() {
            return;
        }
        plan(&traffic, &upstream, max_connections);
    }
}

/// Returns how to connect to an upstream, and starts the checks that are due.
fn plan(traffic: &Arc<Traffic>, upstream: &Arc<Upstream>, max_connections: u32) -> ConnectPlan {
    let zone = &upstream.report.zone;
    let plan = traffic.paths.upstreams().plan(clock::now(), zone);
    apply_change(traffic, zone, plan.change);
    if plan.needs_check {
        let traffic = Arc::clone(traffic);
        spawn_local(check(traffic, Arc::clone(upstream), max_connections));
    }
    if plan.tries_direct {
        let traffic = Arc::clone(traffic);
        spawn_local(trial::run(traffic, Arc::clone(upstream), max_connections));
    }
    plan
}

/// Finds out whom an upstream answers that seems not to answer this host. Both sides ask for an
/// answer on a new connection. This host waits for it longer than the others: an upstream that is
/// full answers one after the other.
async fn check(traffic: Arc<Traffic>, upstream: Arc<Upstream>, max_connections: u32) {
    let started_at = clock::now();
    let mut asking = pin!(ask_relays(&traffic, &upstream));
    let time = TRIAL_TIME + RELAY_TIMEOUT;
    let mut trying = pin!(try_directly(&traffic, &upstream, max_connections, time));
    let (mut tried, answer) = select! {
        biased;
        tried = &mut trying => match tried {
            Ok(_) => (Some(tried), RelayAnswer::Unknown),
            Err(_) => (Some(tried), asking.await),
        },
        answer = &mut asking => (None, answer),
    };
    if tried.is_none() && answer == RelayAnswer::Answered {
        let end = (started_at + TRIAL_TIME).max(clock::now() + CHECK_MARGIN);
        tried = timeout(clock::remaining(end), trying).await.ok();
    }
    let result = match (tried, answer) {
        (Some(Ok(answer)), _) => {
            keep_connection(answer);
            CheckResult::AnswersDirectly
        }
        (_, RelayAnswer::Answered) => CheckResult::AnswersOthers,
        (_, RelayAnswer::Silent | RelayAnswer::Refuses | RelayAnswer::Unknown) => {
            CheckResult::NotReached
        }
    };
    let zone = &upstream.report.zone;
    let mut paths = traffic.paths.upstreams();
    let change = paths.zone(zone).check_ended(clock::now(), result);
    drop(paths);
    apply_change(&traffic, zone, change);
}

/// Logs a change of the path to a zone. With another path, what failures on the one before have
/// shown of the zone's upstreams is forgotten.
fn apply_change(traffic: &Traffic, zone: &str, change: Option<PathChange>) {
    if matches!(change, Some(PathChange::Relayed | PathChange::Direct(_))) {
        let now = clock::now();
        let view = traffic.common.view.load();
        for upstream in view.upstreams_of_zone(zone) {
            upstream.zone().path_changed();
            if let Some(mut state) = upstream.observed_state() {
                state.path_changed(now);
            }
        }
        traffic.paths.cut.notify_waiters();
    }
    match change {
        None => {}
        Some(PathChange::DirectFails) => tracing::info!(event = "direct_path_fails", zone),
        Some(PathChange::Relayed) => tracing::warn!(event = "zone_relayed", zone),
        Some(PathChange::DirectWorks) => tracing::info!(event = "direct_path_works", zone),
        Some(PathChange::NotReached) => tracing::info!(event = "zone_not_relayed", zone),
        Some(PathChange::Direct(relayed_for)) => {
            let relayed_for_ms = relayed_for.as_millis() as u64;
            tracing::info!(event = "zone_direct", zone, relayed_for_ms);
        }
    }
}
