//! The connection of a request, and how the request's body is read from it.

use std::{pin::pin, sync::Arc, time::Duration};

use hyper::body::{Body as _, Incoming};
use redwinglatch_body::{BufferBudget, BufferError, BufferedBody, ConnectionId, SharedMemory};
use thiserror::Error;
use tokio::time::timeout;

use super::metered::ConnectionMeter;

/// Interval between checks of a body's progress.
const BODY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of a refused body that are read, because a caller that is still sending would not read the refusal.
const MAX_DRAINED_BYTES: usize = 4 << 20;

/// Why a request's body was not read.
#[derive(Debug, Error)]
pub(crate) enum ReadBodyError {
    #[error(transparent)]
    Buffer(#[from] BufferError),
    /// The body makes too little progress.
    #[error("the body arrives too slowly or has stopped")]
    Stalled,
}

/// The connection of a request; an extension of each request.
#[derive(Debug, Clone)]
pub(crate) struct RequestConnection {
    pub(super) id: ConnectionId,
    pub(super) memory: SharedMemory,
    pub(super) meter: Arc<ConnectionMeter>,
}

impl RequestConnection {
    /// Reads a body of up to `max_bytes` to its end.
    ///
    /// # Errors
    ///
    /// Fails as [`BufferBudget::read`] does, or when the body makes too little progress.
    pub(crate) async fn read_body(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<BufferedBody, ReadBodyError> {
        if body.is_end_stream() {
            return Ok(BufferedBody::default());
        }
        self.meter.start_body();
        let _reading = ReadingBody(&self.meter);
        let budget = BufferBudget::of(&self.memory);
        let read = self.while_progressing(budget.read_of(self.id, &mut body, max_bytes)).await?;
        if matches!(read, Err(BufferError::NoRoom)) {
            self.while_progressing(drain(&mut body)).await?;
        }
        Ok(read?)
    }

    /// Waits for a part of a body, as long as it arrives.
    async fn while_progressing<T>(
        &self,
        read: impl Future<Output = T>,
    ) -> Result<T, ReadBodyError> {
        let mut read = pin!(read);
        loop {
            match timeout(BODY_CHECK_INTERVAL, &mut read).await {
                Ok(done) => return Ok(done),
                Err(_) if self.meter.has_body_expired() => return Err(ReadBodyError::Stalled),
                Err(_) => {}
            }
        }
    }
}

/// Reads the rest of a refused body, up to a limit.
async fn drain(body: &mut Incoming) {
    let mut bytes = 0;
    while let Some(Ok(frame)) = http_body_util::BodyExt::frame(body).await {
        bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
        if bytes > MAX_DRAINED_BYTES {
            return;
        }
    }
}

/// Marks a connection as one on which a body arrives.
struct ReadingBody<'a>(&'a ConnectionMeter);

impl Drop for ReadingBody<'_> {
    fn drop(&mut self) {
        self.0.end_body();
    }
}
