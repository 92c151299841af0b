//! Requests and responses of the engine protocol.

use serde::{Deserialize, Serialize};

/// A completion request to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CompletionRequest {
    /// The id by which the engine identifies the request and its stream; unique across all
    /// instances.
    pub request_id: Box<str>,
    /// The base model.
    pub model: Box<str>,
    /// The adapter.
    pub adapter: Box<str>,
    /// The adapter's version.
    pub version: u32,
    /// The prompt.
    pub prompt: Box<str>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The priority from 0 to 9; 9 is the highest.
    pub priority: u8,
    /// The time budget, counted from the call; the client's stream fails when it has passed.
    pub deadline_ms: u64,
    stream: bool,
}

impl CompletionRequest {
    /// Creates a request for at most 256 tokens, with priority 0 and a time budget of 30 s.
    #[must_use]
    pub fn new(
        request_id: impl Into<Box<str>>,
        model: impl Into<Box<str>>,
        adapter: impl Into<Box<str>>,
        version: u32,
        prompt: impl Into<Box<str>>,
    ) -> CompletionRequest {
        CompletionRequest {
            request_id: request_id.into(),
            model: model.into(),
            adapter: adapter.into(),
            version,
            prompt: prompt.into(),
            max_tokens: 256,
            priority: 0,
            deadline_ms: 30_000,
            stream: true,
        }
    }

    /// Sets the maximum number of tokens to generate.
    #[must_use]
    pub fn max_tokens(mut self, max_tokens: u32) -> CompletionRequest {
        self.max_tokens = max_tokens;
        self
    }

    /// Sets the priority.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> CompletionRequest {
        self.priority = priority;
        self
    }

    /// Sets the time budget.
    #[must_use]
    pub fn deadline_ms(mut self, deadline_ms: u64) -> CompletionRequest {
        self.deadline_ms = deadline_ms;
        self
    }
}

/// The response to a cancel order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct CancelOutcome {
    /// Whether the engine confirms that the request will generate no further token.
    pub cancelled: bool,
    /// The number of tokens generated before the cancellation.
    pub tokens: u64,
}

/// An occupied adapter slot in a load report.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SlotReport {
    /// The adapter.
    pub adapter: Box<str>,
    /// The adapter's version.
    pub version: u32,
    /// Number of requests that use the adapter.
    pub running: u32,
}

/// An engine's load report.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineReport {
    /// Identifies one incarnation of the engine's process.
    pub boot_id: Box<str>,
    /// Sequence number that grows with each change of the engine's state.
    pub sequence: u64,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests in the queue.
    pub waiting: u32,
    /// Whether the engine is leaving its pool.
    pub leaving: bool,
    /// The number of adapter slots.
    pub slot_count: u32,
    /// The maximum batch size: requests that one step advances together.
    pub max_batch: u32,
    /// Number of steps since the engine's start.
    pub steps: u64,
    /// Number of tokens generated in these steps.
    pub batched_tokens: u64,
    /// The loaded adapters.
    pub slots: Vec<SlotReport>,
    /// The ids of running and waiting requests.
    pub requests: Vec<Box<str>>,
}

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    PrefixStored,
    /// The prefix was evicted.
    PrefixEvicted,
}

/// A change of the prefixes in an engine's KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// The event's sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// The kind of the event.
    pub kind: CacheEventKind,
    /// The hash of the prefix, as [`prefix_hashes`](crate::prefix_hashes) computes it.
    pub prefix_hash: u64,
}

/// A page of cache events.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineEvents {
    /// Identifies one incarnation of the engine's process.
    pub boot_id: Box<str>,
    /// The sequence number to pass as `after` in the next call.
    pub next: u64,
    /// The events in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RefusalBody {
    pub(crate) error: RefusalDetail,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RefusalDetail {
    pub(crate) code: Box<str>,
    #[serde(default)]
    pub(crate) message: Box<str>,
}

#[derive(Debug, Serialize)]
pub(crate) struct AdapterOrder<'a> {
    pub(crate) adapter: &'a str,
    pub(crate) version: u32,
}
