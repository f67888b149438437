//! An operator's order to roll out a version.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Version of an upstream's software.
pub type SoftwareVersion = String;

/// Maximum time that an order may give; longer ones are errors of their writer.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// An order to move a service's requests to the upstreams of another version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub to_version: SoftwareVersion,
    /// Time from the order within which the roll-out must be decided.
    pub duration: Duration,
    /// Version of the order's row in the store; a later order has a higher one.
    pub revision: u64,
}

/// Why an order is not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum OrderError {
    /// The order names no version.
    #[display("to_version: it is empty")]
    NoVersion,
    /// The duration is no time or too long.
    #[display("duration_s: it must be above 0 and at most {} s", MAX_DURATION.as_secs())]
    Duration,
    /// The document does not have the service.
    #[display("service: it is not in the document")]
    UnknownService,
    /// The service already has the version.
    #[display("to_version: the service already has it")]
    SameVersion,
}

impl RolloutOrder {
    /// Creates an order.
    ///
    /// # Errors
    ///
    /// Names the field that is invalid.
    pub fn new(
        service: ServiceName,
        to_version: SoftwareVersion,
        duration_s: f64,
        revision: u64,
    ) -> Result<Self, OrderError> {
        if to_version.is_empty() {
            return Err(OrderError::NoVersion);
        }
        let duration = Duration::try_from_secs_f64(duration_s).ok();
        let duration = duration.filter(|duration| !duration.is_zero() && *duration <= MAX_DURATION);
        Ok(RolloutOrder {
            service,
            to_version,
            duration: duration.ok_or(OrderError::Duration)?,
            revision,
        })
    }
}
