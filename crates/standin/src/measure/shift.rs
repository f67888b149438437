//! Half of the traffic moves to cold upstreams, ramped and not.

use std::io;
use std::path::Path;

use serde_json::{Value, json};

use super::Sides;
use super::balance::round;
use super::plot::{Lines, lines};
use crate::model::{Baseline, BaselineKind, Cache, Engine, Product, World, WorldPlan};

const RUN_MS: f64 = 60_000.0;
const SHIFT_AT_MS: f64 = 10_000.0;
const LOAD: f64 = 0.35;
const SEEDS: u64 = 3;
const MISS_FACTOR: f64 = 6.0;
const WARM_AFTER: f64 = 400.0;
/// Cap of the place that is shifted to, in flight; its slots are 72.
const CAP: u32 = 48;
/// Region shifted from, and to, by their zones.
const FROM: &[usize] = &[0, 1];
const TO: &[usize] = &[2, 3];

fn rules(to_percent: f64) -> Value {
    json!([{"name": "shift", "places": [
        {"zones": {"equals": {"region": "r0"}}, "share_percent": 100.0 - to_percent},
        {"zones": {"equals": {"region": "r1"}}, "share_percent": to_percent, "cap_in_flight": CAP}
    ]}])
}

struct Run {
    p99_ms: f64,
    /// Worst p99 of any second after the shift.
    worst_second_p99_ms: f64,
    failed: u64,
    peak_over_cap: f64,
    /// Seconds until the moved share first reached nine tenths of its target.
    finish_s: f64,
    share: Vec<(f64, f64)>,
    p99: Vec<(f64, f64)>,
}

fn reconfigure(engine: &mut Engine, to_percent: f64) {
    engine.world.change(|document| {
        document.rules = serde_json::from_value(rules(to_percent)).expect("the rules are valid");
    });
}

fn run_one(ramped: bool, seed: u64) -> Run {
    let plan = WorldPlan {
        rules: rules(0.0),
        ..WorldPlan::railway()
    };
    let mut world = World::new(&plan);
    for zone in TO {
        for upstream in world.of_zone(*zone) {
            world.upstreams[upstream].cache = Cache {
                miss_factor: MISS_FACTOR,
                warm_after: WARM_AFTER,
                served: 0.0,
            };
        }
    }
    // Load is over the slots of the region shifted from and that shifted to.
    let rate_per_s = world.capacity_per_s() / 3.0 * 2.0 * LOAD;
    let mut engine = Engine::new(world, rate_per_s, 0.0, seed);
    engine.weights = vec![1.0, 1.0, 1.0, 1.0, 0.0, 0.0];
    let mut moved: Vec<(u64, u64)> = Vec::new();
    let mut peak_inside = 0;
    let mut watch = |engine: &mut Engine| {
        let ran = |zones: &[usize]| -> u64 {
            let of = |zone: &usize| engine.world.of_zone(*zone);
            let served = |u: usize| engine.world.upstreams[u].cache.served as u64;
            zones.iter().flat_map(of).map(served).sum()
        };
        moved.push((ran(FROM), ran(TO)));
        let inside = |zone: &usize| -> u32 {
            engine
                .world
                .of_zone(*zone)
                .iter()
                .map(|u| engine.world.upstreams[*u].inside())
                .sum()
        };
        peak_inside = peak_inside.max(TO.iter().map(inside).sum::<u32>());
    };
    if ramped {
        let mut product = Product::new(&engine);
        product.warm(&mut engine, FROM);
        engine.run(&mut product, SHIFT_AT_MS, &mut watch);
        reconfigure(&mut engine, 50.0);
        product.reconfigure(&engine);
        engine.run(&mut product, RUN_MS, &mut watch);
    } else {
        let mut baseline = Baseline::new(&engine, BaselineKind::PowerOfTwo, true);
        baseline.shares = Some(vec![1.0, 1.0, 0.0, 0.0, 0.0, 0.0]);
        engine.run(&mut baseline, SHIFT_AT_MS, &mut watch);
        baseline.shares = Some(vec![1.0, 1.0, 1.0, 1.0, 0.0, 0.0]);
        engine.run(&mut baseline, RUN_MS, &mut watch);
    }
    summarise(&engine, &moved, f64::from(peak_inside) / f64::from(CAP))
}

fn summarise(engine: &Engine, moved: &[(u64, u64)], peak_over_cap: f64) -> Run {
    let ticks_per_s = 20;
    let share: Vec<(f64, f64)> = moved
        .windows(ticks_per_s + 1)
        .step_by(ticks_per_s)
        .enumerate()
        .map(|(second, window)| {
            let (first, last) = (window[0], window[ticks_per_s]);
            let (from, to) = (last.0 - first.0, last.1 - first.1);
            (second as f64, 100.0 * to as f64 / (from + to).max(1) as f64)
        })
        .collect();
    let shift_s = SHIFT_AT_MS / 1_000.0;
    let after = engine
        .tally
        .by_second
        .iter()
        .enumerate()
        .skip(shift_s as usize);
    let p99: Vec<(f64, f64)> = engine
        .tally
        .by_second
        .iter()
        .enumerate()
        .map(|(second, spread)| (second as f64, spread.quantile_ms(0.99)))
        .collect();
    let mut all = super::Spread::default();
    for (_, spread) in after.clone() {
        all.merge(spread);
    }
    let finished = share
        .iter()
        .find(|(second, share)| *second >= shift_s && *share >= 45.0);
    Run {
        p99_ms: all.quantile_ms(0.99),
        worst_second_p99_ms: after.map(|(_, s)| s.quantile_ms(0.99)).fold(0.0, f64::max),
        failed: engine
            .tally
            .failed_by_second
            .iter()
            .skip(shift_s as usize)
            .sum(),
        peak_over_cap,
        finish_s: finished.map_or(RUN_MS / 1_000.0, |(second, _)| second - shift_s + 1.0),
        share,
        p99,
    }
}

/// Measures; one JSON object.
pub fn run(plots: Option<&Path>) -> io::Result<Value> {
    let sides = Sides::run(SEEDS, run_one);
    if let Some(directory) = plots {
        let first = |ramped: bool| sides.of(ramped).next().expect("every way has a run");
        lines(
            &directory.join("shift-share.svg"),
            &Lines {
                title: "half of the traffic moves to cold upstreams after 10 s",
                y_label: "moved, %",
                series: vec![
                    ("ramped", first(true).share.clone()),
                    ("unramped", first(false).share.clone()),
                ],
            },
        )?;
        lines(
            &directory.join("shift-p99.svg"),
            &Lines {
                title: "p99 by second while traffic moves to cold upstreams",
                y_label: "p99, ms",
                series: vec![
                    ("ramped", first(true).p99.clone()),
                    ("unramped", first(false).p99.clone()),
                ],
            },
        )?;
    }
    Ok(json!({
        "measure": "shift",
        "peak_over_cap": round(sides.most(true, |run| run.peak_over_cap)),
        "unramped_peak_over_cap": round(sides.most(false, |run| run.peak_over_cap)),
        "p99_ms": round(sides.mean(true, |run| run.p99_ms)),
        "unramped_p99_ms": round(sides.mean(false, |run| run.p99_ms)),
        "ratio_p99": round(sides.mean(true, |run| run.p99_ms) / sides.mean(false, |run| run.p99_ms)),
        "worst_second_p99_ms": round(sides.most(true, |run| run.worst_second_p99_ms)),
        "unramped_worst_second_p99_ms": round(sides.most(false, |run| run.worst_second_p99_ms)),
        "failed": sides.mean(true, |run| run.failed as f64),
        "unramped_failed": sides.mean(false, |run| run.failed as f64),
        "finish_s": sides.mean(true, |run| run.finish_s),
        "unramped_finish_s": sides.mean(false, |run| run.finish_s),
    }))
}
