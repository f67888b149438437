//! The control thread's state and the commands it takes.

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

/// What other threads ask of the control thread.
pub enum Command {
    /// The host's status.
    Status(oneshot::Sender<Status>),
    /// The host's whole state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The configuration in force.
    Document(oneshot::Sender<InForce>),
    /// Propose a change.
    Propose(Box<Proposal>, oneshot::Sender<ProposalOutcome>),
    /// Say that the host is leaving.
    Leave,
    /// End the thread.
    End,
}

/// What is held of another zone, by this host's clock.
#[derive(Default)]
pub struct HeldSummary {
    /// Load of its services.
    pub loads: Vec<ServiceLoad>,
    /// When `loads` was measured; none before the first.
    pub measured: Option<Instant>,
    /// Hosts that may be asked; none as long as no summary has named any.
    pub hosts: Vec<HostEntry>,
    /// When `hosts` was true; none before the first.
    pub hosts_measured: Option<Instant>,
}

impl HeldSummary {
    /// Takes what is newer in a summary that came now; whether its loads were.
    pub fn take(&mut self, summary: &ZoneSummary, now: Instant) -> bool {
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

    /// The zone's summary for another host, with or without its hosts; none where
    /// nothing was measured yet.
    pub fn pass_on(&self, zone: &str, now: Instant, with_hosts: bool) -> Option<ZoneSummary> {
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

/// Load that another host of the zone told in its last heartbeat.
pub struct HeardLoads {
    /// When it came.
    pub heard: Instant,
    /// Load of the pools that it owns, by service.
    pub loads: Vec<ServiceLoad>,
}

/// All that the control thread knows.
pub struct State {
    /// The configuration.
    pub history: History,
    /// The configuration made ready.
    pub plan: Arc<Plan>,
    /// Revision that `plan` was made from.
    pub planned: Revision,
    /// Hosts of the zone.
    pub membership: Membership,
    /// Load of services in zones.
    pub beliefs: LoadReports,
    /// Other zones.
    pub summaries: HashMap<ZoneName, HeldSummary>,
    /// Load that hosts of the zone told.
    pub heard_loads: HashMap<HostName, HeardLoads>,
    /// The platform's list of hosts, as last read.
    pub listed: Vec<ListedHost>,
    /// When each listed start was last in the list.
    pub last_listed: HashMap<(HostName, Incarnation), Instant>,
    /// How the zone's limits are split.
    pub roster: Roster,
    /// This host's own counts.
    pub own: InFlightCounts,
    /// When the platform last answered.
    pub store_answered: Option<Instant>,
    /// Whether the platform's list was read in this start.
    pub list_answered: bool,
}

/// The control thread's state, for dumps.
#[derive(Serialize)]
pub struct Dump<'a> {
    /// The host's status.
    pub status: Status,
    /// Other hosts of the zone.
    pub members: Vec<steering::membership::MemberState>,
    /// The platform's list.
    pub listed: &'a [ListedHost],
    /// How the zone's limits are split.
    pub roster: &'a Roster,
    /// The zone's limits.
    pub limits: Vec<steering::limiter::LedgerEntry>,
    /// Pools with all that is known of their upstreams.
    pub pools: Vec<::caller::PoolState>,
    /// Spent tickets remembered.
    pub spent_tickets: usize,
    /// Open connections of callers and hosts.
    pub open_connections: u32,
    /// Bytes of messages sent to other hosts.
    pub peer_sent_bytes: u64,
    /// Bytes of messages received from other hosts.
    pub peer_received_bytes: u64,
    /// Memory of the table of client blocks, in bytes.
    pub block_bytes: usize,
    /// The configuration in force.
    pub document: Arc<steering::Document>,
}
