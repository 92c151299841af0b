//! One HTTP/1.1 connection to a backend server.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    task::AbortHandle,
    time::{Duration, Instant, timeout, timeout_at},
};

use crate::{BackendError, BackendErrorKind};

/// Limit of a response head, and of the body bytes that are read before the consumer takes them.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// The reason why a request received no response head.
pub(crate) enum SendFailure {
    /// The request was certainly not written; it is returned for a retry.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have been written.
    Unknown(BackendError),
}

/// An open connection. Dropping it closes the socket, even during an exchange.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    verified_at: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Connects to `address`.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
        time_limit: Duration,
    ) -> Result<Connection, BackendError> {
        let failed = |detail: String| {
            BackendError::not_run(BackendErrorKind::ConnectFailed, format!("{address}: {detail}"))
        };
        let socket = match timeout(time_limit, TcpStream::connect(address)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                let detail = address.to_string();
                return Err(BackendError::not_run(BackendErrorKind::ConnectRefused, detail));
            }
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Err(_) => return Err(failed(format!("timed out after {} ms", time_limit.as_millis()))),
        };
        socket.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|error| failed(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("backends: connection to {address} ended: {error}");
            }
        });
        let driver = driver.abort_handle();
        Ok(Connection { sender, driver, verified_at: Instant::now(), _permit: permit })
    }

    /// Returns the time at which the connection was last known to work.
    pub(crate) fn verified_at(&self) -> Instant {
        self.verified_at
    }

    pub(crate) fn mark_verified(&mut self) {
        self.verified_at = Instant::now();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until a request can be written; returns false when the connection closes or the time
    /// limit passes.
    pub(crate) async fn is_ready_within(&mut self, time_limit: Duration) -> bool {
        self.sender.is_ready()
            || matches!(timeout(time_limit, self.sender.ready()).await, Ok(Ok(())))
    }

    /// Sends `GET /health` and reads the response; returns false when the connection does not work.
    pub(crate) async fn probe(&mut self, address: SocketAddr, time_limit: Duration) -> bool {
        let Ok(request) = Request::get("/health")
            .header("host", address.to_string())
            .body(Full::new(Bytes::new()))
        else {
            return false;
        };
        let exchange = async {
            self.sender.ready().await.ok()?;
            let response = self.sender.send_request(request).await.ok()?;
            read_body(response.into_body(), READ_BUFFER_BYTES).await.ok()
        };
        let has_response = matches!(timeout(time_limit, exchange).await, Ok(Some(_)));
        if has_response {
            self.mark_verified();
        }
        has_response
    }

    /// Sends a request and waits for the response head until `deadline`.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendFailure> {
        match timeout_at(deadline, self.sender.try_send_request(request)).await {
            Ok(Ok(response)) => {
                self.mark_verified();
                Ok(response)
            }
            Ok(Err(mut error)) => match error.take_message() {
                // hyper returns the request only if it never began to write it.
                Some(request) => Err(SendFailure::NotSent(Box::new(request))),
                None => {
                    let error = error.into_error();
                    let kind = if error.is_parse() {
                        BackendErrorKind::Malformed
                    } else {
                        BackendErrorKind::ConnectionLost
                    };
                    Err(SendFailure::Unknown(BackendError::unknown(kind, error.to_string())))
                }
            },
            Err(_) => {
                let error = BackendError::unknown(
                    BackendErrorKind::Unresponsive,
                    "no response head before the deadline",
                );
                Err(SendFailure::Unknown(error))
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The driver task owns the socket; it would wait for ever on an unresponsive peer that does
        // not read the rest of a request.
        self.driver.abort();
    }
}

/// Reads a whole response body of at most `limit_bytes`.
pub(crate) async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
) -> Result<Bytes, BackendError> {
    let too_large = || {
        let detail = format!("the response body exceeds {limit_bytes} bytes");
        BackendError::unknown(BackendErrorKind::TooLarge, detail)
    };
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            BackendError::unknown(BackendErrorKind::ConnectionLost, error.to_string())
        })?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > limit_bytes {
                return Err(too_large());
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.into())
}
