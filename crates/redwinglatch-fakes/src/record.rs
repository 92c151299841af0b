//! Records of a fake engine's runs, orders and evictions, for checks after a test.

use tokio::time::Instant;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// All tokens were generated.
    Finished,
    /// A cancel order ended the run.
    Cancelled,
    /// A cold restart of the engine ended the run.
    Restarted,
    /// The adapter was unloaded during the run.
    Evicted,
}

/// One run of a request, starting when it is queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The request's id.
    pub request_id: Box<str>,
    /// The adapter that the run used.
    pub adapter: Box<str>,
    /// The adapter's version.
    pub version: u32,
    /// The engine's boot id during the run.
    pub boot_id: Box<str>,
    /// When the request was queued.
    pub start: Instant,
    /// When the run ended; `None` while it is active.
    pub end: Option<Instant>,
    /// How the run ended; `None` while it is active.
    pub end_reason: Option<RunEnd>,
    /// The number of tokens generated so far.
    pub tokens_generated: u32,
    /// The highest token index written to a connection, plus one.
    pub tokens_delivered: u32,
    /// The number of times the stream was resumed.
    pub resumes: u32,
}

impl RunRecord {
    /// Whether any token was generated; a request that is cancelled in the queue did not run.
    #[must_use]
    pub fn ran(&self) -> bool {
        self.tokens_generated > 0
    }
}

/// An unload of an adapter, executed or rejected.
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
    /// The queued and running requests that used the adapter.
    pub in_flight: Vec<Box<str>>,
    /// Whether the engine rejected the order because the adapter was in use.
    pub is_refused: bool,
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
    /// The kind of order.
    pub kind: OrderKind,
    /// `adapter@version`, or the request id for a cancel order.
    pub subject: Box<str>,
    /// When the order arrived.
    pub at: Instant,
    /// The fencing token of the order.
    pub token: Option<u64>,
    /// Whether the token was missing or older than one received before.
    pub is_stale: bool,
    /// Whether the order was rejected because of its token.
    pub is_refused: bool,
}
