//! A bounded queue, ordered by the slack to the deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Identifier of a waiting request in its pool; never 0.
pub type WaitId = u64;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Latest start that still meets the deadline.
    pub latest_start: Instant,
    /// Priority of the request's service; lower priorities are evicted first.
    pub priority: u8,
}

/// The queue; `order` and `waits` always contain the same requests.
#[derive(Debug)]
pub struct WaitQueue {
    limit: usize,
    next: WaitId,
    order: BTreeSet<(Instant, WaitId)>,
    waits: BTreeMap<WaitId, Wait>,
    evicted: Vec<WaitId>,
}

impl WaitQueue {
    /// Creates a queue of at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        WaitQueue {
            limit,
            next: 1,
            order: BTreeSet::new(),
            waits: BTreeMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Changes the limit; requests already waiting remain.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a request. A full queue evicts a request of lower priority; if there is none, it
    /// returns `None`.
    pub fn push(&mut self, latest_start: Instant, priority: u8) -> Option<WaitId> {
        if self.len() >= self.limit {
            let evicted = self.least_important(priority)?;
            self.remove(evicted);
            self.evicted.push(evicted);
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

    /// Removes a request; false if it is not in the queue.
    pub fn remove(&mut self, id: WaitId) -> bool {
        let Some(wait) = self.waits.remove(&id) else {
            return false;
        };
        self.order.remove(&(wait.latest_start, id));
        true
    }

    /// Removes and returns the requests that cannot meet their deadline any more.
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

    /// Returns the requests evicted since the last call.
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
