//! Requests of callers, parsed.

use std::net::SocketAddr;

use bytes::Bytes;
use redwinglatch_core::AdapterVersion;
use tokio::sync::oneshot;

use crate::CallerAnswer;

/// A parsed request and the way to answer it.
#[derive(Debug)]
pub struct CallerCall {
    /// The caller's address.
    pub peer: SocketAddr,
    /// What is asked.
    pub kind: CallKind,
    /// Takes the answer; dropping it answers 503 with an unknown outcome.
    pub reply: oneshot::Sender<CallerAnswer>,
}

/// What a caller asks.
#[derive(Debug)]
pub enum CallKind {
    /// The addresses of instances to use.
    Entries,
    /// A completion on an adapter.
    Completion(CompletionCall),
    /// A call of a plain service.
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
    /// `x-redwinglatch-priority`: 0 to 9, 9 first.
    pub priority: Option<u8>,
    /// `idempotency-key`.
    pub idempotency_key: Option<Box<str>>,
    /// `x-redwinglatch-once`: the request runs at most once.
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
    /// The largest number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// The SHA-256 digest of path and body, which tells whether a reused key names this request.
    pub digest: [u8; 32],
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The request's headers.
    pub headers: CallHeaders,
    /// The service's name.
    pub service: Box<str>,
    /// The HTTP method.
    pub method: Box<str>,
    /// The path and query below the service, with a leading slash.
    pub path: Box<str>,
    /// The content type, if named.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
    /// The SHA-256 digest of method, path and body.
    pub digest: [u8; 32],
}
