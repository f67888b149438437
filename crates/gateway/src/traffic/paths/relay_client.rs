//! Asks other hosts to relay connections.

use std::cell::Cell;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use peer::relay::{RelayError, RelayRequest, RelayStatus, RelayedStream, request_relay};
use steering::route::{Place, RelayHost, Upstream, relay_order, relay_wait};
use tokio::net::TcpStream;
use tokio::time::timeout;
use upstream::{ConnectError, ConnectionId, Lease, Relay};

use super::{ConnectFailure, Wanted};
use crate::traffic::Traffic;

/// Time limit for a relay: three round trips between regions, and the time in which the other host
/// gives up connecting.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// Hosts asked one after the other for a connection.
const MAX_HOSTS_ASKED: usize = 3;
/// Interval at which a request that waits for a relayed connection asks hosts that were full.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Hosts asked at the same time whether they reach an upstream.
const MAX_HOSTS_CHECKED: usize = 5;

/// What other hosts say of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::traffic) enum RelayAnswer {
    /// It answers a host on a new connection.
    Answered,
    /// It accepts connections of other hosts, and answers none of them in time.
    Silent,
    /// Its address refuses connections of other hosts too.
    Refuses,
    /// No host could tell.
    Unknown,
}

/// Opens a connection to an upstream through another host, or waits for one that is open.
pub(super) async fn open(
    traffic: &Traffic,
    wanted: &Wanted<'_>,
    max_connections: u32,
) -> Result<Lease, ConnectFailure> {
    if let Some(opened) = open_at_once(traffic, wanted, max_connections).await {
        return opened;
    }
    let waiting = Waiting::begin(&traffic.paths.waiting);
    let no_relay = ConnectFailure::NoRelay {
        retry_after: waiting.expected(traffic, wanted),
    };
    let upstream = &wanted.choice.upstream;
    let can_wait = clock::now() + waiting.expected(traffic, wanted) <= wanted.wait_until;
    if !can_wait || hosts_to_ask(traffic, upstream, wanted.may_pass, 1).is_empty() {
        return Err(no_relay);
    }
    let address = wanted.choice.upstream.report.address;
    let connections = &traffic.connections;
    loop {
        let time_left = clock::remaining(wanted.wait_until);
        if time_left.is_zero() {
            return Err(no_relay);
        }
        // A host may have room again without an end of a connection of this one.
        let freed = timeout(
            time_left.min(FULL_RETRY_INTERVAL),
            connections.relayed_freed(),
        );
        let _ = freed.await;
        let may_use = |id: ConnectionId, relay: Option<&Relay>| {
            let may_take = relay.is_some_and(|relay| may_use(traffic, wanted, relay));
            may_take && !wanted.used.contains(&id)
        };
        if let Some(lease) = connections.take_open(address, wanted.reuse, may_use).await {
            return Ok(lease);
        }
        if let Some(opened) = open_at_once(traffic, wanted, max_connections).await {
            return opened;
        }
    }
}

/// Whether a request may be sent over an open connection that another host relays.
pub(super) fn may_use(traffic: &Traffic, wanted: &Wanted<'_>, relay: &Relay) -> bool {
    (wanted.may_pass)(&relay.region) && traffic.may_relay(&relay.host)
}

/// A request that waits for a relayed connection.
struct Waiting<'a>(&'a AtomicU32);

impl<'a> Waiting<'a> {
    fn begin(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Waiting(count)
    }

    fn expected(&self, traffic: &Traffic, wanted: &Wanted<'_>) -> Duration {
        let others = self.0.load(Ordering::Relaxed).saturating_sub(1);
        let hold_time = wanted.choice.expectation.longest();
        relay_wait(others, traffic.connections.relayed(), hold_time)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Opens a connection through another host; none if no host has room for it, or none answers.
async fn open_at_once(
    traffic: &Traffic,
    wanted: &Wanted<'_>,
    max_connections: u32,
) -> Option<Result<Lease, ConnectFailure>> {
    let upstream = &*wanted.choice.upstream;
    let connections = &traffic.connections;
    let mut failure = None;
    for host in hosts_to_ask(traffic, upstream, wanted.may_pass, MAX_HOSTS_ASKED) {
        let held = connections.relayed_by(&host.name);
        let may_open = traffic
            .paths
            .relay_records()
            .may_open(clock::now(), &host.name, held);
        // This host's part of the connections may be idle ones to other upstreams.
        if !may_open && !connections.close_idle_relayed(&host.name) {
            continue;
        }
        match open_through(traffic, upstream, max_connections, &host).await {
            Ok(lease) => return Some(Ok(lease)),
            Err(OpenError::Upstream(reason)) => {
                failure = Some(ConnectFailure::Unreachable(reason));
            }
            Err(OpenError::Local(error)) => return Some(Err(error.into())),
            Err(OpenError::Relay) => {}
        }
    }
    failure.map(Err)
}

enum OpenError {
    /// The host does not reach the upstream.
    Upstream(String),
    /// The host has no room, or does not relay now.
    Relay,
    /// This host can't open a connection.
    Local(ConnectError),
}

async fn open_through(
    traffic: &Traffic,
    upstream: &Upstream,
    max_connections: u32,
    host: &RelayHost,
) -> Result<Lease, OpenError> {
    let address = upstream.report.address;
    let connections = &traffic.connections;
    let is_released = Arc::new(AtomicBool::new(false));
    let relay = Relay {
        host: host.name.clone(),
        region: host.region.clone(),
        is_released: Arc::clone(&is_released),
    };
    let answer = Cell::new(RelayStatus::Unavailable);
    let connecting = async {
        let (status, stream) = ask(traffic, upstream, host, false).await;
        answer.set(status);
        let stream = stream
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotConnected, status.to_string()))?;
        let connections = connections.clone();
        Ok(stream.with_release(Box::new(move || {
            is_released.store(true, Ordering::Release);
            connections.close_released(address);
        })))
    };
    let opened = connections.open_with(address, max_connections, Some(relay), connecting);
    opened.await.map_err(|error| match (error, answer.get()) {
        (ConnectError::Unreachable(_), RelayStatus::Full | RelayStatus::Unavailable) => {
            OpenError::Relay
        }
        (ConnectError::Unreachable(error), _) => OpenError::Upstream(error.to_string()),
        (error, _) => OpenError::Local(error),
    })
}

/// Asks several hosts at once whether an upstream answers them.
pub(in crate::traffic) async fn ask_relays(
    traffic: &Arc<Traffic>,
    upstream: &Upstream,
) -> RelayAnswer {
    let hosts = hosts_to_ask(traffic, upstream, &|_| true, MAX_HOSTS_CHECKED);
    let asked = hosts.iter().map(|host| ask(traffic, upstream, host, true));
    let mut asked: FuturesUnordered<_> = asked.collect();
    let mut answer = RelayAnswer::Unknown;
    while let Some((status, _)) = asked.next().await {
        answer = match status {
            RelayStatus::Open => return RelayAnswer::Answered,
            RelayStatus::UpstreamSilent => RelayAnswer::Silent,
            RelayStatus::UpstreamRefuses if answer == RelayAnswer::Unknown => RelayAnswer::Refuses,
            _ => answer,
        };
    }
    answer
}

/// Asks one host; no answer counts as [`RelayStatus::Unavailable`].
async fn ask(
    traffic: &Traffic,
    upstream: &Upstream,
    host: &RelayHost,
    is_check: bool,
) -> (RelayStatus, Option<RelayedStream<TcpStream>>) {
    let asking = async {
        let key = traffic.common.relay_key.load_full();
        let key = key.ok_or(RelayError::NoKey)?;
        let stream = upstream::connect(host.address).await?;
        let request = RelayRequest {
            from: traffic.common.settings.host.clone(),
            to: host.name.clone(),
            service: upstream.report.service.clone(),
            upstream: upstream.report.id.clone(),
            is_check,
            accepts_release: true,
        };
        request_relay(stream, &key, &request).await
    };
    let answer = timeout(RELAY_TIMEOUT, asking).await;
    let answer = answer.unwrap_or_else(|_| Err(RelayError::Io(io::ErrorKind::TimedOut.into())));
    let (status, stream) = answer.unwrap_or_else(|error| {
        tracing::debug!(event = "relay_not_heard", relay = host.name, %error);
        (RelayStatus::Unavailable, None)
    });
    metrics::counter!("stagedeck_relays_asked_total", "answer" => status.to_string()).increment(1);
    let now = clock::now();
    let mut records = traffic.paths.relay_records();
    match status {
        RelayStatus::Unavailable => records.refused(now, &host.name),
        RelayStatus::UpstreamUnreachable => {
            records.zone_unreached(now, &host.name, &upstream.report.zone);
        }
        RelayStatus::Full => {
            let held = traffic.connections.relayed_by(&host.name);
            records.full(now, &host.name, held);
        }
        // These answers are about the upstream.
        RelayStatus::Open
        | RelayStatus::UpstreamRefuses
        | RelayStatus::UpstreamUnknown
        | RelayStatus::UpstreamSilent => {}
    }
    drop(records);
    (status, stream)
}

/// The first `max` hosts to ask for a relay.
fn hosts_to_ask(
    traffic: &Traffic,
    upstream: &Upstream,
    may_pass: &dyn Fn(&str) -> bool,
    max: usize,
) -> Vec<RelayHost> {
    let settings = &traffic.common.settings;
    let view = traffic.common.view.load();
    let hosts = view
        .relay_hosts
        .values()
        .filter(|host| may_pass(&host.region));
    let own = Place {
        zone: &settings.zone,
        region: &settings.region,
    };
    let zone = &upstream.report.zone;
    let upstream_place = Place {
        zone,
        region: settings.regions.get(zone).map_or("", String::as_str),
    };
    let now = clock::now();
    let records = traffic.paths.relay_records();
    let has_failed = |host: &RelayHost| records.has_failed(now, &host.name, zone);
    let order = relay_order(hosts, own, upstream_place, has_failed, rand::random());
    order.into_iter().take(max).cloned().collect()
}
