//! State of an engine and its adapter slots, as known to the coordinator.

use std::net::SocketAddr;

use redwinglatch_core::EngineId;
use smallvec::SmallVec;

use crate::{
    EngineInfo, FencingMode, PlacementSettings, RequestKey,
    keys::{AdapterKey, DataCentreKey, ModelKey},
    prefix_index::PrefixIndex,
};

/// Known content of an adapter slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum SlotState {
    /// No adapter is loaded.
    #[default]
    Empty,
    /// A load was ordered.
    Loading,
    /// The adapter is loaded.
    Ready,
    /// The content is unknown until a snapshot confirms it.
    Unknown,
}

/// A slot for one adapter on an engine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AdapterSlot {
    pub(crate) state: SlotState,
    pub(crate) adapter: Option<AdapterKey>,
    /// Pins on the adapter on this engine.
    pub(crate) pins: u32,
    /// Running requests of the adapter in excess of its pins, as confirmed by two snapshots.
    pub(crate) unpinned_requests: u32,
    /// Running requests of the adapter in excess of its pins in the last snapshot.
    pub(crate) last_unpinned_requests: u32,
    /// Time of the last change of the state.
    pub(crate) since_ms: u64,
    /// Whether the slot accepts no new pins, so that another adapter can be loaded into it.
    pub(crate) is_draining: bool,
}

impl AdapterSlot {
    /// Returns whether no known request uses the slot.
    pub(crate) fn is_unused(&self) -> bool {
        self.pins == 0 && self.unpinned_requests == 0
    }
}

/// An engine with its slots, requests and failures.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) id: EngineId,
    pub(crate) address: SocketAddr,
    pub(crate) model: ModelKey,
    pub(crate) data_centre: DataCentreKey,
    pub(crate) fencing: FencingMode,
    pub(crate) is_leaving: bool,
    /// Whether the platform's backend list marks the engine as leaving.
    pub(crate) is_listed_leaving: bool,
    /// Whether the engine counts as leaving only because it refused connections.
    pub(crate) is_leaving_by_refusals: bool,
    /// Whether the platform's backend list no longer contains the engine, which is kept until its
    /// pins have ended.
    pub(crate) is_removed: bool,
    pub(crate) boot_id: Option<Box<str>>,
    pub(crate) sequence: u64,
    /// When the engine was last added to the platform's backend list.
    pub(crate) listed_ms: u64,
    /// When the last accepted snapshot was requested.
    pub(crate) requested_ms: u64,
    /// Whether a snapshot of the slots has been accepted in this epoch.
    pub(crate) is_read_back: bool,
    pub(crate) max_batch: u32,
    pub(crate) slots: SmallVec<[AdapterSlot; 8]>,
    pub(crate) pins: u32,
    /// Loads in flight, each of which will add at least one request.
    pub(crate) pending_loads: u32,
    /// Number of requests without a pin that two consecutive snapshots list.
    pub(crate) unpinned_requests: u32,
    pub(crate) unpinned_keys: Vec<RequestKey>,
    /// Number of requests of unknown instances in the last snapshot; they may use any adapter.
    pub(crate) unknown_instance_requests: u32,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) failures: u8,
    pub(crate) refused_connections: u8,
    /// When a refused connection was last reported.
    pub(crate) connect_refused_ms: u64,
    pub(crate) backoff_until_ms: u64,
    /// Adapters evicted by this coordinator, with the time of the order; delayed snapshots may
    /// still list them.
    pub(crate) recently_evicted: SmallVec<[(AdapterKey, u64); 4]>,
}

impl EngineState {
    pub(crate) fn new(
        id: EngineId,
        info: &EngineInfo,
        model: ModelKey,
        data_centre: DataCentreKey,
        settings: &PlacementSettings,
        now_ms: u64,
    ) -> EngineState {
        EngineState {
            id,
            address: info.address,
            model,
            data_centre,
            fencing: info.fencing,
            is_leaving: false,
            is_listed_leaving: false,
            is_leaving_by_refusals: false,
            is_removed: false,
            boot_id: None,
            sequence: 0,
            listed_ms: now_ms,
            requested_ms: 0,
            is_read_back: false,
            max_batch: 0,
            slots: SmallVec::new(),
            pins: 0,
            pending_loads: 0,
            unpinned_requests: 0,
            unpinned_keys: Vec::new(),
            unknown_instance_requests: 0,
            prefixes: PrefixIndex::new(settings.max_prefixes_per_engine),
            failures: 0,
            refused_connections: 0,
            connect_refused_ms: 0,
            backoff_until_ms: 0,
            recently_evicted: SmallVec::new(),
        }
    }

    /// Returns the number of unfinished requests on the engine: all pins, including those granted
    /// since the last snapshot, and the requests without a pin that snapshots list.
    pub(crate) fn request_count(&self) -> u32 {
        self.pins + self.unpinned_requests
    }

    /// Returns whether the engine may get new requests.
    pub(crate) fn accepts_requests(&self, now_ms: u64) -> bool {
        !self.is_leaving && !self.is_removed && self.is_read_back && self.backoff_until_ms <= now_ms
    }

    /// Returns the free places in the batch that are not reserved for loads in flight.
    pub(crate) fn free_batch_places(&self) -> u32 {
        self.max_batch.saturating_sub(self.request_count() + self.pending_loads)
    }

    /// Returns the index of the slot to which `adapter` is assigned, in any state.
    pub(crate) fn slot_of(&self, adapter: AdapterKey) -> Option<usize> {
        self.slots.iter().position(|it| it.adapter == Some(adapter))
    }

    /// Returns the slot in which `adapter` is loaded.
    pub(crate) fn ready_slot(&self, adapter: AdapterKey) -> Option<&AdapterSlot> {
        self.slots.iter().find(|it| it.adapter == Some(adapter) && it.state == SlotState::Ready)
    }

    /// Returns whether the last snapshot is too old to rely on.
    pub(crate) fn is_stale(&self, now_ms: u64, snapshot_stale_ms: u64) -> bool {
        now_ms > self.requested_ms + snapshot_stale_ms
    }

    /// Returns the number of adapters in use or being loaded.
    pub(crate) fn distinct_adapters(&self) -> u32 {
        let used = |it: &&AdapterSlot| it.pins > 0 || it.state == SlotState::Loading;
        self.slots.iter().filter(used).count() as u32
    }

    /// Returns the step time per request in the batch after one more request joins; it falls as the
    /// batch fills.
    pub(crate) fn step_ms_per_request(
        &self,
        settings: &PlacementSettings,
        new_adapter: bool,
    ) -> f32 {
        let batch = (self.request_count() + self.pending_loads + 1) as f32;
        let adapters = (self.distinct_adapters() + u32::from(new_adapter)) as f32;
        let step_ms = settings.step_base_ms
            + settings.step_request_ms * batch
            + settings.step_adapter_ms * adapters;
        step_ms / batch
    }
}
