//! The control thread: keeps configuration, membership and load, and publishes them as views.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use ::caller::{LoadObservation, SharedState};
use peer::{LocalHost, PeerClient, PeerServer};
use steering::history::History;
use steering::ids::Incarnation;
use steering::limiter::LOAN_LAPSE;
use steering::membership::{HostEntry, Membership};
use steering::rendezvous;
use store::{ListedHost, RosterStore, Worker};
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::handler::Handler;
use super::state::{Command, State};
use crate::config::Config;

/// Time between two reads of the platform's host list by the pollers of a zone.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of the platform's host list by the other hosts.
const HOST_LIST_INTERVAL_OTHERS: Duration = Duration::from_secs(15);
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a new host serves although it has reached neither the platform nor other
/// hosts.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Hosts of each zone that poll the platform for new configurations.
pub const POLLERS_PER_ZONE: usize = 2;
pub const PEER_DEADLINE: Duration = Duration::from_millis(1_000);

/// Parameters of the control thread.
pub struct ControlParts {
    pub config: Config,
    pub shared: Arc<SharedState>,
    pub worker: Worker,
    pub me: ListedHost,
    pub incarnation: Incarnation,
    pub commands: mpsc::UnboundedReceiver<Command>,
    pub observations: Receiver<LoadObservation>,
    pub ready: watch::Sender<bool>,
}

/// State that the tasks of the control thread share.
pub struct Control {
    pub config: Config,
    pub shared: Arc<SharedState>,
    pub worker: Worker,
    pub me: ListedHost,
    pub incarnation: Incarnation,
    pub state: RefCell<State>,
    /// Identity of this host, shared by its connections to other hosts.
    pub local: LocalHost,
    clients: RefCell<HashMap<SocketAddr, Rc<PeerClient>>>,
    pub observations: Receiver<LoadObservation>,
    ready: watch::Sender<bool>,
}

impl Control {
    /// Runs until [`Command::End`] arrives.
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
        let now = clock::now();
        let membership = Membership::new(parts.me.entry.clone(), parts.incarnation, now);
        let local = LocalHost {
            host: parts.me.entry.clone(),
            incarnation: parts.incarnation,
            key: parts.config.peer_key.as_bytes().into(),
            names: Rc::default(),
            traffic: Rc::default(),
        };
        let control = Rc::new(Control {
            local,
            config: parts.config,
            shared: parts.shared,
            worker: parts.worker,
            me: parts.me,
            incarnation: parts.incarnation,
            clients: RefCell::default(),
            observations: parts.observations,
            ready: parts.ready,
            state: RefCell::new(State {
                history: History::default(),
                plan: Arc::default(),
                plan_revision: 0,
                membership,
                load_reports: Default::default(),
                known_zones: HashMap::new(),
                received_loads: HashMap::new(),
                listed: Vec::new(),
                last_listed: HashMap::new(),
                roster: Default::default(),
                own_in_flight: HashMap::new(),
                store_answered_at: None,
                host_list_read: false,
            }),
        });
        control.publish();
        match listen(peers) {
            Ok(peers) => {
                let handler = Rc::new(Handler(Rc::clone(&control)));
                spawn_local(PeerServer::new(control.local.clone(), handler).run(peers));
            }
            Err(error) => tracing::error!(event = "peers_failed", %error),
        }
        spawn_local(Rc::clone(&control).register());
        spawn_local(Rc::clone(&control).heartbeat_loop());
        spawn_local(Rc::clone(&control).exchange_loop());
        spawn_local(Rc::clone(&control).poll_loop());
        spawn_local(Rc::clone(&control).host_list_loop());
        spawn_local(Rc::clone(&control).loan_loop());
        spawn_local(Rc::clone(&control).roster_loop());
        spawn_local(Rc::clone(&control).publish_loop());
        spawn_local(Rc::clone(&control).become_ready());
        while let Some(command) = commands.recv().await {
            match command {
                Command::End => break,
                other => control.handle_command(other),
            }
        }
    }

    fn handle_command(self: &Rc<Self>, command: Command) {
        // A failed send is ignored: the thread that asked no longer waits.
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
                self.send_heartbeats();
                spawn_local(Rc::clone(self).register());
            }
            Command::End => {}
        }
    }

    /// Lets the host serve callers once it knows the configuration and has discovered others.
    ///
    /// An answer of the platform that there is no configuration yet suffices; no answer does
    /// not.
    async fn become_ready(self: Rc<Self>) {
        loop {
            let has_revision = self.state.borrow().history.revision() > 0;
            let store_answered = self.state.borrow().store_answered_at.is_some();
            if has_revision || store_answered {
                break;
            }
            self.poll().await;
            sleep(STARTUP_RETRY_DELAY).await;
        }
        let started_at = clock::now();
        while !self.has_discovered_others() && clock::elapsed(started_at) < DISCOVERY_TIMEOUT {
            sleep(STARTUP_RETRY_DELAY).await;
        }
        self.publish();
        let _ = self.ready.send(true);
        let revision = self.state.borrow().history.revision();
        tracing::info!(event = "ready", host = self.me.entry.name, revision);
    }

    /// Whether the host has discovered the other hosts, or that there are none. Before that it
    /// would refuse requests that they could serve.
    fn has_discovered_others(&self) -> bool {
        let state = self.state.borrow();
        state.host_list_read || !state.known_zones.is_empty()
    }

    /// Registers this incarnation with the platform; retries until this succeeds.
    async fn register(self: Rc<Self>) {
        loop {
            let mut me = self.me.clone();
            me.leaving = self
                .shared
                .leaving
                .load(std::sync::atomic::Ordering::Acquire);
            let registered = self
                .worker
                .run(move |platform| platform.register(&me))
                .await;
            if let Ok(Ok(())) = registered {
                return;
            }
            sleep(STARTUP_RETRY_DELAY).await;
        }
    }

    /// Reads the platform's host list at regular intervals.
    pub async fn host_list_loop(self: Rc<Self>) {
        loop {
            let listed = self.worker.run(|platform| platform.hosts()).await;
            if let Ok(Ok(listed)) = listed {
                self.update_host_list(listed);
            }
            let host_list_read = self.state.borrow().host_list_read;
            let interval = match self.is_among_first("poll", POLLERS_PER_ZONE) {
                _ if !host_list_read => STARTUP_RETRY_DELAY,
                true => HOST_LIST_INTERVAL,
                false => HOST_LIST_INTERVAL_OTHERS,
            };
            sleep(interval).await;
        }
    }

    /// Stores the platform's host list that was just read.
    pub fn update_host_list(&self, listed: Vec<ListedHost>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.store_answered_at = Some(now);
        state.host_list_read = true;
        for host in &listed {
            if let Some(incarnation) = host.incarnation {
                let key = (host.entry.name.clone(), incarnation);
                state.last_listed.insert(key, now);
            }
        }
        state.listed = listed;
        drop(state);
        self.confirm_gone(now);
    }

    /// Reports incarnations as gone that the platform has not listed for longer than its list
    /// may lag.
    pub fn confirm_gone(&self, now: Instant) {
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

    /// Whether this host ranks among the first `count` hosts of its zone for a task.
    pub fn is_among_first(&self, task: &str, count: usize) -> bool {
        let accepting_hosts = self.state.borrow().membership.accepting_hosts(clock::now());
        let key = format!("{task}/{}", self.me.entry.zone);
        let ranked = rendezvous::rank(&key, accepting_hosts.iter().map(|host| host.name.as_str()));
        ranked
            .iter()
            .take(count)
            .any(|name| *name == self.me.entry.name)
    }

    /// The client for the host with this peer address, created on first use.
    pub fn client(&self, address: SocketAddr) -> Rc<PeerClient> {
        let make = || {
            let local = self.local.clone();
            Rc::new(PeerClient::new(address, local, PEER_DEADLINE))
        };
        Rc::clone(
            self.clients
                .borrow_mut()
                .entry(address)
                .or_insert_with(make),
        )
    }

    /// Removes clients of addresses that are not in `used` and have no call in progress.
    pub fn drop_clients(&self, used: &[SocketAddr]) {
        self.clients
            .borrow_mut()
            .retain(|address, client| used.contains(address) || Rc::strong_count(client) > 1);
    }

    /// Peer addresses of the other hosts of the zone that are known from heartbeats or from the
    /// platform's list.
    pub fn zone_peers(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let live_hosts = state.membership.live_hosts(clock::now());
        let listed = state.listed.iter().map(|host| &host.entry);
        let mut peers: Vec<SocketAddr> = live_hosts
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

    /// Known hosts of other zones, by zone.
    pub fn other_zones(&self) -> BTreeMap<String, Vec<HostEntry>> {
        let state = self.state.borrow();
        let mut hosts = self.known_hosts(&state, clock::now());
        hosts.remove(&self.me.entry.zone);
        hosts
    }
}

/// A timer that does not make up for missed ticks.
pub fn timer(period: Duration) -> tokio::time::Interval {
    let mut timer = interval(period);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

fn listen(peers: TcpListener) -> std::io::Result<tokio::net::TcpListener> {
    peers.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(peers)
}

/// Reads or changes the zone's roster in the platform's store, on the worker's thread.
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
