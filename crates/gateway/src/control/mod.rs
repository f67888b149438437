//! The control thread: keeps the state of routes, upstreams and hosts, and publishes views of it.

mod change_log;
mod feed_age;
mod feed_state;
mod feeds;
mod follower;
mod group;
mod host_list;
mod hosts;
mod incumbents;
mod known_state;
mod learn;
mod limits;
mod list_progress;
mod neighbors;
mod origin;
mod other_groups;
mod outage;
mod rollouts;
mod state_page;
mod tokens;
mod update_sender;
mod waits;
mod work_updates;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clock::SuspensionDetector;
use peer::{LocalHost, PeerClient};
use steering::ids::{HostName, Incarnation};
use steering::membership::HostEntry;
use steering::route::{Feed, HolderSelector, LimitTokens, Record, StoreClock, TokenPool};
use store::RecordStore;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::host::{Common, Stage};
use crate::limits::LimitCall;
use crate::suspects::PendingWorkUpdate;
pub(crate) use feed_age::FeedAge;
use follower::Follower;
use known_state::KnownState;
use list_progress::ListProgress;
use neighbors::Neighbors;
use outage::Outage;
use rollouts::CoordinatedRollouts;
use update_sender::UpdateSender;

/// Longest interval between checks for expired state. Other hosts are treated as failed after
/// several seconds of silence, so this interval adds little delay.
const MAX_EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// State of the control thread.
pub(crate) struct Control {
    common: Common,
    records: Box<dyn RecordStore>,
    this_host: HostEntry,
    incarnation: Incarnation,
    known_state: RefCell<KnownState>,
    routes: RefCell<Follower>,
    upstreams: RefCell<Follower>,
    hosts: RefCell<Follower>,
    outage: Outage,
    /// What this host has read of the list of hosts since its start.
    list_progress: watch::Sender<ListProgress>,
    /// Key shared by all hosts of the deployment; none until it is known.
    key: RefCell<Option<Rc<[u8]>>>,
    /// Identity and key for connections to other hosts; none until the shared key is known.
    local: RefCell<Option<LocalHost>>,
    /// Hosts with which this host exchanges messages; none before they are first needed.
    neighbors: RefCell<Option<Rc<Neighbors>>>,
    /// Clients of the hosts that receive heartbeats, updates or token requests.
    clients: RefCell<BTreeMap<HostName, Rc<PeerClient>>>,
    /// Updates that are being sent to other hosts.
    update_sender: UpdateSender,
    /// Roll-outs that this host coordinates.
    coordinated: RefCell<CoordinatedRollouts>,
    /// Notified when a record of the operators' rows was applied.
    routes_changed: Notify,
    /// Records of this host that its next update of the operators' rows carries.
    pending_routes: RefCell<Vec<Record>>,
    /// The store's time, learned while a roll-out is undecided.
    store_clock: RefCell<StoreClock>,
    /// Pools of customers' allowances that this host keeps.
    pool: RefCell<TokenPool>,
    /// Hosts of this host's zone that did not answer a token request, and when they were asked.
    unresponsive_zone_hosts: RefCell<BTreeMap<HostName, Instant>>,
    /// Shares of upstreams' rate limits that this host holds.
    limit_tokens: RefCell<LimitTokens>,
    /// Selects the holders of upstreams' rate limits that this host asks for tokens.
    holder_selector: RefCell<HolderSelector>,
    /// Number of heartbeats sent.
    heartbeats_sent: Cell<u64>,
}

/// Messages from the traffic thread to the control thread.
pub(crate) struct Incoming {
    /// Requests that wait for a token of an upstream's rate limit.
    pub limit_calls: UnboundedReceiver<LimitCall>,
    /// Updates about requests that crash upstreams, for other hosts.
    pub work_updates: UnboundedReceiver<PendingWorkUpdate>,
}

/// Runs until the host has stopped.
pub(crate) async fn run(
    common: Common,
    peers: TcpListener,
    records: Box<dyn RecordStore>,
    incoming: Incoming,
) {
    let settings = &common.settings;
    let this_host = HostEntry {
        name: settings.host.clone(),
        zone: settings.zone.clone(),
        caller_address: settings.caller_address,
        relay_address: settings.relay_address,
        peer_address: settings.peer_address,
        operator_address: settings.ready_address,
        capacity: settings.capacity,
    };
    let incarnation = rand::random();
    let may_have_lent = !common.settings.first_start;
    let control = Rc::new(Control {
        known_state: RefCell::new(KnownState::new(&common)),
        incarnation,
        pool: RefCell::new(TokenPool::new(incarnation, clock::now(), may_have_lent)),
        this_host,
        routes: RefCell::new(Follower::new(
            Feed::Routes,
            &common.settings,
            Arc::clone(&common.document_age),
        )),
        upstreams: RefCell::new(Follower::new(
            Feed::Upstreams,
            &common.settings,
            Arc::default(),
        )),
        hosts: RefCell::new(Follower::new(Feed::Hosts, &common.settings, Arc::default())),
        outage: Outage::default(),
        list_progress: watch::Sender::default(),
        key: RefCell::default(),
        local: RefCell::default(),
        neighbors: RefCell::default(),
        clients: RefCell::default(),
        update_sender: UpdateSender::default(),
        coordinated: RefCell::default(),
        routes_changed: Notify::new(),
        pending_routes: RefCell::default(),
        store_clock: RefCell::default(),
        unresponsive_zone_hosts: RefCell::default(),
        limit_tokens: RefCell::default(),
        holder_selector: RefCell::default(),
        heartbeats_sent: Cell::default(),
        records,
        common,
    });
    spawn_local(Rc::clone(&control).expire_periodically());
    spawn_local(Rc::clone(&control).serve_limits(incoming.limit_calls));
    spawn_local(Rc::clone(&control).send_work_updates(incoming.work_updates));
    let hosts = spawn_local(Rc::clone(&control).start(peers));
    let mut stage = control.common.stage.clone();
    let leaving = |stage: &Stage| *stage != Stage::Serving;
    if stage.wait_for(leaving).await.is_ok() {
        hosts.abort();
        control.leave().await;
    }
    // The state is kept up to date while the last requests are served. The channel closes when the
    // host has stopped.
    let _ = stage.wait_for(|stage| *stage == Stage::Ended).await;
}

impl Control {
    /// Follows the feeds and exchanges messages with other hosts until the task is aborted.
    async fn start(self: Rc<Self>, peers: TcpListener) {
        self.delay_first_start().await;
        for feed in [Feed::Hosts, Feed::Routes, Feed::Upstreams] {
            spawn_local(Rc::clone(&self).follow(feed));
        }
        self.maintain_tokens();
        spawn_local(Rc::clone(&self).run_rollouts());
        spawn_local(Rc::clone(&self).run_incumbents());
        let loading = Rc::clone(&self);
        spawn_local(async move { loading.load_refused_work().await });
        self.run_membership(peers).await;
    }

    /// Publishes a view of the current state.
    fn publish(&self) {
        let view = self.known_state.borrow_mut().view(clock::now());
        let before = self.common.view.swap(view.into());
        let view = self.common.view.load();
        let is_ready = view.is_ready();
        self.common
            .is_ready
            .send_if_modified(|known| std::mem::replace(known, is_ready) != is_ready);
        let services = &view.services;
        self.common.rollouts.retain(|service| {
            let pool = services.get(service);
            pool.is_some_and(|pool| pool.rollout.is_some())
        });
        if before.version != view.version {
            self.forget_customers(&view.customers);
        }
    }

    /// Publishes a new view when entries expire.
    async fn expire_periodically(self: Rc<Self>) {
        let mut suspensions = SuspensionDetector::new(Instant::now(), clock::now());
        loop {
            if let Some(suspended) = suspensions.check(Instant::now(), clock::now()) {
                self.resume(suspended);
            }
            let now = clock::now();
            let next = self.known_state.borrow().next_change(now);
            let next = next.map_or(MAX_EXPIRY_INTERVAL, |at| at - now);
            sleep(next.min(MAX_EXPIRY_INTERVAL)).await;
            let changed = self.known_state.borrow_mut().expire(clock::now());
            if changed {
                self.publish();
            }
            self.record_ages();
        }
    }

    /// Recovers after the machine was suspended, as after a pause of this process. Timers do not
    /// run during a suspension, so feeds that may be stale are checked at once.
    fn resume(&self, suspended: Duration) {
        let ms = suspended.as_millis() as u64;
        tracing::warn!(event = "suspended", ms);
        metrics::counter!("stagedeck_suspensions_total").increment(1);
        self.known_state
            .borrow_mut()
            .host_table
            .resume(clock::now());
        for feed in [Feed::Routes, Feed::Upstreams, Feed::Hosts] {
            self.with_follower(feed, |follower| follower.gap_attempted.notify_one());
        }
    }

    fn record_ages(&self) {
        let now = clock::now();
        for feed in [Feed::Routes, Feed::Upstreams, Feed::Hosts] {
            if let Some(age) = self.with_follower(feed, |follower| follower.poll_schedule.age(now))
            {
                metrics::gauge!("stagedeck_belief_age_seconds", "feed" => feed.to_string())
                    .set(age.as_secs_f64());
            }
        }
    }
}
