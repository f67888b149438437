//! Plays a roll-out.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use steering::route::{
    AnswerQuality, Coordinator, RolloutOrder, RolloutReason, RolloutStage, RolloutStatus,
};

use super::ROUTES;
use super::host::ModelHost;
use super::outcome::{COUNTED_BAD, RolloutOutcome};
use super::plan::RolloutPlan;
use super::version::ModelVersion;

const TICK: Duration = Duration::from_millis(50);
/// Ticks between two reports of a host.
const REPORT_TICKS: usize = 10;
/// Ticks between two decisions of the coordinator.
const DECISION_TICKS: usize = 5;
/// Longest time from a decision until a host applies it: the write, the poll and two hops.
const SPREAD: Duration = Duration::from_millis(1_500);
const SHORTEST_RESPONSE: Duration = Duration::from_millis(50);
/// Load of an upstream on trial, relative to its usual load.
const TRIAL_LOAD: f64 = 2.0 / 3.0;

/// An answer under way to a host.
struct Answer {
    host: usize,
    route: usize,
    is_new: bool,
    quality: AnswerQuality,
}

struct Model<'a> {
    plan: &'a RolloutPlan,
    rng: StdRng,
    hosts: Vec<ModelHost>,
    /// Answers by the tick in which they arrive, from the current one on.
    answers: VecDeque<Vec<Answer>>,
    outcome: RolloutOutcome,
}

/// Plays a roll-out until it is decided and its deadline is over.
///
/// # Panics
///
/// If the plan's order is invalid.
pub fn run(plan: &RolloutPlan) -> RolloutOutcome {
    let order = RolloutOrder::new(
        "s1".to_owned(),
        "v2".to_owned(),
        plan.duration.as_secs_f64(),
        7,
    );
    let order = order.expect("the order is valid");
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let hosts = (0..plan.hosts).map(|_| ModelHost::new(&mut rng)).collect();
    let names: Vec<String> = (0..plan.hosts).map(|n| format!("h{n}")).collect();
    let mut status = RolloutStatus {
        service: order.service.clone(),
        to_version: order.to_version.clone(),
        order_revision: order.revision,
        sequence: 1,
        stage: Coordinator::first_stage(plan.bound),
        reason: RolloutReason::Ordered,
        coordinator: names[0].clone(),
        ordered_at: Duration::ZERO,
        changed_at: Duration::ZERO,
        moves_at: None,
    };
    let mut model = Model {
        plan,
        rng,
        hosts,
        answers: VecDeque::new(),
        outcome: RolloutOutcome {
            stage: status.stage,
            decided_at: Duration::ZERO,
            requests: 0,
            exposed: 0,
            bad_of_new: 0,
            counted_at: None,
            last_sent: Duration::ZERO,
            cut: 0,
        },
    };
    let epoch = Instant::now();
    let mut coordinator = Coordinator::default();
    model.send(Duration::ZERO, &status);
    let end = plan.duration * 2 + SPREAD * 2;
    let mut tick = 0;
    loop {
        let now = TICK * tick as u32;
        let settled = status.stage.is_final() && now >= status.changed_at + SPREAD * 2;
        if now >= end || (settled && now >= plan.duration) {
            return model.outcome;
        }
        model.advance(now, tick);
        for (index, host) in model.hosts.iter().enumerate() {
            let reports = (tick + index).is_multiple_of(REPORT_TICKS);
            if let Some(progress) = host.progress().filter(|_| reports) {
                coordinator.report(epoch + now, &names[index], progress);
            }
        }
        if tick.is_multiple_of(DECISION_TICKS) {
            let order = Some(&order);
            let at = epoch + now;
            let next = coordinator.next_stage(order, &status, plan.bound, now, at, &names);
            if let Some(change) = next {
                status = status.followed_by(change, names[0].clone(), now);
                model.send(now, &status);
            }
        }
        tick += 1;
    }
}

impl Model<'_> {
    /// Sends a status to all hosts.
    fn send(&mut self, now: Duration, status: &RolloutStatus) {
        let running = self.hosts.iter().map(|host| host.running_at_old);
        if status.stage == RolloutStage::Completed {
            self.outcome.cut = running.sum();
        }
        if status.stage != self.outcome.stage {
            self.outcome.stage = status.stage;
            self.outcome.decided_at = now;
        }
        for host in &mut self.hosts {
            let delay = self.rng.random_range(Duration::ZERO..SPREAD);
            host.send(now + delay, status.clone());
        }
    }

    fn advance(&mut self, now: Duration, tick: usize) {
        for host in &mut self.hosts {
            host.advance(now);
        }
        for answer in self.answers.pop_front().unwrap_or_default() {
            self.answered(now, answer);
        }
        let until =
            |tick: usize| (TICK * tick as u32).as_millis() as u64 * self.plan.rate_per_s / 1_000;
        for _ in until(tick)..until(tick + 1) {
            self.request(now);
        }
    }

    fn request(&mut self, now: Duration) {
        let index = self.rng.random_range(0..self.hosts.len());
        let route = self.rng.random_range(0..ROUTES.len());
        let position = self.rng.random();
        let host = &mut self.hosts[index];
        let is_new = host.sends_to_new(self.plan.bound, position);
        let load = match host.has_moved() {
            true => 1.0,
            false => TRIAL_LOAD,
        };
        let is_before_deadline = now < self.plan.duration;
        self.outcome.requests += u64::from(is_before_deadline);
        let version = match is_new {
            true => self.plan.version,
            false => ModelVersion::GOOD,
        };
        if is_new {
            self.outcome.exposed += u64::from(is_before_deadline);
            self.outcome.last_sent = now;
        } else {
            host.running_at_old += 1;
        }
        let quality = version.answer(&mut self.rng, now, route, load);
        let response = self
            .rng
            .random_range(SHORTEST_RESPONSE..=self.plan.longest_response);
        let ticks = (response.as_millis() / TICK.as_millis()) as usize;
        while self.answers.len() <= ticks {
            self.answers.push_back(Vec::new());
        }
        self.answers[ticks].push(Answer {
            host: index,
            route,
            is_new,
            quality,
        });
    }

    fn answered(&mut self, now: Duration, answer: Answer) {
        let host = &mut self.hosts[answer.host];
        if answer.is_new {
            self.outcome.bad_of_new += u64::from(answer.quality != AnswerQuality::Good);
            if self.outcome.bad_of_new >= COUNTED_BAD {
                self.outcome.counted_at.get_or_insert(now);
            }
        } else {
            host.running_at_old -= 1;
        }
        if !host.knows_rollout() {
            return;
        }
        let counts = host
            .counts
            .entry(ROUTES[answer.route].to_owned())
            .or_default();
        match answer.is_new {
            true => counts.new.add(answer.quality),
            false => counts.old.add(answer.quality),
        }
    }
}
