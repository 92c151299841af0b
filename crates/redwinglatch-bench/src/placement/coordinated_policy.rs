//! The coordinated policy: runs the coordinator of redwinglatch-placement in a simulation.

use std::{collections::HashMap, net::SocketAddr};

use redwinglatch_core::{
    AdapterVersion, EngineId, Epoch, Incarnation, InstanceId, PinId, RequestId,
};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, Effect, EngineInfo, EngineSnapshot, FencingMode, LoadFailure,
    LoadId, PlaceRequest, PlacementSettings, Release, RequestKey, SlotSnapshot,
};

use super::{
    run_metrics::RequestOutcome,
    simulation::{Event, Simulation},
};
use crate::{InjectedFault, Options};

/// The version of all adapters in a run.
const VERSION: u32 = 1;
const INSTANCE: InstanceId = InstanceId(1);
const INCARNATION: Incarnation = Incarnation(1);

/// A coordinator with the state that its caller has to keep.
#[derive(Debug)]
pub(super) struct CoordinatedPolicy {
    coordinator: Coordinator,
    engine_ids: Vec<EngineId>,
    pins: HashMap<usize, PinId>,
    /// Load orders by the simulation's load number.
    loads: HashMap<u64, (LoadId, EngineId, AdapterVersion)>,
    reports: HashMap<u64, (usize, EngineSnapshot)>,
    next_report: u64,
    sequence: u64,
    next_tick_us: u64,
    /// A fault that is still to be injected.
    fault: Option<InjectedFault>,
}

impl CoordinatedPolicy {
    pub(super) fn new(
        settings: PlacementSettings,
        engines: usize,
        options: &Options,
    ) -> CoordinatedPolicy {
        let mut coordinator = Coordinator::new(settings, fastrand::Rng::with_seed(options.seed));
        let engine_ids = (0..engines)
            .map(|at| {
                coordinator.engine_added(
                    0,
                    EngineInfo {
                        address: engine_address(at),
                        model: "base".into(),
                        data_centre: data_centre(at as u8 % 3),
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
        CoordinatedPolicy {
            coordinator,
            engine_ids,
            pins: HashMap::new(),
            loads: HashMap::new(),
            reports: HashMap::new(),
            next_report: 0,
            sequence: 0,
            next_tick_us: 0,
            fault: options.fault,
        }
    }

    pub(super) fn place(&mut self, simulation: &mut Simulation, request: usize) {
        self.request_placement(simulation, request);
        self.execute_effects(simulation);
    }

    fn request_placement(&mut self, simulation: &Simulation, request: usize) {
        let arrival = simulation.requests[request].arrival;
        let remaining_us = simulation.deadline_us(request).saturating_sub(simulation.now_us);
        self.coordinator.place(
            simulation.now_ms(),
            PlaceRequest {
                instance: INSTANCE,
                incarnation: INCARNATION,
                request: RequestId(request as u64),
                model: "base".into(),
                adapter: adapter_name(arrival.adapter),
                customer: format!("customer-{}", arrival.customer).into(),
                load_share_permille: 250,
                budget_ms: remaining_us / 1_000,
                priority: 5,
                max_tokens: simulation.cell.max_tokens,
                prefix_hashes: Default::default(),
                data_centre: data_centre(arrival.data_centre),
                excluded_engines: Default::default(),
            },
        );
    }

    pub(super) fn request_finished(&mut self, simulation: &mut Simulation, request: usize) {
        self.release(simulation, request, Release::Finished);
    }

    pub(super) fn request_failed(&mut self, simulation: &mut Simulation, request: usize) {
        self.release(simulation, request, Release::EngineFailed);
    }

    fn release(&mut self, simulation: &mut Simulation, request: usize, release: Release) {
        if let Some(pin) = self.pins.remove(&request) {
            self.coordinator.release(simulation.now_ms(), pin, release);
        }
        self.execute_effects(simulation);
    }

    pub(super) fn load_finished(
        &mut self,
        simulation: &mut Simulation,
        store_load: u64,
        succeeded: bool,
    ) {
        if let Some((load, ..)) = self.loads.remove(&store_load) {
            let result = if succeeded { Ok(()) } else { Err(LoadFailure::Failed) };
            self.coordinator.load_finished(simulation.now_ms(), load, result);
        }
        self.execute_effects(simulation);
    }

    pub(super) fn tick(&mut self, simulation: &mut Simulation) {
        self.coordinator.tick(simulation.now_ms());
        self.execute_effects(simulation);
    }

    /// Captures the engine's report and schedules its arrival, unless it gets lost.
    pub(super) fn schedule_report(&mut self, simulation: &mut Simulation, engine: usize) {
        let (lag_ms, lost_share) = simulation.workload.report_delivery();
        self.sequence += 1;
        if simulation.rng.f64() < lost_share {
            return;
        }
        let it = &simulation.engines[engine];
        let report = EngineSnapshot {
            requested_ms: simulation.now_ms(),
            boot_id: it.boot_number.to_string().into(),
            sequence: self.sequence,
            running: it.batch.len() as u32,
            waiting: it.queue.len() as u32,
            is_leaving: false,
            slot_count: it.slot_count as u16,
            max_batch: it.max_batch as u32,
            slots: it
                .slots
                .iter()
                .filter(|slot| slot.is_ready)
                .map(|slot| SlotSnapshot {
                    adapter: adapter_name(slot.adapter),
                    running: it.requests_on(slot.adapter) as u32,
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
        simulation
            .schedule(simulation.now_us + lag_ms * 1_000, Event::ReportArrival(self.next_report));
    }

    pub(super) fn deliver_report(&mut self, simulation: &mut Simulation, report_number: u64) {
        if let Some((engine, report)) = self.reports.remove(&report_number) {
            self.coordinator.engine_report(simulation.now_ms(), self.engine_ids[engine], report);
        }
        self.execute_effects(simulation);
    }

    /// Sends a request, and injects the fault if it concerns sending.
    fn send(&mut self, simulation: &mut Simulation, engine: usize, request: usize) {
        match self.fault {
            Some(InjectedFault::WrongEngine) => {
                let adapter = simulation.requests[request].arrival.adapter;
                let other = (0..simulation.engines.len())
                    .find(|it| !simulation.engines[*it].is_ready(adapter));
                self.fault = None;
                simulation.send(other.unwrap_or(engine), request);
            }
            Some(InjectedFault::RefuseAfterSending) => {
                self.fault = None;
                simulation.send(engine, request);
                simulation.requests[request].outcome = RequestOutcome::Refused;
            }
            _ => simulation.send(engine, request),
        }
    }

    /// Returns the adapter to evict, or injects the fault if it concerns loads or evictions.
    fn adapter_to_evict(
        &mut self,
        simulation: &mut Simulation,
        engine: usize,
        evict: Option<u32>,
    ) -> Option<u32> {
        let it = &simulation.engines[engine];
        match self.fault {
            Some(InjectedFault::EvictInUse) if evict.is_some() && it.request_count() > 0 => {
                self.fault = None;
                it.batch.first().or(it.queue.front()).map(|running| running.adapter)
            }
            Some(InjectedFault::TooManyLoads) => {
                self.fault = None;
                for _ in 0..simulation.cell.parallel_loads {
                    simulation.start_load(engine, u32::MAX, None);
                }
                evict
            }
            _ => evict,
        }
    }

    /// Executes all pending effects and schedules the next tick.
    fn execute_effects(&mut self, simulation: &mut Simulation) {
        loop {
            let effects = self.coordinator.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.execute_effect(simulation, effect);
            }
        }
        if let Some(tick_ms) = self.coordinator.next_wake_ms() {
            let next_tick_us = (tick_ms * 1_000).max(simulation.now_us + 1_000);
            if next_tick_us < self.next_tick_us || self.next_tick_us <= simulation.now_us {
                self.next_tick_us = next_tick_us;
                simulation.schedule(next_tick_us, Event::Tick);
            }
        }
    }

    fn execute_effect(&mut self, simulation: &mut Simulation, effect: Effect) {
        match effect {
            Effect::Respond { request, result: Ok(placed) } => {
                let request = request.request.0 as usize;
                let engine = usize::from(placed.engine.port());
                if simulation.engines[engine].is_ready(simulation.requests[request].arrival.adapter)
                {
                    self.pins.insert(request, placed.pin);
                    self.send(simulation, engine, request);
                    return;
                }
                // A restarted engine rejects the request, and the entry instance requests a new
                // placement.
                simulation.metrics.engine_refusals += 1;
                self.coordinator.release(simulation.now_ms(), placed.pin, Release::AdapterMissing);
                self.request_placement(simulation, request);
            }
            Effect::Respond { request, result: Err(refusal) } => {
                simulation.refuse(request.request.0 as usize, refusal.reason.code());
            }
            Effect::Load(order) => {
                let engine = usize::from(order.address.port());
                let evict = order.evict.as_ref().map(adapter_number);
                let evict = self.adapter_to_evict(simulation, engine, evict);
                let store_load =
                    simulation.start_load(engine, adapter_number(&order.adapter), evict);
                self.loads.insert(store_load, (order.load, order.engine, order.adapter));
            }
            Effect::Unload { engine, adapter, .. } => {
                let found = self.loads.iter().find(|(_, it)| it.1 == engine && it.2 == adapter);
                if let Some((store_load, (load, ..))) =
                    found.map(|(store_load, it)| (*store_load, it.clone()))
                {
                    self.loads.remove(&store_load);
                    simulation.abandon_load(store_load);
                    let abandoned = Err(LoadFailure::Abandoned);
                    self.coordinator.load_finished(simulation.now_ms(), load, abandoned);
                }
            }
            Effect::ReadSnapshot { address, .. } => {
                self.schedule_report(simulation, usize::from(address.port()));
            }
            Effect::Cancel { .. } | Effect::ReadCacheEvents { .. } | Effect::Deposed { .. } => {}
        }
    }
}

fn engine_address(engine: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], engine as u16))
}

fn data_centre(at: u8) -> Box<str> {
    ["hall-a", "hall-b", "hall-c"][usize::from(at) % 3].into()
}

fn adapter_name(adapter: u32) -> AdapterVersion {
    AdapterVersion::new(format!("adapter-{adapter}"), VERSION)
}

fn adapter_number(name: &AdapterVersion) -> u32 {
    let number = name.adapter.strip_prefix("adapter-").and_then(|it| it.parse().ok());
    // An unknown name is mapped to an adapter that is loaded nowhere, which the checks report.
    number.unwrap_or(u32::MAX)
}
