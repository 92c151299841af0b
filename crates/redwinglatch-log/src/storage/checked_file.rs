//! The format of files with a checksum, which are replaced as a whole.
//!
//! A file consists of a magic number (8 bytes), the CRC32 of everything after the CRC32 (4 bytes),
//! the length of the head (4 bytes), the head encoded with postcard, and a tail of plain bytes. All
//! numbers are little-endian.

use serde::{Serialize, de::DeserializeOwned};

const PREFIX_BYTES: usize = 16;

/// Identifies the format; the last byte is its version.
const MAGIC: [u8; 8] = *b"rwlog\0\0\x01";

pub(super) fn encode<T: Serialize>(head: &T, tail: &[u8]) -> Result<Vec<u8>, postcard::Error> {
    let head = postcard::to_allocvec(head)?;
    let mut bytes = Vec::with_capacity(PREFIX_BYTES + head.len() + tail.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(&u32::try_from(head.len()).unwrap_or(u32::MAX).to_le_bytes());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(tail);
    let crc = crc32fast::hash(&bytes[12..]);
    bytes[8..12].copy_from_slice(&crc.to_le_bytes());
    Ok(bytes)
}

/// Decodes a file; returns the head and the offset of the tail.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), &'static str> {
    let prefix = bytes.get(..PREFIX_BYTES).ok_or("the file is too short")?;
    if prefix[..8] != MAGIC {
        return Err("the magic number or the format version is wrong");
    }
    let read_u32 = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|i| prefix[at + i]));
    if crc32fast::hash(&bytes[12..]) != read_u32(8) {
        return Err("the checksum is wrong");
    }
    let tail_offset = PREFIX_BYTES.saturating_add(read_u32(12) as usize);
    let head = bytes.get(PREFIX_BYTES..tail_offset).ok_or("the head is incomplete")?;
    let head = postcard::from_bytes(head).map_err(|_| "the head is malformed")?;
    Ok((head, tail_offset))
}
