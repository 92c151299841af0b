//! Bodies that are held in memory as a whole.

use std::{
    collections::VecDeque,
    convert::Infallible,
    error::Error,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Size at which data is moved to a block of its own.
const BLOCK_BYTES: usize = 16 << 10;
/// Size up to which a body needs no reservation, so that large ones don't keep small ones out.
const UNRESERVED_BYTES: usize = 64 << 10;
/// Unit in which memory is reserved.
const UNIT_BYTES: usize = 1 << 10;

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

/// Limits the memory of all bodies that are buffered at the same time, apart from the first part of each.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    units: Arc<Semaphore>,
}

impl BufferBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> BufferBudget {
        BufferBudget { units: Arc::new(Semaphore::new(max_bytes / UNIT_BYTES)) }
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
        let mut body = pin!(body);
        let mut buffered = BufferedBody::default();
        let mut block = BytesMut::new();
        while let Some(frame) =
            std::future::poll_fn(|context| body.as_mut().poll_frame(context)).await
        {
            let frame = frame.map_err(|error| BufferError::Interrupted(error.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            buffered.remaining_bytes += data.len();
            if buffered.remaining_bytes > max_bytes {
                return Err(BufferError::TooLarge { max_bytes });
            }
            self.reserve(&mut buffered)?;
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

    /// Reserves what the body needs beyond its reservation.
    fn reserve(&self, body: &mut BufferedBody) -> Result<(), BufferError> {
        let reserved = body.reserved.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let needed_bytes = body.remaining_bytes.saturating_sub(UNRESERVED_BYTES);
        let missing = needed_bytes.div_ceil(UNIT_BYTES).saturating_sub(reserved);
        if missing == 0 {
            return Ok(());
        }
        let missing = u32::try_from(missing).map_err(|_| BufferError::NoRoom)?;
        let units = Arc::clone(&self.units).try_acquire_many_owned(missing);
        let units = units.map_err(|_| BufferError::NoRoom)?;
        match &mut body.reserved {
            Some(reserved) => reserved.merge(units),
            None => body.reserved = Some(units),
        }
        Ok(())
    }
}

/// A body that [`BufferBudget::read`] has read to its end.
#[derive(Debug, Default)]
pub struct BufferedBody {
    blocks: VecDeque<Bytes>,
    remaining_bytes: usize,
    reserved: Option<OwnedSemaphorePermit>,
}

impl BufferedBody {
    /// Returns the bytes of the body, with the reservation of their memory.
    #[must_use]
    pub fn into_bytes(mut self) -> (Bytes, BufferReservation) {
        let bytes = match self.blocks.len() {
            0 | 1 => self.blocks.pop_front().unwrap_or_default(),
            _ => self.blocks.drain(..).flatten().collect(),
        };
        (bytes, BufferReservation { _units: self.reserved })
    }
}

/// Memory of a [`BufferBudget`] that counts as used until this is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    _units: Option<OwnedSemaphorePermit>,
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
