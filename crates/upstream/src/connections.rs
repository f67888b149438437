//! HTTP/1 connections by address, counted and reused.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::headers::keep_alive;
use crate::{Body, TrackedBody};

/// A host that has vanished answers nothing at all; others are asked instead.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Time before an upstream closes an idle connection, as it has said, from which on nothing is
/// sent on it: longer than a way between regions. What meets the close is lost.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);
const RECENT: Duration = Duration::from_millis(500);
const MAX_HEADERS: usize = 128;
/// Buffer for what is read, in bytes. hyper's own grows with large answers, and hosts
/// pay for their peak of memory.
const READ_BYTES: usize = 8 << 10;

/// Which idle connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any: a request that is lost with a closing connection can be repeated.
    Any,
    /// Only one that was in use a moment ago, else a new one.
    Recent,
}

/// Why a request got no answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// Nothing of it was sent; it is returned where its body is still whole.
    #[display("not sent: {reason}")]
    NotSent {
        /// Why.
        reason: String,
        /// The request.
        #[error(not(source))]
        request: Option<Box<Request<Body>>>,
    },
    /// It was sent, at least in part.
    #[display("sent, no answer: {reason}")]
    Lost {
        /// Why.
        reason: String,
    },
    /// The deadline passed after it was sent, at least in part.
    #[display("sent, no answer before the deadline")]
    Timeout,
}

impl SendError {
    fn not_sent(reason: impl ToString, request: Request<Body>) -> Self {
        SendError::NotSent {
            reason: reason.to_string(),
            request: Some(Box::new(request)),
        }
    }
}

/// An open connection that is not in use.
struct Idle {
    sender: SendRequest<Body>,
    open: Open,
    since: Instant,
    /// Until when it may be used again.
    until: Instant,
}

/// Counts an open connection and closes it when dropped.
pub(crate) struct Open {
    count: Arc<AtomicU32>,
    task: AbortHandle,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.task.abort();
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Default)]
struct Peer {
    idle: Vec<Idle>,
    /// Connections open or being opened, idle ones included.
    open: Arc<AtomicU32>,
}

/// All connections of a process that leave it.
#[derive(Clone, Default)]
pub struct Connections {
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

/// A connection in use, on which nothing of the next request has been sent yet.
pub struct Lease {
    connections: Connections,
    address: SocketAddr,
    sender: SendRequest<Body>,
    open: Open,
    /// Time for which it may rest before the next request.
    idle_limit: Duration,
}

impl Lease {
    /// Sends a request, and waits for the head of its answer.
    pub async fn send(
        mut self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<TrackedBody>, SendError> {
        let answer = timeout(
            clock::remaining(deadline),
            self.sender.try_send_request(request),
        )
        .await;
        match answer {
            Ok(Ok(answer)) => {
                if let Some(told) = keep_alive(answer.headers()) {
                    self.idle_limit = told.saturating_sub(CLOSE_MARGIN).min(IDLE_LIMIT);
                }
                Ok(answer.map(|body| TrackedBody::new(body, self)))
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(request) => Err(SendError::not_sent(error.error(), request)),
                None => Err(SendError::Lost {
                    reason: error.into_error().to_string(),
                }),
            },
            Err(_) => Err(SendError::Timeout),
        }
    }

    /// Gives the connection back for the next request.
    pub fn give_back(self) {
        let since = clock::now();
        let idle = Idle {
            sender: self.sender,
            open: self.open,
            since,
            until: since + self.idle_limit,
        };
        let mut peers = self.connections.lock();
        peers.entry(self.address).or_default().idle.push(idle);
    }
}

impl Connections {
    /// Sends a request, at most once, and waits for the head of its answer.
    ///
    /// At most `limit` connections to the address are open at the same time.
    /// Dropping the answer's body before its end closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        limit: u32,
        reuse: Reuse,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<TrackedBody>, SendError> {
        match self.connect(address, limit, reuse, deadline).await {
            Ok(lease) => lease.send(request, deadline).await,
            Err(reason) => Err(SendError::not_sent(reason, request)),
        }
    }

    /// A connection for one request; why there is none, where there is none.
    pub async fn connect(
        &self,
        address: SocketAddr,
        limit: u32,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Lease, String> {
        let lease = timeout(
            clock::remaining(deadline),
            self.lease(address, limit, reuse),
        )
        .await;
        match lease {
            Ok(lease) => lease.map_err(|error| error.to_string()),
            Err(_) => Err("connecting took too long".to_owned()),
        }
    }

    /// Whether nobody listens at an address any more: a new connection is refused. One that
    /// is not answered says nothing.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let refused = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
        matches!(connected, Ok(Err(error)) if refused(&error))
    }

    /// Connections open to an address.
    pub fn open(&self, address: SocketAddr) -> u32 {
        let peers = self.lock();
        let open = peers
            .get(&address)
            .map(|peer| peer.open.load(Ordering::Acquire));
        open.unwrap_or(0)
    }

    async fn lease(&self, address: SocketAddr, limit: u32, reuse: Reuse) -> std::io::Result<Lease> {
        while let Some(mut idle) = self.take_idle(address, reuse) {
            if idle.sender.ready().await.is_ok() {
                return Ok(self.leased(address, idle.sender, idle.open));
            }
        }
        let count = self.count_one(address, limit)?;
        let connected = timeout(CONNECT_LIMIT, connect(address)).await;
        let late = || Err(std::io::ErrorKind::TimedOut.into());
        let (sender, task) = match connected.unwrap_or_else(|_| late()) {
            Ok(connected) => connected,
            Err(error) => {
                count.fetch_sub(1, Ordering::AcqRel);
                return Err(error);
            }
        };
        Ok(self.leased(address, sender, Open { count, task }))
    }

    fn leased(&self, address: SocketAddr, sender: SendRequest<Body>, open: Open) -> Lease {
        Lease {
            connections: self.clone(),
            address,
            sender,
            open,
            idle_limit: IDLE_LIMIT,
        }
    }

    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Idle> {
        let oldest = match reuse {
            Reuse::Any => IDLE_LIMIT,
            Reuse::Recent => RECENT,
        };
        let mut peers = self.lock();
        let peer = peers.get_mut(&address)?;
        let now = clock::now();
        peer.idle
            .retain(|idle| idle.until > now && !idle.sender.is_closed());
        let last = peer.idle.last()?;
        if clock::elapsed(last.since) >= oldest {
            return None;
        }
        peer.idle.pop()
    }

    fn count_one(&self, address: SocketAddr, limit: u32) -> std::io::Result<Arc<AtomicU32>> {
        let mut peers = self.lock();
        let peer = peers.entry(address).or_default();
        if peer.open.load(Ordering::Acquire) >= limit {
            peer.idle.pop();
        }
        if peer.open.load(Ordering::Acquire) >= limit {
            return Err(std::io::Error::other("all connections are in use"));
        }
        peer.open.fetch_add(1, Ordering::AcqRel);
        Ok(Arc::clone(&peer.open))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<(SendRequest<Body>, AbortHandle)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .read_buf_exact_size(Some(READ_BYTES))
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move {
        // Its error reaches whoever waits for the answer or reads its body.
        let _ = connection.await;
    });
    Ok((sender, task.abort_handle()))
}
