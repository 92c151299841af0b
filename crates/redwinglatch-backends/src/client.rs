//! The client for engines and plain services.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming};
use redwinglatch_core::{AdapterVersion, Epoch, RetryReason, RunStatus};
use serde::de::DeserializeOwned;
use tokio::time::{Duration, Instant, timeout_at};

use crate::{
    BackendError, BackendErrorKind, BackendSettings, CancelOutcome, CompletionRequest,
    EngineEvents, EngineReport, ResumingStream, RetryCounts, ServiceRequest, ServiceResponse,
    connection::{Connection, read_body},
    pool::{ConnectionReuse, Pool, TrafficClass},
    service_call::strip_connection_headers,
    token_stream::TokenStream,
    wire::{AdapterOrder, RefusalBody},
};

/// Upper bound of every timeout, so that adding one to an `Instant` can't overflow.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// A client for engines and plain services; clones share one connection pool.
#[derive(Debug, Clone)]
pub struct BackendClient {
    pool: Arc<Pool>,
}

impl BackendClient {
    /// Creates a client with an empty connection pool.
    #[must_use]
    pub fn new(settings: BackendSettings) -> BackendClient {
        BackendClient { pool: Arc::new(Pool::new(settings)) }
    }

    /// Returns the number of retries since the previous call, by reason, and resets the counters.
    #[must_use]
    pub fn take_retries(&self) -> RetryCounts {
        self.pool.retries.take()
    }

    /// Starts a completion on an engine.
    ///
    /// When the response head does not arrive within `stall_ms`, or the connection breaks after the
    /// request was written, the returned stream tries to resume by the request id.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, the request is invalid, or the engine refuses it.
    pub async fn complete(
        &self,
        address: SocketAddr,
        request: CompletionRequest,
    ) -> Result<ResumingStream, BackendError> {
        check_request_id(&request.request_id)?;
        let deadline = deadline_after_ms(request.deadline_ms);
        let body =
            serde_json::to_vec(&request).map_err(|error| invalid_request(error.to_string()))?;
        if body.len() > self.pool.settings.body_limit_bytes {
            return Err(request_too_large(body.len()));
        }
        let http_request =
            build_request(address, Method::POST, "/v1/completions", None, body.into())?;
        let mut stream = ResumingStream::new(self.pool.clone(), address, &request, deadline, 0);
        match open_stream(&self.pool, address, ConnectionReuse::Allowed, http_request, deadline)
            .await
        {
            Ok(token_stream) => stream.attach(token_stream),
            Err(error) if error.ran == RunStatus::Unknown => match error.kind {
                BackendErrorKind::Unresponsive => stream.resume_for(RetryReason::StreamResumed),
                BackendErrorKind::ConnectionLost => stream.resume_for(RetryReason::ConnectionLost),
                _ => return Err(error),
            },
            Err(error) => return Err(error),
        }
        Ok(stream)
    }

    /// Resumes the stream of a request at token index `from`.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached or does not know the stream.
    pub async fn resume(
        &self,
        address: SocketAddr,
        request: &CompletionRequest,
        from: u64,
    ) -> Result<ResumingStream, BackendError> {
        let deadline = deadline_after_ms(request.deadline_ms);
        let token_stream =
            open_resumed_stream(&self.pool, address, &request.request_id, from, deadline).await?;
        let mut stream = ResumingStream::new(self.pool.clone(), address, request, deadline, from);
        stream.attach(token_stream);
        Ok(stream)
    }

    /// Orders an engine to cancel a request.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not respond in time, or refuses the order.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        request_id: &str,
        epoch: Epoch,
    ) -> Result<CancelOutcome, BackendError> {
        check_request_id(request_id)?;
        let path = format!("/v1/streams/{request_id}");
        let request = build_request(address, Method::DELETE, &path, Some(epoch), Bytes::new())?;
        let timeout_ms = self.pool.settings.order_timeout_ms;
        parse_json(&self.send_control_request(address, request, timeout_ms).await?)
    }

    /// Orders an engine to load an adapter and waits until it is loaded.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not respond in time, or refuses the order.
    pub async fn load(
        &self,
        address: SocketAddr,
        adapter: &AdapterVersion,
        epoch: Epoch,
        timeout_ms: u64,
    ) -> Result<(), BackendError> {
        let request = build_adapter_order(address, "/v1/adapters/load", adapter, epoch)?;
        self.send_control_request(address, request, timeout_ms).await.map(drop)
    }

    /// Orders an engine to unload an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not respond in time, or refuses the order.
    pub async fn unload(
        &self,
        address: SocketAddr,
        adapter: &AdapterVersion,
        epoch: Epoch,
    ) -> Result<(), BackendError> {
        let request = build_adapter_order(address, "/v1/adapters/unload", adapter, epoch)?;
        let timeout_ms = self.pool.settings.order_timeout_ms;
        self.send_control_request(address, request, timeout_ms).await.map(drop)
    }

    /// Fetches the load report of an engine.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not respond in time, or sends a malformed
    /// document.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport, BackendError> {
        self.get_json(address, "/v1/report").await
    }

    /// Fetches the cache events of an engine whose sequence number is above `after`.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not respond in time, or sends a malformed
    /// document.
    pub async fn events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<EngineEvents, BackendError> {
        self.get_json(address, &format!("/v1/events?after={after}")).await
    }

    /// Fetches a JSON document from any HTTP server, such as the platform's backend list.
    ///
    /// # Errors
    ///
    /// Fails when the server can't be reached, does not respond in time, or sends a malformed
    /// document.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, BackendError> {
        let request = build_request(address, Method::GET, path, None, Bytes::new())?;
        let timeout_ms = self.pool.settings.order_timeout_ms;
        parse_json(&self.send_control_request(address, request, timeout_ms).await?)
    }

    /// Calls a plain service once, without a retry.
    ///
    /// A response with any status is returned as it is, except a refusal with `x-not-run: true` or
    /// `x-leaving: true`.
    ///
    /// # Errors
    ///
    /// Fails when the service can't be reached, refuses, or does not respond in time.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        request: ServiceRequest,
    ) -> Result<ServiceResponse, BackendError> {
        let deadline = deadline_after_ms(request.timeout_ms);
        let limit_bytes = self.pool.settings.body_limit_bytes;
        if request.body.len() > limit_bytes {
            return Err(request_too_large(request.body.len()));
        }
        let mut http_request =
            build_request(address, request.method, &request.path, None, request.body)?;
        let mut headers = request.headers;
        strip_connection_headers(&mut headers);
        for (name, value) in &headers {
            http_request.headers_mut().append(name, value.clone());
        }
        let (connection, response) = self
            .pool
            .send(
                address,
                TrafficClass::Request,
                ConnectionReuse::Allowed,
                http_request,
                MAX_TIMEOUT,
                deadline,
            )
            .await?;
        let (mut parts, body) = response.into_parts();
        let body = self
            .read_body_and_release(
                address,
                TrafficClass::Request,
                connection,
                body,
                limit_bytes,
                deadline,
            )
            .await;
        let refused = !parts.status.is_success()
            && (has_flag(&parts.headers, "x-not-run") || has_flag(&parts.headers, "x-leaving"));
        if refused {
            return Err(refusal_error(parts.status, &parts.headers, &body.unwrap_or_default()));
        }
        strip_connection_headers(&mut parts.headers);
        Ok(ServiceResponse { status: parts.status, headers: parts.headers, body: body? })
    }

    /// Sends an order or a query and returns the body of the successful response.
    async fn send_control_request(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Bytes, BackendError> {
        let deadline = deadline_after_ms(timeout_ms);
        let (connection, response) = self
            .pool
            .send(
                address,
                TrafficClass::Control,
                ConnectionReuse::Allowed,
                request,
                MAX_TIMEOUT,
                deadline,
            )
            .await?;
        let (parts, body) = response.into_parts();
        let limit_bytes = self.pool.settings.body_limit_bytes;
        let body = self
            .read_body_and_release(
                address,
                TrafficClass::Control,
                connection,
                body,
                limit_bytes,
                deadline,
            )
            .await;
        if parts.status.is_success() {
            body
        } else {
            Err(refusal_error(parts.status, &parts.headers, &body.unwrap_or_default()))
        }
    }

    async fn read_body_and_release(
        &self,
        address: SocketAddr,
        class: TrafficClass,
        connection: Connection,
        body: Incoming,
        limit_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, BackendError> {
        let Ok(body) = timeout_at(deadline, read_body(body, limit_bytes)).await else {
            self.pool.drop_idle_connections(address);
            return Err(BackendError::unknown(
                BackendErrorKind::Unresponsive,
                "the response body did not end in time",
            ));
        };
        let body = body?;
        self.pool.release(address, class, connection);
        Ok(body)
    }
}

/// Reopens the stream of a request that an engine already knows, always on a new connection.
pub(crate) async fn open_resumed_stream(
    pool: &Arc<Pool>,
    address: SocketAddr,
    request_id: &str,
    from: u64,
    deadline: Instant,
) -> Result<TokenStream, BackendError> {
    check_request_id(request_id)?;
    let path = format!("/v1/streams/{request_id}?from={from}");
    let request = build_request(address, Method::GET, &path, None, Bytes::new())?;
    open_stream(pool, address, ConnectionReuse::Never, request, deadline).await
}

async fn open_stream(
    pool: &Arc<Pool>,
    address: SocketAddr,
    reuse: ConnectionReuse,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<TokenStream, BackendError> {
    let stall_timeout = Duration::from_millis(pool.settings.stall_ms).min(MAX_TIMEOUT);
    let (connection, response) =
        pool.send(address, TrafficClass::Request, reuse, request, stall_timeout, deadline).await?;
    let (parts, body) = response.into_parts();
    if parts.status != StatusCode::OK {
        let body_deadline = deadline.min(Instant::now() + stall_timeout);
        let body = timeout_at(body_deadline, read_body(body, pool.settings.body_limit_bytes)).await;
        let complete = matches!(body, Ok(Ok(_)));
        let body = body.ok().and_then(Result::ok).unwrap_or_default();
        if complete {
            pool.release(address, TrafficClass::Request, connection);
        }
        return Err(refusal_error(parts.status, &parts.headers, &body));
    }
    let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    if !header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream")) {
        let detail = "the response is not an event stream";
        return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
    }
    let Some(boot_id) = header("x-engine-boot-id") else {
        let detail = "the response has no x-engine-boot-id header";
        return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
    };
    Ok(TokenStream::new(pool.clone(), address, connection, body, boot_id.into()))
}

fn deadline_after_ms(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms).min(MAX_TIMEOUT)
}

fn invalid_request(detail: impl Into<Box<str>>) -> BackendError {
    BackendError::not_run(BackendErrorKind::InvalidRequest, detail)
}

fn request_too_large(size_bytes: usize) -> BackendError {
    let detail = format!("the request body has {size_bytes} bytes");
    BackendError::not_run(BackendErrorKind::TooLarge, detail)
}

/// Accepts only ids that need no escaping in a URL path.
fn check_request_id(request_id: &str) -> Result<(), BackendError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    if request_id.is_empty() || request_id.len() > 128 || !request_id.bytes().all(allowed) {
        return Err(invalid_request(format!(
            "request id {request_id:?} is not 1 to 128 letters, digits or -._~"
        )));
    }
    Ok(())
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    epoch: Option<Epoch>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, BackendError> {
    if !path.starts_with('/') {
        return Err(invalid_request(format!("path {path:?} does not start with a slash")));
    }
    let mut builder =
        Request::builder().method(method).uri(path).header("host", address.to_string());
    if let Some(epoch) = epoch {
        builder = builder.header("x-fencing-token", epoch.0);
    }
    builder.body(Full::new(body)).map_err(|error| invalid_request(error.to_string()))
}

fn build_adapter_order(
    address: SocketAddr,
    path: &str,
    adapter: &AdapterVersion,
    epoch: Epoch,
) -> Result<Request<Full<Bytes>>, BackendError> {
    let order = AdapterOrder { adapter: &adapter.adapter, version: adapter.version };
    let body = serde_json::to_vec(&order).map_err(|error| invalid_request(error.to_string()))?;
    build_request(address, Method::POST, path, Some(epoch), body.into())
}

fn has_flag(headers: &HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|value| value == "true")
}

/// Converts a refusal response into an error; only `x-not-run: true` proves that the request did
/// not run.
fn refusal_error(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> BackendError {
    let is_leaving = has_flag(headers, "x-leaving");
    let ran = if has_flag(headers, "x-not-run") { RunStatus::NotRun } else { RunStatus::Unknown };
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(RefusalBody { error }) => BackendError {
            kind: BackendErrorKind::from_code(&error.code),
            ran,
            is_leaving,
            detail: format!("{status}, {}: {}", error.code, error.message).into(),
        },
        Err(_) => {
            let detail = status.to_string().into();
            BackendError { kind: BackendErrorKind::Refused, ran, is_leaving, detail }
        }
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, BackendError> {
    serde_json::from_slice(body)
        .map_err(|error| BackendError::unknown(BackendErrorKind::Malformed, error.to_string()))
}
