//! What names a piece of work, so that it is known again when it is sent anew.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Problems;
use crate::claim::Fingerprint;
use crate::ids::ClaimId;

/// Statuses by which an upstream may say that it refused work without doing it.
const REJECTIONS: std::ops::RangeInclusive<u16> = 400..=499;

/// Header fields that name a piece of work: the same when a person sends the same
/// form again, though the connection, the ticket and the free text are others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Fields that together name the work, at least one; a request needs all.
    pub key_headers: Vec<String>,
    /// Fields that must be the same when it is sent again; empty: the whole body.
    #[serde(default)]
    pub argument_headers: Vec<String>,
    /// Statuses by which the upstream says that it refused the work and did nothing.
    #[serde(default = "default_rejected_statuses")]
    pub rejected_statuses: Vec<u16>,
}

fn default_rejected_statuses() -> Vec<u16> {
    vec![400, 422]
}

/// One header field of a request; none where it is missing, empty or there twice.
pub type HeaderValueOf<'a> = dyn Fn(&str) -> Option<Vec<u8>> + 'a;

impl Identity {
    /// Name of the work for the claim; none where a field is missing.
    pub fn claim_id(
        &self,
        service: &str,
        operation: &str,
        value: &HeaderValueOf<'_>,
    ) -> Option<ClaimId> {
        let mut digest = Sha256::new();
        add(&mut digest, service.as_bytes());
        add(&mut digest, operation.as_bytes());
        for name in &self.key_headers {
            add(&mut digest, &value(name)?);
        }
        Some(format!("work-{:x}", digest.finalize()))
    }

    /// Digest of what must be the same; none where the whole body must.
    pub fn arguments(&self, value: &HeaderValueOf<'_>) -> Option<Fingerprint> {
        if self.argument_headers.is_empty() {
            return None;
        }
        let mut digest = Sha256::new();
        for name in &self.argument_headers {
            let value = value(name);
            digest.update([u8::from(value.is_some())]);
            add(&mut digest, &value.unwrap_or_default());
        }
        Some(format!("{:x}", digest.finalize()))
    }

    /// Reports what is wrong with it.
    pub(super) fn check(&self, path: &str, repeatable: bool, problems: &mut Problems) {
        if repeatable {
            problems.push(path, "is for work that may not be repeated");
        }
        if self.key_headers.is_empty() {
            problems.push(format!("{path}.key_headers"), "must not be empty");
        }
        let mut seen = BTreeSet::new();
        for (field, names) in [
            ("key_headers", &self.key_headers),
            ("argument_headers", &self.argument_headers),
        ] {
            for (i, name) in names.iter().enumerate() {
                let path = format!("{path}.{field}[{i}]");
                if !is_header_name(name) {
                    problems.push(path, format!("`{name}` is no lower-case header name"));
                } else if !seen.insert(name) {
                    problems.push(path, format!("`{name}` is there twice"));
                }
            }
        }
        for (i, status) in self.rejected_statuses.iter().enumerate() {
            if !REJECTIONS.contains(status) {
                let path = format!("{path}.rejected_statuses[{i}]");
                problems.push(path, format!("must be from 400 to 499, is {status}"));
            }
        }
    }
}

fn add(digest: &mut Sha256, part: &[u8]) {
    digest.update((part.len() as u64).to_be_bytes());
    digest.update(part);
}

/// Letters, digits and hyphens: what header names of services are made of.
fn is_header_name(name: &str) -> bool {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.chars().all(fits)
}
