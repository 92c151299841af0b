//! Framed connections between the processes of the fleet.
//!
//! A frame is a 4-byte little-endian length and a postcard message. Each side sends something at
//! least every [`PING_INTERVAL`], so a connection that is silent for [`SILENCE_LIMIT`] is given up.

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

/// How often an idle link sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Three pings and their delay.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Messages that wait for a slow peer before the link is given up.
const QUEUE_MESSAGES: usize = 4_096;
/// The largest frame: a whole configuration or a batch of the log.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Frames are joined into one write up to this size.
const BATCH_BYTES: usize = 64 << 10;

/// Sends messages on one link.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender {
    queue: mpsc::Sender<FleetMessage>,
}

impl LinkSender {
    /// Queues a message and returns whether the link still works.
    ///
    /// A peer that lets the queue fill up is treated as gone, because waiting for it would delay
    /// everything else.
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
    set_silence_limits(&stream, SILENCE_LIMIT)?;
    Ok(stream)
}

/// Makes the kernel give up a connection whose peer acknowledges nothing.
pub(crate) fn set_silence_limits(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limit))?;
    stream.set_nodelay(true)
}

/// Starts the writer of a link and returns its sender and reader.
pub(crate) fn split(stream: TcpStream) -> (LinkSender, LinkReader) {
    let (read, write) = stream.into_split();
    let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
    tokio::spawn(write_messages(write, messages));
    (LinkSender { queue }, LinkReader { read: BufReader::new(read) })
}

/// Reads messages from one link.
#[derive(Debug)]
pub(crate) struct LinkReader {
    read: BufReader<OwnedReadHalf>,
}

impl LinkReader {
    /// The next message.
    ///
    /// # Errors
    ///
    /// Fails when the peer is gone or silent, or sends what can't be read.
    pub(crate) async fn next(&mut self) -> io::Result<FleetMessage> {
        let length = timeout(SILENCE_LIMIT, self.read.read_u32_le()).await?? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is too long"));
        }
        let mut frame = vec![0; length];
        // A large frame arrives in parts; each part shows that the peer is there.
        let mut filled = 0;
        while filled < length {
            let read = timeout(SILENCE_LIMIT, self.read.read(&mut frame[filled..])).await??;
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
        while batch.len() < BATCH_BYTES {
            let Ok(message) = messages.try_recv() else { break };
            append_frame(&mut batch, &message);
        }
        if let Err(error) = write.write_all(&batch).await {
            log::debug!("fleet: a link ends: {error}");
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
