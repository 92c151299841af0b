//! A pin on an adapter.

use redwinglatch_core::PinId;

use crate::{
    RequestKey,
    keys::{AdapterKey, EngineKey},
};

/// Why a pin may end without a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Orphan {
    /// The instance is expected to release the pin.
    No,
    /// The deadline passed long ago, or the engine restarted: the pin ends unless a report that is
    /// asked for later lists the request.
    Unconfirmed { since_ms: u64 },
    /// The instance was lost, and the request is to be cancelled.
    InstanceLost { since_ms: u64, cancelled_ms: Option<u64>, acknowledged: bool },
}

/// Keeps an adapter on an engine for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pin {
    pub(crate) id: PinId,
    pub(crate) request: RequestKey,
    pub(crate) engine: EngineKey,
    pub(crate) adapter: AdapterKey,
    pub(crate) granted_ms: u64,
    pub(crate) deadline_ms: u64,
    /// The tokens that the request may generate; 0 if not known.
    pub(crate) max_tokens: u32,
    pub(crate) stall_ms: u64,
    pub(crate) orphan: Orphan,
}
