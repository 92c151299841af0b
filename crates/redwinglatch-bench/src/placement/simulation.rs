//! Discrete-event simulation of one run on virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use super::{
    baseline_policy::{BaselinePolicy, MAX_LOAD_FAILURES},
    coordinated_policy::CoordinatedPolicy,
    run_metrics::{RequestOutcome, RunMetrics},
    simulated_engine::{EngineRequest, SimulatedEngine, Slot},
    workload::{Arrival, CellProfile, MeasuredPeriod, Workload},
};
use crate::PlacementRow;

/// Interval at which reports are read from each engine.
const POLL_US: u64 = 500_000;
/// Time after the end of the arrivals in which requests can still complete. In overload, hash
/// affinity queues requests for minutes on one engine.
const DRAIN_US: u64 = 300_000_000;

/// A scheduled event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival(usize),
    StepEnd { engine: usize, boot_number: u64 },
    LoadEnd(u64),
    Poll(usize),
    ReportArrival(u64),
    Tick,
    Deadline(usize),
    Restart,
}

/// The state of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct SimulatedRequest {
    pub(super) arrival: Arrival,
    pub(super) outcome: RequestOutcome,
    pub(super) is_measured: bool,
    /// Start of the current wait for an engine.
    waiting_since_us: u64,
    has_first_token: bool,
    /// Whether an engine started a step with the request.
    has_run: bool,
}

/// A load in progress at the weight store.
#[derive(Debug, Clone, Copy)]
struct Load {
    engine: usize,
    boot_number: u64,
    adapter: u32,
    will_fail: bool,
}

/// The policy under test.
#[derive(Debug)]
pub(super) enum Policy {
    Coordinated(Box<CoordinatedPolicy>),
    Baseline(BaselinePolicy),
}

/// The state of one simulated run.
#[derive(Debug)]
pub(super) struct Simulation {
    pub(super) cell: CellProfile,
    pub(super) workload: Workload,
    pub(super) now_us: u64,
    pub(super) engines: Vec<SimulatedEngine>,
    pub(super) requests: Vec<SimulatedRequest>,
    pub(super) rng: fastrand::Rng,
    pub(super) metrics: RunMetrics,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_sequence: u64,
    period: MeasuredPeriod,
    loads: HashMap<u64, Load>,
    next_load: u64,
    /// Number of loads started so far, by adapter.
    load_attempts: HashMap<u32, u64>,
}

impl Simulation {
    pub(super) fn new(
        cell: &CellProfile,
        workload: Workload,
        period: MeasuredPeriod,
        arrivals: &[Arrival],
        seed: u64,
    ) -> Simulation {
        let measured = period.from_ms * 1_000..period.until_ms * 1_000;
        let request = |arrival: &Arrival| SimulatedRequest {
            arrival: *arrival,
            outcome: RequestOutcome::Waiting,
            is_measured: measured.contains(&arrival.at_us),
            waiting_since_us: arrival.at_us,
            has_first_token: false,
            has_run: false,
        };
        Simulation {
            cell: cell.clone(),
            workload,
            now_us: 0,
            engines: (0..cell.engines)
                .map(|_| SimulatedEngine::new(cell.slots, cell.max_batch))
                .collect(),
            requests: arrivals.iter().map(request).collect(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5EED),
            metrics: RunMetrics::new(),
            events: BinaryHeap::new(),
            event_sequence: 0,
            period,
            loads: HashMap::new(),
            next_load: 0,
            load_attempts: HashMap::new(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Schedules an event. Events with the same time are handled in the order of scheduling.
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((at_us.max(self.now_us), self.event_sequence, event)));
    }

    pub(super) fn deadline_us(&self, request: usize) -> u64 {
        self.requests[request].arrival.at_us + self.cell.budget_ms * 1_000
    }

    /// Runs the simulation to its end and returns the results.
    pub(super) fn run(mut self, mut policy: Policy, name: &str) -> PlacementRow {
        for at in 0..self.requests.len() {
            self.schedule(self.requests[at].arrival.at_us, Event::Arrival(at));
        }
        for engine in 0..self.engines.len() {
            // Report reads are distributed over the interval.
            self.schedule(POLL_US * engine as u64 / self.engines.len() as u64, Event::Poll(engine));
        }
        if self.workload == Workload::ColdRestart {
            self.schedule(self.period.event_ms() * 1_000, Event::Restart);
        }
        let end_us = self.period.until_ms * 1_000 + DRAIN_US;
        let mut steps_before = None;
        let mut steps_after = None;
        while let Some(Reverse((at_us, _, event))) = self.events.pop()
            && at_us <= end_us
        {
            self.now_us = at_us;
            if at_us >= self.period.from_ms * 1_000 && steps_before.is_none() {
                steps_before = Some(self.step_totals());
            }
            if at_us >= self.period.until_ms * 1_000 && steps_after.is_none() {
                steps_after = Some(self.step_totals());
            }
            self.handle_event(&mut policy, event);
        }
        self.finish(&steps_before.unwrap_or_default(), &steps_after.unwrap_or_default(), name)
    }

    fn step_totals(&self) -> (u64, u64) {
        let steps = self.engines.iter().map(|it| it.steps).sum();
        let tokens = self.engines.iter().map(|it| it.batched_tokens).sum();
        (steps, tokens)
    }

    fn finish(mut self, before: &(u64, u64), after: &(u64, u64), name: &str) -> PlacementRow {
        for request in &self.requests {
            let settled = matches!(
                request.outcome,
                RequestOutcome::Completed | RequestOutcome::Refused | RequestOutcome::Missed
            );
            self.metrics.check(settled, || format!("no final outcome: {request:?}"));
            let not_run =
                matches!(request.outcome, RequestOutcome::Refused | RequestOutcome::Missed);
            self.metrics.check(!(not_run && request.has_run), || {
                format!("ran although refused: {request:?}")
            });
        }
        let capacity = (after.0 - before.0) * self.cell.max_batch as u64;
        let efficiency = (after.1 - before.1) as f64 / capacity.max(1) as f64;
        let names = (self.cell.name, self.workload.name(), name);
        let measured_ms = self.period.until_ms - self.period.from_ms;
        self.metrics.into_row(names, measured_ms, self.cell.budget_ms, efficiency)
    }

    fn handle_event(&mut self, policy: &mut Policy, event: Event) {
        match event {
            Event::Arrival(request) => {
                if self.requests[request].is_measured {
                    self.metrics.requests += 1;
                }
                self.route(policy, request);
            }
            Event::StepEnd { engine, boot_number } => self.end_step(policy, engine, boot_number),
            Event::LoadEnd(load) => self.end_load(policy, load),
            Event::Poll(engine) => {
                self.schedule(self.now_us + POLL_US, Event::Poll(engine));
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.schedule_report(self, engine);
                }
            }
            Event::ReportArrival(report) => {
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.deliver_report(self, report);
                }
            }
            Event::Tick => {
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.tick(self);
                }
            }
            Event::Deadline(request) => {
                if let Policy::Baseline(baseline) = policy
                    && self.requests[request].outcome == RequestOutcome::Waiting
                {
                    baseline.remove_request(request);
                    self.end_waiting(request, RequestOutcome::Missed);
                }
            }
            Event::Restart => self.restart(policy),
        }
    }

    /// Lets the policy choose an engine and sends the request, or lets the request wait.
    fn route(&mut self, policy: &mut Policy, request: usize) {
        match policy {
            Policy::Coordinated(coordinated) => coordinated.place(self, request),
            Policy::Baseline(baseline) => {
                self.schedule(self.deadline_us(request), Event::Deadline(request));
                let adapter = self.requests[request].arrival.adapter;
                let engine = baseline.route(&self.engines, adapter);
                if self.engines[engine].is_ready(adapter) {
                    self.send(engine, request);
                } else {
                    baseline.enqueue(engine, adapter, request);
                    self.start_baseline_loads(baseline);
                }
            }
        }
    }

    fn start_baseline_loads(&mut self, baseline: &mut BaselinePolicy) {
        while self.loads.len() < self.cell.parallel_loads {
            let Some((engine, adapter, evict)) = baseline.start_next(&self.engines) else { return };
            self.start_load(engine, adapter, evict);
        }
    }

    /// Sends a request to an engine on which its adapter is loaded.
    pub(super) fn send(&mut self, engine: usize, request: usize) {
        let state = &mut self.requests[request];
        let adapter = state.arrival.adapter;
        let waiting = state.outcome == RequestOutcome::Waiting;
        self.metrics.check(waiting, || format!("request {request} has more than one outcome"));
        state.outcome = RequestOutcome::Sent;
        let tokens_remaining = state.arrival.tokens;
        let it = &mut self.engines[engine];
        if state.is_measured {
            // The load stall ends when the adapter is ready on the engine. Any later wait is for a
            // place in the batch, as in the engine's own queue.
            let slot = it.slots.iter().find(|slot| slot.adapter == adapter && slot.is_ready);
            let ready_since_us = slot.map_or(self.now_us, |slot| slot.ready_since_us);
            let ready_since_us = ready_since_us.clamp(state.waiting_since_us, self.now_us);
            self.metrics.stall_us += ready_since_us - state.waiting_since_us;
            self.metrics.batch_wait_us += self.now_us - ready_since_us;
        }
        self.metrics.check(it.is_ready(adapter), || {
            format!("request {request} sent to engine {engine} without adapter {adapter}")
        });
        for slot in it.slots.iter_mut().filter(|slot| slot.adapter == adapter) {
            slot.last_used_us = self.now_us;
        }
        let sent_us = self.now_us;
        it.queue.push_back(EngineRequest {
            request,
            adapter,
            tokens_remaining,
            has_started: false,
            sent_us,
        });
        if !it.is_stepping {
            self.begin_step(engine);
        }
    }

    /// Ends the wait of a request without sending it.
    pub(super) fn end_waiting(&mut self, request: usize, outcome: RequestOutcome) {
        let state = &mut self.requests[request];
        let waiting = state.outcome == RequestOutcome::Waiting;
        self.metrics.check(waiting, || format!("request {request} has more than one outcome"));
        state.outcome = outcome;
        if state.is_measured {
            self.metrics.stall_us += self.now_us - state.waiting_since_us;
            if outcome == RequestOutcome::Missed {
                self.metrics.missed += 1;
            }
        }
    }

    /// Refuses a request as not run.
    pub(super) fn refuse(&mut self, request: usize, reason: &'static str) {
        let late = self.now_us > self.deadline_us(request);
        self.metrics.check(!late, || format!("request {request} refused after its deadline"));
        self.end_waiting(request, RequestOutcome::Refused);
        if self.requests[request].is_measured {
            *self.metrics.refused.entry(reason).or_default() += 1;
        }
    }

    fn begin_step(&mut self, engine: usize) {
        let it = &mut self.engines[engine];
        let Some(step) = it.begin_step() else { return };
        let in_batch = it.batch.len() <= it.max_batch;
        let ready = it.batch.iter().all(|running| it.is_ready(running.adapter));
        let boot_number = it.boot_number;
        self.metrics.check(in_batch, || format!("the batch of engine {engine} is too large"));
        self.metrics
            .check(ready, || format!("engine {engine} runs a request whose adapter is not loaded"));
        for added in step.added {
            let state = &mut self.requests[added.request];
            state.has_run = true;
            if state.is_measured {
                self.metrics.batch_wait_us += self.now_us - added.sent_us;
            }
        }
        self.schedule(self.now_us + step.duration_us, Event::StepEnd { engine, boot_number });
    }

    fn end_step(&mut self, policy: &mut Policy, engine: usize, boot_number: u64) {
        if self.engines[engine].boot_number != boot_number {
            return;
        }
        let (with_first_token, finished) = self.engines[engine].end_step();
        for request in with_first_token {
            let state = &mut self.requests[request];
            if state.is_measured && !std::mem::replace(&mut state.has_first_token, true) {
                let elapsed_ms = (self.now_us - state.arrival.at_us) / 1_000;
                self.metrics.record_first_token(elapsed_ms);
            }
        }
        for running in finished {
            let in_time = self.now_us <= self.deadline_us(running.request);
            let state = &mut self.requests[running.request];
            let sent = state.outcome == RequestOutcome::Sent;
            self.metrics.check(sent, || format!("ran although refused: {}", running.request));
            state.outcome = RequestOutcome::Completed;
            if state.is_measured {
                self.metrics.completed += 1;
                self.metrics.in_time += u64::from(in_time);
                self.metrics.missed += u64::from(!in_time);
            }
            if let Policy::Coordinated(coordinated) = policy {
                coordinated.request_finished(self, running.request);
            }
        }
        // Slots may have become unused.
        if let Policy::Baseline(baseline) = policy {
            self.start_baseline_loads(baseline);
        }
        self.begin_step(engine);
    }

    /// Starts a load from the weight store and returns its number.
    pub(super) fn start_load(&mut self, engine: usize, adapter: u32, evict: Option<u32>) -> u64 {
        let limit = self.cell.parallel_loads;
        self.metrics.check(self.loads.len() < limit, || "too many loads in flight".to_owned());
        let now_us = self.now_us;
        let it = &mut self.engines[engine];
        if let Some(evict) = evict {
            let used = it.is_in_use(evict);
            it.slots.retain(|slot| slot.adapter != evict);
            self.metrics.check(!used, || {
                format!("engine {engine} evicts adapter {evict}, which is in use")
            });
        }
        it.slots.push(Slot {
            adapter,
            is_ready: false,
            last_used_us: now_us,
            ready_since_us: now_us,
        });
        let (used, count, boot_number) = (it.slots.len(), it.slot_count, it.boot_number);
        self.metrics
            .check(used <= count, || format!("engine {engine} has no slot for adapter {adapter}"));
        if now_us >= self.period.from_ms * 1_000 && now_us < self.period.until_ms * 1_000 {
            self.metrics.loads += 1;
        }
        self.next_load += 1;
        // Failures depend only on the adapter and the attempt, so all policies see the same ones.
        let load_attempts = self.load_attempts.entry(adapter).or_default();
        *load_attempts += 1;
        let draw = (u64::from(adapter) << 32) | *load_attempts;
        let will_fail = fastrand::Rng::with_seed(draw).f64() < self.workload.load_failure_share();
        self.loads.insert(self.next_load, Load { engine, boot_number, adapter, will_fail });
        let duration_us = self.cell.load_us * self.rng.u64(900..=1_100) / 1_000;
        self.schedule(now_us + duration_us, Event::LoadEnd(self.next_load));
        self.next_load
    }

    /// Abandons a load and frees its slot.
    pub(super) fn abandon_load(&mut self, load: u64) {
        if let Some(load) = self.loads.remove(&load)
            && self.engines[load.engine].boot_number == load.boot_number
        {
            self.engines[load.engine].slots.retain(|it| it.adapter != load.adapter);
        }
    }

    fn end_load(&mut self, policy: &mut Policy, load_number: u64) {
        let Some(load) = self.loads.remove(&load_number) else { return };
        let engine = &mut self.engines[load.engine];
        let succeeded = !load.will_fail && engine.boot_number == load.boot_number;
        if succeeded {
            for slot in engine.slots.iter_mut().filter(|it| it.adapter == load.adapter) {
                slot.is_ready = true;
                slot.ready_since_us = self.now_us;
                slot.last_used_us = self.now_us;
            }
        } else if engine.boot_number == load.boot_number {
            engine.slots.retain(|it| it.adapter != load.adapter);
        }
        match policy {
            Policy::Coordinated(coordinated) => {
                coordinated.load_finished(self, load_number, succeeded);
            }
            Policy::Baseline(baseline) => {
                let Some(mut requested_load) = baseline.remove_started(load.engine, load.adapter)
                else {
                    return;
                };
                if succeeded {
                    for request in requested_load.waiting {
                        self.send(requested_load.engine, request);
                    }
                } else if requested_load.failures + 1 < MAX_LOAD_FAILURES {
                    requested_load.failures += 1;
                    requested_load.is_loading = false;
                    if !requested_load.waiting.is_empty() {
                        baseline.requested_loads.push_back(requested_load);
                    }
                } else {
                    for request in requested_load.waiting {
                        self.refuse(request, "load_failed");
                    }
                }
                self.start_baseline_loads(baseline);
            }
        }
    }

    /// Restarts the first third of the engines cold; their requests are routed again.
    fn restart(&mut self, policy: &mut Policy) {
        let mut lost = Vec::new();
        for engine in 0..self.engines.len() / 3 {
            lost.extend(self.engines[engine].restart());
            self.engines[engine].is_stepping = false;
        }
        for running in lost {
            let state = &mut self.requests[running.request];
            state.outcome = RequestOutcome::Waiting;
            state.waiting_since_us = self.now_us;
            state.has_run = false;
            if self.now_us >= self.deadline_us(running.request) {
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.request_failed(self, running.request);
                }
                self.end_waiting(running.request, RequestOutcome::Missed);
                continue;
            }
            if let Policy::Coordinated(coordinated) = policy {
                coordinated.request_failed(self, running.request);
            }
            self.route(policy, running.request);
        }
    }
}
