//! Limits and timeouts of the client.

/// The limits and timeouts of a [`BackendClient`](crate::BackendClient).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// How long connecting may take.
    pub connect_timeout_ms: u64,
    /// The idle time after which a pooled connection is probed before use.
    pub probe_after_ms: u64,
    /// How long a probe may take.
    pub probe_timeout_ms: u64,
    /// The idle time after which a pooled connection is dropped without a probe.
    pub idle_limit_ms: u64,
    /// The time without a byte after which a stream's connection counts as silent.
    ///
    /// Engines send a keep-alive comment each 250 ms, so 1 s is four missed comments.
    pub stall_ms: u64,
    /// How long an order, a report or a page of events may take.
    pub order_timeout_ms: u64,
    /// Connections per address that carry completions and service calls.
    pub connections_per_address: usize,
    /// Connections per address that carry orders, reports and events, so that streams that fill
    /// their own limit cannot keep a cancel order out.
    pub control_connections_per_address: usize,
    /// Idle connections kept per address.
    pub idle_per_address: usize,
    /// Resumes without a new token after which a stream is given up.
    pub resume_attempts: u32,
    /// The first pause between failed resumes; it doubles up to `resume_pause_limit_ms`.
    pub resume_pause_ms: u64,
    /// The longest pause between failed resumes.
    pub resume_pause_limit_ms: u64,
    /// The largest server-sent event.
    pub event_limit_bytes: usize,
    /// The largest body of an answer that is not a stream, and of a service request.
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
            resume_attempts: 8,
            resume_pause_ms: 50,
            resume_pause_limit_ms: 1_000,
            event_limit_bytes: 64 << 10,
            body_limit_bytes: 1 << 20,
        }
    }
}
