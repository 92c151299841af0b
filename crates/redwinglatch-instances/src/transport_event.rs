//! Events that a transport reports for its metrics.

use std::sync::Arc;

use redwinglatch_core::RefusalReason;

/// An event of the traffic between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransportEvent {
    /// A connection or datagram was refused.
    Refused(RefusalReason),
    /// Number of bytes written, including handshakes, pings and frame headers.
    Sent(usize),
    /// Number of bytes read.
    Received(usize),
}

/// Callback for each event; it must not block.
pub(crate) type OnEvent = Arc<dyn Fn(TransportEvent) + Send + Sync>;
