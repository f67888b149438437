//! The control thread: keeps the state of routes, upstreams and hosts, and publishes views of it.

mod beliefs;
mod feeds;
mod follower;
mod group;
mod heard;
mod hosts;
mod learn;
mod limits;
mod origin;
mod outage;
mod telling;
mod tokens;
mod waits;
mod works;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clock::Suspensions;
use peer::{Local, PeerClient};
use steering::ids::{HostName, Incarnation};
use steering::membership::HostEntry;
use steering::route::{Feed, LimitAsks, LimitTokens, TokenPool};
use store::Records;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::host::{Common, Stage};
use crate::limits::LimitCall;
use crate::suspects::FreshNews;
use beliefs::Beliefs;
use follower::Follower;
pub(crate) use heard::Heard;
use outage::Outage;
use telling::Telling;

/// Longest interval between checks for expired state. Other hosts are treated as failed after
/// several seconds of silence, so this interval adds little delay.
const LOOK_AT_TIMES_EVERY: Duration = Duration::from_millis(500);

/// State of the control thread.
pub(crate) struct Control {
    common: Common,
    records: Box<dyn Records>,
    me: HostEntry,
    incarnation: Incarnation,
    beliefs: RefCell<Beliefs>,
    routes: RefCell<Follower>,
    upstreams: RefCell<Follower>,
    hosts: RefCell<Follower>,
    outage: Outage,
    /// Whether the first request for the list of hosts has completed, successfully or not.
    list_asked: watch::Sender<bool>,
    /// Key shared by all hosts of the deployment; none until it is known.
    key: RefCell<Option<Rc<[u8]>>>,
    /// Identity and key for connections to other hosts; none until the shared key is known.
    local: RefCell<Option<Local>>,
    /// Clients of the hosts that receive heartbeats, updates or token requests.
    clients: RefCell<BTreeMap<HostName, Rc<PeerClient>>>,
    /// Updates that are being sent to other hosts.
    telling: Telling,
    /// Pools of customers' allowances that this host keeps.
    pool: RefCell<TokenPool>,
    /// Hosts of the own zone that did not answer a token request, and when they were asked.
    silent_near: RefCell<BTreeMap<HostName, Instant>>,
    /// Shares of upstreams' rate limits that this host holds.
    limit_tokens: RefCell<LimitTokens>,
    /// State of this host's requests to the holders of upstreams' rate limits.
    limit_asks: RefCell<LimitAsks>,
    /// Number of heartbeats sent.
    beats: Cell<u64>,
}

/// Messages from the traffic thread to the control thread.
pub(crate) struct Incoming {
    /// Requests that wait for a token of an upstream's rate limit.
    pub limit_calls: UnboundedReceiver<LimitCall>,
    /// Updates about requests that crash upstreams, for other hosts.
    pub work_news: UnboundedReceiver<FreshNews>,
}

/// Runs until the host has stopped.
pub(crate) async fn run(
    common: Common,
    peers: TcpListener,
    records: Box<dyn Records>,
    incoming: Incoming,
) {
    let settings = &common.settings;
    let me = HostEntry {
        name: settings.host.clone(),
        zone: settings.zone.clone(),
        caller_address: settings.caller_address,
        // Hosts that serve routes do not relay requests to each other.
        relay_address: settings.caller_address,
        peer_address: settings.peer_address,
        operator_address: settings.ready_address,
    };
    let incarnation = rand::random();
    let may_have_lent = !common.settings.first_start;
    let control = Rc::new(Control {
        beliefs: RefCell::new(Beliefs::new(&common)),
        incarnation,
        pool: RefCell::new(TokenPool::new(incarnation, clock::now(), may_have_lent)),
        me,
        routes: RefCell::new(Follower::new(
            Feed::Routes,
            &common.settings,
            Arc::clone(&common.heard),
        )),
        upstreams: RefCell::new(Follower::new(
            Feed::Upstreams,
            &common.settings,
            Arc::default(),
        )),
        hosts: RefCell::new(Follower::new(Feed::Hosts, &common.settings, Arc::default())),
        outage: Outage::default(),
        list_asked: watch::Sender::default(),
        key: RefCell::default(),
        local: RefCell::default(),
        clients: RefCell::default(),
        telling: Telling::default(),
        silent_near: RefCell::default(),
        limit_tokens: RefCell::default(),
        limit_asks: RefCell::default(),
        beats: Cell::default(),
        records,
        common,
    });
    spawn_local(Rc::clone(&control).look_at_times());
    spawn_local(Rc::clone(&control).serve_limits(incoming.limit_calls));
    spawn_local(Rc::clone(&control).tell_works(incoming.work_news));
    let hosts = spawn_local(Rc::clone(&control).begin(peers));
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
    async fn begin(self: Rc<Self>, peers: TcpListener) {
        self.wait_for_turn().await;
        for feed in [Feed::Hosts, Feed::Routes, Feed::Upstreams] {
            spawn_local(Rc::clone(&self).follow(feed));
        }
        self.keep_tokens();
        let learning = Rc::clone(&self);
        spawn_local(async move { learning.learn_works_at_start().await });
        self.meet_hosts(peers).await;
    }

    /// Publishes a view of the current state.
    fn publish(&self) {
        let view = self.beliefs.borrow_mut().view(clock::now());
        let before = self.common.view.swap(view.into());
        let view = self.common.view.load();
        if before.version != view.version {
            self.forget_customers(&view.customers);
        }
    }

    /// Publishes a new view when entries expire.
    async fn look_at_times(self: Rc<Self>) {
        let mut suspensions = Suspensions::new(Instant::now(), clock::now());
        loop {
            if let Some(suspended) = suspensions.look(Instant::now(), clock::now()) {
                self.resume(suspended);
            }
            let now = clock::now();
            let next = self.beliefs.borrow().changes_at(now);
            let next = next.map_or(LOOK_AT_TIMES_EVERY, |at| at - now);
            sleep(next.min(LOOK_AT_TIMES_EVERY)).await;
            let changed = self.beliefs.borrow_mut().expire(clock::now());
            if changed {
                self.publish();
            }
            self.count_ages();
        }
    }

    /// Recovers after the machine was suspended, as after a pause of this process. Timers do not
    /// run during a suspension, so feeds that may be stale are checked at once.
    fn resume(&self, suspended: Duration) {
        let ms = suspended.as_millis() as u64;
        tracing::warn!(event = "suspended", ms);
        metrics::counter!("stagedeck_suspensions_total").increment(1);
        self.beliefs.borrow_mut().roll.resume(clock::now());
        for feed in [Feed::Routes, Feed::Upstreams, Feed::Hosts] {
            self.follower(feed, |own| own.gap_tried.notify_one());
        }
    }

    fn count_ages(&self) {
        let now = clock::now();
        for feed in [Feed::Routes, Feed::Upstreams, Feed::Hosts] {
            if let Some(age) = self.follower(feed, |own| own.lead.age(now)) {
                metrics::gauge!("stagedeck_belief_age_seconds", "feed" => feed.to_string())
                    .set(age.as_secs_f64());
            }
        }
    }
}
