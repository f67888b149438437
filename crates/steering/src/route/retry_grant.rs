//! The answer to a request for a retry.

/// Answer of a share to a request for a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryGrant {
    /// Whether the retry may be sent. Where retries are scarce, a first-time caller's may not,
    /// although `used` is below `limit`.
    pub is_allowed: bool,
    /// Retries of this host in the window before this one.
    pub used: usize,
    /// Retries that this host may send in the window.
    pub limit: f64,
    /// Retries that this host may send at once after this one.
    pub tokens: f64,
    /// Hosts that share the limit; `None` while they are unknown.
    pub hosts: Option<usize>,
}
