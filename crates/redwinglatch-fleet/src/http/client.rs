//! HTTP client for backend servers and the platform.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
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
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
    header::{CONNECTION, HeaderMap, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use smallvec::SmallVec;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use super::answer_filter::{AnswerFilter, ExpectedId};
use crate::link::set_tcp_timeouts;

/// Time limit of a connection attempt; a machine without power sends no response at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which the kernel waits for the acknowledgement of sent data, or of a keep-alive probe. A sound
/// server may be silent for a second or two.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which an idle connection is kept if the server announces no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time for which a connection is kept that has had no request yet.
const UNUSED_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for which an idle connection is kept. A server may announce any number of seconds, also one
/// that exceeds the range of the clock.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// A connection is no longer reused this long before the server closes it.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(800);
/// Time after the time limit of a call for reading a response that has arrived.
const LATE_READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Requests with failures as answers after which a connection isn't reused.
const MAX_FAILED_REQUESTS: usize = 32;
/// Last requests with successful answers that a connection remembers.
const MAX_ANSWERED_REQUESTS: usize = 8;
/// Time for which a server may write a failure once more on one of its kept connections.
const FAILURE_MEMORY: Duration = Duration::from_secs(30);
/// Failures within that time that are remembered for each server.
const MAX_RECENT_FAILURES: usize = 256;
/// Maximum size of a response head, and of the part of a body that is read at a time.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// Limits of a call whose response is read as a whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallLimits {
    pub(crate) time: Duration,
    pub(crate) response_bytes: usize,
}

/// Latest time at which a request may be sent, if it is limited.
type SendBy = Option<Instant>;

/// How a connection failed before a request could be sent on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// The server has not answered in time.
    TimedOut,
    Refused,
    Reset,
    /// The server has closed the connection at once.
    Closed,
    /// The request was to be sent earlier than the connection was ready.
    TooLate,
    Other,
}

impl ConnectFailure {
    fn of(error: &io::Error) -> ConnectFailure {
        match error.kind() {
            io::ErrorKind::TimedOut => ConnectFailure::TimedOut,
            io::ErrorKind::ConnectionRefused => ConnectFailure::Refused,
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => ConnectFailure::Reset,
            _ => ConnectFailure::Other,
        }
    }

    /// Returns the label of the failure in the metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            ConnectFailure::TimedOut => "connect_timed_out",
            ConnectFailure::Refused => "connect_refused",
            ConnectFailure::Reset => "connect_reset",
            ConnectFailure::Closed => "connect_closed",
            ConnectFailure::TooLate => "connect_too_late",
            ConnectFailure::Other => "connect_failed",
        }
    }
}

/// An error that left a request without a response head.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// Nothing of the request was sent.
    #[error("the connection to {address} failed: {reason}")]
    NotSent { address: SocketAddr, failure: ConnectFailure, reason: Box<str> },
    /// The request may have reached the server. If it has answered, it sent something that is no response.
    #[error("no response from {address}: {reason}")]
    MaybeSent { address: SocketAddr, is_new: bool, has_answered: bool, reason: Box<str> },
}

/// An error that left a request without a complete response.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("the response of {address} ended early: {reason}")]
    Incomplete { address: SocketAddr, reason: Box<str> },
    #[error("{address} did not respond within {timeout_ms} ms")]
    TimedOut { address: SocketAddr, timeout_ms: u128 },
}

/// HTTP client that pools idle connections to each server.
#[derive(Debug)]
pub(crate) struct HttpClient {
    /// The header with the id of a request, which its response repeats.
    id_header: HeaderName,
    idle_connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// The requests that each server answered with a failure, on any connection, the oldest first.
    recent_failures: Mutex<HashMap<SocketAddr, VecDeque<(RequestHash, Instant)>>>,
}

/// A connection that can take a request.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    expected_id: ExpectedId,
    /// The requests that the server answered with a failure. It may write such an answer once more, and that would
    /// be taken for the answer to a further attempt of the same request.
    failed_requests: SmallVec<[RequestHash; 2]>,
    /// The last requests with successful answers, the oldest first. A caller that uses an id again would get a second
    /// copy of such an answer for its new request.
    answered_requests: VecDeque<RequestHash>,
}

impl Connection {
    /// Records a request whose answer has begun.
    fn record_answer(&mut self, request: RequestHash, is_success: bool) {
        if !is_success {
            return self.failed_requests.push(request);
        }
        if self.answered_requests.len() >= MAX_ANSWERED_REQUESTS {
            self.answered_requests.pop_front();
        }
        self.answered_requests.push_back(request);
    }

    /// Returns whether the server may still write a second copy of an answer to the request here.
    fn may_repeat_answer(&self, request: RequestHash) -> bool {
        self.failed_requests.contains(&request) || self.answered_requests.contains(&request)
    }
}

/// A hash of a request's id. Two requests with the same hash only use more connections.
type RequestHash = u64;

fn request_hash(id: &HeaderValue) -> RequestHash {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// A connection in use by one request. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    client: Arc<HttpClient>,
    address: SocketAddr,
    connection: Connection,
    idle_timeout: Option<Duration>,
    is_new: bool,
}

impl ConnectionLease {
    /// Returns whether the connection was opened for the request.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the connection to the pool. The response must have been read to its end.
    pub(crate) fn reuse(self) {
        let Some(idle_timeout) = self.idle_timeout else { return };
        let connection = self.connection;
        let has_many_failures = connection.failed_requests.len() >= MAX_FAILED_REQUESTS;
        if connection.sender.is_closed() || has_many_failures {
            return;
        }
        let idle = IdleConnection { connection, usable_until: Instant::now() + idle_timeout };
        self.client.lock().entry(self.address).or_default().push(idle);
    }
}

impl HttpClient {
    /// Creates a client for servers that repeat the id of a request, in the header `id_header`.
    pub(crate) fn new(id_header: HeaderName) -> Arc<HttpClient> {
        Arc::new(HttpClient {
            id_header,
            idle_connections: Mutex::default(),
            recent_failures: Mutex::default(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes idle connections that have expired or were closed by the server.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections
                .retain(|idle| now < idle.usable_until && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
        let mut recent = self.recent_failures.lock().unwrap_or_else(PoisonError::into_inner);
        recent.retain(|_, failures| {
            failures.retain(|(_, failed_at)| now < *failed_at + FAILURE_MEMORY);
            !failures.is_empty()
        });
    }

    /// Records a request that a server answered with a failure.
    fn record_failure(&self, address: SocketAddr, request: RequestHash) {
        let mut recent = self.recent_failures.lock().unwrap_or_else(PoisonError::into_inner);
        let failures = recent.entry(address).or_default();
        if failures.len() >= MAX_RECENT_FAILURES {
            failures.pop_front();
        }
        failures.push_back((request, Instant::now()));
    }

    /// Returns whether a server has recently answered an earlier attempt of a request with a failure.
    fn has_failed(&self, address: SocketAddr, request: RequestHash) -> bool {
        let recent = self.recent_failures.lock().unwrap_or_else(PoisonError::into_inner);
        let mut failures = recent.get(&address).into_iter().flatten();
        failures.any(|(failed, _)| *failed == request)
    }

    /// Closes all idle connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Opens a connection to `address`, which the next request may use.
    ///
    /// # Errors
    ///
    /// Returns how the connection failed.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<(), ConnectFailure> {
        let connection = self.connect(address).await.map_err(|error| ConnectFailure::of(&error))?;
        let usable_until = Instant::now() + UNUSED_IDLE_TIMEOUT;
        let idle = IdleConnection { connection, usable_until };
        self.lock().entry(address).or_default().push(idle);
        Ok(())
    }

    /// Takes an idle connection on which no late copy of an answer to an earlier attempt of the request can arrive.
    ///
    /// A copy has the id of the attempt that follows, so that nothing tells it from that attempt's answer. A server may
    /// write a failure on another kept connection than that of the attempt, so an attempt that follows a failure gets a
    /// new connection.
    fn take_idle(&self, address: SocketAddr, request: Option<RequestHash>) -> Option<Connection> {
        if request.is_some_and(|request| self.has_failed(address, request)) {
            return None;
        }
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| now < idle.usable_until && idle.connection.sender.is_ready());
        let is_suitable = |idle: &IdleConnection| {
            request.is_none_or(|request| !idle.connection.may_repeat_answer(request))
        };
        let at = connections.iter().rposition(is_suitable)?;
        Some(connections.remove(at).connection)
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// The error distinguishes whether the request may have reached the server.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        self.send_by(address, request, None).await
    }

    async fn send_by(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        by: SendBy,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        let check_time = || match by {
            Some(by) if Instant::now() > by => Err(SendError::NotSent {
                address,
                failure: ConnectFailure::TooLate,
                reason: "its time has passed".into(),
            }),
            _ => Ok(()),
        };
        let hash = request.headers().get(&self.id_header).map(request_hash);
        check_time()?;
        while let Some(mut connection) = self.take_idle(address, hash) {
            match self.send_on(&mut connection, request).await {
                Ok(response) => return Ok(self.lease(address, connection, hash, response, false)),
                Err(mut error) => match error.take_message() {
                    // The server closed the connection before anything was written.
                    Some(unsent) => request = unsent,
                    None => {
                        let error = error.into_error();
                        return Err(maybe_sent(address, &connection, false, &error));
                    }
                },
            }
        }
        let mut connection = self.connect(address).await.map_err(|error| SendError::NotSent {
            address,
            failure: ConnectFailure::of(&error),
            reason: error.to_string().into(),
        })?;
        check_time()?;
        match self.send_on(&mut connection, request).await {
            Ok(response) => Ok(self.lease(address, connection, hash, response, true)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent {
                    address,
                    failure: ConnectFailure::Closed,
                    reason: error.into_error().to_string().into(),
                }),
                None => Err(maybe_sent(address, &connection, true, &error.into_error())),
            },
        }
    }

    async fn send_on(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        connection.expected_id.set(request.headers().get(&self.id_header).cloned());
        connection.sender.try_send_request(request).await
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if the complete response does not arrive within the time limit or exceeds the size limit.
    pub(crate) async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<(StatusCode, HeaderMap, Bytes), CallError> {
        self.call_by(address, request, limits, None).await
    }

    /// Like [`HttpClient::call`], but doesn't send the request after the time `by`. A process that was suspended
    /// goes on where it was, for example between connecting and sending.
    ///
    /// # Errors
    ///
    /// Fails like [`HttpClient::call`], or if the time has passed.
    pub(crate) async fn call_by(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
        by: SendBy,
    ) -> Result<(StatusCode, HeaderMap, Bytes), CallError> {
        let call = async {
            let (response, lease) = self.send_by(address, request, by).await?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, limits.response_bytes).collect().await;
            let body = body.map_err(|error| CallError::Incomplete {
                address,
                reason: error.to_string().into(),
            })?;
            lease.reuse();
            Ok((parts.status, parts.headers, body.to_bytes()))
        };
        tokio::pin!(call);
        if let Ok(result) = timeout(limits.time, &mut call).await {
            return result;
        }
        // A process that gets too little processor time may have received the response and not read it
        // yet.
        match timeout(LATE_READ_TIMEOUT, call).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut { address, timeout_ms: limits.time.as_millis() }),
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        set_tcp_timeouts(&stream, ACKNOWLEDGE_TIMEOUT)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let (stream, expected_id) =
            AnswerFilter::new(stream, self.id_header.clone(), MAX_READ_BUFFER_BYTES);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("backends: the connection to {address} failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            expected_id,
            failed_requests: SmallVec::new(),
            answered_requests: VecDeque::new(),
        })
    }

    fn lease(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        request: Option<RequestHash>,
        response: Response<Incoming>,
        is_new: bool,
    ) -> (Response<Incoming>, ConnectionLease) {
        if let Some(request) = request {
            let is_success = response.status().is_success();
            connection.record_answer(request, is_success);
            if !is_success {
                self.record_failure(address, request);
            }
        }
        let idle_timeout = idle_timeout(response.headers());
        let client = Arc::clone(self);
        (response, ConnectionLease { client, address, connection, idle_timeout, is_new })
    }
}

/// Returns how long the connection may be idle, or `None` if the server closes it after this
/// response.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
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
    let idle_timeout = seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    idle_timeout
        .min(MAX_IDLE_TIMEOUT)
        .checked_sub(IDLE_CLOSE_MARGIN)
        .filter(|remaining| !remaining.is_zero())
}

fn maybe_sent(
    address: SocketAddr,
    connection: &Connection,
    is_new: bool,
    error: &hyper::Error,
) -> SendError {
    let has_answered = error.is_parse() || connection.expected_id.has_answer_begun();
    SendError::MaybeSent { address, is_new, has_answered, reason: error.to_string().into() }
}

#[cfg(test)]
mod tests;
