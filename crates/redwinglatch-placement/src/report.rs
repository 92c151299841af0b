//! What engines say about themselves.

use std::net::SocketAddr;

use redwinglatch_core::AdapterVersion;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::RequestKey;

/// Whether an engine refuses orders with an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses orders with an old token.
    #[default]
    Honoured,
    /// The engine executes any order; the coordinator relies on its lease and on reading back.
    Ignored,
}

/// Describes an engine from the platform's list and the pool's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineInfo {
    /// The engine's address.
    pub address: SocketAddr,
    /// The base model that the engine serves.
    pub model: Box<str>,
    /// The engine's data centre.
    pub data_centre: Box<str>,
    /// Whether the engine honours fencing tokens.
    pub fencing: Fencing,
}

/// A slot in an engine's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// The adapter in the slot.
    pub adapter: AdapterVersion,
    /// Requests that run on the adapter.
    pub running: u32,
}

/// An engine's report of its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the report was asked for, on the coordinator's clock; the state is not older.
    pub asked_ms: u64,
    /// Identifies one life of the engine's process.
    pub boot_id: Box<str>,
    /// Numbers the reports of one boot.
    pub sequence: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// How many adapters the engine can hold.
    pub slot_count: u16,
    /// How many requests fit into the batch.
    pub max_batch: u32,
    /// The occupied slots.
    pub slots: SmallVec<[SlotReport; 8]>,
    /// The requests that run or wait; ids that aren't ours are left out.
    pub requests: Vec<RequestKey>,
}

/// What happened to a prefix in an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix is cached.
    PrefixStored,
    /// The prefix is no longer cached.
    PrefixEvicted,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Numbers the events of one boot without gaps.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The hash of the prefix.
    pub prefix_hash: u64,
}

/// An engine's answer to a read of its cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The sequence number after which events were asked for; 0 asks for all that are kept.
    pub after: u64,
    /// Identifies one life of the engine's process.
    pub boot_id: Box<str>,
    /// The sequence number to ask after next time.
    pub next: u64,
    /// The events, in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}
