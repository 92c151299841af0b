//! Counts what happens on a connection of a server, for the limits of its progress.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use redwinglatch_body::Activity;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::server::Body;

/// Between requests, or in the head of one.
const BETWEEN_REQUESTS: u8 = 0;
const READING_BODY: u8 = 1;
const SERVING: u8 = 2;

/// The counts of one connection. Its task writes them, and a task of the server reads them now and then.
#[derive(Debug, Default)]
pub(super) struct ConnectionMeter {
    received: AtomicU64,
    sent: AtomicU64,
    /// The received bytes at the end of the last response.
    received_before: AtomicU64,
    stage: AtomicU8,
    /// Whether the peer doesn't take bytes that wait to be sent.
    is_blocked: AtomicBool,
    /// Whether the body that is being read makes too little progress.
    has_body_expired: AtomicBool,
}

impl ConnectionMeter {
    pub(super) fn activity(&self) -> Activity {
        let received = self.received.load(Ordering::Relaxed);
        if self.is_blocked.load(Ordering::Relaxed) {
            return Activity::Sending { sent: self.sent.load(Ordering::Relaxed) };
        }
        match self.stage.load(Ordering::Relaxed) {
            READING_BODY => Activity::Body { received },
            SERVING => Activity::Serving,
            _ if received == self.received_before.load(Ordering::Relaxed) => Activity::Idle,
            _ => Activity::Head { received },
        }
    }

    pub(super) fn start_request(&self) {
        self.stage.store(SERVING, Ordering::Relaxed);
    }

    fn end_response(&self) {
        let received = self.received.load(Ordering::Relaxed);
        self.received_before.store(received, Ordering::Relaxed);
        self.stage.store(BETWEEN_REQUESTS, Ordering::Relaxed);
    }

    pub(super) fn start_body(&self) {
        self.has_body_expired.store(false, Ordering::Relaxed);
        self.stage.store(READING_BODY, Ordering::Relaxed);
    }

    pub(super) fn end_body(&self) {
        self.stage.store(SERVING, Ordering::Relaxed);
    }

    /// Records that the body makes too little progress.
    pub(super) fn expire_body(&self) {
        self.has_body_expired.store(true, Ordering::Relaxed);
    }

    pub(super) fn has_body_expired(&self) -> bool {
        self.has_body_expired.load(Ordering::Relaxed)
    }

    /// Records the outcome of sending.
    fn record_sent(&self, sent: &Poll<io::Result<usize>>) {
        match sent {
            Poll::Ready(Ok(bytes)) => {
                // Only the task of the connection writes the counts.
                let sent = self.sent.load(Ordering::Relaxed) + *bytes as u64;
                self.sent.store(sent, Ordering::Relaxed);
                self.is_blocked.store(false, Ordering::Relaxed);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.is_blocked.store(true, Ordering::Relaxed),
        }
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ConnectionMeter>,
}

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, meter: Arc<ConnectionMeter>) -> MeteredStream {
        MeteredStream { stream, meter }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = (buffer.filled().len() - before) as u64;
        let received = self.meter.received.load(Ordering::Relaxed) + bytes;
        self.meter.received.store(received, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write(context, data);
        self.meter.record_sent(&sent);
        sent
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.meter.record_sent(&sent);
        sent
    }
}

/// The body of a response; its end is recorded.
#[derive(Debug)]
pub(super) struct MeteredBody {
    body: Body,
    meter: Arc<ConnectionMeter>,
}

impl MeteredBody {
    pub(super) fn new(body: Body, meter: Arc<ConnectionMeter>) -> MeteredBody {
        MeteredBody { body, meter }
    }
}

impl Drop for MeteredBody {
    fn drop(&mut self) {
        self.meter.end_response();
    }
}

impl hyper::body::Body for MeteredBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
