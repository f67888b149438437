//! Carries out roll-outs: coordinates them, or reports to the host that does.
//!
//! The host that polls the operators' rows coordinates. It writes each stage under the
//! condition that the row is as it has read it, so that of two hosts that coordinate at the
//! same time only one succeeds. It sends the stage to the other hosts with its next update.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use steering::ids::{HostName, ServiceName};
use steering::route::{
    Coordinator, Feed, HostMessage, HostProgress, HostReply, OrderError, Record, RolloutOrder,
    RolloutReason, RolloutStage, RolloutStatus, RolloutStop, StageChange,
};
use store::{RecordError, RowVersion};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Control;

/// Interval between decisions on roll-outs.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between a host's reports to the coordinator.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the coordinator's answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// A roll-out that this host coordinates.
pub(super) struct CoordinatedRollout {
    coordinator: Coordinator,
    order_revision: u64,
    /// Version of the row; 0 while there is none.
    row_version: RowVersion,
    /// The last status that this host has read or written; it is applied with the next update.
    last_status: Option<RolloutStatus>,
    /// A time by the store's clock, and the same time by this host's clock.
    store_clock: (Duration, Instant),
}

impl CoordinatedRollout {
    fn store_time(&self, now: Instant) -> Duration {
        let (store_time, at) = self.store_clock;
        store_time + now.saturating_duration_since(at)
    }

    /// The newer one of a status that this host knows and the last one that it has read or
    /// written.
    fn newest(&self, known: Option<RolloutStatus>) -> Option<RolloutStatus> {
        let last = self.last_status.clone();
        let last = last.filter(|last| last.order_revision == self.order_revision);
        match (known, last) {
            (Some(known), Some(last)) if last.is_newer_than(&known) => Some(last),
            (None, last) => last,
            (known, _) => known,
        }
    }
}

/// An undecided roll-out as known to this host.
struct KnownRollout {
    service: ServiceName,
    order: Option<RolloutOrder>,
    status: Option<RolloutStatus>,
    stop: Option<RolloutStop>,
}

impl Control {
    /// Coordinates and reports until the task is aborted.
    pub(super) async fn run_rollouts(self: Rc<Self>) {
        let mut refused = BTreeSet::new();
        let mut last_report = clock::now();
        loop {
            let rollouts = self.undecided_rollouts();
            if rollouts.is_empty() {
                self.coordinated.borrow_mut().clear();
                self.routes_changed.notified().await;
                continue;
            }
            sleep(self.until_next_move().min(DECISION_INTERVAL)).await;
            self.begin_moves();
            let coordinates = self.polls_routes();
            let now = clock::now();
            let is_report_due = now.saturating_duration_since(last_report) >= REPORT_INTERVAL;
            if is_report_due {
                last_report = now;
            }
            for rollout in rollouts {
                if is_report_due {
                    self.report_progress(&rollout);
                }
                if coordinates {
                    self.coordinate(rollout, &mut refused).await;
                }
            }
            if !coordinates {
                self.coordinated.borrow_mut().clear();
            }
        }
    }

    /// Time until requests move as planned; the longest time if no move is planned or the
    /// store's time is unknown.
    fn until_next_move(&self) -> Duration {
        let store_time = self.store_clock.borrow().time(clock::now());
        let known_state = self.known_state.borrow();
        let moves_at = known_state.rollouts().next_move_at();
        let left = moves_at
            .zip(store_time)
            .map(|(at, now)| at.saturating_sub(now));
        left.unwrap_or(Duration::MAX)
    }

    /// Moves requests as planned, without a message.
    fn begin_moves(&self) {
        let Some(store_time) = self.store_clock.borrow().time(clock::now()) else {
            return;
        };
        let begins = self.known_state.borrow_mut().begin_moves(store_time);
        if begins {
            tracing::info!(event = "rollout_move_begun");
            metrics::counter!("stagedeck_rollout_moves_total").increment(1);
            self.publish();
        }
    }

    fn undecided_rollouts(&self) -> Vec<KnownRollout> {
        let known_state = self.known_state.borrow();
        let active = known_state.rollouts().active();
        let known = active.into_iter().map(|(service, rollout)| KnownRollout {
            service: service.clone(),
            order: rollout.order.cloned(),
            status: rollout.status.cloned(),
            stop: rollout.stop.cloned(),
        });
        known.collect()
    }

    /// Whether this host polls the operators' rows and the store answers it.
    pub(super) fn polls_routes(&self) -> bool {
        let now = clock::now();
        self.with_follower(Feed::Routes, |follower| {
            let schedule = &follower.poll_schedule;
            let is_fresh = schedule
                .fresh_for(now)
                .is_some_and(|fresh| !fresh.is_zero());
            is_fresh && schedule.reaches_store() && schedule.forwards_updates(now)
        })
    }

    /// Decides the next stage of a roll-out and records it in the store.
    async fn coordinate(&self, rollout: KnownRollout, refused: &mut BTreeSet<(ServiceName, u64)>) {
        let KnownRollout {
            service,
            order,
            status,
            stop,
        } = rollout;
        let revision = match (&order, &status) {
            (Some(order), _) => order.revision,
            (None, Some(status)) => status.order_revision,
            (None, None) => return,
        };
        let is_known = |known: &CoordinatedRollout| known.order_revision == revision;
        let is_taken_over = self
            .coordinated
            .borrow()
            .get(&service)
            .is_some_and(is_known);
        self.note_heard(&service);
        if !is_taken_over && !self.take_over(&service, revision).await {
            return;
        }
        let next = {
            let coordinated = self.coordinated.borrow();
            let Some(rollout) = coordinated.get(&service) else {
                return;
            };
            match (&order, rollout.newest(status)) {
                // The status would replace the one of the order before, by which alone the
                // store may know the version in use.
                (Some(_), None) if !self.has_recorded_incumbent(&service) => {
                    tracing::debug!(event = "rollout_waits", service);
                    None
                }
                (Some(order), None) => match self.check_order(order) {
                    Ok(()) => Some(self.first_status(order, rollout.store_time(clock::now()))),
                    Err(error) => {
                        if refused.insert((service.clone(), revision)) {
                            let version = &order.to_version;
                            tracing::warn!(event = "rollout_refused", service, version, %error);
                        }
                        self.end_replaced(rollout, &service)
                    }
                },
                (_, None) => None,
                (order, Some(status)) => self.next_status(rollout, order.as_ref(), status, stop),
            }
        };
        if let Some(status) = next {
            self.tell_stop(&status);
            self.write_status(status).await;
        }
    }

    /// Informs the coordinator of a roll-out when the last message of each host arrived. A host may
    /// be slow to report because its machine is slow, and still send requests.
    fn note_heard(&self, service: &ServiceName) {
        let known_state = self.known_state.borrow();
        let mut coordinated = self.coordinated.borrow_mut();
        let Some(rollout) = coordinated.get_mut(service) else {
            return;
        };
        for host in known_state.host_table.known() {
            if let Some(at) = host.last_heard() {
                rollout.coordinator.heard(at, &host.entry.name);
            }
        }
    }

    /// Whether an order can be carried out.
    fn check_order(&self, order: &RolloutOrder) -> Result<(), OrderError> {
        let known_state = self.known_state.borrow();
        if !known_state.has_service(&order.service) {
            return Err(OrderError::UnknownService);
        }
        let incumbent = known_state.rollouts().incumbent(&order.service);
        let is_in_use = incumbent.is_some_and(|known| known.version == order.to_version);
        match is_in_use || known_state.has_only_version(&order.service, &order.to_version) {
            true => Err(OrderError::SameVersion),
            false => Ok(()),
        }
    }

    /// Reads the row of a roll-out before this host coordinates it. Returns whether the store
    /// answered.
    async fn take_over(&self, service: &ServiceName, order_revision: u64) -> bool {
        let row = match self.records.read_rollout(service).await {
            Ok(row) => row,
            Err(error) => {
                tracing::warn!(event = "rollout_not_read", service, %error);
                return false;
            }
        };
        let rollout = CoordinatedRollout {
            coordinator: Coordinator::default(),
            order_revision,
            row_version: row.version,
            last_status: row.status.clone(),
            store_clock: (row.store_time, clock::now()),
        };
        let (store_time, read_at) = rollout.store_clock;
        self.store_clock.borrow_mut().observe(store_time, read_at);
        self.coordinated
            .borrow_mut()
            .insert(service.clone(), rollout);
        if let Some(status) = row.status {
            self.pass_on(Record::Rollout(status));
        }
        true
    }

    fn first_status(&self, order: &RolloutOrder, store_time: Duration) -> RolloutStatus {
        // The order may have been written just after the poll before the one that found it.
        let schedule_delay = self.with_follower(Feed::Routes, |follower| {
            let schedule = &follower.poll_schedule;
            schedule.poll_interval() + schedule.poll_wait()
        });
        RolloutStatus {
            service: order.service.clone(),
            to_version: order.to_version.clone(),
            order_revision: order.revision,
            sequence: 1,
            stage: Coordinator::first_stage(self.common.bounds().exposure),
            reason: RolloutReason::Ordered,
            coordinator: self.this_host.name.clone(),
            ordered_at: store_time.saturating_sub(schedule_delay),
            changed_at: store_time,
            moves_at: None,
        }
    }

    /// Rolls back the undecided roll-out whose order was replaced by one that is refused, such
    /// as one to the version in use. Operators would read it as active for good.
    fn end_replaced(
        &self,
        rollout: &CoordinatedRollout,
        service: &ServiceName,
    ) -> Option<RolloutStatus> {
        let known_state = self.known_state.borrow();
        let known = known_state.rollouts().status(service)?;
        let last = rollout.last_status.as_ref();
        let status = last
            .filter(|last| last.is_newer_than(known))
            .unwrap_or(known);
        let status = (!status.stage.is_final()).then(|| status.clone())?;
        drop(known_state);
        self.next_status(rollout, None, status, None)
    }

    /// Sends a roll-back to all hosts before it is written: the store may accept no writes.
    fn tell_stop(&self, status: &RolloutStatus) {
        let known_state = self.known_state.borrow();
        let is_known = known_state.rollouts().is_stopped(&status.service);
        drop(known_state);
        if status.stage == RolloutStage::RolledBack && !is_known {
            let stop = RolloutStop::of(status, status.reason);
            self.pass_on(Record::RolloutStop(stop));
        }
    }

    /// The status that follows, if the stage changes or another host has coordinated so far.
    fn next_status(
        &self,
        rollout: &CoordinatedRollout,
        order: Option<&RolloutOrder>,
        status: RolloutStatus,
        stop: Option<RolloutStop>,
    ) -> Option<RolloutStatus> {
        let now = clock::now();
        let store_time = rollout.store_time(now);
        let known_state = self.known_state.borrow();
        let hosts = known_state.host_table.list().rows();
        let stop = stop.filter(|stop| stop.holds(&status));
        let change = rollout.coordinator.next_stage(
            order,
            &status,
            self.common.bounds().exposure,
            store_time,
            now,
            hosts.map(|host| &host.name),
        );
        let is_taken_over = status.coordinator != self.this_host.name && !status.stage.is_final();
        let unchanged = StageChange {
            stage: status.stage,
            reason: status.reason,
            moves_at: status.moves_at,
        };
        let change = stop.map(|stop| stop.change()).or(change);
        let change = change.or(is_taken_over.then_some(unchanged))?;
        Some(status.followed_by(change, self.this_host.name.clone(), store_time))
    }

    /// Writes a status if the row is as this host has read it.
    async fn write_status(&self, status: RolloutStatus) {
        let service = status.service.clone();
        let row_version = {
            let coordinated = self.coordinated.borrow();
            coordinated.get(&service).map(|rollout| rollout.row_version)
        };
        let Some(row_version) = row_version else {
            return;
        };
        let written = self.records.write_rollout(&status, row_version).await;
        match written {
            Ok(Some(version)) => {
                self.log_stage(&status);
                if let Some(rollout) = self.coordinated.borrow_mut().get_mut(&service) {
                    rollout.row_version = version;
                    rollout.last_status = Some(status.clone());
                }
                self.pass_on(Record::Rollout(status));
            }
            Ok(None) => {
                tracing::info!(event = "rollout_conflict", service);
                self.coordinated.borrow_mut().remove(&service);
            }
            Err(error) => {
                tracing::warn!(event = "rollout_not_written", service, %error);
                // The write may have taken effect.
                if matches!(error, RecordError::NoAnswer(_)) {
                    self.coordinated.borrow_mut().remove(&service);
                }
            }
        }
    }

    fn log_stage(&self, status: &RolloutStatus) {
        let coordinated = self.coordinated.borrow();
        let rollout = coordinated.get(&status.service);
        let total = rollout.map(|rollout| rollout.coordinator.evidence().total());
        let total = total.unwrap_or_default();
        let worst = rollout.and_then(|rollout| {
            let routes = rollout.coordinator.evidence().by_route();
            let worst = routes.into_iter().max_by_key(|(_, counts)| counts.new.bad);
            worst.map(|(route, _)| route.to_owned())
        });
        tracing::info!(
            event = "rollout_stage",
            service = status.service,
            version = status.to_version,
            stage = %status.stage,
            reason = %status.reason,
            sequence = status.sequence,
            answers = total.new.answers,
            bad = total.new.bad,
            usual_answers = total.old.answers,
            usual_bad = total.old.bad,
            worst_route = worst,
        );
        metrics::counter!("stagedeck_rollout_stages_total", "stage" => status.stage.to_string())
            .increment(1);
    }

    /// Applies a record of this host, and sends it to the other hosts with the next update.
    pub(super) fn pass_on(&self, record: Record) {
        let mut pending = self.pending_routes.borrow_mut();
        if pending.contains(&record) {
            return;
        }
        pending.push(record);
        drop(pending);
        self.with_follower(Feed::Routes, |follower| follower.gap_attempted.notify_one());
    }

    /// Reports what this host has counted to the coordinator.
    fn report_progress(self: &Rc<Self>, rollout: &KnownRollout) {
        let Some(status) = &rollout.status else {
            return;
        };
        let counters = &self.common.rollouts;
        let applied = self.applied_sequence(&status.service);
        let sequence = applied.unwrap_or(status.sequence);
        let progress = HostProgress {
            incarnation: self.incarnation,
            sequence,
            uses_old_version: self.known_state.borrow().uses_old_version(status),
            counts: counters.counts(&status.service, status.order_revision),
        };
        if status.coordinator == self.this_host.name {
            let this_host = self.this_host.name.clone();
            self.record_progress(&this_host, &status.service, status.order_revision, progress);
            return;
        }
        let known_state = self.known_state.borrow();
        let coordinator = known_state.host_table.get(&status.coordinator);
        let Some(coordinator) = coordinator.map(|host| host.entry.clone()) else {
            return;
        };
        let message = HostMessage::Rollout {
            service: status.service.clone(),
            order_revision: status.order_revision,
            progress,
        };
        let control = Rc::clone(self);
        spawn_local(async move {
            let sent = control
                .ask_host(&coordinator, &message, REPORT_TIMEOUT)
                .await;
            match sent {
                Ok(HostReply::StoreTime(store_time)) => {
                    let now = clock::now();
                    control.store_clock.borrow_mut().observe(store_time, now);
                }
                Ok(_) => {}
                Err(error) => {
                    tracing::debug!(event = "rollout_not_reported", to = coordinator.name, %error);
                }
            }
        });
    }

    /// Number of the status by which this host sends requests.
    fn applied_sequence(&self, service: &str) -> Option<u64> {
        let known_state = self.known_state.borrow();
        let applied = known_state.rollouts().applied_status(service)?;
        Some(applied.sequence)
    }

    /// Records a report, if this host coordinates the roll-out. Returns the time by the
    /// store's clock then.
    pub(super) fn record_progress(
        &self,
        host: &HostName,
        service: &str,
        order_revision: u64,
        progress: HostProgress,
    ) -> Option<Duration> {
        let now = clock::now();
        let mut coordinated = self.coordinated.borrow_mut();
        let rollout = coordinated.get_mut(service);
        let rollout = rollout.filter(|known| known.order_revision == order_revision)?;
        rollout.coordinator.report(now, host, progress);
        Some(rollout.store_time(now))
    }
}

/// Roll-outs that a host coordinates, by service.
pub(super) type CoordinatedRollouts = BTreeMap<ServiceName, CoordinatedRollout>;
