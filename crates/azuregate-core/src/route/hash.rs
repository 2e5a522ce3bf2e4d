//! The hash function for rendezvous hashing.

use xxhash_rust::xxh3::Xxh3;

/// Returns a hash of `parts` that is the same on every machine and in every
/// version.
///
/// The parts are separated, so that `["ab", "c"]` and `["a", "bc"]` differ.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}
