//! Rendezvous hashing: who of a set looks after a key, with little change when
//! the set changes.

use twox_hash::XxHash3_64;

/// Members in the order of their claim to `key`; the first looks after it.
pub fn rank<'a>(key: &str, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = members
        .into_iter()
        .map(|member| (score(key, member), member))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// The member that looks after `key`.
pub fn owner<'a>(key: &str, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members
        .into_iter()
        .max_by_key(|member| (score(key, member), *member))
}

fn score(key: &str, member: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(hash(key.as_bytes()), member.as_bytes())
}

/// A hash that is the same on every host.
pub fn hash(bytes: &[u8]) -> u64 {
    XxHash3_64::oneshot(bytes)
}
