//! Views: all that is known, published to the traffic threads; summaries of zones.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::belief::{Report, SUMMARY_HOSTS, ServiceLoad, ZoneSummary};
use steering::ids::HostName;
use steering::membership::HostEntry;
use steering::pool::{PoolLimits, PoolLoad};
use steering::view::View;

use super::control::{Control, timer};
use super::state::{HeardLoads, State};

const PUBLISH_EVERY: Duration = Duration::from_millis(50);
/// Ticks between two views while no request is in flight.
const IDLE_TICKS: u32 = 5;
const SUMMARY_LAPSE: Duration = Duration::from_secs(60);

impl Control {
    pub async fn publishes(self: Rc<Self>) {
        let mut timer = timer(PUBLISH_EVERY);
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

    /// Makes a view of all that is known and gives it to the traffic threads.
    pub fn publish(&self) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        self.shared.record_control_tick();
        while let Ok(note) = self.notes.try_recv() {
            let report = Report {
                load: note.load,
                measured: note.received,
            };
            state.beliefs.update(&note.zone, &note.service, report);
        }
        let replan = state.planned != state.history.revision();
        if replan {
            state.plan = Arc::new(state.plan.next(Arc::clone(state.history.document())));
            state.planned = state.history.revision();
            self.keep_counts(state);
            self.local.names.set(state.plan.services.keys());
        }
        self.believe_own_zone(state, now);
        let view = View {
            revision: state.planned,
            plan: Arc::clone(&state.plan),
            me: self.me.entry.clone(),
            incarnation: self.incarnation,
            leaving: self
                .shared
                .leaving
                .load(std::sync::atomic::Ordering::Acquire),
            hosts: self.known_hosts(state, now),
            beliefs: state.beliefs.clone(),
            own: state.own.clone(),
        };
        self.hold_pools(&view, replan);
        if replan {
            let limits = view.plan.zone_limits(&view.me.zone);
            self.shared.ledger().configure(now, &limits, &state.roster);
        }
        self.shared.publish(view);
    }

    pub fn keep_counts(&self, state: &mut State) {
        let mut own = HashMap::new();
        for (name, service) in &state.plan.services {
            for zone in &service.zones {
                let key = (name.clone(), zone.zone.clone());
                let count = state.own.get(&key).cloned().unwrap_or_default();
                own.insert(key, count);
            }
        }
        state.own = own;
    }

    /// Load of the zone's services: this host's pools and what the others told.
    pub fn believe_own_zone(&self, state: &mut State, now: Instant) {
        let mut sums: BTreeMap<String, PoolLoad> = BTreeMap::new();
        let heard = state.heard_loads.values().filter(|heard| {
            now.saturating_duration_since(heard.heard) < steering::belief::STALE_AFTER
        });
        let heard = heard.flat_map(|heard| heard.loads.clone());
        for load in heard.chain(self.own_loads()) {
            add(sums.entry(load.service).or_default(), &load.load);
        }
        for (service, load) in sums {
            let report = Report {
                load,
                measured: now,
            };
            state.beliefs.update(&self.me.entry.zone, &service, report);
        }
    }

    /// Load of the pools that this host admits to, by service.
    pub fn own_loads(&self) -> Vec<ServiceLoad> {
        let mut sums: BTreeMap<String, PoolLoad> = BTreeMap::new();
        for pool in self.shared.pools.states() {
            let service = pool.pool.split('/').next().unwrap_or("").to_owned();
            add(sums.entry(service).or_default(), &pool.load);
        }
        sums.into_iter()
            .map(|(service, load)| ServiceLoad { service, load })
            .collect()
    }

    pub fn known_hosts(&self, state: &State, now: Instant) -> BTreeMap<String, Vec<HostEntry>> {
        let mut hosts: BTreeMap<String, Vec<HostEntry>> = BTreeMap::new();
        for host in state.listed.iter().filter(|host| !host.leaving) {
            hosts
                .entry(host.entry.zone.clone())
                .or_default()
                .push(host.entry.clone());
        }
        for (zone, held) in &state.summaries {
            let age = held
                .hosts_measured
                .map(|at| now.saturating_duration_since(at));
            if age.is_some_and(|age| age < SUMMARY_LAPSE) {
                hosts.insert(zone.clone(), held.hosts.clone());
            }
        }
        hosts.insert(self.me.entry.zone.clone(), state.membership.staying(now));
        hosts
    }

    /// Takes the pools that this host owns now, and lets go of the others.
    pub fn hold_pools(&self, view: &View, replan: bool) {
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
            let report = state.beliefs.report(zone, service)?;
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
                .staying(now)
                .into_iter()
                .take(SUMMARY_HOSTS)
                .collect(),
            hosts_age: Duration::ZERO,
        }
    }

    /// Takes what is newer in another zone's summary than what is held.
    pub fn take_summary(&self, summary: ZoneSummary) {
        if summary.zone == self.me.entry.zone {
            return;
        }
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let held = state.summaries.entry(summary.zone.clone()).or_default();
        if !held.take(&summary, now) {
            return;
        }
        let Some(measured) = held.measured else {
            return;
        };
        for load in summary.loads {
            let report = Report {
                load: load.load,
                measured,
            };
            state.beliefs.update(&summary.zone, &load.service, report);
        }
    }

    /// Takes the load that a host of the zone told.
    pub fn take_loads(&self, host: &HostName, loads: Vec<ServiceLoad>) {
        let heard = HeardLoads {
            heard: clock::now(),
            loads,
        };
        self.state
            .borrow_mut()
            .heard_loads
            .insert(host.clone(), heard);
    }
}

fn add(sum: &mut PoolLoad, load: &PoolLoad) {
    let (before, more) = (f64::from(sum.capacity), f64::from(load.capacity));
    let weighed = sum.latency_ms * before + load.latency_ms * more;
    sum.latency_ms = weighed / (before + more).max(1.0);
    sum.in_flight += load.in_flight;
    sum.capacity += load.capacity;
    sum.queued += load.queued;
}
