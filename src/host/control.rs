//! The control thread: configuration, membership and load, published as views.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use ::caller::{LoadObservation, SharedState};
use peer::{Local, PeerClient, PeerServer};
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

const LIST_EVERY: Duration = Duration::from_secs(2);
const LIST_EVERY_OTHERS: Duration = Duration::from_secs(15);
const START_RETRY: Duration = Duration::from_millis(100);
/// A start that is cut off from the platform and from all others serves after this.
const OTHERS_LIMIT: Duration = Duration::from_secs(5);
/// Hosts of a zone that poll the platform.
pub const POLLERS: usize = 2;
pub const PEER_DEADLINE: Duration = Duration::from_millis(1_000);

/// What the control thread is made with.
pub struct ControlParts {
    pub config: Config,
    pub shared: Arc<SharedState>,
    pub worker: Worker,
    pub me: ListedHost,
    pub incarnation: Incarnation,
    pub commands: mpsc::UnboundedReceiver<Command>,
    pub notes: Receiver<LoadObservation>,
    pub ready: watch::Sender<bool>,
}

/// The control thread's tasks share this.
pub struct Control {
    pub config: Config,
    pub shared: Arc<SharedState>,
    pub worker: Worker,
    pub me: ListedHost,
    pub incarnation: Incarnation,
    pub state: RefCell<State>,
    /// This host, as its connections to others share it.
    pub local: Local,
    clients: RefCell<HashMap<SocketAddr, Rc<PeerClient>>>,
    pub notes: Receiver<LoadObservation>,
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
        let now = clock::now();
        let membership = Membership::new(parts.me.entry.clone(), parts.incarnation, now);
        let local = Local {
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
                list_answered: false,
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
        let begun = clock::now();
        while !self.knows_others() && clock::elapsed(begun) < OTHERS_LIMIT {
            sleep(START_RETRY).await;
        }
        self.publish();
        let _ = self.ready.send(true);
        let revision = self.state.borrow().history.revision();
        tracing::info!(event = "ready", host = self.me.entry.name, revision);
    }

    /// Whether it has heard of other hosts, or that there are none: without them it
    /// would refuse what they can answer.
    fn knows_others(&self) -> bool {
        let state = self.state.borrow();
        state.list_answered || !state.summaries.is_empty()
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

    pub async fn lists(self: Rc<Self>) {
        loop {
            let listed = self.worker.run(|platform| platform.hosts()).await;
            if let Ok(Ok(listed)) = listed {
                self.take_list(listed);
            }
            let answered = self.state.borrow().list_answered;
            let every = match self.is_among("poll", POLLERS) {
                _ if !answered => START_RETRY,
                true => LIST_EVERY,
                false => LIST_EVERY_OTHERS,
            };
            sleep(every).await;
        }
    }

    pub fn take_list(&self, listed: Vec<ListedHost>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.store_answered = Some(now);
        state.list_answered = true;
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

    /// Whether this host is among the first `count` of its zone for a task.
    pub fn is_among(&self, task: &str, count: usize) -> bool {
        let staying = self.state.borrow().membership.staying(clock::now());
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

    /// Drops clients of addresses that nobody uses any more.
    pub fn drop_clients(&self, used: &[SocketAddr]) {
        self.clients
            .borrow_mut()
            .retain(|address, client| used.contains(address) || Rc::strong_count(client) > 1);
    }

    /// Peer addresses of the zone's other hosts, as far as they are known.
    pub fn zone_peers(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let present = state.membership.present(clock::now());
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
        let mut hosts = self.known_hosts(&state, clock::now());
        hosts.remove(&self.me.entry.zone);
        hosts
    }
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
