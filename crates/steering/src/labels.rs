//! Labels and the selectors over them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Labels of an object: key to value.
pub type Labels = BTreeMap<String, String>;

/// Label key that says whether an upstream or zone takes new work.
pub const STATE: &str = "state";
/// Value of [`STATE`] that takes no new work and finishes what runs.
pub const STATE_DRAINING: &str = "draining";
/// Value of [`STATE`] that takes no work and may be removed.
pub const STATE_RETIRED: &str = "retired";

/// A set of terms over labels; all terms must hold, and no term holds for all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// Keys that must have this value.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub equals: BTreeMap<String, String>,
    /// Keys whose value must be one of the set.
    #[serde(rename = "in", skip_serializing_if = "BTreeMap::is_empty")]
    pub one_of: BTreeMap<String, BTreeSet<String>>,
    /// Keys whose value must not be one of the set; an absent key passes.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub not_in: BTreeMap<String, BTreeSet<String>>,
    /// Keys that must be there.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub exists: BTreeSet<String>,
    /// Keys that must not be there.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub absent: BTreeSet<String>,
}

impl Selector {
    /// Whether all terms hold for the labels.
    pub fn matches(&self, labels: &Labels) -> bool {
        let equals = self
            .equals
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value));
        let one_of = self
            .one_of
            .iter()
            .all(|(key, set)| labels.get(key).is_some_and(|value| set.contains(value)));
        let not_in = self
            .not_in
            .iter()
            .all(|(key, set)| labels.get(key).is_none_or(|value| !set.contains(value)));
        let exists = self.exists.iter().all(|key| labels.contains_key(key));
        let absent = self.absent.iter().all(|key| !labels.contains_key(key));
        equals && one_of && not_in && exists && absent
    }
}

/// Whether an object with these labels takes new work.
pub fn takes_new_work(labels: &Labels) -> bool {
    !matches!(
        labels.get(STATE).map(String::as_str),
        Some(STATE_DRAINING | STATE_RETIRED)
    )
}
