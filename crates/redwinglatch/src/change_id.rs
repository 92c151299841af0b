//! Change ids that are derived from the content of a change.

use redwinglatch_core::Revision;

/// Returns the id of a change. The same content with the same expected revision has the same id,
/// so a change that is sent again is applied once.
///
/// `latest` is the revision of the last known change of the customer. It distinguishes two changes
/// that both expect no contract: one before a contract existed and one after it was removed.
pub(crate) fn derive_change_id(content: &str, expected: Revision, latest: Revision) -> String {
    format!("{}-{}-{:032x}", expected.0, latest.0, fnv1a_128(content.as_bytes()))
}

/// Returns the 128-bit FNV-1a hash. Unlike the standard library's hasher, its definition is fixed,
/// so every version of the command line derives the same id.
fn fnv1a_128(bytes: &[u8]) -> u128 {
    const OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(PRIME))
}
