//! Failure detection: which hosts of a zone are up, judged by their heartbeats.
//!
//! The platform's host list and the settings only say whom to contact. Whether a
//! host is up depends on direct heartbeats, and one observer is not enough to
//! declare it down: if an observer suspects a host, every other observer that still
//! receives its heartbeats confirms it. Heartbeats name only suspected hosts, which
//! keeps them small.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::host_capacity::HostCapacity;
use crate::ids::{HostName, Incarnation, ZoneName};

/// Name, zone and addresses of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host, unique in the deployment.
    pub name: HostName,
    /// Availability zone that the host runs in.
    pub zone: ZoneName,
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address for requests that other hosts relay.
    pub relay_address: SocketAddr,
    /// Address for messages of other hosts.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Capacity of the host's machine; unknown in messages that only identify the host.
    #[serde(default)]
    pub capacity: HostCapacity,
}

/// The message that a host sends to every other host of its zone, once per
/// [`Timing::heartbeat_interval`].
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostEntry,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Hosts whose heartbeats the sender has missed for [`Timing::suspect_after`].
    pub suspected_hosts: BTreeSet<HostName>,
    /// Hosts that others suspect and whose heartbeats the sender still receives.
    pub confirmed_hosts: BTreeSet<HostName>,
    /// Hosts from which the sender has borrowed part of their share of the zone's limits.
    pub lenders: BTreeSet<HostName>,
}

/// Interval and timeouts of the failure detection.
///
/// All of them grow with the number of hosts in the zone, which bounds the
/// heartbeats that each host sends per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats to the same host.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a host is suspected.
    pub suspect_after: Duration,
    /// Time after `suspect_after` that other observers have to confirm the host.
    pub confirm_within: Duration,
    /// Time without a heartbeat after which a host is down if there is no other observer.
    pub sole_observer_timeout: Duration,
    /// Time without a heartbeat after which a host's entry is removed.
    pub forget_after: Duration,
}

/// Maximum number of heartbeats per second that a host sends to all others together.
const MAX_HEARTBEATS_PER_S: u32 = 15;
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const FORGET_AFTER: Duration = Duration::from_secs(60);

impl Timing {
    /// Returns the times for a zone with this number of hosts, the local one included.
    pub fn of(hosts: usize) -> Self {
        let others = hosts.saturating_sub(1) as u32;
        let heartbeat_interval =
            (Duration::from_secs(1) / MAX_HEARTBEATS_PER_S * others).max(MIN_HEARTBEAT_INTERVAL);
        Timing {
            heartbeat_interval,
            suspect_after: heartbeat_interval.mul_f64(2.7),
            confirm_within: heartbeat_interval.mul_f64(2.3),
            sole_observer_timeout: heartbeat_interval.mul_f64(6.7),
            forget_after: FORGET_AFTER.max(heartbeat_interval * 20),
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Timing::of(1)
    }
}

#[derive(Debug, Clone)]
struct Member {
    entry: HostEntry,
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    last_heartbeat: Instant,
    suspected_hosts: BTreeSet<HostName>,
    confirmed_hosts: BTreeSet<HostName>,
    lenders: BTreeSet<HostName>,
}

/// The hosts of a zone as one of them, the local host, sees them.
#[derive(Debug)]
pub struct Membership {
    me: HostEntry,
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    timing: Timing,
    last_tick: Instant,
    /// The other hosts; never contains `me`.
    members: BTreeMap<HostName, Member>,
    /// Incarnations that a later one replaced; their heartbeats are dropped.
    replaced: BTreeSet<(HostName, Incarnation)>,
}

/// State of another host, for the operators' dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberState {
    /// Name of the host.
    pub name: HostName,
    /// Incarnation of the latest heartbeat.
    pub incarnation: Incarnation,
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// Whether the host counts as up.
    pub present: bool,
    /// Time since the latest heartbeat, in milliseconds.
    pub silent_ms: u64,
}

impl Membership {
    /// Creates a membership that contains only the local host.
    pub fn new(me: HostEntry, incarnation: Incarnation, now: Instant) -> Self {
        Membership {
            me,
            incarnation,
            sequence: 0,
            leaving: false,
            timing: Timing::default(),
            last_tick: now,
            members: BTreeMap::new(),
            replaced: BTreeSet::new(),
        }
    }

    /// Returns the times in force, as of the last [`tick`](Self::tick).
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Returns the local host's entry.
    pub fn me(&self) -> &HostEntry {
        &self.me
    }

    /// Marks the local host as shutting down in all further heartbeats.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Removes hosts that were silent for [`Timing::forget_after`] and returns how long the
    /// local process was paused, if it was.
    ///
    /// A gap between two calls of at least [`Timing::suspect_after`] counts as a pause. The
    /// local process then missed the heartbeats itself, so each other host gets a full
    /// `suspect_after` before it is suspected.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        self.timing = Timing::of(self.members.len() + 1);
        let forget_after = self.timing.forget_after;
        self.members.retain(|_, member| {
            now.saturating_duration_since(member.last_heartbeat) < forget_after
        });
        if gap < self.timing.suspect_after {
            return None;
        }
        for member in self.members.values_mut() {
            member.last_heartbeat = now;
        }
        Some(gap)
    }

    /// Returns the next heartbeat to send.
    pub fn heartbeat(&mut self, now: Instant, lenders: BTreeSet<HostName>) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            host: self.me.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving: self.leaving,
            suspected_hosts: self.suspected(now),
            confirmed_hosts: self.confirmed(now),
            lenders,
        }
    }

    /// Processes a received heartbeat.
    ///
    /// Returns false if the heartbeat is ignored: out of order, a duplicate, from a
    /// replaced incarnation, from the local host or from another zone.
    pub fn receive(&mut self, now: Instant, heartbeat: Heartbeat) -> bool {
        if heartbeat.host.name == self.me.name || heartbeat.host.zone != self.me.zone {
            return false;
        }
        let sender = (heartbeat.host.name.clone(), heartbeat.incarnation);
        if self.replaced.contains(&sender) {
            return false;
        }
        if let Some(known) = self.members.get(&heartbeat.host.name) {
            if known.incarnation == heartbeat.incarnation && known.sequence >= heartbeat.sequence {
                return false;
            }
            if known.incarnation != heartbeat.incarnation {
                self.replaced
                    .insert((heartbeat.host.name.clone(), known.incarnation));
            }
        }
        let member = Member {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            leaving: heartbeat.leaving,
            last_heartbeat: now,
            suspected_hosts: heartbeat.suspected_hosts,
            confirmed_hosts: heartbeat.confirmed_hosts,
            lenders: heartbeat.lenders,
            entry: heartbeat.host,
        };
        self.members.insert(member.entry.name.clone(), member);
        true
    }

    /// Returns the hosts that are up, sorted by name: the local host and those that are
    /// shutting down are included.
    pub fn live_hosts(&self, now: Instant) -> Vec<HostEntry> {
        let others = self
            .members
            .values()
            .filter(|member| self.is_present(member, now))
            .map(|member| member.entry.clone());
        let mut present: Vec<HostEntry> = others.chain([self.me.clone()]).collect();
        present.sort_by(|a, b| a.name.cmp(&b.name));
        present
    }

    /// Returns the hosts that are up and not shutting down; if all are shutting down,
    /// returns all that are up.
    pub fn accepting_hosts(&self, now: Instant) -> Vec<HostEntry> {
        let present = self.live_hosts(now);
        let staying: Vec<HostEntry> = present
            .iter()
            .filter(|entry| !self.is_leaving(&entry.name))
            .cloned()
            .collect();
        if staying.is_empty() { present } else { staying }
    }

    /// Whether a host is not suspected and had borrowed nothing from `lender` as of its
    /// latest heartbeat.
    pub fn holds_no_share_of(&self, now: Instant, host: &str, lender: &str) -> bool {
        let member = self.members.get(host);
        member
            .is_some_and(|member| !self.is_silent(member, now) && !member.lenders.contains(lender))
    }

    /// Whether a heartbeat of a different incarnation of the host has arrived.
    pub fn is_replaced(&self, host: &str, incarnation: Incarnation) -> bool {
        let known = self.members.get(host);
        known.is_some_and(|member| member.incarnation != incarnation)
            || self.replaced.contains(&(host.to_owned(), incarnation))
    }

    /// Returns the states of the other hosts.
    pub fn states(&self, now: Instant) -> Vec<MemberState> {
        let state = |member: &Member| MemberState {
            name: member.entry.name.clone(),
            incarnation: member.incarnation,
            leaving: member.leaving,
            present: self.is_present(member, now),
            silent_ms: now
                .saturating_duration_since(member.last_heartbeat)
                .as_millis() as u64,
        };
        self.members.values().map(state).collect()
    }

    fn is_leaving(&self, host: &str) -> bool {
        if host == self.me.name {
            return self.leaving;
        }
        self.members.get(host).is_some_and(|member| member.leaving)
    }

    fn suspected(&self, now: Instant) -> BTreeSet<HostName> {
        self.members
            .values()
            .filter(|member| self.is_silent(member, now))
            .map(|member| member.entry.name.clone())
            .collect()
    }

    fn confirmed(&self, now: Instant) -> BTreeSet<HostName> {
        let suspected_hosts = self
            .members
            .values()
            .flat_map(|member| &member.suspected_hosts);
        suspected_hosts
            .filter(|host| {
                let member = self.members.get(*host);
                member.is_some_and(|member| !self.is_silent(member, now))
            })
            .cloned()
            .collect()
    }

    fn is_silent(&self, member: &Member, now: Instant) -> bool {
        now.saturating_duration_since(member.last_heartbeat) >= self.timing.suspect_after
    }

    fn is_present(&self, member: &Member, now: Instant) -> bool {
        let silence = now.saturating_duration_since(member.last_heartbeat);
        if silence < self.timing.suspect_after {
            return true;
        }
        let name = &member.entry.name;
        let mut observers = self
            .members
            .values()
            .filter(|other| other.entry.name != *name && !self.is_silent(other, now))
            .peekable();
        if observers.peek().is_none() {
            return silence < self.timing.sole_observer_timeout;
        }
        let in_confirm_window = silence < self.timing.suspect_after + self.timing.confirm_within;
        in_confirm_window || observers.any(|other| other.confirmed_hosts.contains(name))
    }
}
