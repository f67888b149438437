//! The waits on each way of news, added up: no sum may pass the bound that it answers to.

use std::time::Duration;

use rstest::rstest;
use steering::route::{
    FeedTiming, HOST_ANSWER_LIMIT, LAPSE_PROPAGATION_LIMIT, STORE_CALL_LIMIT, max_retry_pause,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A message and its answer, between the two regions that are farthest apart (70 ms), on a
/// slow core.
const HOP: Duration = ms(100);
/// A question to the store on a slow core, where many reports have changed.
const SLOW_QUESTION: Duration = ms(500);
/// A request whose upstream was chosen just before, on a new connection.
const IN_FLIGHT: Duration = ms(200);
/// A whole read of the store: three pages.
const WHOLE_READ: Duration = ms(300);

/// Bounds of a deployment.
#[derive(Debug, Clone, Copy)]
struct Terms {
    news: FeedTiming,
    contact: Duration,
}

/// A way of news, the fault that forces it, and the longest time that it takes.
type Way = (&'static str, fn(Terms) -> Duration);

/// From the store's acknowledgement to the last request that is sent on the old belief.
const WAYS: &[Way] = &[
    ("no fault: leader, first of a group, listener", |t| {
        t.news.poll_interval() + HOP * 3 + IN_FLIGHT
    }),
    ("the listener is busy with an earlier message", |t| {
        t.news.poll_interval() + HOP * 4 + IN_FLIGHT
    }),
    ("too large for a message: the listener asks for it", |t| {
        t.news.poll_interval() + HOP * 5 + IN_FLIGHT
    }),
    (
        "the same, from a teller that has ended; the store is asked",
        |t| t.news.poll_interval() + HOP * 3 + HOST_ANSWER_LIMIT + HOP + IN_FLIGHT,
    ),
    (
        "any number of hops and late messages: the listener asks for itself",
        |t| t.news.stale_after() + SLOW_QUESTION + IN_FLIGHT,
    ),
    ("the leader ends right after a message", |t| {
        HOP * 3 + t.news.stale_after() + HOP + IN_FLIGHT
    }),
    (
        "the leader ends, and the store turns the listener away",
        |t| HOP * 3 + t.news.stale_after() + HOP * 2 + IN_FLIGHT,
    ),
    ("the store forgets its history in the leader's pause", |t| {
        t.news.poll_interval() + HOP + WHOLE_READ + HOP * 2 + IN_FLIGHT
    }),
];

/// From the end of a cut to the last request that is sent on a belief from before it.
const RETURNS: &[Way] = &[
    (
        "a call was begun just before the end, a pause follows",
        |t| STORE_CALL_LIMIT + max_retry_pause(t.contact) + HOP + IN_FLIGHT,
    ),
    ("the same, and its first answer comes slowly", |t| {
        STORE_CALL_LIMIT + max_retry_pause(t.contact) + SLOW_QUESTION + IN_FLIGHT
    }),
    ("others tell, over a new session", |t| {
        t.news.poll_interval() + t.news.poll_wait() + HOP * 4 + IN_FLIGHT
    }),
    // What vanishes from then on counts, and is not waited for any more.
    ("the store was away, and reports may have lapsed", |t| {
        STORE_CALL_LIMIT + max_retry_pause(t.contact) + HOP + LAPSE_PROPAGATION_LIMIT
    }),
];

#[rstest]
fn no_way_of_news_takes_longer_than_they_may(
    #[values((2_000, 3_000), (2_500, 4_000), (3_000, 4_000), (4_000, 4_000))] bounds: (u64, u64),
) {
    let (tightest, contact) = (ms(bounds.0), ms(bounds.1));
    let news = FeedTiming {
        tightest_bound: tightest,
    };
    let terms = Terms { news, contact };
    for (way, takes) in WAYS {
        let takes = takes(terms);
        assert!(takes <= tightest, "{way}: {takes:?} of {tightest:?}");
    }
    for (way, takes) in RETURNS {
        let takes = takes(terms);
        assert!(takes <= contact, "{way}: {takes:?} of {contact:?}");
    }
}
