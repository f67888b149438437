//! The control thread's state and the commands it takes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use platform::ListedHost;
use serde::Serialize;
use steering::belief::{Beliefs, ServiceLoad, ZoneSummary};
use steering::document::{Proposal, Verdict};
use steering::history::History;
use steering::ids::{HostName, Incarnation, Revision, ZoneName};
use steering::limiter::Roster;
use steering::membership::Membership;
use steering::plan::Plan;
use steering::view::OwnCounts;
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
    Propose(Box<Proposal>, oneshot::Sender<Verdict>),
    /// Say that the host is leaving.
    Leave,
    /// End the thread.
    End,
}

/// A zone's summary with the time that it was measured.
pub struct HeldSummary {
    /// The summary; its age is that at `measured`.
    pub summary: ZoneSummary,
    /// When it was measured, by this host's clock.
    pub measured: Instant,
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
    pub beliefs: Beliefs,
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
    pub own: OwnCounts,
    /// When the platform last answered.
    pub store_answered: Option<Instant>,
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
    /// Memory of the table of client blocks, in bytes.
    pub block_bytes: usize,
    /// The configuration in force.
    pub document: Arc<steering::Document>,
}
