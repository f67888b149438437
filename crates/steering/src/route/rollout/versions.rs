//! Which versions of a service may get requests.

use std::collections::BTreeMap;

use super::incumbent::Incumbent;
use super::order::{RolloutOrder, SoftwareVersion};
use super::status::{RolloutStage, RolloutStatus};
use crate::route::service_pool::ServiceRollout;

/// Rule by which the upstreams of a service are used, depending on their version.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum VersionRule {
    /// Versions don't matter: there is no order.
    #[default]
    Any,
    /// No version gets requests: which one is in use is unknown.
    Nothing,
    /// The named version gets no requests.
    Without(SoftwareVersion),
    /// A share of the requests goes to the named version, the others to the other versions.
    Trial {
        /// The version on trial.
        version: SoftwareVersion,
        /// Revision of the order.
        order_revision: u64,
        /// Thousandths of the requests.
        share_per_mille: u16,
        /// The only version that gets the others; `None` if all other versions do.
        old: Option<SoftwareVersion>,
    },
    /// All requests go to the named version; others are used only if it can't take a request.
    Moving {
        /// The new version.
        version: SoftwareVersion,
        /// Revision of the order.
        order_revision: u64,
        /// The only version that may be used besides; `None` if all other versions may.
        old: Option<SoftwareVersion>,
    },
    /// Only the named version gets requests.
    Only(SoftwareVersion),
}

/// How the upstreams of a version are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionUsage {
    /// For all requests.
    Regular,
    /// For a share of the requests, or where no other upstream takes a request.
    Other,
    /// For no requests.
    Unused,
}

impl VersionRule {
    /// Returns the rule for a service whose version in use is known. Besides that version
    /// only one gets requests that an order names and a current status allows.
    pub fn of_incumbent(
        incumbent: &Incumbent,
        order: Option<&RolloutOrder>,
        status: Option<&RolloutStatus>,
    ) -> Self {
        let is_current = |status: &&RolloutStatus| {
            order.is_some_and(|order| order.revision <= status.order_revision)
                && status.order_revision > incumbent.order_revision
        };
        let incumbent = &incumbent.version;
        let only = || VersionRule::Only(incumbent.clone());
        let Some(status) = status.filter(is_current) else {
            return only();
        };
        let (version, old) = (status.to_version.clone(), Some(incumbent.clone()));
        let order_revision = status.order_revision;
        match status.stage {
            RolloutStage::Trial { share_per_mille } if version != *incumbent => {
                VersionRule::Trial {
                    version,
                    order_revision,
                    share_per_mille,
                    old,
                }
            }
            RolloutStage::Moving => VersionRule::Moving {
                version,
                order_revision,
                old,
            },
            _ => only(),
        }
    }

    /// Returns how the upstreams of a version are used.
    pub fn usage(&self, version: &str) -> VersionUsage {
        match self {
            VersionRule::Any => VersionUsage::Regular,
            VersionRule::Nothing => VersionUsage::Unused,
            VersionRule::Without(unused) if unused == version => VersionUsage::Unused,
            VersionRule::Without(_) => VersionUsage::Regular,
            VersionRule::Trial { version: other, .. } if other == version => VersionUsage::Other,
            VersionRule::Trial { old, .. } if may_be_old(old, version) => VersionUsage::Regular,
            VersionRule::Moving { version: new, .. } if new == version => VersionUsage::Regular,
            VersionRule::Moving { old, .. } if may_be_old(old, version) => VersionUsage::Other,
            VersionRule::Trial { .. } | VersionRule::Moving { .. } => VersionUsage::Unused,
            VersionRule::Only(only) if only == version => VersionUsage::Regular,
            VersionRule::Only(_) => VersionUsage::Unused,
        }
    }

    /// Returns the roll-out that is not decided yet.
    pub(crate) fn rollout(&self) -> Option<ServiceRollout> {
        match self {
            VersionRule::Trial {
                version,
                order_revision,
                share_per_mille,
                ..
            } => Some(ServiceRollout {
                order_revision: *order_revision,
                version: version.clone(),
                trial_per_mille: Some(*share_per_mille),
            }),
            VersionRule::Moving {
                version,
                order_revision,
                ..
            } => Some(ServiceRollout {
                order_revision: *order_revision,
                version: version.clone(),
                trial_per_mille: None,
            }),
            _ => None,
        }
    }

    /// Returns the rule for a service whose versions need no orders. `upstreams` are the versions of its upstreams, with
    /// the number of upstreams of each.
    ///
    /// An order whose status is unknown gives its version nothing, unless the service has no
    /// other version: then the roll-out has been completed before this host started.
    pub fn new(
        order: Option<&RolloutOrder>,
        status: Option<&RolloutStatus>,
        upstreams: &BTreeMap<&str, usize>,
    ) -> Self {
        let status = status.filter(|status| {
            let is_current = |order: &RolloutOrder| order.revision <= status.order_revision;
            order.is_none_or(is_current)
        });
        let Some(status) = status else {
            let Some(order) = order else {
                return VersionRule::Any;
            };
            let is_other = |version: &&&str| **version != order.to_version;
            return match upstreams.keys().find(is_other) {
                Some(_) => VersionRule::Without(order.to_version.clone()),
                None => VersionRule::Any,
            };
        };
        let version = status.to_version.clone();
        match status.stage {
            // Without an order there is nothing to try.
            RolloutStage::Trial { .. } | RolloutStage::Moving if order.is_none() => {
                VersionRule::Without(version)
            }
            RolloutStage::Trial { share_per_mille } => VersionRule::Trial {
                version,
                order_revision: status.order_revision,
                share_per_mille,
                old: None,
            },
            RolloutStage::Moving => VersionRule::Moving {
                version,
                order_revision: status.order_revision,
                old: None,
            },
            // If its upstreams are gone, others have replaced them without an order.
            RolloutStage::Completed if !upstreams.contains_key(version.as_str()) => {
                VersionRule::Any
            }
            RolloutStage::Completed => VersionRule::Only(version),
            RolloutStage::RolledBack => VersionRule::Without(version),
        }
    }
}

/// Returns whether a version may be the one that is replaced.
fn may_be_old(old: &Option<SoftwareVersion>, version: &str) -> bool {
    old.as_ref().is_none_or(|old| old == version)
}
