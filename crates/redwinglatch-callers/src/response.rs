//! Responses to callers.

use std::net::SocketAddr;

use bytes::Bytes;
use redwinglatch_core::{AdapterVersion, Refusal};
use serde::Serialize;
use tokio::sync::mpsc;

/// The response to a [`CallerCall`](crate::CallerCall).
#[derive(Debug)]
pub enum CallerResponse {
    /// The addresses of the instances that take requests.
    Entries(EntriesDocument),
    /// A stream of tokens, which ends with [`CallerEvent::Done`] or [`CallerEvent::Failed`].
    Stream {
        /// The backend server that runs the request.
        served_by: ServedBy,
        /// The stream's events.
        events: mpsc::Receiver<CallerEvent>,
    },
    /// A complete response.
    Complete {
        /// The backend server that ran the request; `None` for a response that was stored under an
        /// idempotency key.
        served_by: Option<ServedBy>,
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: Box<str>,
        /// The body.
        body: Bytes,
    },
    /// A refusal.
    Refused {
        /// The reason, the run status and the time after which to retry.
        refusal: Refusal,
        /// Other instances that may take the request.
        entries: Vec<SocketAddr>,
    },
}

/// The adapter and backend server that ran a request, as the backend server reported them.
#[derive(Debug, Clone)]
pub struct ServedBy {
    /// The adapter and version; `None` for plain services.
    pub adapter: Option<AdapterVersion>,
    /// The backend server's address.
    pub backend: SocketAddr,
}

/// One event of a streamed response.
#[derive(Debug, Clone)]
pub enum CallerEvent {
    /// The next token.
    Token {
        /// The token's position, counted from 0.
        index: u32,
        /// The token's text.
        text: Box<str>,
    },
    /// The end of a complete stream.
    Done {
        /// The reason why generation ended.
        finish_reason: Box<str>,
        /// The number of tokens.
        tokens: u32,
    },
    /// The end of a stream that could not be completed.
    Failed(Refusal),
}

/// The response to `GET /v1/entries`.
#[derive(Debug, Clone, Serialize)]
pub struct EntriesDocument {
    /// The instances to use, nearest first.
    pub entries: Vec<EntryDocument>,
    /// The time in seconds for which the caller may cache the response.
    pub keep_for_s: u32,
}

/// One instance that takes requests.
#[derive(Debug, Clone, Serialize)]
pub struct EntryDocument {
    /// The instance's address for callers.
    pub address: SocketAddr,
    /// The instance's data centre.
    pub data_centre: Box<str>,
    /// The share of requests that the instance should get, relative to the other entries.
    pub weight: u32,
}
