//! Frames, which consist of a length, a checksum and a postcard body.

use std::io;

use bytes::{Buf, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of the body of a frame.
pub const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;

const HEADER_BYTES: usize = 8;

/// Encodes `body` as one frame.
///
/// # Errors
///
/// Fails when the encoded body exceeds [`FRAME_LIMIT_BYTES`].
pub fn encode_frame(body: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut frame = vec![0; HEADER_BYTES];
    frame = postcard::to_extend(body, frame).map_err(io::Error::other)?;
    let length = frame.len() - HEADER_BYTES;
    if FRAME_LIMIT_BYTES < length {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            format!(
                "a message of {length} bytes exceeds the frame limit of {FRAME_LIMIT_BYTES} bytes"
            ),
        ));
    }
    let checksum = crc32fast::hash(&frame[HEADER_BYTES..]);
    let length = u32::try_from(length).expect("the limit fits into 32 bits");
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

/// Decodes frames from a byte stream.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Returns the buffer to which bytes from the connection must be appended.
    pub fn buffer_mut(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Decodes the next complete frame; returns `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails when the length exceeds the limit, the checksum does not match or the body cannot be
    /// decoded; the connection must not be used any more.
    pub fn next_frame<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
        let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        if FRAME_LIMIT_BYTES < length {
            return Err(invalid_data(format!(
                "frame length {length} exceeds the limit of {FRAME_LIMIT_BYTES} bytes"
            )));
        }
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        let body = self.buffer.split_to(length);
        if crc32fast::hash(&body) != u32::from_le_bytes([c0, c1, c2, c3]) {
            return Err(invalid_data("frame checksum does not match".to_owned()));
        }
        postcard::from_bytes(&body)
            .map(Some)
            .map_err(|error| invalid_data(format!("frame body cannot be decoded: {error}")))
    }
}

fn invalid_data(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
