//! Decides whether a host that is cut off may use a version that it knows on trial only.

use std::collections::BTreeMap;

use super::evidence::{Evidence, RouteCounts};
use super::verdict::Verdict;
use crate::ids::RuleName;
use crate::route::unavailable::Unavailable;

/// Bad answers of the new version that a host out of touch takes in any case.
const MIN_BAD: u64 = 10;
/// Share of the new version's answers that may be bad beyond [`MIN_BAD`].
const MAX_BAD_SHARE: f64 = 0.1;

/// What a host knows when no upstream of the old version takes a request.
#[derive(Debug)]
pub struct LastResort<'a> {
    /// Whether the host's state of the roll-out is recent. It then knows that the old
    /// version still is the one to use.
    pub is_in_touch: bool,
    /// Why no upstream of the old version takes the request.
    pub unavailable: &'a Unavailable,
    /// Answers that this host has counted since the order.
    pub counts: &'a BTreeMap<RuleName, RouteCounts>,
}

impl LastResort<'_> {
    /// Returns whether the request may go to the version on trial. The roll-out may have been
    /// completed without this host, which ends the old version at once.
    pub fn allows(&self) -> bool {
        !self.is_in_touch && !self.unavailable.is_reachable() && !self.is_bad()
    }

    /// Nobody else stops a host that is cut off, so its own answers have to.
    fn is_bad(&self) -> bool {
        let mut evidence = Evidence::default();
        evidence.record("", 0, self.counts.clone());
        let new = evidence.total().new;
        let max_bad = MIN_BAD + (new.answers as f64 * MAX_BAD_SHARE) as u64;
        new.bad > max_bad || Verdict::of(&evidence) == Verdict::Bad
    }
}
