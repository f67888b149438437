//! Roll-outs over hosts as values: exposure, the time to stop, and the verdicts, with seeds.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{
    AnswerCounts, AnswerQuality, Coordinator, Evidence, ExposureBound, HostProgress, OrderError,
    RolloutOrder, RolloutReason, RolloutStage, RolloutStatus, Rollouts, RouteCounts, StageChange,
    StoreClock, TrialShare, Verdict, VersionRule, VersionUsage,
};

const HOSTS: usize = 88;
const REQUESTS_PER_S: u64 = 1_400;
const DURATION: Duration = Duration::from_secs(12);
/// Bounds of the operator.
const EXPOSURE: ExposureBound = ExposureBound {
    share: 0.1,
    min_moving_time: Duration::ZERO,
};
const EXPOSURE_SLACK: u64 = 50;
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
const COUNTED_BAD: u64 = 50;
/// Rate of bad answers of every version.
const USUAL_RATE: f64 = 0.003;
const ROUTES: [&str; 2] = ["consulta", "reserva"];
const TICK: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time from a decision until a host applies it: the write, the poll and two hops.
const SPREAD: Duration = Duration::from_millis(1_500);

/// Longest way of the message by which a host learns the store's time.
const CLOCK_LAG: Duration = Duration::from_millis(100);

/// How a version behaves.
#[derive(Debug, Clone, Copy)]
struct Version {
    /// Rate of bad answers beyond the usual one.
    bad_rate: f64,
    /// Time after the order from which it gives them.
    bad_from: Duration,
    /// The only route on which it gives them; `None` for all.
    bad_route: Option<usize>,
}

const GOOD: Version = Version {
    bad_rate: 0.0,
    bad_from: Duration::ZERO,
    bad_route: None,
};

struct Host {
    share: TrialShare,
    counts: BTreeMap<String, RouteCounts>,
    /// Statuses under way to the host, with the time of arrival.
    arriving: VecDeque<(Duration, RolloutStatus)>,
    status: Option<RolloutStatus>,
    /// How far the host's idea of the store's time lies behind.
    clock_lag: Duration,
    /// Until when the host is cut off from all others.
    cut_until: Duration,
    incarnation: u64,
}

/// What callers and upstreams see.
#[derive(Debug, Default)]
struct Seen {
    requests: u64,
    sent_to_new: u64,
    /// Requests sent to the new version before the deadline of the order.
    exposed: u64,
    bad_of_new: u64,
    /// Time of the 50th bad answer.
    counted_at: Option<Duration>,
    /// Time of the last request that a host in touch sent to the new version.
    last_sent: Duration,
    /// Requests sent to the old version after the status `completed`.
    sent_to_old_late: u64,
    last_status: Option<RolloutStatus>,
}

fn order() -> RolloutOrder {
    RolloutOrder::new("s1".to_owned(), "v2".to_owned(), DURATION.as_secs_f64(), 7).unwrap()
}

/// Faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A host is cut off and another starts again.
    CutAndRestart,
    /// The coordinator is lost, and another host takes over.
    CoordinatorLost,
}

fn run(version: Version, fault: Fault, seed: u64) -> Seen {
    let mut rng = StdRng::seed_from_u64(seed);
    let epoch = Instant::now();
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host {
            share: TrialShare::new(rng.random()),
            counts: BTreeMap::new(),
            arriving: VecDeque::new(),
            status: None,
            clock_lag: rng.random_range(Duration::ZERO..CLOCK_LAG),
            cut_until: Duration::ZERO,
            incarnation: 1,
        })
        .collect();
    let names: Vec<String> = (0..HOSTS).map(|n| format!("h{n}")).collect();
    let order = order();
    let mut coordinator = Coordinator::default();
    let first = RolloutStatus {
        service: order.service.clone(),
        to_version: order.to_version.clone(),
        order_revision: order.revision,
        sequence: 1,
        stage: Coordinator::first_stage(EXPOSURE),
        reason: RolloutReason::Ordered,
        coordinator: names[0].clone(),
        ordered_at: Duration::ZERO,
        changed_at: Duration::ZERO,
        moves_at: None,
    };
    let mut seen = Seen::default();
    let mut status = first;
    let mut is_new_status = true;
    let mut now = Duration::ZERO;
    while now < DURATION * 2 {
        if is_new_status {
            for host in &mut hosts {
                let delay = rng.random_range(Duration::ZERO..SPREAD);
                let at = (now + delay).max(host.cut_until);
                host.arriving.push_back((at, status.clone()));
            }
        }
        if fault == Fault::CutAndRestart && now == Duration::from_secs(3) {
            hosts[5].cut_until = Duration::from_secs(7);
            hosts[6].incarnation += 1;
            hosts[6].share = TrialShare::new(rng.random());
            hosts[6].counts.clear();
        }
        if fault == Fault::CoordinatorLost && now == Duration::from_secs(2) {
            coordinator = Coordinator::default();
        }
        let requests = REQUESTS_PER_S * TICK.as_millis() as u64 / 1_000;
        for _ in 0..requests {
            let index = rng.random_range(0..HOSTS);
            let is_completed = status.stage == RolloutStage::Completed;
            let sent_before = seen.sent_to_new;
            request(&mut hosts[index], version, now, &mut rng, &mut seen);
            let to_old = seen.sent_to_new == sent_before;
            seen.sent_to_old_late += u64::from(is_completed && to_old);
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            while host.arriving.front().is_some_and(|(at, _)| *at <= now) {
                let (_, arrived) = host.arriving.pop_front().unwrap();
                let known = host.status.as_ref();
                if known.is_none_or(|known| arrived.is_newer_than(known)) {
                    host.status = Some(arrived);
                }
            }
            let store_time = now.saturating_sub(host.clock_lag);
            let planned = host
                .status
                .as_ref()
                .and_then(|known| known.planned_move(store_time));
            host.status = planned.or(host.status.take());
            let phase = TICK * (index as u32 % 10);
            let due = (now + phase).as_millis();
            let reports = due.is_multiple_of(REPORT_INTERVAL.as_millis());
            let Some(known) = host
                .status
                .as_ref()
                .filter(|_| reports && host.cut_until <= now)
            else {
                continue;
            };
            let progress = HostProgress {
                incarnation: host.incarnation,
                sequence: known.sequence,
                uses_old_version: known.stage != RolloutStage::Moving,
                counts: host.counts.clone(),
            };
            coordinator.report(epoch + now, &names[index], progress);
        }
        let next =
            coordinator.next_stage(Some(&order), &status, EXPOSURE, now, epoch + now, &names);
        is_new_status = next.is_some();
        if let Some(change) = next {
            status = status.followed_by(change, names[0].clone(), now);
        }
        now += TICK;
    }
    seen.last_status = Some(status);
    seen
}

fn request(host: &mut Host, version: Version, now: Duration, rng: &mut StdRng, seen: &mut Seen) {
    seen.requests += u64::from(now < DURATION);
    let Some(status) = &host.status else {
        return;
    };
    host.share.received(status.order_revision);
    let to_new = match status.stage {
        RolloutStage::Trial { share_per_mille } => {
            let position = rng.random();
            // A host that is cut off uses the old version.
            host.cut_until <= now && host.share.may_send(EXPOSURE, share_per_mille, position)
        }
        RolloutStage::Moving | RolloutStage::Completed => true,
        RolloutStage::RolledBack => false,
    };
    let route = rng.random_range(0..ROUTES.len());
    let is_bad_route = version.bad_route.is_none_or(|bad| bad == route);
    let is_worse = to_new && now >= version.bad_from && is_bad_route;
    let rate = USUAL_RATE + if is_worse { version.bad_rate } else { 0.0 };
    let quality = match rng.random_bool(rate) {
        true => AnswerQuality::Failed,
        false => AnswerQuality::Good,
    };
    let counts = host.counts.entry(ROUTES[route].to_owned()).or_default();
    let counts: &mut AnswerCounts = match to_new {
        true => &mut counts.new,
        false => &mut counts.old,
    };
    counts.add(quality);
    if !to_new {
        return;
    }
    host.share.sent();
    seen.sent_to_new += 1;
    seen.exposed += u64::from(now < DURATION);
    seen.last_sent = now;
    seen.bad_of_new += u64::from(quality != AnswerQuality::Good);
    if seen.bad_of_new >= COUNTED_BAD && seen.counted_at.is_none() {
        seen.counted_at = Some(now);
    }
}

const fn bad(percent: u32) -> Version {
    Version {
        bad_rate: percent as f64 / 100.0,
        ..GOOD
    }
}

const fn late(percent: u32, from_s: u64) -> Version {
    Version {
        bad_from: Duration::from_secs(from_s),
        ..bad(percent)
    }
}

const ON_ONE_ROUTE: Version = Version {
    bad_route: Some(1),
    ..bad(20)
};

#[rstest]
fn bad_versions_are_rolled_back_within_the_bounds(
    #[values(bad(5), bad(20), bad(50), late(20, 3), late(50, 4), ON_ONE_ROUTE)] version: Version,
    #[values(Fault::None, Fault::CutAndRestart, Fault::CoordinatorLost)] fault: Fault,
    #[values(1, 2, 3)] seed: u64,
) {
    let seen = run(version, fault, seed);
    let status = seen.last_status.as_ref().unwrap();
    assert_eq!(status.stage, RolloutStage::RolledBack, "{seen:?}");
    let max = (seen.requests as f64 * EXPOSURE.share) as u64 + EXPOSURE_SLACK;
    assert!(seen.sent_to_new <= max, "{seen:?}");
    if let Some(at) = seen.counted_at {
        assert!(seen.last_sent <= at + ROLLBACK_TIME, "{seen:?}");
    }
}

/// The sum over the whole order keeps the bound, also if a version turns bad after all requests
/// have moved to it.
#[rstest]
fn exposure_holds_whenever_a_version_turns_bad(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] from_s: u64,
    #[values(Fault::None, Fault::CutAndRestart, Fault::CoordinatorLost)] fault: Fault,
    #[values(1, 2, 3)] seed: u64,
) {
    let seen = run(late(20, from_s), fault, seed);
    let max = (seen.requests as f64 * EXPOSURE.share) as u64 + EXPOSURE_SLACK;
    assert!(seen.exposed <= max, "{seen:?}");
    let status = seen.last_status.as_ref().unwrap();
    if status.stage == RolloutStage::Completed {
        let bad_for = status
            .changed_at
            .saturating_sub(Duration::from_secs(from_s));
        assert!(bad_for < ROLLBACK_TIME, "{seen:?}");
    } else if let Some(at) = seen.counted_at {
        assert!(seen.last_sent <= at + ROLLBACK_TIME, "{seen:?}");
    }
}

#[rstest]
fn good_versions_are_completed_in_time(
    #[values(Fault::None, Fault::CutAndRestart, Fault::CoordinatorLost)] fault: Fault,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let seen = run(GOOD, fault, seed);
    let status = seen.last_status.as_ref().unwrap();
    assert_eq!(status.stage, RolloutStage::Completed, "{seen:?}");
    assert!(status.changed_at < DURATION, "{seen:?}");
    assert_eq!(seen.sent_to_old_late, 0, "the old version has stopped");
}

/// The shares of all hosts together keep the bound, however the requests are spread.
#[rstest]
#[case::alike(1, 1)]
#[case::few_requests_each(986, 1)]
#[case::one_host_has_most(986, 500)]
fn shares_of_all_hosts_keep_the_bound(#[case] hosts: u64, #[case] of_first: u64) {
    let mut rng = StdRng::seed_from_u64(5);
    let (mut received, mut sent) = (0, 0);
    for host in 0..hosts {
        let mut share = TrialShare::default();
        let requests = if host == 0 { of_first * 100 } else { 30 };
        for _ in 0..requests {
            received += 1;
            share.received(7);
            if share.may_send(EXPOSURE, 1_000, rng.random()) {
                share.sent();
                sent += 1;
            }
        }
    }
    assert!(sent as f64 <= received as f64 * EXPOSURE.share);
}

#[rstest]
#[case::no_version("", 12.0, OrderError::NoVersion)]
#[case::no_time("v2", 0.0, OrderError::Duration)]
#[case::negative("v2", -1.0, OrderError::Duration)]
#[case::no_number("v2", f64::NAN, OrderError::Duration)]
#[case::huge("v2", 1e30, OrderError::Duration)]
fn invalid_orders_are_refused(
    #[case] version: &str,
    #[case] duration_s: f64,
    #[case] expected: OrderError,
) {
    let order = RolloutOrder::new("s1".to_owned(), version.to_owned(), duration_s, 1);
    assert_eq!(order, Err(expected));
}

fn status(order_revision: u64, stage: RolloutStage) -> RolloutStatus {
    RolloutStatus {
        service: "s1".to_owned(),
        to_version: "v2".to_owned(),
        order_revision,
        sequence: 3,
        stage,
        reason: RolloutReason::Ordered,
        coordinator: "h1".to_owned(),
        ordered_at: Duration::ZERO,
        changed_at: Duration::ZERO,
        moves_at: None,
    }
}

const TRIAL: RolloutStage = RolloutStage::Trial {
    share_per_mille: 50,
};

/// Order and status as known, the versions of the service's upstreams, and how the old and
/// the new version are used.
#[rstest]
#[case::no_order(false, None, &["v1", "v2"], (VersionUsage::Regular, VersionUsage::Regular))]
#[case::order_only(true, None, &["v1", "v2"], (VersionUsage::Regular, VersionUsage::Unused))]
#[case::all_have_moved(true, None, &["v2"], (VersionUsage::Regular, VersionUsage::Regular))]
#[case::trial(true, Some((7, TRIAL)), &["v1", "v2"], (VersionUsage::Regular, VersionUsage::Other))]
#[case::withdrawn(false, Some((7, TRIAL)), &["v1", "v2"], (VersionUsage::Regular, VersionUsage::Unused))]
#[case::earlier_order(true, Some((5, RolloutStage::Completed)), &["v1", "v2"], (VersionUsage::Regular, VersionUsage::Unused))]
#[case::moving(true, Some((7, RolloutStage::Moving)), &["v1", "v2"], (VersionUsage::Other, VersionUsage::Regular))]
#[case::completed(true, Some((7, RolloutStage::Completed)), &["v1", "v2"], (VersionUsage::Unused, VersionUsage::Regular))]
#[case::rolled_back(true, Some((7, RolloutStage::RolledBack)), &["v1", "v2"], (VersionUsage::Regular, VersionUsage::Unused))]
#[case::rolled_back_alone(true, Some((7, RolloutStage::RolledBack)), &["v2"], (VersionUsage::Regular, VersionUsage::Unused))]
fn versions_are_used_by_order_and_stage(
    #[case] is_ordered: bool,
    #[case] known: Option<(u64, RolloutStage)>,
    #[case] versions: &[&str],
    #[case] expected: (VersionUsage, VersionUsage),
) {
    let mut rollouts = Rollouts::default();
    if is_ordered {
        rollouts.order(&order());
    }
    if let Some((revision, stage)) = known {
        rollouts.update(&status(revision, stage));
    }
    let upstreams: BTreeMap<&str, usize> = versions.iter().map(|v| (*v, 3)).collect();
    let rule = rollouts.rule("s1", &upstreams);
    assert_eq!((rule.usage("v1"), rule.usage("v2")), expected);
    assert_eq!(rollouts.rule("s2", &upstreams), VersionRule::Any);
}

#[test]
fn older_statuses_and_orders_change_nothing() {
    let mut rollouts = Rollouts::default();
    assert!(rollouts.order(&order()));
    assert!(!rollouts.order(&order()));
    assert!(rollouts.update(&status(7, RolloutStage::Moving)));
    assert!(!rollouts.update(&status(7, TRIAL)));
    assert!(!rollouts.update(&status(6, RolloutStage::Completed)));
    assert_eq!(rollouts.active().len(), 1);
    let before = rollouts.digest();
    assert!(rollouts.update(&RolloutStatus {
        sequence: 4,
        ..status(7, RolloutStage::Completed)
    }));
    assert_ne!(rollouts.digest(), before);
    assert!(rollouts.active().is_empty());
    assert!(rollouts.withdraw("s1"));
    assert!(
        rollouts.active().is_empty(),
        "a decided roll-out stays decided"
    );
}

fn planned(moves_at_s: u64) -> RolloutStatus {
    RolloutStatus {
        moves_at: Some(Duration::from_secs(moves_at_s)),
        ..status(7, TRIAL)
    }
}

/// A move begins at its instant without a message, in the digest of no host, and gives way to a
/// roll-back, heard before or after it.
#[rstest]
#[case::before_its_instant(9, None, (VersionUsage::Regular, VersionUsage::Other))]
#[case::at_its_instant(10, None, (VersionUsage::Other, VersionUsage::Regular))]
#[case::vetoed_before(9, Some(10), (VersionUsage::Regular, VersionUsage::Unused))]
#[case::vetoed_after(10, Some(10), (VersionUsage::Regular, VersionUsage::Unused))]
fn planned_moves_begin_unless_replaced(
    #[case] store_time_s: u64,
    #[case] vetoed_at_s: Option<u64>,
    #[case] expected: (VersionUsage, VersionUsage),
) {
    let mut rollouts = Rollouts::default();
    rollouts.order(&order());
    rollouts.update(&planned(10));
    let shared = rollouts.digest();
    rollouts.begin_moves(Duration::from_secs(store_time_s));
    assert_eq!(rollouts.digest(), shared);
    if let Some(at) = vetoed_at_s {
        let veto = StageChange {
            stage: RolloutStage::RolledBack,
            reason: RolloutReason::BadAnswers,
            moves_at: None,
        };
        let at = Duration::from_secs(at);
        let veto = planned(10).followed_by(veto, "h1".to_owned(), at);
        assert!(rollouts.update(&veto));
        assert!(!rollouts.begin_moves(at), "the plan is void");
    }
    let upstreams = BTreeMap::from([("v1", 3), ("v2", 3)]);
    let rule = rollouts.rule("s1", &upstreams);
    assert_eq!((rule.usage("v1"), rule.usage("v2")), expected);
}

#[test]
fn a_move_that_has_begun_is_confirmed_by_the_stored_status() {
    let mut rollouts = Rollouts::default();
    rollouts.order(&order());
    rollouts.update(&planned(10));
    assert_eq!(rollouts.next_move_at(), Some(Duration::from_secs(10)));
    assert!(rollouts.begin_moves(Duration::from_secs(10)));
    assert!(
        !rollouts.begin_moves(Duration::from_secs(11)),
        "it has begun"
    );
    assert_eq!(rollouts.next_move_at(), None);
    let begun = rollouts.applied_status("s1").cloned().unwrap();
    let stored = planned(10).planned_move(Duration::from_secs(11)).unwrap();
    assert_eq!(begun, stored);
    assert!(rollouts.update(&stored));
    assert_eq!(rollouts.applied_status("s1"), Some(&stored));
}

/// Times in ms: by the store's clock, and of the arrival by the host's.
#[rstest]
#[case::unknown(&[], None)]
#[case::one(&[(500, 100)], Some(1_400))]
#[case::slower_message(&[(500, 100), (600, 400)], Some(1_400))]
#[case::faster_message(&[(500, 100), (700, 200)], Some(1_500))]
#[case::too_old(&[(500, 100)], None)]
fn the_fastest_observation_tells_the_store_time(
    #[case] observed: &[(u64, u64)],
    #[case] expected_ms: Option<u64>,
) {
    let epoch = Instant::now();
    let mut clock = StoreClock::default();
    for (store_ms, at_ms) in observed {
        let at = epoch + Duration::from_millis(*at_ms);
        clock.observe(Duration::from_millis(*store_ms), at);
    }
    let asked_after = match expected_ms {
        Some(_) => Duration::from_secs(1),
        None => Duration::from_secs(61),
    };
    let time = clock.time(epoch + asked_after);
    assert_eq!(time, expected_ms.map(Duration::from_millis));
}

/// Answers of a version that was good for a while, reported ten by ten. Returns the number of
/// bad answers beyond the usual ones at the verdict; `None` if the version is not found bad.
fn bad_answers_until_found(
    good_answers: u64,
    bad_rate: f64,
    one_route: bool,
    seed: u64,
) -> Option<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut evidence = Evidence::default();
    let mut counts: BTreeMap<String, RouteCounts> = BTreeMap::new();
    let mut extra_bad = 0;
    let quality = |is_bad| match is_bad {
        true => AnswerQuality::Failed,
        false => AnswerQuality::Good,
    };
    for number in 0..good_answers + 40_000 {
        let route = rng.random_range(0..ROUTES.len());
        let counts_of_route = counts.entry(ROUTES[route].to_owned()).or_default();
        for _ in 0..10 {
            counts_of_route
                .old
                .add(quality(rng.random_bool(USUAL_RATE)));
        }
        let is_worse = number >= good_answers && (!one_route || route == 1);
        let is_extra = is_worse && rng.random_bool(bad_rate);
        extra_bad += u64::from(is_extra);
        counts_of_route
            .new
            .add(quality(is_extra || rng.random_bool(USUAL_RATE)));
        if number % 10 != 0 {
            continue;
        }
        evidence.record("h1", 1, counts.clone());
        if Verdict::of(&evidence) == Verdict::Bad {
            return Some(extra_bad);
        }
    }
    None
}

/// The operators count 50 bad answers, however many good ones were before.
#[rstest]
fn versions_that_turn_bad_are_found_by_few_bad_answers(
    #[values(0, 500, 5_000, 50_000)] good_answers: u64,
    #[values(0.02, 0.05, 0.2, 0.5)] bad_rate: f64,
    #[values(false, true)] one_route: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let found = bad_answers_until_found(good_answers, bad_rate, one_route, seed);
    assert!(found.is_some_and(|bad| bad <= COUNTED_BAD), "{found:?}");
}

#[rstest]
fn good_versions_are_not_found_bad(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    assert_eq!(bad_answers_until_found(100_000, 0.0, false, seed), None);
}
