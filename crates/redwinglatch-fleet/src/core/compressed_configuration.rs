//! The configuration as it is sent to entry processes.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::{link::Frame, message::FleetMessage, state::FleetState};

/// Largest size of a decompressed configuration; operators can't store a larger one.
const MAX_DOCUMENT_BYTES: u64 = 8 << 20;

/// The message with the newest configuration, encoded once for all entry processes.
#[derive(Debug, Default)]
pub(super) struct CompressedConfiguration {
    newest: Option<(u64, Frame)>,
}

impl CompressedConfiguration {
    /// Returns the message with the configuration of `state`.
    pub(super) fn frame(&mut self, state: &FleetState) -> Frame {
        if let Some((version, frame)) = &self.newest
            && *version == state.version
        {
            return frame.clone();
        }
        let version = state.version;
        let document = compress(&state.document);
        let frame = Frame::encode(&FleetMessage::CompressedConfiguration { version, document });
        self.newest = Some((version, frame.clone()));
        frame
    }
}

fn compress(document: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document).expect("writes to memory succeed");
    encoder.finish().expect("writes to memory succeed")
}

/// Decompresses the document of a [`FleetMessage::CompressedConfiguration`].
///
/// # Errors
///
/// Fails if the data is not valid or larger than any configuration.
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_DOCUMENT_BYTES).read_to_end(&mut document)?;
    if document.len() as u64 == MAX_DOCUMENT_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the configuration is too large"));
    }
    Ok(document)
}
