//! Parsed requests of callers.

use std::net::SocketAddr;

use bytes::Bytes;
use redwinglatch_core::AdapterVersion;
use tokio::sync::oneshot;

use crate::CallerResponse;

/// A parsed request and the channel for its response.
#[derive(Debug)]
pub struct CallerCall {
    /// The caller's address.
    pub peer: SocketAddr,
    /// The kind and content of the request.
    pub kind: CallKind,
    /// Takes the response. If it is dropped, the caller receives 502 `backend_failed` with an
    /// unknown run status.
    pub reply: oneshot::Sender<CallerResponse>,
}

/// The kind and content of a request.
#[derive(Debug)]
pub enum CallKind {
    /// A query for the addresses of the instances that take requests.
    Entries,
    /// A completion by an adapter.
    Completion(CompletionCall),
    /// A call to a plain service.
    Service(ServiceCall),
}

/// The headers that every request may carry.
#[derive(Debug, Clone, Default)]
pub struct CallHeaders {
    /// `x-redwinglatch-customer`.
    pub customer: Box<str>,
    /// The secret of `authorization: Bearer`.
    pub bearer: Option<Box<str>>,
    /// `x-redwinglatch-deadline-ms`: the time budget, counted from arrival.
    pub deadline_ms: Option<u32>,
    /// `x-redwinglatch-priority`: 0 to 9; 9 is the highest.
    pub priority: Option<u8>,
    /// `idempotency-key`.
    pub idempotency_key: Option<Box<str>>,
    /// `x-redwinglatch-once`: whether the request must run at most once.
    pub at_most_once: bool,
}

/// A completion request.
#[derive(Debug, Clone)]
pub struct CompletionCall {
    /// The request's headers.
    pub headers: CallHeaders,
    /// The base model.
    pub model: Box<str>,
    /// The adapter and version.
    pub adapter: AdapterVersion,
    /// The prompt.
    pub prompt: Box<str>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
    /// The SHA-256 digest of path and body, which detects an idempotency key reused for another
    /// request.
    pub digest: [u8; 32],
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The request's headers.
    pub headers: CallHeaders,
    /// The service's name.
    pub service: Box<str>,
    /// The HTTP method.
    pub method: Box<str>,
    /// The path and query after the service name, with a leading slash.
    pub path: Box<str>,
    /// The content type, if the request has one.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
    /// The SHA-256 digest of method, service, path and body, which detects an idempotency key
    /// reused for another request.
    pub digest: [u8; 32],
}
