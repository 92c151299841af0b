//! Records, the encoding of entries in segment files.
//!
//! A record consists of the length of its body (4 bytes), the CRC32 of the length and the body
//! (4 bytes) and the body: index (8 bytes), term (8 bytes), kind (1 byte) and the data of the
//! kind. All numbers are little-endian.

use bytes::Bytes;
use thiserror::Error;

use crate::{Entry, EntryKind, Index, MAX_ENTRY_BYTES, Term};

pub(super) const HEADER_BYTES: usize = 8;
const FIXED_BODY_BYTES: usize = 17;
const MAX_BODY_BYTES: usize = FIXED_BODY_BYTES + MAX_ENTRY_BYTES;

const KIND_EMPTY: u8 = 0;
const KIND_DATA: u8 = 1;
const KIND_MEMBERSHIP: u8 = 2;

/// The reason why bytes don't start with a valid record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum RecordError {
    /// The bytes end before the record does.
    #[error("the record is incomplete")]
    Incomplete,
    /// The length is outside the range of record lengths.
    #[error("the record's length {0} is out of range")]
    BadLength(u32),
    /// The checksum doesn't match the content.
    #[error("the record's checksum is wrong")]
    BadChecksum,
    /// The checksum matches, but the body is not valid.
    #[error("the record's body is malformed")]
    Malformed,
}

/// Appends the record of `entry` to `out`.
pub fn encode_record(entry: &Entry, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER_BYTES]);
    out.extend_from_slice(&entry.index.to_le_bytes());
    out.extend_from_slice(&entry.term.to_le_bytes());
    match &entry.kind {
        EntryKind::Empty => out.push(KIND_EMPTY),
        EntryKind::Data(data) => {
            out.push(KIND_DATA);
            out.extend_from_slice(data);
        }
        EntryKind::Membership(membership) => {
            out.push(KIND_MEMBERSHIP);
            out.extend(postcard::to_allocvec(membership).unwrap_or_default());
        }
    }
    let body_bytes = u32::try_from(out.len() - start - HEADER_BYTES).unwrap_or(u32::MAX);
    let crc = checksum(body_bytes, &out[start + HEADER_BYTES..]);
    out[start..start + 4].copy_from_slice(&body_bytes.to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&crc.to_le_bytes());
}

/// Decodes the record at the start of `bytes`; returns the entry and the record's size.
///
/// # Errors
///
/// Returns an error if `bytes` don't start with a whole, valid record.
pub fn decode_record(bytes: &[u8]) -> Result<(Entry, usize), RecordError> {
    let (body_bytes, rest) = split_u32(bytes).ok_or(RecordError::Incomplete)?;
    let (crc, rest) = split_u32(rest).ok_or(RecordError::Incomplete)?;
    let len = body_bytes as usize;
    if !(FIXED_BODY_BYTES..=MAX_BODY_BYTES).contains(&len) {
        return Err(RecordError::BadLength(body_bytes));
    }
    let body = rest.get(..len).ok_or(RecordError::Incomplete)?;
    if checksum(body_bytes, body) != crc {
        return Err(RecordError::BadChecksum);
    }
    let (index, term, kind) = split_body(body).ok_or(RecordError::Malformed)?;
    let data = &body[FIXED_BODY_BYTES..];
    let kind = match kind {
        KIND_EMPTY if data.is_empty() => EntryKind::Empty,
        KIND_DATA => EntryKind::Data(Bytes::copy_from_slice(data)),
        KIND_MEMBERSHIP => postcard::from_bytes(data)
            .map(EntryKind::Membership)
            .map_err(|_| RecordError::Malformed)?,
        _ => return Err(RecordError::Malformed),
    };
    Ok((Entry { index, term, kind }, HEADER_BYTES + len))
}

/// Finds a valid record with an index after `last_index` in `bytes`; returns its offset.
pub(super) fn find_valid_record(bytes: &[u8], last_index: Index) -> Option<usize> {
    // The index is compared first, because computing the checksum for nearly every offset would
    // be slow.
    let max_index = last_index.saturating_add(bytes.len() as u64);
    (0..bytes.len().saturating_sub(HEADER_BYTES + FIXED_BODY_BYTES - 1)).find(|&offset| {
        let record = &bytes[offset..];
        split_body(&record[HEADER_BYTES..])
            .is_some_and(|(index, ..)| index > last_index && index <= max_index)
            && decode_record(record).is_ok()
    })
}

fn checksum(body_bytes: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&body_bytes.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn split_u32(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (number, rest) = bytes.split_first_chunk()?;
    Some((u32::from_le_bytes(*number), rest))
}

fn split_body(body: &[u8]) -> Option<(Index, Term, u8)> {
    let (index, rest) = body.split_first_chunk()?;
    let (term, rest) = rest.split_first_chunk()?;
    Some((u64::from_le_bytes(*index), u64::from_le_bytes(*term), *rest.first()?))
}
