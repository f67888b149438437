//! What it costs a request to be looked up among work under which upstreams end.

use std::hint::black_box;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use steering::route::{Suspects, WorkEvent, WorkIdentity, WorkParts};

use super::balance::round;

const ROUNDS: usize = 9;
const LOOK_UPS: u64 = 2_000_000;
/// Kinds of work in mind: none, and as many as a host keeps.
const KNOWN: [u64; 2] = [0, 4_096];

/// Body of a request that is looked up, in bytes.
const BODY: [u8; 600] = [7; 600];

/// Nanoseconds of a call, the median of some rounds.
fn nanoseconds(mut call: impl FnMut(u64)) -> f64 {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let begun = Instant::now();
            (0..LOOK_UPS).for_each(&mut call);
            begun.elapsed().as_nanos() as f64 / LOOK_UPS as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

fn knowing(now: Instant, kinds: u64) -> Suspects {
    let mut suspects = Suspects::new("h1");
    for work in 0..kinds {
        let told = WorkEvent::Crashed {
            start: work,
            sent_ms: 100,
            crashed_ms: 0,
        };
        suspects.apply(now, WorkIdentity::named(work), told);
    }
    suspects
}

/// Measures the key of a request's work, and its look-up, on one core.
pub fn run() -> Value {
    let now = Instant::now() + Duration::from_secs(1);
    let key = nanoseconds(|number| {
        let object = black_box(number).to_be_bytes();
        black_box(WorkIdentity::new(&WorkParts {
            route: "route-1",
            object: Some(&object),
            method: "POST",
            path: "/a/b/c",
            customer: None,
            body: Some(&BODY),
        }));
    });
    let look_up_ns = KNOWN.map(|kinds| {
        let mut suspects = knowing(now, kinds);
        // One in two is known.
        let ns = nanoseconds(|number| {
            let work = black_box(number) % (kinds * 2).max(1);
            let object = work + (1 << 32);
            black_box(suspects.admit(
                now,
                WorkIdentity {
                    request: work,
                    object,
                },
            ));
        });
        json!({"known": kinds, "ns": round(ns)})
    });
    json!({"measure": "suspects", "key_ns": round(key), "look_up": look_up_ns})
}
