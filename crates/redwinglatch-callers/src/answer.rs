//! Answers to callers.

use std::net::SocketAddr;

use bytes::Bytes;
use redwinglatch_core::{AdapterVersion, Refusal};
use serde::Serialize;
use tokio::sync::mpsc;

/// What a caller is told.
#[derive(Debug)]
pub enum CallerAnswer {
    /// The addresses of instances to use.
    Entries(EntriesDocument),
    /// A stream of tokens; the stream ends with [`CallerEvent::Done`] or [`CallerEvent::Failed`].
    Stream {
        /// Where the request runs.
        ran_on: RanOn,
        /// The stream's events.
        events: mpsc::Receiver<CallerEvent>,
    },
    /// A whole answer.
    Whole {
        /// Where the request ran; none for an answer kept under an idempotency key.
        ran_on: Option<RanOn>,
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: Box<str>,
        /// The body.
        body: Bytes,
    },
    /// A refusal.
    Refused {
        /// Why and what now.
        refusal: Refusal,
        /// Other instances to ask.
        entries: Vec<SocketAddr>,
    },
}

/// What ran a request, as the backend server itself said.
#[derive(Debug, Clone)]
pub struct RanOn {
    /// The adapter and version; none for plain services.
    pub adapter: Option<AdapterVersion>,
    /// The backend server's address.
    pub backend: SocketAddr,
}

/// One event of a streamed answer.
#[derive(Debug, Clone)]
pub enum CallerEvent {
    /// The next token.
    Token {
        /// The token's position, counted from 0.
        index: u32,
        /// The token's text.
        text: Box<str>,
    },
    /// The end of a whole answer.
    Done {
        /// Why generation ended.
        finish_reason: Box<str>,
        /// The number of tokens.
        tokens: u32,
    },
    /// The end of an answer that could not be completed.
    Failed(Refusal),
}

/// The answer to `GET /v1/entries`.
#[derive(Debug, Clone, Serialize)]
pub struct EntriesDocument {
    /// The instances to use, nearest first.
    pub entries: Vec<EntryDocument>,
    /// How long the answer may be kept, in seconds.
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
