//! Latency and headroom by load and upstream fault, beside the baselines.

use serde_json::{Map, Value, json};
use steering::choice::LeastLoaded;

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
    /// The product, but for the choice of an upstream: least loaded by the owner's count.
    OwnerLeastLoaded,
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
    (Way::OwnerLeastLoaded, "owner_least_loaded"),
];

/// Whose deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum User {
    Railway,
    Tax,
}

const USERS: &[(User, &str)] = &[(User::Railway, "railway"), (User::Tax, "tax")];

/// One cell of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cell {
    user: User,
    trouble: Trouble,
    load: u32,
    way: Way,
}

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
    let cells = cells();
    let figures = parallel(&cells, mean);
    let p99_ms = |user: User, trouble: Trouble, load: u32, way: usize| {
        let cell = Cell {
            user,
            trouble,
            load,
            way: WAYS[way].0,
        };
        let at = cells.iter().position(|known| *known == cell);
        at.map_or(0.0, |at| figures[at].p99_ms)
    };
    let mut all = Map::new();
    all.insert("measure".to_owned(), "balance".into());
    for (cell, figures) in cells.iter().zip(&figures) {
        all.insert(cell.name(), figures.to_json());
    }
    for (user, user_name) in USERS {
        for (way, against) in [
            (1, "round_robin"),
            (4, "power_of_two"),
            (5, "power_of_two_all"),
            (6, "owner_least_loaded"),
        ] {
            let ratio = p99_ms(*user, Trouble::Slow, 85, 0) / p99_ms(*user, Trouble::Slow, 85, way);
            all.insert(
                format!("ratio_p99_{user_name}_slow_85_{against}"),
                round(ratio).into(),
            );
        }
    }
    if let Some(directory) = plots {
        for (trouble, name) in TROUBLES {
            let of_way = |way: usize| -> Vec<f64> {
                LOADS
                    .iter()
                    .map(|load| p99_ms(User::Railway, *trouble, *load, way))
                    .collect()
            };
            let series = WAYS
                .iter()
                .enumerate()
                .map(|(way, (_, label))| (*label, of_way(way)));
            bars(
                &directory.join(format!("balance-{name}.svg")),
                &Bars {
                    title: &format!("railway: p99 by load, one upstream {name}"),
                    y_label: "p99, ms",
                    groups: LOADS.iter().map(|load| format!("{load} %")).collect(),
                    series: series.collect(),
                },
            )?;
        }
    }
    Ok(Value::Object(all))
}

impl Cell {
    fn name(&self) -> String {
        let user = USERS
            .iter()
            .find(|(user, _)| *user == self.user)
            .map_or("", |(_, name)| name);
        let trouble = TROUBLES
            .iter()
            .find(|(t, _)| *t == self.trouble)
            .map_or("", |(_, name)| name);
        let way = WAYS
            .iter()
            .find(|(way, _)| *way == self.way)
            .map_or("", |(_, name)| name);
        format!("{user}_{trouble}_{}_{way}", self.load)
    }
}

impl Figures {
    fn to_json(self) -> Value {
        json!({
            "p50_ms": round(self.p50_ms), "p99_ms": round(self.p99_ms),
            "answered": round(self.answered_share),
            "peak_over_slots": round(self.peak_over_slots),
            "headroom": round(self.headroom),
        })
    }
}

fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for (user, _) in USERS {
        for (trouble, _) in TROUBLES {
            for load in LOADS {
                let (user, trouble, load) = (*user, *trouble, *load);
                cells.extend(WAYS.iter().map(|(way, _)| Cell {
                    user,
                    trouble,
                    load,
                    way: *way,
                }));
            }
        }
    }
    cells
}

fn mean(cell: &Cell) -> Figures {
    let runs: Vec<Figures> = (1..=SEEDS).map(|seed| once(cell, seed)).collect();
    let mean = |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    Figures {
        p50_ms: mean(|f| f.p50_ms),
        p99_ms: mean(|f| f.p99_ms),
        answered_share: mean(|f| f.answered_share),
        peak_over_slots: runs.iter().map(|f| f.peak_over_slots).fold(0.0, f64::max),
        headroom: runs.iter().map(|f| f.headroom).fold(1.0, f64::min),
    }
}

fn once(cell: &Cell, seed: u64) -> Figures {
    let mut world = World::new(&match cell.user {
        User::Railway => WorldPlan::railway(),
        User::Tax => WorldPlan::tax(),
    });
    let rate_per_s = world.capacity_per_s() * f64::from(cell.load) / 100.0;
    match cell.trouble {
        Trouble::None => {}
        Trouble::Slow => world.upstreams[0].mean_ms *= SLOW_FACTOR,
        Trouble::LiesLow => world.lies[0] = Lie::Low,
        Trouble::LiesHigh => world.lies[0] = Lie::High,
    }
    let mut engine = Engine::new(world, rate_per_s, WARM_UP_MS, seed);
    match cell.way {
        Way::Product => {
            let mut product = Product::new(&engine);
            engine.run(&mut product, RUN_MS, |_| {});
        }
        Way::OwnerLeastLoaded => {
            let mut product = Product::with_policy(&engine, || Box::new(LeastLoaded));
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
