//! A body fed by a channel.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Bytes that are queued for a slow reader, besides the chunk that waits for room.
const MAX_QUEUED_BYTES: usize = 128 << 10;

/// The error of a body whose sender was dropped before it finished the body.
#[derive(Debug, Error)]
#[error("the body broke off; its source ended early")]
pub struct BodyInterrupted;

/// The error of a sender whose body was dropped, for example because the connection was closed.
#[derive(Debug, Error)]
#[error("the body was dropped; stop writing it")]
pub struct BodyDropped;

/// Returns a body and its sender; up to `capacity` chunks of 128 KiB together are queued for a slow reader.
#[must_use]
pub fn body_channel(capacity: usize) -> (BodySender, ChannelBody) {
    let (sender, chunks) = mpsc::channel(capacity);
    let is_finished = Arc::new(AtomicBool::new(false));
    let room = Arc::new(Semaphore::new(MAX_QUEUED_BYTES));
    let body =
        ChannelBody { chunks, is_finished: Arc::clone(&is_finished), room: Arc::clone(&room) };
    (BodySender { chunks: sender, is_finished, room }, body)
}

/// A chunk in the queue, with the room that it takes.
#[derive(Debug)]
struct QueuedChunk {
    data: Bytes,
    _room: OwnedSemaphorePermit,
}

/// Writes a [`ChannelBody`].
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<QueuedChunk>,
    is_finished: Arc<AtomicBool>,
    room: Arc<Semaphore>,
}

impl BodySender {
    /// Queues a chunk, and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the body was dropped.
    pub async fn send(&self, data: Bytes) -> Result<(), BodyDropped> {
        let size = u32::try_from(data.len().min(MAX_QUEUED_BYTES)).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.room).acquire_many_owned(size).await;
        let room = room.map_err(|_| BodyDropped)?;
        self.chunks.send(QueuedChunk { data, _room: room }).await.map_err(|_| BodyDropped)
    }

    /// Waits until the body is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        // The reader sees this before the end of the channel, which is closed when `self` is dropped.
        self.is_finished.store(true, Ordering::Release);
    }
}

/// A body that is complete only after [`BodySender::finish`]; otherwise it ends with an error.
///
/// All chunks come before the end, whichever thread the sender runs on. The channel body of
/// `http_body_util` checks for chunks and for the end one after the other, and loses a chunk that is sent
/// in between together with the end.
#[derive(Debug)]
pub struct ChannelBody {
    chunks: mpsc::Receiver<QueuedChunk>,
    is_finished: Arc<AtomicBool>,
    room: Arc<Semaphore>,
}

impl Drop for ChannelBody {
    fn drop(&mut self) {
        // A sender that waits for room learns that the body was dropped.
        self.room.close();
    }
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match self.chunks.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(QueuedChunk { data, .. })) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(None) if self.is_finished.load(Ordering::Acquire) => Poll::Ready(None),
            Poll::Ready(None) => Poll::Ready(Some(Err(BodyInterrupted))),
        }
    }
}

#[cfg(test)]
mod tests;
