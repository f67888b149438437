//! This host's shares of limits that all hosts share.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{CallerAttempt, CallerTimeouts, ColdSends, RetryShare, cold_share};

/// Long after a start.
const RUNNING: Duration = Duration::from_secs(60);

/// Sends as much as every host's share allows for 10 s, with one attempt per millisecond,
/// and returns the largest number that arrives within any second. Each request arrives up
/// to `late_ms` late.
fn max_per_second(hosts: usize, limit_per_s: f64, late_ms: u64) -> usize {
    let start = Instant::now();
    let mut arrivals = Vec::new();
    let names: Vec<String> = (0..hosts).map(|host| format!("host-{host}")).collect();
    for (host, name) in names.iter().enumerate() {
        let mut sends = ColdSends::default();
        let share = cold_share(limit_per_s, "upstream-1", name, Some(&names), RUNNING);
        for ms in 0..10_000u64 {
            let now = start + Duration::from_millis(ms);
            if sends.has_room(now, share) {
                sends.take(now);
                let delay_ms = (host as u64 * 31 + ms * 17) % (late_ms + 1);
                arrivals.push(ms + delay_ms);
            }
        }
    }
    arrivals.sort_unstable();
    let in_second = |from: u64| {
        let within = arrivals
            .iter()
            .filter(|at| (from..from + 1_000).contains(*at));
        within.count()
    };
    let counts = arrivals.iter().map(|from| in_second(*from));
    counts.max().unwrap_or(0)
}

#[rstest]
#[case::railway(9, 26.0)]
#[case::tax_platform(9, 10.25)]
#[case::grown(80, 16.4)]
#[case::alone(1, 26.0)]
#[case::one_each(10, 12.0)]
#[case::aim_of_a_zone(42, 10.0)]
fn shares_never_sum_to_more_than_the_limit(#[case] hosts: usize, #[case] limit_per_s: f64) {
    let max = max_per_second(hosts, limit_per_s, 90);
    assert!(max as f64 <= limit_per_s, "{max} of {limit_per_s}");
    assert!(max > 0, "no request could be sent");
}

/// Hosts that are killed in series, `lost` at once, and start again after `gap_ms`.
#[rstest]
#[case::all_once(9, 26.0, 9, 300, 1)]
#[case::most_in_series(9, 26.0, 6, 400, 5)]
#[case::one_after_the_other(12, 26.0, 1, 200, 12)]
#[case::at_once(9, 26.0, 9, 0, 10)]
#[case::alone(1, 10.25, 1, 200, 5)]
#[case::grown(80, 100.0, 48, 300, 3)]
fn restarts_in_series_do_not_renew_the_share_of_a_cold_upstream(
    #[case] hosts: usize,
    #[case] limit_per_s: f64,
    #[case] lost: usize,
    #[case] gap_ms: u64,
    #[case] losses: u64,
) {
    let start = Instant::now();
    let names: Vec<String> = (0..hosts).map(|host| format!("host-{host}")).collect();
    let mut sends: Vec<ColdSends> = names.iter().map(|_| ColdSends::default()).collect();
    let mut started_ms = vec![0; hosts];
    let mut arrivals = Vec::new();
    for ms in 2_000..8_000u64 {
        let (round, into_round_ms) = ((ms - 2_000) / 500, (ms - 2_000) % 500);
        for host in 0..hosts {
            let is_hit = (host + round as usize * lost) % hosts < lost && round < losses;
            if is_hit && into_round_ms == 0 {
                sends[host] = ColdSends::default();
                started_ms[host] = ms + gap_ms;
            }
            let Some(running_ms) = ms.checked_sub(started_ms[host]) else {
                continue;
            };
            let running_for = Duration::from_millis(running_ms);
            let name = &names[host];
            let share = cold_share(limit_per_s, "upstream-1", name, Some(&names), running_for);
            let now = start + Duration::from_millis(ms);
            if sends[host].has_room(now, share) {
                sends[host].take(now);
                arrivals.push(ms);
            }
        }
    }
    let within = |from: &u64| {
        let until = arrivals.partition_point(|at| *at < from + 1_000);
        until - arrivals.partition_point(|at| at < from)
    };
    let max = arrivals.iter().map(within).max().unwrap_or(0);
    assert!(max as f64 <= limit_per_s, "{max} of {limit_per_s}");
    assert!(max > 0, "no request could be sent");
}

/// Guards against an excess of the limit after a restart of all hosts: none knew the others
/// yet, so each used the whole limit.
#[test]
fn share_is_zero_while_the_hosts_are_unknown() {
    let now = Instant::now();
    assert_eq!(cold_share(26.0, "upstream-1", "host-1", None, RUNNING), 0);
    let mut retries = RetryShare::new(0.2, 58.0, Duration::from_secs(10));
    assert!(
        !retries
            .take_retry(now, None, CallerAttempt::First)
            .is_allowed
    );
}

#[rstest]
#[case::only_spare(0, 58.0, 9, 5)]
#[case::ratio_and_spare(100, 58.0, 9, 22)]
#[case::no_spare(100, 0.0, 9, 17)]
#[case::too_few(4, 0.0, 9, 0)]
#[case::many_hosts(10, 200.0, 80, 3)]
fn retries_stay_within_their_share(
    #[case] requests: usize,
    #[case] slack: f64,
    #[case] hosts: usize,
    #[case] retries: usize,
) {
    const STEPS: u64 = 100;
    let step = Duration::from_millis(100);
    let start = Instant::now();
    let mut share = RetryShare::new(0.2, slack, Duration::from_secs(10));
    let at_start = share.take_retry(start, Some(hosts), CallerAttempt::First);
    assert!(!at_start.is_allowed);
    let mut granted = 0;
    // A window without failures, then one in which far more retries are asked for.
    for number in 0..2 * STEPS {
        let now = start + step * number as u32;
        let sent = |number: u64| number as usize * requests / STEPS as usize;
        (sent(number)..sent(number + 1)).for_each(|_| share.request(now));
        let tries = if number < STEPS { 0 } else { 10 };
        for _ in 0..tries {
            let grant = share.take_retry(now, Some(hosts), CallerAttempt::First);
            granted += usize::from(grant.is_allowed);
        }
    }
    assert_eq!(granted, retries);
    let later = start + Duration::from_secs(31);
    assert_eq!(
        share
            .take_retry(later, Some(hosts), CallerAttempt::First)
            .is_allowed,
        slack / hosts as f64 * 0.85 >= 1.0
    );
}

/// Guards against a budget that a host uses once more with each of its processes.
#[test]
fn a_new_process_has_no_retries_in_advance() {
    let now = Instant::now();
    let mut share = RetryShare::new(0.2, 58.0, Duration::from_secs(10));
    (0..5).for_each(|_| share.request(now));
    assert!(
        !share
            .take_retry(now, Some(1), CallerAttempt::Later)
            .is_allowed
    );
    share.request(now);
    assert!(
        share
            .take_retry(now, Some(1), CallerAttempt::Later)
            .is_allowed
    );
    assert!(
        !share
            .take_retry(now, Some(1), CallerAttempt::Later)
            .is_allowed
    );
}

/// Returns the share of callers that stay unserved, of a thousand callers per second, while
/// upstreams refuse requests with probability `refused`. A refused caller comes back once,
/// half a second later. `known` says whether the host can tell returning callers.
fn unserved(refused: f64, known: bool) -> f64 {
    const CALLERS: u64 = 20_000;
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    let mut share = RetryShare::new(0.2, 0.0, Duration::from_secs(10));
    let mut returning_at: VecDeque<Instant> = VecDeque::new();
    let mut unserved_callers = 0;
    for ms in 0..CALLERS + 1_000 {
        let now = start + Duration::from_millis(ms);
        let returning = returning_at.front().is_some_and(|at| *at <= now);
        let returning = returning
            .then(|| returning_at.pop_front())
            .flatten()
            .map(|_| CallerAttempt::Later);
        let first = (ms < CALLERS).then_some(CallerAttempt::First);
        for attempt in [returning, first].into_iter().flatten() {
            share.request(now);
            let reported = if known { attempt } else { CallerAttempt::First };
            let mut is_served = !rng.random_bool(refused);
            if !is_served && share.take_retry(now, Some(1), reported).is_allowed {
                is_served = !rng.random_bool(refused);
            }
            match attempt {
                _ if is_served => {}
                CallerAttempt::First => returning_at.push_back(now + Duration::from_millis(500)),
                CallerAttempt::Later => unserved_callers += 1,
            }
        }
    }
    f64::from(unserved_callers) / CALLERS as f64
}

/// While retries are scarce, fewer callers stay unserved; otherwise nothing changes.
#[rstest]
#[case::few_refused(0.1, 0.0, 0.0)]
#[case::budget_just_enough(0.15, 0.001, 0.001)]
#[case::a_third(0.35, 0.057, 0.034)]
#[case::more_than_half(0.55, 0.218, 0.179)]
fn returning_callers_are_retried_first(
    #[case] refused: f64,
    #[case] expected_unknown: f64,
    #[case] expected_known: f64,
) {
    let (unknown, known) = (unserved(refused, false), unserved(refused, true));
    assert!(
        (unknown - expected_unknown).abs() < 0.005,
        "{unknown} if unknown"
    );
    assert!((known - expected_known).abs() < 0.005, "{known}");
    assert!(known < unknown + 0.005, "{known}, {unknown} if unknown");
}

#[test]
fn returning_callers_state_shorter_timeouts() {
    let mut timeouts = CallerTimeouts::default();
    let s = Duration::from_secs;
    assert_eq!(timeouts.take(s(12)), CallerAttempt::First);
    assert_eq!(timeouts.take(s(11)), CallerAttempt::Later);
    assert_eq!(timeouts.take(s(12)), CallerAttempt::First);
    assert_eq!(
        timeouts.take(s(100)),
        CallerAttempt::First,
        "a caller with a far longer timeout"
    );
    assert_eq!(timeouts.take(s(12)), CallerAttempt::Later);
    for _ in 0..3_000 {
        timeouts.take(s(12));
    }
    assert_eq!(
        timeouts.take(s(12)),
        CallerAttempt::First,
        "the long timeout has expired"
    );
}
