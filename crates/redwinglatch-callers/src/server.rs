//! The listening socket and the connections of callers.

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
use crate::render::{ResponseBody, refusal_response, render_answer};
use crate::{CallerAnswer, CallerCall};

/// Headers that a request may carry.
const MAX_HEADERS: usize = 64;
/// Time for a caller to send the headers of a request, also on an idle connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for a caller to send a body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits and timeouts of the server towards callers.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Connections open at once.
    pub max_connections: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Time between comments on a stream without tokens.
    pub keep_alive_ms: u64,
    /// Time after which a connection whose caller takes no bytes is closed.
    pub write_stall_ms: u64,
}

/// Serves callers until `stop` turns true, then until the last request in flight has ended.
///
/// `count` is called with the reason of each request that is refused here, before it becomes a
/// call.
pub async fn serve(
    listener: TcpListener,
    settings: CallerSettings,
    calls: mpsc::Sender<CallerCall>,
    count: impl Fn(RefusalReason) + Send + Sync + 'static,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(settings.max_connections));
    let server = Arc::new(Server { settings, calls, count: Box::new(count) });
    let (connection_guard, mut connections_ended) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("callers: cannot accept a connection: {error}");
                // Out of file descriptors, for example; an immediate retry would spin.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            (server.count)(RefusalReason::TooManyConnections);
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
    connections_ended.recv().await;
}

struct Server {
    settings: CallerSettings,
    calls: mpsc::Sender<CallerCall>,
    count: Box<dyn Fn(RefusalReason) + Send + Sync>,
}

impl Server {
    async fn serve_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        mut stop: watch::Receiver<bool>,
    ) {
        self.bound_silence(&stream);
        let service = service_fn(|request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.answer(request, peer).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .max_buf_size(self.settings.max_header_bytes.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let stopped = async {
            // An error means that the sender is gone, which also ends the server.
            let _ = stop.wait_for(|stopped| *stopped).await;
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            () = stopped => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    /// Makes the kernel close a connection whose caller acknowledges nothing, idle or not.
    fn bound_silence(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(Duration::from_millis(self.settings.write_stall_ms))
            .with_interval(Duration::from_secs(1))
            .with_retries(3);
        let write_stall = Duration::from_millis(self.settings.write_stall_ms);
        let bounded = socket
            .set_tcp_keepalive(&keepalive)
            .and_then(|()| socket.set_tcp_user_timeout(Some(write_stall)))
            .and_then(|()| stream.set_nodelay(true));
        if let Err(error) = bounded {
            log::warn!("callers: cannot set the timeouts of a connection: {error}");
        }
    }

    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<ResponseBody> {
        match self.dispatch(request, peer).await {
            Ok(answer) => render_answer(
                answer,
                Duration::from_millis(self.settings.keep_alive_ms),
                Duration::from_millis(self.settings.write_stall_ms),
            ),
            Err(refusal) => {
                (self.count)(refusal.reason);
                refusal_response(&refusal, &[])
            }
        }
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<CallerAnswer, Refusal> {
        let (parts, body) = request.into_parts();
        let limited = Limited::new(body, self.settings.max_body_bytes);
        let body = match tokio::time::timeout(BODY_READ_TIMEOUT, limited.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(Refusal::not_run(
                    RefusalReason::TooLarge,
                    format!("the body exceeds {} bytes", self.settings.max_body_bytes),
                ));
            }
            Ok(Err(error)) => {
                return Err(Refusal::not_run(
                    RefusalReason::MalformedRequest,
                    format!("the body could not be read: {error}"),
                ));
            }
            Err(_) => {
                return Err(Refusal::not_run(
                    RefusalReason::MalformedRequest,
                    format!("the body took longer than {} s", BODY_READ_TIMEOUT.as_secs()),
                ));
            }
        };
        let kind = parse_call(&parts, body)?;
        let (reply, answer) = oneshot::channel();
        if self.calls.send(CallerCall { peer, kind, reply }).await.is_err() {
            return Err(Refusal::not_run(RefusalReason::Draining, "the instance is stopping"));
        }
        // A dropped reply means that the task of the request ended without an answer.
        answer.await.map_err(|_| {
            Refusal::unknown(RefusalReason::BackendFailed, "the request's task ended unexpectedly")
        })
    }
}
