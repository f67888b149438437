//! Baselines in the model: hosts that send straight to upstreams.

use rand::Rng;

use super::engine::{Engine, Event, Fate, Steerer};

/// Which baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineKind {
    /// Each upstream in turn.
    RoundRobin,
    /// Any upstream.
    Random,
    /// The less loaded of two, by lagging reports and the host's own counts.
    PowerOfTwo,
}

/// Hosts that send straight to upstreams, without owners or admission.
pub struct Baseline {
    kind: BaselineKind,
    /// Whether upstreams of all zones are used, or those of the entry's only.
    all_zones: bool,
    next: Vec<usize>,
    /// Each entry's own requests in flight on each upstream.
    own: Vec<Vec<u32>>,
    reports: Vec<u32>,
    /// While true no report reaches anybody.
    pub reports_stopped: bool,
    /// Share of each zone; none spreads evenly.
    pub shares: Option<Vec<f64>>,
    ticks: u64,
}

/// Ticks of the engine between two load reports to the baselines.
const REPORT_TICKS: u64 = 10;

impl Baseline {
    /// Empty.
    pub fn new(engine: &Engine, kind: BaselineKind, all_zones: bool) -> Self {
        let (zones, upstreams) = (engine.world.zones.len(), engine.world.upstreams.len());
        Baseline {
            kind,
            all_zones,
            next: vec![0; zones],
            own: vec![vec![0; upstreams]; zones],
            reports: vec![0; upstreams],
            reports_stopped: false,
            shares: None,
            ticks: 0,
        }
    }

    fn choose(&mut self, engine: &mut Engine, entry: usize) -> usize {
        let candidates = self.candidates(engine, entry);
        let draw = |engine: &mut Engine| candidates[engine.rng.random_range(0..candidates.len())];
        match self.kind {
            BaselineKind::RoundRobin => {
                self.next[entry] += 1;
                candidates[self.next[entry] % candidates.len()]
            }
            BaselineKind::Random => draw(engine),
            BaselineKind::PowerOfTwo => {
                let (a, b) = (draw(engine), draw(engine));
                let load = |u: usize| self.reports[u].max(self.own[entry][u]);
                if load(b) < load(a) { b } else { a }
            }
        }
    }

    fn candidates(&self, engine: &mut Engine, entry: usize) -> Vec<usize> {
        let zone = match &self.shares {
            Some(shares) => Some(draw_zone(shares, engine.rng.random())),
            None if self.all_zones => None,
            None => Some(entry),
        };
        match zone {
            Some(zone) => engine.world.of_zone(zone),
            None => {
                let present = engine.present();
                let zone_of = &engine.world.zone_of;
                (0..zone_of.len())
                    .filter(|u| present.contains(&zone_of[*u]))
                    .collect()
            }
        }
    }
}

fn draw_zone(shares: &[f64], point: f64) -> usize {
    let mut point = point * shares.iter().sum::<f64>();
    for (zone, share) in shares.iter().enumerate() {
        point -= share;
        if point < 0.0 {
            return zone;
        }
    }
    0
}

impl Steerer for Baseline {
    fn arrive(&mut self, engine: &mut Engine, request: usize) {
        let entry = engine.requests[request].entry;
        let upstream = self.choose(engine, entry);
        engine.requests[request].upstream = upstream;
        self.own[entry][upstream] += 1;
        let zone = engine.world.zone_of[upstream];
        let way_ms = engine.world.one_way_ms[entry][zone];
        engine.after(way_ms, Event::Take { request });
    }

    fn reach(&mut self, _: &mut Engine, _: usize, _: usize) {}

    fn served(&mut self, engine: &mut Engine, request: usize, shed: bool) {
        let entry = engine.requests[request].entry;
        let zone = engine.world.zone_of[engine.requests[request].upstream];
        let way_ms = engine.world.one_way_ms[entry][zone];
        engine.send_back(request, way_ms, !shed);
    }

    fn back(&mut self, engine: &mut Engine, request: usize, answered: bool) {
        let entry = engine.requests[request].entry;
        let upstream = engine.requests[request].upstream;
        self.own[entry][upstream] = self.own[entry][upstream].saturating_sub(1);
        match answered {
            true if !engine.world.lost[entry] => engine.answer(request),
            true => engine.fail(request, Fate::Lost),
            false => engine.fail(request, Fate::Refused),
        }
    }

    fn tick(&mut self, engine: &mut Engine) {
        self.ticks += 1;
        if self.reports_stopped || !self.ticks.is_multiple_of(REPORT_TICKS) {
            return;
        }
        for upstream in 0..self.reports.len() {
            self.reports[upstream] = engine.world.reported(upstream);
        }
    }
}
