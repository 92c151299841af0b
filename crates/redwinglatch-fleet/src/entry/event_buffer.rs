//! Events of a stream on their way from a backend server to the caller.

use bytes::{Bytes, BytesMut};

use super::event_scanner::EventScanner;

/// Size above which an event is forwarded in parts.
const MAX_HELD_BYTES: usize = 256 << 10;
/// Size above which the bytes since the last event count as none.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Follows the events of a stream, and holds back parts of events if the stream may be resumed.
#[derive(Debug)]
pub(super) struct EventBuffer {
    holds_parts: bool,
    scanner: EventScanner,
    /// Data received after the last complete event, if parts are held back.
    partial: BytesMut,
    last_event_id: Option<Bytes>,
    has_forwarded_part: bool,
}

impl EventBuffer {
    pub(super) fn new(holds_parts: bool) -> EventBuffer {
        EventBuffer {
            holds_parts,
            scanner: EventScanner::default(),
            partial: BytesMut::new(),
            last_event_id: None,
            has_forwarded_part: false,
        }
    }

    /// Drops a held part, because the body of another server follows.
    pub(super) fn start_body(&mut self) {
        self.scanner = EventScanner::default();
        self.partial.clear();
    }

    /// Adds received data and returns what may be forwarded.
    pub(super) fn push(&mut self, data: Bytes) -> Bytes {
        let complete = self.scanner.scan(&data);
        if !self.holds_parts {
            return data;
        }
        let held = self.partial.len();
        self.partial.extend_from_slice(&data);
        let ready = if complete > 0 {
            self.partial.split_to(held + complete).freeze()
        } else if self.partial.len() > MAX_HELD_BYTES {
            self.has_forwarded_part = true;
            self.partial.split().freeze()
        } else {
            return Bytes::new();
        };
        let mut lines = ready.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
        if let Some(id) = lines.find_map(|line| line.strip_prefix(b"id:")) {
            self.last_event_id = Some(Bytes::copy_from_slice(id.trim_ascii()));
        }
        ready
    }

    /// Returns the id of the last event that was forwarded.
    pub(super) fn last_event_id(&self) -> Option<&Bytes> {
        self.last_event_id.as_ref()
    }

    /// Returns whether another server can go on after the last forwarded event.
    pub(super) fn can_resume(&self) -> bool {
        self.holds_parts && !self.has_forwarded_part
    }

    /// Returns whether the bytes since the last event are too many for one.
    pub(super) fn is_event_too_large(&self) -> bool {
        self.scanner.event_bytes() > MAX_EVENT_BYTES
    }

    pub(super) fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns the number of complete events in the current body.
    pub(super) fn event_count(&self) -> u64 {
        self.scanner.event_count()
    }
}

#[cfg(test)]
mod tests;
