//! Short and long work of one service: which of it leaves a region that is too small.

use std::time::Duration;

use rstest::rstest;
use steering::route::{RegionShare, WorkLength, WorkMix, unit_hash};

const SHORT_GOAL: Duration = Duration::from_millis(300);
const LONG_GOAL: Duration = Duration::from_millis(1_500);
/// Number of objects among which requests are spread.
const OBJECTS: u64 = 80;

fn mix(goals_ms: &[u64]) -> WorkMix {
    let mut mix = WorkMix::default();
    for goal_ms in goals_ms {
        mix.take(Duration::from_millis(*goal_ms), 0);
    }
    mix
}

/// Latency goals in the order of the requests, and the length of work with each.
#[rstest]
#[case::one_goal(&[300, 300], &[None, None])]
#[case::alike(&[400, 500, 300], &[None, None, None])]
#[case::unlike(&[300, 1_500], &[Some(WorkLength::Short), Some(WorkLength::Long)])]
#[case::longer_first(&[1_500, 300], &[Some(WorkLength::Long), Some(WorkLength::Short)])]
#[case::widest_gap_divides(
    &[200, 410, 1_700],
    &[Some(WorkLength::Short), Some(WorkLength::Short), Some(WorkLength::Long)]
)]
fn goals_tell_lengths(#[case] goals_ms: &[u64], #[case] lengths: &[Option<WorkLength>]) {
    let mix = mix(goals_ms);
    let found = goals_ms.iter();
    let found = found.map(|goal_ms| mix.length(Duration::from_millis(*goal_ms)));
    assert_eq!(found.collect::<Vec<_>>(), lengths);
}

#[test]
fn goals_that_no_route_has_are_forgotten() {
    let mut mix = mix(&[300, 1_500]);
    mix.retain(|goal| goal != LONG_GOAL);
    assert_eq!(mix.length(SHORT_GOAL), None);
    mix.take(Duration::from_millis(1_600), 0);
    assert_eq!(mix.length(SHORT_GOAL), Some(WorkLength::Short));
}

/// Requests of one region, with the outcome of each.
struct Region {
    share: RegionShare,
    mix: WorkMix,
    /// Requests so far, for the random numbers.
    count: u64,
    seed: u64,
}

/// Requests that stayed in the region.
#[derive(Debug, Default, Clone, Copy)]
struct Stayed {
    all: f64,
    short: f64,
    short_requests: f64,
}

impl Region {
    fn new(share: f64, seed: u64) -> Self {
        Region {
            share: RegionShare::new(share),
            mix: WorkMix::default(),
            count: 0,
            seed,
        }
    }

    fn draw(&mut self) -> f64 {
        self.count += 1;
        unit_hash(self.seed << 32 | self.count)
    }

    /// Handles one request with one of two goals.
    fn handle(&mut self, long_share: f64, goals: [Duration; 2]) -> (bool, bool) {
        let is_long = self.draw() < long_share;
        let goal = goals[usize::from(is_long)];
        // Squared, so that some objects are asked for more often than others.
        let object = (self.draw().powi(2) * OBJECTS as f64) as u64;
        let position = unit_hash(object << 1 | u64::from(is_long));
        let stays = match self.mix.take(goal, 0) {
            Some(length) => {
                let long_share = self.mix.long_share();
                self.share
                    .keeps_local_by_length(position, length, long_share)
            }
            None => self.share.keeps_local(position),
        };
        (is_long, stays)
    }

    fn handle_many(&mut self, requests: u32, long_share: f64, goals: [Duration; 2]) -> Stayed {
        let mut stayed = Stayed::default();
        for _ in 0..requests {
            let (is_long, stays) = self.handle(long_share, goals);
            let stays = f64::from(u8::from(stays));
            stayed.all += stays;
            if !is_long {
                stayed.short += stays;
                stayed.short_requests += 1.0;
            }
        }
        stayed
    }
}

/// Share of all requests that stays, share of long work, and the share of the short work
/// that can stay at most.
#[rstest]
fn long_work_leaves_first(
    #[values((0.9, 0.45, 1.0), (0.7, 0.45, 1.0), (0.41, 0.45, 0.745), (0.41, 0.2, 0.5125), (0.5, 0.8, 1.0))]
    world: (f64, f64, f64),
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let (share, long_share, short_stays) = world;
    let mut region = Region::new(share, seed);
    let stayed = region.handle_many(4_000, long_share, [SHORT_GOAL, LONG_GOAL]);
    let all = stayed.all / 4_000.0;
    assert!((all - share).abs() < 0.01, "{all} of all stayed");
    let short = stayed.short / stayed.short_requests;
    assert!(
        short > short_stays - 0.05,
        "{short} of the short work stayed"
    );
}

/// Numbers of requests in each window differ from the share by no more than without the
/// distinction, also while the mix changes from mostly short to mostly long work.
#[rstest]
fn share_of_all_requests_stays_bounded(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut region = Region::new(0.6, seed);
    for window in 0..40 {
        let long_share = [0.2, 0.8][window / 10 % 2];
        let stayed = region.handle_many(200, long_share, [SHORT_GOAL, LONG_GOAL]);
        let deviation = (stayed.all - 120.0).abs();
        // Both ends of the window may deviate by 4 requests and the last one.
        assert!(
            deviation <= 10.0,
            "{} of 200 in window {window}",
            stayed.all
        );
    }
}

/// Work of like length gets exactly the decisions that objects alone give.
#[rstest]
fn alike_work_is_decided_by_objects_alone(
    #[values(0.0, 0.25, 0.41, 0.7, 1.0)] share: f64,
    #[values((400, 500), (300, 300), (1_000, 1_500), (800, 1_000), (250, 400))] goals_ms: (
        u64,
        u64,
    ),
) {
    let goals = [goals_ms.0, goals_ms.1].map(Duration::from_millis);
    let mut region = Region::new(share, 7);
    let mut by_objects = RegionShare::new(share);
    for _ in 0..2_000 {
        let before = region.count;
        let (is_long, stays) = region.handle(0.45, goals);
        let object = (unit_hash(7 << 32 | (before + 2)).powi(2) * OBJECTS as f64) as u64;
        let position = unit_hash(object << 1 | u64::from(is_long));
        assert_eq!(stays, by_objects.keeps_local(position));
    }
}

/// Share of the work that a region has room for, and the share of the requests that stays:
/// five of eleven requests, with a seventh of the work, are short.
#[rstest]
#[case::none(0.0, 0.0)]
#[case::half_of_the_short_work(1.0 / 14.0, 5.0 / 22.0)]
#[case::all_short_work(1.0 / 7.0, 5.0 / 11.0)]
#[case::and_half_of_the_long_work(4.0 / 7.0, 8.0 / 11.0)]
#[case::all(1.0, 1.0)]
fn room_for_work_is_room_for_more_short_requests(#[case] of_work: f64, #[case] of_requests: f64) {
    let unlike = mix(&[300, 1_500]);
    let share = unlike.share_of_requests(of_work);
    assert!((share - of_requests).abs() < 1e-9, "{share}");
    assert_eq!(mix(&[400, 500]).share_of_requests(of_work), of_work);
}

/// Number of requests before the start with another share.
#[rstest]
#[case::none(0, 0.6)]
#[case::few(7, 0.6)]
#[case::more(8, 0.25)]
fn share_starts_anew_within_the_first_requests_only(#[case] requests: u32, #[case] share: f64) {
    let mut region_share = RegionShare::new(0.25);
    for _ in 0..requests {
        region_share.keeps_local(0.5);
    }
    region_share.start_with(0.6);
    assert_eq!(region_share.share(), share);
}
