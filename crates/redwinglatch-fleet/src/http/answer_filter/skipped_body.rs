//! The body of an answer that is dropped.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Maximum size of a body that is dropped; beyond it the connection is closed.
const MAX_SKIPPED_BYTES: usize = 64 << 10;
/// Maximum size of a line that states the size of a chunk, or of a trailer.
const MAX_LINE_BYTES: usize = 1 << 10;

/// The body can't be skipped, so the connection has to be closed.
#[derive(Debug, Error)]
#[error("an answer to another request can't be dropped: {0}")]
pub(super) struct SkipError(&'static str);

/// The part of a body that is still to come.
#[derive(Debug)]
pub(super) struct SkippedBody {
    next: Next,
    skipped_bytes: usize,
}

#[derive(Debug, Clone, Copy)]
enum Next {
    /// Bytes of the body or of a chunk, and what follows them.
    Data { remaining: u64, is_chunk: bool },
    /// The line with the size of the next chunk.
    ChunkSize,
    /// The empty line after a chunk.
    ChunkEnd,
    /// Trailers, up to an empty line.
    Trailers,
}

impl SkippedBody {
    /// A body with a stated length.
    pub(super) fn with_length(length: u64) -> SkippedBody {
        SkippedBody { next: Next::Data { remaining: length, is_chunk: false }, skipped_bytes: 0 }
    }

    /// A body in chunks.
    pub(super) fn chunked() -> SkippedBody {
        SkippedBody { next: Next::ChunkSize, skipped_bytes: 0 }
    }

    /// Drops what has been received of the body, and returns whether that was its rest.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or too large.
    pub(super) fn skip(&mut self, received: &mut BytesMut) -> Result<bool, SkipError> {
        let before = received.len();
        let is_over = self.skip_received(received)?;
        self.skipped_bytes += before - received.len();
        if self.skipped_bytes > MAX_SKIPPED_BYTES {
            return Err(SkipError("its body is too large"));
        }
        Ok(is_over)
    }

    fn skip_received(&mut self, received: &mut BytesMut) -> Result<bool, SkipError> {
        loop {
            match self.next {
                Next::Data { remaining: 0, is_chunk: false } => return Ok(true),
                Next::Data { remaining: 0, is_chunk: true } => self.next = Next::ChunkEnd,
                Next::Data { remaining, is_chunk } => {
                    let count = usize::try_from(remaining).unwrap_or(usize::MAX);
                    let count = count.min(received.len());
                    if count == 0 {
                        return Ok(false);
                    }
                    received.advance(count);
                    self.next = Next::Data { remaining: remaining - count as u64, is_chunk };
                }
                Next::ChunkSize => {
                    let Some(line) = take_line(received)? else { return Ok(false) };
                    let size = line[..].split(|byte| *byte == b';').next().unwrap_or_default();
                    let size = std::str::from_utf8(size.trim_ascii()).unwrap_or_default();
                    let size = u64::from_str_radix(size, 16);
                    self.next = match size.map_err(|_| SkipError("a chunk has no size"))? {
                        0 => Next::Trailers,
                        remaining => Next::Data { remaining, is_chunk: true },
                    };
                }
                Next::ChunkEnd => {
                    let Some(line) = take_line(received)? else { return Ok(false) };
                    if !line.is_empty() {
                        return Err(SkipError("a chunk is longer than its size"));
                    }
                    self.next = Next::ChunkSize;
                }
                Next::Trailers => {
                    let Some(line) = take_line(received)? else { return Ok(false) };
                    if line.is_empty() {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

/// Takes the next line off without its end, or returns `None` if it isn't complete yet.
fn take_line(received: &mut BytesMut) -> Result<Option<BytesMut>, SkipError> {
    match received.iter().position(|byte| *byte == b'\n') {
        Some(end) => {
            let mut line = received.split_to(end + 1);
            line.truncate(end - usize::from(line[..end].ends_with(b"\r")));
            Ok(Some(line))
        }
        None if received.len() > MAX_LINE_BYTES => Err(SkipError("a line is too long")),
        None => Ok(None),
    }
}
