//! Reports for operators: status, dump and the configuration in force.

use std::sync::Arc;
use std::time::Instant;

use ::operator::{InForce, PoolStatus, Status, UpstreamStatus, ZoneLoad};
use steering::load_estimate::ServiceLoad;

use super::control::Control;
use super::state::Dump;

impl Control {
    /// The configuration in force and its revision.
    pub fn in_force(&self) -> InForce {
        let state = self.state.borrow();
        InForce {
            revision: state.history.revision(),
            document: (**state.history.document()).clone(),
        }
    }

    /// Status of the host.
    pub fn status(&self) -> Status {
        let now = clock::now();
        let state = self.state.borrow();
        let position = state.history.position();
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let view = self.shared.view.load();
        let zones = view.plan.document.zones.iter().map(|zone| {
            let reports = view.plan.services.keys().filter_map(|service| {
                let report = state.load_reports.report(&zone.name, service)?;
                let load = ServiceLoad {
                    service: service.clone(),
                    load: report.load,
                };
                Some((age_ms(report.measured_at), load))
            });
            let (ages_ms, services): (Vec<u64>, Vec<ServiceLoad>) = reports.unzip();
            ZoneLoad {
                zone: zone.name.clone(),
                age_ms: ages_ms.into_iter().max().unwrap_or(0),
                services,
            }
        });
        Status {
            host: self.me.entry.name.clone(),
            zone: self.me.entry.zone.clone(),
            incarnation: self.incarnation,
            revision: position.revision,
            digest: position.digest.clone(),
            leaving: view.leaving,
            store_silent_ms: state.store_answered_at.map(age_ms),
            in_flight: self
                .shared
                .in_flight
                .load(std::sync::atomic::Ordering::Acquire),
            hosts: view.hosts.values().flatten().cloned().collect(),
            zones: zones.collect(),
            pools: self.pools(),
        }
    }

    /// Status of the pools for which this host decides on admission.
    pub fn pools(&self) -> Vec<PoolStatus> {
        let states = self.shared.pools.states();
        let pool = |state: ::caller::PoolState| PoolStatus {
            pool: state.pool,
            queued: state.load.queued,
            upstreams: state
                .upstreams
                .into_iter()
                .map(|member| UpstreamStatus {
                    name: member.name,
                    in_flight: member.in_flight,
                    allowed: member.allowed,
                    usable: member.usable,
                    latency_ms: member.latency_ms,
                })
                .collect(),
        };
        states.into_iter().map(pool).collect()
    }

    /// The whole state of the process as JSON.
    pub fn dump(&self) -> serde_json::Value {
        let now = clock::now();
        let status = self.status();
        let state = self.state.borrow();
        let dump = Dump {
            status,
            members: state.membership.states(now),
            listed: &state.listed,
            roster: &state.roster,
            limits: self.shared.ledger().entries(now),
            pools: self.shared.pools.states(),
            spent_tickets: self.shared.spent().len(),
            open_connections: self
                .shared
                .open_connections
                .load(std::sync::atomic::Ordering::Acquire),
            peer_sent_bytes: self.local.traffic.sent_bytes(),
            peer_received_bytes: self.local.traffic.received_bytes(),
            block_bytes: state.plan.block_bytes(),
            document: Arc::clone(state.history.document()),
        };
        serde_json::to_value(dump).expect("dumps are valid JSON")
    }
}
