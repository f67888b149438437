//! Validation of a configuration beyond what its types ensure.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::{Document, Place, Rule, Service, Upstream};
use crate::labels::{Labels, STATE};

/// Allowed rounding error of the sum of a rule's shares.
const SHARE_TOLERANCE_PERCENT: f64 = 0.01;
const STATES: &[&str] = &["active", "draining", "retired"];

/// A validation error of one field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[display("{path}: {reason}")]
pub struct Problem {
    /// Path of the field, such as `rules[2].places[0].share_percent`.
    pub path: String,
    /// Why the field is invalid.
    pub reason: String,
}

/// All validation errors of a document, grouped by kind of object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Display, Error)]
#[display("{}", list.iter().map(Problem::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems {
    /// The errors; empty if the document is valid.
    pub list: Vec<Problem>,
}

impl Problems {
    /// Adds a problem.
    pub fn push(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.list.push(Problem {
            path: path.into(),
            reason: reason.into(),
        });
    }

    /// Returns `Ok` if there are no problems.
    pub fn into_result(self) -> Result<(), Problems> {
        if self.list.is_empty() {
            Ok(())
        } else {
            Err(self)
        }
    }

    fn push_if_below(&mut self, path: String, value: u64, minimum: u64) {
        if value < minimum {
            self.push(path, format!("must be at least {minimum}, is {value}"));
        }
    }
}

impl Document {
    /// Validates the document and returns all problems at once.
    pub fn check(&self) -> Result<(), Problems> {
        let mut problems = self.check_all_but_blocks();
        self.check_blocks(&mut problems);
        problems.into_result()
    }

    /// Like [`Document::check`], but skips the client blocks if `before`, a valid document,
    /// shares them and has the same zones.
    pub fn check_after(&self, before: &Document) -> Result<(), Problems> {
        let same_zones = self
            .zones
            .iter()
            .map(|z| &z.name)
            .eq(before.zones.iter().map(|z| &z.name));
        if same_zones && Arc::ptr_eq(&self.blocks, &before.blocks) {
            return self.check_all_but_blocks().into_result();
        }
        self.check()
    }

    fn check_all_but_blocks(&self) -> Problems {
        let mut problems = Problems::default();
        self.check_regions_and_zones(&mut problems);
        self.check_services(&mut problems);
        self.check_upstreams(&mut problems);
        self.check_rules(&mut problems);
        problems
    }

    fn check_regions_and_zones(&self, problems: &mut Problems) {
        check_unique(
            "regions",
            self.regions.iter().map(|region| region.name.clone()),
            problems,
        );
        check_unique(
            "zones",
            self.zones.iter().map(|zone| zone.name.clone()),
            problems,
        );
        for (i, region) in self.regions.iter().enumerate() {
            check_name(&format!("regions[{i}].name"), &region.name, problems);
            check_limit(
                &format!("regions[{i}].limit_in_flight"),
                region.limit_in_flight,
                problems,
            );
        }
        for (i, zone) in self.zones.iter().enumerate() {
            check_name(&format!("zones[{i}].name"), &zone.name, problems);
            check_limit(
                &format!("zones[{i}].limit_in_flight"),
                zone.limit_in_flight,
                problems,
            );
            check_state(&format!("zones[{i}].labels"), &zone.labels, problems);
            check_ms(&format!("zones[{i}].one_way_ms"), zone.one_way_ms, problems);
            if !self.regions.iter().any(|region| region.name == zone.region) {
                problems.push(
                    format!("zones[{i}].region"),
                    format!("no region is named `{}`", zone.region),
                );
            }
        }
        self.check_links(problems);
    }

    fn check_links(&self, problems: &mut Problems) {
        for (i, link) in self.links.iter().enumerate() {
            let path = format!("links[{i}]");
            check_ms(&format!("{path}.one_way_ms"), link.one_way_ms, problems);
            check_limit(
                &format!("{path}.limit_in_flight"),
                link.limit_in_flight,
                problems,
            );
            for (field, region) in [("from", &link.from), ("to", &link.to)] {
                if !self.regions.iter().any(|known| known.name == *region) {
                    problems.push(
                        format!("{path}.{field}"),
                        format!("no region is named `{region}`"),
                    );
                }
            }
            if link.from == link.to {
                problems.push(&path, "joins a region to itself");
            }
            if self.links[..i]
                .iter()
                .any(|other| other.joins(&link.from, &link.to))
            {
                problems.push(
                    path,
                    format!("`{}` and `{}` are joined twice", link.from, link.to),
                );
            }
        }
    }

    fn check_services(&self, problems: &mut Problems) {
        check_unique(
            "services",
            self.services.iter().map(|service| service.name.clone()),
            problems,
        );
        for (i, service) in self.services.iter().enumerate() {
            check_service(&format!("services[{i}]"), service, problems);
        }
    }

    fn check_upstreams(&self, problems: &mut Problems) {
        check_unique(
            "upstreams",
            self.upstreams.iter().map(|upstream| upstream.name.clone()),
            problems,
        );
        let addresses = self
            .upstreams
            .iter()
            .map(|upstream| upstream.address.to_string());
        let mut seen = BTreeSet::new();
        for (i, address) in addresses.enumerate() {
            if !seen.insert(address.clone()) {
                problems.push(
                    format!("upstreams[{i}].address"),
                    format!("`{address}` is used twice"),
                );
            }
        }
        for (i, upstream) in self.upstreams.iter().enumerate() {
            self.check_upstream(&format!("upstreams[{i}]"), upstream, problems);
        }
    }

    fn check_upstream(&self, path: &str, upstream: &Upstream, problems: &mut Problems) {
        check_name(&format!("{path}.name"), &upstream.name, problems);
        problems.push_if_below(format!("{path}.slots"), upstream.slots.into(), 1);
        problems.push_if_below(
            format!("{path}.connection_limit"),
            upstream.connection_limit.into(),
            upstream.slots.into(),
        );
        check_state(&format!("{path}.labels"), &upstream.labels, problems);
        if self.service(&upstream.service).is_none() {
            problems.push(
                format!("{path}.service"),
                format!("no service is named `{}`", upstream.service),
            );
        }
        if self.zone(&upstream.zone).is_none() {
            problems.push(
                format!("{path}.zone"),
                format!("no zone is named `{}`", upstream.zone),
            );
        }
    }

    fn check_rules(&self, problems: &mut Problems) {
        check_unique(
            "rules",
            self.rules.iter().map(|rule| rule.name.clone()),
            problems,
        );
        for (i, rule) in self.rules.iter().enumerate() {
            let path = format!("rules[{i}]");
            self.check_rule(&path, rule, problems);
        }
    }

    fn check_rule(&self, path: &str, rule: &Rule, problems: &mut Problems) {
        check_name(&format!("{path}.name"), &rule.name, problems);
        let services = self.services.iter();
        if !services
            .into_iter()
            .any(|s| rule.traffic.service.matches(&s.selectable_labels()))
        {
            problems.push(format!("{path}.traffic.service"), "matches no service");
        }
        if rule.places.is_empty() {
            problems.push(format!("{path}.places"), "must name at least one place");
            return;
        }
        for (i, place) in rule.places.iter().enumerate() {
            self.check_place(&format!("{path}.places[{i}]"), place, problems);
        }
        self.check_overlap(path, rule, problems);
        let sum: f64 = rule.places.iter().map(|place| place.share_percent).sum();
        if (sum - 100.0).abs() > SHARE_TOLERANCE_PERCENT {
            problems.push(
                format!("{path}.places"),
                format!("share_percent must sum to 100, sums to {sum}"),
            );
        }
    }

    fn check_place(&self, path: &str, place: &Place, problems: &mut Problems) {
        if !(0.0..=100.0).contains(&place.share_percent) {
            problems.push(
                format!("{path}.share_percent"),
                format!("must be from 0 to 100, is {}", place.share_percent),
            );
        }
        if !self
            .zones
            .iter()
            .any(|zone| place.zones.matches(&zone.selectable_labels()))
        {
            problems.push(format!("{path}.zones"), "matches no zone");
        }
    }

    fn check_overlap(&self, path: &str, rule: &Rule, problems: &mut Problems) {
        for zone in &self.zones {
            let labels = zone.selectable_labels();
            let matching: Vec<usize> = rule
                .places
                .iter()
                .enumerate()
                .filter(|(_, place)| place.zones.matches(&labels))
                .map(|(i, _)| i)
                .collect();
            if let [first, second, ..] = matching[..] {
                problems.push(
                    format!("{path}.places[{second}].zones"),
                    format!("zone `{}` is already in places[{first}]", zone.name),
                );
            }
        }
    }

    fn check_blocks(&self, problems: &mut Problems) {
        let mut seen = BTreeSet::new();
        for (i, block) in self.blocks.iter().enumerate() {
            if block.prefix != block.prefix.trunc() {
                problems.push(
                    format!("blocks[{i}].prefix"),
                    "has bits set after its prefix length",
                );
            }
            if !seen.insert(block.prefix) {
                problems.push(
                    format!("blocks[{i}].prefix"),
                    format!("`{}` is listed twice", block.prefix),
                );
            }
            if self.zone(&block.zone).is_none() {
                problems.push(
                    format!("blocks[{i}].zone"),
                    format!("no zone is named `{}`", block.zone),
                );
            }
        }
    }
}

fn check_service(path: &str, service: &Service, problems: &mut Problems) {
    check_name(&format!("{path}.name"), &service.name, problems);
    problems.push_if_below(format!("{path}.deadline_ms"), service.deadline_ms, 1);
    check_ms(
        &format!("{path}.expected_ms"),
        service.expected_ms,
        problems,
    );
    if service.priority > 9 {
        problems.push(format!("{path}.priority"), "must be from 0 to 9");
    }
    let names = service
        .operations
        .iter()
        .map(|operation| operation.name.clone());
    check_unique(&format!("{path}.operations"), names, problems);
    for (i, operation) in service.operations.iter().enumerate() {
        if let Some(identity) = &operation.identity {
            let path = format!("{path}.operations[{i}].identity");
            identity.check(&path, operation.repeatable, problems);
        }
        if let Some(deadline_ms) = operation.deadline_ms {
            problems.push_if_below(
                format!("{path}.operations[{i}].deadline_ms"),
                deadline_ms,
                1,
            );
        }
    }
}

fn check_unique(path: &str, names: impl Iterator<Item = String>, problems: &mut Problems) {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name.clone()) {
            problems.push(
                format!("{path}[{i}].name"),
                format!("`{name}` is used twice"),
            );
        }
    }
}

fn check_name(path: &str, name: &str, problems: &mut Problems) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || !name.chars().all(is_allowed) {
        problems.push(path, "must be letters, digits, `-`, `_` or `.`");
    }
}

fn check_limit(path: &str, limit: Option<u32>, problems: &mut Problems) {
    if limit == Some(0) {
        problems.push(
            path,
            "must be at least 1; use `state=draining` to keep requests away",
        );
    }
}

fn check_ms(path: &str, value_ms: f64, problems: &mut Problems) {
    if !value_ms.is_finite() || value_ms < 0.0 {
        problems.push(path, "must be a number of milliseconds, 0 or more");
    }
}

fn check_state(path: &str, labels: &Labels, problems: &mut Problems) {
    if let Some(state) = labels.get(STATE)
        && !STATES.contains(&state.as_str())
    {
        problems.push(
            format!("{path}.state"),
            format!("must be one of {}, is `{state}`", STATES.join(", ")),
        );
    }
}
