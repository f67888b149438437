//! Admission by the owner of a pool.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use steering::choice::LeastExpected;
use steering::document::Upstream;
use steering::error::ErrorKind;
use steering::pool::{
    Decision, Grant, LoadReport, Outcome, Pool, PoolLimits, PoolRequest, QueueStep,
};

const MS: Duration = Duration::from_millis(1);

struct Fixture {
    pool: Pool,
    now: Instant,
    rng: StdRng,
}

fn upstream(name: &str, slots: u32, state: &str) -> Arc<Upstream> {
    Arc::new(
        serde_json::from_value(serde_json::json!({
            "name": name, "service": "s", "zone": "z", "address": "127.0.0.1:1",
            "slots": slots, "labels": {"state": state}
        }))
        .unwrap(),
    )
}

fn limits() -> PoolLimits {
    PoolLimits {
        queue_limit: 2,
        expected: 10 * MS,
    }
}

impl Fixture {
    fn new(upstreams: &[Arc<Upstream>], unknown_for: Duration) -> Self {
        let now = Instant::now();
        let mut pool = Pool::new(limits(), Box::new(LeastExpected));
        pool.configure(now, limits(), upstreams, unknown_for);
        Fixture {
            pool,
            now,
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn offer(&mut self, within: Duration, priority: u8) -> Decision {
        self.offer_as(within, priority, false)
    }

    fn offer_as(&mut self, within: Duration, priority: u8, hedge: bool) -> Decision {
        let offer = PoolRequest {
            deadline: self.now + within,
            priority,
            hedge,
        };
        self.pool.offer(self.now, offer, &mut self.rng)
    }

    fn granted(&mut self) -> Grant {
        match self.offer(1_000 * MS, 5) {
            Decision::Granted(grant) => grant,
            other => panic!("{other:?}"),
        }
    }

    fn release(&mut self, grant: &Grant, outcome: Outcome) -> Vec<QueueStep> {
        self.pool.release(self.now, grant, outcome, &mut self.rng)
    }

    /// Serves requests until the upstreams' windows are fully open.
    fn warm_up(&mut self) {
        for _ in 0..200 {
            let grant = self.granted();
            self.release(&grant, Outcome::Answered(10 * MS));
        }
    }
}

#[test]
fn requests_in_flight_never_exceed_the_slots() {
    let mut fixture = Fixture::new(&[upstream("a", 3, "active")], Duration::ZERO);
    fixture.warm_up();
    let grants: Vec<Grant> = (0..3).map(|_| fixture.granted()).collect();
    assert!(matches!(fixture.offer(1_000 * MS, 5), Decision::Queued(_)));
    assert_eq!(fixture.pool.load().in_flight, 3);
    let steps = fixture.release(&grants[0], Outcome::Answered(10 * MS));
    assert!(matches!(steps[..], [QueueStep::Granted(_)]));
    assert_eq!(fixture.pool.load().in_flight, 3);
}

#[test]
fn the_request_with_the_least_slack_goes_first() {
    let mut fixture = Fixture::new(&[upstream("a", 1, "active")], Duration::ZERO);
    let running = fixture.granted();
    let Decision::Queued(_late) = fixture.offer(900 * MS, 5) else {
        panic!()
    };
    let Decision::Queued(soon) = fixture.offer(300 * MS, 5) else {
        panic!()
    };
    let steps = fixture.release(&running, Outcome::Answered(10 * MS));
    assert!(matches!(&steps[..], [QueueStep::Granted(grant)] if grant.wait == soon));
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_at_once() {
    let mut fixture = Fixture::new(&[upstream("a", 1, "active")], Duration::ZERO);
    assert_eq!(
        fixture.offer(5 * MS, 5),
        Decision::Refused(ErrorKind::DeadlineBeforeDispatch)
    );
    let _running = fixture.granted();
    assert_eq!(fixture.offer(15 * MS, 5), Decision::Queued(1));
    fixture.now += 6 * MS;
    let steps = fixture.pool.advance(fixture.now, &mut fixture.rng);
    assert_eq!(
        steps,
        [QueueStep::Refused(1, ErrorKind::DeadlineBeforeDispatch)]
    );
}

#[test]
fn a_full_queue_evicts_lower_priority_only() {
    let mut fixture = Fixture::new(&[upstream("a", 1, "active")], Duration::ZERO);
    let _running = fixture.granted();
    assert_eq!(fixture.offer(1_000 * MS, 5), Decision::Queued(1));
    assert_eq!(fixture.offer(1_000 * MS, 3), Decision::Queued(2));
    assert_eq!(
        fixture.offer(1_000 * MS, 3),
        Decision::Refused(ErrorKind::NoCapacity)
    );
    assert_eq!(fixture.offer(1_000 * MS, 8), Decision::Queued(3));
    let steps = fixture.pool.advance(fixture.now, &mut fixture.rng);
    assert_eq!(steps, [QueueStep::Refused(2, ErrorKind::NoCapacity)]);
}

#[test]
fn a_new_owner_counts_unknown_slots_as_occupied() {
    let mut fixture = Fixture::new(&[upstream("a", 3, "active")], 500 * MS);
    assert!(matches!(fixture.offer(1_000 * MS, 5), Decision::Queued(_)));
    let report = LoadReport {
        in_flight: 2,
        healthy: true,
    };
    fixture.pool.report(fixture.now, &"a".to_owned(), &report);
    let steps = fixture.pool.advance(fixture.now, &mut fixture.rng);
    assert!(
        matches!(steps[..], []),
        "another host occupies 2 of 3 slots, and the initial window is 1"
    );
    fixture.now += 501 * MS;
    let steps = fixture.pool.advance(fixture.now, &mut fixture.rng);
    assert!(matches!(steps[..], [QueueStep::Granted(_)]));
}

#[test]
fn a_wrong_report_frees_no_slot_that_the_owner_counts() {
    let mut fixture = Fixture::new(&[upstream("a", 3, "active")], Duration::ZERO);
    fixture.warm_up();
    let _grants: Vec<Grant> = (0..3).map(|_| fixture.granted()).collect();
    let report = LoadReport {
        in_flight: 0,
        healthy: true,
    };
    fixture.pool.report(fixture.now, &"a".to_owned(), &report);
    assert!(matches!(fixture.offer(1_000 * MS, 5), Decision::Queued(_)));
}

#[test]
fn a_leaving_upstream_gets_no_new_work_and_is_kept_until_idle() {
    let mut fixture = Fixture::new(&[upstream("a", 3, "active")], Duration::ZERO);
    let running = fixture.granted();
    let draining = [upstream("a", 3, "draining")];
    fixture
        .pool
        .configure(fixture.now, limits(), &draining, Duration::ZERO);
    assert_eq!(
        fixture.offer(1_000 * MS, 5),
        Decision::Refused(ErrorKind::NoUpstream)
    );
    fixture
        .pool
        .configure(fixture.now, limits(), &[], Duration::ZERO);
    assert_eq!(fixture.pool.members().len(), 1);
    fixture.release(&running, Outcome::Answered(10 * MS));
    assert_eq!(fixture.pool.members().len(), 0);
}

#[test]
fn a_failing_upstream_is_ejected_and_tried_again_later() {
    let mut fixture = Fixture::new(&[upstream("a", 3, "active")], Duration::ZERO);
    for _ in 0..3 {
        let grant = fixture.granted();
        fixture.release(&grant, Outcome::Failed);
        fixture.now += 200 * MS;
    }
    assert_eq!(
        fixture.offer(1_000 * MS, 5),
        Decision::Refused(ErrorKind::NoUpstream)
    );
    fixture.now += 3_000 * MS;
    let _ = fixture.pool.advance(fixture.now, &mut fixture.rng);
    let report = LoadReport {
        in_flight: 0,
        healthy: true,
    };
    fixture.pool.report(fixture.now, &"a".to_owned(), &report);
    fixture.granted();
}

#[test]
fn the_window_grows_with_good_answers_and_shrinks_with_rejections() {
    let mut fixture = Fixture::new(&[upstream("a", 9, "active")], Duration::ZERO);
    let cold = fixture.pool.load().capacity;
    fixture.warm_up();
    let warm = fixture.pool.load().capacity;
    let grant = fixture.granted();
    fixture.release(&grant, Outcome::Shed);
    let shed = fixture.pool.load().capacity;
    assert!(
        cold < warm && warm == 9 && shed < warm,
        "{cold} {warm} {shed}"
    );
}

#[test]
fn a_faster_upstream_is_preferred_to_a_slow_one() {
    let upstreams = [upstream("slow", 3, "active"), upstream("fast", 3, "active")];
    let mut fixture = Fixture::new(&upstreams, Duration::ZERO);
    let mut slow = 0;
    for _ in 0..300 {
        let grant = fixture.granted();
        let is_slow = grant.upstream.name == "slow";
        slow += u32::from(is_slow);
        let took = if is_slow { 200 * MS } else { 10 * MS };
        fixture.release(&grant, Outcome::Answered(took));
    }
    assert!(slow < 30, "{slow} of 300 went to the slow one");
}

#[test]
fn a_cancelled_wait_leaves_the_queue() {
    let mut fixture = Fixture::new(&[upstream("a", 1, "active")], Duration::ZERO);
    let running = fixture.granted();
    let Decision::Queued(wait) = fixture.offer(900 * MS, 5) else {
        panic!()
    };
    assert!(fixture.pool.cancel(wait));
    assert!(!fixture.pool.cancel(wait));
    assert_eq!(fixture.release(&running, Outcome::Cancelled), []);
}

/// A pool of two warm upstreams that answer in 10 ms.
fn two_warm() -> Fixture {
    let upstreams = [upstream("a", 4, "active"), upstream("b", 4, "active")];
    let mut fixture = Fixture::new(&upstreams, Duration::ZERO);
    fixture.warm_up();
    fixture
}

/// Sends requests until one goes to `name`; the others are answered at once.
fn sent_to(fixture: &mut Fixture, name: &str) -> Grant {
    for _ in 0..100 {
        let grant = fixture.granted();
        if grant.upstream.name == name {
            return grant;
        }
        fixture.now += MS;
        fixture.release(&grant, Outcome::Answered(10 * MS));
    }
    panic!("nothing went to {name}");
}

/// The upstreams of requests sent until one would have to wait; then all are answered.
fn filled(fixture: &mut Fixture) -> Vec<String> {
    let mut grants = Vec::new();
    while let Decision::Granted(grant) = fixture.offer(1_000 * MS, 5) {
        grants.push(grant);
    }
    for grant in &grants {
        fixture.release(grant, Outcome::Answered(10 * MS));
    }
    grants
        .iter()
        .map(|grant| grant.upstream.name.clone())
        .collect()
}

#[test]
fn a_silent_upstream_is_skipped_until_it_answers() {
    let mut fixture = two_warm();
    let stuck = sent_to(&mut fixture, "a");
    fixture.now += 105 * MS;
    assert_eq!(
        filled(&mut fixture),
        ["b"; 4],
        "waiting for `b` is faster than `a`"
    );
    let mut fixture = two_warm();
    let slow = sent_to(&mut fixture, "a");
    fixture.now += 105 * MS;
    // The answer has started; a long body does not count against the upstream.
    fixture.pool.first_byte(fixture.now, &slow);
    fixture.now += 60_000 * MS;
    assert!(filled(&mut fixture).contains(&"a".to_owned()));
    assert_ne!(stuck, slow);
}

#[test]
fn a_late_cancellation_counts_against_the_upstream() {
    let upstreams = [upstream("a", 4, "active"), upstream("b", 4, "active")];
    let mut fixture = Fixture::new(&upstreams, Duration::ZERO);
    let answered = sent_to(&mut fixture, "b");
    fixture.release(&answered, Outcome::Answered(10 * MS));
    // `a` has never answered, so only the cancelled request can count against it.
    let stuck = sent_to(&mut fixture, "a");
    fixture.now += 60 * MS;
    fixture.release(&stuck, Outcome::Cancelled);
    let next = fixture.granted();
    assert_eq!(next.upstream.name, "b");
}

#[test]
fn a_hedge_goes_to_another_upstream_than_the_late_request() {
    let mut fixture = two_warm();
    let late = sent_to(&mut fixture, "a");
    // `b` is so slow that ordinary requests go to `a`, but a hedge should still go to `b`.
    loop {
        let next = fixture.granted();
        if next.upstream.name == "a" {
            fixture.release(&next, Outcome::Answered(10 * MS));
            break;
        }
        fixture.release(&next, Outcome::Answered(35 * MS));
    }
    fixture.now = late.sent + 50 * MS;
    let Decision::Granted(first) = fixture.offer_as(1_000 * MS, 5, false) else {
        panic!()
    };
    let Decision::Granted(hedge) = fixture.offer_as(1_000 * MS, 5, true) else {
        panic!()
    };
    assert_eq!(first.upstream.name, "a");
    assert_eq!(hedge.upstream.name, "b");
}

#[test]
fn an_early_cancellation_does_not_count_against_the_upstream() {
    let mut fixture = two_warm();
    let left = sent_to(&mut fixture, "a");
    fixture.now += 5 * MS;
    fixture.release(&left, Outcome::Cancelled);
    let upstreams = filled(&mut fixture);
    assert_eq!(upstreams.iter().filter(|name| *name == "a").count(), 4);
}

/// An upstream that reports that it accepts no work gets none, even if it still answers.
#[test]
fn an_upstream_that_reports_unhealthy_gets_no_work_until_healthy() {
    let mut fixture = Fixture::new(&[upstream("a", 3, "active")], Duration::ZERO);
    let earlier = fixture.granted();
    let report = |healthy| LoadReport {
        in_flight: 1,
        healthy,
    };
    fixture
        .pool
        .report(fixture.now, &"a".to_owned(), &report(false));
    let refused = Decision::Refused(ErrorKind::NoUpstream);
    assert_eq!(fixture.offer(1_000 * MS, 5), refused);
    fixture.release(&earlier, Outcome::Answered(10 * MS));
    assert_eq!(fixture.offer(1_000 * MS, 5), refused, "after an answer");
    fixture
        .pool
        .report(fixture.now, &"a".to_owned(), &report(true));
    fixture.granted();
}

const REST: Duration = Duration::from_secs(3);

/// Upstreams that rejected a request and requested a rest.
fn resting(names: &[&str]) -> Fixture {
    let upstreams: Vec<Arc<Upstream>> = names.iter().map(|n| upstream(n, 3, "active")).collect();
    let mut fixture = Fixture::new(&upstreams, Duration::ZERO);
    fixture.warm_up();
    let grants: Vec<Grant> = names.iter().map(|_| fixture.granted()).collect();
    let earlier = fixture.granted();
    for grant in &grants {
        fixture.release(grant, Outcome::Rests(REST));
    }
    fixture.release(&earlier, Outcome::Answered(10 * MS));
    fixture
}

#[test]
fn a_resting_upstream_gets_nothing_until_the_end_then_one_request() {
    let mut fixture = resting(&["a"]);
    assert_eq!(
        fixture.pool.load().capacity,
        0,
        "resting upstreams have no usable slots"
    );
    fixture.now += REST - MS;
    let soon = fixture.offer(20 * MS, 5);
    assert!(
        matches!(soon, Decision::Queued(_)),
        "the end of the rest is near: {soon:?}"
    );
    fixture.now += MS;
    let steps = fixture.pool.advance(fixture.now, &mut fixture.rng);
    let [QueueStep::Granted(trial)] = &steps[..] else {
        panic!("{steps:?}");
    };
    let next = fixture.offer(100 * MS, 5);
    assert!(matches!(next, Decision::Queued(_)), "{next:?}");
    fixture.pool.first_byte(fixture.now, trial);
    let steps = fixture.release(trial, Outcome::Answered(10 * MS));
    assert!(matches!(&steps[..], [QueueStep::Granted(_)]), "{steps:?}");
}

/// The first request after a rest gets no answer before its deadline, so the next one is the
/// trial.
#[test]
fn a_passed_deadline_does_not_end_the_trial_after_a_rest() {
    let mut fixture = resting(&["a"]);
    fixture.now += REST;
    let trial = fixture.granted();
    fixture.now += 20 * MS;
    fixture.release(&trial, Outcome::Answered(20 * MS));
    let next = fixture.granted();
    let after = fixture.offer(100 * MS, 5);
    assert!(matches!(after, Decision::Queued(_)), "{after:?}");
    fixture.pool.first_byte(fixture.now, &next);
    let steps = fixture.pool.advance(fixture.now, &mut fixture.rng);
    assert!(matches!(&steps[..], [QueueStep::Granted(_)]), "{steps:?}");
}

#[test]
fn requests_that_cannot_wait_for_the_end_of_a_rest_are_refused_at_once() {
    let mut fixture = resting(&["a"]);
    let refused = Decision::Refused(ErrorKind::NoCapacity);
    assert_eq!(fixture.offer(REST, 5), refused);
}

#[test]
fn other_upstreams_take_over_while_one_rests() {
    let mut fixture = Fixture::new(
        &[upstream("a", 3, "active"), upstream("b", 3, "active")],
        Duration::ZERO,
    );
    let first = fixture.granted();
    fixture.release(&first, Outcome::Rests(REST));
    for _ in 0..20 {
        let grant = fixture.granted();
        assert_ne!(grant.upstream.name, first.upstream.name);
        fixture.release(&grant, Outcome::Answered(10 * MS));
    }
}

#[test]
fn the_reported_load_counts_slots_again_after_a_rest() {
    let mut fixture = resting(&["a"]);
    let report = LoadReport {
        in_flight: 0,
        healthy: true,
    };
    fixture.pool.report(fixture.now, &"a".to_owned(), &report);
    assert_eq!(fixture.pool.load().capacity, 0);
    fixture
        .pool
        .report(fixture.now + REST, &"a".to_owned(), &report);
    assert!(fixture.pool.load().capacity > 0);
}

/// The first request after a rest is rejected with a rest of zero length, which is an answer too.
#[test]
fn a_rest_of_zero_length_ends_the_trial_after_a_rest() {
    let mut fixture = resting(&["a"]);
    fixture.now += REST;
    let trial = fixture.granted();
    fixture.release(&trial, Outcome::Rests(Duration::ZERO));
    fixture.now += 200 * MS;
    fixture.granted();
}
