//! Keeps the versions of services that are in use in the store.
//!
//! The host that polls the operators' rows writes them, each under the condition that its row
//! is as this host has read it. The other hosts get them with the operators' rows.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use steering::ids::ServiceName;
use steering::route::{Feed, Incumbent, Record, Succession};
use store::{RecordError, RowVersion, VersionRows};
use tokio::time::sleep;

use super::Control;

/// Interval between decisions on versions in use.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// Rows of the versions in use, as this host has last read or written them.
type KnownRows = BTreeMap<ServiceName, (Incumbent, RowVersion)>;

impl Control {
    /// Records versions in use until the task is aborted, where versions need orders.
    pub(super) async fn run_incumbents(self: Rc<Self>) {
        if !self.common.settings.versions_need_orders {
            return;
        }
        let mut rows: Option<KnownRows> = None;
        let mut succession = Succession::default();
        loop {
            sleep(DECISION_INTERVAL).await;
            if !self.polls_routes() {
                rows = None;
                succession = Succession::default();
                continue;
            }
            rows = match rows {
                Some(rows) => self.record_incumbents(&mut succession, rows).await,
                None => self.read_incumbents().await,
            };
        }
    }

    /// Reads what stagedeck has written about versions of services.
    pub(super) async fn read_versions(&self) -> Result<VersionRows, RecordError> {
        let rows = self.records.read_versions().await?;
        for (row, reason) in &rows.refused {
            tracing::warn!(event = "row_refused", row, reason);
        }
        Ok(rows)
    }

    /// Reads what earlier pollers have written, and may not have sent to other hosts.
    async fn read_incumbents(&self) -> Option<KnownRows> {
        let rows = match self.read_versions().await {
            Ok(rows) => rows,
            Err(error) => {
                tracing::warn!(event = "incumbents_not_read", %error);
                return None;
            }
        };
        for record in rows.records() {
            self.pass_on(record);
        }
        let rows = rows.incumbents.into_iter();
        let rows = rows.map(|(incumbent, version)| {
            let service = incumbent.service.clone();
            (service, (incumbent, version))
        });
        Some(rows.collect())
    }

    /// Writes the records that are due. Returns the rows; none if they must be read again.
    async fn record_incumbents(
        &self,
        succession: &mut Succession,
        mut rows: KnownRows,
    ) -> Option<KnownRows> {
        let now = clock::now();
        let is_current = self.with_follower(Feed::Upstreams, |follower| {
            let fresh = follower.poll_schedule.fresh_for(now);
            fresh.is_some_and(|fresh| !fresh.is_zero())
        });
        let due = self
            .known_state
            .borrow()
            .due_incumbents(now, succession, is_current);
        for incumbent in due {
            let row = rows.get(&incumbent.service);
            let is_written = row.is_some_and(|(written, _)| !incumbent.is_newer_than(written));
            let expected = row.map_or(0, |(_, version)| *version);
            if is_written {
                continue;
            }
            let version = self.write_incumbent(&incumbent, expected).await?;
            rows.insert(incumbent.service.clone(), (incumbent, version));
        }
        Some(rows)
    }

    /// Writes a record. Returns the version of its row; none if the row must be read again.
    async fn write_incumbent(
        &self,
        incumbent: &Incumbent,
        expected: RowVersion,
    ) -> Option<RowVersion> {
        let Incumbent {
            service,
            version,
            order_revision,
            record,
            reason,
            ..
        } = incumbent;
        match self.records.write_incumbent(incumbent, expected).await {
            Ok(Some(row_version)) => {
                tracing::info!(
                    event = "incumbent_recorded",
                    service,
                    version,
                    %reason,
                    order_revision,
                    record,
                );
                metrics::counter!("stagedeck_incumbents_total", "reason" => reason.to_string())
                    .increment(1);
                self.pass_on(Record::Incumbent(incumbent.clone()));
                Some(row_version)
            }
            Ok(None) => {
                tracing::info!(event = "incumbent_conflict", service);
                None
            }
            Err(error) => {
                tracing::warn!(event = "incumbent_not_written", service, version, %error);
                // The write may have taken effect.
                None
            }
        }
    }

    /// Whether the store has the version of a service that this host knows to be in use.
    pub(super) fn has_recorded_incumbent(&self, service: &str) -> bool {
        let known_state = self.known_state.borrow();
        let incumbent = known_state.rollouts().incumbent(service);
        !self.common.settings.versions_need_orders || incumbent.is_some_and(Incumbent::is_recorded)
    }
}
