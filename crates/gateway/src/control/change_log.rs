//! Log lines about changes of the known state.

use steering::route::{CatalogChange, ChangeReport, Incumbent, RolloutOrder};

use super::origin::{Origin, Source};

/// Logs an order to roll out a version.
pub(super) fn log_order(order: &RolloutOrder) {
    let RolloutOrder {
        service,
        to_version,
        duration,
        revision,
    } = order;
    let duration_ms = duration.as_millis() as u64;
    tracing::info!(
        event = "rollout_ordered",
        service,
        version = to_version,
        duration_ms,
        revision
    );
}

/// Logs a record of a version in use.
pub(super) fn log_incumbent(incumbent: &Incumbent) {
    let Incumbent {
        service,
        version,
        order_revision,
        record,
        reason,
        ..
    } = incumbent;
    tracing::info!(
        event = "incumbent_known",
        service,
        version,
        %reason,
        order_revision,
        record,
    );
}

/// Logs what one update has changed.
pub(super) fn log_changes(changes: &[CatalogChange], origin: Origin) {
    let (source, age_ms) = (
        origin.source,
        clock::elapsed(origin.as_of).as_millis() as u64,
    );
    match ChangeReport::new(changes) {
        ChangeReport::Each(changes) => {
            for change in changes {
                log_change(change, source, age_ms);
            }
        }
        ChangeReport::Counts {
            reported,
            draining,
            removed,
        } => tracing::info!(
            event = "upstreams_changed",
            reported,
            draining,
            removed,
            %source,
            age_ms
        ),
    }
}

fn log_change(change: &CatalogChange, source: Source, age_ms: u64) {
    match change {
        CatalogChange::Removed { id, at_once } => {
            tracing::info!(event = "upstream_gone", upstream = id, at_once, %source, age_ms);
        }
        CatalogChange::Reported(report) => tracing::info!(
            event = "upstream_reported",
            upstream = report.id,
            service = report.service,
            version = report.version,
            draining = report.draining,
            cold_ms = report.cold_for.as_millis() as u64,
            %source,
            age_ms
        ),
    }
}
