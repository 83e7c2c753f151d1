/*!
Hash functions shared by several modules.
*/

use {
    sha2::{Digest, Sha256},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Returns a hash of two strings that is the same on every node and build.
pub(crate) fn stable_hash(first: &str, second: &str) -> u64 {
    let seed = xxh3_64_with_seed(first.as_bytes(), 0);
    xxh3_64_with_seed(second.as_bytes(), seed)
}

/// Returns the first 16 bytes of the SHA-256 of `bytes`, in hexadecimal.
pub(crate) fn digest_hex(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    digest.iter().take(16).map(|b| format!("{b:02x}")).collect()
}
