//! Drives the coordinator in a run.

use std::{collections::HashMap, net::SocketAddr};

use redwinglatch_core::{
    AdapterVersion, EngineId, Epoch, Incarnation, InstanceId, PinId, RequestId,
};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, Effect, EngineInfo, EngineSnapshot, FencingMode, LoadFailure,
    LoadId, PlaceRequest, PlacementSettings, Release, RequestKey, SlotSnapshot,
};

use super::{
    figures::Outcome,
    world::{Event, World},
};
use crate::{Fault, Options};

/// The version of all adapters in a run.
const VERSION: u32 = 1;
const INSTANCE: InstanceId = InstanceId(1);
const INCARNATION: Incarnation = Incarnation(1);

/// The coordinator with what its caller keeps for it.
#[derive(Debug)]
pub(super) struct Coordinated {
    coordinator: Coordinator,
    ids: Vec<EngineId>,
    pins: HashMap<usize, PinId>,
    /// Load orders by the store's number.
    loads: HashMap<u64, (LoadId, EngineId, AdapterVersion)>,
    reports: HashMap<u64, (usize, EngineSnapshot)>,
    next_report: u64,
    sequence: u64,
    wake_us: u64,
    /// A fault that is still to be committed.
    fault: Option<Fault>,
}

impl Coordinated {
    pub(super) fn new(
        settings: PlacementSettings,
        engines: usize,
        options: &Options,
    ) -> Coordinated {
        let mut coordinator = Coordinator::new(settings, fastrand::Rng::with_seed(options.seed));
        let ids = (0..engines)
            .map(|at| {
                coordinator.engine_added(
                    0,
                    EngineInfo {
                        address: address(at),
                        model: "base".into(),
                        data_centre: hall(at as u8 % 3),
                        fencing: FencingMode::Honoured,
                    },
                )
            })
            .collect();
        coordinator.take_over(
            0,
            CoordinatorTakeover {
                epoch: Epoch(1),
                settle_ms: 0,
                lease_until_ms: u64::MAX,
                live: vec![(INSTANCE, INCARNATION)],
            },
        );
        coordinator.pins_reported(0, INSTANCE, INCARNATION, Vec::new());
        Coordinated {
            coordinator,
            ids,
            pins: HashMap::new(),
            loads: HashMap::new(),
            reports: HashMap::new(),
            next_report: 0,
            sequence: 0,
            wake_us: 0,
            fault: options.fault,
        }
    }

    pub(super) fn place(&mut self, world: &mut World, request: usize) {
        self.ask(world, request);
        self.apply(world);
    }

    fn ask(&mut self, world: &World, request: usize) {
        let arrival = world.requests[request].arrival;
        let left_us = world.deadline_us(request).saturating_sub(world.now_us);
        self.coordinator.place(
            world.now_ms(),
            PlaceRequest {
                instance: INSTANCE,
                incarnation: INCARNATION,
                request: RequestId(request as u64),
                model: "base".into(),
                adapter: adapter_name(arrival.adapter),
                customer: format!("customer-{}", arrival.customer).into(),
                load_share_permille: 250,
                budget_ms: left_us / 1_000,
                priority: 5,
                max_tokens: world.site.max_tokens,
                prefix_hashes: Default::default(),
                data_centre: hall(arrival.hall),
                excluded_engines: Default::default(),
            },
        );
    }

    pub(super) fn finished(&mut self, world: &mut World, request: usize) {
        self.release(world, request, Release::Finished);
    }

    pub(super) fn failed(&mut self, world: &mut World, request: usize) {
        self.release(world, request, Release::EngineFailed);
    }

    fn release(&mut self, world: &mut World, request: usize, release: Release) {
        if let Some(pin) = self.pins.remove(&request) {
            self.coordinator.release(world.now_ms(), pin, release);
        }
        self.apply(world);
    }

    pub(super) fn loaded(&mut self, world: &mut World, number: u64, succeeded: bool) {
        if let Some((load, ..)) = self.loads.remove(&number) {
            let result = if succeeded { Ok(()) } else { Err(LoadFailure::Failed) };
            self.coordinator.load_finished(world.now_ms(), load, result);
        }
        self.apply(world);
    }

    pub(super) fn wake(&mut self, world: &mut World) {
        self.coordinator.tick(world.now_ms());
        self.apply(world);
    }

    /// Takes a report from the engine, which arrives later or not at all.
    pub(super) fn poll(&mut self, world: &mut World, engine: usize) {
        let (lag_ms, lost_share) = world.workload.report_lag();
        self.sequence += 1;
        if world.rng.f64() < lost_share {
            return;
        }
        let it = &world.engines[engine];
        let report = EngineSnapshot {
            requested_ms: world.now_ms(),
            boot_id: it.boot.to_string().into(),
            sequence: self.sequence,
            running: it.batch.len() as u32,
            waiting: it.queue.len() as u32,
            is_leaving: false,
            slot_count: it.slot_count as u16,
            max_batch: it.max_batch as u32,
            slots: it
                .slots
                .iter()
                .filter(|slot| slot.ready)
                .map(|slot| SlotSnapshot {
                    adapter: adapter_name(slot.adapter),
                    running: it.running(slot.adapter) as u32,
                })
                .collect(),
            requests: it
                .batch
                .iter()
                .chain(&it.queue)
                .map(|running| RequestKey {
                    instance: INSTANCE,
                    incarnation: INCARNATION,
                    request: RequestId(running.request as u64),
                })
                .collect(),
        };
        self.next_report += 1;
        self.reports.insert(self.next_report, (engine, report));
        world.at(world.now_us + lag_ms * 1_000, Event::Report(self.next_report));
    }

    pub(super) fn report(&mut self, world: &mut World, number: u64) {
        if let Some((engine, report)) = self.reports.remove(&number) {
            self.coordinator.engine_report(world.now_ms(), self.ids[engine], report);
        }
        self.apply(world);
    }

    /// Sends a request, and commits the fault if it is one of sending.
    fn send(&mut self, world: &mut World, engine: usize, request: usize) {
        match self.fault {
            Some(Fault::WrongEngine) => {
                let adapter = world.requests[request].arrival.adapter;
                let other =
                    (0..world.engines.len()).find(|it| !world.engines[*it].is_ready(adapter));
                self.fault = None;
                world.send(other.unwrap_or(engine), request);
            }
            Some(Fault::RefuseAfterSending) => {
                self.fault = None;
                world.send(engine, request);
                world.requests[request].outcome = Outcome::Refused;
            }
            _ => world.send(engine, request),
        }
    }

    /// The adapter to evict, or the wrong one if that is the fault.
    fn choose_evicted(
        &mut self,
        world: &mut World,
        engine: usize,
        evict: Option<u32>,
    ) -> Option<u32> {
        let it = &world.engines[engine];
        match self.fault {
            Some(Fault::EvictInUse) if evict.is_some() && it.load() > 0 => {
                self.fault = None;
                it.batch.first().or(it.queue.front()).map(|running| running.adapter)
            }
            Some(Fault::TooManyLoads) => {
                self.fault = None;
                for _ in 0..world.site.parallel_loads {
                    world.load(engine, u32::MAX, None);
                }
                evict
            }
            _ => evict,
        }
    }

    /// Executes the effects.
    fn apply(&mut self, world: &mut World) {
        loop {
            let effects = self.coordinator.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.apply_one(world, effect);
            }
        }
        if let Some(wake_ms) = self.coordinator.next_wake_ms() {
            let wake_us = (wake_ms * 1_000).max(world.now_us + 1_000);
            if wake_us < self.wake_us || self.wake_us <= world.now_us {
                self.wake_us = wake_us;
                world.at(wake_us, Event::Wake);
            }
        }
    }

    fn apply_one(&mut self, world: &mut World, effect: Effect) {
        match effect {
            Effect::Respond { request, result: Ok(placed) } => {
                let request = request.request.0 as usize;
                let engine = usize::from(placed.engine.port());
                if world.engines[engine].is_ready(world.requests[request].arrival.adapter) {
                    self.pins.insert(request, placed.pin);
                    self.send(world, engine, request);
                    return;
                }
                // An engine that restarted refuses, and the entry instance asks again.
                world.figures.engine_refusals += 1;
                self.coordinator.release(world.now_ms(), placed.pin, Release::AdapterMissing);
                self.ask(world, request);
            }
            Effect::Respond { request, result: Err(refusal) } => {
                world.refuse(request.request.0 as usize, refusal.reason.code());
            }
            Effect::Load(order) => {
                let engine = usize::from(order.address.port());
                let evict = order.evict.as_ref().map(adapter_number);
                let evict = self.choose_evicted(world, engine, evict);
                let number = world.load(engine, adapter_number(&order.adapter), evict);
                self.loads.insert(number, (order.load, order.engine, order.adapter));
            }
            Effect::Unload { engine, adapter, .. } => {
                let found = self.loads.iter().find(|(_, it)| it.1 == engine && it.2 == adapter);
                if let Some((number, (load, ..))) = found.map(|(number, it)| (*number, it.clone()))
                {
                    self.loads.remove(&number);
                    world.abandon(number);
                    let abandoned = Err(LoadFailure::Abandoned);
                    self.coordinator.load_finished(world.now_ms(), load, abandoned);
                }
            }
            Effect::ReadSnapshot { address, .. } => self.poll(world, usize::from(address.port())),
            Effect::Cancel { .. } | Effect::ReadCacheEvents { .. } | Effect::Deposed { .. } => {}
        }
    }
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], engine as u16))
}

fn hall(at: u8) -> Box<str> {
    ["hall-a", "hall-b", "hall-c"][usize::from(at) % 3].into()
}

fn adapter_name(adapter: u32) -> AdapterVersion {
    AdapterVersion::new(format!("adapter-{adapter}"), VERSION)
}

fn adapter_number(name: &AdapterVersion) -> u32 {
    let number = name.adapter.strip_prefix("adapter-").and_then(|it| it.parse().ok());
    // An unknown name is an adapter that no engine has, which the checkers report.
    number.unwrap_or(u32::MAX)
}
