//! Bodies that are held in memory as a whole.

use std::{
    collections::VecDeque,
    convert::Infallible,
    error::Error,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::time::sleep;

use crate::{
    memory_accountant::{ConnectionId, MemoryBounds},
    shared_memory::{BodyMemory, SharedMemory},
};

/// Size at which data is moved to a block of its own.
const BLOCK_BYTES: usize = 16 << 10;
/// Unit in which memory is granted.
const GRANT_BYTES: usize = 4 << 10;

/// Why a body could not be buffered.
#[derive(Debug, Error)]
pub enum BufferError {
    /// The body is larger than one body may be.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The limit of one body.
        max_bytes: usize,
    },
    /// The bodies in memory leave no room for this one.
    #[error("the bodies in memory leave no room for another; try again when some have been sent")]
    NoRoom,
    /// Reading the body failed.
    #[error("the body ended early: {0}")]
    Interrupted(Box<dyn Error + Send + Sync>),
}

/// Time for which a body waits for room in all before it is refused, and the interval between attempts. It is short,
/// because the time of the request runs and its caller may try elsewhere.
const ROOM_WAIT: Duration = Duration::from_millis(200);
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Limits the memory of all bodies that are buffered at the same time, together with that of connections.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    memory: SharedMemory,
}

impl BufferBudget {
    /// Creates a budget of `max_bytes` for the parts of bodies beyond the first 64 KiB of each.
    #[must_use]
    pub fn new(max_bytes: usize) -> BufferBudget {
        BufferBudget::of(&SharedMemory::new(MemoryBounds {
            total_bytes: usize::MAX / 2,
            large_bytes: max_bytes,
            connection_bytes: 0,
            connections: usize::MAX / 2,
        }))
    }

    /// Creates a budget that takes its memory from `memory`.
    #[must_use]
    pub fn of(memory: &SharedMemory) -> BufferBudget {
        BufferBudget { memory: memory.clone() }
    }

    /// Reads a body of up to `max_bytes` to its end. Its memory counts until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails as soon as the body exceeds its limit or the budget, or when it ends early.
    pub async fn read<Source>(
        &self,
        body: Source,
        max_bytes: usize,
    ) -> Result<BufferedBody, BufferError>
    where
        Source: Body<Data = Bytes>,
        Source::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        self.read_with(self.memory.body(None), Duration::ZERO, body, max_bytes).await
    }

    /// The same for a body of a connection, which waits for room for a moment.
    ///
    /// # Errors
    ///
    /// Fails as [`BufferBudget::read`] does.
    pub async fn read_of<Source>(
        &self,
        connection: ConnectionId,
        body: Source,
        max_bytes: usize,
    ) -> Result<BufferedBody, BufferError>
    where
        Source: Body<Data = Bytes>,
        Source::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        self.read_with(self.memory.body(Some(connection)), ROOM_WAIT, body, max_bytes).await
    }

    async fn read_with<Source>(
        &self,
        memory: BodyMemory,
        mut room_wait: Duration,
        body: Source,
        max_bytes: usize,
    ) -> Result<BufferedBody, BufferError>
    where
        Source: Body<Data = Bytes>,
        Source::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let mut body = pin!(body);
        let mut refused = pin!(memory.refused());
        let mut buffered = BufferedBody { memory: Some(memory), ..BufferedBody::default() };
        let mut granted_bytes = 0;
        let mut block = BytesMut::new();
        loop {
            let next = std::future::poll_fn(|context| match body.as_mut().poll_frame(context) {
                Poll::Ready(frame) => Poll::Ready(Ok(frame)),
                Poll::Pending => refused.as_mut().poll(context).map(|()| Err(BufferError::NoRoom)),
            });
            let Some(frame) = next.await? else { break };
            let frame = frame.map_err(|error| BufferError::Interrupted(error.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            buffered.remaining_bytes += data.len();
            if buffered.remaining_bytes > max_bytes {
                return Err(BufferError::TooLarge { max_bytes });
            }
            if buffered.remaining_bytes > granted_bytes
                && let Some(memory) = &mut buffered.memory
            {
                granted_bytes = buffered.remaining_bytes.next_multiple_of(GRANT_BYTES);
                grow(memory, granted_bytes, &mut room_wait).await?;
            }
            // Chunks may be as small as a byte, so they aren't kept one by one.
            block.extend_from_slice(&data);
            if block.len() >= BLOCK_BYTES {
                buffered.blocks.push_back(block.split().freeze());
            }
        }
        if !block.is_empty() {
            buffered.blocks.push_back(block.freeze());
        }
        Ok(buffered)
    }
}

/// Takes memory, and waits for connections that are closed for it; `wait` is what is left of the time for that.
async fn grow(
    memory: &mut BodyMemory,
    bytes: usize,
    wait: &mut Duration,
) -> Result<(), BufferError> {
    while memory.grow(bytes).is_err() {
        if wait.is_zero() {
            return Err(BufferError::NoRoom);
        }
        *wait = wait.saturating_sub(ROOM_CHECK_INTERVAL);
        memory.set_waiting(true);
        sleep(ROOM_CHECK_INTERVAL).await;
        memory.set_waiting(false);
    }
    Ok(())
}

/// A body that [`BufferBudget::read`] has read to its end.
#[derive(Debug, Default)]
pub struct BufferedBody {
    blocks: VecDeque<Bytes>,
    remaining_bytes: usize,
    memory: Option<BodyMemory>,
}

impl BufferedBody {
    /// Returns the bytes of the body, with the reservation of their memory.
    #[must_use]
    pub fn into_bytes(mut self) -> (Bytes, BufferReservation) {
        let bytes = match self.blocks.len() {
            0 | 1 => self.blocks.pop_front().unwrap_or_default(),
            _ => {
                let mut bytes = BytesMut::with_capacity(self.remaining_bytes);
                for block in self.blocks.drain(..) {
                    bytes.extend_from_slice(&block);
                }
                bytes.freeze()
            }
        };
        (bytes, BufferReservation { _memory: self.memory })
    }
}

/// Memory of a [`BufferBudget`] that counts as used until this is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    _memory: Option<BodyMemory>,
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.pop_front();
        self.remaining_bytes -= block.as_ref().map_or(0, Bytes::len);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes as u64)
    }
}

#[cfg(test)]
mod tests;
