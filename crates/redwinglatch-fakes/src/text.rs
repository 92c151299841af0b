//! The deterministic completion texts of fake engines.

use std::fmt::Write as _;

/// The number of prompt bytes that one prefix hash covers.
const PREFIX_CHUNK_BYTES: usize = 256;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv_hash(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the hash from which all tokens of a completion are derived.
pub(crate) fn text_seed(prompt: &str, adapter: &str, version: u32) -> u64 {
    let seed = fnv_hash(FNV_OFFSET, adapter.as_bytes());
    let seed = fnv_hash(seed, &version.to_le_bytes());
    fnv_hash(seed, prompt.as_bytes())
}

pub(crate) fn token_text(seed: u64, index: u32) -> String {
    let mut text = String::with_capacity(7);
    let _ = write!(text, "{:06x} ", fnv_hash(seed, &index.to_le_bytes()) & 0xff_ffff);
    text
}

/// Returns the token at `index` of the completion of `prompt` on `adapter` at `version`.
#[must_use]
pub fn expected_token(prompt: &str, adapter: &str, version: u32, index: u32) -> String {
    token_text(text_seed(prompt, adapter, version), index)
}

/// Returns the whole completion of `prompt` on `adapter` at `version`.
#[must_use]
pub fn expected_text(prompt: &str, adapter: &str, version: u32, max_tokens: u32) -> String {
    let seed = text_seed(prompt, adapter, version);
    (0..max_tokens).map(|index| token_text(seed, index)).collect()
}

/// Returns the hash of each whole 256-byte prefix of `prompt` on `adapter` at `version`.
///
/// Each hash extends the preceding one, so equal hashes mean equal prefixes. The hash includes the
/// adapter and its version because the KV cache depends on them.
#[must_use]
pub fn prefix_hashes(prompt: &str, adapter: &str, version: u32) -> Vec<u64> {
    let mut hash = fnv_hash(fnv_hash(FNV_OFFSET, adapter.as_bytes()), &version.to_le_bytes());
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_CHUNK_BYTES)
        .map(|chunk| {
            hash = fnv_hash(hash, chunk);
            hash
        })
        .collect()
}
