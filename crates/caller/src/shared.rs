//! State that the traffic threads of a host share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use steering::claim::{SpentLimits, SpentTickets};
use steering::ids::{ServiceName, ZoneName};
use steering::limiter::Ledger;
use steering::lookup::Directory;
use steering::pool::PoolLoad;
use steering::retry::RetryBudget;
use steering::ticket::Issuer;
use steering::view::View;
use upstream::Connections;

use crate::admission::PoolRegistry;
use crate::claims::Claims;

/// Bounds on the resources of a host that callers can use, set in the settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Open connections from callers and other hosts together.
    pub connections: u32,
    /// Requests in flight on this host; further ones are refused as `host_busy`.
    pub requests_in_flight: u32,
    /// Longest request head in bytes, at least 8192.
    pub head_bytes: usize,
    /// Most header fields of a request.
    pub header_fields: usize,
    /// Longest wait for a whole request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest pause of a sender or reader within a body, in milliseconds.
    pub stall_timeout_ms: u64,
    /// Bodies up to this size, in bytes, are buffered whole and can be sent again. Requests
    /// that must run at most once need a buffered body.
    pub hold_body_bytes: usize,
    /// Most used tickets and keys that are remembered.
    pub spent_tickets: usize,
    /// Largest response body that is kept for replay, in bytes.
    pub kept_answer_bytes: usize,
    /// Most bytes of all kept response bodies together.
    pub kept_answers_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 4_096,
            requests_in_flight: 2_048,
            head_bytes: 16_384,
            header_fields: 100,
            head_timeout_ms: 10_000,
            stall_timeout_ms: 30_000,
            hold_body_bytes: 65_536,
            spent_tickets: 100_000,
            kept_answer_bytes: 65_536,
            kept_answers_bytes: 32 << 20,
        }
    }
}

/// Settings of the traffic threads.
pub struct SharedConfig {
    /// Bounds on the resources that callers can use.
    pub limits: Limits,
    /// Secret key shared by all hosts of the deployment; authenticates relayed requests.
    pub peer_key: Vec<u8>,
    /// Time that callers may cache the result of a look-up.
    pub look_up_ttl: Duration,
    /// Time from the issue of a ticket to its expiry.
    pub ticket_ttl: Duration,
}

/// Load of a service in another zone, as read from a relay response.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadObservation {
    /// Availability zone of the pool.
    pub zone: ZoneName,
    /// Service of the pool.
    pub service: ServiceName,
    /// Load of the pool that admitted the request.
    pub load: PoolLoad,
    /// When the response arrived.
    pub received: Instant,
}

/// State that the traffic threads of a host share.
pub struct SharedState {
    /// Settings of the traffic threads.
    pub config: SharedConfig,
    /// The view that the control thread published last.
    pub view: ArcSwap<View>,
    /// Hosts by distance for look-ups, derived from `view`.
    pub directory: ArcSwap<Directory>,
    /// Connection pools to upstreams and to other hosts.
    pub connections: Connections,
    /// Upstream pools for which this host decides on admission.
    pub pools: PoolRegistry,
    /// Issues and verifies the tickets of this incarnation.
    pub issuer: Issuer,
    /// Claims and receipts of at-most-once requests in the platform's store.
    pub claims: Arc<dyn Claims>,
    /// When this incarnation started.
    pub started: Instant,
    /// Open connections from callers and other hosts.
    pub open_connections: AtomicU32,
    /// Requests in flight on this host.
    pub in_flight: AtomicU32,
    /// Set when the host shuts down gracefully.
    pub leaving: AtomicBool,
    control_tick_ms: AtomicU64,
    spent: Mutex<SpentTickets>,
    ledger: Mutex<Ledger>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    observations: Sender<LoadObservation>,
}

impl SharedState {
    /// Creates the state of a new incarnation; `observations` lead to the control thread.
    pub fn new(
        config: SharedConfig,
        view: View,
        issuer: Issuer,
        claims: Arc<dyn Claims>,
        observations: Sender<LoadObservation>,
    ) -> Self {
        let spent = SpentLimits {
            count: config.limits.spent_tickets,
            bytes: config.limits.kept_answers_bytes,
        };
        SharedState {
            directory: ArcSwap::from_pointee(Directory::new(&view)),
            ledger: Mutex::new(Ledger::new(view.me.name.clone(), view.incarnation)),
            view: ArcSwap::from_pointee(view),
            connections: Connections::default(),
            pools: PoolRegistry::default(),
            issuer,
            claims,
            started: clock::now(),
            open_connections: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            control_tick_ms: AtomicU64::new(0),
            spent: Mutex::new(SpentTickets::new(spent)),
            budgets: Mutex::default(),
            observations,
            config,
        }
    }

    /// Replaces the view; only the control thread calls this.
    ///
    /// The directory is rebuilt if hosts or distances may have changed.
    pub fn publish(&self, view: View) {
        let last = self.view.load();
        if last.hosts != view.hosts || last.revision != view.revision {
            self.directory.store(Arc::new(Directory::new(&view)));
        }
        self.view.store(Arc::new(view));
    }

    /// Records that the control thread is running.
    pub fn record_control_tick(&self) {
        let since_start_ms = clock::elapsed(self.started).as_millis() as u64;
        self.control_tick_ms
            .store(since_start_ms, Ordering::Release);
    }

    /// Time since the last tick of the control thread.
    pub fn control_tick_age(&self) -> Duration {
        let last = Duration::from_millis(self.control_tick_ms.load(Ordering::Acquire));
        clock::elapsed(self.started).saturating_sub(last)
    }

    /// Used tickets and keys, with the outcomes of their requests.
    pub fn spent(&self) -> MutexGuard<'_, SpentTickets> {
        lock(&self.spent)
    }

    /// The host's shares of its zone's limits.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    /// Calls `with` on the retry budget of a service.
    pub fn with_budget<T>(&self, service: &str, with: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), RetryBudget::default());
        }
        with(budgets.get_mut(service).expect("it was inserted above"))
    }

    /// Sends the load of a service in another zone to the control thread.
    pub fn record_load(&self, observation: LoadObservation) {
        // The send fails only after the control thread has ended, while the host shuts down.
        let _ = self.observations.send(observation);
    }
}

/// Locks a mutex, also after a panic of its holder: no update leaves the value inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
