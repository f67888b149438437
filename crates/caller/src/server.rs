//! The listeners for callers and for relayed requests.

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
use crate::entry::{from_caller, from_host};
use crate::guarded::{Guarded, HeadWatch, Suspect};
use crate::shared::Shared;

const ADVANCE_EVERY: Duration = Duration::from_millis(10);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Least that hyper takes as its buffer for heads.
const HEAD_BYTES_LEAST: usize = 8_192;

/// Sockets that a host listens on.
pub struct Listeners {
    /// For callers.
    pub callers: std::net::TcpListener,
    /// For other hosts.
    pub relays: std::net::TcpListener,
}

/// Who is at the other end of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Side {
    Caller,
    Host,
}

/// Serves until `stop` is true and every connection has ended.
///
/// From then on idle connections are closed, and each busy one after its answer.
pub async fn serve(
    shared: Arc<Shared>,
    listeners: Listeners,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let callers = listen(listeners.callers)?;
    let relays = listen(listeners.relays)?;
    let advance = tokio::spawn(advance(Arc::clone(&shared)));
    let callers = accept(Arc::clone(&shared), callers, Side::Caller, stop.clone());
    let relays = accept(Arc::clone(&shared), relays, Side::Host, stop);
    tokio::join!(callers, relays);
    advance.abort();
    Ok(())
}

fn listen(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn advance(shared: Arc<Shared>) {
    let mut timer = tokio::time::interval(ADVANCE_EVERY);
    loop {
        timer.tick().await;
        shared.gate.advance();
    }
}

async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    side: Side,
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
                // Counted in the order of arrival, before the task first runs.
                let counted = Counted::new(&shared);
                connections.spawn(connection(counted, stream, peer, side, stop.clone()));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(
    counted: Counted,
    mut stream: TcpStream,
    peer: SocketAddr,
    side: Side,
    mut stop: watch::Receiver<bool>,
) {
    let shared = Arc::clone(&counted.shared);
    if counted.number > shared.config.limits.connections {
        refuse(&mut stream).await;
        return;
    }
    let _ = stream.set_nodelay(true);
    let limits = &shared.config.limits;
    let suspect = Suspect::default();
    let watch = HeadWatch::new(limits.head_bytes, Arc::clone(&suspect));
    let stall = Duration::from_millis(limits.stall_timeout_ms);
    let guarded = Guarded::new(stream, watch, stall);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .max_headers(limits.header_fields)
        .max_buf_size(limits.head_bytes.max(HEAD_BYTES_LEAST))
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms));
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        let suspect = Arc::clone(&suspect);
        async move {
            Ok::<_, Infallible>(match side {
                Side::Caller => from_caller(shared, request, peer, suspect).await,
                Side::Host => from_host(shared, request).await,
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

/// Counts an open connection.
struct Counted {
    shared: Arc<Shared>,
    /// Connections open when this one came, itself included.
    number: u32,
}

impl Counted {
    fn new(shared: &Arc<Shared>) -> Self {
        Counted {
            number: shared.open_connections.fetch_add(1, Ordering::AcqRel) + 1,
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Says that the host is full, before anything is read.
async fn refuse(stream: &mut TcpStream) {
    let failed = Failure::before_ticket(ErrorKind::HostBusy);
    let answer = format!(
        "HTTP/1.1 {} Service Unavailable\r\nstagedeck-error: {}\r\nstagedeck-not-run: {}\r\n\
         retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        failed.kind.response().status,
        failed.kind,
        failed.not_run
    );
    // A caller that does not read its refusal is no longer of interest.
    let _ = stream.write_all(answer.as_bytes()).await;
}
