//! Encoded messages.

use bytes::Bytes;

use crate::message::FleetMessage;

/// Size of the length field of a frame.
const LENGTH_BYTES: usize = 4;

/// An encoded message. Clones share the bytes, so a message to many links is held in memory once.
#[derive(Debug, Clone)]
pub(crate) struct Frame {
    bytes: Bytes,
    kind: &'static str,
}

impl Frame {
    pub(crate) fn encode(message: &FleetMessage) -> Frame {
        let mut bytes = postcard::to_extend(message, vec![0; LENGTH_BYTES])
            .expect("messages encode into memory");
        let length = u32::try_from(bytes.len() - LENGTH_BYTES).expect("a message fits a frame");
        bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        Frame { bytes: bytes.into(), kind: message.kind() }
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The kind of the message, for counters.
    pub(crate) fn kind(&self) -> &'static str {
        self.kind
    }
}
