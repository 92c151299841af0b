//! Streams that wait for their first event at an engine on which this process placed them itself.

use smallvec::SmallVec;

/// Time without a first event after which an engine counts as backlogged.
const BACKLOG_AFTER_MS: u64 = 500;
/// Time after which a backlogged engine may get a stream again, and callers are asked to return.
const BACKLOG_HOLD_MS: u64 = 700;
/// Streams that are remembered; they are few, since a backlogged engine gets no more.
const MAX_STREAMS: usize = 32;

/// The times at which this process sent streams that have no event yet.
///
/// Answers the loss of the coordinator while an adapter is in demand that few engines have: no process knows how
/// many streams the others send there, so all of them would wait in the queue of one engine until their callers
/// leave. The first stream that waits too long shows the backlog to its process.
#[derive(Debug, Default)]
pub(super) struct UnstartedStreams {
    sent_ms: SmallVec<[u64; 4]>,
}

impl UnstartedStreams {
    /// Records a stream that is sent.
    pub(super) fn add(&mut self, now_ms: u64) {
        if self.sent_ms.len() < MAX_STREAMS {
            self.sent_ms.push(now_ms);
        }
    }

    /// Records that a stream sent at `sent_ms` has its first event or has ended.
    pub(super) fn remove(&mut self, sent_ms: u64) {
        if let Some(position) = self.sent_ms.iter().position(|other_ms| *other_ms == sent_ms) {
            self.sent_ms.swap_remove(position);
        }
    }

    /// Returns until when the engine gets no further streams, if it is backlogged.
    pub(super) fn backlog_end_ms(&self, now_ms: u64) -> Option<u64> {
        let oldest_ms = self.sent_ms.iter().min()?;
        (oldest_ms + BACKLOG_AFTER_MS <= now_ms).then_some(now_ms + BACKLOG_HOLD_MS)
    }
}

#[cfg(test)]
mod tests;
