//! Latency and headroom by load and upstream fault, beside the baselines.

use serde_json::{Map, Value, json};

use super::parallel;
use super::plot::{Bars, bars};
use crate::model::{Baseline, BaselineKind, Engine, Lie, Product, World, WorldPlan};

const RUN_MS: f64 = 25_000.0;
const WARM_UP_MS: f64 = 5_000.0;
const SEEDS: u64 = 3;
const LOADS: &[u32] = &[50, 85, 95, 110];
const SLOW_FACTOR: f64 = 3.0;

/// What is wrong with the first upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    Slow,
    LiesLow,
    LiesHigh,
}

const TROUBLES: &[(Trouble, &str)] = &[
    (Trouble::None, "well"),
    (Trouble::Slow, "slow"),
    (Trouble::LiesLow, "lies_low"),
    (Trouble::LiesHigh, "lies_high"),
];

/// Who steers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Product,
    Baseline(BaselineKind, bool),
}

const WAYS: &[(Way, &str)] = &[
    (Way::Product, "product"),
    (
        Way::Baseline(BaselineKind::RoundRobin, false),
        "round_robin",
    ),
    (
        Way::Baseline(BaselineKind::RoundRobin, true),
        "round_robin_all",
    ),
    (Way::Baseline(BaselineKind::Random, false), "random"),
    (
        Way::Baseline(BaselineKind::PowerOfTwo, false),
        "power_of_two",
    ),
    (
        Way::Baseline(BaselineKind::PowerOfTwo, true),
        "power_of_two_all",
    ),
];

#[derive(Debug, Default, Clone, Copy)]
struct Figures {
    p50_ms: f64,
    p99_ms: f64,
    /// Answered in time, of all.
    answered_share: f64,
    /// Most inside any upstream, over its slots.
    peak_over_slots: f64,
    /// Smallest share of free slot time on any upstream.
    headroom: f64,
}

/// Measures; one JSON object.
pub fn run(plots: Option<&std::path::Path>) -> std::io::Result<Value> {
    let mut all = Map::new();
    let mut table = Vec::new();
    let mut measured = parallel(&jobs(), |job| mean(job.0, job.1, job.2)).into_iter();
    for (trouble, trouble_name) in TROUBLES {
        for load in LOADS {
            let mut row = Vec::new();
            for (_, way_name) in WAYS {
                let figures = measured.next().expect("one for each job");
                let name = format!("{trouble_name}_{load}_{way_name}");
                all.insert(
                    name,
                    json!({
                        "p50_ms": round(figures.p50_ms), "p99_ms": round(figures.p99_ms),
                        "answered": round(figures.answered_share),
                        "peak_over_slots": round(figures.peak_over_slots),
                        "headroom": round(figures.headroom),
                    }),
                );
                row.push(figures);
            }
            table.push((*trouble, *load, row));
        }
    }
    let row = |trouble: Trouble, load: u32| {
        let found = table.iter().find(|(t, l, _)| (*t, *l) == (trouble, load));
        &found.expect("every load and trouble is measured").2
    };
    let slow = row(Trouble::Slow, 85);
    all.insert("measure".to_owned(), "balance".into());
    all.insert(
        "ratio_p99_slow_85_round_robin".to_owned(),
        round(slow[0].p99_ms / slow[1].p99_ms).into(),
    );
    all.insert(
        "ratio_p99_slow_85_power_of_two".to_owned(),
        round(slow[0].p99_ms / slow[4].p99_ms).into(),
    );
    all.insert(
        "ratio_p99_slow_85_power_of_two_all".to_owned(),
        round(slow[0].p99_ms / slow[5].p99_ms).into(),
    );
    if let Some(directory) = plots {
        for (trouble, name) in TROUBLES {
            let series: Vec<(&str, Vec<f64>)> = WAYS
                .iter()
                .enumerate()
                .map(|(way, (_, label))| {
                    (
                        *label,
                        LOADS
                            .iter()
                            .map(|load| row(*trouble, *load)[way].p99_ms)
                            .collect(),
                    )
                })
                .collect();
            bars(
                &directory.join(format!("balance-{name}.svg")),
                &Bars {
                    title: &format!("p99 by load, one upstream {name}"),
                    y_label: "p99, ms",
                    groups: LOADS.iter().map(|load| format!("{load} %")).collect(),
                    series,
                },
            )?;
        }
    }
    Ok(Value::Object(all))
}

fn jobs() -> Vec<(Way, Trouble, u32)> {
    let mut jobs = Vec::new();
    for (trouble, _) in TROUBLES {
        for load in LOADS {
            jobs.extend(WAYS.iter().map(|(way, _)| (*way, *trouble, *load)));
        }
    }
    jobs
}

fn mean(way: Way, trouble: Trouble, load: u32) -> Figures {
    let runs: Vec<Figures> = (1..=SEEDS)
        .map(|seed| once(way, trouble, load, seed))
        .collect();
    let mean = |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    Figures {
        p50_ms: mean(|f| f.p50_ms),
        p99_ms: mean(|f| f.p99_ms),
        answered_share: mean(|f| f.answered_share),
        peak_over_slots: runs.iter().map(|f| f.peak_over_slots).fold(0.0, f64::max),
        headroom: runs.iter().map(|f| f.headroom).fold(1.0, f64::min),
    }
}

fn once(way: Way, trouble: Trouble, load: u32, seed: u64) -> Figures {
    let mut world = World::new(&WorldPlan::railway());
    let rate_per_s = world.capacity_per_s() * f64::from(load) / 100.0;
    match trouble {
        Trouble::None => {}
        Trouble::Slow => world.upstreams[0].mean_ms *= SLOW_FACTOR,
        Trouble::LiesLow => world.lies[0] = Lie::Low,
        Trouble::LiesHigh => world.lies[0] = Lie::High,
    }
    let mut engine = Engine::new(world, rate_per_s, WARM_UP_MS, seed);
    match way {
        Way::Product => {
            let mut product = Product::new(&engine);
            engine.run(&mut product, RUN_MS, |_| {});
        }
        Way::Baseline(kind, all_zones) => {
            let mut baseline = Baseline::new(&engine, kind, all_zones);
            engine.run(&mut baseline, RUN_MS, |_| {});
        }
    }
    let tally = &engine.tally;
    let total = tally.answered + tally.refused + tally.late + tally.lost;
    let upstreams = &engine.world.upstreams;
    let over = |peak: u32, slots: u32| f64::from(peak) / f64::from(slots);
    Figures {
        p50_ms: tally.latency.quantile_ms(0.5),
        p99_ms: tally.latency.quantile_ms(0.99),
        answered_share: tally.answered as f64 / total.max(1) as f64,
        peak_over_slots: upstreams
            .iter()
            .map(|u| over(u.peak, u.slots))
            .fold(0.0, f64::max),
        headroom: upstreams
            .iter()
            .map(|u| 1.0 - u.busy_ms / (RUN_MS * f64::from(u.slots)))
            .fold(1.0, f64::min),
    }
}

/// Three decimals are what several seeds support.
pub fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
