//! A bounded queue that lets the request with the least slack go first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Identity of a waiting request in its pool; never 0.
pub type WaitId = u64;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Latest start that still makes the deadline.
    pub latest_start: Instant,
    /// Priority of its service; higher is evicted later.
    pub priority: u8,
}

/// The queue; `order` and `waits` always hold the same requests.
#[derive(Debug)]
pub struct WaitQueue {
    limit: usize,
    next: WaitId,
    order: BTreeSet<(Instant, WaitId)>,
    waits: BTreeMap<WaitId, Wait>,
    evicted: Vec<WaitId>,
}

impl WaitQueue {
    /// A queue of at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        WaitQueue {
            limit,
            next: 1,
            order: BTreeSet::new(),
            waits: BTreeMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Changes the limit; what waits stays.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a request; a full queue evicts one of lower priority, or takes none.
    pub fn push(&mut self, latest_start: Instant, priority: u8) -> Option<WaitId> {
        if self.len() >= self.limit {
            let victim = self.least_important(priority)?;
            self.remove(victim);
            self.evicted.push(victim);
        }
        let id = self.next;
        self.next += 1;
        self.order.insert((latest_start, id));
        let wait = Wait {
            latest_start,
            priority,
        };
        self.waits.insert(id, wait);
        Some(id)
    }

    /// The request with the least slack.
    pub fn peek(&self) -> Option<WaitId> {
        self.order.first().map(|(_, id)| *id)
    }

    /// Takes a request out; false where it is not there.
    pub fn remove(&mut self, id: WaitId) -> bool {
        let Some(wait) = self.waits.remove(&id) else {
            return false;
        };
        self.order.remove(&(wait.latest_start, id));
        true
    }

    /// Takes out what can't make its deadline any more.
    pub fn drain_late(&mut self, now: Instant) -> Vec<WaitId> {
        let late: Vec<WaitId> = self
            .order
            .iter()
            .take_while(|(latest_start, _)| *latest_start < now)
            .map(|(_, id)| *id)
            .collect();
        for id in &late {
            self.remove(*id);
        }
        late
    }

    /// What was evicted since the last call.
    pub fn drain_evicted(&mut self) -> Vec<WaitId> {
        std::mem::take(&mut self.evicted)
    }

    fn least_important(&self, below: u8) -> Option<WaitId> {
        self.waits
            .iter()
            .filter(|(_, wait)| wait.priority < below)
            .min_by_key(|(_, wait)| (wait.priority, std::cmp::Reverse(wait.latest_start)))
            .map(|(id, _)| *id)
    }
}
