//! Reading and writing of frames on one connection.

use std::io;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout, timeout_at};

use crate::TransportEvent;
use crate::frame::{FrameDecoder, encode_frame};
use crate::transport_event::OnEvent;

/// Time without a frame after which a connection counts as half-open.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time between pings on a connection.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the other side to take a frame.
const WRITE_LIMIT: Duration = Duration::from_secs(3);

/// Reads frames; a partly read frame survives a cancelled read.
pub(crate) struct FrameReader {
    decoder: FrameDecoder,
    /// Kept over cancelled reads: a timeout that started anew with each read would never fire
    /// beside a ping timer with a shorter period.
    last_read_at: Instant,
    on_event: OnEvent,
}

impl FrameReader {
    /// Starts reading; the silence limit counts from now.
    pub(crate) fn new(on_event: OnEvent) -> FrameReader {
        FrameReader { decoder: FrameDecoder::default(), last_read_at: Instant::now(), on_event }
    }

    /// Counts the bytes of the connection.
    pub(crate) fn on_event(&self) -> &OnEvent {
        &self.on_event
    }

    /// Reads the next frame.
    pub(crate) async fn read<T: DeserializeOwned>(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> io::Result<T> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(frame);
            }
            let silence_ends_at = self.last_read_at + SILENCE_LIMIT;
            let read = stream.read_buf(self.decoder.buffer_mut());
            match timeout_at(silence_ends_at, read).await {
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

/// Writes one frame within the time limit.
pub(crate) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    body: &impl Serialize,
    on_event: &OnEvent,
) -> io::Result<()> {
    let frame = encode_frame(body)?;
    write_bytes(stream, &frame, on_event).await
}

/// Writes encoded frames within the time limit.
pub(crate) async fn write_bytes(
    stream: &mut (impl AsyncWrite + Unpin),
    frames: &[u8],
    on_event: &OnEvent,
) -> io::Result<()> {
    match timeout(WRITE_LIMIT, stream.write_all(frames)).await {
        Ok(result) => {
            result?;
            on_event(TransportEvent::Sent(frames.len()));
            Ok(())
        }
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
