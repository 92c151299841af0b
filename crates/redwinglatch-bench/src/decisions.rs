//! Benchmark of the time and memory of placement decisions, up to the target size.

use std::{collections::VecDeque, net::SocketAddr};

use hdrhistogram::Histogram;
use redwinglatch_core::{
    AdapterVersion, EngineId, Epoch, Incarnation, InstanceId, PinId, RequestId,
};
use redwinglatch_placement::{
    Coordinator, CoordinatorTakeover, Effect, EngineInfo, EngineSnapshot, FencingMode, LoadId,
    PlaceRequest, PlacementSettings, Release, SlotSnapshot,
};
use tokio::time::Instant;

use crate::{DecisionRow, Options, placement::Zipf};

/// Requests per second in all cells at the target size.
const TARGET_RATE_PER_S: u64 = 4_500;
/// Numbers of engines, adapters and cells at the target size.
const TARGET_ENGINES: usize = 3_300;
const TARGET_ADAPTERS: usize = 51_000;
const TARGET_CELLS: usize = 100;
/// Number of engines in one customer's cell.
pub(crate) const CELL_ENGINES: usize = 18;
const CUSTOMERS: usize = 500;
const SLOTS_PER_ENGINE: usize = 8;
const MAX_BATCH: u32 = 32;
const REQUEST_DURATION_MS: u64 = 1_500;
const REPORT_INTERVAL_MS: u64 = 500;
const LOAD_DURATION_MS: u64 = 444;

/// Size and request rate at which decisions are measured.
#[derive(Debug, Clone, Copy)]
struct BenchSize {
    cells: usize,
    engines: usize,
    adapters: usize,
    rate_per_s: u64,
}

pub(crate) fn run(options: &Options, progress: &mut dyn FnMut(&str)) -> Vec<DecisionRow> {
    let cell = |adapters| BenchSize { cells: 1, engines: CELL_ENGINES, adapters, rate_per_s: 20 };
    let target = |cells| BenchSize {
        cells,
        engines: TARGET_ENGINES,
        adapters: TARGET_ADAPTERS,
        rate_per_s: TARGET_RATE_PER_S,
    };
    let sizes = [cell(3_000), cell(12_000), cell(51_000), target(TARGET_CELLS), target(1)];
    let measure = |size: BenchSize| {
        progress(&format!("decisions: {} cells, {} adapters", size.cells, size.adapters));
        let decisions = if options.is_short { 20_000 } else { 300_000 };
        DecisionBench::new(size, options.seed).run(decisions)
    };
    sizes.into_iter().map(measure).collect()
}

/// A coordinator and the slot contents that its engines report.
#[derive(Debug)]
struct Cell {
    coordinator: Coordinator,
    engines: Vec<EngineId>,
    slots: Vec<Vec<AdapterVersion>>,
    adapters: Vec<AdapterVersion>,
}

impl Cell {
    fn new(size: BenchSize, index: usize, seed: u64) -> Cell {
        let rng = fastrand::Rng::with_seed(seed + index as u64);
        let mut coordinator = Coordinator::new(PlacementSettings::batches_first(), rng);
        let adapters: Vec<AdapterVersion> = (0..size.adapters / size.cells)
            .map(|it| AdapterVersion::new(format!("customer-{index}-adapter-{it}"), 1))
            .collect();
        let count = size.engines / size.cells;
        coordinator.take_over(
            0,
            CoordinatorTakeover {
                epoch: Epoch(1),
                settle_ms: 0,
                lease_until_ms: u64::MAX,
                live: Vec::new(),
            },
        );
        let info = |engine: usize| EngineInfo {
            address: SocketAddr::from(([127, 0, 0, 1], engine as u16)),
            model: "base".into(),
            data_centre: ["hall-a", "hall-b", "hall-c"][engine % 3].into(),
            fencing: FencingMode::Honoured,
        };
        let engines = (0..count).map(|engine| coordinator.engine_added(0, info(engine))).collect();
        // The most popular adapters are loaded at the start, distributed over the engines.
        let slots = (0..count)
            .map(|engine| {
                adapters
                    .iter()
                    .skip(engine)
                    .step_by(count)
                    .take(SLOTS_PER_ENGINE)
                    .cloned()
                    .collect()
            })
            .collect();
        Cell { coordinator, engines, slots, adapters }
    }

    fn report(&mut self, now_ms: u64, engine: usize) {
        let slots = &self.slots[engine];
        let report = EngineSnapshot {
            requested_ms: now_ms,
            boot_id: "1".into(),
            sequence: now_ms,
            running: 0,
            waiting: 0,
            is_leaving: false,
            slot_count: SLOTS_PER_ENGINE as u16,
            max_batch: MAX_BATCH,
            slots: slots
                .iter()
                .map(|it| SlotSnapshot { adapter: it.clone(), running: 0 })
                .collect(),
            requests: Vec::new(),
        };
        self.coordinator.engine_report(now_ms, self.engines[engine], report);
    }
}

/// A benchmark run at one size.
#[derive(Debug)]
struct DecisionBench {
    size: BenchSize,
    cells: Vec<Cell>,
    rng: fastrand::Rng,
    zipf: Zipf,
    now_us: u64,
    next_request: u64,
    pins: VecDeque<(u64, usize, PinId)>,
    loads: VecDeque<(u64, usize, LoadId)>,
    next_report_ms: u64,
    next_tick_ms: u64,
    placed_count: u64,
}

impl DecisionBench {
    fn new(size: BenchSize, seed: u64) -> DecisionBench {
        let mut bench = DecisionBench {
            size,
            cells: (0..size.cells).map(|index| Cell::new(size, index, seed)).collect(),
            rng: fastrand::Rng::with_seed(seed),
            zipf: Zipf::new(size.adapters / size.cells, 1.1),
            now_us: 1_000,
            next_request: 0,
            pins: VecDeque::new(),
            loads: VecDeque::new(),
            next_report_ms: 0,
            next_tick_ms: 0,
            placed_count: 0,
        };
        bench.advance();
        // One request per adapter makes the coordinator create its state; nearly all adapters are
        // idle afterwards.
        for cell in 0..size.cells {
            for adapter in (0..size.adapters / size.cells).rev() {
                let request = bench.request(cell, adapter);
                bench.place(cell, request);
                bench.advance();
            }
        }
        bench
    }

    fn run(mut self, decisions: u64) -> DecisionRow {
        for _ in 0..decisions / 4 {
            self.decide();
        }
        self.placed_count = 0;
        let mut times_ns = Histogram::<u64>::new(3).expect("three digits are allowed");
        let mut placed_ns = times_ns.clone();
        let start = Instant::now();
        for _ in 0..decisions {
            let placed_before = self.placed_count;
            let duration_ns = self.decide();
            if self.placed_count > placed_before {
                placed_ns.record(duration_ns).expect("the histogram grows as needed");
            }
            times_ns.record(duration_ns).expect("the histogram grows as needed");
        }
        let total_s = start.elapsed().as_secs_f64();
        let bytes: usize = self.cells.iter().map(|it| it.coordinator.adapter_bytes()).sum();
        let known_adapters: usize =
            self.cells.iter().map(|it| it.coordinator.known_adapters()).sum();
        DecisionRow {
            cells: self.size.cells as u64,
            engines: self.size.engines as u64,
            adapters: self.size.adapters as u64,
            decisions,
            p50_us: times_ns.value_at_quantile(0.5) as f64 / 1e3,
            placed_p50_us: placed_ns.value_at_quantile(0.5) as f64 / 1e3,
            p99_us: times_ns.value_at_quantile(0.99) as f64 / 1e3,
            decisions_per_s: decisions as f64 / total_s,
            placed_share: self.placed_count as f64 / decisions as f64,
            bytes_per_idle_adapter: bytes as f64 / known_adapters.max(1) as f64,
        }
    }

    /// Places one request and returns the duration in nanoseconds.
    fn decide(&mut self) -> u64 {
        let cell = self.rng.usize(..self.size.cells);
        let adapter = self.zipf.draw(&mut self.rng);
        let request = self.request(cell, adapter);
        let duration_ns = self.place(cell, request);
        self.advance();
        duration_ns
    }

    fn request(&mut self, cell: usize, adapter: usize) -> PlaceRequest {
        self.next_request += 1;
        PlaceRequest {
            instance: InstanceId(1),
            incarnation: Incarnation(1),
            request: RequestId(self.next_request),
            model: "base".into(),
            adapter: self.cells[cell].adapters[adapter].clone(),
            customer: format!("customer-{}", adapter % CUSTOMERS).into(),
            load_share_permille: (1_000 / CUSTOMERS) as u16,
            budget_ms: 10_000,
            priority: 5,
            max_tokens: 100,
            prefix_hashes: Default::default(),
            data_centre: ["hall-a", "hall-b", "hall-c"][adapter % 3].into(),
            excluded_engines: Default::default(),
        }
    }

    fn place(&mut self, cell: usize, request: PlaceRequest) -> u64 {
        let now_ms = self.now_us / 1_000;
        let coordinator = &mut self.cells[cell].coordinator;
        let start = Instant::now();
        coordinator.place(now_ms, request);
        let effects = coordinator.take_effects();
        let duration_ns = start.elapsed().as_nanos() as u64;
        self.apply(cell, effects, true);
        duration_ns
    }

    fn apply(&mut self, cell: usize, effects: Vec<Effect>, is_immediate: bool) {
        let now_ms = self.now_us / 1_000;
        for effect in effects {
            match effect {
                Effect::Respond { result: Ok(placed), .. } => {
                    self.placed_count += u64::from(is_immediate);
                    self.pins.push_back((now_ms + REQUEST_DURATION_MS, cell, placed.pin));
                }
                Effect::Load(order) => {
                    let slots = &mut self.cells[cell].slots[usize::from(order.address.port())];
                    slots.retain(|it| order.evict.as_ref() != Some(it));
                    slots.push(order.adapter);
                    self.loads.push_back((now_ms + LOAD_DURATION_MS, cell, order.load));
                }
                _ => {}
            }
        }
    }

    /// Advances virtual time to the next request and processes the events that are due.
    fn advance(&mut self) {
        self.now_us += 1_000_000 / self.size.rate_per_s;
        let now_ms = self.now_us / 1_000;
        while let Some((at_ms, cell, pin)) = self.pins.front().copied()
            && at_ms <= now_ms
        {
            self.pins.pop_front();
            self.cells[cell].coordinator.release(now_ms, pin, Release::Finished);
            self.apply_pending_effects(cell);
        }
        while let Some((at_ms, cell, load)) = self.loads.front().copied()
            && at_ms <= now_ms
        {
            self.loads.pop_front();
            self.cells[cell].coordinator.load_finished(now_ms, load, Ok(()));
            self.apply_pending_effects(cell);
        }
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
            for cell in 0..self.cells.len() {
                for engine in 0..self.cells[cell].engines.len() {
                    self.cells[cell].report(now_ms, engine);
                }
                self.apply_pending_effects(cell);
            }
        }
        if now_ms >= self.next_tick_ms {
            self.next_tick_ms = now_ms + 50;
            for cell in 0..self.cells.len() {
                self.cells[cell].coordinator.tick(now_ms);
                self.apply_pending_effects(cell);
            }
        }
    }

    fn apply_pending_effects(&mut self, cell: usize) {
        let effects = self.cells[cell].coordinator.take_effects();
        self.apply(cell, effects, false);
    }
}
