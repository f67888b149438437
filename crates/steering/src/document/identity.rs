//! Identification of non-idempotent requests by header fields, so that a request that is
//! sent again is recognized.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Problems;
use crate::claim::Fingerprint;
use crate::ids::ClaimId;

/// Statuses that can be configured to mean that an upstream refused a request without
/// executing it.
const REJECTION_STATUSES: std::ops::RangeInclusive<u16> = 400..=499;

/// Header fields that identify a non-idempotent request.
///
/// They have the same values if a person submits the same form again, even though the
/// connection, the ticket and the free text differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Fields that together identify the request: at least one, all required in each
    /// request.
    pub key_headers: Vec<String>,
    /// Fields that must not differ when the request is sent again; if empty, the whole body
    /// must not differ.
    #[serde(default)]
    pub argument_headers: Vec<String>,
    /// Statuses by which the upstream states that it refused the request and did nothing.
    #[serde(default = "default_rejected_statuses")]
    pub rejected_statuses: Vec<u16>,
}

fn default_rejected_statuses() -> Vec<u16> {
    vec![400, 422]
}

/// Looks up a header field of a request by name.
///
/// Returns `None` if the field is missing, empty or repeated.
pub type HeaderLookup<'a> = dyn Fn(&str) -> Option<Vec<u8>> + 'a;

impl Identity {
    /// Returns the id under which the request is claimed; `None` if a key field is missing.
    pub fn claim_id(
        &self,
        service: &str,
        operation: &str,
        value_of: &HeaderLookup<'_>,
    ) -> Option<ClaimId> {
        let mut digest = Sha256::new();
        update_with_length(&mut digest, service.as_bytes());
        update_with_length(&mut digest, operation.as_bytes());
        for name in &self.key_headers {
            update_with_length(&mut digest, &value_of(name)?);
        }
        Some(format!("work-{:x}", digest.finalize()))
    }

    /// Returns the digest of the argument fields; `None` if there are none, so that the
    /// whole body must not differ.
    pub fn arguments(&self, value_of: &HeaderLookup<'_>) -> Option<Fingerprint> {
        if self.argument_headers.is_empty() {
            return None;
        }
        let mut digest = Sha256::new();
        for name in &self.argument_headers {
            let value = value_of(name);
            digest.update([u8::from(value.is_some())]);
            update_with_length(&mut digest, &value.unwrap_or_default());
        }
        Some(format!("{:x}", digest.finalize()))
    }

    /// Adds the problems of this identity to `problems`.
    pub(super) fn check(&self, path: &str, repeatable: bool, problems: &mut Problems) {
        if repeatable {
            problems.push(path, "is only for operations that are not repeatable");
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
                    problems.push(path, format!("`{name}` is not a lower-case header name"));
                } else if !seen.insert(name) {
                    problems.push(path, format!("`{name}` is listed twice"));
                }
            }
        }
        for (i, status) in self.rejected_statuses.iter().enumerate() {
            if !REJECTION_STATUSES.contains(status) {
                let path = format!("{path}.rejected_statuses[{i}]");
                problems.push(path, format!("must be from 400 to 499, is {status}"));
            }
        }
    }
}

fn update_with_length(digest: &mut Sha256, bytes: &[u8]) {
    digest.update((bytes.len() as u64).to_be_bytes());
    digest.update(bytes);
}

/// Whether a name has only lower-case letters, digits and hyphens, as service headers do.
fn is_header_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.chars().all(is_allowed)
}
