//! The HTTP server of the operators' API.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info, warn};
use redwinglatch_core::{Refusal, RefusalReason};
use redwinglatch_metrics::{Counter, Metrics};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::routes::{Route, apply_contract, render_reply, route};
use crate::{OperatorCall, OperatorReply, OperatorRequest, SecretFile};

/// Time that open connections have to finish after the server is stopped.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(5);
/// Delay after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum size of the unread body that is discarded before a refusal is sent.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Limits of the operators' HTTP server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperatorLimits {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum total size of the headers of a request; at least 8,192.
    pub max_header_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout for each of: reading the headers, reading the body, and discarding the rest of a
    /// body after a refusal.
    pub read_timeout_ms: u64,
    /// Timeout for the daemon's reply.
    pub response_timeout_ms: u64,
}

impl Default for OperatorLimits {
    fn default() -> OperatorLimits {
        OperatorLimits {
            max_body_bytes: 262_144,
            max_header_bytes: 16_384,
            max_connections: 64,
            read_timeout_ms: 10_000,
            // A change is in force within 10 s; the other 5 s allow for a leader election.
            response_timeout_ms: 15_000,
        }
    }
}

impl OperatorLimits {
    /// Time for one request and its response. A connection that is still open then is unresponsive.
    fn connection_timeout(&self) -> Duration {
        Duration::from_millis(3 * self.read_timeout_ms + self.response_timeout_ms)
    }
}

/// The HTTP server of the operators' API.
#[derive(Debug, Clone)]
pub struct OperatorServer {
    secret: Arc<SecretFile>,
    calls: mpsc::Sender<OperatorCall>,
    metrics: Arc<Metrics>,
    limits: OperatorLimits,
}

impl OperatorServer {
    /// Creates a server that passes authenticated requests to `calls` and counts refusals in
    /// `metrics`.
    #[must_use]
    pub fn new(
        secret: Arc<SecretFile>,
        calls: mpsc::Sender<OperatorCall>,
        metrics: Arc<Metrics>,
    ) -> OperatorServer {
        OperatorServer { secret, calls, metrics, limits: OperatorLimits::default() }
    }

    /// Replaces the default limits.
    #[must_use]
    pub fn limits(mut self, limits: OperatorLimits) -> OperatorServer {
        self.limits = limits;
        self
    }

    /// Serves connections until `stop` completes; then open requests have 5 s to finish.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) {
        let connections = Arc::new(Semaphore::new(self.limits.max_connections));
        let (stop_sender, stop_receiver) = watch::channel(false);
        let mut stop = pin!(stop);
        let mut watch_secret = pin!(self.secret.watch(&self.metrics));
        loop {
            let accepted = tokio::select! {
                () = &mut stop => break,
                () = &mut watch_secret => break,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!("operators: accepting a connection failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                self.refuse_connection(&stream);
                continue;
            };
            let server = self.clone();
            let stop = stop_receiver.clone();
            tokio::spawn(async move {
                let limit = server.limits.connection_timeout();
                if timeout(limit, server.serve_connection(stream, stop)).await.is_err() {
                    server.metrics.increment(Counter::SilentConnections);
                    debug!("operators: closed a connection that was still open after {limit:?}");
                }
                drop(permit);
            });
        }
        info!("operators: the server is stopping");
        stop_sender.send_replace(true);
        drop(listener);
        let max_connections = u32::try_from(self.limits.max_connections).unwrap_or(u32::MAX);
        if timeout(SHUTDOWN_GRACE, connections.acquire_many(max_connections)).await.is_err() {
            warn!("operators: some connections are still open after {SHUTDOWN_GRACE:?}");
        }
    }

    fn refuse_connection(&self, stream: &TcpStream) {
        self.metrics.refused(RefusalReason::TooManyConnections);
        debug!("operators: refused a connection because {} are open", self.limits.max_connections);
        // A single non-blocking write: the connection is closed in any case.
        let _ = stream.try_write(
            b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n\
              connection: close\r\n\r\n",
        );
    }

    async fn serve_connection(&self, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        let _ = stream.set_nodelay(true);
        let server = self.clone();
        let service = service_fn(move |request| {
            let server = server.clone();
            async move { Ok::<_, Infallible>(server.respond(request).await) }
        });
        // One request per connection, so that the duration of a connection is bounded.
        let connection = http1::Builder::new()
            .keep_alive(false)
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.limits.read_timeout_ms))
            .max_header_size(self.limits.max_header_bytes)
            .max_buf_size(self.limits.max_header_bytes.max(8_192))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let stopped = async move {
            let _ = stop.wait_for(|is_stopping| *is_stopping).await;
        };
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = stopped => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            if error.is_parse_too_large() {
                self.metrics.refused(RefusalReason::TooLarge);
            } else if error.is_parse() {
                self.metrics.refused(RefusalReason::MalformedRequest);
            }
            debug!("operators: a connection ended early: {error}");
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, mut body) = request.into_parts();
        match self.handle(&head, &mut body).await {
            Ok(response) => response,
            Err(refusal) => {
                let limit = Duration::from_millis(self.limits.read_timeout_ms);
                let _ = timeout(limit, discard_body(&mut body)).await;
                self.refuse(refusal)
            }
        }
    }

    async fn handle(
        &self,
        head: &Parts,
        body: &mut Incoming,
    ) -> Result<Response<Full<Bytes>>, Refusal> {
        self.authenticate(&head.headers)?;
        let call = match route(&head.method, head.uri.path(), &head.headers)? {
            Route::Metrics => {
                let page = self.metrics.render();
                return Ok(response(StatusCode::OK, "text/plain; version=0.0.4", page.into()));
            }
            Route::Call(call) => call,
            Route::ApplyContract { customer, change } => {
                let body = self.read_body(body).await?;
                apply_contract(&customer, change, &body)?
            }
        };
        let reply = self.call(call).await;
        if let OperatorReply::Refused(refusal) = reply {
            return Err(refusal);
        }
        if let OperatorReply::Conflict(_) = reply {
            self.metrics.refused(RefusalReason::RevisionConflict);
        }
        let (status, json) = render_reply(&reply);
        Ok(response(status, "application/json", json.into()))
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        let refuse = |detail: &str| Err(Refusal::not_run(RefusalReason::Unauthenticated, detail));
        let Some(value) = headers.get(AUTHORIZATION) else {
            return refuse("the header authorization is missing");
        };
        let Some(secret) = value.as_bytes().strip_prefix(b"Bearer ") else {
            return refuse("the header authorization is not in the form `Bearer SECRET`");
        };
        if !self.secret.matches(secret) {
            return refuse("the secret is wrong");
        }
        Ok(())
    }

    async fn read_body(&self, body: &mut Incoming) -> Result<Bytes, Refusal> {
        let limit = Duration::from_millis(self.limits.read_timeout_ms);
        match timeout(limit, read_limited(body, self.limits.max_body_bytes)).await {
            Ok(result) => result,
            Err(_) => {
                let detail = format!("the body did not arrive within {} ms", limit.as_millis());
                Err(Refusal::not_run(RefusalReason::MalformedRequest, detail))
            }
        }
    }

    async fn call(&self, request: OperatorRequest) -> OperatorReply {
        let (reply, receiver) = oneshot::channel();
        let response = async {
            let call = OperatorCall { request, reply };
            if self.calls.send(call).await.is_err() {
                let detail = "the daemon is stopping";
                return Err(Refusal::not_run(RefusalReason::ControlUnavailable, detail));
            }
            receiver.await.map_err(|_| {
                let detail = "the daemon dropped the request without a reply";
                Refusal::unknown(RefusalReason::ControlUnavailable, detail)
            })
        };
        let limit = Duration::from_millis(self.limits.response_timeout_ms);
        let result = timeout(limit, response).await.unwrap_or_else(|_| {
            let detail = format!("the daemon did not reply within {} ms", limit.as_millis());
            Err(Refusal::unknown(RefusalReason::ControlUnavailable, detail))
        });
        result.unwrap_or_else(|refusal| OperatorReply::Refused(refusal.retry_after_ms(1_000)))
    }

    fn refuse(&self, refusal: Refusal) -> Response<Full<Bytes>> {
        self.metrics.refused(refusal.reason);
        debug!("operators: refused a request: {refusal}");
        let retry_after_s = refusal.retry_after_ms.map(|ms| ms.div_ceil(1_000));
        let (status, json) = render_reply(&OperatorReply::Refused(refusal));
        let mut response = response(status, "application/json", json.into());
        let headers = response.headers_mut();
        if let Some(retry_after_s) = retry_after_s {
            headers.insert(RETRY_AFTER, retry_after_s.into());
        }
        if status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

/// Reads a body of at most `limit_bytes`.
async fn read_limited(body: &mut Incoming, limit_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body exceeds {limit_bytes} bytes");
            Err(Refusal::not_run(RefusalReason::TooLarge, detail))
        }
        Err(error) => {
            let detail = format!("the body could not be read: {error}");
            Err(Refusal::not_run(RefusalReason::MalformedRequest, detail))
        }
    }
}

/// Reads and discards the rest of a body, up to [`MAX_DISCARDED_BYTES`]. A connection that is
/// closed with unread bytes is reset, and the sender might lose the refusal.
async fn discard_body(body: &mut Incoming) {
    let mut size_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        size_bytes += frame.data_ref().map_or(0, Bytes::len);
        if size_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
