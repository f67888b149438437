//! State of the control thread, and the commands that it handles.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use steering::document::{Proposal, ProposalOutcome};
use steering::history::History;
use steering::ids::{HostName, Incarnation, Revision, ZoneName};
use steering::limiter::Roster;
use steering::load_estimate::{LoadReports, ServiceLoad, ZoneSummary};
use steering::membership::{HostEntry, Membership};
use steering::plan::Plan;
use steering::view::InFlightCounts;
use store::ListedHost;
use tokio::sync::oneshot;

use ::operator::{InForce, Status};

/// Requests of other threads to the control thread.
pub enum Command {
    /// Return the host's status.
    Status(oneshot::Sender<Status>),
    /// Return the whole state of the process as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Return the configuration in force and its revision.
    Document(oneshot::Sender<InForce>),
    /// Propose a change of the configuration to the platform.
    Propose(Box<Proposal>, oneshot::Sender<ProposalOutcome>),
    /// Announce to other hosts and the platform that this host is leaving.
    Leave,
    /// End the thread.
    End,
}

/// Last known state of another zone. All times are by this host's clock.
#[derive(Default)]
pub struct KnownZone {
    /// Load of the zone's services.
    pub loads: Vec<ServiceLoad>,
    /// When `loads` was measured; `None` before the first summary.
    pub measured: Option<Instant>,
    /// Hosts of the zone that accept messages; empty until a summary has named some.
    pub hosts: Vec<HostEntry>,
    /// When `hosts` was valid; `None` before the first summary with hosts.
    pub hosts_measured: Option<Instant>,
}

impl KnownZone {
    /// Merges the newer parts of a summary that arrived at `now`.
    ///
    /// Returns whether the loads were newer.
    pub fn merge(&mut self, summary: &ZoneSummary, now: Instant) -> bool {
        let hosts_measured = now.checked_sub(summary.hosts_age);
        if !summary.hosts.is_empty() && hosts_measured > self.hosts_measured {
            self.hosts.clone_from(&summary.hosts);
            self.hosts_measured = hosts_measured;
        }
        let measured = now.checked_sub(summary.age);
        let newer = measured > self.measured;
        if newer {
            self.loads.clone_from(&summary.loads);
            self.measured = measured;
        }
        newer
    }

    /// The summary of the zone for another host, with or without its hosts.
    ///
    /// Returns `None` before the first measurement.
    pub fn to_summary(&self, zone: &str, now: Instant, with_hosts: bool) -> Option<ZoneSummary> {
        let hosts_measured = self.hosts_measured.filter(|_| with_hosts);
        Some(ZoneSummary {
            zone: zone.to_owned(),
            age: now.saturating_duration_since(self.measured?),
            loads: self.loads.clone(),
            hosts: hosts_measured.map_or_else(Vec::new, |_| self.hosts.clone()),
            hosts_age: hosts_measured
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        })
    }
}

/// Load that another host of the zone reported in its last heartbeat.
pub struct ReceivedLoads {
    /// When the heartbeat arrived.
    pub received: Instant,
    /// Load of the pools that the other host owns, by service.
    pub loads: Vec<ServiceLoad>,
}

/// State of the control thread.
pub struct State {
    /// The configuration in force, with the changes that led to it.
    pub history: History,
    /// The configuration, preprocessed for decisions.
    pub plan: Arc<Plan>,
    /// Configuration revision that `plan` was made from.
    pub plan_revision: Revision,
    /// Hosts of the zone, from their heartbeats.
    pub membership: Membership,
    /// Last load reports of all services in all zones.
    pub load_reports: LoadReports,
    /// Last known state of the other zones.
    pub known_zones: HashMap<ZoneName, KnownZone>,
    /// Load that other hosts of the zone reported.
    pub received_loads: HashMap<HostName, ReceivedLoads>,
    /// The platform's list of hosts, as read last.
    pub listed: Vec<ListedHost>,
    /// When each incarnation was last seen in the platform's list.
    pub last_listed: HashMap<(HostName, Incarnation), Instant>,
    /// Shares of the zone's limits by host.
    pub roster: Roster,
    /// Requests of this host in flight, by service and zone.
    pub own_in_flight: InFlightCounts,
    /// When the platform last answered; `None` before its first answer.
    pub store_answered_at: Option<Instant>,
    /// Whether this incarnation has read the platform's list of hosts.
    pub host_list_read: bool,
}

/// State of the process, as printed by `stagedeck dump`.
#[derive(Serialize)]
pub struct Dump<'a> {
    /// Status of the host, as printed by `stagedeck status`.
    pub status: Status,
    /// Other hosts of the zone.
    pub members: Vec<steering::membership::MemberState>,
    /// The platform's list of hosts, as read last.
    pub listed: &'a [ListedHost],
    /// Shares of the zone's limits by host.
    pub roster: &'a Roster,
    /// This host's shares of the zone's limits, and their use.
    pub limits: Vec<steering::limiter::LedgerEntry>,
    /// Pools with all that is known of their upstreams.
    pub pools: Vec<::caller::PoolState>,
    /// Number of used tickets and keys that are remembered.
    pub spent_tickets: usize,
    /// Open connections from callers and other hosts.
    pub open_connections: u32,
    /// Bytes of all messages sent to other hosts.
    pub peer_sent_bytes: u64,
    /// Bytes of all messages received from other hosts.
    pub peer_received_bytes: u64,
    /// Memory of the table of client blocks, in bytes.
    pub block_bytes: usize,
    /// The configuration in force.
    pub document: Arc<steering::Document>,
}
