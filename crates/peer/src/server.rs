//! The side that other hosts call.

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
use steering::route::{FeedUpdate, HostMessage, HostReply, StoreUptime, TokenReply};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::codec::{
    read_beat, read_host, read_json, read_position, read_records, read_request, read_summaries,
    write_grant, write_json, write_position, write_records, write_summaries,
};
use crate::messages::{
    Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, StateQuery,
};
use crate::names::ServiceNames;
use crate::peer_capnp::{PROTOCOL_VERSION, gate, session};
use crate::traffic::Counted;
use crate::transit::ReceiptTimes;
use crate::{NONCE_BYTES, before, millis, reader_options, tag};

const CONNECTIONS_LIMIT: usize = 512;
/// Largest answer with what has changed since a version, in bytes. Hosts with links of
/// 10 Mbit/s send some thirty of them at once, and changes must be heeded within seconds;
/// who lacks more asks the store. So much takes 0.8 s there for all.
const CHANGES_MOST_BYTES: usize = 32 << 10;
/// Largest answer with all that a feed says, in bytes; reports of 12,000 upstreams take
/// some 700 KB.
const STATE_MOST_BYTES: usize = 2 << 20;

/// What a host does with messages of other hosts; each call must be short.
pub trait PeerHandler {
    /// Takes a heartbeat.
    fn heartbeat(&self, beat: HeartbeatMessage) -> Revision;
    /// Takes and gives configuration and summaries.
    fn exchange(&self, from: &HostEntry, exchange: Exchange) -> ExchangeReply;
    /// Takes an accepted change from another host.
    fn push(&self, from: &HostName, entry: Entry) -> Position;
    /// Takes a part of a feed of the store. A host that serves no routes has no use
    /// for it.
    fn feed_update(&self, _from: &HostEntry, _incarnation: Incarnation, _news: FeedUpdate) {}
    /// What this host has taken from a feed of the store; none where it can't tell.
    fn state(&self, _query: StateQuery) -> Option<FeedState> {
        None
    }
    /// Answers what is asked about things that hosts keep together. A host that serves no
    /// routes keeps none.
    fn host_message(
        &self,
        _from: &HostEntry,
        _incarnation: Incarnation,
        _ask: HostMessage,
    ) -> HostReply {
        HostReply::Tokens(TokenReply::NoPool)
    }
    /// Lends a part of a limit.
    fn borrow(&self, limit: LimitKey, request: LoanRequest) -> Option<LoanGrant>;
}

/// Serves other hosts on a local task set.
pub struct PeerServer {
    local: LocalHost,
    handler: Rc<dyn PeerHandler>,
    open: Rc<Cell<usize>>,
}

impl PeerServer {
    /// Serves hosts that hold the key.
    pub fn new(local: LocalHost, handler: Rc<dyn PeerHandler>) -> Self {
        PeerServer {
            local,
            handler,
            open: Rc::default(),
        }
    }

    /// Accepts connections until the task is dropped.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) if self.open.get() < CONNECTIONS_LIMIT => {
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
        let reader = Counted::new(reader, &self.local.traffic);
        let writer = Counted::new(writer, &self.local.traffic);
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
    /// Of the last challenge, and when it was given; used once.
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
        tag(&self.local.key, &nonce, &host.name, incarnation)
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
        let most_bytes = match query.after {
            Some(_) => CHANGES_MOST_BYTES,
            None => STATE_MOST_BYTES,
        };
        let Some(state) = self.handler.state(query) else {
            return Ok(());
        };
        let FeedState { changes, as_of } = state;
        let written = write_records(&(changes.whole, &changes.records), most_bytes);
        if let Some(records) = written {
            let mut results = results.get();
            results.set_version(changes.version);
            results.set_records(&records);
            results.set_age_ms(millis(clock::elapsed(as_of)));
        }
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
        let beat = params.get()?.get_beat()?;
        let beat = read_beat(beat, &self.host, self.incarnation, &self.names)?;
        results.get().set_revision(self.handler.heartbeat(beat));
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
        let in_transit = receipts.max_transit_time(feed, now, since_reply);
        drop(receipts);
        let age = Duration::from_millis(params.get_age_ms().into()) + in_transit;
        let mut store: StoreUptime = read_json(params.get_store()?)?;
        store.answering_for = store.answering_for.saturating_add(in_transit);
        let news = FeedUpdate {
            feed,
            version: params.get_version(),
            digest: params.get_digest(),
            records: read_records(params.get_records()?)?,
            store_uptime: store,
            as_of: before(now, age),
        };
        self.handler.feed_update(&self.host, self.incarnation, news);
        Ok(())
    }

    async fn tokens(
        self: Rc<Self>,
        params: session::TokensParams,
        mut results: session::TokensResults,
    ) -> Result<(), Error> {
        let ask: HostMessage = read_records(params.get()?.get_ask()?)?;
        let reply = self.handler.host_message(&self.host, self.incarnation, ask);
        let reply = write_records(&reply, usize::MAX).expect("answers can be written");
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
