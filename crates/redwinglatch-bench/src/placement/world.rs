//! The event loop of one run on virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use super::{
    baseline::{Baseline, MAX_FAILURES},
    coordinated::Coordinated,
    engine::{Engine, Running, Slot},
    figures::{Figures, Outcome},
    workload::{Arrival, Site, Span, Workload},
};
use crate::PlacementRow;

/// How often the cell's engines are asked for reports.
const POLL_US: u64 = 500_000;
/// How long requests may still run after the last arrival. In overload, hash affinity queues them
/// for minutes at one engine.
const TAIL_US: u64 = 300_000_000;

/// Something that happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival(usize),
    StepEnd { engine: usize, boot: u64 },
    LoadEnd(u64),
    Poll(usize),
    Report(u64),
    Wake,
    Deadline(usize),
    Restart,
}

/// A request in the run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) outcome: Outcome,
    pub(super) measured: bool,
    /// Since when it waits for an engine.
    waits_since_us: u64,
    has_first_token: bool,
    /// Whether an engine ran a step of it.
    ran: bool,
}

/// A load at the store.
#[derive(Debug, Clone, Copy)]
struct Load {
    engine: usize,
    boot: u64,
    adapter: u32,
    fails: bool,
}

/// The policy of a run.
#[derive(Debug)]
pub(super) enum Policy {
    Coordinated(Box<Coordinated>),
    Baseline(Baseline),
}

/// The state of a run.
#[derive(Debug)]
pub(super) struct World {
    pub(super) site: Site,
    pub(super) workload: Workload,
    pub(super) now_us: u64,
    pub(super) engines: Vec<Engine>,
    pub(super) requests: Vec<Request>,
    pub(super) rng: fastrand::Rng,
    pub(super) figures: Figures,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    span: Span,
    loads: HashMap<u64, Load>,
    next_load: u64,
    /// Loads of each adapter so far.
    attempts: HashMap<u32, u64>,
}

impl World {
    pub(super) fn new(
        site: &Site,
        workload: Workload,
        span: Span,
        arrivals: &[Arrival],
        seed: u64,
    ) -> World {
        let measured = span.from_ms * 1_000..span.until_ms * 1_000;
        let request = |arrival: &Arrival| Request {
            arrival: *arrival,
            outcome: Outcome::Waiting,
            measured: measured.contains(&arrival.at_us),
            waits_since_us: arrival.at_us,
            has_first_token: false,
            ran: false,
        };
        World {
            site: site.clone(),
            workload,
            now_us: 0,
            engines: (0..site.engines).map(|_| Engine::new(site.slots, site.max_batch)).collect(),
            requests: arrivals.iter().map(request).collect(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5EED),
            figures: Figures::new(),
            events: BinaryHeap::new(),
            next_event: 0,
            span,
            loads: HashMap::new(),
            next_load: 0,
            attempts: HashMap::new(),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Schedules an event; events of one moment happen in the order of scheduling.
    pub(super) fn at(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_us.max(self.now_us), self.next_event, event)));
    }

    pub(super) fn deadline_us(&self, request: usize) -> u64 {
        self.requests[request].arrival.at_us + self.site.budget_ms * 1_000
    }

    /// Runs to the end and returns the figures.
    pub(super) fn run(mut self, mut policy: Policy, name: &str) -> PlacementRow {
        for at in 0..self.requests.len() {
            self.at(self.requests[at].arrival.at_us, Event::Arrival(at));
        }
        for engine in 0..self.engines.len() {
            // Polls are spread over the interval.
            self.at(POLL_US * engine as u64 / self.engines.len() as u64, Event::Poll(engine));
        }
        if self.workload == Workload::ColdRestart {
            self.at(self.span.event_ms() * 1_000, Event::Restart);
        }
        let end_us = self.span.until_ms * 1_000 + TAIL_US;
        let mut steps_before = None;
        let mut steps_after = None;
        while let Some(Reverse((at_us, _, event))) = self.events.pop()
            && at_us <= end_us
        {
            self.now_us = at_us;
            if at_us >= self.span.from_ms * 1_000 && steps_before.is_none() {
                steps_before = Some(self.steps());
            }
            if at_us >= self.span.until_ms * 1_000 && steps_after.is_none() {
                steps_after = Some(self.steps());
            }
            self.happen(&mut policy, event);
        }
        self.count(&steps_before.unwrap_or_default(), &steps_after.unwrap_or_default(), name)
    }

    fn steps(&self) -> (u64, u64) {
        let steps = self.engines.iter().map(|it| it.steps).sum();
        let tokens = self.engines.iter().map(|it| it.batched_tokens).sum();
        (steps, tokens)
    }

    fn count(mut self, before: &(u64, u64), after: &(u64, u64), name: &str) -> PlacementRow {
        for request in &self.requests {
            let settled =
                matches!(request.outcome, Outcome::Completed | Outcome::Refused | Outcome::Missed);
            self.figures.check(settled, || format!("never answered: {request:?}"));
            let not_run = matches!(request.outcome, Outcome::Refused | Outcome::Missed);
            self.figures
                .check(!(not_run && request.ran), || format!("ran although refused: {request:?}"));
        }
        let places = (after.0 - before.0) * self.site.max_batch as u64;
        let efficiency = (after.1 - before.1) as f64 / places.max(1) as f64;
        let names = (self.site.name, self.workload.name(), name);
        let measured_ms = self.span.until_ms - self.span.from_ms;
        self.figures.into_row(names, measured_ms, self.site.budget_ms, efficiency)
    }

    fn happen(&mut self, policy: &mut Policy, event: Event) {
        match event {
            Event::Arrival(request) => {
                if self.requests[request].measured {
                    self.figures.requests += 1;
                }
                self.ask(policy, request);
            }
            Event::StepEnd { engine, boot } => self.end_step(policy, engine, boot),
            Event::LoadEnd(load) => self.end_load(policy, load),
            Event::Poll(engine) => {
                self.at(self.now_us + POLL_US, Event::Poll(engine));
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.poll(self, engine);
                }
            }
            Event::Report(report) => {
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.report(self, report);
                }
            }
            Event::Wake => {
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.wake(self);
                }
            }
            Event::Deadline(request) => {
                if let Policy::Baseline(baseline) = policy
                    && self.requests[request].outcome == Outcome::Waiting
                {
                    baseline.remove(request);
                    self.end_waiting(request, Outcome::Missed);
                }
            }
            Event::Restart => self.restart(policy),
        }
    }

    /// Asks the policy for an engine.
    fn ask(&mut self, policy: &mut Policy, request: usize) {
        match policy {
            Policy::Coordinated(coordinated) => coordinated.place(self, request),
            Policy::Baseline(baseline) => {
                self.at(self.deadline_us(request), Event::Deadline(request));
                let adapter = self.requests[request].arrival.adapter;
                let engine = baseline.route(&self.engines, adapter);
                if self.engines[engine].is_ready(adapter) {
                    self.send(engine, request);
                } else {
                    baseline.wait(engine, adapter, request);
                    self.start_baseline_loads(baseline);
                }
            }
        }
    }

    fn start_baseline_loads(&mut self, baseline: &mut Baseline) {
        while self.loads.len() < self.site.parallel_loads {
            let Some((engine, adapter, evict)) = baseline.start(&self.engines) else { return };
            self.load(engine, adapter, evict);
        }
    }

    /// Sends a request to an engine that has its adapter.
    pub(super) fn send(&mut self, engine: usize, request: usize) {
        let state = &mut self.requests[request];
        let adapter = state.arrival.adapter;
        let waiting = state.outcome == Outcome::Waiting;
        self.figures.check(waiting, || format!("answered twice: {request}"));
        state.outcome = Outcome::Sent;
        let tokens_left = state.arrival.tokens;
        let it = &mut self.engines[engine];
        if state.measured {
            // The load stall ends when the adapter is ready on the engine; a wait after that is
            // for a place in the batch, as in the engine's own queue.
            let slot = it.slots.iter().find(|slot| slot.adapter == adapter && slot.ready);
            let ready_us = slot.map_or(self.now_us, |slot| slot.ready_us);
            let ready_us = ready_us.clamp(state.waits_since_us, self.now_us);
            self.figures.stall_us += ready_us - state.waits_since_us;
            self.figures.batch_wait_us += self.now_us - ready_us;
        }
        self.figures.check(it.is_ready(adapter), || {
            format!("request {request} sent to engine {engine} without adapter {adapter}")
        });
        for slot in it.slots.iter_mut().filter(|slot| slot.adapter == adapter) {
            slot.used_us = self.now_us;
        }
        let sent_us = self.now_us;
        it.queue.push_back(Running { request, adapter, tokens_left, started: false, sent_us });
        if !it.stepping {
            self.begin_step(engine);
        }
    }

    /// Ends the wait of a request without sending it.
    pub(super) fn end_waiting(&mut self, request: usize, outcome: Outcome) {
        let state = &mut self.requests[request];
        let waiting = state.outcome == Outcome::Waiting;
        self.figures.check(waiting, || format!("answered twice: {request}"));
        state.outcome = outcome;
        if state.measured {
            self.figures.stall_us += self.now_us - state.waits_since_us;
            if outcome == Outcome::Missed {
                self.figures.missed += 1;
            }
        }
    }

    /// Refuses a request as not run.
    pub(super) fn refuse(&mut self, request: usize, reason: &'static str) {
        let late = self.now_us > self.deadline_us(request);
        self.figures.check(!late, || format!("request {request} refused after its deadline"));
        self.end_waiting(request, Outcome::Refused);
        if self.requests[request].measured {
            *self.figures.refused.entry(reason).or_default() += 1;
        }
    }

    fn begin_step(&mut self, engine: usize) {
        let it = &mut self.engines[engine];
        let Some(step) = it.begin_step() else { return };
        let in_batch = it.batch.len() <= it.max_batch;
        let ready = it.batch.iter().all(|running| it.is_ready(running.adapter));
        let boot = it.boot;
        self.figures.check(in_batch, || format!("batch of engine {engine} too large"));
        self.figures.check(ready, || format!("engine {engine} runs without the adapter"));
        for joined in step.joined {
            let state = &mut self.requests[joined.request];
            state.ran = true;
            if state.measured {
                self.figures.batch_wait_us += self.now_us - joined.sent_us;
            }
        }
        self.at(self.now_us + step.took_us, Event::StepEnd { engine, boot });
    }

    fn end_step(&mut self, policy: &mut Policy, engine: usize, boot: u64) {
        if self.engines[engine].boot != boot {
            return;
        }
        let (first, ended) = self.engines[engine].end_step();
        for request in first {
            let state = &mut self.requests[request];
            if state.measured && !std::mem::replace(&mut state.has_first_token, true) {
                let took_ms = (self.now_us - state.arrival.at_us) / 1_000;
                self.figures.record_first_token(took_ms);
            }
        }
        for running in ended {
            let in_time = self.now_us <= self.deadline_us(running.request);
            let state = &mut self.requests[running.request];
            let sent = state.outcome == Outcome::Sent;
            self.figures.check(sent, || format!("ran although refused: {}", running.request));
            state.outcome = Outcome::Completed;
            if state.measured {
                self.figures.completed += 1;
                self.figures.in_time += u64::from(in_time);
                self.figures.missed += u64::from(!in_time);
            }
            if let Policy::Coordinated(coordinated) = policy {
                coordinated.finished(self, running.request);
            }
        }
        // Slots may have become unused.
        if let Policy::Baseline(baseline) = policy {
            self.start_baseline_loads(baseline);
        }
        self.begin_step(engine);
    }

    /// Starts a load at the store and returns its number.
    pub(super) fn load(&mut self, engine: usize, adapter: u32, evict: Option<u32>) -> u64 {
        let lanes = self.site.parallel_loads;
        self.figures.check(self.loads.len() < lanes, || "too many loads in flight".to_owned());
        let now_us = self.now_us;
        let it = &mut self.engines[engine];
        if let Some(evict) = evict {
            let used = it.in_use(evict);
            it.slots.retain(|slot| slot.adapter != evict);
            self.figures.check(!used, || format!("engine {engine} evicts {evict} in use"));
        }
        it.slots.push(Slot { adapter, ready: false, used_us: now_us, ready_us: now_us });
        let (used, count, boot) = (it.slots.len(), it.slot_count, it.boot);
        self.figures.check(used <= count, || format!("engine {engine} has no slot for {adapter}"));
        if now_us >= self.span.from_ms * 1_000 && now_us < self.span.until_ms * 1_000 {
            self.figures.loads += 1;
        }
        self.next_load += 1;
        // All policies meet the same failures: they depend on the adapter and the attempt.
        let attempts = self.attempts.entry(adapter).or_default();
        *attempts += 1;
        let draw = (u64::from(adapter) << 32) | *attempts;
        let fails = fastrand::Rng::with_seed(draw).f64() < self.workload.load_failure_share();
        self.loads.insert(self.next_load, Load { engine, boot, adapter, fails });
        let took_us = self.site.load_us * self.rng.u64(900..=1_100) / 1_000;
        self.at(now_us + took_us, Event::LoadEnd(self.next_load));
        self.next_load
    }

    /// Abandons a load.
    pub(super) fn abandon(&mut self, load: u64) {
        if let Some(load) = self.loads.remove(&load)
            && self.engines[load.engine].boot == load.boot
        {
            self.engines[load.engine].slots.retain(|it| it.adapter != load.adapter);
        }
    }

    fn end_load(&mut self, policy: &mut Policy, number: u64) {
        let Some(load) = self.loads.remove(&number) else { return };
        let engine = &mut self.engines[load.engine];
        let succeeded = !load.fails && engine.boot == load.boot;
        if succeeded {
            for slot in engine.slots.iter_mut().filter(|it| it.adapter == load.adapter) {
                slot.ready = true;
                slot.ready_us = self.now_us;
                slot.used_us = self.now_us;
            }
        } else if engine.boot == load.boot {
            engine.slots.retain(|it| it.adapter != load.adapter);
        }
        match policy {
            Policy::Coordinated(coordinated) => coordinated.loaded(self, number, succeeded),
            Policy::Baseline(baseline) => {
                let Some(mut want) = baseline.take(load.engine, load.adapter) else { return };
                if succeeded {
                    for request in want.waiting {
                        self.send(want.engine, request);
                    }
                } else if want.failures + 1 < MAX_FAILURES {
                    want.failures += 1;
                    want.loading = false;
                    if !want.waiting.is_empty() {
                        baseline.wants.push_back(want);
                    }
                } else {
                    for request in want.waiting {
                        self.refuse(request, "load_failed");
                    }
                }
                self.start_baseline_loads(baseline);
            }
        }
    }

    /// Restarts the first third of the engines; their requests are sent again.
    fn restart(&mut self, policy: &mut Policy) {
        let mut lost = Vec::new();
        for engine in 0..self.engines.len() / 3 {
            lost.extend(self.engines[engine].restart());
            self.engines[engine].stepping = false;
        }
        for running in lost {
            let state = &mut self.requests[running.request];
            state.outcome = Outcome::Waiting;
            state.waits_since_us = self.now_us;
            state.ran = false;
            if self.now_us >= self.deadline_us(running.request) {
                if let Policy::Coordinated(coordinated) = policy {
                    coordinated.failed(self, running.request);
                }
                self.end_waiting(running.request, Outcome::Missed);
                continue;
            }
            if let Policy::Coordinated(coordinated) = policy {
                coordinated.failed(self, running.request);
            }
            self.ask(policy, running.request);
        }
    }
}
