//! The version of a service that is in use, as all hosts remember it.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::order::SoftwareVersion;
use super::status::{RolloutStage, RolloutStatus};
use crate::ids::{ServiceName, ZoneName};

/// Why a version is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum IncumbentReason {
    /// The service had no recorded version; its oldest upstream has this one.
    #[display("first")]
    First,
    /// A roll-out to the version has been completed.
    #[display("completed")]
    Completed,
    /// No upstream of the version before is left.
    #[display("none_left")]
    NoneLeft,
}

/// The version of a service that gets requests without an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incumbent {
    /// The service.
    pub service: ServiceName,
    /// The version in use.
    pub version: SoftwareVersion,
    /// Revision of the last completed order; 0 before the first one.
    pub order_revision: u64,
    /// Number of records since that order; 0 if this host has concluded the version by
    /// itself and the store may not have it yet.
    pub record: u64,
    /// Why the version is in use.
    pub reason: IncumbentReason,
    /// Zones of the version's upstreams at the time of the record; empty if unknown.
    pub zones: BTreeSet<ZoneName>,
}

impl Incumbent {
    /// Returns the version that a completed roll-out has put in use; `None` for other
    /// stages. Each host concludes it by itself, so that no second message is needed.
    pub fn of_completed(status: &RolloutStatus) -> Option<Self> {
        (status.stage == RolloutStage::Completed).then(|| Incumbent {
            service: status.service.clone(),
            version: status.to_version.clone(),
            order_revision: status.order_revision,
            record: 0,
            reason: IncumbentReason::Completed,
            zones: BTreeSet::new(),
        })
    }

    /// Returns whether this record replaces `other`.
    pub fn is_newer_than(&self, other: &Incumbent) -> bool {
        (self.order_revision, self.record) > (other.order_revision, other.record)
    }

    /// Returns whether the record has been written to the store.
    pub fn is_recorded(&self) -> bool {
        self.record > 0
    }

    /// Returns the hash of the record, the same on every host.
    pub(super) fn fingerprint(&self) -> u64 {
        let Incumbent {
            service,
            order_revision,
            record,
            ..
        } = self;
        let text = format!("incumbent {service} {order_revision} {record}");
        crate::rendezvous::hash(text.as_bytes())
    }
}
