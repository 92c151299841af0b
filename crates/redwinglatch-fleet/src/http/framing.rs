//! Framing of response bodies.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// How a response delimits its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The head states the length.
    Length,
    /// The body is sent in chunks, the last of which is empty.
    Chunked,
    /// The body ends with its connection, so that a broken connection looks like the end of the body.
    ConnectionClose,
}

impl BodyFraming {
    /// Returns the framing that the headers of a response with a body state.
    pub(crate) fn of(headers: &HeaderMap) -> BodyFraming {
        if headers.contains_key(TRANSFER_ENCODING) {
            BodyFraming::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            BodyFraming::Length
        } else {
            BodyFraming::ConnectionClose
        }
    }
}
