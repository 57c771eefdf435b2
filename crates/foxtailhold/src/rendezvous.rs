//! Rendezvous hashing (Thaler and Ravishankar, 1998). Instances that know the same members select
//! the same member for a key, and only the keys of a lost member move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;

fn weight(member: &InstanceId, key: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(member.as_str().as_bytes(), 0);
    xxh3_64_with_seed(key, seed)
}

/// Returns the member with the highest weight for `key`, or `None` if there are no members.
pub fn select<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
) -> Option<&'a InstanceId> {
    members
        .into_iter()
        .max_by_key(|member| (weight(member, key), *member))
}

/// Number of members with a higher weight for `key` than `member`.
pub fn rank<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
    member: &InstanceId,
) -> usize {
    let own = (weight(member, key), member);
    let is_before = |other: &&InstanceId| (weight(other, key), *other) > own;
    members.into_iter().filter(is_before).count()
}

/// The members with the highest weights for `key`, at most `count`, highest first.
pub fn first<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
    count: usize,
) -> Vec<&'a InstanceId> {
    let mut weighted: Vec<(u64, &InstanceId)> = members
        .into_iter()
        .map(|member| (weight(member, key), member))
        .collect();
    if weighted.len() > count {
        weighted.select_nth_unstable_by(count, |a, b| b.cmp(a));
        weighted.truncate(count);
    }
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, member)| member).collect()
}
