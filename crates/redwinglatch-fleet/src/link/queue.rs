//! The queue of frames that wait to be written to a link, bounded in bytes.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::sync::{Notify, mpsc};

use crate::{message::FleetMessage, metrics::Metrics};

use super::Frame;

/// Creates a queue that holds up to `max_bytes` of frames.
pub(super) fn bounded(max_bytes: usize, metrics: Arc<Metrics>) -> (LinkSender, LinkQueue) {
    let (frames, queued) = mpsc::unbounded_channel();
    let shared = Arc::new(QueueState {
        queued_bytes: AtomicUsize::new(0),
        max_bytes: AtomicUsize::new(max_bytes),
        overflow: Notify::new(),
    });
    let sender = LinkSender { frames, state: Arc::clone(&shared), metrics };
    (sender, LinkQueue { frames: queued, state: shared })
}

#[derive(Debug)]
struct QueueState {
    queued_bytes: AtomicUsize,
    max_bytes: AtomicUsize,
    overflow: Notify,
}

/// Sends messages on one link.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender {
    frames: mpsc::UnboundedSender<Frame>,
    state: Arc<QueueState>,
    metrics: Arc<Metrics>,
}

impl LinkSender {
    /// Queues a message and returns whether it was accepted.
    pub(crate) fn send(&self, message: &FleetMessage) -> bool {
        self.send_frame(Frame::encode(message))
    }

    /// Queues an encoded message and returns whether it was accepted.
    ///
    /// A queue that would exceed its limit closes the link: changes build on each other, so a peer
    /// that misses one connects again and gets the whole state. A single frame of any size is
    /// accepted while the queue is empty.
    pub(crate) fn send_frame(&self, frame: Frame) -> bool {
        if self.frames.is_closed() {
            return false;
        }
        let bytes = frame.bytes().len();
        let queued = self.state.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        if queued > 0 && queued + bytes > self.state.max_bytes.load(Ordering::Relaxed) {
            self.state.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.metrics.record_link_overflow(frame.kind());
            log::warn!(
                "fleet: closing a link whose peer is slow: {queued} bytes wait before a message of \
                 kind {}",
                frame.kind()
            );
            self.state.overflow.notify_one();
            return false;
        }
        self.metrics.record_link_bytes(frame.kind(), bytes);
        self.frames.send(frame).is_ok()
    }

    /// Changes the limit of the queue.
    pub(crate) fn set_max_queued_bytes(&self, max_bytes: usize) {
        self.state.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// The writer's end of the queue.
#[derive(Debug)]
pub(crate) struct LinkQueue {
    frames: mpsc::UnboundedReceiver<Frame>,
    state: Arc<QueueState>,
}

impl LinkQueue {
    /// Waits for the next frame; `None` once all senders are dropped or the queue has overflowed.
    pub(super) async fn next(&mut self) -> Option<Frame> {
        let frame = tokio::select! {
            frame = self.frames.recv() => frame?,
            () = self.state.overflow.notified() => return None,
        };
        Some(self.count(frame))
    }

    pub(crate) fn try_next(&mut self) -> Option<Frame> {
        let frame = self.frames.try_recv().ok()?;
        Some(self.count(frame))
    }

    /// Waits until the queue has overflowed.
    pub(super) async fn overflowed(&self) {
        self.state.overflow.notified().await;
    }

    fn count(&self, frame: Frame) -> Frame {
        self.state.queued_bytes.fetch_sub(frame.bytes().len(), Ordering::Relaxed);
        frame
    }
}

#[cfg(test)]
impl LinkQueue {
    /// Creates a link without a connection.
    pub(crate) fn without_connection(max_bytes: usize) -> (LinkSender, LinkQueue) {
        bounded(max_bytes, Arc::default())
    }

    /// Returns whether the queue ends, by an overflow, before all its frames are read.
    pub(crate) async fn overflowed_or_empty(&mut self) -> bool {
        loop {
            match tokio::time::timeout(std::time::Duration::ZERO, self.next()).await {
                Ok(Some(_)) => {}
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    pub(crate) fn queued_bytes(&self) -> usize {
        self.state.queued_bytes.load(Ordering::Relaxed)
    }
}
