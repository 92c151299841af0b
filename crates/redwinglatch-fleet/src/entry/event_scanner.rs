//! Boundaries between the events of a `text/event-stream` body.

/// Finds the ends of events in a body that arrives in parts.
///
/// An event ends with an empty line. Lines end with LF, CR or CR LF.
#[derive(Debug, Clone)]
pub(super) struct EventScanner {
    is_inside_event: bool,
    is_line_empty: bool,
    is_after_cr: bool,
    event_count: u64,
    /// Bytes since the last end of an event.
    event_bytes: usize,
}

impl Default for EventScanner {
    fn default() -> EventScanner {
        EventScanner {
            is_inside_event: false,
            is_line_empty: true,
            is_after_cr: false,
            event_count: 0,
            event_bytes: 0,
        }
    }
}

impl EventScanner {
    /// Scans the next part of the body, and returns the length of its longest prefix that ends between
    /// two events.
    pub(super) fn scan(&mut self, data: &[u8]) -> usize {
        let mut complete = 0;
        for (at, &byte) in data.iter().enumerate() {
            self.scan_byte(byte);
            if !self.is_inside_event {
                complete = at + 1;
                self.event_bytes = 0;
            }
        }
        self.event_bytes += data.len() - complete;
        complete
    }

    fn scan_byte(&mut self, byte: u8) {
        let ends_cr_lf = byte == b'\n' && std::mem::take(&mut self.is_after_cr);
        if ends_cr_lf {
            return;
        }
        self.is_after_cr = byte == b'\r';
        if byte != b'\r' && byte != b'\n' {
            self.is_inside_event = true;
            self.is_line_empty = false;
        } else if std::mem::replace(&mut self.is_line_empty, true) && self.is_inside_event {
            self.is_inside_event = false;
            self.event_count += 1;
        }
    }

    /// Returns whether the body has ended inside an event if no more data follows.
    pub(super) fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }

    /// Returns the number of bytes since the last end of an event.
    pub(super) fn event_bytes(&self) -> usize {
        self.event_bytes
    }

    /// Returns the number of complete events.
    pub(super) fn event_count(&self) -> u64 {
        self.event_count
    }
}

#[cfg(test)]
mod tests;
