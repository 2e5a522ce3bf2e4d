//! Rendezvous hashing: the same answer on every instance, from names alone.

use xxhash_rust::xxh3::Xxh3;

/// A hash of `parts`, the same on every machine and in every version.
///
/// A separator goes between the parts, so that `["ab", "c"]` and `["a", "bc"]`
/// differ.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}
