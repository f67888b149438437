//! Which work is taken to end upstreams, and which is not.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::rendezvous;
use steering::route::{Admission, Suspects, WorkIdentity, WorkTold};

const WORK: WorkIdentity = WorkIdentity {
    request: 7,
    object: 70,
};
/// Another request, for another object.
const OTHER: WorkIdentity = WorkIdentity {
    request: 8,
    object: 80,
};
const ME: &str = "h1";

/// Time in milliseconds for which this host refuses what is refused for `seconds` at least.
fn own_ms(seconds: u64) -> u64 {
    let apart = rendezvous::hash(ME.as_bytes()) as f64 / u64::MAX as f64;
    let time = Duration::from_secs(seconds).mul_f64(1.0 + 0.5 * apart);
    time.as_millis() as u64
}

/// A world with one host's knowledge, on one clock.
struct World {
    begun: Instant,
    suspects: Suspects,
}

impl World {
    fn new() -> Self {
        World {
            begun: Instant::now() + Duration::from_secs(3_600),
            suspects: Suspects::new(ME),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.begun + Duration::from_millis(ms)
    }

    /// An upstream ends at `ended_ms` under work that was sent to it at `sent_ms`.
    fn ends(&mut self, start: u64, sent_ms: u64, ended_ms: u64) -> bool {
        let told = WorkTold::Ended {
            start,
            sent_ms: (ended_ms - sent_ms) as u32,
            ended_ms: 0,
        };
        self.suspects.take(self.at(ended_ms), WORK, told)
    }

    fn admit(&mut self, ms: u64) -> Admission {
        self.suspects.admit(self.at(ms), WORK)
    }

    /// An answer comes to work that was sent just before.
    fn answered(&mut self, ms: u64) -> bool {
        self.answered_after(ms, 50)
    }

    fn answered_after(&mut self, ms: u64, sent_ms: u32) -> bool {
        let told = WorkTold::Answered { sent_ms };
        self.suspects.take(self.at(ms), WORK, told)
    }
}

/// For how long it is refused, in milliseconds; none where it is not.
fn refused_ms(admission: Admission) -> Option<u64> {
    match admission {
        Admission::Refused(time) => Some(time.as_millis() as u64),
        Admission::Free | Admission::Trial => None,
    }
}

#[test]
fn one_end_is_no_reason_to_refuse_or_not_to_repeat() {
    let mut world = World::new();
    assert_eq!(world.admit(0), Admission::Free);
    assert!(world.ends(1, 0, 100), "others are told");
    assert_eq!(world.admit(100), Admission::Free);
    assert!(world.suspects.may_be_repeated(WORK));
    assert_eq!(world.suspects.admit(world.at(100), OTHER), Admission::Free);
}

#[test]
fn after_the_second_end_it_is_refused_and_then_tried_singly() {
    let mut world = World::new();
    world.ends(1, 0, 100);
    world.ends(2, 110, 200);
    assert!(!world.suspects.may_be_repeated(WORK));
    let refused = own_ms(5);
    assert_eq!(refused_ms(world.admit(200)), Some(refused));
    let over = 201 + refused;
    assert_eq!(world.admit(over), Admission::Trial);
    assert_eq!(
        refused_ms(world.admit(over + 1)),
        Some(2_999),
        "another one tries"
    );
    // Nothing came of that one.
    assert_eq!(world.admit(over + 3_000), Admission::Trial);
    let mut now_ms = over + 3_000;
    for _ in 0..2 {
        now_ms += 100;
        assert!(world.answered(now_ms), "others are told");
        let wait = refused_ms(world.admit(now_ms)).expect("one answer is not enough");
        assert!((500..=750).contains(&wait), "{wait}");
        now_ms += wait + 1;
        assert_eq!(world.admit(now_ms), Admission::Trial);
    }
    assert!(world.answered(now_ms + 100));
    assert_eq!(world.admit(now_ms + 100), Admission::Free);
    assert!(!world.answered(now_ms + 200), "nothing is known against it");
}

/// Times for which it is refused after each end in a row, in seconds.
#[test]
fn it_is_refused_for_longer_with_each_end_and_not_for_ever() {
    let mut world = World::new();
    let mut now_ms = 0;
    world.ends(0, now_ms, now_ms + 10);
    now_ms += 10;
    for (start, seconds) in (1..).zip([5, 20, 80, 320, 1_280, 3_600, 3_600]) {
        world.ends(start, now_ms, now_ms + 10);
        now_ms += 10;
        assert_eq!(refused_ms(world.admit(now_ms)), Some(own_ms(seconds)));
        now_ms += own_ms(seconds) + 1;
        assert_eq!(world.admit(now_ms), Admission::Trial);
    }
    assert_eq!(
        world.admit(now_ms + 12_000_000),
        Admission::Free,
        "it is forgotten"
    );
}

/// What keeps other work from being refused: it is answered, or its ends are one.
#[rstest]
#[case::many_upstreams_end_at_once(&[(1, 0, 100), (2, 50, 100), (3, 20, 101)], None)]
#[case::told_by_two_hosts(&[(1, 0, 100), (1, 10, 100)], None)]
#[case::sent_before_the_end_was_known(&[(1, 0, 100), (2, 99, 220)], None)]
#[case::answered_between(&[(1, 0, 100), (2, 250, 300)], Some(200))]
fn other_work_is_not_refused(#[case] ends: &[(u64, u64, u64)], #[case] answered_ms: Option<u64>) {
    let mut world = World::new();
    let mut answered_ms = answered_ms;
    for (start, sent_ms, ended_ms) in ends {
        if let Some(ms) = answered_ms.take_if(|ms| *ms < *ended_ms) {
            world.answered(ms);
        }
        world.ends(*start, *sent_ms, *ended_ms);
    }
    assert_eq!(world.admit(400), Admission::Free);
    assert!(world.suspects.may_be_repeated(WORK));
}

#[test]
fn what_is_told_late_counts_from_when_it_was() {
    let mut world = World::new();
    let told = |start, sent_ms, ended_ms| WorkTold::Ended {
        start,
        sent_ms,
        ended_ms,
    };
    let now = world.at(1_000);
    assert!(world.suspects.take(now, WORK, told(1, 900, 800)));
    let later = told(2, 700, 600).later(Duration::from_millis(50));
    assert!(world.suspects.take(now, WORK, later));
    assert!(!world.suspects.take(now, WORK, later), "it is known");
    assert_eq!(refused_ms(world.admit(1_000)), Some(own_ms(5) - 650));
    // Another host's request finds out, as this one would.
    let over = 1_000 + own_ms(5);
    let now = world.at(over);
    assert!(world.suspects.take(now, WORK, WorkTold::Tried));
    assert!(!world.suspects.take(now, WORK, WorkTold::Tried));
    assert_eq!(refused_ms(world.admit(over)), Some(3_000));
    assert!(
        !world.suspects.take(now, OTHER, WorkTold::Tried),
        "nothing is known of it"
    );
}

#[test]
fn what_is_kept_in_mind_is_bounded_and_what_has_most_ends_stays() {
    let mut world = World::new();
    world.ends(1, 0, 100);
    world.ends(2, 110, 200);
    for other in 0..10_000 {
        let told = WorkTold::Ended {
            start: other,
            sent_ms: 10,
            ended_ms: 0,
        };
        let now = world.at(300 + other);
        world
            .suspects
            .take(now, WorkIdentity::named(1_000 + other), told);
    }
    assert_eq!(world.suspects.refused(world.at(300)).len(), 1);
    assert!(matches!(world.admit(300), Admission::Refused(_)));
}

/// Hosts that all know the same at the same moment find out apart: each request may end an
/// upstream, and a host hears of another's some tens of milliseconds later.
#[test]
fn hosts_find_out_apart() {
    let now = Instant::now() + Duration::from_secs(3_600);
    let mut waits: Vec<u64> = (0..9)
        .map(|number| {
            let mut suspects = Suspects::new(&format!("edge-{number}"));
            for (start, ago_ms) in [(1, 200), (2, 100)] {
                let told = WorkTold::Ended {
                    start,
                    sent_ms: ago_ms,
                    ended_ms: ago_ms - 50,
                };
                suspects.take(now, WORK, told);
            }
            refused_ms(suspects.admit(now, WORK)).expect("it is refused")
        })
        .collect();
    waits.sort_unstable();
    assert!(waits[0] >= 4_900 && waits[8] <= 7_500, "{waits:?}");
    assert!(waits[8] - waits[0] >= 1_000, "{waits:?}");
}

/// Found by a play: of the requests on one object some are harmless, and the one that found out
/// was. All hosts let the others through at once, and four upstreams ended.
#[test]
fn an_answer_between_two_ends_clears_nothing_that_was_refused() {
    let mut world = World::new();
    world.ends(1, 0, 100);
    world.ends(2, 110, 200);
    let tried = 201 + own_ms(5);
    assert_eq!(world.admit(tried), Admission::Trial);
    world.answered(tried + 100);
    let again = tried + 100 + 751;
    assert_eq!(world.admit(again), Admission::Trial);
    assert!(!world.suspects.may_be_repeated(WORK));
    world.ends(3, again, again + 100);
    assert_eq!(refused_ms(world.admit(again + 100)), Some(own_ms(20)));
}

#[test]
fn answers_to_what_was_under_way_at_the_last_end_clear_nothing_that_was_refused() {
    let mut world = World::new();
    world.ends(1, 0, 100);
    world.ends(2, 110, 200);
    let over = 201 + own_ms(5);
    for count in 1..=3 {
        let ms = over + 1_000 * count;
        let sent_ms = (ms - 199) as u32;
        assert!(!world.answered_after(ms, sent_ms), "they tell nothing");
    }
    assert_eq!(world.admit(over + 4_000), Admission::Trial);
    assert!(!world.suspects.may_be_repeated(WORK));
}

#[test]
fn an_operator_has_work_refused_and_served_again() {
    let mut world = World::new();
    let now = world.at(100);
    assert!(!world.suspects.take(now, WORK, WorkTold::Cleared));
    assert!(world.suspects.take(now, WORK, WorkTold::Refused));
    assert_eq!(refused_ms(world.admit(100)), Some(own_ms(320)));
    let listed = world.suspects.refused(now);
    let listed: Vec<_> = listed.iter().map(|listed| listed.work).collect();
    assert_eq!(listed, [WORK.request]);
    assert!(world.suspects.take(now, WORK, WorkTold::Cleared));
    assert_eq!(world.admit(100), Admission::Free);
    assert!(world.suspects.refused(now).is_empty());
}

/// A request for the object of [`WORK`].
fn request(request: u64) -> WorkIdentity {
    WorkIdentity { request, ..WORK }
}

impl World {
    /// Upstreams end twice in a row under a request, from `ms` on.
    fn ends_twice(&mut self, work: WorkIdentity, ms: u64) {
        for (start, at_ms) in [(10 * work.request, ms), (10 * work.request + 1, ms + 100)] {
            let told = WorkTold::Ended {
                start,
                sent_ms: 90,
                ended_ms: 0,
            };
            self.suspects.take(self.at(at_ms), work, told);
        }
    }
}

#[test]
fn a_refused_request_does_not_keep_others_for_its_object_out() {
    let mut world = World::new();
    world.ends_twice(WORK, 100);
    assert!(matches!(world.admit(300), Admission::Refused(_)));
    let now = world.at(300);
    assert_eq!(world.suspects.admit(now, request(9)), Admission::Free);
    assert!(world.suspects.may_be_repeated(request(9)));
    let answered = WorkTold::Answered { sent_ms: 50 };
    for count in 0..10 {
        let now = world.at(400 + 1_000 * count);
        world.suspects.take(now, request(9), answered);
    }
    assert!(
        !world.suspects.may_be_repeated(WORK),
        "they clear only themselves"
    );
}

#[test]
fn an_object_is_refused_where_two_requests_for_it_are() {
    let mut world = World::new();
    world.ends_twice(WORK, 100);
    world.ends_twice(request(9), 400);
    let now = world.at(500);
    let wait = refused_ms(world.suspects.admit(now, request(10)));
    assert_eq!(wait, Some(own_ms(5)));
    assert!(!world.suspects.may_be_repeated(request(10)));
    assert_eq!(world.suspects.admit(now, OTHER), Admission::Free);
    // One that finds out meets the same, with a path of its own.
    let over = world.at(501 + own_ms(5));
    assert_eq!(world.suspects.admit(over, request(10)), Admission::Trial);
    assert!(refused_ms(world.suspects.admit(over, request(11))).is_some());
    let told = WorkTold::Ended {
        start: 1_000,
        sent_ms: 0,
        ended_ms: 0,
    };
    world.suspects.take(over, request(10), told);
    let wait = refused_ms(world.suspects.admit(over, request(11)));
    assert_eq!(wait, Some(own_ms(20)));
}

#[test]
fn an_answer_for_an_object_between_two_refused_requests_keeps_it_served() {
    let mut world = World::new();
    world.ends_twice(WORK, 100);
    let answered = WorkTold::Answered { sent_ms: 50 };
    world.suspects.take(world.at(300), request(9), answered);
    world.ends_twice(request(10), 400);
    let now = world.at(600);
    assert_eq!(world.suspects.admit(now, request(11)), Admission::Free);
}

#[test]
fn a_request_that_waits_is_not_sent_once_its_work_is_refused() {
    let mut world = World::new();
    let barred_ms = |world: &World, ms, known| {
        let barred_for = world.suspects.barred_for(world.at(ms), WORK, known);
        barred_for.map(|time| time.as_millis() as u64)
    };
    world.ends(1, 0, 100);
    assert_eq!(world.admit(110), Admission::Free);
    let known = world.suspects.ends_of(WORK);
    assert_eq!(barred_ms(&world, 110, known), None);
    world.ends(2, 110, 200);
    assert_eq!(barred_ms(&world, 200, known), Some(own_ms(5)));
    let over = 201 + own_ms(5);
    assert_eq!(world.admit(over), Admission::Trial);
    let known = world.suspects.ends_of(WORK);
    assert_eq!(barred_ms(&world, over, known), None, "it finds out");
    world.ends(3, over, over + 100);
    let barred = barred_ms(&world, over + 100, known);
    assert_eq!(barred, Some(own_ms(20)), "another has found out");
}

#[test]
fn a_host_that_hears_nobody_lets_no_request_find_out_unless_it_is_alone() {
    let mut world = World::new();
    world.suspects.compared(world.at(0));
    world.ends(1, 0, 100);
    world.ends(2, 110, 200);
    let over = 201 + own_ms(5);
    assert_eq!(refused_ms(world.admit(over)), Some(3_000));
    world.suspects.note_alone();
    assert_eq!(world.admit(over), Admission::Trial);
    let heard = over + 3_001;
    world.suspects.compared(world.at(heard));
    assert_eq!(world.admit(heard), Admission::Trial);
}

#[test]
fn what_was_cleared_is_not_brought_back_by_a_host_that_missed_it() {
    let mut world = World::new();
    world.ends_twice(WORK, 100);
    let before = world.suspects.states(world.at(300));
    let cleared = WorkTold::Cleared;
    let now = world.at(400);
    assert!(world.suspects.take(now, WORK, cleared));
    for state in &before {
        world.suspects.merge(world.at(500), state);
    }
    assert_eq!(world.admit(600), Admission::Free);
    let mut other = Suspects::new("h2");
    for state in before {
        other.merge(world.at(500), &state);
    }
    assert!(matches!(
        other.admit(world.at(600), WORK),
        Admission::Refused(_)
    ));
    assert_ne!(other.digest(now), world.suspects.digest(now));
    for state in world.suspects.states(world.at(700)) {
        other.merge(world.at(700), &state);
    }
    assert_eq!(other.admit(world.at(800), WORK), Admission::Free);
    let now = world.at(800);
    assert_eq!(other.digest(now), world.suspects.digest(now));
}

#[test]
fn ends_after_it_was_cleared_stay_where_another_host_tells_that_it_was() {
    let mut world = World::new();
    world.ends_twice(WORK, 100);
    let mut other = Suspects::new("h2");
    let now = world.at(400);
    assert!(world.suspects.take(now, WORK, WorkTold::Cleared));
    for (start, ended_ms) in [(50, 1_000), (51, 1_200)] {
        let told = WorkTold::Ended {
            start,
            sent_ms: 100,
            ended_ms: 0,
        };
        other.take(world.at(ended_ms), WORK, told);
    }
    for state in world.suspects.states(world.at(1_300)) {
        other.merge(world.at(1_300), &state);
    }
    assert!(matches!(
        other.admit(world.at(1_300), WORK),
        Admission::Refused(_)
    ));
    for state in other.states(world.at(1_300)) {
        world.suspects.merge(world.at(1_300), &state);
    }
    assert!(matches!(world.admit(1_300), Admission::Refused(_)));
}

#[test]
fn an_answer_after_one_end_holds_where_another_host_has_missed_it() {
    let mut world = World::new();
    world.ends_twice(WORK, 100);
    let now = world.at(400);
    assert!(world.suspects.take(now, WORK, WorkTold::Cleared));
    world.ends(3, 500, 600);
    let missed_the_answer = world.suspects.states(world.at(700));
    assert!(world.answered(800));
    for state in &missed_the_answer {
        world.suspects.merge(world.at(900), state);
    }
    world.ends(4, 1_000, 1_100);
    assert_eq!(
        world.admit(1_200),
        Admission::Free,
        "the two are not in a row"
    );
}
