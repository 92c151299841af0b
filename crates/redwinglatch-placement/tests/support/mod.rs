//! A small cell for tests: builders, and a coordinator with engines that do as they are told.
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

pub(crate) fn info(engine: usize, fencing: FencingMode) -> EngineInfo {
    EngineInfo {
        address: address(engine),
        model: "base".into(),
        data_centre: "hall-a".into(),
        fencing,
    }
}

pub(crate) fn key(instance: u32, request: u64) -> RequestKey {
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

/// A report of an engine with two slots, a batch of four and nothing else to say.
pub(crate) fn report(now_ms: u64, slots: &[(usize, u32)]) -> EngineSnapshot {
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

/// Effects, sorted by kind.
#[derive(Debug, Default)]
pub(crate) struct Done {
    pub(crate) placed: Vec<(RequestKey, Placement)>,
    pub(crate) refused: Vec<(RequestKey, Refusal)>,
    pub(crate) loads: Vec<LoadOrder>,
    pub(crate) unloads: Vec<AdapterVersion>,
    pub(crate) cancels: Vec<RequestKey>,
    pub(crate) event_reads: Vec<(EngineId, u64)>,
    pub(crate) deposed: bool,
}

pub(crate) fn done(coordinator: &mut Coordinator) -> Done {
    let mut done = Done::default();
    for effect in coordinator.take_effects() {
        match effect {
            Effect::Respond { request, result: Ok(placed) } => done.placed.push((request, placed)),
            Effect::Respond { request, result: Err(it) } => done.refused.push((request, it)),
            Effect::Load(order) => done.loads.push(order),
            Effect::Unload { adapter, .. } => done.unloads.push(adapter),
            Effect::Cancel { request, .. } => done.cancels.push(request),
            Effect::ReadCacheEvents { engine, after, .. } => done.event_reads.push((engine, after)),
            Effect::Deposed { .. } => done.deposed = true,
            Effect::ReadSnapshot { .. } => {}
        }
    }
    done
}

pub(crate) fn start(live: &[u32]) -> CoordinatorTakeover {
    CoordinatorTakeover {
        epoch: Epoch(1),
        settle_ms: 0,
        lease_until_ms: u64::MAX,
        live: live.iter().map(|it| (InstanceId(*it), Incarnation(1))).collect(),
    }
}

/// A coordinator in charge of engines that hold the given adapters.
pub(crate) fn cell(
    settings: PlacementSettings,
    engines: &[&[usize]],
) -> (Coordinator, Vec<EngineId>) {
    let mut coordinator = Coordinator::new(settings, fastrand::Rng::with_seed(7));
    coordinator.take_over(0, start(&[]));
    let mut ids = Vec::new();
    for (at, slots) in engines.iter().enumerate() {
        let id = coordinator.engine_added(0, info(at, FencingMode::Honoured));
        let slots: Vec<_> = slots.iter().map(|it| (*it, 0)).collect();
        coordinator.engine_report(0, id, report(0, &slots));
        ids.push(id);
    }
    coordinator.take_effects();
    (coordinator, ids)
}

/// Settings without preloading, so that tests see only the loads they ask for.
pub(crate) fn settings() -> PlacementSettings {
    PlacementSettings { preload: false, ..PlacementSettings::stalls_first() }
}
