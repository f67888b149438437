//! Admission by a pool's owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use steering::choice::LeastExpected;
use steering::document::Upstream;
use steering::error::ErrorKind;
use steering::pool::{Decision, Grant, LoadReport, Outcome, Pool, PoolLimits, Step};

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
        self.pool
            .offer(self.now, self.now + within, priority, &mut self.rng)
    }

    fn granted(&mut self) -> Grant {
        match self.offer(1_000 * MS, 5) {
            Decision::Granted(grant) => grant,
            other => panic!("{other:?}"),
        }
    }

    fn release(&mut self, grant: &Grant, outcome: Outcome) -> Vec<Step> {
        self.pool
            .release(self.now, &grant.upstream.name, outcome, &mut self.rng)
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
    assert!(matches!(steps[..], [Step::Granted(_)]));
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
    assert!(matches!(&steps[..], [Step::Granted(grant)] if grant.wait == soon));
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
    assert_eq!(steps, [Step::Refused(1, ErrorKind::DeadlineBeforeDispatch)]);
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
    assert_eq!(steps, [Step::Refused(2, ErrorKind::NoCapacity)]);
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
    assert!(matches!(steps[..], [Step::Granted(_)]));
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
