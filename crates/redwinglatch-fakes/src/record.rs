//! What a fake engine remembers for checkers.

use tokio::time::Instant;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// All tokens were generated.
    Finished,
    /// A cancel order ended the run.
    Cancelled,
    /// The engine restarted cold.
    Restarted,
    /// The adapter was unloaded under the run.
    Evicted,
}

/// One run of one request, from its acceptance into the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The request's id.
    pub request_id: Box<str>,
    /// The adapter that the run used.
    pub adapter: Box<str>,
    /// The adapter's version.
    pub version: u32,
    /// The boot id of the engine's life in which the run took place.
    pub boot_id: Box<str>,
    /// When the request was accepted.
    pub start: Instant,
    /// When the run ended; `None` while it is active.
    pub end: Option<Instant>,
    /// How the run ended; `None` while it is active.
    pub ended: Option<RunEnd>,
    /// How many tokens were generated so far.
    pub tokens_generated: u32,
    /// The highest token index written to a connection, plus one.
    pub tokens_delivered: u32,
    /// How many times the stream was resumed.
    pub resumes: u32,
}

impl RunRecord {
    /// Whether any token was generated; a request cancelled in the queue did not run.
    #[must_use]
    pub fn ran(&self) -> bool {
        self.tokens_generated > 0
    }
}

/// One unload of an adapter, or an attempt at one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Eviction {
    /// The adapter.
    pub adapter: Box<str>,
    /// The adapter's version.
    pub version: u32,
    /// When the order arrived.
    pub at: Instant,
    /// The fencing token of the order.
    pub token: Option<u64>,
    /// The requests that were waiting or running on the adapter.
    pub in_flight: Vec<Box<str>>,
    /// Whether the engine refused the order because the adapter was in use.
    pub refused: bool,
}

/// The kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load an adapter.
    Load,
    /// Unload an adapter.
    Unload,
    /// Cancel a stream.
    Cancel,
}

/// One order that reached the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// The kind.
    pub kind: OrderKind,
    /// The adapter and version, or the request id.
    pub subject: Box<str>,
    /// When the order arrived.
    pub at: Instant,
    /// The fencing token of the order.
    pub token: Option<u64>,
    /// Whether the token was missing or older than one seen before.
    pub stale: bool,
    /// Whether the order was refused for its token.
    pub refused: bool,
}
