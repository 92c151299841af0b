//! Framed connections between the processes of the fleet.
//!
//! A frame consists of a 4-byte little-endian length and a message encoded with postcard. Each side
//! sends at least one message every [`PING_INTERVAL`], so a connection on which nothing arrives for
//! [`UNRESPONSIVE_TIMEOUT`] is closed.

mod frame;
mod queue;
#[cfg(test)]
mod tests;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::timeout,
};

use crate::{message::FleetMessage, metrics::Metrics};

pub(crate) use self::{
    frame::Frame,
    queue::{LinkQueue, LinkSender},
};

/// Interval between pings on an idle link.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without data after which the peer is considered unreachable: three ping intervals and
/// their delay.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a link that was lost is established again; its peer sends its whole state then.
const LOST_LINK_DELAY_MS: u64 = 250;
/// Delays before further attempts, by the number of attempts that failed in a row. The first are short,
/// because the processes of a fleet start together and some listen a moment later.
const RETRY_DELAYS_MS: [u64; 4] = [30, 60, 120, 250];
/// Maximum frame size; the largest messages are whole configurations and batches of log entries.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Memory for which the stated length of a frame is sufficient.
const FRAME_PART_BYTES: usize = 64 << 10;
/// Frames are coalesced into one write until it reaches this size.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// The delays between attempts to establish a link.
#[derive(Debug, Default)]
pub(crate) struct ReconnectDelay {
    failed_attempts: usize,
}

impl ReconnectDelay {
    /// Returns the delay after an established link was lost.
    pub(crate) fn after_loss(&mut self) -> Duration {
        self.failed_attempts = 0;
        spread(LOST_LINK_DELAY_MS)
    }

    /// Returns the delay after an attempt that failed.
    pub(crate) fn after_failure(&mut self) -> Duration {
        let delay_ms = RETRY_DELAYS_MS[self.failed_attempts.min(RETRY_DELAYS_MS.len() - 1)];
        self.failed_attempts += 1;
        spread(delay_ms)
    }
}

/// Draws a delay around `delay_ms`, so that hundreds of processes don't connect at the same time.
fn spread(delay_ms: u64) -> Duration {
    Duration::from_millis(delay_ms * 3 / 4 + fastrand::u64(0..=delay_ms / 2))
}

/// Connects to a process of the fleet.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_tcp_timeouts(&stream, UNRESPONSIVE_TIMEOUT)?;
    Ok(stream)
}

/// Enables TCP keep-alive and makes the kernel close the connection if its peer acknowledges nothing
/// within `acknowledge_timeout`. Also disables Nagle's algorithm.
///
/// On an idle connection the kernel gives up at the first probe after that time, and not after a number of
/// probes.
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
///
/// `max_queued_bytes` limits the frames that wait for a slow peer.
pub(crate) fn split(
    stream: TcpStream,
    max_queued_bytes: usize,
    metrics: &Arc<Metrics>,
) -> (LinkSender, LinkReader) {
    let (read, write) = stream.into_split();
    let (sender, queue) = queue::bounded(max_queued_bytes, Arc::clone(metrics));
    tokio::spawn(write_frames(write, queue));
    (sender, LinkReader { read: BufReader::new(read) })
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
        // The memory grows with the bytes that arrive: a length alone takes none.
        let mut frame = vec![0; length.min(FRAME_PART_BYTES)];
        // A large frame arrives in parts; each part shows that the peer is still responsive.
        let mut filled = 0;
        while filled < length {
            if filled == frame.len() {
                frame.resize(length.min(filled * 2), 0);
            }
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

/// Writes queued frames until the link is closed, fails, or its queue has overflowed.
async fn write_frames(mut write: OwnedWriteHalf, mut queue: LinkQueue) {
    let ping = Frame::encode(&FleetMessage::Ping);
    let mut batch = Vec::new();
    loop {
        let frame = match timeout(PING_INTERVAL, queue.next()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_) => ping.clone(),
        };
        batch.clear();
        batch.extend_from_slice(frame.bytes());
        while batch.len() < MAX_BATCH_BYTES {
            let Some(frame) = queue.try_next() else { break };
            batch.extend_from_slice(frame.bytes());
        }
        // A slow peer must not keep the writer from noticing the overflow.
        let written = tokio::select! {
            written = write.write_all(&batch) => written,
            () = queue.overflowed() => return,
        };
        if let Err(error) = written {
            log::debug!("fleet: writing to a link failed: {error}");
            return;
        }
    }
}
