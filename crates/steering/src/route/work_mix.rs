//! Distinguishes the short work of a service from its long work.

use std::collections::BTreeMap;
use std::time::Duration;

use super::estimate::INITIAL_HELD_TIME;
use super::pool_part::PoolPart;
use super::short_share::ShortShare;

/// Ratio of two latency goals from which the work behind them counts as of unlike length.
const MIN_GOAL_RATIO: f64 = 2.0;
/// Weight of the newest answer in the average work time of a length.
const WORK_WEIGHT: f64 = 0.02;
/// Share of long work that is assumed before the first request.
const INITIAL_LONG_SHARE: f64 = 0.5;
/// Weight of that assumption, in requests.
const PRIOR_REQUESTS: u64 = 10;
/// Bound of a single work time, as a multiple of the average.
const MAX_WORK_FACTOR: f64 = 5.0;
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

/// The lengths of the work that a service receives at this host.
///
/// A service whose latency goals are all alike has neither short nor long work. Routes that
/// are in the document but get no requests do not count.
#[derive(Debug)]
pub struct WorkMix {
    /// The goals of the requests so far.
    goals: BTreeMap<Duration, Priorities>,
    /// Shortest goal of long work; `None` if all goals are alike.
    long_from: Option<Duration>,
    /// Whether all short work is more urgent than all long work.
    is_short_urgent: bool,
    /// Moving share of the requests whose work is long.
    long_share: f64,
    /// Requests since the goals have been unlike.
    requests: u64,
    /// Average work times of short and of long work, in seconds.
    work_s: [f64; 2],
    /// Slots for short work in pools that get work of this mix.
    everywhere: ShortShare,
    /// Slots for short work in the pool of this host's region, from which long work leaves
    /// first.
    own_region: ShortShare,
}

/// Priorities of the requests with one goal; 0 is the most urgent.
#[derive(Debug, Clone, Copy)]
struct Priorities {
    most_urgent: u32,
    least_urgent: u32,
}

impl Default for WorkMix {
    fn default() -> Self {
        WorkMix {
            goals: BTreeMap::new(),
            long_from: None,
            is_short_urgent: false,
            long_share: INITIAL_LONG_SHARE,
            requests: 0,
            work_s: [0.0; 2],
            everywhere: ShortShare::default(),
            own_region: ShortShare::default(),
        }
    }
}

impl WorkMix {
    /// Counts a request with a latency goal and a priority. Returns the length of its work;
    /// `None` while the goals of the service are alike.
    pub fn take(&mut self, goal: Duration, priority: u32) -> Option<WorkLength> {
        self.note_goal(goal, priority);
        let length = self.length(goal)?;
        self.requests += 1;
        let weight = LONG_SHARE_WEIGHT.max(1.0 / (self.requests + PRIOR_REQUESTS) as f64);
        let is_long = f64::from(u8::from(length == WorkLength::Long));
        self.long_share += weight * (is_long - self.long_share);
        self.everywhere.adapt(self.work_s, self.long_share);
        Some(length)
    }

    /// Learns from the work time of an answer to a request with a goal.
    pub fn answered(&mut self, goal: Duration, work: Duration) {
        let Some(length) = self.length(goal) else {
            return;
        };
        let average_s = &mut self.work_s[length as usize];
        let work_s = work.as_secs_f64().min(*average_s * MAX_WORK_FACTOR);
        *average_s += WORK_WEIGHT * (work_s - *average_s);
    }

    /// Learns the share of long work among the requests that stay in this host's region.
    pub fn adapt_own_region(&mut self, long_share: f64) {
        self.own_region.adapt(self.work_s, long_share);
    }

    /// Returns the upstreams of a region for requests of a length; `None` if they are not
    /// divided.
    pub fn part(&self, length: WorkLength, is_own_region: bool) -> Option<PoolPart> {
        let short_share = self.short_share(is_own_region)?;
        Some(PoolPart {
            length,
            short_share,
        })
    }

    /// Returns whether the service has short and long work.
    pub fn is_unlike(&self) -> bool {
        self.long_from.is_some()
    }

    /// Returns the share of the requests that a region has room for if it has room for a
    /// share of their work and long work leaves first. Both are the same while the goals
    /// are alike.
    pub fn share_of_requests(&self, share_of_work: f64) -> f64 {
        if !self.is_unlike() {
            return share_of_work;
        }
        let [short_s, long_s] = self.work_s;
        let (short, long) = (short_s * (1.0 - self.long_share), long_s * self.long_share);
        let room = share_of_work * (short + long);
        if short <= 0.0 || long <= 0.0 {
            return share_of_work;
        }
        let short_stays = (room / short).min(1.0);
        let long_stays = ((room - short) / long).clamp(0.0, 1.0);
        (1.0 - self.long_share) * short_stays + self.long_share * long_stays
    }

    /// Returns the average work time of a length.
    pub fn average_work(&self, length: WorkLength) -> Duration {
        Duration::from_secs_f64(self.work_s[length as usize])
    }

    /// Returns the share of a region's slots for short work. `None` if the upstreams are not
    /// divided: the goals are alike, there is too little work of a length, or the short
    /// work is not the more urgent one.
    pub fn short_share(&self, is_own_region: bool) -> Option<f64> {
        self.long_from.filter(|_| self.is_short_urgent)?;
        match is_own_region {
            true => self.own_region.share(),
            false => self.everywhere.share(),
        }
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

    /// Records the priority of a request with a goal.
    fn note_goal(&mut self, goal: Duration, priority: u32) {
        let known = self.goals.get_mut(&goal);
        let is_known = known.is_some_and(|known| {
            let is_known = (known.most_urgent..=known.least_urgent).contains(&priority);
            known.most_urgent = known.most_urgent.min(priority);
            known.least_urgent = known.least_urgent.max(priority);
            is_known
        });
        if is_known {
            return;
        }
        self.goals.entry(goal).or_insert(Priorities {
            most_urgent: priority,
            least_urgent: priority,
        });
        self.find_gap();
    }

    /// Finds the widest gap between two successive goals.
    fn find_gap(&mut self) {
        let longer = self.goals.keys().skip(1);
        let gaps = self.goals.keys().zip(longer);
        let gaps = gaps.map(|(short, long)| (long.as_secs_f64() / short.as_secs_f64(), *long));
        let widest = gaps.max_by(|a, b| a.0.total_cmp(&b.0));
        let unlike = widest.filter(|(ratio, _)| *ratio >= MIN_GOAL_RATIO);
        let long_from = unlike.map(|(_, long)| long);
        if self.long_from != long_from {
            self.long_from = long_from;
            self.start_anew();
        }
        let Some(long_from) = long_from else {
            return;
        };
        let short = self
            .goals
            .range(..long_from)
            .map(|(_, goal)| goal.least_urgent);
        let long = self
            .goals
            .range(long_from..)
            .map(|(_, goal)| goal.most_urgent);
        self.is_short_urgent = short.max() < long.min();
    }

    /// Starts with what the goals show, without any request.
    fn start_anew(&mut self) {
        let Some(long_from) = self.long_from else {
            return;
        };
        let short = self.goals.range(..long_from).next_back();
        let short = short.map_or(long_from, |(goal, _)| *goal);
        self.work_s = [short, long_from].map(|goal| INITIAL_HELD_TIME * goal.as_secs_f64());
        self.long_share = INITIAL_LONG_SHARE;
        self.requests = 0;
        self.everywhere = ShortShare::default();
        self.own_region = ShortShare::default();
    }
}
