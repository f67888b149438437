//! The other hosts, and which of them this host receives heartbeats from.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::feed::{Changes, Record};
use super::host_condition::{HostCondition, MAX_CONDITION_AGE};
use super::host_list::HostList;
use crate::ids::{HostName, Incarnation};
use crate::membership::HostEntry;

/// Silence after which a host is no longer advertised to callers. Operators allow 3 s
/// beyond the time in which a host counts as out of contact, at least 6 s in all.
const ADVERTISED_FOR: Duration = Duration::from_millis(3_500);
/// Silence after which a host no longer counts in shared limits.
const COUNTED_FOR: Duration = Duration::from_secs(20);

/// Time for which this host uses its share of limits after its row has left the list: it
/// serves for some seconds while it shuts down. Half of the time for which the other hosts
/// count it.
const OWN_SHARE_KEPT_FOR: Duration = Duration::from_secs(10);

/// Silence of a heartbeat partner after which its row may be removed from the store's list.
const LOST_AFTER: Duration = Duration::from_secs(60);

/// Another host.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownHost {
    /// Zone and addresses of the host.
    pub entry: HostEntry,
    /// Incarnation in its last heartbeat; `None` before the first one.
    pub incarnation: Option<Incarnation>,
    last_heard: Option<Instant>,
    /// Time at which the host was last heard, or else became known.
    last_seen: Instant,
    /// Whether the store's list has, or had, its row.
    listed: bool,
    leaving: bool,
    /// What the host last reported about itself, and when.
    condition: Option<(HostCondition, Instant)>,
}

impl KnownHost {
    /// Returns when the host's last message came; `None` if none came since this host knows
    /// of it.
    pub fn last_heard(&self) -> Option<Instant> {
        self.last_heard
    }

    /// Returns what the host has reported about itself, unless that is too old; with a use of 0 if
    /// its resources suffice.
    pub fn condition(&self, now: Instant) -> Option<HostCondition> {
        let (condition, told_at) = self.condition?;
        let is_recent = now.saturating_duration_since(told_at) < MAX_CONDITION_AGE;
        is_recent.then_some(condition)
    }
}

/// All other hosts known to this host.
#[derive(Debug, Default)]
pub struct HostTable {
    hosts: BTreeMap<HostName, KnownHost>,
    this_host: HostName,
    list: HostList,
    /// Increases when a host is added or removed, or its entry changes.
    version: u64,
    /// Time at which this host's own row was removed from the list.
    row_removed_at: Option<Instant>,
}

impl HostTable {
    /// Creates a table without other hosts.
    pub fn new(this_host: &str) -> Self {
        HostTable {
            this_host: this_host.to_owned(),
            ..HostTable::default()
        }
    }

    /// Applies changes of the store's list, or a complete snapshot, and returns what has
    /// changed. A host is advertised to callers only after its first heartbeat.
    pub fn apply(&mut self, now: Instant, changes: &Changes) -> Vec<Record> {
        let was_listed = self.list.has(&self.this_host);
        let changed_records = self.list.apply(changes);
        if was_listed && !self.list.has(&self.this_host) {
            self.row_removed_at = Some(now);
        }
        for entry in self
            .list
            .rows()
            .filter(|entry| entry.name != self.this_host)
        {
            let known = self.hosts.get_mut(&entry.name);
            let same = |known: &&mut KnownHost| known.entry.peer_address == entry.peer_address;
            if let Some(known) = known.filter(same) {
                known.listed = true;
                if known.entry.capacity != entry.capacity {
                    known.entry.capacity = entry.capacity;
                    self.version += 1;
                }
                continue;
            }
            let host = KnownHost {
                incarnation: None,
                last_heard: None,
                last_seen: now,
                listed: true,
                leaving: false,
                condition: None,
                entry: entry.clone(),
            };
            self.hosts.insert(entry.name.clone(), host);
            self.version += 1;
        }
        let list = &self.list;
        let count = self.hosts.len();
        self.hosts
            .retain(|name, host| list.has(name) || is_recent(host, now));
        self.version += u64::from(self.hosts.len() != count);
        changed_records
    }

    /// Returns a number that increases when a host is added or removed, or its entry changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the store's list.
    pub fn list(&self) -> &HostList {
        &self.list
    }

    /// Records a heartbeat. Returns true if it changes which hosts are advertised.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        entry: &HostEntry,
        incarnation: Incarnation,
        leaving: bool,
    ) -> bool {
        let before = self.is_advertised(now, &entry.name);
        let known = self.hosts.get(&entry.name);
        let listed = known.is_some_and(|known| known.listed) || self.list.has(&entry.name);
        // Only the list has the capacity.
        let capacity = known.map_or(entry.capacity, |known| known.entry.capacity);
        // That of an earlier process says nothing about the new one.
        let same = known.filter(|known| known.incarnation == Some(incarnation));
        let condition = same.and_then(|known| known.condition);
        let host = KnownHost {
            entry: HostEntry {
                capacity,
                ..entry.clone()
            },
            incarnation: Some(incarnation),
            last_heard: Some(now),
            last_seen: now,
            listed,
            leaving,
            condition,
        };
        let replaced = self.hosts.insert(entry.name.clone(), host);
        let is_same =
            replaced.is_some_and(|replaced| replaced.entry == self.hosts[&entry.name].entry);
        self.version += u64::from(!is_same);
        before == leaving
    }

    /// Records what a host reports about itself. Returns whether that differs, in what matters to
    /// callers and relays, from what it reported before.
    pub fn record_condition(&mut self, now: Instant, name: &str, condition: HostCondition) -> bool {
        let Some(host) = self.hosts.get_mut(name) else {
            return false;
        };
        let before = host.condition(now);
        let condition = condition.significant();
        host.condition = Some((condition, now));
        before.unwrap_or_default() != condition
    }

    /// Records an answer of a known host as a sign of life.
    pub fn answered(&mut self, now: Instant, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.last_heard = Some(now);
            host.last_seen = now;
        }
    }

    /// Returns the hosts to advertise to callers, without those that are shutting down.
    pub fn advertised(&self, now: Instant) -> impl Iterator<Item = &KnownHost> {
        self.hosts
            .values()
            .filter(move |host| is_advertised(host, now))
    }

    /// Returns the listed hosts without a message since this host started, and those to
    /// advertise. Most of them are alive.
    pub fn presumed(&self, now: Instant) -> impl Iterator<Item = &KnownHost> {
        let is_unheard = |host: &KnownHost| host.listed && host.last_heard.is_none();
        self.hosts
            .values()
            .filter(move |host| is_unheard(host) || is_advertised(host, now))
    }

    /// Returns another host.
    pub fn get(&self, name: &str) -> Option<&KnownHost> {
        self.hosts.get(name)
    }

    /// Returns all other hosts that may be alive.
    pub fn known(&self) -> impl Iterator<Item = &KnownHost> {
        self.hosts.values()
    }

    /// Returns whether this host has a share of global limits: it has, or recently had, a
    /// row by which all other hosts count it. A host that no other host knows would exceed
    /// the limits, whatever its own view.
    pub fn has_share(&self, now: Instant) -> bool {
        let is_kept =
            |removed_at: Instant| now.saturating_duration_since(removed_at) < OWN_SHARE_KEPT_FOR;
        self.list.has(&self.this_host) || self.row_removed_at.is_some_and(is_kept)
    }

    /// Returns whether another host has a share of global limits, as far as this host
    /// knows.
    pub fn counts_in_bounds(&self, now: Instant, name: &str) -> bool {
        let host = self.hosts.get(name);
        self.list.has(name) || host.is_some_and(|host| host.listed && is_recent(host, now))
    }

    /// Returns the other hosts that may use a share of a global limit: all hosts of the
    /// list and those heard recently. `None` before the store's list has been read.
    pub fn sharing_hosts(&self, now: Instant) -> Option<impl Iterator<Item = &HostEntry>> {
        let hosts = self.hosts.values();
        let counted =
            hosts.filter(move |host| self.list.has(&host.entry.name) || is_recent(host, now));
        self.list.is_read().then(|| counted.map(|host| &host.entry))
    }

    /// Returns the heartbeat partners that have been silent for so long that they are lost.
    pub fn lost<'a>(
        &self,
        now: Instant,
        partners: impl IntoIterator<Item = &'a HostEntry>,
    ) -> Vec<&'a HostEntry> {
        let is_lost = |partner: &&HostEntry| {
            let host = self.hosts.get(&partner.name);
            host.is_some_and(|host| now.saturating_duration_since(host.last_seen) > LOST_AFTER)
        };
        partners.into_iter().filter(is_lost).collect()
    }

    /// Restarts every host's liveness timers after a pause of this host, which caused the
    /// silence itself.
    pub fn resume(&mut self, now: Instant) {
        for host in self.hosts.values_mut() {
            host.last_seen = now;
            if host.last_heard.is_some() {
                host.last_heard = Some(now);
            }
        }
    }

    /// Restarts the silence timers that decide whether hosts are lost, after this host was
    /// cut off itself. Otherwise it would remove the rows of all its heartbeat partners at
    /// the moment when it reaches the store again but has not heard them yet.
    pub fn was_cut_off(&mut self, now: Instant) {
        for host in self.hosts.values_mut() {
            host.last_seen = now;
        }
    }

    fn is_advertised(&self, now: Instant, name: &str) -> bool {
        self.hosts
            .get(name)
            .is_some_and(|host| is_advertised(host, now))
    }
}

fn is_recent(host: &KnownHost, now: Instant) -> bool {
    now.saturating_duration_since(host.last_seen) < COUNTED_FOR
}

fn is_advertised(host: &KnownHost, now: Instant) -> bool {
    let last_heard = host.last_heard;
    let recently = last_heard.is_some_and(|at| now.saturating_duration_since(at) < ADVERTISED_FOR);
    recently && !host.leaving
}
