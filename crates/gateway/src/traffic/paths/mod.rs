//! Connects to upstreams: directly, or through another host if this host's own links are cut.

mod relay_client;
mod relay_server;
mod trial;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::join;
use steering::ids::HostName;
use steering::route::{
    CheckResult, Choice, ConnectPlan, DirectResult, PathChange, Upstream, UpstreamPaths,
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use upstream::{ConnectError, Lease, Reuse};

use super::Traffic;
pub(super) use relay_client::{RelayAnswer, ask_relays};
pub(super) use relay_server::serve_relay;

/// Maximum number of connections to an upstream whose service declares no limit.
const DEFAULT_CONNECTIONS: u32 = 256;
/// Time for which a host that did not relay is asked after the others.
const RELAY_FAILURE_TIME: Duration = Duration::from_secs(1);

/// Fraction of the open files that connections relayed for other hosts may use. Each takes two.
const RELAYED_FILES_FRACTION: f64 = 0.2;

/// How this host reaches upstreams, and how many connections it relays for others.
pub(super) struct Paths {
    upstreams: Mutex<UpstreamPaths>,
    /// Hosts that did not relay a connection, and when.
    failed_relays: Mutex<HashMap<HostName, Instant>>,
    /// Permits to relay a connection for another host.
    relay_permits: Arc<Semaphore>,
}

impl Paths {
    /// Creates direct paths. `open_files` bounds the connections relayed for other hosts.
    pub fn new(open_files: u32) -> Self {
        let max_relays = f64::from(open_files) * RELAYED_FILES_FRACTION / 2.0;
        Paths {
            upstreams: Mutex::default(),
            failed_relays: Mutex::default(),
            relay_permits: Arc::new(Semaphore::new(max_relays as usize)),
        }
    }

    /// Takes a permit to relay a connection; none if as many as allowed are relayed.
    fn relay_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.relay_permits).try_acquire_owned().ok()
    }

    pub fn upstreams(&self) -> MutexGuard<'_, UpstreamPaths> {
        self.upstreams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request that is about to be sent on a direct connection.
    pub fn direct_sent(&self, upstream: &Upstream, work: Duration) {
        let now = clock::now();
        self.upstreams()
            .zone(&upstream.report.zone)
            .direct_sent(now, work);
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

    /// Records that a host did not relay a connection, or that a request on a connection that it
    /// relays got no answer.
    pub fn relay_failed(&self, host: &str) {
        self.failed_relays().insert(host.to_owned(), clock::now());
    }

    /// Whether the host did not relay a connection lately.
    pub fn has_failed(&self, host: &str) -> bool {
        let failed_at = self.failed_relays().get(host).copied();
        failed_at.is_some_and(|at| clock::elapsed(at) < RELAY_FAILURE_TIME)
    }

    fn failed_relays(&self) -> MutexGuard<'_, HashMap<HostName, Instant>> {
        self.failed_relays
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that a request needs.
pub(super) struct Wanted<'a> {
    pub choice: &'a Choice,
    pub reuse: Reuse,
    /// Whether a host of a region may pass on the request's bytes.
    pub may_pass: &'a dyn Fn(&str) -> bool,
    pub deadline: Instant,
}

/// Returns a connection to the selected upstream.
///
/// # Errors
///
/// Returns the reason if there is no connection before the deadline.
pub(super) async fn connect(traffic: &Arc<Traffic>, wanted: &Wanted<'_>) -> Result<Lease, String> {
    let time_left = clock::remaining(wanted.deadline);
    match tokio::time::timeout(time_left, connect_by_plan(traffic, wanted)).await {
        Ok(connected) => connected.map_err(|error| error.to_string()),
        Err(_) => Err("connecting took too long".to_owned()),
    }
}

async fn connect_by_plan(
    traffic: &Arc<Traffic>,
    wanted: &Wanted<'_>,
) -> Result<Lease, ConnectError> {
    let upstream = &wanted.choice.upstream;
    let address = upstream.report.address;
    let max_connections = wanted.choice.connections.unwrap_or(DEFAULT_CONNECTIONS);
    let plan = plan(traffic, upstream, max_connections);
    let may_use = |relay: Option<&upstream::Relay>| match relay {
        None => plan.uses_open_direct,
        Some(relay) => (wanted.may_pass)(&relay.region) && traffic.may_relay(&relay.host),
    };
    let connections = &traffic.connections;
    if let Some(lease) = connections.take_open(address, wanted.reuse, may_use).await {
        return Ok(lease);
    }
    if !plan.relays {
        let failure = match connections.open_direct(address, max_connections).await {
            Err(ConnectError::Unreachable(failure)) => failure,
            connected_or_local => return connected_or_local,
        };
        let report = &upstream.report;
        let mut paths = traffic.paths.upstreams();
        let zone_path = paths.zone(&report.zone);
        zone_path.direct_failed(clock::now(), &report.id);
        drop(paths);
        if !self::plan(traffic, upstream, max_connections).relays {
            return Err(ConnectError::Unreachable(failure));
        }
    }
    relay_client::open(traffic, upstream, max_connections, wanted.may_pass).await
}

/// Returns how to connect to an upstream, and starts the checks that are due.
fn plan(traffic: &Arc<Traffic>, upstream: &Arc<Upstream>, max_connections: u32) -> ConnectPlan {
    let zone = &upstream.report.zone;
    let plan = traffic.paths.upstreams().plan(clock::now(), zone);
    log_change(zone, plan.change);
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

/// Finds out who reaches an upstream that this host seems not to reach.
async fn check(traffic: Arc<Traffic>, upstream: Arc<Upstream>, max_connections: u32) {
    let result = match join!(
        trial::answers_directly(&traffic, &upstream, max_connections),
        ask_relays(&traffic, &upstream)
    ) {
        (true, _) => CheckResult::AnswersDirectly,
        (false, RelayAnswer::Reached) => CheckResult::ReachedByOthers,
        (false, _) => CheckResult::NotReached,
    };
    let zone = &upstream.report.zone;
    let mut paths = traffic.paths.upstreams();
    let change = paths.zone(zone).check_ended(clock::now(), result);
    drop(paths);
    log_change(zone, change);
}

fn log_change(zone: &str, change: Option<PathChange>) {
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
