//! Counts of answers by which a version is judged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::change_test::ChangeTest;
use super::verdict::usual_rate;
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

    /// The answers counted since `before`.
    fn since(self, before: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            answers: self.answers.saturating_sub(before.answers),
            bad: self.bad.saturating_sub(before.bad),
        }
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
/// Hosts report totals since they started. A report adds what it has more than the one before,
/// so that a repeated or lost report changes nothing.
#[derive(Debug, Default)]
pub struct Evidence {
    hosts: BTreeMap<HostName, (Incarnation, BTreeMap<RuleName, RouteCounts>)>,
    routes: BTreeMap<RuleName, RouteEvidence>,
    total: RouteEvidence,
}

/// Answers on one route, or on all, of all hosts.
#[derive(Debug, Clone, Copy, Default)]
struct RouteEvidence {
    counts: RouteCounts,
    change: ChangeTest,
}

impl RouteEvidence {
    fn add(&mut self, counts: RouteCounts) {
        self.counts.old.merge(counts.old);
        self.counts.new.merge(counts.new);
        self.change.add(counts.new, usual_rate(self.counts.old));
    }
}

impl Evidence {
    /// Records the totals of a host.
    pub fn record(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        counts: BTreeMap<RuleName, RouteCounts>,
    ) {
        let known = self.hosts.entry(host.to_owned()).or_default();
        if known.0 != incarnation {
            *known = (incarnation, BTreeMap::new());
        }
        let mut all = RouteCounts::default();
        for (route, counts) in counts {
            let known = known.1.entry(route.clone()).or_default();
            let added = RouteCounts {
                new: counts.new.since(known.new),
                old: counts.old.since(known.old),
            };
            known.new.merge(added.new);
            known.old.merge(added.old);
            all.new.merge(added.new);
            all.old.merge(added.old);
            self.routes.entry(route).or_default().add(added);
        }
        self.total.add(all);
    }

    /// Returns the totals of all hosts by route.
    pub fn by_route(&self) -> BTreeMap<&str, RouteCounts> {
        let routes = self.routes.iter();
        let routes = routes.map(|(route, evidence)| (route.as_str(), evidence.counts));
        routes.collect()
    }

    /// Returns the totals of all hosts and routes.
    pub fn total(&self) -> RouteCounts {
        self.total.counts
    }

    /// Returns whether the version has turned bad, on all routes together or on one.
    pub(super) fn has_changed(&self) -> bool {
        let mut routes = self.routes.values();
        self.total.change.has_changed() || routes.any(|route| route.change.has_changed())
    }
}
