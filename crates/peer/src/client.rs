//! Client for calls to another host.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use derive_more::{Display, Error, From};
use futures::AsyncReadExt;
use hmac::Mac;
use steering::history::{Entry, Position};
use steering::ids::Revision;
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::route::{Changes, HostMessage, HostReply};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::codec::{
    read_grant, read_json, read_position, read_records, read_summaries, write_heartbeat,
    write_host, write_json, write_position, write_records, write_request, write_summaries,
};
use crate::messages::{
    EncodedUpdate, Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, StateQuery,
};
use crate::peer_capnp::{PROTOCOL_VERSION, gate, session};
use crate::traffic::{ByteCounter, PeerTraffic};
use crate::transit::ReplyTimes;
use crate::{ENTRIES_LIMIT, age_ms, instant_before, reader_options, session_tag};

/// Maximum number of pages of a feed's state, so that a faulty host can't send pages forever.
const MAX_PAGES: usize = 4_096;

/// Why a call to another host failed.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The connection could not be opened.
    #[display("{_0}")]
    Connect(std::io::Error),
    /// The host returned an error, or the answer was invalid.
    #[display("{_0}")]
    Call(capnp::Error),
    /// No answer arrived before the deadline.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
}

/// An open session; the connection is closed on drop.
struct Connection {
    session: session::Client,
    replies: RefCell<ReplyTimes>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Client of one other host. Connects on the first call, and again after an error.
pub struct PeerClient {
    address: SocketAddr,
    local: LocalHost,
    deadline: Duration,
    connection: RefCell<Option<Rc<Connection>>>,
}

impl PeerClient {
    /// Creates a client of the host at `address`; `deadline` limits the time of every call.
    pub fn new(address: SocketAddr, local: LocalHost, deadline: Duration) -> Self {
        PeerClient {
            address,
            local,
            deadline,
            connection: RefCell::default(),
        }
    }

    /// Address of the other host.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a heartbeat; returns the configuration revision in force on the other host.
    pub async fn heartbeat(&self, message: &HeartbeatMessage) -> Result<Revision, PeerError> {
        self.call(async |session| {
            let mut request = session.heartbeat_request();
            write_heartbeat(request.get().init_beat(), message);
            let answer = request.send().promise.await?;
            Ok(answer.get()?.get_revision())
        })
        .await
    }

    /// Exchanges configuration entries and zone summaries.
    pub async fn exchange(&self, exchange: &Exchange) -> Result<ExchangeReply, PeerError> {
        self.call(async |session| {
            let mut request = session.exchange_request();
            write_position(request.get().init_position(), &exchange.position);
            let count = exchange.summaries.len() as u32;
            write_summaries(request.get().init_summaries(count), &exchange.summaries);
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            let mut entries = Vec::new();
            for entry in answer.get_entries()?.iter().take(ENTRIES_LIMIT) {
                entries.push(read_json(entry?)?);
            }
            let snapshot = answer.get_snapshot()?;
            Ok(ExchangeReply {
                position: read_position(answer.get_position()?)?,
                entries,
                snapshot: match snapshot.is_empty() {
                    true => None,
                    false => Some(read_json(snapshot)?),
                },
                summaries: read_summaries(answer.get_summaries()?, &self.local.names)?,
            })
        })
        .await
    }

    /// Sends an accepted change; returns the position of the other host after it.
    pub async fn push(&self, entry: &Entry) -> Result<Position, PeerError> {
        self.call(async |session| {
            let mut request = session.push_request();
            request.get().set_entry(&write_json(entry));
            let answer = request.send().promise.await?;
            read_position(answer.get()?.get_position()?)
        })
        .await
    }

    /// Sends an update of a feed. The caller must send updates of one feed one after the other,
    /// since the receiver computes the maximum transit time of each message from the reply to
    /// the previous one.
    pub async fn send_update(&self, update: &EncodedUpdate) -> Result<(), PeerError> {
        self.call_on(async |connection| {
            let mut request = connection.session.news_request();
            let now = clock::now();
            let since_reply = connection.replies.borrow().since_last(update.feed, now);
            let mut params = request.get();
            params.set_age_ms(age_ms(now.saturating_duration_since(update.as_of)));
            params.set_since_reply_ms(since_reply.as_millis() as u32);
            params.set_feed(&write_json(&update.feed));
            params.set_version(update.version);
            params.set_digest(update.digest);
            params.set_records(&update.records);
            params.set_store(&write_json(&update.store_uptime(now)));
            request.send().promise.await?;
            let mut replies = connection.replies.borrow_mut();
            replies.record(update.feed, clock::now());
            Ok(())
        })
        .await
    }

    /// Requests a loan of a limit, or returns one.
    pub async fn borrow(
        &self,
        limit: &LimitKey,
        loan: &LoanRequest,
    ) -> Result<Option<LoanGrant>, PeerError> {
        self.call(async |session| {
            let mut request = session.borrow_request();
            request.get().set_limit(&write_json(limit));
            write_request(request.get().init_request(), loan);
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            Ok(match answer.get_granted() {
                true => Some(read_grant(answer.get_grant()?)),
                false => None,
            })
        })
        .await
    }

    /// Sends a message about state that hosts share; returns the reply.
    pub async fn send_message(&self, message: &HostMessage) -> Result<HostReply, PeerError> {
        self.call(async |session| {
            let mut request = session.tokens_request();
            let message = write_records(message, usize::MAX).expect("messages can be encoded");
            request.get().set_ask(&message);
            let answer = request.send().promise.await?;
            read_records(answer.get()?.get_reply()?)
        })
        .await
    }

    async fn call<T, F>(&self, with: impl FnOnce(session::Client) -> F) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        self.call_on(async |connection| with(connection.session.clone()).await)
            .await
    }

    async fn call_on<T>(
        &self,
        with: impl AsyncFnOnce(&Connection) -> Result<T, capnp::Error>,
    ) -> Result<T, PeerError> {
        let call = async {
            let connection = self.connected().await?;
            Ok(with(&connection).await?)
        };
        let result = timeout(self.deadline, call).await;
        let result = result.unwrap_or(Err(PeerError::Timeout));
        if result.is_err() {
            // The next call opens a new connection; a late answer on this one is dropped.
            self.connection.take();
        }
        result
    }

    async fn connected(&self) -> Result<Rc<Connection>, PeerError> {
        if let Some(connection) = &*self.connection.borrow() {
            return Ok(Rc::clone(connection));
        }
        let connection = Rc::new(self.connect().await?);
        self.connection.replace(Some(Rc::clone(&connection)));
        Ok(connection)
    }

    async fn connect(&self) -> Result<Connection, PeerError> {
        let (gate, mut task) = open_gate(self.address, &self.local.traffic).await?;
        let challenge = gate.challenge_request().send().promise.await?;
        let nonce = challenge.get()?.get_nonce()?;
        let LocalHost {
            host,
            incarnation,
            key,
            ..
        } = &self.local;
        let tag = session_tag(key, nonce, &host.name, *incarnation);
        let mut request = gate.open_request();
        write_host(request.get().init_host(), host, true);
        request.get().set_incarnation(*incarnation);
        request.get().set_tag(&tag.finalize().into_bytes());
        request.get().set_version(PROTOCOL_VERSION);
        let replies = RefCell::new(ReplyTimes::new(clock::now()));
        let opened = request.send().promise.await?;
        let session = opened.get()?.get_session()?;
        let task = task.0.take().expect("the task is taken only here");
        Ok(Connection {
            session,
            replies,
            task,
        })
    }
}

/// Fetches the records that a host has applied from a feed, page by page; the shared key is not
/// needed. Returns none if the host is still reading the feed.
///
/// The first page of a whole feed determines the version of the result: records of later pages
/// may be newer, and the host's next update shows whether any are missing.
///
/// # Errors
///
/// Fails if the host can't be reached, does not have what is queried, or takes longer than `page_timeout` to connect or to send
/// a page.
pub async fn fetch_feed_state(
    address: SocketAddr,
    mut query: StateQuery,
    page_timeout: Duration,
) -> Result<Option<FeedState>, PeerError> {
    let traffic = Rc::default();
    let connecting = open_gate(address, &traffic);
    let connected = timeout(page_timeout, connecting).await;
    let (gate, _task) = connected.unwrap_or(Err(PeerError::Timeout))?;
    let Some(mut state) = fetch_page(&gate, &query, page_timeout).await? else {
        return Ok(None);
    };
    let mut pages = 1;
    while state.next.is_some() {
        if pages == MAX_PAGES {
            let reason = format!("more than {MAX_PAGES} pages");
            return Err(capnp::Error::failed(reason).into());
        }
        query.cursor = state.next.take();
        let Some(page) = fetch_page(&gate, &query, page_timeout).await? else {
            return Ok(None);
        };
        state.append(page);
        pages += 1;
    }
    Ok(Some(state))
}

/// Fetches one page of a feed's state.
async fn fetch_page(
    gate: &gate::Client,
    query: &StateQuery,
    page_timeout: Duration,
) -> Result<Option<FeedState>, PeerError> {
    let started = clock::now();
    let mut request = gate.state_request();
    request.get().set_query(&write_json(query));
    let answer = timeout(page_timeout, request.send().promise).await;
    let answer = answer.map_err(|_| PeerError::Timeout)??;
    let answer = answer.get()?;
    let version = answer.get_version();
    if version == 0 {
        return Ok(None);
    }
    let (whole, records, next) = read_records(answer.get_records()?)?;
    let changes = Changes {
        whole,
        records,
        version,
    };
    let as_of = instant_before(started, Duration::from_millis(answer.get_age_ms().into()));
    Ok(Some(FeedState {
        changes,
        as_of,
        next,
    }))
}

/// Connects to a host, without a session.
async fn open_gate(
    address: SocketAddr,
    traffic: &Rc<PeerTraffic>,
) -> Result<(gate::Client, AbortOnDrop), PeerError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let reader = ByteCounter::new(reader, traffic);
    let writer = ByteCounter::new(writer, traffic);
    let network = twoparty::VatNetwork::new(reader, writer, Side::Client, reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    let task = spawn_local(async move {
        // The calls that wait for an answer get the error.
        let _ = system.await;
    });
    Ok((gate, AbortOnDrop(Some(task.abort_handle()))))
}

/// Aborts a task on drop, if the connection attempt is cancelled.
struct AbortOnDrop(Option<AbortHandle>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}
