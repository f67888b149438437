//! Tells the short work of a service from its long work.

use std::collections::BTreeMap;
use std::time::Duration;

/// Ratio of two latency goals from which the work behind them counts as of unlike length.
const MIN_GOAL_RATIO: f64 = 2.0;
/// Share of long work that is assumed before the first request.
const INITIAL_LONG_SHARE: f64 = 0.5;
/// Weight of the newest request in the share of long work, once there are many.
const LONG_SHARE_WEIGHT: f64 = 0.01;

/// Length of a request's work, compared with the other work of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkLength {
    /// Its goal leaves little time for anything but the work.
    Short,
    /// Its goal leaves time for distance and waiting.
    Long,
}

/// The goals of the requests that a service receives at this host.
///
/// A service whose goals are all alike has neither short nor long work. Routes that are in
/// the document but get no requests do not count.
#[derive(Debug)]
pub struct WorkMix {
    /// The goals of the requests so far, with the number of requests.
    goals: BTreeMap<Duration, u64>,
    /// Shortest goal of long work; `None` if all goals are alike.
    long_from: Option<Duration>,
    /// Moving share of the requests whose work is long.
    long_share: f64,
    /// Requests since the goals have been unlike.
    requests: u64,
}

impl Default for WorkMix {
    fn default() -> Self {
        WorkMix {
            goals: BTreeMap::new(),
            long_from: None,
            long_share: INITIAL_LONG_SHARE,
            requests: 0,
        }
    }
}

impl WorkMix {
    /// Counts a request with a latency goal. Returns the length of its work; `None` while
    /// the goals of the service are alike.
    pub fn take(&mut self, goal: Duration) -> Option<WorkLength> {
        let count = self.goals.entry(goal).or_default();
        *count += 1;
        if *count == 1 {
            self.find_gap();
        }
        let length = self.length(goal)?;
        self.requests += 1;
        let weight = LONG_SHARE_WEIGHT.max(1.0 / (self.requests + 1) as f64);
        let is_long = f64::from(u8::from(length == WorkLength::Long));
        self.long_share += weight * (is_long - self.long_share);
        Some(length)
    }

    /// Returns the length of the work of requests with a goal.
    pub fn length(&self, goal: Duration) -> Option<WorkLength> {
        let long_from = self.long_from?;
        match goal < long_from {
            true => Some(WorkLength::Short),
            false => Some(WorkLength::Long),
        }
    }

    /// Returns the share of the requests whose work is long, from 0 to 1.
    pub fn long_share(&self) -> f64 {
        self.long_share
    }

    /// Forgets the goals that the document's routes to the service no longer have.
    pub fn retain(&mut self, is_in_use: impl Fn(Duration) -> bool) {
        let before = self.goals.len();
        self.goals.retain(|goal, _| is_in_use(*goal));
        if self.goals.len() != before {
            self.find_gap();
        }
    }

    /// Finds the widest gap between two successive goals.
    fn find_gap(&mut self) {
        let longer = self.goals.keys().skip(1);
        let gaps = self.goals.keys().zip(longer);
        let gaps = gaps.map(|(short, long)| (long.as_secs_f64() / short.as_secs_f64(), *long));
        let widest = gaps.max_by(|a, b| a.0.total_cmp(&b.0));
        let unlike = widest.filter(|(ratio, _)| *ratio >= MIN_GOAL_RATIO);
        self.long_from = unlike.map(|(_, long)| long);
    }
}
