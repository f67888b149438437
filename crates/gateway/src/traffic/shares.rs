//! What the traffic thread counts and adapts: budgets, shares, usual times.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::ids::{RegionName, RuleName, ServiceName};
use steering::route::{
    CallerAttempt, CallerTimeouts, Choice, Estimate, RegionPool, RegionShare, RetryShare, Route,
    RouteView, ServicePool, WeightedRoundRobin, share_by_capacity,
};

use crate::settings::{Bounds, GatewaySettings};

/// Weight of the newest answer in a service's usual time.
const NEWEST_WEIGHT: f64 = 0.05;
/// Share of an answer's time that is work at least, whatever wait was expected.
const WORK_LEAST: f64 = 0.3;
/// An answer counts at most as so many times the usual, so that few slow upstreams
/// do not become the usual.
const USUAL_CAP: f64 = 3.0;

/// Counts and shares of this host.
pub(super) struct Shares {
    region: RegionName,
    repeats: HashMap<ServiceName, RetryShare>,
    parts: HashMap<RuleName, WeightedRoundRobin>,
    regions: HashMap<ServiceName, RegionShare>,
    /// Usual time from a send to the head of its answer, in milliseconds.
    usual_ms: HashMap<ServiceName, f64>,
    /// Times of each route's work at each service.
    estimates: HashMap<ServiceName, HashMap<RuleName, Estimate>>,
    /// How long callers of each route wait.
    patience: HashMap<RuleName, CallerTimeouts>,
    /// Version of the document whose routes these are of.
    version: u64,
}

impl Shares {
    pub fn new(settings: &GatewaySettings) -> Self {
        Shares {
            region: settings.region.clone(),
            repeats: HashMap::new(),
            parts: HashMap::new(),
            regions: HashMap::new(),
            usual_ms: HashMap::new(),
            estimates: HashMap::new(),
            patience: HashMap::new(),
            version: 0,
        }
    }

    /// The service that a request of a route goes to.
    pub fn part<'a>(&mut self, route: &'a Route) -> &'a ServiceName {
        if route.parts.len() == 1 {
            return &route.parts[0].service;
        }
        let spread = self.parts.entry(route.name.clone()).or_default();
        &route.parts[spread.pick(&route.parts)].service
    }

    /// Whether a request stays in this host's region; `place` is its object's.
    pub fn stays(&mut self, service: &str, pool: &ServicePool, place: f64, now: Instant) -> bool {
        if !self.regions.contains_key(service) {
            let spread = RegionShare::new(by_room(pool, &self.region, now, self.usual(service)));
            self.regions.insert(service.to_owned(), spread);
        }
        let spread = self.regions.get_mut(service);
        spread.is_none_or(|spread| spread.keeps_local(place))
    }

    /// Counts a request to a service.
    pub fn request(&mut self, service: &str, bounds: &Bounds, now: Instant) {
        self.repeat_part(service, bounds).request(now);
    }

    /// Whether a caller of a route came before, by the time that it will wait.
    pub fn which_try(&mut self, route: &str, time: Duration) -> CallerAttempt {
        if !self.patience.contains_key(route) {
            self.patience
                .insert(route.to_owned(), CallerTimeouts::default());
        }
        let patience = self.patience.get_mut(route).expect("it is there");
        patience.take(time)
    }

    /// Takes a repeat from the service's budget.
    pub fn repeat(
        &mut self,
        service: &str,
        bounds: &Bounds,
        sharers: Option<usize>,
        of: CallerAttempt,
        now: Instant,
    ) -> bool {
        self.repeat_part(service, bounds)
            .take_retry(now, sharers, of)
    }

    fn repeat_part(&mut self, service: &str, bounds: &Bounds) -> &mut RetryShare {
        let Bounds {
            repeat_ratio,
            repeat_spare,
            repeat_window,
            ..
        } = *bounds;
        if !self.repeats.contains_key(service) {
            self.repeats
                .insert(service.to_owned(), RetryShare::default());
        }
        let part = self.repeats.get_mut(service).expect("it is there");
        part.set_bound(repeat_ratio, repeat_spare, repeat_window);
        part
    }

    /// Requests in a second that a cold upstream may receive, which bears `bears`.
    pub fn cold_bound(bounds: &Bounds, bears: f64) -> f64 {
        bears * bounds.cold_times + bounds.cold_spare
    }

    /// The service's usual time, where any answer has come.
    pub fn usual(&self, service: &str) -> Option<Duration> {
        self.usual_ms.get(service).copied().map(from_ms)
    }

    /// What is known of the times of a route's work at a service.
    pub fn estimate(&mut self, service: &str, route: &Route) -> Estimate {
        if !self.estimates.contains_key(service) {
            self.estimates.insert(service.to_owned(), HashMap::new());
        }
        let routes = self.estimates.get_mut(service).expect("it is there");
        if !routes.contains_key(&route.name) {
            routes.insert(route.name.clone(), Estimate::new(route.goal));
        }
        routes[&route.name].clone()
    }

    /// Takes how long a route's work took at an upstream.
    pub fn learn(&mut self, now: Instant, route: &str, choice: &Choice, took: Duration) {
        let service = &choice.upstream.report.service;
        let expected = &choice.expectation;
        let least = took.mul_f64(WORK_LEAST);
        let work = took.saturating_sub(expected.wait).max(least);
        self.answered(service, work);
        let routes = self.estimates.get_mut(service);
        // A document that has taken the route away since is no reason to fail.
        let Some(estimate) = routes.and_then(|routes| routes.get_mut(route)) else {
            return;
        };
        let ratio = estimate.learn(expected.affinity, choice.cold, expected.speed, work);
        choice.upstream.state().speed.take(now, ratio);
    }

    /// Forgets routes that a new document no longer has.
    fn forget_routes(&mut self, view: &RouteView) {
        if view.version == self.version {
            return;
        }
        self.version = view.version;
        let names: HashSet<&RuleName> = view.table.names().collect();
        self.parts.retain(|name, _| names.contains(name));
        self.patience.retain(|name, _| names.contains(name));
        for routes in self.estimates.values_mut() {
            routes.retain(|name, _| names.contains(name));
        }
        self.estimates.retain(|_, routes| !routes.is_empty());
    }

    /// Takes the time of an answer.
    fn answered(&mut self, service: &str, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        match self.usual_ms.get_mut(service) {
            Some(usual) => *usual += NEWEST_WEIGHT * (took_ms.min(*usual * USUAL_CAP) - *usual),
            None => drop(self.usual_ms.insert(service.to_owned(), took_ms)),
        }
    }

    /// Moves the regions' shares, and forgets what no document names any more.
    pub fn adapt(
        &mut self,
        view: &Arc<RouteView>,
        bounds: &Bounds,
        now: Instant,
        passed: Duration,
    ) {
        self.forget_routes(view);
        // Half of what is allowed from one 2 s window to the next leaves room for chance.
        let step = bounds.shift_most / 2.0 / 2.0 * passed.as_secs_f64().min(2.0);
        for (service, spread) in &mut self.regions {
            let usual = self.usual_ms.get(service).copied().map(from_ms);
            let Some(pool) = view.services.get(service) else {
                continue;
            };
            let own = pool.regions.get(&self.region);
            let hosts = view.region_hosts.as_ref().map_or(1, Vec::len);
            let own_use = own.map_or(f64::INFINITY, |own| own.utilization(now, hosts, usual));
            let others = pool.regions.iter();
            let others = others.filter(|(region, _)| **region != self.region);
            let others_use = others.map(|(_, pool)| pool.utilization(now, hosts, usual));
            let before = spread.share();
            let others_use = others_use.fold(f64::INFINITY, f64::min);
            let by_room = by_room(pool, &self.region, now, usual);
            spread.adapt(step, own_use, others_use, by_room);
            if before != spread.share() {
                let own = spread.share();
                tracing::info!(event = "region_share", service, own, own_use);
            }
            metrics::gauge!("stagedeck_region_share", "service" => service.clone())
                .set(spread.share());
        }
    }
}

/// The share that a region's room has in what its callers ask.
fn by_room(pool: &ServicePool, region: &RegionName, now: Instant, usual: Option<Duration>) -> f64 {
    let room = |pool: &RegionPool| pool.capacity(now, usual);
    let own = pool.regions.get(region).map_or(0.0, room);
    let all = pool.regions.values().map(room).sum();
    share_by_capacity(own, all, pool.regions.len())
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
