//! Effects: orders, reads and responses that the caller of a coordinator has to send.

use std::net::SocketAddr;

use redwinglatch_core::{AdapterVersion, EngineId, Epoch, Refusal};

use crate::{Placement, RequestKey};

/// Identifies a load order; unique within a coordinator's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadId(pub u64);

/// An order to load an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Identifies the order in [`Coordinator::load_finished`](crate::Coordinator::load_finished).
    pub load: LoadId,
    /// The fencing token.
    pub epoch: Epoch,
    /// The engine to load the adapter on.
    pub engine: EngineId,
    /// The engine's address.
    pub address: SocketAddr,
    /// The adapter to load.
    pub adapter: AdapterVersion,
    /// The adapter to unload first; no request uses it.
    pub evict: Option<AdapterVersion>,
    /// Whether the load was started without a waiting request.
    pub is_preload: bool,
}

/// Reason for the failure of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadFailure {
    /// The engine or the weight store reported a failure.
    Failed,
    /// The engine could not be reached.
    Unreachable,
    /// The engine did not respond in time; the load may still complete.
    TimedOut,
    /// The engine has no free slot.
    NoSlot,
    /// The adapter to evict is in use.
    AdapterInUse,
    /// The engine is leaving.
    Leaving,
    /// The engine has seen a newer fencing token, so another coordinator has been assigned.
    StaleToken,
    /// The adapter does not exist in the weight store.
    UnknownAdapter,
    /// The load was abandoned by order of the coordinator.
    Abandoned,
}

/// An action for the caller of the coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Effect {
    /// Send the result of a placement request to the requesting instance.
    Respond {
        /// The placed or refused request.
        request: RequestKey,
        /// The placement or the refusal.
        result: Result<Placement, Refusal>,
    },
    /// Order an engine to load an adapter, after unloading the one to evict, if any.
    Load(LoadOrder),
    /// Order an engine to unload an adapter. If the adapter is still loading, the load is
    /// abandoned, and its end is reported with `load_finished` like that of any load.
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
    /// Order an engine to cancel a request, and report the result with `cancel_finished`.
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
    /// Request a snapshot of an engine's state now.
    ReadSnapshot {
        /// The engine.
        engine: EngineId,
        /// The engine's address.
        address: SocketAddr,
    },
    /// Request the prefix cache events of an engine.
    ReadCacheEvents {
        /// The engine.
        engine: EngineId,
        /// The engine's address.
        address: SocketAddr,
        /// Read the events after this sequence number; 0 reads all.
        after: u64,
    },
    /// An engine has seen a newer epoch, so this coordinator has stopped; look up its successor in
    /// the replicated log.
    Deposed {
        /// The epoch that ended.
        epoch: Epoch,
    },
}
