//! The listening socket and the connections from callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use redwinglatch_core::{Refusal, RefusalReason};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use crate::parse::parse_call;
use crate::render::{ResponseBody, refusal_response, render_response};
use crate::{CallerCall, CallerResponse};

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// Time limit for a caller to send the headers of a request; it also applies to an idle connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for a caller to send a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits and timeouts of the server for callers.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of the headers of a request.
    pub max_header_bytes: usize,
    /// Interval between keep-alive comments on a stream that has no tokens to send.
    pub keep_alive_ms: u64,
    /// Time after which a connection is closed when its caller reads no bytes.
    pub write_stall_ms: u64,
}

/// Serves callers until `stop` turns true, and then until the last request in flight has ended.
///
/// `on_refused` is called with the reason of each connection or request that is refused before it
/// becomes a call.
pub async fn serve(
    listener: TcpListener,
    settings: CallerSettings,
    calls: mpsc::Sender<CallerCall>,
    on_refused: impl Fn(RefusalReason) + Send + Sync + 'static,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(settings.max_connections));
    let server = Arc::new(Server { settings, calls, on_refused: Box::new(on_refused) });
    let (connection_guard, mut all_connections_closed) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("callers: cannot accept a connection: {error}");
                // For example, no file descriptor is free; an immediate retry would spin.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            (server.on_refused)(RefusalReason::TooManyConnections);
            continue;
        };
        let server = server.clone();
        let stop = stop.clone();
        let guard = connection_guard.clone();
        tokio::spawn(async move {
            server.serve_connection(stream, peer, stop).await;
            drop((permit, guard));
        });
    }
    drop(connection_guard);
    drop(listener);
    all_connections_closed.recv().await;
}

struct Server {
    settings: CallerSettings,
    calls: mpsc::Sender<CallerCall>,
    on_refused: Box<dyn Fn(RefusalReason) + Send + Sync>,
}

impl Server {
    async fn serve_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        mut stop: watch::Receiver<bool>,
    ) {
        self.set_socket_timeouts(&stream);
        let service = service_fn(|request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.handle_request(request, peer).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .max_buf_size(self.settings.max_header_bytes.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let stopped = async {
            // An error means that the sender was dropped, which also stops the server.
            let _ = stop.wait_for(|stopped| *stopped).await;
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            () = stopped => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    /// Makes the kernel close a connection, idle or not, whose caller stops sending
    /// acknowledgements.
    fn set_socket_timeouts(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(Duration::from_millis(self.settings.write_stall_ms))
            .with_interval(Duration::from_secs(1))
            .with_retries(3);
        let write_stall = Duration::from_millis(self.settings.write_stall_ms);
        let result = socket
            .set_tcp_keepalive(&keepalive)
            .and_then(|()| socket.set_tcp_user_timeout(Some(write_stall)))
            .and_then(|()| stream.set_nodelay(true));
        if let Err(error) = result {
            log::warn!("callers: cannot set the socket timeouts of a connection: {error}");
        }
    }

    async fn handle_request(
        self: &Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<ResponseBody> {
        match self.dispatch(request, peer).await {
            Ok(response) => render_response(
                response,
                Duration::from_millis(self.settings.keep_alive_ms),
                Duration::from_millis(self.settings.write_stall_ms),
            ),
            Err(refusal) => {
                (self.on_refused)(refusal.reason);
                refusal_response(&refusal, &[])
            }
        }
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<CallerResponse, Refusal> {
        let (parts, body) = request.into_parts();
        let limited = Limited::new(body, self.settings.max_body_bytes);
        let body = match tokio::time::timeout(BODY_READ_TIMEOUT, limited.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(Refusal::not_run(
                    RefusalReason::TooLarge,
                    format!("the request body exceeds {} bytes", self.settings.max_body_bytes),
                ));
            }
            Ok(Err(error)) => {
                return Err(Refusal::not_run(
                    RefusalReason::MalformedRequest,
                    format!("the request body could not be read: {error}"),
                ));
            }
            Err(_) => {
                return Err(Refusal::not_run(
                    RefusalReason::MalformedRequest,
                    format!(
                        "the request body did not arrive within {} s",
                        BODY_READ_TIMEOUT.as_secs()
                    ),
                ));
            }
        };
        let kind = parse_call(&parts, body)?;
        let (reply, response) = oneshot::channel();
        if self.calls.send(CallerCall { peer, kind, reply }).await.is_err() {
            return Err(Refusal::not_run(RefusalReason::Draining, "the instance is stopping"));
        }
        // A dropped sender means that the task of the request ended without a response.
        response.await.map_err(|_| {
            Refusal::unknown(RefusalReason::BackendFailed, "the request's task ended unexpectedly")
        })
    }
}
