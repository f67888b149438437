//! The HTTP servers for callers and for relayed requests.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use steering::error::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::answers::Failure;
use crate::guarded_stream::{AmbiguousHead, GuardedStream, HeadChecker};
use crate::handlers::{from_caller, from_host};
use crate::shared::SharedState;

/// Time between two checks of the queued requests.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest buffer for request heads that hyper accepts.
const MIN_HEAD_BYTES: usize = 8_192;

/// Listening sockets for HTTP.
pub struct Listeners {
    /// Accepts requests of callers.
    pub callers: std::net::TcpListener,
    /// Accepts requests that other hosts relay.
    pub relays: std::net::TcpListener,
}

/// Kind of the client of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Client {
    Caller,
    Host,
}

/// Serves HTTP until `stop` is true and every connection has ended.
///
/// Once `stop` is true, idle connections are closed at once, and busy ones after their
/// response.
///
/// # Errors
///
/// A socket can't be set to non-blocking mode.
pub async fn serve(
    shared: Arc<SharedState>,
    listeners: Listeners,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let callers = listen(listeners.callers)?;
    let relays = listen(listeners.relays)?;
    let advance = tokio::spawn(advance(Arc::clone(&shared)));
    let callers = accept(Arc::clone(&shared), callers, Client::Caller, stop.clone());
    let relays = accept(Arc::clone(&shared), relays, Client::Host, stop);
    tokio::join!(callers, relays);
    advance.abort();
    Ok(())
}

fn listen(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Admits or refuses queued requests at regular intervals.
async fn advance(shared: Arc<SharedState>) {
    let mut timer = tokio::time::interval(ADVANCE_INTERVAL);
    loop {
        timer.tick().await;
        shared.pools.advance();
    }
}

async fn accept(
    shared: Arc<SharedState>,
    listener: TcpListener,
    client: Client,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
            _ = connections.join_next(), if !connections.is_empty() => continue,
        };
        match accepted {
            Ok((stream, peer)) => {
                // Counted before the task first runs, so that the limit applies in the order
                // of arrival.
                let counted = CountedConnection::new(&shared);
                connections.spawn(connection(counted, stream, peer, client, stop.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(
    counted: CountedConnection,
    mut stream: TcpStream,
    peer: SocketAddr,
    client: Client,
    mut stop: watch::Receiver<bool>,
) {
    let shared = Arc::clone(&counted.shared);
    if counted.number > shared.config.limits.connections {
        refuse(&mut stream).await;
        return;
    }
    let _ = stream.set_nodelay(true);
    let limits = &shared.config.limits;
    let ambiguous = AmbiguousHead::default();
    let checker = HeadChecker::new(limits.head_bytes, Arc::clone(&ambiguous));
    let stall_timeout = Duration::from_millis(limits.stall_timeout_ms);
    let guarded = GuardedStream::new(stream, checker, stall_timeout);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .max_headers(limits.header_fields)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES))
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms));
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        let ambiguous = Arc::clone(&ambiguous);
        async move {
            Ok::<_, Infallible>(match client {
                Client::Caller => from_caller(shared, request, peer, ambiguous).await,
                Client::Host => from_host(shared, request).await,
            })
        }
    });
    let serving = http.serve_connection(TokioIo::new(guarded), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => Some(ended),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", %peer, %error);
    }
}

/// Counts a connection as open until dropped.
struct CountedConnection {
    shared: Arc<SharedState>,
    /// Number of open connections when this one was accepted, itself included.
    number: u32,
}

impl CountedConnection {
    fn new(shared: &Arc<SharedState>) -> Self {
        CountedConnection {
            number: shared.open_connections.fetch_add(1, Ordering::AcqRel) + 1,
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Answers that the host has no room for another connection, without reading a request.
async fn refuse(stream: &mut TcpStream) {
    let failed = Failure::before_ticket(ErrorKind::HostBusy);
    let answer = format!(
        "HTTP/1.1 {} Service Unavailable\r\nstagedeck-error: {}\r\nstagedeck-not-run: {}\r\n\
         retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        failed.kind.response().status,
        failed.kind,
        failed.not_run
    );
    // Nothing is left to do for a caller that does not read the response.
    let _ = stream.write_all(answer.as_bytes()).await;
}
