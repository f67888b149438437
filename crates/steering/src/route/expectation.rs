//! What a request is expected to meet at an upstream, and what that is worth.

use std::time::Duration;

use super::estimate::{Standing, Work};
use super::wish::Wish;

/// What an answer after the goal is worth, beside one within it.
const LATE_WORTH: f64 = 0.2;
/// Spread of the times of work, as a share of them.
const SPREAD: f64 = 0.12;
/// Share of the goal that wait and work may take; the rest is for the ways to the caller
/// and back.
const GOAL_USED: f64 = 0.9;
/// What usual work takes from others at an upstream that is full, by making them late.
/// Measured: 0.8, 0.4 and 0.2 in docs/decisions/expected-worth.md.
const PRICE: f64 = 0.4;
/// Load, as a share of its slots, from which on an upstream counts as full.
const FULL: f64 = 1.5;

/// What a request was expected to meet at an upstream, from which its answer is judged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// What decides whether its object is held there; none for work on no object.
    pub standing: Option<Standing>,
    /// Time until a slot is free.
    pub wait: Duration,
    /// The work itself.
    pub work: Work,
    /// Times as long as usual that the upstream takes.
    pub speed: f64,
    /// Share of the upstream's slots that the object's requests lately took.
    pub object_share: f64,
    /// Whether the upstream is so slow that it would be late even with the object held,
    /// a slot free and all of the goal's time left.
    pub too_slow: bool,
    /// Worth of the answer, less what the work takes from others; 1 at most.
    pub worth: f64,
}

impl Expectation {
    /// Time until the answer if the object is not held.
    pub fn longest(&self) -> Duration {
        self.wait + self.work.if_fetched
    }
}

/// What is known of an upstream when a request is weighed.
pub(super) struct Seen {
    /// Requests running and waiting there.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// None for work on no object.
    pub standing: Option<Standing>,
    /// Whether it is cold.
    pub cold: bool,
    /// Times as long as usual that it takes.
    pub speed: f64,
    /// Requests of all hosts on the object, a second.
    pub asked_per_s: f64,
}

/// What a request meets at an upstream.
pub(super) fn expect(wish: &Wish<'_>, seen: &Seen) -> Expectation {
    let Seen {
        load,
        slots,
        standing,
        cold,
        speed,
        asked_per_s,
    } = *seen;
    let ahead = (load + 1.0 - slots).max(0.0);
    let wait = wish.usual.mul_f64(speed * ahead / slots);
    let work = wish.estimate.work(standing, cold).times(speed);
    let after_wait = |work: Duration| in_time(wish, wait + work);
    let timely =
        work.held * after_wait(work.if_held) + (1.0 - work.held) * after_wait(work.if_fetched);
    let answer = LATE_WORTH + (1.0 - LATE_WORTH) * timely;
    let full = (load / slots / FULL).min(1.0);
    let amount = work.mean().as_secs_f64() / wish.usual.as_secs_f64().max(1e-6);
    Expectation {
        standing,
        wait,
        work,
        speed,
        object_share: asked_per_s * work.if_held.as_secs_f64() / slots,
        too_slow: speed > 1.0 && work.if_held > wish.goal.mul_f64(GOAL_USED),
        worth: wish.urgency * answer - PRICE * amount * full * full,
    }
}

/// Probability that a request is answered within its goal, if it takes `more` from now on.
fn in_time(wish: &Wish<'_>, more: Duration) -> f64 {
    let left = wish.goal.mul_f64(GOAL_USED).as_secs_f64() - wish.elapsed.as_secs_f64();
    let spread = SPREAD * more.as_secs_f64() + 0.005;
    1.0 / (1.0 + ((more.as_secs_f64() - left) / spread).exp())
}
