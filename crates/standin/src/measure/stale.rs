//! Reports stop for a minute while traffic flows and shifts.

use std::io;

use serde_json::{Value, json};

use super::Sides;
use super::balance::round;
use crate::model::{Baseline, BaselineKind, Engine, Product, World, WorldPlan};

const LOAD: f64 = 0.85;
const STOP_AT_MS: f64 = 10_000.0;
const STOPPED_MS: f64 = 60_000.0;
const SEEDS: u64 = 3;

struct Run {
    /// Most inside any zone, over its slots.
    worst_zone: f64,
    p99_ms: f64,
    answered: f64,
}

/// While reports are stopped, callers move towards the first zones.
fn lean(engine: &mut Engine) {
    engine.weights = vec![1.3, 1.3, 0.9, 0.9, 0.8, 0.8];
}

fn run_one(product: bool, seed: u64) -> Run {
    let world = World::new(&WorldPlan::railway());
    let rate_per_s = world.capacity_per_s() * LOAD;
    let mut engine = Engine::new(world, rate_per_s, 5_000.0, seed);
    let mut worst_zone: f64 = 0.0;
    let mut watch = |engine: &mut Engine| {
        for zone in 0..engine.world.zones.len() {
            let upstreams = engine.world.of_zone(zone);
            let inside: u32 = upstreams
                .iter()
                .map(|u| engine.world.upstreams[*u].inside())
                .sum();
            let slots: u32 = upstreams
                .iter()
                .map(|u| engine.world.upstreams[*u].slots)
                .sum();
            worst_zone = worst_zone.max(f64::from(inside) / f64::from(slots));
        }
    };
    let until_ms = STOP_AT_MS + STOPPED_MS;
    if product {
        let mut product = Product::new(&engine);
        engine.run(&mut product, STOP_AT_MS, &mut watch);
        product.reports_stopped = true;
        lean(&mut engine);
        engine.run(&mut product, until_ms, &mut watch);
    } else {
        let mut baseline = Baseline::new(&engine, BaselineKind::PowerOfTwo, true);
        engine.run(&mut baseline, STOP_AT_MS, &mut watch);
        baseline.reports_stopped = true;
        lean(&mut engine);
        engine.run(&mut baseline, until_ms, &mut watch);
    }
    let tally = &engine.tally;
    let total = tally.answered + tally.refused + tally.late;
    Run {
        worst_zone,
        p99_ms: tally.latency.quantile_ms(0.99),
        answered: tally.answered as f64 / total.max(1) as f64,
    }
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let sides = Sides::run(SEEDS, run_one);
    let ratio = sides.most(true, |run| run.worst_zone) / sides.most(false, |run| run.worst_zone);
    Ok(json!({
        "measure": "stale",
        "worst_place_over_limit": round(sides.most(true, |run| run.worst_zone)),
        "power_of_two_worst_place_over_limit": round(sides.most(false, |run| run.worst_zone)),
        "ratio_worst_place": round(ratio),
        "p99_ms": round(sides.mean(true, |run| run.p99_ms)),
        "power_of_two_p99_ms": round(sides.mean(false, |run| run.p99_ms)),
        "answered": round(sides.mean(true, |run| run.answered)),
        "power_of_two_answered": round(sides.mean(false, |run| run.answered)),
    }))
}
