//! Limits and timeouts of the client.

/// The limits and timeouts of a [`BackendClient`](crate::BackendClient).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Time limit for opening a connection, and for waiting for a permit to open one.
    pub connect_timeout_ms: u64,
    /// The idle time after which a pooled connection is probed before use.
    pub probe_after_ms: u64,
    /// Time limit for a probe.
    pub probe_timeout_ms: u64,
    /// The idle time after which a pooled connection is dropped without a probe.
    pub idle_limit_ms: u64,
    /// The time without a received byte after which a stream counts as stalled and is resumed.
    ///
    /// Engines send a keep-alive comment each 250 ms, so 1 s is four missed comments.
    pub stall_ms: u64,
    /// Time limit for an order, a report or a page of events.
    pub order_timeout_ms: u64,
    /// Maximum number of connections per address for completions and service calls.
    pub connections_per_address: usize,
    /// Maximum number of connections per address for orders, reports and events. The limit is
    /// separate so that streams that use all their connections cannot block a cancel order.
    pub control_connections_per_address: usize,
    /// Maximum number of idle connections kept per address, for each of the two limits above.
    pub idle_per_address: usize,
    /// Attempts to resume without a new token after which a stream is abandoned.
    pub max_resume_attempts: u32,
    /// The first delay between attempts to resume; it doubles up to `max_resume_delay_ms`.
    pub resume_delay_ms: u64,
    /// The longest delay between attempts to resume.
    pub max_resume_delay_ms: u64,
    /// Maximum size of a server-sent event.
    pub event_limit_bytes: usize,
    /// Maximum size of a request body, and of a response body that is not a stream.
    pub body_limit_bytes: usize,
}

impl Default for BackendSettings {
    fn default() -> BackendSettings {
        BackendSettings {
            connect_timeout_ms: 1_000,
            probe_after_ms: 2_000,
            probe_timeout_ms: 500,
            idle_limit_ms: 60_000,
            stall_ms: 1_000,
            order_timeout_ms: 1_000,
            connections_per_address: 256,
            control_connections_per_address: 8,
            idle_per_address: 32,
            max_resume_attempts: 8,
            resume_delay_ms: 50,
            max_resume_delay_ms: 1_000,
            event_limit_bytes: 64 << 10,
            body_limit_bytes: 1 << 20,
        }
    }
}
