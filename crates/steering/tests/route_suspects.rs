//! Which work is taken to crash upstreams and is refused, and which is not.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::rendezvous;
use steering::route::{Admission, Suspects, WorkEvent, WorkIdentity};

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

/// Milliseconds for which this host refuses work whose refusal time, without jitter, is `seconds`.
fn jittered_ms(seconds: u64) -> u64 {
    let jitter = rendezvous::hash(ME.as_bytes()) as f64 / u64::MAX as f64;
    let time = Duration::from_secs(seconds).mul_f64(1.0 + 0.5 * jitter);
    time.as_millis() as u64
}

/// One host's suspicions on a simulated clock.
struct Fixture {
    epoch: Instant,
    suspects: Suspects,
}

impl Fixture {
    fn new() -> Self {
        Fixture {
            epoch: Instant::now() + Duration::from_secs(3_600),
            suspects: Suspects::new(ME),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.epoch + Duration::from_millis(ms)
    }

    /// An upstream crashes at `crashed_ms` while it runs work that it received at `sent_ms`.
    fn crash(&mut self, start: u64, sent_ms: u64, crashed_ms: u64) -> bool {
        let event = WorkEvent::Crashed {
            start,
            sent_ms: (crashed_ms - sent_ms) as u32,
            crashed_ms: 0,
        };
        self.suspects.apply(self.at(crashed_ms), WORK, event)
    }

    fn admit(&mut self, ms: u64) -> Admission {
        self.suspects.admit(self.at(ms), WORK)
    }

    /// An upstream answers work that it received 50 ms before.
    fn answer(&mut self, ms: u64) -> bool {
        self.answer_after(ms, 50)
    }

    fn answer_after(&mut self, ms: u64, sent_ms: u32) -> bool {
        let event = WorkEvent::Answered { sent_ms };
        self.suspects.apply(self.at(ms), WORK, event)
    }
}

/// The refusal time in milliseconds; `None` if the request is admitted.
fn refused_ms(admission: Admission) -> Option<u64> {
    match admission {
        Admission::Refused(time) => Some(time.as_millis() as u64),
        Admission::Unrestricted | Admission::Trial => None,
    }
}

#[test]
fn one_crash_neither_refuses_work_nor_forbids_a_retry() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.admit(0), Admission::Unrestricted);
    assert!(
        fixture.crash(1, 0, 100),
        "a new crash must be sent to other hosts"
    );
    assert_eq!(fixture.admit(100), Admission::Unrestricted);
    assert!(fixture.suspects.may_be_retried(WORK));
    assert_eq!(
        fixture.suspects.admit(fixture.at(100), OTHER),
        Admission::Unrestricted
    );
}

#[test]
fn after_the_second_crash_work_is_refused_and_then_admitted_as_single_trials() {
    let mut fixture = Fixture::new();
    fixture.crash(1, 0, 100);
    fixture.crash(2, 110, 200);
    assert!(!fixture.suspects.may_be_retried(WORK));
    let refused = jittered_ms(5);
    assert_eq!(refused_ms(fixture.admit(200)), Some(refused));
    let over = 201 + refused;
    assert_eq!(fixture.admit(over), Admission::Trial);
    assert_eq!(
        refused_ms(fixture.admit(over + 1)),
        Some(2_999),
        "another host's trial is under way"
    );
    // The trial had no result.
    assert_eq!(fixture.admit(over + 3_000), Admission::Trial);
    let mut now_ms = over + 3_000;
    for _ in 0..2 {
        now_ms += 100;
        assert!(
            fixture.answer(now_ms),
            "a new answer must be sent to other hosts"
        );
        let wait = refused_ms(fixture.admit(now_ms)).expect("one answer is not enough");
        assert!((500..=750).contains(&wait), "{wait}");
        now_ms += wait + 1;
        assert_eq!(fixture.admit(now_ms), Admission::Trial);
    }
    assert!(fixture.answer(now_ms + 100));
    assert_eq!(fixture.admit(now_ms + 100), Admission::Unrestricted);
    assert!(!fixture.answer(now_ms + 200), "nothing is left to clear");
}

/// Checks the refusal time after each of several consecutive crashes, in seconds.
#[test]
fn the_refusal_time_grows_with_each_crash_up_to_a_limit() {
    let mut fixture = Fixture::new();
    let mut now_ms = 0;
    fixture.crash(0, now_ms, now_ms + 10);
    now_ms += 10;
    for (start, seconds) in (1..).zip([5, 20, 80, 320, 1_280, 3_600, 3_600]) {
        fixture.crash(start, now_ms, now_ms + 10);
        now_ms += 10;
        assert_eq!(
            refused_ms(fixture.admit(now_ms)),
            Some(jittered_ms(seconds))
        );
        now_ms += jittered_ms(seconds) + 1;
        assert_eq!(fixture.admit(now_ms), Admission::Trial);
    }
    assert_eq!(
        fixture.admit(now_ms + 12_000_000),
        Admission::Unrestricted,
        "the crashes are forgotten"
    );
}

/// Innocent work is not refused, because it was answered or its crashes count as one.
#[rstest]
#[case::many_upstreams_end_at_once(&[(1, 0, 100), (2, 50, 100), (3, 20, 101)], None)]
#[case::told_by_two_hosts(&[(1, 0, 100), (1, 10, 100)], None)]
#[case::sent_before_the_end_was_known(&[(1, 0, 100), (2, 99, 220)], None)]
#[case::answered_between(&[(1, 0, 100), (2, 250, 300)], Some(200))]
fn innocent_work_is_not_refused(
    #[case] crashes: &[(u64, u64, u64)],
    #[case] answered_ms: Option<u64>,
) {
    let mut fixture = Fixture::new();
    let mut answered_ms = answered_ms;
    for (start, sent_ms, crashed_ms) in crashes {
        if let Some(ms) = answered_ms.take_if(|ms| *ms < *crashed_ms) {
            fixture.answer(ms);
        }
        fixture.crash(*start, *sent_ms, *crashed_ms);
    }
    assert_eq!(fixture.admit(400), Admission::Unrestricted);
    assert!(fixture.suspects.may_be_retried(WORK));
}

#[test]
fn delayed_updates_count_from_the_time_of_the_event() {
    let mut fixture = Fixture::new();
    let event = |start, sent_ms, crashed_ms| WorkEvent::Crashed {
        start,
        sent_ms,
        crashed_ms,
    };
    let now = fixture.at(1_000);
    assert!(fixture.suspects.apply(now, WORK, event(1, 900, 800)));
    let later = event(2, 700, 600).aged_by(Duration::from_millis(50));
    assert!(fixture.suspects.apply(now, WORK, later));
    assert!(
        !fixture.suspects.apply(now, WORK, later),
        "the crash is known"
    );
    assert_eq!(refused_ms(fixture.admit(1_000)), Some(jittered_ms(5) - 650));
    // A trial at another host counts like one at this host.
    let over = 1_000 + jittered_ms(5);
    let now = fixture.at(over);
    assert!(fixture.suspects.apply(now, WORK, WorkEvent::TrialStarted));
    assert!(!fixture.suspects.apply(now, WORK, WorkEvent::TrialStarted));
    assert_eq!(refused_ms(fixture.admit(over)), Some(3_000));
    assert!(
        !fixture.suspects.apply(now, OTHER, WorkEvent::TrialStarted),
        "no crash is known for this work"
    );
}

#[test]
fn suspicions_are_bounded_and_those_with_most_crashes_are_kept() {
    let mut fixture = Fixture::new();
    fixture.crash(1, 0, 100);
    fixture.crash(2, 110, 200);
    for other in 0..10_000 {
        let event = WorkEvent::Crashed {
            start: other,
            sent_ms: 10,
            crashed_ms: 0,
        };
        let now = fixture.at(300 + other);
        fixture
            .suspects
            .apply(now, WorkIdentity::named(1_000 + other), event);
    }
    assert_eq!(fixture.suspects.refused(fixture.at(300)).len(), 1);
    assert!(matches!(fixture.admit(300), Admission::Refused(_)));
}

/// Hosts with equal knowledge must run their trials at different times: each trial may crash an
/// upstream, and hosts learn of other hosts' trials only some tens of milliseconds later.
#[test]
fn hosts_run_their_trials_at_different_times() {
    let now = Instant::now() + Duration::from_secs(3_600);
    let mut waits: Vec<u64> = (0..9)
        .map(|number| {
            let mut suspects = Suspects::new(&format!("edge-{number}"));
            for (start, ago_ms) in [(1, 200), (2, 100)] {
                let event = WorkEvent::Crashed {
                    start,
                    sent_ms: ago_ms,
                    crashed_ms: ago_ms - 50,
                };
                suspects.apply(now, WORK, event);
            }
            refused_ms(suspects.admit(now, WORK)).expect("it is refused")
        })
        .collect();
    waits.sort_unstable();
    assert!(waits[0] >= 4_900 && waits[8] <= 7_500, "{waits:?}");
    assert!(waits[8] - waits[0] >= 1_000, "{waits:?}");
}

/// Some requests for an object are harmless, and one of these was the trial. When its answer
/// cleared the object, all hosts admitted the other requests at once, which crashed four
/// upstreams.
#[test]
fn an_answer_between_two_crashes_does_not_clear_refused_work() {
    let mut fixture = Fixture::new();
    fixture.crash(1, 0, 100);
    fixture.crash(2, 110, 200);
    let tried = 201 + jittered_ms(5);
    assert_eq!(fixture.admit(tried), Admission::Trial);
    fixture.answer(tried + 100);
    let again = tried + 100 + 751;
    assert_eq!(fixture.admit(again), Admission::Trial);
    assert!(!fixture.suspects.may_be_retried(WORK));
    fixture.crash(3, again, again + 100);
    assert_eq!(
        refused_ms(fixture.admit(again + 100)),
        Some(jittered_ms(20))
    );
}

#[test]
fn answers_to_work_in_flight_at_the_last_crash_do_not_clear_refused_work() {
    let mut fixture = Fixture::new();
    fixture.crash(1, 0, 100);
    fixture.crash(2, 110, 200);
    let over = 201 + jittered_ms(5);
    for count in 1..=3 {
        let ms = over + 1_000 * count;
        let sent_ms = (ms - 199) as u32;
        assert!(
            !fixture.answer_after(ms, sent_ms),
            "the answer proves nothing"
        );
    }
    assert_eq!(fixture.admit(over + 4_000), Admission::Trial);
    assert!(!fixture.suspects.may_be_retried(WORK));
}

#[test]
fn an_operator_has_work_refused_and_served_again() {
    let mut fixture = Fixture::new();
    let now = fixture.at(100);
    assert!(!fixture.suspects.apply(now, WORK, WorkEvent::Cleared));
    assert!(fixture.suspects.apply(now, WORK, WorkEvent::Refused));
    assert_eq!(refused_ms(fixture.admit(100)), Some(jittered_ms(320)));
    let listed = fixture.suspects.refused(now);
    let listed: Vec<_> = listed.iter().map(|listed| listed.work).collect();
    assert_eq!(listed, [WORK.request]);
    assert!(fixture.suspects.apply(now, WORK, WorkEvent::Cleared));
    assert_eq!(fixture.admit(100), Admission::Unrestricted);
    assert!(fixture.suspects.refused(now).is_empty());
}

/// A different request for the object of [`WORK`].
fn request(request: u64) -> WorkIdentity {
    WorkIdentity { request, ..WORK }
}

impl Fixture {
    /// Two consecutive upstreams crash while they run `work`, the first at `ms`.
    fn crash_twice(&mut self, work: WorkIdentity, ms: u64) {
        for (start, at_ms) in [(10 * work.request, ms), (10 * work.request + 1, ms + 100)] {
            let event = WorkEvent::Crashed {
                start,
                sent_ms: 90,
                crashed_ms: 0,
            };
            self.suspects.apply(self.at(at_ms), work, event);
        }
    }
}

#[test]
fn a_refused_request_does_not_refuse_others_for_its_object() {
    let mut fixture = Fixture::new();
    fixture.crash_twice(WORK, 100);
    assert!(matches!(fixture.admit(300), Admission::Refused(_)));
    let now = fixture.at(300);
    assert_eq!(
        fixture.suspects.admit(now, request(9)),
        Admission::Unrestricted
    );
    assert!(fixture.suspects.may_be_retried(request(9)));
    let answered = WorkEvent::Answered { sent_ms: 50 };
    for count in 0..10 {
        let now = fixture.at(400 + 1_000 * count);
        fixture.suspects.apply(now, request(9), answered);
    }
    assert!(
        !fixture.suspects.may_be_retried(WORK),
        "an answer clears only its own request"
    );
}

#[test]
fn an_object_is_refused_when_two_requests_for_it_are() {
    let mut fixture = Fixture::new();
    fixture.crash_twice(WORK, 100);
    fixture.crash_twice(request(9), 400);
    let now = fixture.at(500);
    let wait = refused_ms(fixture.suspects.admit(now, request(10)));
    assert_eq!(wait, Some(jittered_ms(5)));
    assert!(!fixture.suspects.may_be_retried(request(10)));
    assert_eq!(fixture.suspects.admit(now, OTHER), Admission::Unrestricted);
    // A trial with another path meets the same fault.
    let over = fixture.at(501 + jittered_ms(5));
    assert_eq!(fixture.suspects.admit(over, request(10)), Admission::Trial);
    assert!(refused_ms(fixture.suspects.admit(over, request(11))).is_some());
    let event = WorkEvent::Crashed {
        start: 1_000,
        sent_ms: 0,
        crashed_ms: 0,
    };
    fixture.suspects.apply(over, request(10), event);
    let wait = refused_ms(fixture.suspects.admit(over, request(11)));
    assert_eq!(wait, Some(jittered_ms(20)));
}

#[test]
fn an_answer_for_an_object_between_two_refused_requests_keeps_it_served() {
    let mut fixture = Fixture::new();
    fixture.crash_twice(WORK, 100);
    let answered = WorkEvent::Answered { sent_ms: 50 };
    fixture
        .suspects
        .apply(fixture.at(300), request(9), answered);
    fixture.crash_twice(request(10), 400);
    let now = fixture.at(600);
    assert_eq!(
        fixture.suspects.admit(now, request(11)),
        Admission::Unrestricted
    );
}

#[test]
fn a_queued_request_is_not_sent_once_its_work_is_refused() {
    let mut fixture = Fixture::new();
    let blocked_ms = |fixture: &Fixture, ms, known| {
        let blocked_for = fixture.suspects.blocked_for(fixture.at(ms), WORK, known);
        blocked_for.map(|time| time.as_millis() as u64)
    };
    fixture.crash(1, 0, 100);
    assert_eq!(fixture.admit(110), Admission::Unrestricted);
    let known = fixture.suspects.crash_count_of(WORK);
    assert_eq!(blocked_ms(&fixture, 110, known), None);
    fixture.crash(2, 110, 200);
    assert_eq!(blocked_ms(&fixture, 200, known), Some(jittered_ms(5)));
    let over = 201 + jittered_ms(5);
    assert_eq!(fixture.admit(over), Admission::Trial);
    let known = fixture.suspects.crash_count_of(WORK);
    assert_eq!(
        blocked_ms(&fixture, over, known),
        None,
        "this request is the trial"
    );
    fixture.crash(3, over, over + 100);
    let blocked = blocked_ms(&fixture, over + 100, known);
    assert_eq!(
        blocked,
        Some(jittered_ms(20)),
        "another trial has crashed an upstream"
    );
}

#[test]
fn an_isolated_host_admits_no_trial_unless_it_is_the_only_host() {
    let mut fixture = Fixture::new();
    fixture.suspects.note_synced(fixture.at(0));
    fixture.crash(1, 0, 100);
    fixture.crash(2, 110, 200);
    let over = 201 + jittered_ms(5);
    assert_eq!(refused_ms(fixture.admit(over)), Some(3_000));
    fixture.suspects.note_alone();
    assert_eq!(fixture.admit(over), Admission::Trial);
    let synced_ms = over + 3_001;
    fixture.suspects.note_synced(fixture.at(synced_ms));
    assert_eq!(fixture.admit(synced_ms), Admission::Trial);
}

#[test]
fn cleared_suspicion_is_not_restored_by_a_host_that_missed_the_clearing() {
    let mut fixture = Fixture::new();
    fixture.crash_twice(WORK, 100);
    let before = fixture.suspects.states(fixture.at(300));
    let cleared = WorkEvent::Cleared;
    let now = fixture.at(400);
    assert!(fixture.suspects.apply(now, WORK, cleared));
    for state in &before {
        fixture.suspects.merge(fixture.at(500), state);
    }
    assert_eq!(fixture.admit(600), Admission::Unrestricted);
    let mut other = Suspects::new("h2");
    for state in before {
        other.merge(fixture.at(500), &state);
    }
    assert!(matches!(
        other.admit(fixture.at(600), WORK),
        Admission::Refused(_)
    ));
    assert_ne!(other.digest(now), fixture.suspects.digest(now));
    for state in fixture.suspects.states(fixture.at(700)) {
        other.merge(fixture.at(700), &state);
    }
    assert_eq!(other.admit(fixture.at(800), WORK), Admission::Unrestricted);
    let now = fixture.at(800);
    assert_eq!(other.digest(now), fixture.suspects.digest(now));
}

#[test]
fn crashes_after_a_clearing_stay_when_the_clearing_arrives_later() {
    let mut fixture = Fixture::new();
    fixture.crash_twice(WORK, 100);
    let mut other = Suspects::new("h2");
    let now = fixture.at(400);
    assert!(fixture.suspects.apply(now, WORK, WorkEvent::Cleared));
    for (start, crashed_ms) in [(50, 1_000), (51, 1_200)] {
        let event = WorkEvent::Crashed {
            start,
            sent_ms: 100,
            crashed_ms: 0,
        };
        other.apply(fixture.at(crashed_ms), WORK, event);
    }
    for state in fixture.suspects.states(fixture.at(1_300)) {
        other.merge(fixture.at(1_300), &state);
    }
    assert!(matches!(
        other.admit(fixture.at(1_300), WORK),
        Admission::Refused(_)
    ));
    for state in other.states(fixture.at(1_300)) {
        fixture.suspects.merge(fixture.at(1_300), &state);
    }
    assert!(matches!(fixture.admit(1_300), Admission::Refused(_)));
}

#[test]
fn an_answer_after_one_crash_holds_when_another_host_missed_it() {
    let mut fixture = Fixture::new();
    fixture.crash_twice(WORK, 100);
    let now = fixture.at(400);
    assert!(fixture.suspects.apply(now, WORK, WorkEvent::Cleared));
    fixture.crash(3, 500, 600);
    let missed_the_answer = fixture.suspects.states(fixture.at(700));
    assert!(fixture.answer(800));
    for state in &missed_the_answer {
        fixture.suspects.merge(fixture.at(900), state);
    }
    fixture.crash(4, 1_000, 1_100);
    assert_eq!(
        fixture.admit(1_200),
        Admission::Unrestricted,
        "the two crashes are not consecutive"
    );
}
