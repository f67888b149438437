//! HTTP/1 connection pools by address.

use std::collections::HashMap;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Parts, SendRequest};
use hyper::{Method, Request, Response, Version};
use hyper_util::rt::TokioIo;
use steering::ids::{HostName, RegionName};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::headers::keep_alive;
use crate::upload::Upload;
use crate::{AnswerError, Body, BodyFraming, RequestFraming, SendError, Surplus, TrackedBody};

/// Maximum time to open a connection. A host that has vanished does not answer at all, and other
/// hosts are tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for which an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Time before the close of an idle connection, as stated by the upstream, during which the
/// connection is not used. Longer than the one-way delay between regions, since a request that
/// arrives after the close is lost.
const CLOSE_MARGIN: Duration = Duration::from_millis(300);
/// Maximum idle time of a connection for [`Reuse::Recent`].
const MAX_RECENT_IDLE_TIME: Duration = Duration::from_millis(500);
/// Maximum age of a relayed connection that is used again, so that connections return to the direct
/// path gradually.
const MAX_RELAYED_AGE: Duration = Duration::from_secs(10);
const MAX_HEADERS: usize = 128;
/// Size of the read buffer, in bytes. The default buffer of hyper grows with large answers, and
/// the peak memory of a host counts.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Number of a connection, never used again in the same process.
pub type ConnectionId = u64;

/// Which idle connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection, for requests that can be repeated if they are lost with a closing
    /// connection.
    Any,
    /// Only a connection that was in use during the last 500 ms, otherwise a new one.
    Recent,
}

/// Another host that relays a connection.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Name of the host.
    pub host: HostName,
    /// Region of the host.
    pub region: RegionName,
    /// Whether the host has asked for the release of the connection, which is then closed after
    /// the request under way.
    pub is_released: Arc<AtomicBool>,
}

/// Why no connection was opened.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// As many connections to the address as allowed are in use.
    #[display("all connections are in use")]
    AllInUse,
    /// The process can't open a connection, most often because no descriptor is left.
    #[display("{_0}")]
    Local(std::io::Error),
    /// The address could not be reached in time, or refused the connection.
    #[display("{_0}")]
    Unreachable(std::io::Error),
}

impl ConnectError {
    /// Classifies the error of a connection attempt.
    fn of_peer(error: std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::TimedOut
            | ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NotConnected
            | ErrorKind::BrokenPipe
            | ErrorKind::UnexpectedEof => ConnectError::Unreachable(error),
            _ => ConnectError::Local(error),
        }
    }
}

/// A counted connection that is being opened.
struct Reservation(Option<Arc<AtomicU32>>);

impl Reservation {
    /// Leaves the connection counted.
    fn keep(mut self) -> Arc<AtomicU32> {
        self.0.take().expect("only this function takes it")
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(count) = self.0.take() {
            count.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// An open connection that is not in use.
struct IdleConnection {
    sender: SendRequest<Body>,
    /// Upload of the last request, which may outlast its answer. The connection is not used before
    /// its end.
    upload: Upload,
    open: OpenConnection,
    since: Instant,
    /// Instant after which the connection must not be used.
    expires_at: Instant,
}

/// Counts an open connection and closes it when dropped.
pub(crate) struct OpenConnection {
    id: ConnectionId,
    count: Arc<AtomicU32>,
    task: AbortHandle,
    /// What was received and not read, once the connection has ended.
    surplus: oneshot::Receiver<Surplus>,
    opened_at: Instant,
    /// `None` for a direct connection.
    relay: Option<Relay>,
    relayed: Arc<RelayedConnections>,
}

impl OpenConnection {
    fn is_released(&self) -> bool {
        let relay = self.relay.as_ref();
        relay.is_some_and(|relay| relay.is_released.load(Ordering::Acquire))
    }

    fn is_relayed_by(&self, host: &str) -> bool {
        self.relay.as_ref().is_some_and(|relay| relay.host == host)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
        self.count.fetch_sub(1, Ordering::AcqRel);
        if let Some(relay) = &self.relay {
            self.relayed.closed(&relay.host);
        }
    }
}

/// Open connections that other hosts relay.
#[derive(Default)]
struct RelayedConnections {
    /// Connections by relaying host.
    counts: Mutex<HashMap<HostName, u32>>,
    /// Notified when a connection is closed or no longer in use.
    freed: Notify,
}

impl RelayedConnections {
    fn counts(&self) -> MutexGuard<'_, HashMap<HostName, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn opened(&self, host: &HostName) {
        *self.counts().entry(host.clone()).or_default() += 1;
    }

    fn closed(&self, host: &str) {
        let mut counts = self.counts();
        if let Some(count) = counts.get_mut(host) {
            *count -= 1;
            if *count == 0 {
                counts.remove(host);
            }
        }
        drop(counts);
        self.freed.notify_one();
    }
}

#[derive(Default)]
struct Peer {
    idle: Vec<IdleConnection>,
    /// Connections open or being opened, idle ones included.
    open: Arc<AtomicU32>,
}

/// All outgoing HTTP connections of a process. Clones share the connections.
#[derive(Clone, Default)]
pub struct Connections {
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    /// Connections opened so far.
    opened: Arc<AtomicU64>,
    relayed: Arc<RelayedConnections>,
}

/// A connection in use, on which nothing of the next request has been sent yet.
pub struct Lease {
    connections: Connections,
    address: SocketAddr,
    sender: SendRequest<Body>,
    open: OpenConnection,
    /// Whether no request has been sent on the connection yet.
    is_new: bool,
    /// Maximum idle time before the next request.
    max_idle_time: Duration,
    /// Upload of the last request, which may outlast the answer.
    upload: Upload,
}

impl Lease {
    /// Address of the server.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of the connection.
    pub fn id(&self) -> ConnectionId {
        self.open.id
    }

    /// The host that relays the connection; `None` if it is direct.
    pub fn relay(&self) -> Option<&Relay> {
        self.open.relay.as_ref()
    }

    /// Whether no request has been sent on the connection yet.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Sends a request, and waits for the headers of the answer and the first bytes of its body. The
    /// answer is to be accepted with [`TrackedBody::accept`] once it is known to belong to the
    /// request.
    pub async fn send(
        self,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<TrackedBody>, SendError> {
        let answer = timeout(clock::remaining(deadline), self.exchange(request)).await;
        answer.unwrap_or(Err(SendError::Timeout))
    }

    async fn exchange(
        mut self,
        mut request: Request<Body>,
    ) -> Result<Response<TrackedBody>, SendError> {
        let framing = RequestFraming::of(request.headers(), request.body());
        framing.replace_fields(request.headers_mut());
        let method = request.method().clone();
        let request = request.map(|body| self.upload.track(body));
        match self.sender.try_send_request(request).await {
            Ok(answer) => self.receive(&method, answer).await,
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::not_sent(error.error(), request)),
                None => Err(SendError::Lost {
                    reason: error.into_error().to_string(),
                }),
            },
        }
    }

    /// Checks what follows an answer that was read to its end. Must not be called again after it
    /// has returned [`Poll::Ready`].
    ///
    /// Considers only bytes that have arrived. Does not wait while the request may still be being
    /// sent, since the upstream may never read the rest of it.
    pub(crate) fn poll_surplus(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), AnswerError>> {
        match self.sender.poll_ready(context) {
            // hyper has checked for further bytes before it accepts the next request.
            Poll::Ready(Ok(())) => Poll::Ready(Ok(())),
            Poll::Ready(Err(_)) => {
                let surplus = ready!(Pin::new(&mut self.open.surplus).poll(context));
                Poll::Ready(match surplus.unwrap_or(Surplus::Nothing) {
                    Surplus::Nothing | Surplus::Answer => Ok(()),
                    Surplus::Other => Err(AnswerError::Surplus),
                })
            }
            Poll::Pending if self.upload.has_begun() => Poll::Ready(Ok(())),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Checks the beginning of an answer, and replaces what its head says of its connection.
    async fn receive(
        mut self,
        method: &Method,
        answer: Response<Incoming>,
    ) -> Result<Response<TrackedBody>, SendError> {
        let (mut head, body) = answer.into_parts();
        let framing = BodyFraming::read(method, &head)
            .map_err(|reason| SendError::InvalidAnswer { reason })?;
        if let Some(keep_alive_time) = keep_alive(&head.headers) {
            self.max_idle_time = keep_alive_time
                .saturating_sub(CLOSE_MARGIN)
                .min(MAX_IDLE_TIME);
        }
        framing.replace_fields(&mut head.headers);
        // The version describes the upstream's connection only (RFC 9110, section 2.5).
        head.version = Version::HTTP_11;
        let body = TrackedBody::begin(framing, body, self).await?;
        Ok(Response::from_parts(head, body))
    }

    /// Returns the connection for the next request. A released one is closed.
    pub fn give_back(self) {
        if self.open.is_released() {
            return;
        }
        let connections = self.connections.clone();
        let is_relayed = self.open.relay.is_some();
        let since = clock::now();
        let mut expires_at = since + self.max_idle_time;
        if self.open.relay.is_some() {
            expires_at = expires_at.min(self.open.opened_at + MAX_RELAYED_AGE);
        }
        let idle = IdleConnection {
            sender: self.sender,
            upload: self.upload,
            open: self.open,
            since,
            expires_at,
        };
        let mut peers = connections.lock();
        peers.entry(self.address).or_default().idle.push(idle);
        drop(peers);
        if is_relayed {
            connections.relayed.freed.notify_one();
        }
    }
}

impl Connections {
    /// Sends a request, at most once, and waits for the headers of the answer.
    ///
    /// At most `max_connections` to the address are open at the same time. Dropping the answer's
    /// body before its end closes the connection. The answer is to be accepted as for
    /// [`Lease::send`].
    pub async fn send(
        &self,
        address: SocketAddr,
        max_connections: u32,
        reuse: Reuse,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<TrackedBody>, SendError> {
        match self
            .connect(address, max_connections, reuse, deadline)
            .await
        {
            Ok(lease) => lease.send(request, deadline).await,
            Err(reason) => Err(SendError::not_sent(reason, request)),
        }
    }

    /// Returns a connection for one request.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no connection before the deadline.
    pub async fn connect(
        &self,
        address: SocketAddr,
        max_connections: u32,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Lease, String> {
        let lease = timeout(
            clock::remaining(deadline),
            self.lease(address, max_connections, reuse),
        )
        .await;
        match lease {
            Ok(lease) => lease.map_err(|error| error.to_string()),
            Err(_) => Err("connecting took too long".to_owned()),
        }
    }

    /// Whether a new connection to the address is refused, so that nothing listens there. Returns
    /// false if the connection attempt gets no answer.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let connected = connect(address).await;
        connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Returns the number of connections to an address, including idle ones.
    pub fn open(&self, address: SocketAddr) -> u32 {
        let peers = self.lock();
        let open = peers
            .get(&address)
            .map(|peer| peer.open.load(Ordering::Acquire));
        open.unwrap_or(0)
    }

    /// Returns the number of connections to all addresses, including idle ones.
    pub fn total(&self) -> u32 {
        let peers = self.lock();
        let open = peers.values().map(|peer| peer.open.load(Ordering::Acquire));
        open.sum()
    }

    /// Returns the number of open connections that a host relays.
    pub fn relayed_by(&self, host: &str) -> u32 {
        self.relayed.counts().get(host).copied().unwrap_or(0)
    }

    /// Returns the number of open connections that other hosts relay.
    pub fn relayed(&self) -> u32 {
        self.relayed.counts().values().sum()
    }

    /// Waits until a connection that another host relays is closed or no longer in use.
    pub async fn relayed_freed(&self) {
        self.relayed.freed.notified().await;
    }

    /// Closes the connection relayed by a host that has not been in use for the longest time.
    /// Returns whether there was one that is not in use.
    pub fn close_idle_relayed(&self, host: &str) -> bool {
        let mut peers = self.lock();
        let idle = peers.iter().flat_map(|(address, peer)| {
            let relayed = peer.idle.iter().enumerate();
            let relayed = relayed.filter(|(_, idle)| idle.open.is_relayed_by(host));
            relayed.map(|(index, idle)| (idle.since, *address, index))
        });
        let Some((_, address, index)) = idle.min() else {
            return false;
        };
        let peer = peers.get_mut(&address);
        let closed = peer.map(|peer| peer.idle.remove(index));
        drop(peers);
        closed.is_some()
    }

    /// Closes the connections to an address that have been released and are not in use.
    pub fn close_released(&self, address: SocketAddr) {
        let mut peers = self.lock();
        let Some(peer) = peers.get_mut(&address) else {
            return;
        };
        let idle = std::mem::take(&mut peer.idle);
        let (released, kept) = idle.into_iter().partition(|idle| idle.open.is_released());
        peer.idle = kept;
        drop(peers);
        drop::<Vec<IdleConnection>>(released);
    }

    /// Returns an open connection that is not in use; `None` if there is none. `may_use` is asked
    /// with the number and the relay of a connection.
    pub async fn take_open(
        &self,
        address: SocketAddr,
        reuse: Reuse,
        may_use: impl Fn(ConnectionId, Option<&Relay>) -> bool,
    ) -> Option<Lease> {
        while let Some(mut idle) = self.take_idle(address, reuse, &may_use) {
            if idle.sender.ready().await.is_ok() {
                return Some(Lease {
                    is_new: false,
                    ..self.new_lease(address, idle.sender, idle.open)
                });
            }
        }
        None
    }

    /// Opens a direct connection.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError::Unreachable`] if the address does not accept a connection within
    /// 300 ms.
    pub async fn open_direct(
        &self,
        address: SocketAddr,
        max_connections: u32,
    ) -> Result<Lease, ConnectError> {
        self.open_with(address, max_connections, None, connect(address))
            .await
    }

    /// Opens a connection over the stream that `connecting` returns.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError`] if all connections are in use or `connecting` fails.
    pub async fn open_with<S>(
        &self,
        address: SocketAddr,
        max_connections: u32,
        relay: Option<Relay>,
        connecting: impl Future<Output = std::io::Result<S>>,
    ) -> Result<Lease, ConnectError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let count = self.reserve(address, max_connections)?;
        let reservation = Reservation(Some(count));
        let stream = connecting.await.map_err(ConnectError::of_peer)?;
        let driven = handshake(stream).await.map_err(ConnectError::of_peer)?;
        if let Some(relay) = &relay {
            self.relayed.opened(&relay.host);
        }
        let open = OpenConnection {
            id: self.opened.fetch_add(1, Ordering::Relaxed),
            count: reservation.keep(),
            task: driven.task,
            surplus: driven.surplus,
            opened_at: clock::now(),
            relay,
            relayed: Arc::clone(&self.relayed),
        };
        Ok(self.new_lease(address, driven.sender, open))
    }

    async fn lease(
        &self,
        address: SocketAddr,
        max_connections: u32,
        reuse: Reuse,
    ) -> Result<Lease, ConnectError> {
        match self.take_open(address, reuse, |_, _| true).await {
            Some(lease) => Ok(lease),
            None => self.open_direct(address, max_connections).await,
        }
    }

    fn new_lease(
        &self,
        address: SocketAddr,
        sender: SendRequest<Body>,
        open: OpenConnection,
    ) -> Lease {
        Lease {
            connections: self.clone(),
            address,
            sender,
            open,
            is_new: true,
            max_idle_time: MAX_IDLE_TIME,
            upload: Upload::default(),
        }
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        reuse: Reuse,
        may_use: impl Fn(ConnectionId, Option<&Relay>) -> bool,
    ) -> Option<IdleConnection> {
        let oldest = match reuse {
            Reuse::Any => MAX_IDLE_TIME,
            Reuse::Recent => MAX_RECENT_IDLE_TIME,
        };
        let mut peers = self.lock();
        let peer = peers.get_mut(&address)?;
        let now = clock::now();
        peer.idle.retain(|idle| {
            idle.expires_at > now && !idle.sender.is_closed() && !idle.open.is_released()
        });
        let last = peer.idle.iter().rposition(|idle| {
            let may_use = may_use(idle.open.id, idle.open.relay.as_ref());
            may_use && !idle.upload.is_under_way()
        })?;
        if clock::elapsed(peer.idle[last].since) >= oldest {
            return None;
        }
        Some(peer.idle.remove(last))
    }

    /// Counts a new connection; first closes an idle one if all are open.
    fn reserve(
        &self,
        address: SocketAddr,
        max_connections: u32,
    ) -> Result<Arc<AtomicU32>, ConnectError> {
        let mut peers = self.lock();
        let peer = peers.entry(address).or_default();
        if peer.open.load(Ordering::Acquire) >= max_connections {
            peer.idle.pop();
        }
        if peer.open.load(Ordering::Acquire) >= max_connections {
            return Err(ConnectError::AllInUse);
        }
        peer.open.fetch_add(1, Ordering::AcqRel);
        Ok(Arc::clone(&peer.open))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects to an address. The connection is reset when it is closed, also by the end of the
/// process: a request that was given up must not be delivered later, when a cut has healed.
///
/// # Errors
///
/// Returns the error of the connection, [`ErrorKind::TimedOut`] after 300 ms.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    stream.set_zero_linger()?;
    Ok(stream)
}

/// A connection that a task of its own drives.
struct DrivenConnection {
    sender: SendRequest<Body>,
    task: AbortHandle,
    surplus: oneshot::Receiver<Surplus>,
}

async fn handshake<S>(stream: S) -> std::io::Result<DrivenConnection>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sender, mut connection) = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .read_buf_exact_size(Some(READ_BUFFER_BYTES))
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let (surplus_sender, surplus) = oneshot::channel();
    let task = tokio::spawn(async move {
        // Whoever waits for the answer or reads its body gets the error.
        let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
        let Parts { io, read_buf, .. } = connection.into_parts();
        // The receiver is gone if the connection is not in use.
        let _ = surplus_sender.send(Surplus::classify(&read_buf));
        // The other side may have closed the connection already.
        let _ = io.into_inner().shutdown().await;
    });
    Ok(DrivenConnection {
        sender,
        task: task.abort_handle(),
        surplus,
    })
}
