//! Hashes of prompt prefixes, as engines publish them.

/// The number of prompt bytes that one hash adds to the prefix.
const CHUNK_BYTES: usize = 256;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the hash of each prefix of `prompt` that is a whole number of 256-byte chunks long.
///
/// The adapter and its version are part of each hash because KV cache depends on them. Equal
/// hashes at one position mean equal prefixes.
#[must_use]
pub fn prefix_hashes(prompt: &str, adapter: &str, version: u32) -> Vec<u64> {
    let seed = fnv(fnv(FNV_OFFSET, adapter.as_bytes()), &version.to_le_bytes());
    let chunks = prompt.as_bytes().chunks_exact(CHUNK_BYTES);
    chunks
        .scan(seed, |hash, chunk| {
            *hash = fnv(*hash, chunk);
            Some(*hash)
        })
        .collect()
}
