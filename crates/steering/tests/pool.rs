//! Admission by a pool's owner.

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

struct Bench {
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

impl Bench {
    fn new(upstreams: &[Arc<Upstream>], unknown_for: Duration) -> Self {
        let now = Instant::now();
        let mut pool = Pool::new(limits(), Box::new(LeastExpected));
        pool.configure(now, limits(), upstreams, unknown_for);
        Bench {
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

    /// Serves until the upstreams' windows are wholly open.
    fn warm_up(&mut self) {
        for _ in 0..200 {
            let grant = self.granted();
            self.release(&grant, Outcome::Answered(10 * MS));
        }
    }
}

#[test]
fn never_more_in_flight_than_slots() {
    let mut bench = Bench::new(&[upstream("a", 3, "active")], Duration::ZERO);
    bench.warm_up();
    let grants: Vec<Grant> = (0..3).map(|_| bench.granted()).collect();
    assert!(matches!(bench.offer(1_000 * MS, 5), Decision::Queued(_)));
    assert_eq!(bench.pool.load().in_flight, 3);
    let steps = bench.release(&grants[0], Outcome::Answered(10 * MS));
    assert!(matches!(steps[..], [QueueStep::Granted(_)]));
    assert_eq!(bench.pool.load().in_flight, 3);
}

#[test]
fn least_slack_goes_first() {
    let mut bench = Bench::new(&[upstream("a", 1, "active")], Duration::ZERO);
    let running = bench.granted();
    let Decision::Queued(_late) = bench.offer(900 * MS, 5) else {
        panic!()
    };
    let Decision::Queued(soon) = bench.offer(300 * MS, 5) else {
        panic!()
    };
    let steps = bench.release(&running, Outcome::Answered(10 * MS));
    assert!(matches!(&steps[..], [QueueStep::Granted(grant)] if grant.wait == soon));
}

#[test]
fn what_cannot_make_its_deadline_is_refused_at_once() {
    let mut bench = Bench::new(&[upstream("a", 1, "active")], Duration::ZERO);
    assert_eq!(
        bench.offer(5 * MS, 5),
        Decision::Refused(ErrorKind::DeadlineBeforeDispatch)
    );
    let _running = bench.granted();
    assert_eq!(bench.offer(15 * MS, 5), Decision::Queued(1));
    bench.now += 6 * MS;
    let steps = bench.pool.advance(bench.now, &mut bench.rng);
    assert_eq!(
        steps,
        [QueueStep::Refused(1, ErrorKind::DeadlineBeforeDispatch)]
    );
}

#[test]
fn a_full_queue_evicts_lower_priority_only() {
    let mut bench = Bench::new(&[upstream("a", 1, "active")], Duration::ZERO);
    let _running = bench.granted();
    assert_eq!(bench.offer(1_000 * MS, 5), Decision::Queued(1));
    assert_eq!(bench.offer(1_000 * MS, 3), Decision::Queued(2));
    assert_eq!(
        bench.offer(1_000 * MS, 3),
        Decision::Refused(ErrorKind::NoCapacity)
    );
    assert_eq!(bench.offer(1_000 * MS, 8), Decision::Queued(3));
    let steps = bench.pool.advance(bench.now, &mut bench.rng);
    assert_eq!(steps, [QueueStep::Refused(2, ErrorKind::NoCapacity)]);
}

#[test]
fn a_new_owner_counts_as_taken_what_it_cannot_rule_out() {
    let mut bench = Bench::new(&[upstream("a", 3, "active")], 500 * MS);
    assert!(matches!(bench.offer(1_000 * MS, 5), Decision::Queued(_)));
    let report = LoadReport {
        in_flight: 2,
        healthy: true,
    };
    bench.pool.report(bench.now, &"a".to_owned(), &report);
    let steps = bench.pool.advance(bench.now, &mut bench.rng);
    assert!(
        matches!(steps[..], []),
        "2 of 3 are taken by another, and a cold window is 1"
    );
    bench.now += 501 * MS;
    let steps = bench.pool.advance(bench.now, &mut bench.rng);
    assert!(matches!(steps[..], [QueueStep::Granted(_)]));
}

#[test]
fn a_lying_report_frees_no_slot_that_the_owner_counts() {
    let mut bench = Bench::new(&[upstream("a", 3, "active")], Duration::ZERO);
    bench.warm_up();
    let _grants: Vec<Grant> = (0..3).map(|_| bench.granted()).collect();
    let report = LoadReport {
        in_flight: 0,
        healthy: true,
    };
    bench.pool.report(bench.now, &"a".to_owned(), &report);
    assert!(matches!(bench.offer(1_000 * MS, 5), Decision::Queued(_)));
}

#[test]
fn a_leaving_upstream_gets_no_new_work_and_is_kept_until_it_is_quiet() {
    let mut bench = Bench::new(&[upstream("a", 3, "active")], Duration::ZERO);
    let running = bench.granted();
    let draining = [upstream("a", 3, "draining")];
    bench
        .pool
        .configure(bench.now, limits(), &draining, Duration::ZERO);
    assert_eq!(
        bench.offer(1_000 * MS, 5),
        Decision::Refused(ErrorKind::NoUpstream)
    );
    bench
        .pool
        .configure(bench.now, limits(), &[], Duration::ZERO);
    assert_eq!(bench.pool.members().len(), 1);
    bench.release(&running, Outcome::Answered(10 * MS));
    assert_eq!(bench.pool.members().len(), 0);
}

#[test]
fn a_failing_upstream_is_left_out_and_asked_again_later() {
    let mut bench = Bench::new(&[upstream("a", 3, "active")], Duration::ZERO);
    for _ in 0..3 {
        let grant = bench.granted();
        bench.release(&grant, Outcome::Failed);
        bench.now += 200 * MS;
    }
    assert_eq!(
        bench.offer(1_000 * MS, 5),
        Decision::Refused(ErrorKind::NoUpstream)
    );
    bench.now += 3_000 * MS;
    let _ = bench.pool.advance(bench.now, &mut bench.rng);
    let report = LoadReport {
        in_flight: 0,
        healthy: true,
    };
    bench.pool.report(bench.now, &"a".to_owned(), &report);
    bench.granted();
}

#[test]
fn a_cold_upstream_opens_with_good_answers_and_closes_with_sheds() {
    let mut bench = Bench::new(&[upstream("a", 9, "active")], Duration::ZERO);
    let cold = bench.pool.load().capacity;
    bench.warm_up();
    let warm = bench.pool.load().capacity;
    let grant = bench.granted();
    bench.release(&grant, Outcome::Shed);
    let shed = bench.pool.load().capacity;
    assert!(
        cold < warm && warm == 9 && shed < warm,
        "{cold} {warm} {shed}"
    );
}

#[test]
fn a_slow_upstream_is_left_for_a_faster_one() {
    let upstreams = [upstream("slow", 3, "active"), upstream("fast", 3, "active")];
    let mut bench = Bench::new(&upstreams, Duration::ZERO);
    let mut slow = 0;
    for _ in 0..300 {
        let grant = bench.granted();
        let is_slow = grant.upstream.name == "slow";
        slow += u32::from(is_slow);
        let took = if is_slow { 200 * MS } else { 10 * MS };
        bench.release(&grant, Outcome::Answered(took));
    }
    assert!(slow < 30, "{slow} of 300 went to the slow one");
}

#[test]
fn a_cancelled_wait_leaves_the_queue() {
    let mut bench = Bench::new(&[upstream("a", 1, "active")], Duration::ZERO);
    let running = bench.granted();
    let Decision::Queued(wait) = bench.offer(900 * MS, 5) else {
        panic!()
    };
    assert!(bench.pool.cancel(wait));
    assert!(!bench.pool.cancel(wait));
    assert_eq!(bench.release(&running, Outcome::Cancelled), []);
}

/// A pool of two warm upstreams whose answers take 10 ms.
fn two_warm() -> Bench {
    let upstreams = [upstream("a", 4, "active"), upstream("b", 4, "active")];
    let mut bench = Bench::new(&upstreams, Duration::ZERO);
    bench.warm_up();
    bench
}

/// Sends until a request goes to `name`; the others are answered at once.
fn sent_to(bench: &mut Bench, name: &str) -> Grant {
    for _ in 0..100 {
        let grant = bench.granted();
        if grant.upstream.name == name {
            return grant;
        }
        bench.now += MS;
        bench.release(&grant, Outcome::Answered(10 * MS));
    }
    panic!("nothing went to {name}");
}

/// Where requests go until one would have to wait; all are answered then.
fn filled(bench: &mut Bench) -> Vec<String> {
    let mut grants = Vec::new();
    while let Decision::Granted(grant) = bench.offer(1_000 * MS, 5) {
        grants.push(grant);
    }
    for grant in &grants {
        bench.release(grant, Outcome::Answered(10 * MS));
    }
    grants
        .iter()
        .map(|grant| grant.upstream.name.clone())
        .collect()
}

#[test]
fn an_upstream_that_does_not_answer_is_passed_over_while_it_is_silent() {
    let mut bench = two_warm();
    let stuck = sent_to(&mut bench, "a");
    bench.now += 105 * MS;
    assert_eq!(filled(&mut bench), ["b"; 4], "waiting is better than `a`");
    let mut bench = two_warm();
    let slow = sent_to(&mut bench, "a");
    bench.now += 105 * MS;
    // Its answer begins; that the body takes long says nothing against it.
    bench.pool.first_byte(bench.now, &slow);
    bench.now += 60_000 * MS;
    assert!(filled(&mut bench).contains(&"a".to_owned()));
    assert_ne!(stuck, slow);
}

#[test]
fn a_request_that_was_given_up_late_tells_against_its_upstream() {
    let upstreams = [upstream("a", 4, "active"), upstream("b", 4, "active")];
    let mut bench = Bench::new(&upstreams, Duration::ZERO);
    let answered = sent_to(&mut bench, "b");
    bench.release(&answered, Outcome::Answered(10 * MS));
    // No answer of `a` was ever seen: before, nothing spoke against it for ever.
    let stuck = sent_to(&mut bench, "a");
    bench.now += 60 * MS;
    bench.release(&stuck, Outcome::Cancelled);
    let next = bench.granted();
    assert_eq!(next.upstream.name, "b");
}

#[test]
fn a_hedge_goes_elsewhere_than_the_request_that_is_late() {
    let mut bench = two_warm();
    let late = sent_to(&mut bench, "a");
    // `b` is so slow that more would go to `a`, and still better for a second try.
    loop {
        let next = bench.granted();
        if next.upstream.name == "a" {
            bench.release(&next, Outcome::Answered(10 * MS));
            break;
        }
        bench.release(&next, Outcome::Answered(35 * MS));
    }
    bench.now = late.sent + 50 * MS;
    let Decision::Granted(first) = bench.offer_as(1_000 * MS, 5, false) else {
        panic!()
    };
    let Decision::Granted(hedge) = bench.offer_as(1_000 * MS, 5, true) else {
        panic!()
    };
    assert_eq!(first.upstream.name, "a");
    assert_eq!(hedge.upstream.name, "b");
}

#[test]
fn a_caller_that_left_early_tells_nothing() {
    let mut bench = two_warm();
    let left = sent_to(&mut bench, "a");
    bench.now += 5 * MS;
    bench.release(&left, Outcome::Cancelled);
    let places = filled(&mut bench);
    assert_eq!(places.iter().filter(|name| *name == "a").count(), 4);
}

/// An upstream that says that it accepts no work gets none, whatever it still answers.
#[test]
fn who_says_that_it_accepts_no_work_gets_none_until_it_says_otherwise() {
    let mut bench = Bench::new(&[upstream("a", 3, "active")], Duration::ZERO);
    let earlier = bench.granted();
    let says = |healthy| LoadReport {
        in_flight: 1,
        healthy,
    };
    bench.pool.report(bench.now, &"a".to_owned(), &says(false));
    let refused = Decision::Refused(ErrorKind::NoUpstream);
    assert_eq!(bench.offer(1_000 * MS, 5), refused);
    bench.release(&earlier, Outcome::Answered(10 * MS));
    assert_eq!(bench.offer(1_000 * MS, 5), refused, "after an answer");
    bench.pool.report(bench.now, &"a".to_owned(), &says(true));
    bench.granted();
}

const REST: Duration = Duration::from_secs(3);

/// An upstream that has refused a request and asked for rest.
fn resting(names: &[&str]) -> Bench {
    let upstreams: Vec<Arc<Upstream>> = names.iter().map(|n| upstream(n, 3, "active")).collect();
    let mut bench = Bench::new(&upstreams, Duration::ZERO);
    bench.warm_up();
    let grants: Vec<Grant> = names.iter().map(|_| bench.granted()).collect();
    let earlier = bench.granted();
    for grant in &grants {
        bench.release(grant, Outcome::Rests(REST));
    }
    bench.release(&earlier, Outcome::Answered(10 * MS));
    bench
}

#[test]
fn who_wants_rest_gets_nothing_until_it_is_over_then_one_request() {
    let mut bench = resting(&["a"]);
    assert_eq!(bench.pool.load().capacity, 0, "resting slots are no room");
    bench.now += REST - MS;
    let soon = bench.offer(20 * MS, 5);
    assert!(
        matches!(soon, Decision::Queued(_)),
        "its end is near: {soon:?}"
    );
    bench.now += MS;
    let steps = bench.pool.advance(bench.now, &mut bench.rng);
    let [QueueStep::Granted(trial)] = &steps[..] else {
        panic!("{steps:?}");
    };
    let next = bench.offer(100 * MS, 5);
    assert!(matches!(next, Decision::Queued(_)), "{next:?}");
    bench.pool.first_byte(bench.now, trial);
    let steps = bench.release(trial, Outcome::Answered(10 * MS));
    assert!(matches!(&steps[..], [QueueStep::Granted(_)]), "{steps:?}");
}

/// The first request after a rest gets no answer before its deadline: the next decides.
#[test]
fn a_deadline_that_passes_does_not_end_the_trial_after_a_rest() {
    let mut bench = resting(&["a"]);
    bench.now += REST;
    let trial = bench.granted();
    bench.now += 20 * MS;
    bench.release(&trial, Outcome::Answered(20 * MS));
    let next = bench.granted();
    let after = bench.offer(100 * MS, 5);
    assert!(matches!(after, Decision::Queued(_)), "{after:?}");
    bench.pool.first_byte(bench.now, &next);
    let steps = bench.pool.advance(bench.now, &mut bench.rng);
    assert!(matches!(&steps[..], [QueueStep::Granted(_)]), "{steps:?}");
}

#[test]
fn who_can_not_wait_for_the_end_of_a_rest_is_refused_at_once() {
    let mut bench = resting(&["a"]);
    let refused = Decision::Refused(ErrorKind::NoCapacity);
    assert_eq!(bench.offer(REST, 5), refused);
}

#[test]
fn another_gets_the_work_of_one_that_rests() {
    let mut bench = Bench::new(
        &[upstream("a", 3, "active"), upstream("b", 3, "active")],
        Duration::ZERO,
    );
    let first = bench.granted();
    bench.release(&first, Outcome::Rests(REST));
    for _ in 0..20 {
        let grant = bench.granted();
        assert_ne!(grant.upstream.name, first.upstream.name);
        bench.release(&grant, Outcome::Answered(10 * MS));
    }
}

#[test]
fn the_load_told_to_others_counts_slots_again_after_a_rest() {
    let mut bench = resting(&["a"]);
    let report = LoadReport {
        in_flight: 0,
        healthy: true,
    };
    bench.pool.report(bench.now, &"a".to_owned(), &report);
    assert_eq!(bench.pool.load().capacity, 0);
    bench
        .pool
        .report(bench.now + REST, &"a".to_owned(), &report);
    assert!(bench.pool.load().capacity > 0);
}

/// The first request after a rest is refused with a rest of no time: that too is an answer.
#[test]
fn a_rest_of_no_time_ends_the_trial_after_a_rest() {
    let mut bench = resting(&["a"]);
    bench.now += REST;
    let trial = bench.granted();
    bench.release(&trial, Outcome::Rests(Duration::ZERO));
    bench.now += 200 * MS;
    bench.granted();
}
