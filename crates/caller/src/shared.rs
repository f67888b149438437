//! What the traffic threads of a host share.

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

use crate::admission::Gate;
use crate::claims::Claims;

/// Bounds on what callers can make a host hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections from callers, and from other hosts, at the same time.
    pub connections: u32,
    /// Requests in flight on this host.
    pub requests_in_flight: u32,
    /// Bytes of a request's head, at least 8192.
    pub head_bytes: usize,
    /// Header fields of a request.
    pub header_fields: usize,
    /// Longest wait for a whole request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest silence of a sender or reader in the middle of a body, in milliseconds.
    pub stall_timeout_ms: u64,
    /// Bodies up to this size are held whole, and can be sent again.
    pub hold_body_bytes: usize,
    /// Spent tickets remembered.
    pub spent_tickets: usize,
    /// Largest answer that is kept with a spent ticket, in bytes.
    pub kept_answer_bytes: usize,
    /// Bytes of all answers kept.
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

/// What a host's traffic is made with.
pub struct SharedConfig {
    /// Bounds.
    pub limits: Limits,
    /// Key that this deployment's hosts share.
    pub peer_key: Vec<u8>,
    /// Time that callers may use a look-up's answer.
    pub look_up_ttl: Duration,
    /// Time that tickets are good for.
    pub ticket_ttl: Duration,
}

/// Load of a place, as an answer from there told it.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadNote {
    /// The place.
    pub zone: ZoneName,
    /// The service.
    pub service: ServiceName,
    /// Its load.
    pub load: PoolLoad,
    /// When the answer came.
    pub heard: Instant,
}

/// State that the traffic threads of a host share.
pub struct Shared {
    /// What it is made with.
    pub config: SharedConfig,
    /// The control thread's last view.
    pub view: ArcSwap<View>,
    /// Made from the last view.
    pub directory: ArcSwap<Directory>,
    /// Connections to upstreams and to other hosts.
    pub connections: Connections,
    /// Pools that this host admits to.
    pub gate: Gate,
    /// Tickets of this start.
    pub issuer: Issuer,
    /// The platform's claims.
    pub claims: Arc<dyn Claims>,
    /// The start, by the monotonic clock.
    pub started: Instant,
    /// Open connections of callers and hosts.
    pub open_connections: AtomicU32,
    /// Requests in flight.
    pub in_flight: AtomicU32,
    /// Whether this host is leaving.
    pub leaving: AtomicBool,
    control_tick_ms: AtomicU64,
    spent: Mutex<SpentTickets>,
    ledger: Mutex<Ledger>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    notes: Sender<LoadNote>,
}

impl Shared {
    /// Makes the state of a start.
    pub fn new(
        config: SharedConfig,
        view: View,
        issuer: Issuer,
        claims: Arc<dyn Claims>,
        notes: Sender<LoadNote>,
    ) -> Self {
        let spent = SpentLimits {
            count: config.limits.spent_tickets,
            bytes: config.limits.kept_answers_bytes,
        };
        Shared {
            directory: ArcSwap::from_pointee(Directory::new(&view)),
            ledger: Mutex::new(Ledger::new(view.me.name.clone(), view.incarnation)),
            view: ArcSwap::from_pointee(view),
            connections: Connections::default(),
            gate: Gate::default(),
            issuer,
            claims,
            started: clock::now(),
            open_connections: AtomicU32::new(0),
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            control_tick_ms: AtomicU64::new(0),
            spent: Mutex::new(SpentTickets::new(spent)),
            budgets: Mutex::default(),
            notes,
            config,
        }
    }

    /// Replaces the view; only the control thread does so. The directory is made
    /// anew where hosts or distances may have changed.
    pub fn publish(&self, view: View) {
        let last = self.view.load();
        if last.hosts != view.hosts || last.revision != view.revision {
            self.directory.store(Arc::new(Directory::new(&view)));
        }
        self.view.store(Arc::new(view));
    }

    /// The control thread says that it runs.
    pub fn tick(&self) {
        let since_start_ms = clock::elapsed(self.started).as_millis() as u64;
        self.control_tick_ms
            .store(since_start_ms, Ordering::Release);
    }

    /// Time since the control thread last said that it runs.
    pub fn control_silence(&self) -> Duration {
        let last = Duration::from_millis(self.control_tick_ms.load(Ordering::Acquire));
        clock::elapsed(self.started).saturating_sub(last)
    }

    /// Spent tickets.
    pub fn spent(&self) -> MutexGuard<'_, SpentTickets> {
        lock(&self.spent)
    }

    /// Limits of this host's zone.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    /// Lets `with` use the retry budget of a service.
    pub fn with_budget<T>(&self, service: &str, with: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), RetryBudget::default());
        }
        with(budgets.get_mut(service).expect("it was inserted above"))
    }

    /// Tells the control thread of a load that an answer told.
    pub fn note(&self, note: LoadNote) {
        // The control thread ends only with the process.
        let _ = self.notes.send(note);
    }
}

/// Locks; what a panicking holder left is still good: every update is whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
