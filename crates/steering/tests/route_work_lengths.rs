//! Short urgent work beside long patient work at the same upstreams.

mod route_world;
mod work_length_world;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use route_world::{choose, pool, requirements, service};
use rstest::rstest;
use steering::route::{
    AnswerOutcome, PoolPart, Requirements, ShortShare, WorkLength, WorkMix, unit_hash,
};
use work_length_world::{Kind, Outcome, World};

const UPSTREAMS: usize = 24;
const SLOTS: f64 = (UPSTREAMS * 3) as f64;
const TIME: Duration = Duration::from_secs(30);

const SHORT: Kind = Kind {
    goal: Duration::from_millis(300),
    work: Duration::from_millis(372),
    worth: 3.0,
    priority: 0,
    per_s: 0.0,
    objects: 30,
};
const LONG: Kind = Kind {
    goal: Duration::from_millis(1_500),
    work: Duration::from_millis(2_120),
    worth: 1.0,
    priority: 2,
    per_s: 0.0,
    objects: 22,
};

/// Returns both kinds with rates that take up `load` of the slots if all objects are held.
/// There are 1.2 requests of the first for each of the second.
fn at_load(load: f64, kinds: [Kind; 2]) -> [Kind; 2] {
    let [first_s, second_s] = kinds.map(|kind| 0.3 * kind.work.as_secs_f64());
    let per_s = load * SLOTS / (1.2 * first_s + second_s);
    let [first, second] = kinds;
    [
        Kind {
            per_s: 1.2 * per_s,
            ..first
        },
        Kind { per_s, ..second },
    ]
}

fn play(kinds: &[Kind], divides: bool, seed: u64) -> World {
    let now = Instant::now();
    let mut world = World::new(UPSTREAMS, kinds, divides, seed, now);
    world.play(now, TIME);
    world
}

/// Sums of several worlds, by kind and in all.
fn outcomes(kinds: &[Kind], divides: bool) -> [Outcome; 3] {
    let mut sums = [Outcome::default(); 3];
    for seed in 1..=4 {
        let world = play(kinds, divides, seed);
        for (kind, outcome) in world.outcomes.iter().enumerate() {
            sums[kind].add(outcome);
            sums[2].add(outcome);
        }
    }
    sums
}

/// Share of the slots that the work takes, and the share of its worth that the short work
/// has to earn.
#[rstest]
#[case::quiet(0.36, 0.8)]
#[case::busy(0.75, 0.8)]
#[case::more_than_the_slots_bear(1.1, 0.45)]
fn short_work_does_not_wait_behind_long_work(#[case] load: f64, #[case] short_share: f64) {
    let kinds = at_load(load, [SHORT, LONG]);
    let [short, long, all] = outcomes(&kinds, true);
    let [_, _, all_undivided] = outcomes(&kinds, false);
    let (short, long) = (short.share(), long.share());
    assert!(short >= short_share, "short work earns {short}");
    assert!(short >= long, "short work earns {short}, long work {long}");
    let (all, all_undivided) = (all.share(), all_undivided.share());
    assert!(
        all > all_undivided,
        "all earn {all}, undivided {all_undivided}"
    );
}

/// Kinds whose goals are alike, or of which the shorter one is not the more urgent one, go
/// to the same upstreams as if no lengths were told apart.
#[rstest]
fn other_services_keep_their_choices(
    #[values(
        (400, 480, 2, 500, 640, 1),
        (300, 384, 2, 300, 384, 2),
        (1_500, 2_240, 2, 2_000, 2_920, 1),
        (400, 640, 2, 600, 840, 1),
        (250, 360, 0, 400, 520, 2),
        (300, 372, 2, 1_500, 2_120, 2),
        (300, 372, 2, 1_500, 2_120, 0)
    )]
    kinds: (u64, u64, u32, u64, u64, u32),
    #[values(0.36, 0.75, 1.1)] load: f64,
) {
    let (first_goal, first_work, first_priority, second_goal, second_work, second_priority) = kinds;
    let first = Kind {
        goal: Duration::from_millis(first_goal),
        work: Duration::from_millis(first_work),
        priority: first_priority,
        ..SHORT
    };
    let second = Kind {
        goal: Duration::from_millis(second_goal),
        work: Duration::from_millis(second_work),
        priority: second_priority,
        ..LONG
    };
    let kinds = at_load(load, [first, second]);
    let (told_apart, alike) = (play(&kinds, true, 1), play(&kinds, false, 1));
    assert!(told_apart.chosen.len() > 100);
    assert_eq!(told_apart.chosen, alike.chosen);
}

#[test]
fn upstreams_of_the_part_come_first_and_the_others_after_them() {
    let service = service(16, Duration::ZERO, Instant::now());
    let pool = pool(&service);
    let part = |length, short_share| {
        let part = PoolPart {
            length,
            short_share,
        };
        let ranked: Vec<usize> = pool.rank_for(42, Some(part)).collect();
        assert_eq!(ranked.iter().collect::<HashSet<_>>().len(), 16);
        ranked
    };
    let short = part(WorkLength::Short, 0.25);
    let long = part(WorkLength::Long, 0.25);
    let in_both = short[..4].iter().filter(|index| long[..12].contains(index));
    assert_eq!(in_both.count(), 0);
    let zone = |index: &&usize| pool.upstreams[**index].report.zone == "duran";
    assert_eq!(
        short[..4].iter().filter(zone).count(),
        2,
        "zones take turns"
    );
    let more = part(WorkLength::Short, 0.5);
    let kept = short[..4].iter().filter(|index| more[..8].contains(index));
    assert_eq!(kept.count(), 4, "a larger part contains a smaller one");
}

#[rstest]
#[case::no_part(16, None)]
#[case::too_few_upstreams(7, Some(0.25))]
fn whole_pool_is_ranked_as_before(#[case] upstreams: usize, #[case] short_share: Option<f64>) {
    let service = service(upstreams, Duration::ZERO, Instant::now());
    let part = short_share.map(|short_share| PoolPart {
        length: WorkLength::Short,
        short_share,
    });
    for object in 0..50 {
        let ranked: Vec<usize> = pool(&service).rank_for(object, part).collect();
        let whole: Vec<usize> = pool(&service).rank(object).collect();
        assert_eq!(ranked, whole);
    }
}

/// Work times in milliseconds, the share of long work and the share of slots.
#[rstest]
#[case::as_much_of_each(100.0, 600.0, 0.5, Some(0.25))]
#[case::much_short_work(100.0, 600.0, 0.25, Some(0.5))]
#[case::hardly_any_short_work(100.0, 600.0, 0.98, None)]
#[case::no_long_work(100.0, 600.0, 0.0, None)]
#[case::no_work(0.0, 0.0, 0.5, None)]
fn slots_for_short_work_follow_its_share_of_all_work(
    #[case] short_ms: f64,
    #[case] long_ms: f64,
    #[case] long_share: f64,
    #[case] expected: Option<f64>,
) {
    let mut share = ShortShare::default();
    share.adapt([short_ms, long_ms], long_share);
    assert_eq!(share.share(), expected);
}

/// The share of long work varies by a tenth from one request to the next.
#[rstest]
fn slots_for_short_work_do_not_follow_noise(#[values(0.4, 0.45, 0.5, 0.55, 0.6)] mean: f64) {
    let mut share = ShortShare::default();
    share.adapt([100.0, 600.0], mean);
    let mut changes = 0;
    for draw in 0..2_000 {
        let before = share.share();
        let noise = 0.1 * (unit_hash(draw) - 0.5);
        share.adapt([100.0, 600.0], mean + noise);
        changes += u32::from(before != share.share());
    }
    assert_eq!(changes, 0);
}

/// All long work has left a region that is too small; the other regions have both.
#[test]
fn region_that_long_work_has_left_is_not_divided() {
    let mut mix = WorkMix::default();
    for request in 0..200 {
        let (goal, priority) = [(SHORT.goal, 0), (LONG.goal, 2)][request % 2];
        mix.take(goal, priority);
        mix.adapt_own_region(0.0);
    }
    assert_eq!(mix.part(WorkLength::Short, true), None);
    let elsewhere = mix.part(WorkLength::Short, false);
    assert!(elsewhere.is_some_and(|part| part.short_share < 0.5));
}

/// All upstreams of the part for short work cannot be reached.
#[test]
fn short_work_goes_to_the_others_if_its_part_is_lost() {
    let now = Instant::now();
    let service = service(16, Duration::ZERO, now);
    let pool = pool(&service);
    let part = Some(PoolPart {
        length: WorkLength::Short,
        short_share: 0.25,
    });
    let requirements = Requirements {
        part,
        ..requirements(&service, None)
    };
    let home = choose(pool, &requirements, now).unwrap();
    let ranked: Vec<usize> = pool.rank_for(requirements.object, part).collect();
    let id = |place: usize| &pool.upstreams[ranked[place]].report.id;
    assert_eq!(home.upstream.report.id, *id(0));
    for index in &ranked[..4] {
        let mut state = pool.upstreams[*index].state();
        state.answered(now, AnswerOutcome::Unreachable);
    }
    let other = choose(pool, &requirements, now).unwrap();
    assert_eq!(other.upstream.report.id, *id(4));
}
