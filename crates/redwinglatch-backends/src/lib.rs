//! HTTP client for model engines and plain services.
//!
//! [`BackendClient`] speaks the engine protocol of `docs/design.md` section 6.1 over a bounded pool
//! of HTTP/1.1 connections. Each [`BackendError`] states whether the request ran: `not_run` only
//! when the connection was refused, the request was certainly not written, or the server's typed
//! refusal says so. [`ResumingStream`] delivers each token once and in order, and resumes on a new
//! connection when the current one becomes unresponsive or breaks.
//!
//! ```
//! use redwinglatch_backends::{BackendClient, BackendSettings, CompletionRequest};
//! use redwinglatch_fakes::{EngineSettings, FakeEngine, expected_text};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let engine = FakeEngine::start(EngineSettings::new("base"))?;
//! engine.preload("scope", 3);
//!
//! let client = BackendClient::new(BackendSettings::default());
//! let request = CompletionRequest::new("r-1", "base", "scope", 3, "Draft the scope.")
//!     .max_tokens(5)
//!     .deadline_ms(10_000);
//! let mut stream = client.complete(engine.address(), request).await?;
//! let mut completion = String::new();
//! while let Some(token) = stream.next().await? {
//!     completion.push_str(&token.text);
//! }
//! assert_eq!(completion, expected_text("Draft the scope.", "scope", 3, 5));
//! assert_eq!(stream.end().map(|end| end.tokens), Some(5));
//! # Ok(())
//! # }
//! ```

mod client;
mod connection;
mod error;
mod event_parser;
mod pool;
mod prefix;
mod resuming_stream;
mod retry_counts;
mod service_call;
mod settings;
mod stream_event;
mod token_stream;
mod wire;

pub use client::BackendClient;
pub use error::{BackendError, BackendErrorKind};
pub use event_parser::{EventParser, EventParserError, ParsedEvent};
pub use prefix::prefix_hashes;
pub use resuming_stream::ResumingStream;
pub use retry_counts::RetryCounts;
pub use service_call::{ServiceRequest, ServiceResponse};
pub use settings::BackendSettings;
pub use stream_event::{StreamEnd, Token};
pub use wire::{
    CacheEvent, CacheEventKind, CancelOutcome, CompletionRequest, EngineEvents, EngineReport,
    SlotReport,
};
