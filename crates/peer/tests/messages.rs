//! Messages between hosts arrive unchanged, and invalid messages have no effect.

use std::cell::RefCell;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::{
    EncodedUpdate, Exchange, ExchangeReply, HeartbeatMessage, LocalHost, PeerClient, PeerHandler,
    PeerServer,
};
use rstest::rstest;
use steering::history::{Entry, Position};
use steering::host_capacity::HostCapacity;
use steering::ids::{HostName, Incarnation, Revision, ServiceName};
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::load_estimate::{ServiceLoad, ZoneSummary};
use steering::membership::{Heartbeat, HostEntry};
use steering::pool::PoolLoad;
use steering::route::{Feed, FeedUpdate, HostCondition, Record, StoreUptime};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const DEADLINE: Duration = Duration::from_secs(10);
const REVISION: Revision = 7;
/// Age of an update when it is sent.
const UPDATE_AGE: Duration = Duration::from_secs(3);

/// Records all messages that it receives; replies to an exchange with the received summaries.
#[derive(Default)]
struct RecordingHandler {
    heartbeats: RefCell<Vec<HeartbeatMessage>>,
    summaries: RefCell<Vec<ZoneSummary>>,
    from: RefCell<Option<HostEntry>>,
    updates: RefCell<Vec<FeedUpdate>>,
}

impl PeerHandler for RecordingHandler {
    fn heartbeat(&self, message: HeartbeatMessage) -> Revision {
        self.heartbeats.borrow_mut().push(message);
        REVISION
    }

    fn exchange(&self, from: &HostEntry, exchange: Exchange) -> ExchangeReply {
        self.from.replace(Some(from.clone()));
        self.summaries.replace(exchange.summaries.clone());
        ExchangeReply {
            position: exchange.position,
            summaries: exchange.summaries,
            ..ExchangeReply::default()
        }
    }

    fn push(&self, _: &HostName, _: Entry) -> Position {
        Position::default()
    }

    fn feed_update(&self, _: &HostEntry, _: Incarnation, update: FeedUpdate) {
        self.updates.borrow_mut().push(update);
    }

    fn borrow(&self, _: LimitKey, _: LoanRequest) -> Option<LoanGrant> {
        None
    }
}

fn v4(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 2, 3), port))
}

fn v6(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv6Addr::new(0xfd00, 0, 0, 0, 0, 0, 0, 9), port))
}

fn host(addresses: [SocketAddr; 4]) -> HostEntry {
    let [
        caller_address,
        relay_address,
        peer_address,
        operator_address,
    ] = addresses;
    HostEntry {
        name: "n1".to_owned(),
        zone: "norte".to_owned(),
        caller_address,
        relay_address,
        peer_address,
        operator_address,
        capacity: HostCapacity::default(),
    }
}

fn local(host: HostEntry, key: &str, services: &[&str]) -> LocalHost {
    let local = LocalHost {
        host,
        incarnation: 5,
        key: key.as_bytes().into(),
        names: Rc::default(),
        traffic: Rc::default(),
    };
    let services: Vec<ServiceName> = services.iter().map(|name| (*name).to_owned()).collect();
    local.names.set(services.iter());
    local
}

fn load(service: &str) -> ServiceLoad {
    ServiceLoad {
        service: service.to_owned(),
        load: PoolLoad {
            in_flight: 3,
            capacity: 70_000,
            queued: 2,
            latency_ms: 12.5,
        },
    }
}

fn heartbeat_message(host: &HostEntry) -> HeartbeatMessage {
    HeartbeatMessage {
        heartbeat: Heartbeat {
            host: host.clone(),
            incarnation: 5,
            sequence: 9,
            leaving: true,
            suspected_hosts: ["a".to_owned()].into(),
            confirmed_hosts: ["b".to_owned()].into(),
            lenders: ["c".to_owned(), "d".to_owned()].into(),
        },
        revision: 4,
        loads: vec![load("known"), load("unknown")],
        condition: Some(HostCondition {
            is_cut_off: true,
            use_per_mille: 750,
            relay_use_per_mille: 20,
        }),
    }
}

/// Runs `test` with a server that knows the service `known` and has the shared key `k`.
fn with_server(test: impl AsyncFnOnce(SocketAddr, Rc<RecordingHandler>)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let recorder = Rc::new(RecordingHandler::default());
        let server = local(host([v4(1), v4(2), v4(3), v4(4)]), "k", &["known"]);
        let handler = Rc::clone(&recorder);
        spawn_local(PeerServer::new(server, handler).run(listener));
        test(address, recorder).await;
    });
}

#[rstest]
#[case::v4([v4(1), v4(2), v4(3), v4(4)])]
#[case::v6([v6(1), v6(2), v6(3), v6(4)])]
#[case::mixed([v4(1), v6(2), v4(3), v6(4)])]
fn a_heartbeat_and_a_summary_arrive_as_they_were_sent(#[case] addresses: [SocketAddr; 4]) {
    with_server(async |address, handler| {
        let me = host(addresses);
        let client = PeerClient::new(address, local(me.clone(), "k", &["known"]), DEADLINE);
        assert_eq!(
            client.heartbeat(&heartbeat_message(&me)).await.unwrap(),
            REVISION
        );
        // The server skips loads of services that it does not know.
        let mut expected = heartbeat_message(&me);
        expected.loads = vec![load("known")];
        assert_eq!(*handler.heartbeats.borrow(), vec![expected]);

        let summary = |hosts: Vec<HostEntry>| ZoneSummary {
            zone: "norte".to_owned(),
            age: Duration::from_millis(1_500),
            loads: vec![load("known")],
            hosts_age: Duration::from_millis(hosts.len() as u64 * 2_500),
            hosts,
        };
        let exchange = Exchange {
            position: Position {
                revision: 3,
                digest: "d".to_owned(),
            },
            summaries: vec![summary(vec![me.clone()]), summary(Vec::new())],
        };
        let reply = client.exchange(&exchange).await.unwrap();
        assert_eq!(*handler.summaries.borrow(), exchange.summaries);
        assert_eq!(*handler.from.borrow(), Some(me));
        assert_eq!(reply.summaries, exchange.summaries);
        assert_eq!(reply.position, exchange.position);
    });
}

#[test]
fn a_client_with_another_key_gets_no_session() {
    with_server(async |address, handler| {
        let me = host([v4(1), v4(2), v4(3), v4(4)]);
        let stranger = PeerClient::new(address, local(me.clone(), "other", &[]), DEADLINE);
        let error = stranger
            .heartbeat(&heartbeat_message(&me))
            .await
            .unwrap_err();
        assert!(error.to_string().contains("shared key"), "{error}");
        assert!(handler.heartbeats.borrow().is_empty());
    });
}

#[test]
fn a_heartbeat_of_a_host_without_a_port_is_rejected() {
    with_server(async |address, handler| {
        let me = host([v4(1), v4(2), v4(0), v4(4)]);
        let client = PeerClient::new(address, local(me.clone(), "k", &[]), DEADLINE);
        let error = client.heartbeat(&heartbeat_message(&me)).await.unwrap_err();
        assert!(error.to_string().contains("no port"), "{error}");
        assert!(handler.heartbeats.borrow().is_empty());
    });
}

#[test]
fn invalid_bytes_close_only_their_own_connection() {
    with_server(async |address, handler| {
        let me = host([v4(1), v4(2), v4(3), v4(4)]);
        let client = PeerClient::new(address, local(me.clone(), "k", &[]), DEADLINE);
        for invalid in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 64]] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(invalid).await.unwrap();
            drop(stream);
            client.heartbeat(&heartbeat_message(&me)).await.unwrap();
        }
        assert_eq!(handler.heartbeats.borrow().len(), 3);
    });
}

/// The records of an update are omitted if they take more bytes than allowed.
#[rstest]
#[case::exactly_as_many(0, true)]
#[case::one_too_many(1, false)]
fn an_update_that_is_too_large_arrives_without_records(
    #[case] excess_bytes: usize,
    #[case] sent: bool,
) {
    with_server(async |address, handler| {
        let me = host([v4(1), v4(2), v4(3), v4(4)]);
        let gone = |name: &str| Record::HostGone(name.to_owned());
        let update = FeedUpdate {
            feed: Feed::Hosts,
            version: 8,
            digest: 9,
            store_uptime: StoreUptime {
                answering_for: Duration::from_millis(1_500),
                away_before: Duration::from_secs(4),
            },
            records: vec![gone("a"), gone("b")],
            as_of: Instant::now() - UPDATE_AGE,
        };
        let update_as_of = update.as_of;
        let bytes = postcard::to_allocvec(&update.records).unwrap().len();
        let encoded = EncodedUpdate::new(&update, bytes - excess_bytes, update.as_of);
        let client = PeerClient::new(address, local(me, "k", &["known"]), DEADLINE);
        client.send_update(&encoded).await.unwrap();
        let mut expected = update;
        if !sent {
            expected.records.clear();
        }
        let received = handler.updates.borrow();
        assert!(received[0].as_of <= update_as_of);
        assert!(
            received[0].store_uptime.answering_for
                >= expected.store_uptime.answering_for + UPDATE_AGE
        );
        expected.as_of = received[0].as_of;
        expected.store_uptime.answering_for = received[0].store_uptime.answering_for;
        assert_eq!(*received, vec![expected]);
    });
}
