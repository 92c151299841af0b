//! What a transport reports to be counted.

use std::sync::Arc;

use redwinglatch_core::RefusalReason;

/// An event on a connection between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransportEvent {
    /// A connection was refused.
    Refused(RefusalReason),
    /// So many bytes were written, handshakes, pings and frame headers included.
    Sent(usize),
    /// So many bytes were read.
    Received(usize),
}

/// Called for each event; it must not block.
pub(crate) type OnEvent = Arc<dyn Fn(TransportEvent) + Send + Sync>;
