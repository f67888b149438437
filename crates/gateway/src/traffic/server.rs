//! Listeners and connections.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use steering::route::LookUpHost;
use tokio::net::TcpStream;
use tokio::pin;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;
use upstream::{Body, full};

use super::answers::status;
use super::open_answer::OpenAnswer;
use super::open_connection::OpenConnection;
use super::{Traffic, forward, look_up, operator, paths};
use crate::host::Stage;

/// Pause after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer for heads that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;
/// Fraction of the open files available to callers' connections. The rest is for upstreams, the
/// store and other hosts.
const CALLER_CONNECTIONS_FRACTION: f64 = 0.6;

/// Purpose of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Callers' requests.
    Callers,
    /// Callers' host lookups, and readiness checks.
    Checks,
    /// Metrics and operators' commands.
    Metrics,
    /// Other hosts' requests for relays.
    Relays,
}

/// Accepts connections until the task is aborted.
pub(super) fn accept(
    traffic: &Arc<Traffic>,
    listener: TcpListener,
    purpose: Purpose,
) -> JoinHandle<()> {
    let traffic = Arc::clone(traffic);
    spawn_local(async move {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                tracing::error!(event = "listen_failed", %error);
                return;
            }
        };
        let max_connections =
            f64::from(traffic.common.settings.open_files) * CALLER_CONNECTIONS_FRACTION;
        loop {
            match listener.accept().await {
                // The connection is closed without reading, so that the caller can try another
                // host.
                Ok(_)
                    if purpose == Purpose::Callers
                        && f64::from(traffic.open_connections.load(Ordering::Relaxed))
                            >= max_connections =>
                {
                    tracing::warn!(
                        event = "connection_refused",
                        open = traffic.open_connections.load(Ordering::Relaxed)
                    );
                }
                Ok((stream, peer)) if purpose == Purpose::Relays => {
                    let _ = stream.set_nodelay(true);
                    spawn_local(paths::serve_relay(Arc::clone(&traffic), stream, peer));
                }
                Ok((stream, peer)) => {
                    let _ = stream.set_nodelay(true);
                    spawn_local(serve(Arc::clone(&traffic), stream, peer, purpose));
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    })
}

async fn serve(traffic: Arc<Traffic>, stream: TcpStream, peer: SocketAddr, purpose: Purpose) {
    let _open = (purpose == Purpose::Callers).then(|| OpenConnection::new(&traffic));
    let limits = traffic.common.view.load().limits;
    let mut stage = traffic.common.stage.clone();
    let closing_traffic = Arc::clone(&traffic);
    let own_ip = traffic.common.settings.caller_address.ip();
    let is_own = peer.ip() == own_ip || peer.ip().is_loopback();
    let open_answer = OpenAnswer::default();
    let answers = open_answer.clone();
    let service = service_fn(move |request| {
        let traffic = Arc::clone(&traffic);
        let answers = answers.clone();
        async move {
            let mut answer = match purpose {
                Purpose::Callers => forward::answer(&traffic, request, &answers).await,
                Purpose::Checks => check(&traffic, &request),
                Purpose::Metrics => operator::answer(&traffic, &request, is_own),
                Purpose::Relays => status(StatusCode::NOT_FOUND),
            };
            if traffic.is_leaving() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the idle time between requests as time for reading the next head.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    pin!(connection);
    let closing = async {
        let leaving = stage.wait_for(|stage| *stage != Stage::Serving).await;
        let since = match leaving.as_deref() {
            Ok(Stage::Leaving { since }) => *since,
            _ => return,
        };
        drop(leaving);
        let begin_until = since + closing_traffic.stop_timetable().begin_until;
        sleep(clock::remaining(begin_until)).await;
    };
    pin!(closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => return log_end(ended),
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = open_answer.until_late() => {
                metrics::counter!("stagedeck_answers_cut_total").increment(1);
                tracing::warn!(event = "answer_cut", %peer);
                return;
            }
        }
    }
}

fn log_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", %error);
    }
}

/// Answers a host lookup or a readiness check.
fn check(traffic: &Arc<Traffic>, request: &Request<Incoming>) -> Response<Body> {
    let (method, uri) = (request.method(), request.uri());
    let view = traffic.common.view.load();
    let settings = &traffic.common.settings;
    let serves = view.is_ready() && !traffic.is_leaving();
    if traffic.wire_format.is_readiness_check(method, uri) {
        return status(match serves {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
    let Some(lookup) = traffic.wire_format.parse_host_lookup(method, uri) else {
        return status(StatusCode::NOT_FOUND);
    };
    let this_host = serves.then(|| LookUpHost {
        address: settings.caller_address,
        zone: settings.zone.clone(),
        capacity: settings.capacity,
        condition: **traffic.common.condition.load(),
    });
    let hosts = look_up::hosts(&view, settings, &lookup, this_host);
    let outcome = match hosts.is_empty() {
        true => "no_host",
        false => "named",
    };
    metrics::counter!("stagedeck_look_ups_total", "outcome" => outcome).increment(1);
    if hosts.is_empty() {
        tracing::info!(event = "look_up_refused", is_ready = view.is_ready());
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = traffic
        .wire_format
        .host_lookup_response(&hosts, look_up::ttl(&traffic.common.bounds()));
    let mut answer = Response::new(full(body));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
