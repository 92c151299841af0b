//! Drops answers that belong to another request than the one in progress, or to none.

mod skipped_body;

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use self::skipped_body::SkippedBody;

/// Maximum number of headers of an answer; hyper's own limit.
const MAX_HEADERS: usize = 100;
/// Size of the reads before an answer may be passed on.
const READ_BYTES: usize = 4 << 10;

/// Time for which the answer to the request in progress is awaited after one without an id.
const UNIDENTIFIED_TIMEOUT: Duration = Duration::from_millis(200);

/// The id of the request in progress on a connection, set before the request is sent.
#[derive(Debug, Clone, Default)]
pub(super) struct ExpectedId {
    id: Arc<Mutex<Option<HeaderValue>>>,
    /// Bytes of an answer have arrived since the id was set.
    has_answer_begun: Arc<AtomicBool>,
}

impl ExpectedId {
    /// Makes the next answer be checked for this id.
    pub(super) fn set(&self, id: Option<HeaderValue>) {
        self.has_answer_begun.store(false, Ordering::Relaxed);
        *self.id.lock().unwrap_or_else(PoisonError::into_inner) = id;
    }

    /// Returns whether the server has sent anything since the id was set.
    pub(super) fn has_answer_begun(&self) -> bool {
        self.has_answer_begun.load(Ordering::Relaxed)
    }

    fn take(&self) -> Option<HeaderValue> {
        self.id.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// What the next bytes from the server are.
#[derive(Debug)]
enum State {
    /// They are passed on: the answer to the request in progress, or bytes on an idle connection.
    Passing,
    /// The head of an answer that must have this id.
    Checking(HeaderValue),
    /// The body of an answer to another request; the head of the next answer follows.
    Skipping(HeaderValue, SkippedBody),
}

/// A connection to a server that drops answers with the id of another request.
///
/// A server may send a further answer to an earlier request late, where the next one is expected. The
/// answer to the request in progress follows it, and would be lost with the connection. On a connection
/// that was used before, such an answer may have no id; reading fails if the other doesn't follow soon.
#[derive(Debug)]
pub(super) struct AnswerFilter<Stream> {
    stream: Stream,
    id_header: HeaderName,
    expected: ExpectedId,
    max_head_bytes: usize,
    state: State,
    received: BytesMut,
    is_at_end: bool,
    /// Whether an answer was passed on before the one to the request in progress.
    was_used: bool,
    /// The time limit for the answer to the request in progress, after one without an id.
    unidentified: Option<Pin<Box<Sleep>>>,
}

impl<Stream> AnswerFilter<Stream> {
    /// Filters answers by the header `id_header`; a head above `max_head_bytes` is passed on unchecked.
    pub(super) fn new(
        stream: Stream,
        id_header: HeaderName,
        max_head_bytes: usize,
    ) -> (AnswerFilter<Stream>, ExpectedId) {
        let expected = ExpectedId::default();
        let filter = AnswerFilter {
            stream,
            id_header,
            expected: expected.clone(),
            max_head_bytes,
            state: State::Passing,
            received: BytesMut::new(),
            is_at_end: false,
            was_used: false,
            unidentified: None,
        };
        (filter, expected)
    }

    /// Advances over the received bytes; returns whether they may be passed on, and false if more are
    /// needed first.
    ///
    /// # Errors
    ///
    /// Fails at an answer to another request that can't be skipped.
    fn advance(&mut self) -> io::Result<bool> {
        loop {
            match std::mem::replace(&mut self.state, State::Passing) {
                State::Passing => match self.expected.take() {
                    Some(id) => self.state = State::Checking(id),
                    None => return Ok(true),
                },
                State::Checking(id) => match self.check_head(&id) {
                    HeadCheck::Incomplete => {
                        self.state = State::Checking(id);
                        return Ok(false);
                    }
                    HeadCheck::PassOn => {
                        self.was_used = true;
                        self.unidentified = None;
                        return Ok(true);
                    }
                    HeadCheck::Skip { head_bytes, body, has_id } => {
                        log::debug!("backends: an answer to another request is dropped");
                        if !has_id {
                            self.unidentified = Some(Box::pin(sleep(UNIDENTIFIED_TIMEOUT)));
                        }
                        self.received.advance(head_bytes);
                        self.state = State::Skipping(id, body);
                    }
                },
                State::Skipping(id, mut body) => {
                    let is_over = body
                        .skip(&mut self.received)
                        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
                    if !is_over {
                        self.state = State::Skipping(id, body);
                        return Ok(false);
                    }
                    self.state = State::Checking(id);
                }
            }
        }
    }

    fn check_head(&self, expected: &HeaderValue) -> HeadCheck {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let head_bytes = match head.parse(&self.received) {
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
            Ok(httparse::Status::Partial) if self.received.len() < self.max_head_bytes => {
                return HeadCheck::Incomplete;
            }
            // The HTTP client reports what is wrong with the head.
            Ok(httparse::Status::Partial) | Err(_) => return HeadCheck::PassOn,
        };
        let value = |name: &HeaderName| {
            let header = head.headers.iter().find(|header| name == header.name);
            header.map(|header| header.value.trim_ascii())
        };
        let has_id = match value(&self.id_header) {
            Some(id) if id != expected.as_bytes() => true,
            None if self.was_used => false,
            _ => return HeadCheck::PassOn,
        };
        let body = if value(&TRANSFER_ENCODING).is_some() {
            Some(SkippedBody::chunked())
        } else {
            let length = value(&CONTENT_LENGTH).and_then(|text| std::str::from_utf8(text).ok());
            length.and_then(|text| text.parse().ok()).map(SkippedBody::with_length)
        };
        match body {
            Some(body) => HeadCheck::Skip { head_bytes, body, has_id },
            // Nothing can follow a body that ends with its connection.
            None => HeadCheck::PassOn,
        }
    }
}

/// Result of a look at the head of an answer.
enum HeadCheck {
    Incomplete,
    PassOn,
    Skip { head_bytes: usize, body: SkippedBody, has_id: bool },
}

impl<Stream: AsyncRead + Unpin> AsyncRead for AnswerFilter<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            let may_pass = this.advance()?;
            if (may_pass || this.is_at_end) && !this.received.is_empty() {
                let count = this.received.len().min(buffer.remaining());
                buffer.put_slice(&this.received[..count]);
                this.received.advance(count);
                return Poll::Ready(Ok(()));
            }
            if this.is_at_end {
                return Poll::Ready(Ok(()));
            }
            if may_pass {
                return Pin::new(&mut this.stream).poll_read(context, buffer);
            }
            if let Some(unidentified) = &mut this.unidentified
                && unidentified.as_mut().poll(context).is_ready()
            {
                let reason = "an answer without an id was not followed by one with it";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
            }
            let mut chunk = [0; READ_BYTES];
            let mut chunk = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut this.stream).poll_read(context, &mut chunk))?;
            this.is_at_end = chunk.filled().is_empty();
            if !this.is_at_end {
                this.expected.has_answer_begun.store(true, Ordering::Relaxed);
            }
            this.received.extend_from_slice(chunk.filled());
        }
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for AnswerFilter<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
