//! What a coordinator wants done.

use std::net::SocketAddr;

use redwinglatch_core::{AdapterVersion, EngineId, Epoch, Refusal};

use crate::{Placed, RequestKey};

/// Identifies a load order; unique within a coordinator's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadId(pub u64);

/// An order to load an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Names the order in [`Coordinator::load_finished`](crate::Coordinator::load_finished).
    pub load: LoadId,
    /// The fencing token.
    pub epoch: Epoch,
    /// The engine that loads.
    pub engine: EngineId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The adapter to load.
    pub adapter: AdapterVersion,
    /// The adapter to unload first; no request uses it.
    pub evict: Option<AdapterVersion>,
    /// Whether no request waits for the load.
    pub preload: bool,
}

/// Why a load failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadFailure {
    /// The engine or the weight store reported a failure.
    Failed,
    /// The engine could not be reached.
    Unreachable,
    /// The engine did not answer in time; the load may still happen.
    TimedOut,
    /// The engine has no free slot.
    NoSlot,
    /// The adapter to evict is in use.
    AdapterInUse,
    /// The engine is leaving.
    Leaving,
    /// The engine has seen a newer fencing token: another coordinator was assigned.
    StaleToken,
    /// The adapter does not exist in the weight store.
    UnknownAdapter,
    /// The load was abandoned on the coordinator's order.
    Abandoned,
}

/// Something for the caller of the coordinator to do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Effect {
    /// Send the answer to the instance that asked.
    Answer {
        /// The placed or refused request.
        request: RequestKey,
        /// The engine or the refusal.
        answer: Result<Placed, Refusal>,
    },
    /// Order an engine to load an adapter, after unloading another one if the order names it.
    Load(LoadOrder),
    /// Order an engine to unload an adapter. If the adapter is still being loaded, the load is
    /// abandoned, and its end is reported with `load_finished` as for any load.
    Unload {
        /// The fencing token.
        epoch: Epoch,
        /// The engine.
        engine: EngineId,
        /// The engine's address.
        address: SocketAddr,
        /// The adapter.
        adapter: AdapterVersion,
    },
    /// Order an engine to cancel a request, and report the end with `cancel_finished`.
    Cancel {
        /// The fencing token.
        epoch: Epoch,
        /// The engine.
        engine: EngineId,
        /// The engine's address.
        address: SocketAddr,
        /// The request.
        request: RequestKey,
    },
    /// Ask an engine for its report now.
    ReadReport {
        /// The engine.
        engine: EngineId,
        /// The engine's address.
        address: SocketAddr,
    },
    /// Ask an engine for its cache events.
    ReadCacheEvents {
        /// The engine.
        engine: EngineId,
        /// The engine's address.
        address: SocketAddr,
        /// The sequence number after which to read; 0 reads all.
        after: u64,
    },
    /// An engine knows a newer epoch, so this coordinator stopped: find the new one in the log.
    Deposed {
        /// The epoch that ended.
        epoch: Epoch,
    },
}
