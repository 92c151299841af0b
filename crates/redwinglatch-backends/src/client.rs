//! The client and its calls.

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
    pool::{Lane, Pool, Reuse},
    service_call::strip_connection_headers,
    token_stream::TokenStream,
    wire::{AdapterOrder, RefusalBody},
};

/// The longest time that any call may ask for; it keeps sums of times in range.
const LONGEST: Duration = Duration::from_secs(24 * 60 * 60);

/// The client of engines and plain services; clones share one pool.
#[derive(Debug, Clone)]
pub struct BackendClient {
    pool: Arc<Pool>,
}

impl BackendClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(settings: BackendSettings) -> BackendClient {
        BackendClient { pool: Arc::new(Pool::new(settings)) }
    }

    /// Returns how often something was sent again since the last call, and starts again from 0.
    #[must_use]
    pub fn take_retries(&self) -> RetryCounts {
        self.pool.retries.take()
    }

    /// Starts a request on an engine.
    ///
    /// When the answer's head does not come within `stall_ms`, or the connection breaks after the
    /// request was written, the returned stream tries to resume by the request's id.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, the request is not valid, or the engine refuses it.
    pub async fn complete(
        &self,
        address: SocketAddr,
        request: CompletionRequest,
    ) -> Result<ResumingStream, BackendError> {
        check_request_id(&request.request_id)?;
        let deadline = after_ms(request.deadline_ms);
        let body = serde_json::to_vec(&request).map_err(|error| invalid(error.to_string()))?;
        if body.len() > self.pool.settings.body_limit_bytes {
            return Err(too_large_request(body.len()));
        }
        let http_request = build(address, Method::POST, "/v1/completions", None, body.into())?;
        let mut stream = ResumingStream::new(self.pool.clone(), address, &request, deadline, 0);
        match open_stream(&self.pool, address, Reuse::Allowed, http_request, deadline).await {
            Ok(first) => stream.attach(first),
            Err(error) if error.ran == RunStatus::Unknown => match error.kind {
                BackendErrorKind::Silent => stream.resume_for(RetryReason::StreamResumed),
                BackendErrorKind::ConnectionLost => stream.resume_for(RetryReason::ConnectionLost),
                _ => return Err(error),
            },
            Err(error) => return Err(error),
        }
        Ok(stream)
    }

    /// Resumes the stream of a request at token `from`.
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
        let deadline = after_ms(request.deadline_ms);
        let first = open_resumed(&self.pool, address, &request.request_id, from, deadline).await?;
        let mut stream = ResumingStream::new(self.pool.clone(), address, request, deadline, from);
        stream.attach(first);
        Ok(stream)
    }

    /// Orders an engine to cancel a request.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not answer in time, or refuses the order.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        request_id: &str,
        epoch: Epoch,
    ) -> Result<CancelOutcome, BackendError> {
        check_request_id(request_id)?;
        let path = format!("/v1/streams/{request_id}");
        let request = build(address, Method::DELETE, &path, Some(epoch), Bytes::new())?;
        let timeout_ms = self.pool.settings.order_timeout_ms;
        parse(&self.exchange(address, request, timeout_ms).await?)
    }

    /// Orders an engine to load an adapter and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not answer in time, or refuses the order.
    pub async fn load(
        &self,
        address: SocketAddr,
        adapter: &AdapterVersion,
        epoch: Epoch,
        timeout_ms: u64,
    ) -> Result<(), BackendError> {
        let request = adapter_order(address, "/v1/adapters/load", adapter, epoch)?;
        self.exchange(address, request, timeout_ms).await.map(drop)
    }

    /// Orders an engine to unload an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not answer in time, or refuses the order.
    pub async fn unload(
        &self,
        address: SocketAddr,
        adapter: &AdapterVersion,
        epoch: Epoch,
    ) -> Result<(), BackendError> {
        let request = adapter_order(address, "/v1/adapters/unload", adapter, epoch)?;
        let timeout_ms = self.pool.settings.order_timeout_ms;
        self.exchange(address, request, timeout_ms).await.map(drop)
    }

    /// Asks an engine for its load report.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not answer in time, or answers in another form.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport, BackendError> {
        self.get_json(address, "/v1/report").await
    }

    /// Asks an engine for its cache events after number `after`.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, does not answer in time, or answers in another form.
    pub async fn events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<EngineEvents, BackendError> {
        self.get_json(address, &format!("/v1/events?after={after}")).await
    }

    /// Gets a JSON document of another peer that speaks HTTP, such as the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the peer can't be reached, does not answer in time, or answers in another form.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, BackendError> {
        let request = build(address, Method::GET, path, None, Bytes::new())?;
        let timeout_ms = self.pool.settings.order_timeout_ms;
        parse(&self.exchange(address, request, timeout_ms).await?)
    }

    /// Calls a plain service once.
    ///
    /// Any status of the service is an answer, except a refusal with `x-not-run: true` or
    /// `x-leaving: true`.
    ///
    /// # Errors
    ///
    /// Fails when the service can't be reached, refuses, or does not answer in time.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        request: ServiceRequest,
    ) -> Result<ServiceResponse, BackendError> {
        let until = after_ms(request.timeout_ms);
        let limit_bytes = self.pool.settings.body_limit_bytes;
        if request.body.len() > limit_bytes {
            return Err(too_large_request(request.body.len()));
        }
        let mut http_request = build(address, request.method, &request.path, None, request.body)?;
        let mut headers = request.headers;
        strip_connection_headers(&mut headers);
        for (name, value) in &headers {
            http_request.headers_mut().append(name, value.clone());
        }
        let (connection, response) = self
            .pool
            .send(address, Lane::Work, Reuse::Allowed, http_request, LONGEST, until)
            .await?;
        let (mut parts, body) = response.into_parts();
        let body = self.read_whole(address, Lane::Work, connection, body, limit_bytes, until).await;
        let refused = !parts.status.is_success()
            && (has_flag(&parts.headers, "x-not-run") || has_flag(&parts.headers, "x-leaving"));
        if refused {
            return Err(refusal(parts.status, &parts.headers, &body.unwrap_or_default()));
        }
        strip_connection_headers(&mut parts.headers);
        Ok(ServiceResponse { status: parts.status, headers: parts.headers, body: body? })
    }

    /// Sends an order or a question and returns the body of its successful answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Bytes, BackendError> {
        let until = after_ms(timeout_ms);
        let (connection, response) =
            self.pool.send(address, Lane::Control, Reuse::Allowed, request, LONGEST, until).await?;
        let (parts, body) = response.into_parts();
        let limit_bytes = self.pool.settings.body_limit_bytes;
        let body =
            self.read_whole(address, Lane::Control, connection, body, limit_bytes, until).await;
        if parts.status.is_success() {
            body
        } else {
            Err(refusal(parts.status, &parts.headers, &body.unwrap_or_default()))
        }
    }

    async fn read_whole(
        &self,
        address: SocketAddr,
        lane: Lane,
        connection: Connection,
        body: Incoming,
        limit_bytes: usize,
        until: Instant,
    ) -> Result<Bytes, BackendError> {
        let Ok(body) = timeout_at(until, read_body(body, limit_bytes)).await else {
            self.pool.drop_suspects(address);
            return Err(BackendError::unknown(BackendErrorKind::Silent, "the body did not end"));
        };
        let body = body?;
        self.pool.release(address, lane, connection);
        Ok(body)
    }
}

/// Opens the stream of a request that an engine already knows, always on a new connection.
pub(crate) async fn open_resumed(
    pool: &Arc<Pool>,
    address: SocketAddr,
    request_id: &str,
    from: u64,
    deadline: Instant,
) -> Result<TokenStream, BackendError> {
    check_request_id(request_id)?;
    let path = format!("/v1/streams/{request_id}?from={from}");
    let request = build(address, Method::GET, &path, None, Bytes::new())?;
    open_stream(pool, address, Reuse::Never, request, deadline).await
}

async fn open_stream(
    pool: &Arc<Pool>,
    address: SocketAddr,
    reuse: Reuse,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<TokenStream, BackendError> {
    let stall = Duration::from_millis(pool.settings.stall_ms).min(LONGEST);
    let (connection, response) =
        pool.send(address, Lane::Work, reuse, request, stall, deadline).await?;
    let (parts, body) = response.into_parts();
    if parts.status != StatusCode::OK {
        let until = deadline.min(Instant::now() + stall);
        let body = timeout_at(until, read_body(body, pool.settings.body_limit_bytes)).await;
        let complete = matches!(body, Ok(Ok(_)));
        let body = body.ok().and_then(Result::ok).unwrap_or_default();
        if complete {
            pool.release(address, Lane::Work, connection);
        }
        return Err(refusal(parts.status, &parts.headers, &body));
    }
    let header = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    if !header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream")) {
        let detail = "the answer is not an event stream";
        return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
    }
    let Some(boot_id) = header("x-engine-boot-id") else {
        let detail = "the answer names no boot id";
        return Err(BackendError::unknown(BackendErrorKind::Malformed, detail));
    };
    Ok(TokenStream::new(pool.clone(), address, connection, body, boot_id.into()))
}

fn after_ms(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms).min(LONGEST)
}

fn invalid(detail: impl Into<Box<str>>) -> BackendError {
    BackendError::not_run(BackendErrorKind::InvalidRequest, detail)
}

fn too_large_request(size_bytes: usize) -> BackendError {
    let detail = format!("the request has {size_bytes} bytes");
    BackendError::not_run(BackendErrorKind::TooLarge, detail)
}

/// Allows ids that stand in a path as they are.
fn check_request_id(request_id: &str) -> Result<(), BackendError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    if request_id.is_empty() || request_id.len() > 128 || !request_id.bytes().all(allowed) {
        return Err(invalid(format!(
            "request id {request_id:?} is not 1 to 128 letters, digits or -._~"
        )));
    }
    Ok(())
}

fn build(
    address: SocketAddr,
    method: Method,
    path: &str,
    epoch: Option<Epoch>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, BackendError> {
    if !path.starts_with('/') {
        return Err(invalid(format!("path {path:?} does not start with a slash")));
    }
    let mut builder =
        Request::builder().method(method).uri(path).header("host", address.to_string());
    if let Some(epoch) = epoch {
        builder = builder.header("x-fencing-token", epoch.0);
    }
    builder.body(Full::new(body)).map_err(|error| invalid(error.to_string()))
}

fn adapter_order(
    address: SocketAddr,
    path: &str,
    adapter: &AdapterVersion,
    epoch: Epoch,
) -> Result<Request<Full<Bytes>>, BackendError> {
    let order = AdapterOrder { adapter: &adapter.adapter, version: adapter.version };
    let body = serde_json::to_vec(&order).map_err(|error| invalid(error.to_string()))?;
    build(address, Method::POST, path, Some(epoch), body.into())
}

fn has_flag(headers: &HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|value| value == "true")
}

/// Reads a typed refusal; only `x-not-run: true` makes it one whose request did not run.
fn refusal(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> BackendError {
    let leaving = has_flag(headers, "x-leaving");
    let ran = if has_flag(headers, "x-not-run") { RunStatus::NotRun } else { RunStatus::Unknown };
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(RefusalBody { error }) => BackendError {
            kind: BackendErrorKind::from_code(&error.code),
            ran,
            leaving,
            detail: format!("{status}, {}: {}", error.code, error.message).into(),
        },
        Err(_) => {
            let detail = status.to_string().into();
            BackendError { kind: BackendErrorKind::Refused, ran, leaving, detail }
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, BackendError> {
    serde_json::from_slice(body)
        .map_err(|error| BackendError::unknown(BackendErrorKind::Malformed, error.to_string()))
}
