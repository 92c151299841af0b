//! Builders for tests, and a coordinator of a small cell with engines.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;

use redwinglatch_core::{
    AdapterVersion, EngineId, Epoch, Incarnation, InstanceId, Refusal, RequestId,
};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, Effect, EngineInfo, EngineSnapshot, FencingMode, LoadOrder,
    PlaceRequest, Placement, PlacementSettings, RequestKey, SlotSnapshot,
};

pub(crate) fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], engine as u16))
}

pub(crate) fn adapter(number: usize) -> AdapterVersion {
    AdapterVersion::new(format!("adapter-{number}"), 1)
}

pub(crate) fn engine_info(engine: usize, fencing: FencingMode) -> EngineInfo {
    EngineInfo {
        address: address(engine),
        model: "base".into(),
        data_centre: "hall-a".into(),
        fencing,
    }
}

pub(crate) fn request_key(instance: u32, request: u64) -> RequestKey {
    RequestKey {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
        request: RequestId(request),
    }
}

pub(crate) fn request(number: u64, adapter_number: usize, budget_ms: u64) -> PlaceRequest {
    PlaceRequest {
        instance: InstanceId(1),
        incarnation: Incarnation(1),
        request: RequestId(number),
        model: "base".into(),
        adapter: adapter(adapter_number),
        customer: "customer".into(),
        load_share_permille: 100,
        budget_ms,
        priority: 5,
        max_tokens: 10,
        prefix_hashes: Default::default(),
        data_centre: "hall-a".into(),
        excluded_engines: Default::default(),
    }
}

/// Returns a snapshot of an engine with two slots, a maximum batch of four and no requests.
pub(crate) fn snapshot(now_ms: u64, slots: &[(usize, u32)]) -> EngineSnapshot {
    EngineSnapshot {
        requested_ms: now_ms,
        boot_id: "boot-1".into(),
        sequence: now_ms,
        running: 0,
        waiting: 0,
        is_leaving: false,
        slot_count: 2,
        max_batch: 4,
        slots: slots
            .iter()
            .map(|(number, running)| SlotSnapshot { adapter: adapter(*number), running: *running })
            .collect(),
        requests: Vec::new(),
    }
}

/// Effects by kind.
#[derive(Debug, Default)]
pub(crate) struct EffectsByKind {
    pub(crate) placed: Vec<(RequestKey, Placement)>,
    pub(crate) refused: Vec<(RequestKey, Refusal)>,
    pub(crate) loads: Vec<LoadOrder>,
    pub(crate) unloads: Vec<AdapterVersion>,
    pub(crate) cancels: Vec<RequestKey>,
    pub(crate) event_reads: Vec<(EngineId, u64)>,
    pub(crate) deposed: bool,
}

pub(crate) fn take_effects(coordinator: &mut Coordinator) -> EffectsByKind {
    let mut by_kind = EffectsByKind::default();
    for effect in coordinator.take_effects() {
        match effect {
            Effect::Respond { request, result: Ok(placed) } => {
                by_kind.placed.push((request, placed));
            }
            Effect::Respond { request, result: Err(it) } => by_kind.refused.push((request, it)),
            Effect::Load(order) => by_kind.loads.push(order),
            Effect::Unload { adapter, .. } => by_kind.unloads.push(adapter),
            Effect::Cancel { request, .. } => by_kind.cancels.push(request),
            Effect::ReadCacheEvents { engine, after, .. } => {
                by_kind.event_reads.push((engine, after));
            }
            Effect::Deposed { .. } => by_kind.deposed = true,
            Effect::ReadSnapshot { .. } => {}
        }
    }
    by_kind
}

pub(crate) fn takeover(live: &[u32]) -> CoordinatorTakeover {
    CoordinatorTakeover {
        epoch: Epoch(1),
        settle_ms: 0,
        lease_until_ms: u64::MAX,
        live: live.iter().map(|it| (InstanceId(*it), Incarnation(1))).collect(),
    }
}

/// Returns an assigned coordinator and the ids of its engines; each engine has the given adapters
/// loaded.
pub(crate) fn cell(
    settings: PlacementSettings,
    engines: &[&[usize]],
) -> (Coordinator, Vec<EngineId>) {
    let mut coordinator = Coordinator::new(settings, fastrand::Rng::with_seed(7));
    coordinator.take_over(0, takeover(&[]));
    let mut ids = Vec::new();
    for (at, slots) in engines.iter().enumerate() {
        let id = coordinator.engine_added(0, engine_info(at, FencingMode::Honoured));
        let slots: Vec<_> = slots.iter().map(|it| (*it, 0)).collect();
        coordinator.engine_report(0, id, snapshot(0, &slots));
        ids.push(id);
    }
    coordinator.take_effects();
    (coordinator, ids)
}

/// Returns settings without preloading, so that tests see only the loads of their requests.
pub(crate) fn settings() -> PlacementSettings {
    PlacementSettings { preload: false, ..PlacementSettings::stalls_first() }
}
