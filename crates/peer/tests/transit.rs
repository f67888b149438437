//! Compares the computed maximum transit time of messages with random transit times, pauses and
//! clock offsets.

use std::time::{Duration, Instant};

use peer::{ReceiptTimes, ReplyTimes};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::Feed;

const MESSAGES: usize = 50;

fn random_ms(range: std::ops::Range<u64>, rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Returns a random transit time: short for four of five messages.
fn transit_time(rng: &mut StdRng) -> Duration {
    match rng.random_ratio(1, 5) {
        true => random_ms(100..5_000, rng),
        false => random_ms(0..80, rng),
    }
}

#[rstest]
fn no_transit_time_exceeds_the_computed_maximum(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    // The clocks of the two hosts differ by a constant offset.
    let sender = Instant::now() + random_ms(0..1_000_000, &mut rng);
    let receiver = Instant::now() + random_ms(0..1_000_000, &mut rng);
    let challenge_transit = transit_time(&mut rng);
    let mut now = challenge_transit;
    let mut replies = ReplyTimes::new(sender + now);
    let mut receipts = ReceiptTimes::new(receiver);
    let mut reply_transit = challenge_transit;
    for _ in 0..MESSAGES {
        now += random_ms(0..2_000, &mut rng);
        let since_reply = replies.since_last(Feed::Upstreams, sender + now);
        let message_transit = transit_time(&mut rng);
        now += message_transit;
        let max = receipts.max_transit_time(Feed::Upstreams, receiver + now, since_reply);
        assert_eq!(max, message_transit + reply_transit);
        reply_transit = transit_time(&mut rng);
        now += reply_transit;
        replies.record(Feed::Upstreams, sender + now);
    }
}
