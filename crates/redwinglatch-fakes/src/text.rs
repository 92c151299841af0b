//! The deterministic answers of fake engines.

use std::fmt::Write as _;

/// The number of prompt bytes that one prefix hash covers.
const PREFIX_CHUNK_BYTES: usize = 256;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// The hash that all tokens of one answer derive from.
pub(crate) fn answer_seed(prompt: &str, adapter: &str, version: u32) -> u64 {
    let seed = fnv(FNV_OFFSET, adapter.as_bytes());
    let seed = fnv(seed, &version.to_le_bytes());
    fnv(seed, prompt.as_bytes())
}

pub(crate) fn token_of_seed(seed: u64, index: u32) -> String {
    let mut text = String::with_capacity(7);
    let _ = write!(text, "{:06x} ", fnv(seed, &index.to_le_bytes()) & 0xff_ffff);
    text
}

/// Returns the token at `index` of the answer to `prompt` on `adapter` at `version`.
#[must_use]
pub fn expected_token(prompt: &str, adapter: &str, version: u32, index: u32) -> String {
    token_of_seed(answer_seed(prompt, adapter, version), index)
}

/// Returns the whole answer to `prompt` on `adapter` at `version`.
#[must_use]
pub fn expected_text(prompt: &str, adapter: &str, version: u32, max_tokens: u32) -> String {
    let seed = answer_seed(prompt, adapter, version);
    (0..max_tokens).map(|index| token_of_seed(seed, index)).collect()
}

/// Returns the hash of each whole 256-byte prefix of `prompt` on `adapter` at `version`.
///
/// Each hash continues the one before it, so equal hashes mean equal prefixes. The adapter and its
/// version are part of the hash because the KV cache depends on them.
#[must_use]
pub fn prefix_hashes(prompt: &str, adapter: &str, version: u32) -> Vec<u64> {
    let mut hash = fnv(fnv(FNV_OFFSET, adapter.as_bytes()), &version.to_le_bytes());
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_CHUNK_BYTES)
        .map(|chunk| {
            hash = fnv(hash, chunk);
            hash
        })
        .collect()
}
