//! Which hosts hold the parts of a limit.

use crate::rendezvous;

/// Holders of a limit at most. Fewer, and a lost host would take much of it away.
pub const MAX_HOLDERS: usize = 4;
/// Holders at least, where there are as many hosts: one may be lost.
const HOLDERS_LEAST: usize = 2;
/// Least part of a holder, in requests a second. With less each would wait long for its first
/// whole token.
const PART_LEAST_PER_S: f64 = 0.5;

/// The holders of a limit of `per_s` requests a second of the start `start` of an upstream
/// among hosts, the same on every host that has the same list.
pub fn holders<'a>(
    start: &str,
    per_s: f64,
    hosts: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let wanted = (per_s / PART_LEAST_PER_S) as usize;
    let mut ranked = rendezvous::rank(start, hosts);
    ranked.truncate(wanted.clamp(HOLDERS_LEAST, MAX_HOLDERS));
    ranked
}
