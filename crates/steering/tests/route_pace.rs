//! This host's parts of shared bounds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{CallerAttempt, CallerTimeouts, ColdSends, RetryShare, cold_share};

/// Sends as many as every host's part allows for 10 s, one try each millisecond, and
/// gives the most that arrive in any second, each up to `late_ms` late.
fn most_in_a_second(hosts: usize, bound: f64, late_ms: u64) -> usize {
    let begun = Instant::now();
    let mut arrivals = Vec::new();
    let names: Vec<String> = (0..hosts).map(|host| format!("host-{host}")).collect();
    for (host, name) in names.iter().enumerate() {
        let mut part = ColdSends::default();
        let share = cold_share(bound, "upstream-1", name, Some(&names));
        for ms in 0..10_000u64 {
            let now = begun + Duration::from_millis(ms);
            if part.has_room(now, share) {
                part.take(now);
                let late = (host as u64 * 31 + ms * 17) % (late_ms + 1);
                arrivals.push(ms + late);
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
fn parts_never_sum_to_more_than_the_bound(#[case] hosts: usize, #[case] bound: f64) {
    let most = most_in_a_second(hosts, bound, 90);
    assert!(most as f64 <= bound, "{most} of {bound}");
    assert!(most > 0, "nothing could be sent at all");
}

/// Found by a hunt: after a restart of all hosts each took the whole bound, since none
/// knew of the others yet.
#[test]
fn no_part_while_the_hosts_are_not_known() {
    let now = Instant::now();
    assert_eq!(cold_share(26.0, "upstream-1", "host-1", None), 0);
    let mut repeats = RetryShare::new(0.2, 58.0, Duration::from_secs(10));
    assert!(!repeats.take_retry(now, None, CallerAttempt::First));
}

#[rstest]
#[case::only_spare(0, 58.0, 9, 5)]
#[case::ratio_and_spare(100, 58.0, 9, 22)]
#[case::no_spare(100, 0.0, 9, 17)]
#[case::too_few(4, 0.0, 9, 0)]
#[case::many_hosts(10, 200.0, 80, 3)]
fn repeats_stay_in_their_part(
    #[case] firsts: usize,
    #[case] spare: f64,
    #[case] hosts: usize,
    #[case] repeats: usize,
) {
    let now = Instant::now();
    let mut part = RetryShare::new(0.2, spare, Duration::from_secs(10));
    for _ in 0..firsts {
        part.request(now);
    }
    let taken = (0..1_000)
        .filter(|_| part.take_retry(now, Some(hosts), CallerAttempt::First))
        .count();
    assert_eq!(taken, repeats);
    let later = now + Duration::from_secs(11);
    assert_eq!(
        part.take_retry(later, Some(hosts), CallerAttempt::First),
        spare / hosts as f64 * 0.85 >= 1.0
    );
}

/// Of a thousand callers a second, those that stay unserved while upstreams refuse `refused`
/// of all that they get, by chance. A caller that is refused comes back once, half a second
/// later. `known` says whether the host can tell that.
fn unserved(refused: f64, known: bool) -> f64 {
    const CALLERS: u64 = 20_000;
    let begun = Instant::now();
    let mut chance = StdRng::seed_from_u64(7);
    let mut part = RetryShare::new(0.2, 0.0, Duration::from_secs(10));
    let mut returns: VecDeque<Instant> = VecDeque::new();
    let mut lost = 0;
    for ms in 0..CALLERS + 1_000 {
        let now = begun + Duration::from_millis(ms);
        let back = returns.front().is_some_and(|at| *at <= now);
        let back = back
            .then(|| returns.pop_front())
            .flatten()
            .map(|_| CallerAttempt::Later);
        let new = (ms < CALLERS).then_some(CallerAttempt::First);
        for came in [back, new].into_iter().flatten() {
            part.request(now);
            let told = if known { came } else { CallerAttempt::First };
            let mut is_served = !chance.random_bool(refused);
            if !is_served && part.take_retry(now, Some(1), told) {
                is_served = !chance.random_bool(refused);
            }
            match came {
                _ if is_served => {}
                CallerAttempt::First => returns.push_back(now + Duration::from_millis(500)),
                CallerAttempt::Later => lost += 1,
            }
        }
    }
    f64::from(lost) / CALLERS as f64
}

/// While the budget is scarce fewer callers stay unserved; else nothing changes.
#[rstest]
#[case::few_refused(0.1, 0.0, 0.0)]
#[case::budget_just_enough(0.15, 0.001, 0.001)]
#[case::a_third(0.35, 0.057, 0.034)]
#[case::more_than_half(0.55, 0.218, 0.179)]
fn callers_that_came_before_are_repeated_first(
    #[case] refused: f64,
    #[case] before: f64,
    #[case] now: f64,
) {
    let (unknown, known) = (unserved(refused, false), unserved(refused, true));
    assert!((unknown - before).abs() < 0.005, "{unknown} as before");
    assert!((known - now).abs() < 0.005, "{known}");
    assert!(known < unknown + 0.005, "{known}, {unknown} before");
}

#[test]
fn callers_that_came_before_state_less_time() {
    let mut patience = CallerTimeouts::default();
    let s = Duration::from_secs;
    assert_eq!(patience.take(s(12)), CallerAttempt::First);
    assert_eq!(patience.take(s(11)), CallerAttempt::Later);
    assert_eq!(patience.take(s(12)), CallerAttempt::First);
    assert_eq!(
        patience.take(s(100)),
        CallerAttempt::First,
        "one that waits far longer"
    );
    assert_eq!(patience.take(s(12)), CallerAttempt::Later);
    for _ in 0..3_000 {
        patience.take(s(12));
    }
    assert_eq!(
        patience.take(s(12)),
        CallerAttempt::First,
        "the one is forgotten"
    );
}
