//! Server for calls of other hosts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use futures::AsyncReadExt;
use hmac::Mac;
use rand::RngCore;
use steering::history::{Entry, Position};
use steering::ids::{HostName, Incarnation, Revision};
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::membership::HostEntry;
use steering::route::{Feed, FeedUpdate, HostMessage, HostReply, StoreUptime, TokenReply};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::codec::{
    read_heartbeat, read_host, read_json, read_position, read_records, read_request,
    read_summaries, write_grant, write_json, write_position, write_records, write_summaries,
};
use crate::messages::{
    Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, StateError, StateQuery,
};
use crate::names::ServiceNames;
use crate::peer_capnp::{PROTOCOL_VERSION, gate, session};
use crate::traffic::ByteCounter;
use crate::transit::ReceiptTimes;
use crate::{NONCE_BYTES, age_ms, instant_before, reader_options, session_tag};

const MAX_CONNECTIONS: usize = 512;
/// Maximum size of the changes of a document that are sent to a host, in bytes. A host with a link
/// of 10 Mbit/s sends about thirty such answers at once, which takes 0.8 s at this size, and changes
/// must take effect within seconds. A host that lacks more than this reads the store.
const MAX_DOCUMENT_CHANGES_BYTES: usize = 32 << 10;
/// Maximum size of a page of a feed's records, in bytes.
const MAX_PAGE_BYTES: usize = 2 << 20;

/// Handles messages of other hosts; calls must not block, since they run on the server's thread.
pub trait PeerHandler {
    /// Processes a heartbeat; returns the configuration revision in force on this host.
    fn heartbeat(&self, message: HeartbeatMessage) -> Revision;
    /// Processes an exchange of configuration entries and zone summaries.
    fn exchange(&self, from: &HostEntry, exchange: Exchange) -> ExchangeReply;
    /// Applies an accepted change from another host; returns this host's position after it.
    fn push(&self, from: &HostName, entry: Entry) -> Position;
    /// Applies an update of a feed of the store. The default, for hosts that serve no routes,
    /// ignores the update.
    fn feed_update(&self, _from: &HostEntry, _incarnation: Incarnation, _update: FeedUpdate) {}
    /// Returns the records that this host has applied from a feed of the store.
    ///
    /// # Errors
    ///
    /// The host can't answer the query, or not yet.
    fn state(&self, _query: StateQuery) -> Result<FeedState, StateError> {
        Err(StateError::Unavailable)
    }
    /// Processes a message about state that hosts share. The default, for hosts that serve no
    /// routes, answers that there is no such state.
    fn host_message(
        &self,
        _from: &HostEntry,
        _incarnation: Incarnation,
        _message: HostMessage,
    ) -> HostReply {
        HostReply::Tokens(TokenReply::NoPool)
    }
    /// Grants a loan of a limit; none if this host refuses.
    fn borrow(&self, limit: LimitKey, request: LoanRequest) -> Option<LoanGrant>;
}

/// Serves other hosts on the current `LocalSet`.
pub struct PeerServer {
    local: LocalHost,
    handler: Rc<dyn PeerHandler>,
    open: Rc<Cell<usize>>,
}

impl PeerServer {
    /// Creates a server for hosts that have the shared key.
    pub fn new(local: LocalHost, handler: Rc<dyn PeerHandler>) -> Self {
        PeerServer {
            local,
            handler,
            open: Rc::default(),
        }
    }

    /// Accepts connections until the future is dropped.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if self.open.get() < MAX_CONNECTIONS => {
                    self.serve(stream, peer);
                }
                Ok((_, peer)) => tracing::warn!(event = "peer_refused", %peer, reason = "full"),
                Err(error) => {
                    tracing::warn!(event = "peer_accept_failed", %error);
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.compat().split();
        let reader = ByteCounter::new(reader, &self.local.traffic);
        let writer = ByteCounter::new(writer, &self.local.traffic);
        let network = twoparty::VatNetwork::new(reader, writer, Side::Server, reader_options());
        let gate = GateServer {
            local: self.local.clone(),
            handler: Rc::clone(&self.handler),
            nonce: RefCell::default(),
        };
        let client: gate::Client = new_client(gate);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        let open = Rc::clone(&self.open);
        open.set(open.get() + 1);
        spawn_local(async move {
            if let Err(error) = system.await {
                tracing::debug!(event = "peer_connection_ended", %peer, %error);
            }
            open.set(open.get() - 1);
        });
    }
}

struct GateServer {
    local: LocalHost,
    handler: Rc<dyn PeerHandler>,
    /// Nonce of the last challenge and the instant at which it was sent; valid for one use.
    nonce: RefCell<Option<([u8; NONCE_BYTES], Instant)>>,
}

impl gate::Server for GateServer {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let mut nonce = [0; NONCE_BYTES];
        rand::rng().fill_bytes(&mut nonce);
        self.nonce.replace(Some((nonce, clock::now())));
        let mut results = results.get();
        results.set_nonce(&nonce);
        results.set_version(PROTOCOL_VERSION);
        Ok(())
    }

    async fn open(
        self: Rc<Self>,
        params: gate::OpenParams,
        mut results: gate::OpenResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        if params.get_version() != PROTOCOL_VERSION {
            let version = params.get_version();
            return Err(Error::failed(format!(
                "protocol version {version}, not {PROTOCOL_VERSION}"
            )));
        }
        let host = read_host(params.get_host()?, None)?;
        let incarnation = params.get_incarnation();
        let nonce = self.nonce.take();
        let (nonce, challenged) =
            nonce.ok_or_else(|| Error::failed("no challenge was asked for".to_owned()))?;
        session_tag(&self.local.key, &nonce, &host.name, incarnation)
            .verify_slice(params.get_tag()?)
            .map_err(|_| {
                tracing::warn!(
                    event = "peer_refused",
                    host = host.name,
                    reason = "not under the shared key"
                );
                Error::failed("the tag is not under the shared key".to_owned())
            })?;
        let session = SessionServer {
            host,
            incarnation,
            names: Rc::clone(&self.local.names),
            handler: Rc::clone(&self.handler),
            receipts: RefCell::new(ReceiptTimes::new(challenged)),
        };
        results.get().set_session(new_client(session));
        Ok(())
    }

    async fn state(
        self: Rc<Self>,
        params: gate::StateParams,
        mut results: gate::StateResults,
    ) -> Result<(), Error> {
        let query: StateQuery = read_json(params.get()?.get_query()?)?;
        let max_bytes = match (query.feed, query.after) {
            (Feed::Routes, Some(_)) => MAX_DOCUMENT_CHANGES_BYTES,
            _ => MAX_PAGE_BYTES,
        };
        let state = match self.handler.state(query) {
            Ok(state) => state,
            // Version 0 stands for a feed that is being read.
            Err(StateError::Loading) => return Ok(()),
            Err(error) => return Err(Error::failed(error.to_string())),
        };
        let FeedState {
            changes,
            as_of,
            next,
        } = state;
        let encoded = write_records(&(changes.whole, &changes.records, &next), max_bytes);
        let records = encoded.ok_or_else(|| Error::failed(StateError::Unavailable.to_string()))?;
        let mut results = results.get();
        results.set_version(changes.version);
        results.set_records(&records);
        results.set_age_ms(age_ms(clock::elapsed(as_of)));
        Ok(())
    }
}

struct SessionServer {
    host: HostEntry,
    incarnation: Incarnation,
    names: Rc<ServiceNames>,
    handler: Rc<dyn PeerHandler>,
    receipts: RefCell<ReceiptTimes>,
}

impl session::Server for SessionServer {
    async fn heartbeat(
        self: Rc<Self>,
        params: session::HeartbeatParams,
        mut results: session::HeartbeatResults,
    ) -> Result<(), Error> {
        let message = params.get()?.get_beat()?;
        let message = read_heartbeat(message, &self.host, self.incarnation, &self.names)?;
        results.get().set_revision(self.handler.heartbeat(message));
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: session::ExchangeParams,
        mut results: session::ExchangeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let exchange = Exchange {
            position: read_position(params.get_position()?)?,
            summaries: read_summaries(params.get_summaries()?, &self.names)?,
        };
        let reply = self.handler.exchange(&self.host, exchange);
        let mut results = results.get();
        write_position(results.reborrow().init_position(), &reply.position);
        let mut entries = results.reborrow().init_entries(reply.entries.len() as u32);
        for (i, entry) in reply.entries.iter().enumerate() {
            entries.set(i as u32, &write_json(entry));
        }
        if let Some(snapshot) = &reply.snapshot {
            results.set_snapshot(&write_json(snapshot));
        }
        let summaries = results.init_summaries(reply.summaries.len() as u32);
        write_summaries(summaries, &reply.summaries);
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: session::PushParams,
        mut results: session::PushResults,
    ) -> Result<(), Error> {
        let entry: Entry = read_json(params.get()?.get_entry()?)?;
        let position = self.handler.push(&self.host.name, entry);
        write_position(results.get().init_position(), &position);
        Ok(())
    }

    async fn news(
        self: Rc<Self>,
        params: session::NewsParams,
        _: session::NewsResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let feed = read_json(params.get_feed()?)?;
        let now = clock::now();
        let since_reply = Duration::from_millis(params.get_since_reply_ms().into());
        let mut receipts = self.receipts.borrow_mut();
        let transit_time = receipts.max_transit_time(feed, now, since_reply);
        drop(receipts);
        let age = Duration::from_millis(params.get_age_ms().into()) + transit_time;
        let mut store_uptime: StoreUptime = read_json(params.get_store()?)?;
        store_uptime.answering_for = store_uptime.answering_for.saturating_add(transit_time);
        let update = FeedUpdate {
            feed,
            version: params.get_version(),
            digest: params.get_digest(),
            records: read_records(params.get_records()?)?,
            store_uptime,
            as_of: instant_before(now, age),
        };
        self.handler
            .feed_update(&self.host, self.incarnation, update);
        Ok(())
    }

    async fn tokens(
        self: Rc<Self>,
        params: session::TokensParams,
        mut results: session::TokensResults,
    ) -> Result<(), Error> {
        let message: HostMessage = read_records(params.get()?.get_ask()?)?;
        let reply = self
            .handler
            .host_message(&self.host, self.incarnation, message);
        let reply = write_records(&reply, usize::MAX).expect("replies can be encoded");
        results.get().set_reply(&reply);
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: session::BorrowParams,
        mut results: session::BorrowResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let limit: LimitKey = read_json(params.get_limit()?)?;
        let request = read_request(params.get_request()?)?;
        if request.borrower != self.host.name {
            return Err(Error::failed("a loan for another host".to_owned()));
        }
        let grant = self.handler.borrow(limit, request);
        let mut results = results.get();
        results.set_granted(grant.is_some());
        if let Some(grant) = grant {
            write_grant(results.init_grant(), &grant);
        }
        Ok(())
    }
}
