//! Rendezvous hashing: assigns each key to a member of a set, with few reassignments
//! when the set changes.

use twox_hash::XxHash3_64;

/// Returns the members by descending score for `key`; the first one owns the key.
pub fn rank<'a>(key: &str, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = members
        .into_iter()
        .map(|member| (score(key, member), member))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the member that owns `key`; `None` if there are no members.
pub fn owner<'a>(key: &str, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members
        .into_iter()
        .max_by_key(|member| (score(key, member), *member))
}

/// Returns the score of a member for `key`.
pub(crate) fn score(key: &str, member: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(hash(key.as_bytes()), member.as_bytes())
}

/// Hashes bytes to the same value on every host.
pub fn hash(bytes: &[u8]) -> u64 {
    XxHash3_64::oneshot(bytes)
}
