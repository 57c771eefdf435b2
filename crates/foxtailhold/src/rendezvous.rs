//! Rendezvous hashing (Thaler and Ravishankar, 1998): every instance that knows the same members
//! names the same home for a key, and a lost member moves only its own keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::InstanceId;

fn weight(member: &InstanceId, key: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(member.as_str().as_bytes(), 0);
    xxh3_64_with_seed(key, seed)
}

/// The member with the highest weight for `key`, `None` without members.
pub fn select<'a>(
    members: impl IntoIterator<Item = &'a InstanceId>,
    key: &[u8],
) -> Option<&'a InstanceId> {
    members
        .into_iter()
        .max_by_key(|member| (weight(member, key), *member))
}
