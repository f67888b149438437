//! A feed's state is fetched page by page; a host that is loading is distinguished from one without
//! the state.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::{
    Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, PeerError, PeerHandler,
    PeerServer, StateCursor, StateError, StateQuery, fetch_feed_state,
};
use rstest::rstest;
use steering::history::{Entry, Position};
use steering::host_capacity::HostCapacity;
use steering::ids::{HostName, Revision};
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::membership::HostEntry;
use steering::route::{Changes, Feed, Record};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

const PAGE_TIMEOUT: Duration = Duration::from_secs(10);
const PAGES: usize = 12;
const PAGE_RECORDS: usize = 1_000;

/// Serves a state in pages; its version increases with each of them.
struct PagingHandler {
    answered: Cell<usize>,
    error: Option<StateError>,
}

impl PeerHandler for PagingHandler {
    fn heartbeat(&self, _: HeartbeatMessage) -> Revision {
        0
    }

    fn exchange(&self, _: &HostEntry, _: Exchange) -> ExchangeReply {
        ExchangeReply::default()
    }

    fn push(&self, _: &HostName, _: Entry) -> Position {
        Position::default()
    }

    fn state(&self, query: StateQuery) -> Result<FeedState, StateError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let page = match &query.cursor {
            None => 0,
            Some(StateCursor::Offset(offset)) => offset / PAGE_RECORDS,
            Some(StateCursor::Key(key)) => key.parse().unwrap(),
        };
        assert_eq!(
            page,
            self.answered.replace(page + 1),
            "pages follow each other"
        );
        let first = page * PAGE_RECORDS;
        let records = (first..first + PAGE_RECORDS).map(|n| Record::UpstreamGone(format!("i-{n}")));
        let next = page + 1;
        let cursor = match query.after {
            Some(_) => StateCursor::Offset(next * PAGE_RECORDS),
            None => StateCursor::Key(next.to_string()),
        };
        Ok(FeedState {
            changes: Changes {
                whole: query.after.is_none(),
                records: records.collect(),
                version: 100 + page as u64,
            },
            as_of: Instant::now(),
            next: (next < PAGES).then_some(cursor),
        })
    }

    fn borrow(&self, _: LimitKey, _: LoanRequest) -> Option<LoanGrant> {
        None
    }
}

async fn serve(error: Option<StateError>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let local = LocalHost {
        host: HostEntry {
            name: "h1".to_owned(),
            zone: "norte".to_owned(),
            caller_address: address,
            relay_address: address,
            peer_address: address,
            operator_address: address,
            capacity: HostCapacity::default(),
        },
        incarnation: 1,
        key: Rc::new([7; 32]),
        names: Rc::default(),
        traffic: Rc::default(),
    };
    let handler = PagingHandler {
        answered: Cell::new(0),
        error,
    };
    spawn_local(PeerServer::new(local, Rc::new(handler)).run(listener));
    address
}

fn query(after: Option<u64>) -> StateQuery {
    StateQuery {
        feed: Feed::Upstreams,
        after,
        max_age: None,
        cursor: None,
    }
}

/// A whole feed has the version of its first page: what has changed since may be missing in the
/// pages before. Changes are listed up to the last page.
#[rstest]
#[case::whole(None, 100)]
#[case::changes(Some(50), 100 + PAGES as u64 - 1)]
#[tokio::test]
async fn all_pages_are_fetched(#[case] after: Option<u64>, #[case] version: u64) {
    let fetching = async {
        let address = serve(None).await;
        let state = fetch_feed_state(address, query(after), PAGE_TIMEOUT).await;
        let state = state.unwrap().expect("the host has the state");
        assert_eq!(state.changes.records.len(), PAGES * PAGE_RECORDS);
        assert_eq!(state.changes.version, version);
        assert_eq!(state.changes.whole, after.is_none());
        let last = Record::UpstreamGone(format!("i-{}", PAGES * PAGE_RECORDS - 1));
        assert_eq!(state.changes.records.last(), Some(&last));
    };
    LocalSet::new().run_until(fetching).await;
}

#[tokio::test]
async fn host_that_is_loading_is_told_apart_from_one_without_the_state() {
    let fetching = async {
        let loading = serve(Some(StateError::Loading)).await;
        let state = fetch_feed_state(loading, query(None), PAGE_TIMEOUT).await;
        assert_eq!(state.unwrap(), None);
        let without = serve(Some(StateError::Unavailable)).await;
        let state = fetch_feed_state(without, query(None), PAGE_TIMEOUT).await;
        assert!(matches!(state, Err(PeerError::Call(_))), "{state:?}");
    };
    LocalSet::new().run_until(fetching).await;
}
