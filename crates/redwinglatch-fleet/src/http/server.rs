//! HTTP server.

use std::{
    collections::HashMap,
    convert::Infallible,
    future::poll_fn,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::{
    Request, Response, Version,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use redwinglatch_body::{
    Activity, ConnectionId, ConnectionMemory, NoRoom, ProgressLimit, ProgressLimits, SharedMemory,
};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use crate::{FleetError, link::set_tcp_timeouts, metrics::Metrics, tasks};

use super::{
    metered::{ConnectionMeter, MeteredBody, MeteredStream},
    request_connection::RequestConnection,
};

/// Length of the accept queue.
const ACCEPT_QUEUE_LENGTH: u32 = 1_024;
/// Time for which the kernel waits for a caller's acknowledgement of sent data.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The smallest read buffer that hyper allows.
const MIN_READ_BUFFER_BYTES: usize = 8_192;
/// Delay after a failed accept, which happens for example when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time for which connections without a request stay open after the end of accepting. A request that has been sent by
/// then is read and answered; closed at once, its connection would end without an answer.
const STOP_LINGER: Duration = Duration::from_millis(300);
/// Interval between looks at the progress of all connections.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which an accepted connection waits for room, and the interval between attempts. Those behind it wait in
/// the queue of the kernel.
const ROOM_WAIT: Duration = Duration::from_secs(1);
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Attempts to open a connection at a time.
const ROOM_ATTEMPTS: usize = 3;
/// Smallest interval between log lines on connections that are refused or closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that the kernel holds for a peer that doesn't read. The kernel reports room after a third of it is read, and
/// with the megabytes that it takes by itself, slow readers would seem to have stopped.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Longest time of a limit; a configuration may state any number.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);
/// Time beyond the limit of the configuration in which a head must arrive, for a busy process.
const HEAD_MARGIN_MS: u64 = 500;
/// Rate at which a head makes progress.
const HEAD_BYTES_PER_S: u64 = 2 << 10;
/// A body that stops, or is slower than this rate, ends after this time.
const BODY_PROGRESS: ProgressLimit = ProgressLimit { time_ms: 10_000, bytes_per_s: 8 << 10 };
/// The same for a response that its caller reads more slowly than it is written.
const SENDING_PROGRESS: ProgressLimit = ProgressLimit { time_ms: 20_000, bytes_per_s: 2 << 10 };

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    pub(crate) header_bytes: usize,
    pub(crate) header_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    /// Time without progress after which a connection may be closed for lack of room.
    pub(crate) stall_time: Duration,
    /// The same for a body.
    pub(crate) body_stall_time: Duration,
    /// The same for a response that its caller doesn't take.
    pub(crate) sending_stall_time: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            header_bytes: 16 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(30),
            stall_time: Duration::from_millis(150),
            body_stall_time: Duration::from_millis(500),
            sending_stall_time: Duration::from_secs(2),
        }
    }
}

impl ServerLimits {
    /// Limits of a server with few connections, whose requests are answered at once: a new connection displaces one
    /// that has sent no request with its first bytes.
    pub(crate) fn brief() -> ServerLimits {
        ServerLimits {
            stall_time: Duration::ZERO,
            sending_stall_time: Duration::from_millis(200),
            ..ServerLimits::default()
        }
    }

    fn progress(&self) -> ProgressLimits {
        let ms = |time: Duration| time.min(MAX_TIME).as_millis() as u64;
        ProgressLimits {
            idle_ms: ms(self.idle_timeout),
            head: ProgressLimit {
                time_ms: ms(self.header_timeout) + HEAD_MARGIN_MS,
                bytes_per_s: HEAD_BYTES_PER_S,
            },
            body: BODY_PROGRESS,
            sending: SENDING_PROGRESS,
            stall_ms: ms(self.stall_time),
            body_stall_ms: ms(self.body_stall_time),
            sending_stall_ms: ms(self.sending_stall_time),
        }
    }
}

/// What a server is named in logs, and the memory that its clients may hold.
#[derive(Debug, Clone)]
pub(crate) struct ServerMemory {
    pub(crate) name: &'static str,
    pub(crate) memory: SharedMemory,
    pub(crate) metrics: Arc<Metrics>,
}

/// The address of the peer that sent a request; an extension of each request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerAddress(pub(crate) IpAddr);

pub(crate) type Body = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// Binds a listening socket.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener, FleetError> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_QUEUE_LENGTH)
    };
    listen().map_err(|source| FleetError::Bind { address, source })
}

/// Serves connections until `stop` is true, and returns once all of them have ended. Each connection then ends after
/// the response in progress, or after [`STOP_LINGER`] without a request.
pub(crate) async fn serve<Handler, ResponseFuture>(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits,
    memory: ServerMemory,
    stop: watch::Receiver<bool>,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
    ResponseFuture: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let meters = Arc::<Meters>::default();
    tasks::spawn_essential("progress", watch_progress(memory.clone(), Arc::clone(&meters)));
    let mut stopped = stop.clone();
    let mut refusals = RareLine::default();
    // Each connection keeps a sender until it ends.
    let (open, mut all_closed) = mpsc::channel::<Infallible>(1);
    let start =
        |stream: TcpStream, peer: IpAddr, limits: ServerLimits, opened: ConnectionMemory| {
            let connection = RequestConnection {
                id: opened.id(),
                memory: memory.memory.clone(),
                meter: Arc::default(),
            };
            meters.lock().insert(opened.id(), Arc::clone(&connection.meter));
            let meter = RegisteredMeter { meters: Arc::clone(&meters), id: opened.id() };
            let (stop, handler) = (stop.clone(), Arc::clone(&handler));
            let (metrics, open) = (Arc::clone(&memory.metrics), open.clone());
            tokio::spawn(async move {
                let _guards = (meter, open);
                let connection = (connection, opened);
                let peer = PeerAddress(peer);
                if serve_connection(stream, peer, limits, connection, stop, handler).await {
                    metrics.record_client_connection("closed");
                }
            });
        };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                refusals.log(|| format!("{}: cannot accept a connection: {error}", memory.name));
                memory.memory.shed();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let limits = limits();
        match open_connection(&memory, &meters, peer.ip(), &limits).await {
            Ok(opened) => start(stream, peer.ip(), limits, opened),
            Err(NoRoom) => {
                memory.metrics.record_client_connection("no_room");
                refusals.log(|| format!("{}: no room for a connection of {peer}", memory.name));
            }
        }
    }
    // The peers of connections in the accept queue may have sent their requests; closing the listener resets them.
    tokio::task::yield_now().await;
    for _ in 0..ACCEPT_QUEUE_LENGTH {
        match poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await {
            Poll::Ready(Ok((stream, peer))) => {
                let limits = limits();
                let opened = memory.memory.open(peer.ip(), limits.progress(), limits.header_bytes);
                if let Ok(opened) = opened {
                    start(stream, peer.ip(), limits, opened);
                }
            }
            Poll::Ready(Err(_)) | Poll::Pending => break,
        }
    }
    drop(listener);
    drop(open);
    // Nothing is ever sent: this waits until the last sender is dropped.
    all_closed.recv().await;
}

/// Opens a connection as soon as there is room for it.
async fn open_connection(
    memory: &ServerMemory,
    meters: &Meters,
    peer: IpAddr,
    limits: &ServerLimits,
) -> Result<ConnectionMemory, NoRoom> {
    let deadline = Instant::now() + ROOM_WAIT;
    loop {
        for _ in 0..ROOM_ATTEMPTS {
            let opened = memory.memory.open(peer, limits.progress(), limits.header_bytes);
            if opened.is_ok() {
                return opened;
            }
            // Connections that are to be closed give their room back when their tasks run.
            tokio::task::yield_now().await;
        }
        if Instant::now() >= deadline {
            return Err(NoRoom);
        }
        tokio::time::sleep(ROOM_CHECK_INTERVAL).await;
        check_progress(memory, meters);
    }
}

/// The meters of all connections of a server.
#[derive(Debug, Default)]
struct Meters(Mutex<HashMap<ConnectionId, Arc<ConnectionMeter>>>);

impl Meters {
    fn lock(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<ConnectionMeter>>> {
        // Each change is one call, so a poisoned lock is usable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the meter of a connection that has ended.
struct RegisteredMeter {
    meters: Arc<Meters>,
    id: ConnectionId,
}

impl Drop for RegisteredMeter {
    fn drop(&mut self) {
        self.meters.lock().remove(&self.id);
    }
}

/// Closes connections that make too little progress, until the process ends.
async fn watch_progress(memory: ServerMemory, meters: Arc<Meters>) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        check_progress(&memory, &meters);
    }
}

/// Looks at all connections, and closes those that make too little progress.
fn check_progress(memory: &ServerMemory, meters: &Meters) {
    let meters = meters.lock();
    if meters.is_empty() {
        return;
    }
    let activities = meters.iter().map(|(id, meter)| (*id, meter.activity()));
    for id in memory.memory.observe(activities) {
        let Some(meter) = meters.get(&id) else { continue };
        // The handler answers a body that has stopped, and the connection is closed after that.
        if matches!(meter.activity(), Activity::Body { .. }) {
            memory.metrics.record_client_connection("body_stalled");
            meter.expire_body();
        } else {
            memory.memory.close(id);
        }
    }
}

/// Limits a kind of log line to one in [`LOG_INTERVAL`], because a client may cause any number of them.
#[derive(Debug, Default)]
struct RareLine {
    last_at: Option<Instant>,
    omitted: u64,
}

impl RareLine {
    fn log(&mut self, line: impl FnOnce() -> String) {
        let now = Instant::now();
        if self.last_at.is_some_and(|last_at| now.duration_since(last_at) < LOG_INTERVAL) {
            self.omitted += 1;
            return;
        }
        self.last_at = Some(now);
        log::warn!("server: {}; {} earlier like it", line(), std::mem::take(&mut self.omitted));
    }
}

/// Serves one connection, and returns whether it was closed for lack of progress or of room.
async fn serve_connection<Handler, ResponseFuture>(
    stream: TcpStream,
    peer: PeerAddress,
    limits: ServerLimits,
    (request_connection, memory): (RequestConnection, ConnectionMemory),
    mut stop: watch::Receiver<bool>,
    handler: Arc<Handler>,
) -> bool
where
    Handler: Fn(Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
    ResponseFuture: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(error) = set_tcp_timeouts(&stream, ACKNOWLEDGE_TIMEOUT)
        .and_then(|()| SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES))
    {
        log::debug!("server: cannot set the options of a connection: {error}");
    }
    // HTTP/1.0 knows no chunks: the end of the connection delimits a response of unknown length.
    let is_http_1_0 = AtomicBool::new(false);
    let stopped = stop.clone();
    let meter = Arc::clone(&request_connection.meter);
    let service = service_fn(|mut request: Request<Incoming>| {
        request_connection.meter.start_request();
        request.extensions_mut().insert(peer);
        request.extensions_mut().insert(request_connection.clone());
        is_http_1_0.store(request.version() == Version::HTTP_10, Ordering::Relaxed);
        let (response, stopped) = (handler(request), stopped.clone());
        let meter = &request_connection.meter;
        async move {
            let mut response = response.await;
            if *stopped.borrow() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let (parts, body) = response.into_parts();
            let body = MeteredBody::new(body, Arc::clone(meter));
            Ok::<_, Infallible>(Response::from_parts(parts, body))
        }
    });
    let mut connection = http1::Builder::new()
        // The progress of heads is watched instead, see `watch_progress`.
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(MeteredStream::new(stream, meter)), service);
    let mut linger_ends_at = None;
    let mut is_stopping = false;
    let mut must_close = false;
    let is_complete = loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = &result {
                    log::trace!("server: a connection failed: {error}");
                }
                break result.is_ok();
            }
            _ = stop.wait_for(|stop| *stop), if linger_ends_at.is_none() => {
                linger_ends_at = Some(Instant::now() + STOP_LINGER);
            }
            () = sleep_until(linger_ends_at.unwrap_or_else(Instant::now)),
                if linger_ends_at.is_some() && !is_stopping =>
            {
                is_stopping = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            () = memory.must_close() => {
                must_close = true;
                break false;
            }
        }
    };
    if !is_complete && is_http_1_0.load(Ordering::Relaxed) {
        reset_connection(connection.into_parts().io.into_inner().into_inner());
    }
    must_close
}

/// Closes a connection in a way that its peer can't take for the end of a response.
fn reset_connection(stream: TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!("server: cannot reset the connection of a response that broke off: {error}");
    }
}

#[cfg(test)]
mod tests;
