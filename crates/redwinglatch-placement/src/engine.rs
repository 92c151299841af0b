//! An engine as the coordinator sees it.

use std::net::SocketAddr;

use redwinglatch_core::EngineId;
use smallvec::SmallVec;

use crate::{
    EngineInfo, Fencing, RequestKey, Settings,
    keys::{AdapterKey, DataCentreKey, ModelKey},
    prefixes::PrefixIndex,
};

/// What is known about a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum SlotState {
    /// Nothing is loaded.
    #[default]
    Empty,
    /// A load was ordered.
    Loading,
    /// The adapter is ready.
    Ready,
    /// The content has to be read back.
    Unknown,
}

/// A place for one adapter on an engine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Slot {
    pub(crate) state: SlotState,
    pub(crate) adapter: Option<AdapterKey>,
    /// Pins of the adapter on the engine.
    pub(crate) pins: u32,
    /// Running requests of the adapter, as far as two reports agree, beyond the known pins.
    pub(crate) unexplained: u32,
    /// The same as of the last report alone.
    pub(crate) last_unexplained: u32,
    /// When the state changed last.
    pub(crate) since_ms: u64,
    /// Whether the slot takes no new pins, so that another adapter gets it.
    pub(crate) draining: bool,
}

impl Slot {
    /// Whether the slot is known to serve no request.
    pub(crate) fn is_unused(&self) -> bool {
        self.pins == 0 && self.unexplained == 0
    }
}

/// An engine, its slots and its load.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) address: SocketAddr,
    pub(crate) model: ModelKey,
    pub(crate) data_centre: DataCentreKey,
    pub(crate) fencing: Fencing,
    pub(crate) leaving: bool,
    /// Whether the platform's list says that the engine is leaving.
    pub(crate) listed_leaving: bool,
    /// Whether refused connections alone made the engine count as leaving.
    pub(crate) leaving_by_refusals: bool,
    /// Whether the platform's list no longer has the engine; it is kept until its pins ended.
    pub(crate) removed: bool,
    pub(crate) boot_id: Option<Box<str>>,
    pub(crate) sequence: u64,
    /// When the platform listed the engine, the last time.
    pub(crate) listed_ms: u64,
    /// When the last report was asked for.
    pub(crate) asked_ms: u64,
    /// Whether the slots were read back in this epoch.
    pub(crate) read_back: bool,
    pub(crate) max_batch: u32,
    pub(crate) slots: SmallVec<[Slot; 8]>,
    pub(crate) pins: u32,
    /// Loads in flight, each of which will add at least one request.
    pub(crate) loading: u32,
    /// Requests that two reports list and that have no pin.
    pub(crate) foreign: u32,
    pub(crate) unmatched: Vec<RequestKey>,
    /// Requests in the last report whose instance is not known; they may use any adapter.
    pub(crate) strays: u32,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) failures: u8,
    pub(crate) refused_connections: u8,
    /// When a refused connection was last reported.
    pub(crate) refused_ms: u64,
    pub(crate) blocked_until_ms: u64,
    /// Adapters unloaded by our orders, which late reports may still list.
    pub(crate) evicted: SmallVec<[(AdapterKey, u64); 4]>,
}

impl Engine {
    pub(crate) fn new(
        id: EngineId,
        info: &EngineInfo,
        model: ModelKey,
        data_centre: DataCentreKey,
        settings: &Settings,
        now_ms: u64,
    ) -> Engine {
        Engine {
            id,
            address: info.address,
            model,
            data_centre,
            fencing: info.fencing,
            leaving: false,
            listed_leaving: false,
            leaving_by_refusals: false,
            removed: false,
            boot_id: None,
            sequence: 0,
            listed_ms: now_ms,
            asked_ms: 0,
            read_back: false,
            max_batch: 0,
            slots: SmallVec::new(),
            pins: 0,
            loading: 0,
            foreign: 0,
            unmatched: Vec::new(),
            strays: 0,
            prefixes: PrefixIndex::new(settings.max_prefixes_per_engine),
            failures: 0,
            refused_connections: 0,
            refused_ms: 0,
            blocked_until_ms: 0,
            evicted: SmallVec::new(),
        }
    }

    /// The requests sent to the engine that have not ended: each pin, reported or granted since
    /// the report, and the reported requests without one.
    pub(crate) fn load(&self) -> u32 {
        self.pins + self.foreign
    }

    /// Whether the engine takes new requests.
    pub(crate) fn takes_work(&self, now_ms: u64) -> bool {
        !self.leaving && !self.removed && self.read_back && self.blocked_until_ms <= now_ms
    }

    /// Places in the batch that are neither used nor promised to a load.
    pub(crate) fn free_places(&self) -> u32 {
        self.max_batch.saturating_sub(self.load() + self.loading)
    }

    /// The slot that holds `adapter` or loads it.
    pub(crate) fn slot_of(&self, adapter: AdapterKey) -> Option<usize> {
        self.slots.iter().position(|it| it.adapter == Some(adapter))
    }

    /// The slot in which `adapter` is ready.
    pub(crate) fn ready_slot(&self, adapter: AdapterKey) -> Option<&Slot> {
        self.slots.iter().find(|it| it.adapter == Some(adapter) && it.state == SlotState::Ready)
    }

    /// Whether the report is so old that the engine's state counts as unknown.
    pub(crate) fn is_stale(&self, now_ms: u64, report_stale_ms: u64) -> bool {
        now_ms > self.asked_ms + report_stale_ms
    }

    /// Adapters in use or about to be.
    pub(crate) fn distinct_adapters(&self) -> u32 {
        let used = |it: &&Slot| it.pins > 0 || it.state == SlotState::Loading;
        self.slots.iter().filter(used).count() as u32
    }

    /// The step time for each request in the batch if one more joins: it falls as the batch fills.
    pub(crate) fn step_ms_per_request(&self, settings: &Settings, new_adapter: bool) -> f32 {
        let batch = (self.load() + self.loading + 1) as f32;
        let adapters = (self.distinct_adapters() + u32::from(new_adapter)) as f32;
        let step_ms = settings.step_base_ms
            + settings.step_request_ms * batch
            + settings.step_adapter_ms * adapters;
        step_ms / batch
    }
}
