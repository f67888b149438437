//! The hosts that hold shares of a limit.

use crate::rendezvous;

/// Maximum number of holders. With fewer, the loss of one would remove much of the limit.
pub const MAX_HOLDERS: usize = 4;
/// Minimum number of holders, if there are as many hosts, so that one may be lost.
const MIN_HOLDERS: usize = 2;
/// Minimum share of a holder, in requests per second. A smaller share would take long to yield its
/// first whole token.
const MIN_SHARE_PER_S: f64 = 0.5;

/// The hosts among `hosts` that hold shares of the limit of `per_s` requests per second that an
/// upstream's start `start` set. Hosts with equal lists get equal results.
pub fn holders<'a>(
    start: &str,
    per_s: f64,
    hosts: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let wanted = (per_s / MIN_SHARE_PER_S) as usize;
    let mut ranked = rendezvous::rank(start, hosts);
    ranked.truncate(wanted.clamp(MIN_HOLDERS, MAX_HOLDERS));
    ranked
}
