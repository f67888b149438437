//! Which hosts of a zone are there, from their heartbeats.
//!
//! The platform's list and the settings are hints of whom to call. Direct
//! heartbeats decide, and one observer's doubt is not enough: a host that some
//! observer doubts is vouched for by every other that hears it. Only doubted
//! hosts are named in heartbeats, so that these stay small.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation, ZoneName};

/// Where a host can be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its name.
    pub name: HostName,
    /// Zone that it stands in.
    pub zone: ZoneName,
    /// For callers' requests.
    pub caller_address: SocketAddr,
    /// For requests that other hosts relay.
    pub relay_address: SocketAddr,
    /// For messages of other hosts.
    pub peer_address: SocketAddr,
    /// For operators.
    pub operator_address: SocketAddr,
}

/// What a host tells the others of its zone, several times a second.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Who tells it.
    pub host: HostEntry,
    /// Its start.
    pub incarnation: Incarnation,
    /// Counts up with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Hosts that it has not heard for too long.
    pub doubts: BTreeSet<HostName>,
    /// Hosts that others doubt and that it hears.
    pub vouches: BTreeSet<HostName>,
    /// Hosts of whose part of the zone's limits it holds something.
    pub lenders: BTreeSet<HostName>,
}

/// Times that decide; all grow with the zone, so that heartbeats stay cheap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats to each host.
    pub beat_every: Duration,
    /// Silence after which a host is doubted.
    pub doubt_after: Duration,
    /// Time after that in which others may vouch for it.
    pub vouch_within: Duration,
    /// Silence after which it is gone where no other observer is there to ask.
    pub alone_after: Duration,
    /// Silence after which its entry is dropped.
    pub forget_after: Duration,
}

/// Heartbeats that a host sends in a second, at most, to all others together.
const BEATS_PER_S: u32 = 15;
const BEAT_AT_MOST_EVERY: Duration = Duration::from_millis(300);
const FORGET_AFTER: Duration = Duration::from_secs(60);

impl Timing {
    /// Times for a zone of so many hosts.
    pub fn of(hosts: usize) -> Self {
        let others = hosts.saturating_sub(1) as u32;
        let beat_every = (Duration::from_secs(1) / BEATS_PER_S * others).max(BEAT_AT_MOST_EVERY);
        Timing {
            beat_every,
            doubt_after: beat_every.mul_f64(2.7),
            vouch_within: beat_every.mul_f64(2.3),
            alone_after: beat_every.mul_f64(6.7),
            forget_after: FORGET_AFTER.max(beat_every * 20),
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
    heard: Instant,
    doubts: BTreeSet<HostName>,
    vouches: BTreeSet<HostName>,
    lenders: BTreeSet<HostName>,
}

/// The hosts of a zone, as one of them sees it; it counts itself in.
#[derive(Debug)]
pub struct Membership {
    me: HostEntry,
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
    timing: Timing,
    last_tick: Instant,
    /// Never holds `me`.
    members: BTreeMap<HostName, Member>,
    /// Incarnations that were replaced by a later start; their messages are dropped.
    replaced: BTreeSet<(HostName, Incarnation)>,
}

/// State of another host, for dumps.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberState {
    /// Its name.
    pub name: HostName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it counts as there.
    pub present: bool,
    /// Time since its last heartbeat, in milliseconds.
    pub silent_ms: u64,
}

impl Membership {
    /// A view that holds only this host.
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

    /// The times in force.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// This host's own entry.
    pub fn me(&self) -> &HostEntry {
        &self.me
    }

    /// Says from now on that this host is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Notes the time; returns how long this host itself was paused, if it was.
    ///
    /// After a pause every silence is this host's own: the others get a new
    /// `doubt_after` before they are doubted.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        self.timing = Timing::of(self.members.len() + 1);
        let forget_after = self.timing.forget_after;
        self.members
            .retain(|_, member| now.saturating_duration_since(member.heard) < forget_after);
        if gap < self.timing.doubt_after {
            return None;
        }
        for member in self.members.values_mut() {
            member.heard = now;
        }
        Some(gap)
    }

    /// The next heartbeat to send.
    pub fn heartbeat(&mut self, now: Instant, lenders: BTreeSet<HostName>) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            host: self.me.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            leaving: self.leaving,
            doubts: self.doubted(now),
            vouches: self.vouched(now),
            lenders,
        }
    }

    /// Takes a heartbeat; false where it is late, doubled or of a replaced start.
    pub fn heard(&mut self, now: Instant, beat: Heartbeat) -> bool {
        if beat.host.name == self.me.name || beat.host.zone != self.me.zone {
            return false;
        }
        let start = (beat.host.name.clone(), beat.incarnation);
        if self.replaced.contains(&start) {
            return false;
        }
        if let Some(known) = self.members.get(&beat.host.name) {
            if known.incarnation == beat.incarnation && known.sequence >= beat.sequence {
                return false;
            }
            if known.incarnation != beat.incarnation {
                self.replaced
                    .insert((beat.host.name.clone(), known.incarnation));
            }
        }
        let member = Member {
            incarnation: beat.incarnation,
            sequence: beat.sequence,
            leaving: beat.leaving,
            heard: now,
            doubts: beat.doubts,
            vouches: beat.vouches,
            lenders: beat.lenders,
            entry: beat.host,
        };
        self.members.insert(member.entry.name.clone(), member);
        true
    }

    /// Hosts that are there, leaving ones included, this host among them.
    pub fn present(&self, now: Instant) -> Vec<HostEntry> {
        let others = self
            .members
            .values()
            .filter(|member| self.is_present(member, now))
            .map(|member| member.entry.clone());
        let mut present: Vec<HostEntry> = others.chain([self.me.clone()]).collect();
        present.sort_by(|a, b| a.name.cmp(&b.name));
        present
    }

    /// Hosts that are there and not leaving. Where all leave, those that are there.
    pub fn staying(&self, now: Instant) -> Vec<HostEntry> {
        let present = self.present(now);
        let staying: Vec<HostEntry> = present
            .iter()
            .filter(|entry| !self.is_leaving(&entry.name))
            .cloned()
            .collect();
        if staying.is_empty() { present } else { staying }
    }

    /// Whether a host was heard of late and held nothing of `lender`'s part then.
    pub fn holds_nothing_of(&self, now: Instant, host: &str, lender: &str) -> bool {
        let member = self.members.get(host);
        member
            .is_some_and(|member| !self.is_silent(member, now) && !member.lenders.contains(lender))
    }

    /// Whether another incarnation of the host has been heard since.
    pub fn is_replaced(&self, host: &str, incarnation: Incarnation) -> bool {
        let known = self.members.get(host);
        known.is_some_and(|member| member.incarnation != incarnation)
            || self.replaced.contains(&(host.to_owned(), incarnation))
    }

    /// States of the other hosts.
    pub fn states(&self, now: Instant) -> Vec<MemberState> {
        let state = |member: &Member| MemberState {
            name: member.entry.name.clone(),
            incarnation: member.incarnation,
            leaving: member.leaving,
            present: self.is_present(member, now),
            silent_ms: now.saturating_duration_since(member.heard).as_millis() as u64,
        };
        self.members.values().map(state).collect()
    }

    fn is_leaving(&self, host: &str) -> bool {
        if host == self.me.name {
            return self.leaving;
        }
        self.members.get(host).is_some_and(|member| member.leaving)
    }

    fn doubted(&self, now: Instant) -> BTreeSet<HostName> {
        self.members
            .values()
            .filter(|member| self.is_silent(member, now))
            .map(|member| member.entry.name.clone())
            .collect()
    }

    fn vouched(&self, now: Instant) -> BTreeSet<HostName> {
        let doubts = self.members.values().flat_map(|member| &member.doubts);
        doubts
            .filter(|host| {
                let member = self.members.get(*host);
                member.is_some_and(|member| !self.is_silent(member, now))
            })
            .cloned()
            .collect()
    }

    fn is_silent(&self, member: &Member, now: Instant) -> bool {
        now.saturating_duration_since(member.heard) >= self.timing.doubt_after
    }

    fn is_present(&self, member: &Member, now: Instant) -> bool {
        let silent = now.saturating_duration_since(member.heard);
        if silent < self.timing.doubt_after {
            return true;
        }
        let name = &member.entry.name;
        let mut observers = self
            .members
            .values()
            .filter(|other| other.entry.name != *name && !self.is_silent(other, now))
            .peekable();
        if observers.peek().is_none() {
            return silent < self.timing.alone_after;
        }
        let in_grace = silent < self.timing.doubt_after + self.timing.vouch_within;
        in_grace || observers.any(|other| other.vouches.contains(name))
    }
}
