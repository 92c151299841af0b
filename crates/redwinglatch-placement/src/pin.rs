//! Pins, which keep an adapter loaded while a request uses it.

use redwinglatch_core::PinId;

use crate::{
    RequestKey,
    keys::{AdapterKey, EngineKey},
};

/// Whether, and why, a pin may end without a release by its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrphanState {
    /// The instance is expected to release the pin.
    NotOrphaned,
    /// The deadline passed long ago, or the engine restarted: the pin ends when a snapshot that was
    /// requested later doesn't list the request.
    Unconfirmed { since_ms: u64 },
    /// The instance's serving lease expired, and the request is to be cancelled.
    InstanceLost { since_ms: u64, cancelled_ms: Option<u64>, acknowledged: bool },
}

/// Keeps an adapter loaded on an engine for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pin {
    pub(crate) id: PinId,
    pub(crate) request: RequestKey,
    pub(crate) engine: EngineKey,
    pub(crate) adapter: AdapterKey,
    pub(crate) granted_ms: u64,
    pub(crate) deadline_ms: u64,
    /// The most tokens that the request may generate; 0 if unknown.
    pub(crate) max_tokens: u32,
    pub(crate) stall_ms: u64,
    pub(crate) orphan: OrphanState,
}
