//! Labels of objects and selectors that match them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Labels of an object: key to value.
pub type Labels = BTreeMap<String, String>;

/// Label key for whether an upstream or zone accepts new requests.
pub const STATE: &str = "state";
/// Value of [`STATE`]: accepts no new requests and completes the running ones.
pub const STATE_DRAINING: &str = "draining";
/// Value of [`STATE`]: serves no requests and may be removed.
pub const STATE_RETIRED: &str = "retired";

/// A conjunction of conditions on labels; an empty selector matches everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// Keys that must have the given value.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub equals: BTreeMap<String, String>,
    /// Keys that must exist with a value from the set.
    #[serde(rename = "in", skip_serializing_if = "BTreeMap::is_empty")]
    pub one_of: BTreeMap<String, BTreeSet<String>>,
    /// Keys whose value must not be in the set; a missing key passes.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub not_in: BTreeMap<String, BTreeSet<String>>,
    /// Keys that must exist.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub exists: BTreeSet<String>,
    /// Keys that must not exist.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub absent: BTreeSet<String>,
}

impl Selector {
    /// Whether the labels meet all conditions.
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

/// Whether an object with these labels accepts new requests.
pub fn takes_new_work(labels: &Labels) -> bool {
    !matches!(
        labels.get(STATE).map(String::as_str),
        Some(STATE_DRAINING | STATE_RETIRED)
    )
}
