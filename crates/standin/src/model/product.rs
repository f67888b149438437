//! The product's decisions in the model.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use steering::choice::{LeastExpected, Policy, ZoneCandidate, rank_zones};
use steering::document::Upstream;
use steering::limiter::{Ledger, LimitKey, Roster, WHOLE_PERMILLE};
use steering::load_estimate::{LoadReports, Report};
use steering::plan::{CallerClass, RuleMatch};
use steering::pool::{
    Decision, Grant, LoadReport, Outcome, Pool, PoolLimits, PoolRequest, QueueStep, WaitId,
};

use super::engine::{Engine, Event, Fate, Steerer};

const SERVICE: &str = "s";
const SPILLS: usize = 2;
/// Ticks of the engine between two reports of a zone's load to the others.
const SUMMARY_TICKS: u64 = 20;
/// One way between two hosts of a zone, in milliseconds: the relay to the owner.
const RELAY_MS: f64 = 0.1;

fn offer(deadline: Instant) -> PoolRequest {
    PoolRequest {
        deadline,
        priority: 5,
        hedge: false,
    }
}

/// The rule for callers that enter in a zone: they have its labels.
fn rule(engine: &Engine, entry: usize) -> Option<RuleMatch<'_>> {
    let plan = &engine.world.plan;
    let zone = &engine.world.zones[entry];
    let caller = CallerClass {
        zone: Some(zone.clone()),
        labels: plan.zone_labels(zone).cloned().unwrap_or_default(),
    };
    plan.rule(&plan.services[SERVICE].service, None, &caller)
}

/// Share of each zone under a rule.
fn shares(engine: &Engine, rule: Option<RuleMatch<'_>>) -> Vec<f64> {
    let plan = &engine.world.plan;
    let zones = &engine.world.zones;
    let place_of = |zone: &String| {
        let labels = plan.zone_labels(zone)?;
        rule?.place(labels).map(|(_, place)| place)
    };
    let of_zone = |zone: &String| {
        let Some(place) = place_of(zone) else {
            return 0.0;
        };
        let same = |other: &&String| place_of(other).is_some_and(|at| std::ptr::eq(at, place));
        place.share_percent / zones.iter().filter(same).count().max(1) as f64
    };
    zones.iter().map(of_zone).collect()
}

/// One zone's owner.
struct Owner {
    pool: Pool,
    waiting: HashMap<WaitId, usize>,
    ledger: Ledger,
}

/// A roster that gives one host the whole of each limit.
fn whole_roster() -> Roster {
    let mut roster = Roster::default();
    let taken = roster.take("owner", 1, WHOLE_PERMILLE);
    debug_assert!(taken.is_ok());
    roster
}

/// The decisions that ship.
pub struct Product {
    owners: Vec<Owner>,
    /// What each zone's hosts believe of the others.
    beliefs: Vec<LoadReports>,
    own: Vec<Vec<AtomicU32>>,
    ticks: u64,
    /// While true no report reaches anybody.
    pub reports_stopped: bool,
    /// What each request that is being served was granted.
    grants: HashMap<usize, Grant>,
    /// Limits that each request which was admitted comes under.
    keys: HashMap<usize, Vec<LimitKey>>,
    /// Requests being served under each cap of a rule, by zone.
    under_cap: HashMap<(usize, LimitKey), u32>,
    /// Most in flight under a rule's cap, over the cap.
    pub peak_over_cap: f64,
    /// Whether answers tell the load of the place that they come from.
    pub piggyback: bool,
}

impl Product {
    /// Owners of every zone, with the policy that ships.
    pub fn new(engine: &Engine) -> Self {
        Product::with_policy(engine, || Box::new(LeastExpected))
    }

    /// Owners of every zone that choose among upstreams by another policy.
    pub fn with_policy(engine: &Engine, policy: fn() -> Box<dyn Policy>) -> Self {
        let zones = engine.world.zones.len();
        let now = engine.now();
        let plan = &engine.world.plan;
        let service = &plan.services[SERVICE];
        let owner = |zone: &String| {
            let mut pool = Pool::new(PoolLimits::from(&service.service), policy());
            let upstreams: Vec<Arc<Upstream>> = service
                .zone(zone)
                .map(|zone| {
                    zone.pools
                        .iter()
                        .flat_map(|pool| pool.upstreams.clone())
                        .collect()
                })
                .unwrap_or_default();
            pool.configure(
                now,
                PoolLimits::from(&service.service),
                &upstreams,
                Duration::ZERO,
            );
            let mut ledger = Ledger::new("owner".to_owned(), 1);
            let limits = plan.zone_limits(zone);
            ledger.configure(now, &limits, &whole_roster());
            Owner {
                pool,
                waiting: HashMap::new(),
                ledger,
            }
        };
        Product {
            owners: engine.world.zones.iter().map(owner).collect(),
            beliefs: vec![LoadReports::default(); zones],
            own: (0..zones)
                .map(|_| (0..zones).map(|_| AtomicU32::new(0)).collect())
                .collect(),
            ticks: 0,
            reports_stopped: false,
            grants: HashMap::new(),
            keys: HashMap::new(),
            under_cap: HashMap::new(),
            peak_over_cap: 0.0,
            piggyback: true,
        }
    }

    /// Opens every window, as after a long time of full use.
    pub fn warm(&mut self, engine: &mut Engine, zones: &[usize]) {
        let now = engine.now();
        for zone in zones {
            let mean = Duration::from_millis(1);
            let pool = &mut self.owners[*zone].pool;
            for _ in 0..2_000 {
                let deadline = now + Duration::from_secs(60);
                if let Decision::Granted(grant) = pool.offer(now, offer(deadline), &mut engine.rng)
                {
                    let outcome = Outcome::Answered(mean);
                    pool.release(now, &grant, outcome, &mut engine.rng);
                }
            }
        }
    }

    /// Takes another configuration: rules, caps.
    pub fn reconfigure(&mut self, engine: &Engine) {
        let now = engine.now();
        for (zone, owner) in engine.world.zones.iter().zip(&mut self.owners) {
            let limits = engine.world.plan.zone_limits(zone);
            owner.ledger.configure(now, &limits, &whole_roster());
        }
    }

    fn views(&self, engine: &Engine, entry: usize) -> Vec<(usize, ZoneCandidate)> {
        let plan = &engine.world.plan;
        let service = &plan.services[SERVICE];
        let rule = rule(engine, entry);
        let shares = shares(engine, rule);
        let now = engine.now();
        let mut views = Vec::new();
        for (number, zone) in service.zones.iter().enumerate() {
            let zone_number = engine
                .world
                .zones
                .iter()
                .position(|name| *name == zone.zone);
            let zone_number = zone_number.unwrap_or(number);
            if engine.world.lost[zone_number] {
                continue;
            }
            let own = self.own[entry][zone_number].load(Ordering::Relaxed);
            let believed = self.beliefs[entry].estimate(now, &zone.zone, SERVICE, zone.slots, own);
            views.push((
                zone_number,
                ZoneCandidate {
                    zone: zone.zone.clone(),
                    share: rule.map(|_| shares[zone_number]),
                    one_way_ms: engine.world.one_way_ms[entry][zone_number],
                    capacity: believed.capacity,
                    in_flight: believed.in_flight,
                    latency_ms: match believed.latency_ms {
                        known if known > 0.0 => known,
                        _ => service.service.expected_ms,
                    },
                },
            ));
        }
        views
    }

    /// Caps of a rule that an admitted request comes under.
    fn caps_of(&self, request: usize) -> Vec<LimitKey> {
        let keys = self.keys.get(&request).into_iter().flatten();
        keys.filter(|key| matches!(key, LimitKey::RuleFlight(..)))
            .cloned()
            .collect()
    }

    fn release_limits(&mut self, zone: usize, request: usize) {
        let keys = self.keys.remove(&request).unwrap_or_default();
        self.owners[zone].ledger.release(&keys);
    }

    fn send_on(&mut self, engine: &mut Engine, request: usize) {
        let entry = engine.requests[request].entry;
        let now_ms = engine.now_ms();
        let over = now_ms - engine.requests[request].arrived_ms > engine.world.deadline_ms;
        if engine.requests[request].places.is_empty() || over {
            engine.fail(request, Fate::Refused);
            return;
        }
        let zone = engine.requests[request].places.remove(0);
        self.own[entry][zone].fetch_add(1, Ordering::Relaxed);
        let way_ms = engine.world.one_way_ms[entry][zone] + RELAY_MS;
        engine.after(way_ms, Event::Reach { request, zone });
    }

    fn go(&mut self, engine: &mut Engine, zone: usize, request: usize, grant: &Grant) {
        let upstreams = engine.world.of_zone(zone);
        self.grants.insert(request, grant.clone());
        let name = &grant.upstream.name;
        let document = &engine.world.plan.document;
        let found = upstreams
            .iter()
            .find(|u| document.upstreams[**u].name == *name);
        engine.requests[request].upstream = *found.expect("a pool has its zone's upstreams");
        let caps = engine.world.plan.zone_limits(&engine.world.zones[zone]);
        for key in self.caps_of(request) {
            let under_cap = self.under_cap.entry((zone, key.clone())).or_default();
            *under_cap += 1;
            let cap = caps.get(&key).copied().unwrap_or(0);
            self.peak_over_cap = self
                .peak_over_cap
                .max(f64::from(*under_cap) / f64::from(cap));
        }
        engine.after(0.0, Event::Take { request });
    }

    fn refuse(&mut self, engine: &mut Engine, zone: usize, request: usize) {
        let entry = engine.requests[request].entry;
        let way_ms = engine.world.one_way_ms[entry][zone] + RELAY_MS;
        engine.requests[request].upstream = engine.world.of_zone(zone)[0];
        engine.send_back(request, way_ms, false);
    }

    fn settle(&mut self, engine: &mut Engine, zone: usize, steps: Vec<QueueStep>) {
        for step in steps {
            match step {
                QueueStep::Granted(grant) => {
                    if let Some(request) = self.owners[zone].waiting.remove(&grant.wait) {
                        self.go(engine, zone, request, &grant);
                    }
                }
                QueueStep::Refused(wait, _) => {
                    if let Some(request) = self.owners[zone].waiting.remove(&wait) {
                        self.release_limits(zone, request);
                        self.refuse(engine, zone, request);
                    }
                }
            }
        }
    }

    fn tell(&mut self, engine: &Engine, to: usize, about: usize, delay_ms: f64) {
        if self.reports_stopped || engine.world.lost[about] {
            return;
        }
        let report = Report {
            load: self.owners[about].pool.load(),
            measured_at: engine.at((engine.now_ms() - delay_ms).max(0.0)),
        };
        self.beliefs[to].update(&engine.world.zones[about], SERVICE, report);
    }
}

impl Steerer for Product {
    fn arrive(&mut self, engine: &mut Engine, request: usize) {
        let entry = engine.requests[request].entry;
        let views = self.views(engine, entry);
        let places: Vec<ZoneCandidate> = views.iter().map(|(_, view)| view.clone()).collect();
        let order = rank_zones(&places, &mut engine.rng);
        let zones = order.into_iter().map(|i| views[i].0).take(SPILLS + 1);
        engine.requests[request].places = zones.collect();
        self.send_on(engine, request);
    }

    fn reach(&mut self, engine: &mut Engine, request: usize, zone: usize) {
        if engine.world.lost[zone] {
            engine.fail(request, Fate::Lost);
            return;
        }
        let now = engine.now();
        let entry = engine.requests[request].entry;
        // The answer must be back at the entry host in time.
        let back_ms = engine.world.one_way_ms[entry][zone] + RELAY_MS;
        let deadline_ms = engine.requests[request].arrived_ms + engine.world.deadline_ms - back_ms;
        let deadline = engine.at(deadline_ms);
        let plan = &engine.world.plan;
        let from = plan.region(&engine.world.zones[entry]);
        let keys = plan.limits_of(rule(engine, entry), from, &engine.world.zones[zone]);
        let owner = &mut self.owners[zone];
        if owner.ledger.admit(now, &keys).is_err() {
            self.refuse(engine, zone, request);
            return;
        }
        self.keys.insert(request, keys);
        match owner.pool.offer(now, offer(deadline), &mut engine.rng) {
            Decision::Granted(grant) => self.go(engine, zone, request, &grant),
            Decision::Queued(wait) => {
                owner.waiting.insert(wait, request);
            }
            Decision::Refused(_) => {
                self.release_limits(zone, request);
                self.refuse(engine, zone, request);
            }
        }
    }

    fn served(&mut self, engine: &mut Engine, request: usize, shed: bool) {
        let upstream = engine.requests[request].upstream;
        let zone = engine.world.zone_of[upstream];
        let grant = self.grants.remove(&request);
        let grant = grant.expect("what was served had been granted");
        let took_ms = engine.now_ms() - engine.requests[request].sent_ms;
        let outcome = match shed {
            true => Outcome::Shed,
            false => Outcome::Answered(Duration::from_secs_f64(took_ms / 1_000.0)),
        };
        let now = engine.now();
        for key in self.caps_of(request) {
            if let Some(under_cap) = self.under_cap.get_mut(&(zone, key)) {
                *under_cap -= 1;
            }
        }
        self.release_limits(zone, request);
        let owner = &mut self.owners[zone];
        let steps = owner.pool.release(now, &grant, outcome, &mut engine.rng);
        self.settle(engine, zone, steps);
        let entry = engine.requests[request].entry;
        let way_ms = engine.world.one_way_ms[entry][zone] + RELAY_MS;
        engine.send_back(request, way_ms, !shed);
    }

    fn back(&mut self, engine: &mut Engine, request: usize, answered: bool) {
        let entry = engine.requests[request].entry;
        let zone = engine.world.zone_of[engine.requests[request].upstream];
        self.own[entry][zone].fetch_sub(1, Ordering::Relaxed);
        if engine.world.lost[entry] {
            engine.fail(request, Fate::Lost);
            return;
        }
        if self.piggyback && (answered || entry == zone) {
            let delay_ms = engine.world.one_way_ms[entry][zone];
            self.tell(engine, entry, zone, delay_ms);
        }
        if answered {
            engine.answer(request);
            return;
        }
        engine.requests[request].refusals += 1;
        self.send_on(engine, request);
    }

    fn tick(&mut self, engine: &mut Engine) {
        self.ticks += 1;
        let now = engine.now();
        for zone in engine.present() {
            for upstream in engine.world.of_zone(zone) {
                let name = engine.world.plan.document.upstreams[upstream].name.clone();
                let report = LoadReport {
                    in_flight: engine.world.reported(upstream),
                    healthy: true,
                };
                if !self.reports_stopped {
                    self.owners[zone].pool.report(now, &name, &report);
                }
            }
            let steps = self.owners[zone].pool.advance(now, &mut engine.rng);
            self.settle(engine, zone, steps);
            self.tell(engine, zone, zone, 0.0);
            if self.ticks.is_multiple_of(SUMMARY_TICKS) {
                for other in engine.present() {
                    let delay_ms = engine.world.one_way_ms[zone][other];
                    self.tell(engine, other, zone, delay_ms);
                }
            }
        }
    }
}
