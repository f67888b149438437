//! What hosts tell each other arrives as it was sent, and nonsense changes nothing.

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
use steering::ids::{HostName, Incarnation, Revision, ServiceName};
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::load_estimate::{ServiceLoad, ZoneSummary};
use steering::membership::{Heartbeat, HostEntry};
use steering::pool::PoolLoad;
use steering::route::{Feed, FeedUpdate, Record, StoreUptime};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const DEADLINE: Duration = Duration::from_secs(10);
const REVISION: Revision = 7;
/// Time for which news wait before they are sent.
const WAITED: Duration = Duration::from_secs(3);

/// Keeps what it is told, and tells all of it to whoever asks.
#[derive(Default)]
struct Keeper {
    beats: RefCell<Vec<HeartbeatMessage>>,
    summaries: RefCell<Vec<ZoneSummary>>,
    from: RefCell<Option<HostEntry>>,
    news: RefCell<Vec<FeedUpdate>>,
}

impl PeerHandler for Keeper {
    fn heartbeat(&self, beat: HeartbeatMessage) -> Revision {
        self.beats.borrow_mut().push(beat);
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

    fn feed_update(&self, _: &HostEntry, _: Incarnation, news: FeedUpdate) {
        self.news.borrow_mut().push(news);
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

fn beat(host: &HostEntry) -> HeartbeatMessage {
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
    }
}

/// Runs with a server that knows the service `known`, under the key `k`.
fn with_server(test: impl AsyncFnOnce(SocketAddr, Rc<Keeper>)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let keeper = Rc::new(Keeper::default());
        let server = local(host([v4(1), v4(2), v4(3), v4(4)]), "k", &["known"]);
        let handler = Rc::clone(&keeper);
        spawn_local(PeerServer::new(server, handler).run(listener));
        test(address, keeper).await;
    });
}

#[rstest]
#[case::v4([v4(1), v4(2), v4(3), v4(4)])]
#[case::v6([v6(1), v6(2), v6(3), v6(4)])]
#[case::mixed([v4(1), v6(2), v4(3), v6(4)])]
fn a_heartbeat_and_a_summary_arrive_as_they_were_sent(#[case] addresses: [SocketAddr; 4]) {
    with_server(async |address, keeper| {
        let me = host(addresses);
        let client = PeerClient::new(address, local(me.clone(), "k", &["known"]), DEADLINE);
        assert_eq!(client.heartbeat(&beat(&me)).await.unwrap(), REVISION);
        // A load of a service that is not known here is left out.
        let mut expected = beat(&me);
        expected.loads = vec![load("known")];
        assert_eq!(*keeper.beats.borrow(), vec![expected]);

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
        assert_eq!(*keeper.summaries.borrow(), exchange.summaries);
        assert_eq!(*keeper.from.borrow(), Some(me));
        assert_eq!(reply.summaries, exchange.summaries);
        assert_eq!(reply.position, exchange.position);
    });
}

#[test]
fn another_key_gets_no_session() {
    with_server(async |address, keeper| {
        let me = host([v4(1), v4(2), v4(3), v4(4)]);
        let stranger = PeerClient::new(address, local(me.clone(), "other", &[]), DEADLINE);
        let refused = stranger.heartbeat(&beat(&me)).await.unwrap_err();
        assert!(refused.to_string().contains("shared key"), "{refused}");
        assert!(keeper.beats.borrow().is_empty());
    });
}

#[test]
fn a_host_without_a_port_is_refused() {
    with_server(async |address, keeper| {
        let me = host([v4(1), v4(2), v4(0), v4(4)]);
        let client = PeerClient::new(address, local(me.clone(), "k", &[]), DEADLINE);
        let refused = client.heartbeat(&beat(&me)).await.unwrap_err();
        assert!(refused.to_string().contains("no port"), "{refused}");
        assert!(keeper.beats.borrow().is_empty());
    });
}

#[test]
fn nonsense_ends_its_own_connection_only() {
    with_server(async |address, keeper| {
        let me = host([v4(1), v4(2), v4(3), v4(4)]);
        let client = PeerClient::new(address, local(me.clone(), "k", &[]), DEADLINE);
        for nonsense in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 64]] {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(nonsense).await.unwrap();
            drop(stream);
            client.heartbeat(&beat(&me)).await.unwrap();
        }
        assert_eq!(keeper.beats.borrow().len(), 3);
    });
}

/// Records take so many bytes; one more than may be told are left out.
#[rstest]
#[case::exactly_as_many(0, true)]
#[case::one_too_many(1, false)]
fn news_that_are_too_large_come_without_records(#[case] too_many: usize, #[case] told: bool) {
    with_server(async |address, keeper| {
        let me = host([v4(1), v4(2), v4(3), v4(4)]);
        let gone = |name: &str| Record::HostGone(name.to_owned());
        let news = FeedUpdate {
            feed: Feed::Hosts,
            version: 8,
            digest: 9,
            store_uptime: StoreUptime {
                answering_for: Duration::from_millis(1_500),
                away_before: Duration::from_secs(4),
            },
            records: vec![gone("a"), gone("b")],
            as_of: Instant::now() - WAITED,
        };
        let news_as_of = news.as_of;
        let bytes = postcard::to_allocvec(&news.records).unwrap().len();
        let encoded = EncodedUpdate::new(&news, bytes - too_many, news.as_of);
        let client = PeerClient::new(address, local(me, "k", &["known"]), DEADLINE);
        client.send_update(&encoded).await.unwrap();
        let mut expected = news;
        if !told {
            expected.records.clear();
        }
        let heard = keeper.news.borrow();
        assert!(heard[0].as_of <= news_as_of);
        assert!(
            heard[0].store_uptime.answering_for >= expected.store_uptime.answering_for + WAITED
        );
        expected.as_of = heard[0].as_of;
        expected.store_uptime.answering_for = heard[0].store_uptime.answering_for;
        assert_eq!(*heard, vec![expected]);
    });
}
