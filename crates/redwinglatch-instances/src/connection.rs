//! Reads and writes frames on one connection.

use std::io;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout, timeout_at};

use crate::TransportEvent;
use crate::frame::{FrameDecoder, encode_frame};
use crate::transport_event::OnEvent;

/// Time without received bytes after which a connection counts as half-open and is closed.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between pings on a connection.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for one write; it passes when the peer does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads frames. Reads are cancel safe: a partly read frame is kept for the next read.
pub(crate) struct FrameReader {
    decoder: FrameDecoder,
    /// Kept across cancelled reads: a timeout that restarts with each read would never expire,
    /// because a ping timer with a shorter period cancels the reads.
    last_read_at: Instant,
    on_event: OnEvent,
}

impl FrameReader {
    /// Creates a reader whose read timeout counts from now.
    pub(crate) fn new(on_event: OnEvent) -> FrameReader {
        FrameReader { decoder: FrameDecoder::default(), last_read_at: Instant::now(), on_event }
    }

    /// Returns the callback for events of the connection.
    pub(crate) fn on_event(&self) -> &OnEvent {
        &self.on_event
    }

    /// Reads the next frame; fails when no bytes arrive within [`READ_TIMEOUT`].
    pub(crate) async fn read<T: DeserializeOwned>(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<T> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(frame);
            }
            let read_deadline = self.last_read_at + READ_TIMEOUT;
            let read = stream.read_buf(self.decoder.buffer_mut());
            match timeout_at(read_deadline, read).await {
                Ok(Ok(0)) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(Ok(length)) => {
                    self.last_read_at = Instant::now();
                    (self.on_event)(TransportEvent::Received(length));
                }
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}

/// Encodes and writes one frame within [`WRITE_TIMEOUT`].
pub(crate) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    body: &impl Serialize,
    on_event: &OnEvent,
) -> io::Result<()> {
    let frame = encode_frame(body)?;
    write_bytes(stream, &frame, on_event).await
}

/// Writes encoded frames within [`WRITE_TIMEOUT`].
pub(crate) async fn write_bytes(
    stream: &mut (impl AsyncWrite + Unpin),
    frames: &[u8],
    on_event: &OnEvent,
) -> io::Result<()> {
    match timeout(WRITE_TIMEOUT, stream.write_all(frames)).await {
        Ok(result) => {
            result?;
            on_event(TransportEvent::Sent(frames.len()));
            Ok(())
        }
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
