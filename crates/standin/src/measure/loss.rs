//! A region is lost while all run at 70 %.

use std::io;

use serde_json::{Value, json};

use super::Sides;
use super::balance::round;
use crate::model::{Baseline, BaselineKind, Engine, Product, World, WorldPlan};

const LOAD: f64 = 0.70;
const LOST_AT_MS: f64 = 10_000.0;
const RUN_MS: f64 = 50_000.0;
const LOST: &[usize] = &[0, 1];
const SEEDS: u64 = 3;
/// Settled: the answered share of a second is near that of the end for good; arrivals
/// of a second alone vary it by some hundredths.
const NEAR: f64 = 0.05;

struct Run {
    worst_over_slots: f64,
    answered_after: f64,
    refused: f64,
    lost: f64,
    p99_after_ms: f64,
    settle_s: f64,
}

fn run_one(product: bool, seed: u64) -> Run {
    let world = World::new(&WorldPlan::railway());
    let rate_per_s = world.capacity_per_s() * LOAD;
    let mut engine = Engine::new(world, rate_per_s, LOST_AT_MS, seed);
    if product {
        let mut product = Product::new(&engine);
        engine.run(&mut product, LOST_AT_MS, |_| {});
        engine.lose(LOST);
        engine.run(&mut product, RUN_MS, |_| {});
    } else {
        let mut baseline = Baseline::new(&engine, BaselineKind::PowerOfTwo, true);
        engine.run(&mut baseline, LOST_AT_MS, |_| {});
        engine.lose(LOST);
        engine.run(&mut baseline, RUN_MS, |_| {});
    }
    summarise(&engine)
}

fn summarise(engine: &Engine) -> Run {
    let tally = &engine.tally;
    let over = |u: &crate::model::ModelUpstream| f64::from(u.peak) / f64::from(u.slots);
    let total = (tally.answered + tally.refused + tally.late + tally.lost) as f64;
    let lost_s = (LOST_AT_MS / 1_000.0) as usize;
    // The last seconds are still under way.
    let last = tally.arrived_by_second.len().saturating_sub(3);
    let share = |second: usize| {
        let answered = tally.answered_by_second.get(second).copied().unwrap_or(0);
        answered as f64 / tally.arrived_by_second[second].max(1) as f64
    };
    let end: f64 = (last - 10..last).map(share).sum::<f64>() / 10.0;
    let unsettled = (lost_s..last)
        .rev()
        .find(|second| (share(*second) - end).abs() > NEAR);
    let mut after = super::Spread::default();
    for spread in tally.by_second.iter().skip(lost_s + 10) {
        after.merge(spread);
    }
    Run {
        worst_over_slots: engine.world.upstreams.iter().map(over).fold(0.0, f64::max),
        answered_after: end,
        refused: (tally.refused + tally.late) as f64 / total,
        lost: tally.lost as f64 / total,
        p99_after_ms: after.quantile_ms(0.99),
        settle_s: unsettled.map_or(0.0, |second| (second + 1 - lost_s) as f64),
    }
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let sides = Sides::run(SEEDS, run_one);
    Ok(json!({
        "measure": "loss",
        "load_on_the_rest": round(LOAD * 6.0 / 4.0),
        "over_limit": round(sides.most(true, |run| run.worst_over_slots)),
        "power_of_two_over_limit": round(sides.most(false, |run| run.worst_over_slots)),
        "answered_after": round(sides.mean(true, |run| run.answered_after)),
        "power_of_two_answered_after": round(sides.mean(false, |run| run.answered_after)),
        "refused": round(sides.mean(true, |run| run.refused)),
        "lost_with_the_region": round(sides.mean(true, |run| run.lost)),
        "settle_s": sides.most(true, |run| run.settle_s),
        "power_of_two_settle_s": sides.most(false, |run| run.settle_s),
        "p99_after_ms": round(sides.mean(true, |run| run.p99_after_ms)),
        "power_of_two_p99_after_ms": round(sides.mean(false, |run| run.p99_after_ms)),
        "ratio_p99_after": round(sides.mean(true, |run| run.p99_after_ms) / sides.mean(false, |run| run.p99_after_ms)),
    }))
}
