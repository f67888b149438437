//! The bound on a message's time under way, against random ways, freezes and clocks.

use std::time::{Duration, Instant};

use peer::{ReceiptTimes, ReplyTimes};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::Feed;

const MESSAGES: usize = 50;

fn ms(range: std::ops::Range<u64>, rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// A way that is short, but for one message in five.
fn way(rng: &mut StdRng) -> Duration {
    match rng.random_ratio(1, 5) {
        true => ms(100..5_000, rng),
        false => ms(0..80, rng),
    }
}

#[rstest]
fn no_message_was_under_way_for_longer_than_its_bound(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    // Clocks of two hosts differ, and run at the same speed.
    let sender = Instant::now() + ms(0..1_000_000, &mut rng);
    let receiver = Instant::now() + ms(0..1_000_000, &mut rng);
    let challenge_way = way(&mut rng);
    let mut now = challenge_way;
    let mut replies = ReplyTimes::new(sender + now);
    let mut receipts = ReceiptTimes::new(receiver);
    let mut reply_way = challenge_way;
    for _ in 0..MESSAGES {
        now += ms(0..2_000, &mut rng);
        let since_reply = replies.since_last(Feed::Upstreams, sender + now);
        let under_way = way(&mut rng);
        now += under_way;
        let most = receipts.max_transit_time(Feed::Upstreams, receiver + now, since_reply);
        assert_eq!(most, under_way + reply_way);
        reply_way = way(&mut rng);
        now += reply_way;
        replies.record(Feed::Upstreams, sender + now);
    }
}
