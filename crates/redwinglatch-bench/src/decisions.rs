//! Time and memory of decisions at the target size.

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

/// Requests per second over all cells at the target size.
const RATE_PER_S: u64 = 4_500;
/// Engines, adapters and cells of the target size.
const ENGINES: usize = 3_300;
const ADAPTERS: usize = 51_000;
const CELLS: usize = 100;
/// Engines of one customer's cell.
const CELL_ENGINES: usize = 18;
const CUSTOMERS: usize = 500;
const SLOTS: usize = 8;
const MAX_BATCH: u32 = 32;
const RUN_MS: u64 = 1_500;
const REPORT_MS: u64 = 500;
const LOAD_MS: u64 = 444;

/// A size at which decisions are measured.
#[derive(Debug, Clone, Copy)]
struct Size {
    cells: usize,
    engines: usize,
    adapters: usize,
    rate_per_s: u64,
}

pub(crate) fn run(options: &Options, progress: &mut dyn FnMut(&str)) -> Vec<DecisionRow> {
    let cell = |adapters| Size { cells: 1, engines: CELL_ENGINES, adapters, rate_per_s: 20 };
    let target =
        |cells| Size { cells, engines: ENGINES, adapters: ADAPTERS, rate_per_s: RATE_PER_S };
    let sizes = [cell(3_000), cell(12_000), cell(51_000), target(CELLS), target(1)];
    let measure = |size: Size| {
        progress(&format!("decisions: {} cells, {} adapters", size.cells, size.adapters));
        let decisions = if options.short { 20_000 } else { 300_000 };
        Bench::new(size, options.seed).run(decisions)
    };
    sizes.into_iter().map(measure).collect()
}

/// A cell with the state that its engines would report.
#[derive(Debug)]
struct Cell {
    coordinator: Coordinator,
    engines: Vec<EngineId>,
    slots: Vec<Vec<AdapterVersion>>,
    adapters: Vec<AdapterVersion>,
}

impl Cell {
    fn new(size: Size, index: usize, seed: u64) -> Cell {
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
        let info = |at: usize| EngineInfo {
            address: SocketAddr::from(([127, 0, 0, 1], at as u16)),
            model: "base".into(),
            data_centre: ["hall-a", "hall-b", "hall-c"][at % 3].into(),
            fencing: FencingMode::Honoured,
        };
        let engines = (0..count).map(|at| coordinator.engine_added(0, info(at))).collect();
        // The most popular adapters are loaded, spread over the engines.
        let slots = (0..count)
            .map(|at| adapters.iter().skip(at).step_by(count).take(SLOTS).cloned().collect())
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
            slot_count: SLOTS as u16,
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

/// A run at one size.
#[derive(Debug)]
struct Bench {
    size: Size,
    cells: Vec<Cell>,
    rng: fastrand::Rng,
    zipf: Zipf,
    now_us: u64,
    next_request: u64,
    pins: VecDeque<(u64, usize, PinId)>,
    loads: VecDeque<(u64, usize, LoadId)>,
    next_report_ms: u64,
    next_tick_ms: u64,
    placed: u64,
}

impl Bench {
    fn new(size: Size, seed: u64) -> Bench {
        let mut bench = Bench {
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
            placed: 0,
        };
        bench.advance();
        // One request for each adapter makes it known; nearly all of them are idle afterwards.
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
        self.placed = 0;
        let mut times_ns = Histogram::<u64>::new(3).expect("three digits are allowed");
        let mut placed_ns = times_ns.clone();
        let start = Instant::now();
        for _ in 0..decisions {
            let placed_before = self.placed;
            let took_ns = self.decide();
            if self.placed > placed_before {
                placed_ns.record(took_ns).expect("the histogram grows as needed");
            }
            times_ns.record(took_ns).expect("the histogram grows as needed");
        }
        let total_s = start.elapsed().as_secs_f64();
        let bytes: usize = self.cells.iter().map(|it| it.coordinator.adapter_bytes()).sum();
        let known: usize = self.cells.iter().map(|it| it.coordinator.known_adapters()).sum();
        DecisionRow {
            cells: self.size.cells as u64,
            engines: self.size.engines as u64,
            adapters: self.size.adapters as u64,
            decisions,
            p50_us: times_ns.value_at_quantile(0.5) as f64 / 1e3,
            placed_p50_us: placed_ns.value_at_quantile(0.5) as f64 / 1e3,
            p99_us: times_ns.value_at_quantile(0.99) as f64 / 1e3,
            decisions_per_s: decisions as f64 / total_s,
            placed_share: self.placed as f64 / decisions as f64,
            bytes_per_idle_adapter: bytes as f64 / known.max(1) as f64,
        }
    }

    /// Places one request and returns the time that it took.
    fn decide(&mut self) -> u64 {
        let cell = self.rng.usize(..self.size.cells);
        let adapter = self.zipf.draw(&mut self.rng);
        let request = self.request(cell, adapter);
        let took_ns = self.place(cell, request);
        self.advance();
        took_ns
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
        let took_ns = start.elapsed().as_nanos() as u64;
        self.apply(cell, effects, true);
        took_ns
    }

    fn apply(&mut self, cell: usize, effects: Vec<Effect>, at_once: bool) {
        let now_ms = self.now_us / 1_000;
        for effect in effects {
            match effect {
                Effect::Respond { result: Ok(placed), .. } => {
                    self.placed += u64::from(at_once);
                    self.pins.push_back((now_ms + RUN_MS, cell, placed.pin));
                }
                Effect::Load(order) => {
                    let slots = &mut self.cells[cell].slots[usize::from(order.address.port())];
                    slots.retain(|it| order.evict.as_ref() != Some(it));
                    slots.push(order.adapter);
                    self.loads.push_back((now_ms + LOAD_MS, cell, order.load));
                }
                _ => {}
            }
        }
    }

    /// Does what is due until the next request.
    fn advance(&mut self) {
        self.now_us += 1_000_000 / self.size.rate_per_s;
        let now_ms = self.now_us / 1_000;
        while let Some((at_ms, cell, pin)) = self.pins.front().copied()
            && at_ms <= now_ms
        {
            self.pins.pop_front();
            self.cells[cell].coordinator.release(now_ms, pin, Release::Finished);
            self.take(cell);
        }
        while let Some((at_ms, cell, load)) = self.loads.front().copied()
            && at_ms <= now_ms
        {
            self.loads.pop_front();
            self.cells[cell].coordinator.load_finished(now_ms, load, Ok(()));
            self.take(cell);
        }
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + REPORT_MS;
            for cell in 0..self.cells.len() {
                for engine in 0..self.cells[cell].engines.len() {
                    self.cells[cell].report(now_ms, engine);
                }
                self.take(cell);
            }
        }
        if now_ms >= self.next_tick_ms {
            self.next_tick_ms = now_ms + 50;
            for cell in 0..self.cells.len() {
                self.cells[cell].coordinator.tick(now_ms);
                self.take(cell);
            }
        }
    }

    fn take(&mut self, cell: usize) {
        let effects = self.cells[cell].coordinator.take_effects();
        self.apply(cell, effects, false);
    }
}
