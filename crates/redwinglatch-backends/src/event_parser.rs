//! An incremental, bounded parser of server-sent events.

/// A part of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParsedEvent {
    /// The joined `data` lines of one event.
    Data(Vec<u8>),
    /// A comment line, which engines send to keep the connection alive.
    Comment,
}

/// The reason why a stream cannot be parsed further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventParserError {
    /// A line or an event exceeds the limit.
    #[error("a line or an event exceeds {limit_bytes} bytes; raise event_limit_bytes")]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
}

/// Parses server-sent events from chunks that may be split at any byte.
///
/// The parser buffers at most one line and one event, each within the size limit. After an error
/// it consumes all further bytes and returns the same error.
#[derive(Debug)]
pub struct EventParser {
    limit_bytes: usize,
    line: Vec<u8>,
    data: Option<Vec<u8>>,
    after_carriage_return: bool,
    is_first_line: bool,
    has_failed: bool,
}

impl EventParser {
    /// Creates a parser that accepts lines and events of at most `limit_bytes` each.
    #[must_use]
    pub fn new(limit_bytes: usize) -> EventParser {
        EventParser {
            limit_bytes,
            line: Vec::new(),
            data: None,
            after_carriage_return: false,
            is_first_line: true,
            has_failed: false,
        }
    }

    /// Consumes bytes up to the end of the next event or comment and returns it.
    ///
    /// Returns `Ok(None)` when all bytes are consumed without completing an event or comment.
    ///
    /// # Errors
    ///
    /// Fails when a line or an event exceeds the limit.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Result<Option<ParsedEvent>, EventParserError> {
        if self.has_failed {
            *bytes = &[];
            return Err(self.too_large());
        }
        while !bytes.is_empty() {
            if std::mem::take(&mut self.after_carriage_return) && bytes[0] == b'\n' {
                *bytes = &bytes[1..];
                continue;
            }
            let end = bytes.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
            let part = &bytes[..end.unwrap_or(bytes.len())];
            if self.line.len() + part.len() > self.limit_bytes {
                return Err(self.fail(bytes));
            }
            let Some(end) = end else {
                self.line.extend_from_slice(part);
                *bytes = &[];
                break;
            };
            self.after_carriage_return = bytes[end] == b'\r';
            *bytes = &bytes[end + 1..];
            let parsed_line = if self.line.is_empty() {
                self.process_line(part)
            } else {
                let mut line = std::mem::take(&mut self.line);
                line.extend_from_slice(part);
                self.process_line(&line)
            };
            match parsed_line {
                Ok(None) => {}
                Ok(Some(event)) => return Ok(Some(event)),
                Err(()) => return Err(self.fail(bytes)),
            }
        }
        Ok(None)
    }

    /// Processes one complete line.
    fn process_line(&mut self, mut line: &[u8]) -> Result<Option<ParsedEvent>, ()> {
        const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
        if std::mem::take(&mut self.is_first_line) {
            line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        }
        let event = if line.is_empty() {
            self.data.take().map(ParsedEvent::Data)
        } else if line[0] == b':' {
            Some(ParsedEvent::Comment)
        } else {
            let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
            if &line[..colon] == b"data" {
                let value = line.get(colon + 1..).unwrap_or_default();
                let value = value.strip_prefix(b" ").unwrap_or(value);
                match &mut self.data {
                    None => self.data = Some(value.to_vec()),
                    Some(data) if data.len() + 1 + value.len() > self.limit_bytes => return Err(()),
                    Some(data) => {
                        data.push(b'\n');
                        data.extend_from_slice(value);
                    }
                }
            }
            None
        };
        Ok(event)
    }

    fn fail(&mut self, bytes: &mut &[u8]) -> EventParserError {
        *bytes = &[];
        self.has_failed = true;
        self.line = Vec::new();
        self.data = None;
        self.too_large()
    }

    fn too_large(&self) -> EventParserError {
        EventParserError::TooLarge { limit_bytes: self.limit_bytes }
    }
}
