//! Adds up the delays on each path of an update: no sum may exceed its bound.

use std::time::Duration;

use rstest::rstest;
use steering::route::{
    FeedTiming, HOST_ANSWER_LIMIT, LAPSE_PROPAGATION_LIMIT, STORE_CALL_LIMIT, max_retry_pause,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A message and its answer between the two most distant regions (70 ms), on a slow core.
const HOP: Duration = ms(100);
/// A poll of the store on a slow core, with many changed reports.
const SLOW_POLL: Duration = ms(500);
/// Duration of a request whose upstream was selected just before, on a new connection.
const IN_FLIGHT: Duration = ms(200);
/// A complete read of the store: three pages.
const FULL_READ: Duration = ms(300);

/// Bounds of a deployment.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    timing: FeedTiming,
    contact: Duration,
}

/// A path of an update with the fault that forces it, and the longest time that it takes.
type UpdatePath = (&'static str, fn(Bounds) -> Duration);

/// From the store's acknowledgement to the last request that is sent by the old state.
const UPDATE_PATHS: &[UpdatePath] = &[
    ("no fault: poller, first of a group, receiver", |t| {
        t.timing.poll_interval() + HOP * 3 + IN_FLIGHT
    }),
    ("the receiver is busy with an earlier message", |t| {
        t.timing.poll_interval() + HOP * 4 + IN_FLIGHT
    }),
    ("too large for a message: the receiver requests it", |t| {
        t.timing.poll_interval() + HOP * 5 + IN_FLIGHT
    }),
    (
        "the same, from a sender that has terminated; the store is polled",
        |t| t.timing.poll_interval() + HOP * 3 + HOST_ANSWER_LIMIT + HOP + IN_FLIGHT,
    ),
    (
        "any number of hops and late messages: the receiver polls itself",
        |t| t.timing.stale_after() + SLOW_POLL + IN_FLIGHT,
    ),
    ("the poller terminates right after a message", |t| {
        HOP * 3 + t.timing.stale_after() + HOP + IN_FLIGHT
    }),
    (
        "the poller terminates, and the store rejects the receiver",
        |t| HOP * 3 + t.timing.stale_after() + HOP * 2 + IN_FLIGHT,
    ),
    (
        "the poller terminates, and the receiver queries another host that does not answer",
        |t| match t.timing.allows_host_first() {
            true => t.timing.stale_after() + HOST_ANSWER_LIMIT + SLOW_POLL + IN_FLIGHT,
            false => t.timing.stale_after() + SLOW_POLL + IN_FLIGHT,
        },
    ),
    ("the store drops its history between two polls", |t| {
        t.timing.poll_interval() + HOP + FULL_READ + HOP * 2 + IN_FLIGHT
    }),
];

/// From the end of a network cut to the last request that is sent by the state from before
/// the cut.
const RECOVERY_PATHS: &[UpdatePath] = &[
    (
        "a call was in progress at the end of the cut, a pause follows",
        |t| STORE_CALL_LIMIT + max_retry_pause(t.contact) + HOP + IN_FLIGHT,
    ),
    ("the same, and its first answer comes slowly", |t| {
        STORE_CALL_LIMIT + max_retry_pause(t.contact) + SLOW_POLL + IN_FLIGHT
    }),
    ("other hosts send updates over a new session", |t| {
        t.timing.poll_interval() + t.timing.poll_wait() + HOP * 4 + IN_FLIGHT
    }),
    // Reports that vanish later are removed at once.
    (
        "the store was unavailable, and reports may have expired",
        |t| STORE_CALL_LIMIT + max_retry_pause(t.contact) + HOP + LAPSE_PROPAGATION_LIMIT,
    ),
];

#[rstest]
fn no_update_path_exceeds_its_bound(
    #[values((2_000, 3_000), (2_500, 4_000), (3_000, 4_000), (4_000, 4_000), (5_000, 5_000))]
    bounds: (u64, u64),
) {
    let (tightest_bound, contact) = (ms(bounds.0), ms(bounds.1));
    let timing = FeedTiming { tightest_bound };
    let bounds_of_deployment = Bounds { timing, contact };
    for (path, duration) in UPDATE_PATHS {
        let duration = duration(bounds_of_deployment);
        assert!(
            duration <= tightest_bound,
            "{path}: {duration:?} of {tightest_bound:?}"
        );
    }
    for (path, duration) in RECOVERY_PATHS {
        let duration = duration(bounds_of_deployment);
        assert!(duration <= contact, "{path}: {duration:?} of {contact:?}");
    }
}

#[rstest]
#[case::small_deployments(2_000, false)]
#[case::hundreds_of_hosts(3_000, false)]
#[case::wider_bounds(4_000, true)]
#[case::whole_fleet(5_000, true)]
fn another_host_is_queried_first_where_bounds_leave_the_time(
    #[case] tightest_bound_ms: u64,
    #[case] expected: bool,
) {
    let timing = FeedTiming {
        tightest_bound: ms(tightest_bound_ms),
    };
    assert_eq!(timing.allows_host_first(), expected);
}
