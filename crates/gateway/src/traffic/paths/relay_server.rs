//! Relays connections to upstreams for other hosts.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peer::relay::{RelayError, RelayRequest, RelayStatus, copy_to_frames, receive_request};
use steering::route::{RegionPool, Upstream, max_relays};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::DEFAULT_CONNECTIONS;
use super::relay_table::{LastBytes, RelayPermit, RelayedConnection};
use super::trial::{TRIAL_TIME, TrialFailure, try_directly};
use crate::traffic::Traffic;
use crate::traffic::open_connection::OpenConnection;

/// Time for a request to arrive after its connection.
const REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time after which a connection that carries no bytes is closed. The requesting host closes its
/// idle connections earlier, unless it has failed.
const MAX_QUIET_TIME: Duration = Duration::from_secs(60);
/// Time without bytes after an upstream's answer after which a leaving host closes a connection.
/// The requesting hosts have been told by then not to use it again.
const LEAVING_QUIET_TIME: Duration = Duration::from_millis(500);
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const BUFFER_BYTES: usize = 8 << 10;

/// Relays one connection for another host. Closes it at once if too many requests for relays are
/// being answered.
pub(in crate::traffic) async fn serve_relay(
    traffic: Arc<Traffic>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    match serve(&traffic, stream).await {
        Ok(()) => {}
        Err(error @ RelayError::Forged) => {
            tracing::warn!(event = "relay_refused", %peer, %error);
        }
        Err(error) => tracing::debug!(event = "relay_ended", %peer, %error),
    }
}

async fn serve(traffic: &Arc<Traffic>, stream: TcpStream) -> Result<(), RelayError> {
    let Ok(request_permit) = traffic.paths.relay_requests.try_acquire() else {
        return Err(RelayError::Io(io::ErrorKind::ResourceBusy.into()));
    };
    let key = traffic.common.relay_key.load_full();
    let key = key.ok_or(RelayError::NoKey)?;
    let receiving = receive_request(stream, &key, &traffic.common.settings.host);
    let received = timeout(REQUEST_TIME, receiving).await;
    let offer = received.unwrap_or(Err(RelayError::Unreadable))?;
    let (status, connection) = open(traffic, &offer.request).await;
    drop(request_permit);
    metrics::counter!("stagedeck_relays_served_total", "answer" => status.to_string()).increment(1);
    let host = offer.answer(&key, status).await?;
    if let Some((permit, upstream)) = connection {
        pass(traffic, &permit.connection, host, upstream).await;
    }
    Ok(())
}

/// Opens a connection for a request; none for one that only checks whether the upstream answers.
async fn open(
    traffic: &Traffic,
    request: &RelayRequest,
) -> (RelayStatus, Option<(RelayPermit, TcpStream)>) {
    if request.is_check {
        return (check(traffic, request).await, None);
    }
    let max = || {
        let own = traffic.own_connections();
        max_relays(traffic.common.settings.open_files, own)
    };
    let relayed = &traffic.paths.relayed;
    let permit = relayed
        .admit(&request.from, request.accepts_release, max)
        .await;
    let Some(permit) = permit else {
        tracing::warn!(
            event = "relays_full",
            host = request.from,
            relayed = relayed.total()
        );
        return (RelayStatus::Full, None);
    };
    let (status, stream) = connect(traffic, request).await;
    (status, stream.map(|stream| (permit, stream)))
}

/// Finds out whether the upstream that a request names answers on a new connection.
async fn check(traffic: &Traffic, request: &RelayRequest) -> RelayStatus {
    let upstream = match upstream_to_reach(traffic, request) {
        Ok(upstream) => upstream,
        Err(status) => return status,
    };
    match try_directly(traffic, &upstream, DEFAULT_CONNECTIONS, TRIAL_TIME).await {
        // The connection is closed: it would take room from those that are relayed.
        Ok(_) => RelayStatus::Open,
        Err(TrialFailure::Silent) => RelayStatus::UpstreamSilent,
        Err(TrialFailure::Refused) => RelayStatus::UpstreamRefuses,
        Err(TrialFailure::Failed) => RelayStatus::UpstreamUnreachable,
        Err(TrialFailure::Local) => RelayStatus::Unavailable,
    }
}

/// Connects to the upstream that a request names, if this host may send requests there itself.
async fn connect(traffic: &Traffic, request: &RelayRequest) -> (RelayStatus, Option<TcpStream>) {
    let upstream = match upstream_to_reach(traffic, request) {
        Ok(upstream) => upstream,
        Err(status) => return (status, None),
    };
    match upstream::connect(upstream.report.address).await {
        Ok(stream) => (RelayStatus::Open, Some(stream)),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            (RelayStatus::UpstreamRefuses, None)
        }
        Err(_) => (RelayStatus::UpstreamUnreachable, None),
    }
}

/// The upstream that a request names.
///
/// # Errors
///
/// Returns the status if this host does not know the upstream or does not relay to it now.
fn upstream_to_reach(
    traffic: &Traffic,
    request: &RelayRequest,
) -> Result<Arc<Upstream>, RelayStatus> {
    let upstream = find(traffic, request).ok_or(RelayStatus::UpstreamUnknown)?;
    match traffic.is_leaving() || traffic.paths.is_doubtful(&upstream) {
        true => Err(RelayStatus::Unavailable),
        false => Ok(upstream),
    }
}

/// The upstream in this host's own view, which lacks those that drain or are in an evacuated zone.
fn find(traffic: &Traffic, request: &RelayRequest) -> Option<Arc<Upstream>> {
    let view = traffic.common.view.load();
    let pool = view.services.get(&request.service)?;
    let regions = pool.regions.values();
    let mut upstreams = regions.flat_map(RegionPool::upstreams_of_all_versions);
    let found = upstreams.find(|upstream| upstream.report.id == request.upstream);
    found.map(Arc::clone)
}

/// Passes bytes on until either side ends, and closes both connections.
async fn pass(
    traffic: &Arc<Traffic>,
    connection: &RelayedConnection,
    host: TcpStream,
    mut upstream: TcpStream,
) {
    let _open = OpenConnection::new(traffic);
    let (mut from_host, mut to_host) = host.into_split();
    let (mut from_upstream, mut to_upstream) = upstream.split();
    let forward = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = from_host.read(&mut buffer).await {
            connection.note(false);
            if count == 0 || to_upstream.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = forward => {}
        // Without the last frame, the host takes the end of the connection for a failure.
        _ = copy_to_frames(
            &mut from_upstream,
            &mut to_host,
            connection.until_release(),
            || connection.note(true),
        ) => {}
        () = until_quiet(traffic, connection) => {}
    }
}

/// Waits until the connection is no longer needed.
async fn until_quiet(traffic: &Traffic, connection: &RelayedConnection) {
    loop {
        sleep(QUIET_CHECK_INTERVAL).await;
        let LastBytes { from_upstream, at } = connection.last_bytes();
        let quiet_time = clock::elapsed(at);
        let is_done = from_upstream && quiet_time > LEAVING_QUIET_TIME;
        if quiet_time > MAX_QUIET_TIME || (traffic.has_stopped_accepting() && is_done) {
            return;
        }
    }
}
