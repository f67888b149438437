//! State that the traffic thread adapts: retry budgets, shares of services and regions, and
//! response times.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::ids::{RegionName, RuleName, ServiceName};
use steering::route::{
    CallerAttempt, CallerTimeouts, Choice, Estimate, PoolPart, RegionPool, RegionShare,
    ResponseTimes, RetryGrant, RetryShare, Route, RouteView, ServicePool, WeightedRoundRobin,
    WorkLength, WorkMix, share_by_capacity,
};

use crate::settings::{Bounds, GatewaySettings};

/// Weight of the newest response time in a service's moving average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Smallest fraction of a response time that counts as work, whatever wait was expected.
const MIN_WORK_FRACTION: f64 = 0.3;
/// Cap on a response time, as a multiple of the average, so that a few slow upstreams do not
/// dominate the average.
const LATENCY_CAP_FACTOR: f64 = 3.0;

/// Adaptive state of this host.
pub(super) struct TrafficStats {
    region: RegionName,
    retry_shares: HashMap<ServiceName, RetryShare>,
    service_spreads: HashMap<RuleName, WeightedRoundRobin>,
    region_shares: HashMap<ServiceName, RegionShare>,
    /// Short and long work among the requests to each service.
    mixes: HashMap<ServiceName, WorkMix>,
    /// Moving average of the time from a send to the head of its answer, in milliseconds.
    average_latency_ms: HashMap<ServiceName, f64>,
    /// Estimated work time of each route at each service.
    estimates: HashMap<ServiceName, HashMap<RuleName, Estimate>>,
    /// Response times of each route at each service.
    response_times: HashMap<ServiceName, HashMap<RuleName, ResponseTimes>>,
    /// How long callers of each route wait.
    caller_timeouts: HashMap<RuleName, CallerTimeouts>,
    /// Version of the document that the routes belong to.
    version: u64,
}

impl TrafficStats {
    pub fn new(settings: &GatewaySettings) -> Self {
        TrafficStats {
            region: settings.region.clone(),
            retry_shares: HashMap::new(),
            service_spreads: HashMap::new(),
            region_shares: HashMap::new(),
            mixes: HashMap::new(),
            average_latency_ms: HashMap::new(),
            estimates: HashMap::new(),
            response_times: HashMap::new(),
            caller_timeouts: HashMap::new(),
            version: 0,
        }
    }

    /// Selects the service for a request of a route, by weight.
    pub fn pick_service<'a>(&mut self, route: &'a Route) -> &'a ServiceName {
        if route.parts.len() == 1 {
            return &route.parts[0].service;
        }
        let spread = self.service_spreads.entry(route.name.clone()).or_default();
        &route.parts[spread.pick(&route.parts)].service
    }

    /// Counts a request of a route for its service's mix of short and long work. Returns the length
    /// of its work; none while all work of the service is alike.
    pub fn count_work(&mut self, service: &str, route: &Route) -> Option<WorkLength> {
        if !self.mixes.contains_key(service) {
            self.mixes.insert(service.to_owned(), WorkMix::default());
        }
        self.mixes
            .get_mut(service)?
            .take(route.goal, route.priority)
    }

    /// The upstreams of a region that a request of the route is sent to first, with the average
    /// work time there; none while all upstreams are alike for it.
    pub fn part(&self, service: &str, route: &Route, region: &str) -> Option<(PoolPart, Duration)> {
        let mix = self.mixes.get(service)?;
        let length = mix.length(route.goal)?;
        let part = mix.part(length, self.region == region)?;
        Some((part, mix.average_work(length)))
    }

    /// Whether a request stays in this host's region. `position` is the object's position, which is
    /// compared with the region's share; `length` is the length of the request's work.
    pub fn stays_in_region(
        &mut self,
        service: &str,
        pool: &ServicePool,
        length: Option<WorkLength>,
        position: f64,
        now: Instant,
    ) -> bool {
        self.start_region_share(service, pool, now);
        let Some(share) = self.region_shares.get_mut(service) else {
            return true;
        };
        let mix = self.mixes.get_mut(service);
        let (Some(length), Some(mix)) = (length, mix) else {
            return share.keeps_local(position);
        };
        let before = mix.short_share(true);
        mix.adapt_own_region(share.long_share_of_stays(mix.long_share()));
        if before != mix.short_share(true) {
            note_short_share(service, mix.short_share(true));
        }
        let stays = share.keeps_local_by_length(position, length, mix.long_share());
        count_stay(service, length, stays);
        stays
    }

    /// Starts a service's share with the region's capacity. Until a few requests have been
    /// decided, the share follows what they show of the lengths of the work.
    fn start_region_share(&mut self, service: &str, pool: &ServicePool, now: Instant) {
        let known = self.region_shares.get(service);
        if known.is_some_and(|share| !share.is_starting()) {
            return;
        }
        let average = self.average_latency(service);
        let by_capacity = free_capacity_fraction(pool, &self.region, now, average);
        let unlike = self.mixes.get(service).filter(|mix| mix.is_unlike());
        let share = unlike.map_or(by_capacity, |mix| mix.share_of_requests(by_capacity));
        match self.region_shares.get_mut(service) {
            Some(known) if unlike.is_some() => known.start_with(share),
            Some(_) => {}
            None => drop(
                self.region_shares
                    .insert(service.to_owned(), RegionShare::new(share)),
            ),
        }
    }

    /// Counts a request to a service for its retry budget.
    pub fn count_request(&mut self, service: &str, bounds: &Bounds, now: Instant) {
        self.retry_share(service, bounds).request(now);
    }

    /// Whether a caller of a route has sent the request before, judged by how long it will wait.
    pub fn caller_attempt(&mut self, route: &str, timeout: Duration) -> CallerAttempt {
        if !self.caller_timeouts.contains_key(route) {
            self.caller_timeouts
                .insert(route.to_owned(), CallerTimeouts::default());
        }
        let timeouts = self
            .caller_timeouts
            .get_mut(route)
            .expect("the entry exists or was just inserted");
        timeouts.take(timeout)
    }

    /// Takes a retry from the service's budget, if it is allowed.
    pub fn take_retry(
        &mut self,
        service: &str,
        bounds: &Bounds,
        sharing_hosts: Option<usize>,
        caller_attempt: CallerAttempt,
        now: Instant,
    ) -> RetryGrant {
        self.retry_share(service, bounds)
            .take_retry(now, sharing_hosts, caller_attempt)
    }

    fn retry_share(&mut self, service: &str, bounds: &Bounds) -> &mut RetryShare {
        let Bounds {
            retry_ratio,
            retry_slack,
            retry_window,
            ..
        } = *bounds;
        if !self.retry_shares.contains_key(service) {
            self.retry_shares
                .insert(service.to_owned(), RetryShare::default());
        }
        let share = self
            .retry_shares
            .get_mut(service)
            .expect("the entry exists or was just inserted");
        share.set_bound(retry_ratio, retry_slack, retry_window);
        share
    }

    /// Maximum rate of requests per second to an upstream that is warming up; `capacity_per_s` is
    /// the rate that it can serve.
    pub fn cold_send_rate(bounds: &Bounds, capacity_per_s: f64) -> f64 {
        capacity_per_s * bounds.warm_up_overage + bounds.warm_up_slack
    }

    /// Average response time of the service; none before its first answer.
    pub fn average_latency(&self, service: &str) -> Option<Duration> {
        self.average_latency_ms.get(service).copied().map(from_ms)
    }

    /// Estimated work time of a route at a service.
    pub fn estimate(&mut self, service: &str, route: &Route) -> Estimate {
        if !self.estimates.contains_key(service) {
            self.estimates.insert(service.to_owned(), HashMap::new());
        }
        let routes = self
            .estimates
            .get_mut(service)
            .expect("the entry exists or was just inserted");
        if !routes.contains_key(&route.name) {
            routes.insert(route.name.clone(), Estimate::new(route.goal));
        }
        routes[&route.name].clone()
    }

    /// Learns from the response time of a request of a route with a latency goal. Returns the ratio to the expected time; none
    /// if the route has been removed.
    pub fn record_answer(
        &mut self,
        now: Instant,
        route: &str,
        goal: Duration,
        choice: &Choice,
        took: Duration,
    ) -> Option<f64> {
        let service = &choice.upstream.report.service;
        let expected = &choice.expectation;
        let least = took.mul_f64(MIN_WORK_FRACTION);
        let work = took.saturating_sub(expected.wait).max(least);
        self.update_average(service, work);
        if let Some(mix) = self.mixes.get_mut(service) {
            mix.answered(goal, work);
        }
        let routes = self.estimates.get_mut(service);
        // A new document may have removed the route meanwhile.
        let estimate = routes.and_then(|routes| routes.get_mut(route))?;
        let ratio = estimate.learn(expected.affinity, choice.cold, expected.speed, work);
        choice.upstream.state().speed.take(now, ratio);
        Some(ratio)
    }

    /// How long responses of a route at a service take, their bodies included.
    pub fn response_times(&mut self, service: &str, route: &str) -> &mut ResponseTimes {
        if !self.response_times.contains_key(service) {
            self.response_times
                .insert(service.to_owned(), HashMap::new());
        }
        let routes = self
            .response_times
            .get_mut(service)
            .expect("the entry exists or was just inserted");
        if !routes.contains_key(route) {
            routes.insert(route.to_owned(), ResponseTimes::default());
        }
        routes
            .get_mut(route)
            .expect("the entry exists or was just inserted")
    }

    /// Drops the state of routes that are not in a new document.
    fn forget_routes(&mut self, view: &RouteView) {
        if view.version == self.version {
            return;
        }
        self.version = view.version;
        let names: HashSet<&RuleName> = view.table.names().collect();
        self.service_spreads.retain(|name, _| names.contains(name));
        self.caller_timeouts.retain(|name, _| names.contains(name));
        for routes in self.estimates.values_mut() {
            routes.retain(|name, _| names.contains(name));
        }
        self.estimates.retain(|_, routes| !routes.is_empty());
        for routes in self.response_times.values_mut() {
            routes.retain(|name, _| names.contains(name));
        }
        self.response_times.retain(|_, routes| !routes.is_empty());
        self.forget_goals(view);
    }

    /// Drops the goals that no route of a new document has.
    fn forget_goals(&mut self, view: &RouteView) {
        let mut in_use: HashSet<(&str, Duration)> = HashSet::new();
        for route in view.table.routes() {
            let services = route.parts.iter().map(|part| part.service.as_str());
            in_use.extend(services.map(|service| (service, route.goal)));
        }
        for (service, mix) in &mut self.mixes {
            mix.retain(|goal| in_use.contains(&(service.as_str(), goal)));
        }
    }

    /// Updates the service's average response time.
    fn update_average(&mut self, service: &str, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        match self.average_latency_ms.get_mut(service) {
            Some(average) => {
                *average += NEWEST_WEIGHT * (took_ms.min(*average * LATENCY_CAP_FACTOR) - *average)
            }
            None => drop(self.average_latency_ms.insert(service.to_owned(), took_ms)),
        }
    }

    /// Adapts the regions' shares, and drops the state of routes that are not in the document.
    pub fn adapt(
        &mut self,
        view: &Arc<RouteView>,
        bounds: &Bounds,
        now: Instant,
        elapsed: Duration,
    ) {
        self.forget_routes(view);
        // The step is half of the shift allowed between two 2 s windows, which leaves room for
        // random variation.
        let step = bounds.max_region_shift / 2.0 / 2.0 * elapsed.as_secs_f64().min(2.0);
        for (service, share) in &mut self.region_shares {
            let average = self.average_latency_ms.get(service).copied().map(from_ms);
            let Some(pool) = view.services.get(service) else {
                continue;
            };
            let own = pool.regions.get(&self.region);
            let hosts = view.region_hosts.as_ref().map_or(1, Vec::len);
            let own_use = own.map_or(f64::INFINITY, |own| own.utilization(now, hosts, average));
            let others = pool.regions.iter();
            let others = others.filter(|(region, _)| **region != self.region);
            let others_use = others.map(|(_, pool)| pool.utilization(now, hosts, average));
            let before = share.share();
            let others_use = others_use.fold(f64::INFINITY, f64::min);
            let by_capacity = free_capacity_fraction(pool, &self.region, now, average);
            let mix = self.mixes.get(service);
            let by_capacity = mix.map_or(by_capacity, |mix| mix.share_of_requests(by_capacity));
            share.adapt(step, own_use, others_use, by_capacity);
            if before != share.share() {
                let own = share.share();
                tracing::info!(event = "region_share", service, own, own_use);
            }
            metrics::gauge!("stagedeck_region_share", "service" => service.clone())
                .set(share.share());
        }
    }
}

/// `share` is the share of the slots in this host's region; none if they are not divided.
fn note_short_share(service: &str, share: Option<f64>) {
    tracing::info!(event = "slots_for_short_work", service, share);
    metrics::gauge!("stagedeck_slots_for_short_work", "service" => service.to_owned())
        .set(share.unwrap_or(0.0));
}

fn count_stay(service: &str, length: WorkLength, stays: bool) {
    let length = match length {
        WorkLength::Short => "short",
        WorkLength::Long => "long",
    };
    let region = if stays { "own" } else { "other" };
    let service = service.to_owned();
    metrics::counter!("stagedeck_region_by_length_total", "service" => service, "length" => length, "region" => region)
        .increment(1);
}

/// The region's fraction of the service's free capacity.
fn free_capacity_fraction(
    pool: &ServicePool,
    region: &RegionName,
    now: Instant,
    average: Option<Duration>,
) -> f64 {
    let room = |pool: &RegionPool| pool.capacity(now, average);
    let own = pool.regions.get(region).map_or(0.0, room);
    let all = pool.regions.values().map(room).sum();
    share_by_capacity(own, all, pool.regions.len())
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
