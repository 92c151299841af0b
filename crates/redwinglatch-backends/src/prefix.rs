//! Hashes of prompt prefixes, as engines publish them.

/// Prompt bytes by which each hash extends the prefix of the one before.
const CHUNK_BYTES: usize = 256;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv1a(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the hash of each prefix of `prompt` whose length is a multiple of 256 bytes.
///
/// The adapter and its version are part of each hash because the KV cache depends on them. Equal
/// hashes at one position mean equal prefixes.
#[must_use]
pub fn prefix_hashes(prompt: &str, adapter: &str, version: u32) -> Vec<u64> {
    let seed = fnv1a(fnv1a(FNV_OFFSET, adapter.as_bytes()), &version.to_le_bytes());
    let chunks = prompt.as_bytes().chunks_exact(CHUNK_BYTES);
    chunks
        .scan(seed, |hash, chunk| {
            *hash = fnv1a(*hash, chunk);
            Some(*hash)
        })
        .collect()
}
