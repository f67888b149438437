//! Publishes the control thread's state as views for the traffic threads, and makes and
//! merges the load summaries that hosts exchange.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::ids::HostName;
use steering::load_estimate::{Report, SUMMARY_HOSTS, ServiceLoad, ZoneSummary};
use steering::membership::HostEntry;
use steering::pool::{PoolLimits, PoolLoad};
use steering::view::View;

use super::control::{Control, timer};
use super::state::{ReceivedLoads, State};

const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Publish intervals between two views while no request is in flight.
const IDLE_TICKS: u32 = 5;
/// Age from which the hosts of another zone's summary are no longer used.
const SUMMARY_HOSTS_TTL: Duration = Duration::from_secs(60);

impl Control {
    /// Publishes views at regular intervals.
    pub async fn publish_loop(self: Rc<Self>) {
        let mut timer = timer(PUBLISH_INTERVAL);
        let mut idle_ticks = 0;
        loop {
            timer.tick().await;
            let paused = self.state.borrow_mut().membership.tick(clock::now());
            if let Some(paused) = paused {
                let ms = paused.as_millis() as u64;
                tracing::warn!(event = "was_paused", host = self.me.entry.name, ms);
            }
            idle_ticks += 1;
            let busy = self
                .shared
                .in_flight
                .load(std::sync::atomic::Ordering::Relaxed)
                > 0;
            self.shared.record_control_tick();
            if busy || idle_ticks >= IDLE_TICKS {
                idle_ticks = 0;
                self.publish();
            }
        }
    }

    /// Makes a view of the current state and publishes it to the traffic threads.
    pub fn publish(&self) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        self.shared.record_control_tick();
        while let Ok(observation) = self.observations.try_recv() {
            let report = Report {
                load: observation.load,
                measured_at: observation.received,
            };
            state
                .load_reports
                .update(&observation.zone, &observation.service, report);
        }
        let replan = state.plan_revision != state.history.revision();
        if replan {
            state.plan = Arc::new(state.plan.next(Arc::clone(state.history.document())));
            state.plan_revision = state.history.revision();
            self.update_own_in_flight(state);
            self.local.names.set(state.plan.services.keys());
        }
        self.update_own_zone_load(state, now);
        let view = View {
            revision: state.plan_revision,
            plan: Arc::clone(&state.plan),
            me: self.me.entry.clone(),
            incarnation: self.incarnation,
            leaving: self
                .shared
                .leaving
                .load(std::sync::atomic::Ordering::Acquire),
            hosts: self.known_hosts(state, now),
            load_reports: state.load_reports.clone(),
            own_in_flight: state.own_in_flight.clone(),
        };
        self.update_pools(&view, replan);
        if replan {
            let limits = view.plan.zone_limits(&view.me.zone);
            self.shared.ledger().configure(now, &limits, &state.roster);
        }
        self.shared.publish(view);
    }

    /// Makes a counter for each service and zone of the plan; existing counters are kept.
    pub fn update_own_in_flight(&self, state: &mut State) {
        let mut own_in_flight = HashMap::new();
        for (name, service) in &state.plan.services {
            for zone in &service.zones {
                let key = (name.clone(), zone.zone.clone());
                let count = state.own_in_flight.get(&key).cloned().unwrap_or_default();
                own_in_flight.insert(key, count);
            }
        }
        state.own_in_flight = own_in_flight;
    }

    /// Sums up the load of the zone's services, from this host's pools and from the last
    /// heartbeats of the other hosts.
    pub fn update_own_zone_load(&self, state: &mut State, now: Instant) {
        let mut sums: BTreeMap<String, PoolLoad> = BTreeMap::new();
        let fresh = state.received_loads.values().filter(|loads| {
            now.saturating_duration_since(loads.received) < steering::load_estimate::STALE_AFTER
        });
        let others = fresh.flat_map(|received| received.loads.clone());
        for load in others.chain(self.own_loads()) {
            add_load(sums.entry(load.service).or_default(), &load.load);
        }
        for (service, load) in sums {
            let report = Report {
                load,
                measured_at: now,
            };
            state
                .load_reports
                .update(&self.me.entry.zone, &service, report);
        }
    }

    /// Load of the pools for which this host decides on admission, by service.
    pub fn own_loads(&self) -> Vec<ServiceLoad> {
        let mut sums: BTreeMap<String, PoolLoad> = BTreeMap::new();
        for pool in self.shared.pools.states() {
            let service = pool.pool.split('/').next().unwrap_or("").to_owned();
            add_load(sums.entry(service).or_default(), &pool.load);
        }
        sums.into_iter()
            .map(|(service, load)| ServiceLoad { service, load })
            .collect()
    }

    /// Hosts by zone: those of the own zone by their heartbeats, those of other zones from
    /// summaries, or from the platform's list where there is no recent summary.
    pub fn known_hosts(&self, state: &State, now: Instant) -> BTreeMap<String, Vec<HostEntry>> {
        let mut hosts: BTreeMap<String, Vec<HostEntry>> = BTreeMap::new();
        for host in state.listed.iter().filter(|host| !host.leaving) {
            hosts
                .entry(host.entry.zone.clone())
                .or_default()
                .push(host.entry.clone());
        }
        for (zone, known) in &state.known_zones {
            let age = known
                .hosts_measured
                .map(|at| now.saturating_duration_since(at));
            if age.is_some_and(|age| age < SUMMARY_HOSTS_TTL) {
                hosts.insert(zone.clone(), known.hosts.clone());
            }
        }
        hosts.insert(
            self.me.entry.zone.clone(),
            state.membership.accepting_hosts(now),
        );
        hosts
    }

    /// Takes over the pools that this host owns now, and releases the others.
    pub fn update_pools(&self, view: &View, replan: bool) {
        let owned = view.owned_pools();
        self.shared.pools.retain(&owned);
        for service in view.plan.services.values() {
            let Some(zone) = service.zone(&self.me.entry.zone) else {
                continue;
            };
            for pool in &zone.pools {
                let held = self.shared.pools.has(&pool.key);
                let new = !held && owned.contains(&pool.key);
                if new || (held && replan) {
                    let unknown_for = Duration::from_millis(service.service.deadline_ms);
                    let limits = PoolLimits::from(&service.service);
                    self.shared
                        .pools
                        .configure(&pool.key, limits, &pool.upstreams, unknown_for);
                }
                if new {
                    tracing::info!(event = "pool_taken", host = view.me.name, pool = pool.key);
                }
            }
        }
    }

    /// This host's summary of its zone.
    pub fn own_summary(&self) -> ZoneSummary {
        let now = clock::now();
        let state = self.state.borrow();
        let zone = &self.me.entry.zone;
        let loads = state.plan.services.keys().filter_map(|service| {
            let report = state.load_reports.report(zone, service)?;
            Some(ServiceLoad {
                service: service.clone(),
                load: report.load,
            })
        });
        ZoneSummary {
            zone: zone.clone(),
            age: Duration::ZERO,
            loads: loads.collect(),
            hosts: state
                .membership
                .accepting_hosts(now)
                .into_iter()
                .take(SUMMARY_HOSTS)
                .collect(),
            hosts_age: Duration::ZERO,
        }
    }

    /// Merges the newer parts of another zone's summary into the known state.
    pub fn merge_summary(&self, summary: ZoneSummary) {
        if summary.zone == self.me.entry.zone {
            return;
        }
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let known = state.known_zones.entry(summary.zone.clone()).or_default();
        if !known.merge(&summary, now) {
            return;
        }
        let Some(measured) = known.measured else {
            return;
        };
        for load in summary.loads {
            let report = Report {
                load: load.load,
                measured_at: measured,
            };
            state
                .load_reports
                .update(&summary.zone, &load.service, report);
        }
    }

    /// Records the load that another host of the zone reported.
    pub fn record_loads(&self, host: &HostName, loads: Vec<ServiceLoad>) {
        let received = ReceivedLoads {
            received: clock::now(),
            loads,
        };
        self.state
            .borrow_mut()
            .received_loads
            .insert(host.clone(), received);
    }
}

/// Adds a load to a sum; the latency is the mean weighted by capacity.
fn add_load(sum: &mut PoolLoad, load: &PoolLoad) {
    let (before, added) = (f64::from(sum.capacity), f64::from(load.capacity));
    let weighted = sum.latency_ms * before + load.latency_ms * added;
    sum.latency_ms = weighted / (before + added).max(1.0);
    sum.in_flight += load.in_flight;
    sum.capacity += load.capacity;
    sum.queued += load.queued;
}
