//! Counts of answers by which a version is judged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{HostName, Incarnation, RuleName};

/// Response time, as a multiple of the expected one, from which an answer counts as slow.
/// The expectation takes into account whether the upstream is cold and holds the object.
const SLOW_RATIO: f64 = 2.5;

/// Quality of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerQuality {
    /// A valid answer in the usual time.
    Good,
    /// A failure of the upstream, or no valid answer.
    Failed,
    /// A valid answer that took several times as long as usual.
    Slow,
}

impl AnswerQuality {
    /// Returns the quality of a valid answer that took `ratio` times as long as expected.
    pub fn of_time(ratio: f64) -> Self {
        match ratio >= SLOW_RATIO {
            true => AnswerQuality::Slow,
            false => AnswerQuality::Good,
        }
    }
}

/// Number of answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u64,
    /// Failed or slow ones.
    pub bad: u64,
}

impl AnswerCounts {
    /// Counts an answer.
    pub fn add(&mut self, quality: AnswerQuality) {
        self.answers += 1;
        self.bad += u64::from(quality != AnswerQuality::Good);
    }

    fn merge(&mut self, other: AnswerCounts) {
        self.answers += other.answers;
        self.bad += other.bad;
    }
}

/// Answers on one route since the roll-out began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Answers of the version that is rolled out.
    pub new: AnswerCounts,
    /// Answers of other versions.
    pub old: AnswerCounts,
}

/// Answers that all hosts have counted.
///
/// Hosts report totals since they started. A report replaces the one before, so that a
/// repeated or lost report changes nothing.
#[derive(Debug, Default)]
pub struct Evidence {
    hosts: BTreeMap<HostName, (Incarnation, BTreeMap<RuleName, RouteCounts>)>,
    /// Totals of hosts that have started again since.
    ended: BTreeMap<RuleName, RouteCounts>,
}

impl Evidence {
    /// Records the totals of a host.
    pub fn record(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        counts: BTreeMap<RuleName, RouteCounts>,
    ) {
        let before = self.hosts.insert(host.to_owned(), (incarnation, counts));
        let ended = before.filter(|(known, _)| *known != incarnation);
        for (route, counts) in ended.into_iter().flat_map(|(_, counts)| counts) {
            let total = self.ended.entry(route).or_default();
            total.new.merge(counts.new);
            total.old.merge(counts.old);
        }
    }

    /// Returns the totals of all hosts by route.
    pub fn by_route(&self) -> BTreeMap<&str, RouteCounts> {
        let mut totals: BTreeMap<&str, RouteCounts> = BTreeMap::new();
        let current = self.hosts.values().flat_map(|(_, counts)| counts);
        for (route, counts) in current.chain(&self.ended) {
            let total = totals.entry(route).or_default();
            total.new.merge(counts.new);
            total.old.merge(counts.old);
        }
        totals
    }

    /// Returns the totals of all hosts and routes.
    pub fn total(&self) -> RouteCounts {
        let mut total = RouteCounts::default();
        for counts in self.by_route().values() {
            total.new.merge(counts.new);
            total.old.merge(counts.old);
        }
        total
    }
}
