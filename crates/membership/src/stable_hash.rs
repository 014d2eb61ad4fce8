//! The hash that members compare with each other: fingerprints of groups, digests of tables and of records.

use std::hash::{BuildHasher, BuildHasherDefault, Hash};

use siphasher::sip::SipHasher13;

/// A hash that is the same in every process of every build. The algorithm of the standard library's hasher may change
/// with the toolchain; members of two builds would then reject each other's group, and their folders as foreign.
pub fn stable_hash(value: impl Hash) -> u64 {
    BuildHasherDefault::<SipHasher13>::default().hash_one(value)
}
