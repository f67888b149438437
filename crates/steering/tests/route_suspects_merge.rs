//! Hosts that learned different things agree after they have exchanged their states.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use steering::route::{Suspects, WorkEvent, WorkIdentity};

const HOSTS: usize = 3;

/// An event that only one host learns of.
#[derive(Debug, Clone)]
struct Step {
    host: usize,
    request: u64,
    event: WorkEvent,
    after_ms: u64,
}

fn event() -> impl Strategy<Value = WorkEvent> {
    prop_oneof![
        4 => (0..40u64, 0..500u32).prop_map(|(start, sent_ms)| WorkEvent::Crashed {
            start,
            sent_ms,
            crashed_ms: 0,
        }),
        2 => (0..500u32).prop_map(|sent_ms| WorkEvent::Answered { sent_ms }),
        1 => Just(WorkEvent::TrialStarted),
        1 => Just(WorkEvent::Cleared),
        1 => Just(WorkEvent::Refused),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    (0..HOSTS, 0..4u64, event(), 0..3_000u64).prop_map(|(host, request, event, after_ms)| Step {
        host,
        request,
        event,
        after_ms,
    })
}

/// Applies each event at its host, then lets all hosts exchange their states; returns their
/// digests.
fn digests_after_exchange(steps: Vec<Step>) -> Vec<u64> {
    let new = |number| Suspects::new(&format!("h{number}"));
    let mut hosts: Vec<Suspects> = (0..HOSTS).map(new).collect();
    let mut now = Instant::now() + Duration::from_secs(36_000);
    for step in steps {
        now += Duration::from_millis(step.after_ms);
        let work = WorkIdentity {
            request: step.request,
            object: 100 + step.request % 2,
        };
        hosts[step.host].apply(now, work, step.event);
    }
    for _ in 0..HOSTS {
        for host in 0..HOSTS {
            for state in hosts[(host + 1) % HOSTS].states(now) {
                hosts[host].merge(now, &state);
            }
        }
    }
    hosts.iter().map(|host| host.digest(now)).collect()
}

#[test]
fn hosts_agree_after_exchanging_states() {
    let config = ProptestConfig {
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 0..60);
    let agrees = |steps| {
        let digests = digests_after_exchange(steps);
        prop_assert!(digests.iter().all(|digest| *digest == digests[0]));
        Ok(())
    };
    runner.run(&steps, agrees).unwrap();
}
