//! Two operators shift toward one region at once, and another region is lost meanwhile.

use std::io;

use serde_json::{Value, json};

use super::Sides;
use super::balance::round;
use crate::model::{Baseline, BaselineKind, Engine, Product, World, WorldPlan};

const LOAD: f64 = 0.55;
const SHIFT_AT_MS: f64 = 10_000.0;
const LOST_AT_MS: f64 = 14_000.0;
const RUN_MS: f64 = 50_000.0;
const SEEDS: u64 = 3;
/// Region that both shift to; its slots are 72.
const TO: &[usize] = &[2, 3];
/// Region that is lost.
const LOST: &[usize] = &[0, 1];
/// Of each of the two shifts, in flight.
const CAP: u32 = 24;
/// Of the region shifted to, in flight, its own callers included.
const REGION_LIMIT: u32 = 60;

fn rules(to_percent: f64) -> Value {
    let shift = |from: &str| {
        json!({"name": format!("from-{from}"),
        "traffic": {"caller": {"equals": {"region": from}}},
        "places": [
            {"zones": {"equals": {"region": from}}, "share_percent": 100.0 - to_percent},
            {"zones": {"equals": {"region": "r1"}}, "share_percent": to_percent,
             "cap_in_flight": CAP}
        ]})
    };
    json!([shift("r0"), shift("r2")])
}

fn configure(engine: &mut Engine, to_percent: f64) {
    engine.world.change(|document| {
        document.rules = serde_json::from_value(rules(to_percent)).expect("the rules are valid");
        document.regions[1].limit_in_flight = Some(REGION_LIMIT);
    });
}

struct Run {
    over_cap: f64,
    over_region: f64,
    over_slots: f64,
    answered: f64,
    refused: f64,
    p99_ms: f64,
}

fn run_one(product: bool, seed: u64) -> Run {
    let world = World::new(&WorldPlan::railway());
    let rate_per_s = world.capacity_per_s() * LOAD;
    let mut engine = Engine::new(world, rate_per_s, SHIFT_AT_MS, seed);
    configure(&mut engine, 0.0);
    let mut peak_inside = 0;
    let mut watch = |engine: &mut Engine| {
        let zones = TO.iter().flat_map(|zone| engine.world.of_zone(*zone));
        let inside = zones.map(|u| engine.world.upstreams[u].inside()).sum();
        peak_inside = peak_inside.max(inside);
    };
    let mut over_cap = 0.0;
    if product {
        let mut product = Product::new(&engine);
        product.warm(&mut engine, &[0, 1, 2, 3, 4, 5]);
        engine.run(&mut product, SHIFT_AT_MS, &mut watch);
        configure(&mut engine, 50.0);
        product.reconfigure(&engine);
        engine.run(&mut product, LOST_AT_MS, &mut watch);
        engine.lose(LOST);
        engine.run(&mut product, RUN_MS, &mut watch);
        over_cap = product.peak_over_cap;
    } else {
        let mut baseline = Baseline::new(&engine, BaselineKind::PowerOfTwo, true);
        baseline.shares = Some(vec![1.0; 6]);
        engine.run(&mut baseline, SHIFT_AT_MS, &mut watch);
        baseline.shares = Some(vec![0.5, 0.5, 2.0, 2.0, 0.5, 0.5]);
        engine.run(&mut baseline, LOST_AT_MS, &mut watch);
        engine.lose(LOST);
        engine.run(&mut baseline, RUN_MS, &mut watch);
    }
    let tally = &engine.tally;
    let total = (tally.answered + tally.refused + tally.late + tally.lost) as f64;
    let over = |u: &crate::model::ModelUpstream| f64::from(u.peak) / f64::from(u.slots);
    let mut after = super::Spread::default();
    for spread in tally
        .by_second
        .iter()
        .skip((SHIFT_AT_MS / 1_000.0) as usize)
    {
        after.merge(spread);
    }
    Run {
        over_cap,
        over_region: f64::from(peak_inside) / f64::from(REGION_LIMIT),
        over_slots: engine.world.upstreams.iter().map(over).fold(0.0, f64::max),
        answered: tally.answered as f64 / total,
        refused: (tally.refused + tally.late) as f64 / total,
        p99_ms: after.quantile_ms(0.99),
    }
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let sides = Sides::run(SEEDS, run_one);
    let product_p99_ms = sides.mean(true, |run| run.p99_ms);
    let baseline_p99_ms = sides.mean(false, |run| run.p99_ms);
    Ok(json!({
        "measure": "together",
        "load_before": LOAD,
        "load_after": round(LOAD * 6.0 / 4.0),
        "peak_over_cap": round(sides.most(true, |run| run.over_cap)),
        "peak_over_region_limit": round(sides.most(true, |run| run.over_region)),
        "power_of_two_peak_over_region_limit": round(sides.most(false, |run| run.over_region)),
        "peak_over_slots": round(sides.most(true, |run| run.over_slots)),
        "power_of_two_peak_over_slots": round(sides.most(false, |run| run.over_slots)),
        "answered": round(sides.mean(true, |run| run.answered)),
        "power_of_two_answered": round(sides.mean(false, |run| run.answered)),
        "refused": round(sides.mean(true, |run| run.refused)),
        "p99_ms": round(product_p99_ms),
        "power_of_two_p99_ms": round(baseline_p99_ms),
        "ratio_p99": round(product_p99_ms / baseline_p99_ms),
    }))
}
