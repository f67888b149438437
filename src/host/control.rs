//! The control thread: configuration, membership and load, published as views.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use ::caller::{LoadNote, Shared};
use ::operator::{InForce, PoolStatus, Status, UpstreamStatus, ZoneLoad};
use peer::{PeerClient, PeerServer};
use platform::{ConfigStore, ListedHost, RosterStore, Worker};
use steering::belief::{Report, SUMMARY_HOSTS, ServiceLoad, ZoneSummary};
use steering::document::{Proposal, Verdict};
use steering::history::{Entry, History};
use steering::ids::{HostName, Incarnation};
use steering::limiter::LOAN_LAPSE;
use steering::membership::{HostEntry, Membership};
use steering::pool::{PoolLimits, PoolLoad};
use steering::rendezvous;
use steering::view::View;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::handler::Handler;
use super::state::{Command, Dump, HeardLoads, HeldSummary, State};
use crate::config::Config;

const PUBLISH_EVERY: Duration = Duration::from_millis(50);
/// Ticks between two views while no request is in flight.
const IDLE_TICKS: u32 = 5;
const POLL_EVERY: Duration = Duration::from_secs(1);
const LIST_EVERY: Duration = Duration::from_secs(2);
const LIST_EVERY_OTHERS: Duration = Duration::from_secs(15);
const START_RETRY: Duration = Duration::from_millis(100);
/// Hosts of a zone that poll the platform.
const POLLERS: usize = 2;
const SUMMARY_LAPSE: Duration = Duration::from_secs(60);
pub const PEER_DEADLINE: Duration = Duration::from_millis(1_000);

/// What the control thread is made with.
pub struct ControlParts {
    pub config: Config,
    pub shared: Arc<Shared>,
    pub worker: Worker,
    pub me: ListedHost,
    pub incarnation: Incarnation,
    pub commands: mpsc::UnboundedReceiver<Command>,
    pub notes: Receiver<LoadNote>,
    pub ready: watch::Sender<bool>,
}

/// The control thread's tasks share this.
pub struct Control {
    pub config: Config,
    pub shared: Arc<Shared>,
    pub worker: Worker,
    pub me: ListedHost,
    pub incarnation: Incarnation,
    pub state: RefCell<State>,
    pub key: Rc<[u8]>,
    clients: RefCell<HashMap<SocketAddr, Rc<PeerClient>>>,
    notes: Receiver<LoadNote>,
    ready: watch::Sender<bool>,
}

impl Control {
    /// Runs until a command ends it.
    pub fn run(parts: ControlParts, peers: TcpListener) {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(error) => {
                tracing::error!(event = "control_failed", %error);
                return;
            }
        };
        LocalSet::new().block_on(&runtime, Control::main(parts, peers));
    }

    async fn main(parts: ControlParts, peers: TcpListener) {
        let mut commands = parts.commands;
        let now = Instant::now();
        let membership = Membership::new(parts.me.entry.clone(), parts.incarnation, now);
        let control = Rc::new(Control {
            key: parts.config.peer_key.as_bytes().into(),
            config: parts.config,
            shared: parts.shared,
            worker: parts.worker,
            me: parts.me,
            incarnation: parts.incarnation,
            clients: RefCell::default(),
            notes: parts.notes,
            ready: parts.ready,
            state: RefCell::new(State {
                history: History::default(),
                plan: Arc::default(),
                planned: 0,
                membership,
                beliefs: Default::default(),
                summaries: HashMap::new(),
                heard_loads: HashMap::new(),
                listed: Vec::new(),
                last_listed: HashMap::new(),
                roster: Default::default(),
                own: HashMap::new(),
                store_answered: None,
            }),
        });
        control.publish();
        match listen(peers) {
            Ok(peers) => {
                let handler = Rc::new(Handler(Rc::clone(&control)));
                spawn_local(PeerServer::new(&control.key, handler).run(peers));
            }
            Err(error) => tracing::error!(event = "peers_failed", %error),
        }
        spawn_local(Rc::clone(&control).register());
        spawn_local(Rc::clone(&control).heartbeats());
        spawn_local(Rc::clone(&control).exchanges());
        spawn_local(Rc::clone(&control).polls());
        spawn_local(Rc::clone(&control).lists());
        spawn_local(Rc::clone(&control).loans());
        spawn_local(Rc::clone(&control).rosters());
        spawn_local(Rc::clone(&control).publishes());
        spawn_local(Rc::clone(&control).become_ready());
        while let Some(command) = commands.recv().await {
            match command {
                Command::End => break,
                other => control.take(other),
            }
        }
    }

    fn take(self: &Rc<Self>, command: Command) {
        // Whoever asked may have given up; the answer is then of no use.
        match command {
            Command::Status(answer) => drop(answer.send(self.status())),
            Command::Dump(answer) => drop(answer.send(self.dump())),
            Command::Document(answer) => drop(answer.send(self.in_force())),
            Command::Propose(proposal, answer) => {
                spawn_local(Rc::clone(self).propose(*proposal, answer));
            }
            Command::Leave => {
                self.state.borrow_mut().membership.leave();
                self.publish();
                self.beat_now();
                spawn_local(Rc::clone(self).register());
            }
            Command::End => {}
        }
    }

    /// Serves callers from the first configuration on. A platform that answers
    /// that there is none yet counts; one that is silent does not.
    async fn become_ready(self: Rc<Self>) {
        loop {
            let has_revision = self.state.borrow().history.revision() > 0;
            let store_answered = self.state.borrow().store_answered.is_some();
            if has_revision || store_answered {
                break;
            }
            self.poll().await;
            sleep(START_RETRY).await;
        }
        self.publish();
        let _ = self.ready.send(true);
        let revision = self.state.borrow().history.revision();
        tracing::info!(event = "ready", host = self.me.entry.name, revision);
    }

    /// Tells the platform of this start, again until it has answered.
    async fn register(self: Rc<Self>) {
        loop {
            let mut me = self.me.clone();
            me.leaving = self
                .shared
                .leaving
                .load(std::sync::atomic::Ordering::Acquire);
            let told = self
                .worker
                .run(move |platform| platform.register(&me))
                .await;
            if let Ok(Ok(())) = told {
                return;
            }
            sleep(START_RETRY).await;
        }
    }

    // --- configuration ---

    async fn polls(self: Rc<Self>) {
        let mut timer = timer(POLL_EVERY);
        loop {
            timer.tick().await;
            if self.is_among("poll", POLLERS) {
                self.poll().await;
            }
        }
    }

    async fn poll(self: &Rc<Self>) {
        let mut history = self.state.borrow().history.clone();
        let polled = self.worker.run(move |platform| {
            let result = ConfigStore::new(platform).poll(&mut history);
            (history, result)
        });
        let Ok((history, result)) = polled.await else {
            return;
        };
        match result {
            Ok(()) => self.state.borrow_mut().store_answered = Some(Instant::now()),
            Err(error) => tracing::debug!(event = "poll_failed", %error),
        }
        self.adopt(history);
    }

    /// Takes a history that is ahead, and tells the hosts of the zone.
    fn adopt(self: &Rc<Self>, history: History) {
        let before = self.state.borrow().history.revision();
        if history.revision() <= before {
            return;
        }
        let entries = history.entries_after(before);
        self.state.borrow_mut().history = history;
        self.in_force_now();
        for entry in entries.unwrap_or_default() {
            self.push(&entry);
        }
    }

    /// The configuration has changed: views follow at once.
    pub fn in_force_now(&self) {
        self.publish();
        let position = self.state.borrow().history.position().clone();
        tracing::info!(
            event = "in_force",
            host = self.me.entry.name,
            revision = position.revision,
            digest = position.digest
        );
    }

    async fn propose(self: Rc<Self>, proposal: Proposal, answer: oneshot::Sender<Verdict>) {
        let mut history = self.state.borrow().history.clone();
        let id = proposal.change.id.clone();
        let proposed = self.worker.run(move |platform| {
            let verdict = ConfigStore::new(platform).propose(&mut history, &proposal);
            (history, verdict)
        });
        let verdict = match proposed.await {
            Ok((history, verdict)) => {
                self.adopt(history);
                verdict
            }
            Err(error) => Verdict::Unavailable(error.to_string()),
        };
        tracing::info!(event = "proposal", change = id, verdict = ?verdict);
        // The operator may have given up; asking again with the same id tells.
        drop(answer.send(verdict));
    }

    /// Sends an accepted change to the zone's hosts, and to one host of each other zone.
    fn push(self: &Rc<Self>, entry: &Entry) {
        for address in self.push_targets() {
            let client = self.client(address);
            let entry = entry.clone();
            spawn_local(async move {
                if let Err(error) = client.push(&entry).await {
                    tracing::debug!(event = "push_failed", %address, %error);
                }
            });
        }
    }

    /// Sends a change that came from another zone to the zone's hosts.
    pub fn push_in_zone(self: &Rc<Self>, entry: &Entry) {
        for address in self.zone_peers() {
            let client = self.client(address);
            let entry = entry.clone();
            spawn_local(async move { drop(client.push(&entry).await) });
        }
    }

    fn push_targets(&self) -> Vec<SocketAddr> {
        let others = self.other_zones();
        let key = format!("push/{}", self.me.entry.name);
        let one_each = others.values().filter_map(|hosts| {
            let names = hosts.iter().map(|host| host.name.as_str());
            let chosen = rendezvous::owner(&key, names)?;
            hosts.iter().find(|host| host.name == chosen)
        });
        let mut targets = self.zone_peers();
        targets.extend(one_each.map(|host| host.peer_address));
        targets
    }

    // --- the platform's list and the zone's roster ---

    async fn lists(self: Rc<Self>) {
        loop {
            let listed = self.worker.run(|platform| platform.hosts()).await;
            if let Ok(Ok(listed)) = listed {
                self.take_list(listed);
            }
            let every = match self.is_among("poll", POLLERS) {
                true => LIST_EVERY,
                false => LIST_EVERY_OTHERS,
            };
            sleep(every).await;
        }
    }

    fn take_list(&self, listed: Vec<ListedHost>) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.store_answered = Some(now);
        for host in &listed {
            if let Some(incarnation) = host.incarnation {
                let start = (host.entry.name.clone(), incarnation);
                state.last_listed.insert(start, now);
            }
        }
        state.listed = listed;
        drop(state);
        self.confirm_gone(now);
    }

    /// Starts that the list has not shown for longer than it lags are gone.
    fn confirm_gone(&self, now: Instant) {
        let lag = Duration::from_millis(self.config.host_list_lag_ms).max(LOAN_LAPSE * 2);
        let mut gone = Vec::new();
        self.state
            .borrow_mut()
            .last_listed
            .retain(|(host, incarnation), seen| {
                let is_gone = now.saturating_duration_since(*seen) > lag;
                if is_gone {
                    gone.push((host.clone(), *incarnation));
                }
                !is_gone
            });
        let mut ledger = self.shared.ledger();
        for (host, incarnation) in gone {
            tracing::info!(event = "host_gone", host, incarnation);
            ledger.confirm_gone(now, &host, incarnation);
        }
    }

    // --- views ---

    async fn publishes(self: Rc<Self>) {
        let mut timer = timer(PUBLISH_EVERY);
        let mut idle_ticks = 0;
        loop {
            timer.tick().await;
            let paused = self.state.borrow_mut().membership.tick(Instant::now());
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
            self.shared.tick();
            if busy || idle_ticks >= IDLE_TICKS {
                idle_ticks = 0;
                self.publish();
            }
        }
    }

    /// Makes a view of all that is known and gives it to the traffic threads.
    pub fn publish(&self) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        self.shared.tick();
        while let Ok(note) = self.notes.try_recv() {
            let report = Report {
                load: note.load,
                measured: note.heard,
            };
            state.beliefs.update(&note.zone, &note.service, report);
        }
        let replan = state.planned != state.history.revision();
        if replan {
            state.plan = Arc::new(state.plan.next(Arc::clone(state.history.document())));
            state.planned = state.history.revision();
            self.keep_counts(state);
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

    fn keep_counts(&self, state: &mut State) {
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
    fn believe_own_zone(&self, state: &mut State, now: Instant) {
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
        for pool in self.shared.gate.states() {
            let service = pool.pool.split('/').next().unwrap_or("").to_owned();
            add(sums.entry(service).or_default(), &pool.load);
        }
        sums.into_iter()
            .map(|(service, load)| ServiceLoad { service, load })
            .collect()
    }

    fn known_hosts(&self, state: &State, now: Instant) -> BTreeMap<String, Vec<HostEntry>> {
        let mut hosts: BTreeMap<String, Vec<HostEntry>> = BTreeMap::new();
        for host in state.listed.iter().filter(|host| !host.leaving) {
            hosts
                .entry(host.entry.zone.clone())
                .or_default()
                .push(host.entry.clone());
        }
        for (zone, held) in &state.summaries {
            let age = now.saturating_duration_since(held.measured);
            if age < SUMMARY_LAPSE && !held.summary.hosts.is_empty() {
                hosts.insert(zone.clone(), held.summary.hosts.clone());
            }
        }
        hosts.insert(self.me.entry.zone.clone(), state.membership.staying(now));
        hosts
    }

    /// Takes the pools that this host owns now, and lets go of the others.
    fn hold_pools(&self, view: &View, replan: bool) {
        let owned = view.owned_pools();
        self.shared.gate.retain(&owned);
        for service in view.plan.services.values() {
            let Some(zone) = service.zone(&self.me.entry.zone) else {
                continue;
            };
            for pool in &zone.pools {
                let held = self.shared.gate.has(&pool.key);
                let new = !held && owned.contains(&pool.key);
                if new || (held && replan) {
                    let unknown_for = Duration::from_millis(service.service.deadline_ms);
                    let limits = PoolLimits::from(&service.service);
                    self.shared
                        .gate
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
        let now = Instant::now();
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
        }
    }

    /// Takes another zone's summary, where it is newer than what is held.
    pub fn take_summary(&self, summary: ZoneSummary) {
        if summary.zone == self.me.entry.zone {
            return;
        }
        let Some(measured) = Instant::now().checked_sub(summary.age) else {
            return;
        };
        let state = &mut *self.state.borrow_mut();
        let held = state.summaries.get(&summary.zone);
        if held.is_some_and(|held| held.measured >= measured) {
            return;
        }
        for load in &summary.loads {
            let report = Report {
                load: load.load,
                measured,
            };
            state.beliefs.update(&summary.zone, &load.service, report);
        }
        let zone = summary.zone.clone();
        state
            .summaries
            .insert(zone, HeldSummary { summary, measured });
    }

    /// Takes the load that a host of the zone told.
    pub fn take_loads(&self, host: &HostName, loads: Vec<ServiceLoad>) {
        let heard = HeardLoads {
            heard: Instant::now(),
            loads,
        };
        self.state
            .borrow_mut()
            .heard_loads
            .insert(host.clone(), heard);
    }

    // --- other hosts ---

    /// Whether this host is among the first `count` of its zone for a task.
    pub fn is_among(&self, task: &str, count: usize) -> bool {
        let staying = self.state.borrow().membership.staying(Instant::now());
        let key = format!("{task}/{}", self.me.entry.zone);
        let ranked = rendezvous::rank(&key, staying.iter().map(|host| host.name.as_str()));
        ranked
            .iter()
            .take(count)
            .any(|name| *name == self.me.entry.name)
    }

    /// A client of the host with this peer address.
    pub fn client(&self, address: SocketAddr) -> Rc<PeerClient> {
        let make = || {
            let name = self.me.entry.name.clone();
            let key = Rc::clone(&self.key);
            Rc::new(PeerClient::new(
                address,
                name,
                self.incarnation,
                key,
                PEER_DEADLINE,
            ))
        };
        Rc::clone(
            self.clients
                .borrow_mut()
                .entry(address)
                .or_insert_with(make),
        )
    }

    /// Drops clients of addresses that nobody uses any more.
    pub fn drop_clients(&self, used: &[SocketAddr]) {
        self.clients
            .borrow_mut()
            .retain(|address, client| used.contains(address) || Rc::strong_count(client) > 1);
    }

    /// Peer addresses of the zone's other hosts, as far as they are known.
    pub fn zone_peers(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let present = state.membership.present(Instant::now());
        let listed = state.listed.iter().map(|host| &host.entry);
        let mut peers: Vec<SocketAddr> = present
            .iter()
            .chain(listed)
            .filter(|host| host.zone == self.me.entry.zone)
            .map(|host| host.peer_address)
            .filter(|address| *address != self.me.entry.peer_address)
            .collect();
        peers.sort();
        peers.dedup();
        peers
    }

    /// Known hosts of other zones.
    pub fn other_zones(&self) -> BTreeMap<String, Vec<HostEntry>> {
        let state = self.state.borrow();
        let mut hosts = self.known_hosts(&state, Instant::now());
        hosts.remove(&self.me.entry.zone);
        hosts
    }

    // --- operators ---

    fn in_force(&self) -> InForce {
        let state = self.state.borrow();
        InForce {
            revision: state.history.revision(),
            document: (**state.history.document()).clone(),
        }
    }

    fn status(&self) -> Status {
        let now = Instant::now();
        let state = self.state.borrow();
        let position = state.history.position();
        let silent_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let view = self.shared.view.load();
        let zones = view.plan.document.zones.iter().map(|zone| {
            let reports = view.plan.services.keys().filter_map(|service| {
                let report = state.beliefs.report(&zone.name, service)?;
                let load = ServiceLoad {
                    service: service.clone(),
                    load: report.load,
                };
                Some((silent_ms(report.measured), load))
            });
            let (ages, services): (Vec<u64>, Vec<ServiceLoad>) = reports.unzip();
            ZoneLoad {
                zone: zone.name.clone(),
                age_ms: ages.into_iter().max().unwrap_or(0),
                services,
            }
        });
        Status {
            host: self.me.entry.name.clone(),
            zone: self.me.entry.zone.clone(),
            incarnation: self.incarnation,
            revision: position.revision,
            digest: position.digest.clone(),
            leaving: view.leaving,
            store_silent_ms: state.store_answered.map(silent_ms),
            in_flight: self
                .shared
                .in_flight
                .load(std::sync::atomic::Ordering::Acquire),
            hosts: view.hosts.values().flatten().cloned().collect(),
            zones: zones.collect(),
            pools: self.pools(),
        }
    }

    fn pools(&self) -> Vec<PoolStatus> {
        let states = self.shared.gate.states();
        let pool = |state: ::caller::PoolState| PoolStatus {
            pool: state.pool,
            queued: state.load.queued,
            upstreams: state
                .upstreams
                .into_iter()
                .map(|member| UpstreamStatus {
                    name: member.name,
                    in_flight: member.in_flight,
                    allowed: member.allowed,
                    usable: member.usable,
                    latency_ms: member.latency_ms,
                })
                .collect(),
        };
        states.into_iter().map(pool).collect()
    }

    fn dump(&self) -> serde_json::Value {
        let now = Instant::now();
        let status = self.status();
        let state = self.state.borrow();
        let dump = Dump {
            status,
            members: state.membership.states(now),
            listed: &state.listed,
            roster: &state.roster,
            limits: self.shared.ledger().entries(now),
            pools: self.shared.gate.states(),
            spent_tickets: self.shared.spent().len(),
            open_connections: self
                .shared
                .open_connections
                .load(std::sync::atomic::Ordering::Acquire),
            block_bytes: state.plan.block_bytes(),
            document: Arc::clone(state.history.document()),
        };
        serde_json::to_value(dump).expect("dumps are valid JSON")
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

/// A timer that drops ticks it has missed.
pub fn timer(every: Duration) -> tokio::time::Interval {
    let mut timer = interval(every);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

fn listen(peers: TcpListener) -> std::io::Result<tokio::net::TcpListener> {
    peers.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(peers)
}

/// Reads or changes the zone's roster on the platform's thread.
pub async fn with_roster(
    worker: &Worker,
    zone: String,
    change: impl FnMut(&mut steering::limiter::Roster) + Send + 'static,
) -> Result<steering::limiter::Roster, String> {
    let updated = worker
        .run(move |platform| RosterStore::new(platform).update(&zone, change))
        .await;
    match updated {
        Ok(Ok(roster)) => Ok(roster),
        Ok(Err(error)) => Err(error.to_string()),
        Err(error) => Err(error.to_string()),
    }
}
