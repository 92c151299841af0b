//! Framed connections between the processes of the fleet.
//!
//! A frame consists of a 4-byte little-endian length and a message encoded with postcard. Each side
//! sends at least one message every [`PING_INTERVAL`], so a connection on which nothing arrives for
//! [`UNRESPONSIVE_TIMEOUT`] is closed.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::timeout,
};

use crate::message::FleetMessage;

/// Interval between pings on an idle link.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without data after which the peer is considered unreachable: three ping intervals and
/// their delay.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Queued messages for a slow peer beyond which sending fails.
const SEND_QUEUE_MESSAGES: usize = 4_096;
/// Maximum frame size; the largest messages are whole configurations and batches of log entries.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Frames are coalesced into one write until it reaches this size.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Sends messages on one link.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender {
    queue: mpsc::Sender<FleetMessage>,
}

impl LinkSender {
    /// Queues a message and returns whether it was accepted.
    ///
    /// A peer whose queue is full is treated as disconnected, because waiting for it would delay
    /// all other work.
    pub(crate) fn send(&self, message: FleetMessage) -> bool {
        self.queue.try_send(message).is_ok()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Connects to a process of the fleet.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_tcp_timeouts(&stream, UNRESPONSIVE_TIMEOUT)?;
    Ok(stream)
}

/// Enables TCP keep-alive and makes the kernel close the connection if its peer acknowledges nothing
/// within `acknowledge_timeout`. Also disables Nagle's algorithm.
pub(crate) fn set_tcp_timeouts(
    stream: &TcpStream,
    acknowledge_timeout: Duration,
) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(acknowledge_timeout))?;
    stream.set_nodelay(true)
}

/// Starts the writer of a link and returns its sender and reader.
pub(crate) fn split(stream: TcpStream) -> (LinkSender, LinkReader) {
    let (read, write) = stream.into_split();
    let (queue, messages) = mpsc::channel(SEND_QUEUE_MESSAGES);
    tokio::spawn(write_messages(write, messages));
    (LinkSender { queue }, LinkReader { read: BufReader::new(read) })
}

/// Reads messages from one link.
#[derive(Debug)]
pub(crate) struct LinkReader {
    read: BufReader<OwnedReadHalf>,
}

impl LinkReader {
    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// Fails if the peer disconnects, is unresponsive or sends a malformed frame.
    pub(crate) async fn next(&mut self) -> io::Result<FleetMessage> {
        let length = timeout(UNRESPONSIVE_TIMEOUT, self.read.read_u32_le()).await?? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the frame exceeds the maximum size",
            ));
        }
        let mut frame = vec![0; length];
        // A large frame arrives in parts; each part shows that the peer is still responsive.
        let mut filled = 0;
        while filled < length {
            let read =
                timeout(UNRESPONSIVE_TIMEOUT, self.read.read(&mut frame[filled..])).await??;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            filled += read;
        }
        postcard::from_bytes(&frame)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
    }
}

async fn write_messages(mut write: OwnedWriteHalf, mut messages: mpsc::Receiver<FleetMessage>) {
    let mut batch = Vec::new();
    loop {
        let message = match timeout(PING_INTERVAL, messages.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => FleetMessage::Ping,
        };
        batch.clear();
        append_frame(&mut batch, &message);
        while batch.len() < MAX_BATCH_BYTES {
            let Ok(message) = messages.try_recv() else { break };
            append_frame(&mut batch, &message);
        }
        if let Err(error) = write.write_all(&batch).await {
            log::debug!("fleet: writing to a link failed: {error}");
            return;
        }
    }
}

fn append_frame(batch: &mut Vec<u8>, message: &FleetMessage) {
    let start = batch.len();
    batch.extend_from_slice(&[0; 4]);
    let body = postcard::to_allocvec(message).expect("messages encode into memory");
    batch.extend_from_slice(&body);
    let length = u32::try_from(body.len()).expect("a message fits a frame");
    batch[start..start + 4].copy_from_slice(&length.to_le_bytes());
}
