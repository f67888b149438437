//! The side that calls another host.

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
    read_grant, read_json, read_position, read_records, read_summaries, write_beat, write_host,
    write_json, write_position, write_records, write_request, write_summaries,
};
use crate::messages::{
    EncodedUpdate, Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, StateQuery,
};
use crate::peer_capnp::{PROTOCOL_VERSION, gate, session};
use crate::traffic::{Counted, PeerTraffic};
use crate::transit::ReplyTimes;
use crate::{ENTRIES_LIMIT, before, millis, reader_options, tag};

/// Why a call brought nothing.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The host can't be reached.
    #[display("{_0}")]
    Connect(std::io::Error),
    /// The host answered with an error, or with nonsense.
    #[display("{_0}")]
    Call(capnp::Error),
    /// No answer came in time.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
}

/// An open session; closed when dropped.
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

/// Calls one other host. It connects when needed, and again after an error.
pub struct PeerClient {
    address: SocketAddr,
    local: LocalHost,
    deadline: Duration,
    connection: RefCell<Option<Rc<Connection>>>,
}

impl PeerClient {
    /// A client of the host at `address`; every call ends within `deadline`.
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

    /// Sends a heartbeat; the revision in force at the other host.
    pub async fn heartbeat(&self, beat: &HeartbeatMessage) -> Result<Revision, PeerError> {
        self.call(async |session| {
            let mut request = session.heartbeat_request();
            write_beat(request.get().init_beat(), beat);
            let answer = request.send().promise.await?;
            Ok(answer.get()?.get_revision())
        })
        .await
    }

    /// Exchanges configuration and summaries.
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

    /// Sends an accepted change.
    pub async fn push(&self, entry: &Entry) -> Result<Position, PeerError> {
        self.call(async |session| {
            let mut request = session.push_request();
            request.get().set_entry(&write_json(entry));
            let answer = request.send().promise.await?;
            read_position(answer.get()?.get_position()?)
        })
        .await
    }

    /// Passes on a part of a feed. News of one feed are sent one after the other: the
    /// receiver bounds the time of each message by the reply to the one before.
    pub async fn send_update(&self, news: &EncodedUpdate) -> Result<(), PeerError> {
        self.call_on(async |connection| {
            let mut request = connection.session.news_request();
            let now = clock::now();
            let since_reply = connection.replies.borrow().since_last(news.feed, now);
            let mut params = request.get();
            params.set_age_ms(millis(now.saturating_duration_since(news.as_of)));
            params.set_since_reply_ms(since_reply.as_millis() as u32);
            params.set_feed(&write_json(&news.feed));
            params.set_version(news.version);
            params.set_digest(news.digest);
            params.set_records(&news.records);
            params.set_store(&write_json(&news.store(now)));
            request.send().promise.await?;
            let mut replies = connection.replies.borrow_mut();
            replies.record(news.feed, clock::now());
            Ok(())
        })
        .await
    }

    /// Asks for a part of a limit, or gives it back.
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

    /// Asks or tells what hosts keep together.
    pub async fn send_message(&self, ask: &HostMessage) -> Result<HostReply, PeerError> {
        self.call(async |session| {
            let mut request = session.tokens_request();
            let ask = write_records(ask, usize::MAX).expect("questions can be written");
            request.get().set_ask(&ask);
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
            // The next call starts anew: what comes late is not heard any more.
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
        let tag = tag(key, nonce, &host.name, *incarnation);
        let mut request = gate.open_request();
        write_host(request.get().init_host(), host, true);
        request.get().set_incarnation(*incarnation);
        request.get().set_tag(&tag.finalize().into_bytes());
        request.get().set_version(PROTOCOL_VERSION);
        let replies = RefCell::new(ReplyTimes::new(clock::now()));
        let opened = request.send().promise.await?;
        let session = opened.get()?.get_session()?;
        let task = task.0.take().expect("it is taken only here");
        Ok(Connection {
            session,
            replies,
            task,
        })
    }
}

/// Asks a host what it has taken from a feed, without the shared key; none where it can't
/// tell.
///
/// # Errors
///
/// The host can't be reached, or does not answer within `deadline`.
pub async fn fetch_feed_state(
    address: SocketAddr,
    query: StateQuery,
    deadline: Duration,
) -> Result<Option<FeedState>, PeerError> {
    let begun = clock::now();
    let call = async {
        let (gate, _task) = open_gate(address, &Rc::default()).await?;
        let mut request = gate.state_request();
        request.get().set_query(&write_json(&query));
        let answer = request.send().promise.await?;
        let answer = answer.get()?;
        let version = answer.get_version();
        if version == 0 {
            return Ok(None);
        }
        let (whole, records) = read_records(answer.get_records()?)?;
        let changes = Changes {
            whole,
            records,
            version,
        };
        let as_of = before(begun, Duration::from_millis(answer.get_age_ms().into()));
        Ok(Some(FeedState { changes, as_of }))
    };
    timeout(deadline, call)
        .await
        .unwrap_or(Err(PeerError::Timeout))
}

/// Connects to a host that does not know yet who calls.
async fn open_gate(
    address: SocketAddr,
    traffic: &Rc<PeerTraffic>,
) -> Result<(gate::Client, AbortOnDrop), PeerError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let reader = Counted::new(reader, traffic);
    let writer = Counted::new(writer, traffic);
    let network = twoparty::VatNetwork::new(reader, writer, Side::Client, reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    let task = spawn_local(async move {
        // Its error reaches whoever waits for an answer.
        let _ = system.await;
    });
    Ok((gate, AbortOnDrop(Some(task.abort_handle()))))
}

/// Ends a task where connecting is given up.
struct AbortOnDrop(Option<AbortHandle>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}
