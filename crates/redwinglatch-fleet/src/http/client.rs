//! The client of backend servers and of the platform.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderMap, HeaderName},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::link::set_silence_limits;

/// How long a connection attempt may take; a machine without power doesn't answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the kernel waits for an acknowledgement of what was sent.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept if the server names no limit.
const DEFAULT_IDLE: Duration = Duration::from_millis(4_000);
/// A connection is not reused this shortly before the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// The largest answer that is read as a whole.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// Nothing of the request was sent.
    #[error("the connection to {address} failed: {reason}")]
    NotSent { address: SocketAddr, reason: Box<str> },
    /// The request may have arrived.
    #[error("no answer from {address}: {reason}")]
    MaybeSent { address: SocketAddr, reason: Box<str> },
}

/// Why a whole answer could not be read.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("the answer of {address} broke off: {reason}")]
    Broken { address: SocketAddr, reason: Box<str> },
    #[error("{address} did not answer within {timeout_ms} ms")]
    TimedOut { address: SocketAddr, timeout_ms: u128 },
}

/// Keeps idle connections to backend servers.
#[derive(Debug, Default)]
pub(crate) struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    usable_until: Instant,
}

/// A connection in use by one request; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Lease {
    client: Arc<HttpClient>,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    idle: Option<Duration>,
}

impl Lease {
    /// Keeps the connection for another request, once the answer was read to its end.
    pub(crate) fn reuse(self) {
        let Some(idle) = self.idle else { return };
        if self.sender.is_closed() {
            return;
        }
        let connection =
            IdleConnection { sender: self.sender, usable_until: Instant::now() + idle };
        self.client.lock().entry(self.address).or_default().push(connection);
    }
}

impl HttpClient {
    pub(crate) fn new() -> Arc<HttpClient> {
        Arc::default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes idle connections that are past their time.
    pub(crate) fn close_old(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.retain(|idle| now < idle.usable_until && !idle.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to `address`.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if now < connection.usable_until && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have arrived.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.lease(address, sender, response)),
                Err(mut error) => match error.take_message() {
                    // The server closed the connection before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(maybe_sent(address, &error.into_error())),
                },
            }
        }
        let mut sender = self
            .connect(address)
            .await
            .map_err(|error| SendError::NotSent { address, reason: error.to_string().into() })?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.lease(address, sender, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent {
                    address,
                    reason: error.into_error().to_string().into(),
                }),
                None => Err(maybe_sent(address, &error.into_error())),
            },
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer within `limit`.
    pub(crate) async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes), CallError> {
        let call = async {
            let (response, lease) = self.send(address, request).await?;
            let (parts, body) = response.into_parts();
            let body =
                read_whole(body).await.map_err(|reason| CallError::Broken { address, reason })?;
            lease.reuse();
            Ok((parts.status, parts.headers, body))
        };
        match timeout(limit, call).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut { address, timeout_ms: limit.as_millis() }),
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        set_silence_limits(&stream, UNACKNOWLEDGED_LIMIT)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("backends: a connection to {address} ends: {error}");
            }
        });
        Ok(sender)
    }

    fn lease(
        self: &Arc<Self>,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
    ) -> (Response<Incoming>, Lease) {
        let idle = idle_time(response.headers());
        (response, Lease { client: Arc::clone(self), address, sender, idle })
    }
}

/// Reads a body to its end.
pub(super) async fn read_whole(body: Incoming) -> Result<Bytes, Box<str>> {
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.to_string().into()),
    }
}

/// How long the connection may be idle, or `None` if the server closes it.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes =
        text(&CONNECTION).is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let seconds = text(&KEEP_ALIVE).and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        timeout.and_then(|seconds| seconds.trim().parse::<u64>().ok())
    });
    let idle = seconds.map_or(DEFAULT_IDLE, Duration::from_secs);
    idle.checked_sub(IDLE_MARGIN).filter(|left| !left.is_zero())
}

fn maybe_sent(address: SocketAddr, error: &hyper::Error) -> SendError {
    SendError::MaybeSent { address, reason: error.to_string().into() }
}
