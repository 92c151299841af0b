//! Engine descriptions, and the snapshots and cache events that engines report.

use std::net::SocketAddr;

use redwinglatch_core::AdapterVersion;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::RequestKey;

/// Whether an engine rejects orders with an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingMode {
    /// The engine rejects orders with an old token.
    #[default]
    Honoured,
    /// The engine executes any order; the coordinator relies on its lease and on reading the slots
    /// back.
    Ignored,
}

/// An engine as described by the platform's backend list and the pool's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineInfo {
    /// The engine's address.
    pub address: SocketAddr,
    /// The base model that the engine serves.
    pub model: Box<str>,
    /// The engine's data centre.
    pub data_centre: Box<str>,
    /// Whether the engine honours fencing tokens.
    pub fencing: FencingMode,
}

/// An occupied adapter slot in an [`EngineSnapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotSnapshot {
    /// The adapter in the slot.
    pub adapter: AdapterVersion,
    /// Running requests that use the adapter.
    pub running: u32,
}

/// The state of an engine at the time of a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// When the snapshot was requested, on the coordinator's clock; the state is no older.
    pub requested_ms: u64,
    /// Identifies one incarnation of the engine's process.
    pub boot_id: Box<str>,
    /// Increases with each snapshot of one boot.
    pub sequence: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait to join the batch.
    pub waiting: u32,
    /// Whether the engine is leaving.
    pub is_leaving: bool,
    /// The most adapters that the engine can have loaded.
    pub slot_count: u16,
    /// The most requests in a batch.
    pub max_batch: u32,
    /// The occupied slots.
    pub slots: SmallVec<[SlotSnapshot; 8]>,
    /// The running and waiting requests; ids that are not request keys are omitted.
    pub requests: Vec<RequestKey>,
}

/// Type of a [`PrefixCacheEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PrefixCacheEventKind {
    /// The prefix is cached.
    PrefixStored,
    /// The prefix is no longer cached.
    PrefixEvicted,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixCacheEvent {
    /// Sequence number, without gaps within one boot.
    pub sequence: u64,
    /// The type of the change.
    pub kind: PrefixCacheEventKind,
    /// The hash of the prefix.
    pub prefix_hash: u64,
}

/// The response of an engine to a read of its prefix cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixCacheEvents {
    /// The sequence number after which events were requested; 0 requests all retained events.
    pub after: u64,
    /// Identifies one incarnation of the engine's process.
    pub boot_id: Box<str>,
    /// The sequence number to pass as `after` in the next read.
    pub next: u64,
    /// The events, in order of their sequence numbers.
    pub events: Vec<PrefixCacheEvent>,
}
