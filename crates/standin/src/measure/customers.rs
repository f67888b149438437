//! What customers cost a request: to recognise the key, and to take a token.

use std::hint::black_box;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use steering::route::{
    Allowance, AllowanceTolerance, Credentials, Customer, CustomerTable, KeyHash, LeaseStep,
    TakeResult, TokenBound, TokenLeases, TokenPool, group_of,
};

const ROUNDS: usize = 200_000;
/// Customers of the table: none, those of a deployment of the users', and of a large one.
const SIZES: [usize; 3] = [0, 76, 10_000];
const KEY: &str = "ymh2rrytapjsujqurtyi";

fn customer(number: usize) -> Customer {
    Customer {
        name: format!("c{number}"),
        keys: vec![KeyHash::of(format!("{KEY}{number}").as_bytes())],
        priority: None,
        allowance: None,
        home_regions: Vec::new(),
    }
}

fn us_each(rounds: usize, mut run: impl FnMut(usize)) -> f64 {
    let begun = Instant::now();
    for round in 0..rounds {
        run(round);
    }
    begun.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

/// Measures; one JSON object.
pub fn run() -> Value {
    let recognised = SIZES.map(|size| {
        let customers: Vec<Customer> = (0..size).map(customer).collect();
        let table = CustomerTable::new(&customers);
        let keys: Vec<String> = (0..size.max(1)).map(|n| format!("{KEY}{n}")).collect();
        let us = us_each(ROUNDS, |round| {
            let key = keys[round % keys.len()].as_bytes();
            let sender = table.authenticate(false, || Credentials::Key(KeyHash::of(key)));
            black_box(sender).expect("the key is in force");
        });
        json!({"customers": size, "us": us})
    });
    json!({
        "recognise": recognised,
        "take_a_token_us": tokens(),
    })
}

/// Time to take a token that the host holds.
fn tokens() -> f64 {
    let now = Instant::now();
    let mut pool = TokenPool::new(1, now, false);
    let mut leases = TokenLeases::new(now);
    let bound = TokenBound::new(
        &Allowance {
            per_s: 1e9,
            burst: 1e9,
        },
        &AllowanceTolerance::default(),
    );
    // A request makes the customer known; then its tokens are lent ahead.
    let at = now + Duration::from_millis(1);
    assert_eq!(leases.take(at, "c1"), TakeResult::Wait);
    leases.cancel_wait("c1");
    let mut taken = 0;
    let mut spent = Duration::ZERO;
    for round in 0..1_000 {
        let at = now + Duration::from_millis(300) * (round + 1);
        for _ in 0..3 {
            let LeaseStep::SendRequest(host, ask) = leases.step(at, group_of("c1"), &["h1"]) else {
                continue;
            };
            let reply = pool.handle_request(at, &host, true, &ask, Some(1), &|_| Some(bound));
            leases.answered(at, at, &host, &ask, &reply);
        }
        let begun = Instant::now();
        for _ in 0..200 {
            taken += u32::from(black_box(leases.take(at, "c1")) == TakeResult::Taken);
            leases.cancel_wait("c1");
        }
        spent += begun.elapsed();
    }
    assert!(taken > 0, "no token was lent");
    spent.as_secs_f64() * 1e6 / (1_000.0 * 200.0)
}
