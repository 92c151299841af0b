//! Slots, runs and steps of a fake engine.

use std::collections::{HashMap, VecDeque};

use tokio::{
    sync::watch,
    time::{Duration, Instant},
};

use crate::{
    EngineSettings, Eviction, Fencing, OrderKind, OrderRecord, RunEnd, RunRecord, StreamFault,
    prefix_cache::PrefixCache,
    prefix_hashes,
    report_log::{Report, ReportLog, SlotReport},
    text::answer_seed,
};

/// How long a finished stream can be resumed and a cancelled request id stays refused.
const FINISHED_KEPT: Duration = Duration::from_secs(60);

/// A refusal: status, code, message.
pub(crate) type EngineRefusal = (u16, &'static str, String);

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    pub(crate) generated: u32,
    pub(crate) end: Option<RunEnd>,
}

#[derive(Debug)]
struct Slot {
    adapter: Box<str>,
    version: u32,
    ready: bool,
}

#[derive(Debug)]
struct Run {
    adapter: Box<str>,
    version: u32,
    max_tokens: u32,
    priority: u8,
    order: u64,
    seed: u64,
    record: usize,
    finished_at: Option<Instant>,
    progress: watch::Sender<Progress>,
}

/// A completion request as it arrived.
#[derive(Debug, Clone, serde::Deserialize)]
pub(crate) struct CompletionBody {
    pub(crate) request_id: Box<str>,
    pub(crate) model: Box<str>,
    pub(crate) adapter: Box<str>,
    pub(crate) version: u32,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) priority: u8,
}

/// What a stream needs to be written.
#[derive(Debug)]
pub(crate) struct StreamSource {
    pub(crate) adapter: Box<str>,
    pub(crate) version: u32,
    pub(crate) seed: u64,
    pub(crate) record: usize,
    pub(crate) boot_id: Box<str>,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) fault: Option<(u32, StreamFault)>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) boot_id: Box<str>,
    pub(crate) leaving: bool,
    pub(crate) hold_at: Option<u32>,
    pub(crate) fail_loads: u32,
    pub(crate) refusals: VecDeque<(u16, Box<str>, bool)>,
    pub(crate) lost_reports: u32,
    pub(crate) faults: VecDeque<(u32, StreamFault)>,
    pub(crate) records: Vec<RunRecord>,
    pub(crate) evictions: Vec<Eviction>,
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) prefixes: PrefixCache,
    port: u16,
    boots: u32,
    highest_token: u64,
    slots: Vec<Slot>,
    runs: HashMap<Box<str>, Run>,
    cancelled: HashMap<Box<str>, Instant>,
    running: Vec<Box<str>>,
    waiting: Vec<Box<str>>,
    arrivals: u64,
    steps: u64,
    batched_tokens: u64,
    sequence: u64,
    reports: ReportLog,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings, port: u16) -> EngineState {
        let prefixes = PrefixCache::new(settings.prefix_capacity);
        let mut state = EngineState {
            settings,
            boot_id: "".into(),
            leaving: false,
            hold_at: None,
            fail_loads: 0,
            refusals: VecDeque::new(),
            lost_reports: 0,
            faults: VecDeque::new(),
            records: Vec::new(),
            evictions: Vec::new(),
            orders: Vec::new(),
            prefixes,
            port,
            boots: 0,
            highest_token: 0,
            slots: Vec::new(),
            runs: HashMap::new(),
            cancelled: HashMap::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            arrivals: 0,
            steps: 0,
            batched_tokens: 0,
            sequence: 0,
            reports: ReportLog::default(),
        };
        state.boot();
        state
    }

    /// Loses everything but the settings and the records, under a new boot id.
    pub(crate) fn restart_cold(&mut self) {
        let active: Vec<Box<str>> = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        for id in active {
            self.end_run(&id, RunEnd::Restarted);
        }
        self.runs.clear();
        self.cancelled.clear();
        self.slots.clear();
        self.highest_token = 0;
        self.steps = 0;
        self.batched_tokens = 0;
        self.sequence = 0;
        self.leaving = false;
        self.reports = ReportLog::default();
        self.prefixes = PrefixCache::new(self.settings.prefix_capacity);
        self.boot();
    }

    /// Sets the port that boot ids are made from; they are unique over all engines of a test.
    pub(crate) fn set_port(&mut self, port: u16) {
        self.port = port;
        self.boots = 0;
        self.boot();
    }

    fn boot(&mut self) {
        self.boots += 1;
        self.boot_id = format!("{}-{}", self.port, self.boots).into();
        self.note_change();
    }

    /// Accepts a request into the queue.
    pub(crate) fn accept(&mut self, body: &CompletionBody) -> Result<StreamSource, EngineRefusal> {
        self.forget_finished();
        if body.model != self.settings.model {
            let message = format!("model {} is not served here", body.model);
            return Err((404, "unknown_model", message));
        }
        if self.cancelled.contains_key(&body.request_id) {
            return Err((409, "cancelled", format!("request {} is cancelled", body.request_id)));
        }
        if !self.is_ready(&body.adapter, body.version) {
            let message = format!("adapter {}@{} is not loaded", body.adapter, body.version);
            return Err((409, "adapter_missing", message));
        }
        if self.waiting.len() >= self.settings.max_waiting {
            return Err((429, "queue_full", format!("{} requests wait", self.waiting.len())));
        }
        self.prefixes.store(&prefix_hashes(&body.prompt, &body.adapter, body.version));
        self.arrivals += 1;
        let record = RunRecord {
            request_id: body.request_id.clone(),
            adapter: body.adapter.clone(),
            version: body.version,
            boot_id: self.boot_id.clone(),
            start: Instant::now(),
            end: None,
            ended: None,
            tokens_generated: 0,
            tokens_delivered: 0,
            resumes: 0,
        };
        let run = Run {
            adapter: body.adapter.clone(),
            version: body.version,
            max_tokens: body.max_tokens,
            priority: body.priority,
            order: self.arrivals,
            seed: answer_seed(&body.prompt, &body.adapter, body.version),
            record: self.records.len(),
            finished_at: None,
            progress: watch::Sender::new(Progress::default()),
        };
        self.records.push(record);
        self.runs.insert(body.request_id.clone(), run);
        self.waiting.push(body.request_id.clone());
        let mut source = self.source(&body.request_id).expect("the run was just inserted");
        source.fault = self.faults.pop_front();
        self.note_change();
        Ok(source)
    }

    /// Whether a request with this id is known, running or finished.
    pub(crate) fn knows(&self, request_id: &str) -> bool {
        self.runs.contains_key(request_id)
    }

    /// Finds a stream to resume.
    pub(crate) fn resume(&mut self, request_id: &str) -> Option<StreamSource> {
        self.forget_finished();
        let mut source = self.source(request_id)?;
        self.records[source.record].resumes += 1;
        source.fault = self.faults.pop_front();
        Some(source)
    }

    fn source(&self, request_id: &str) -> Option<StreamSource> {
        let run = self.runs.get(request_id)?;
        Some(StreamSource {
            adapter: run.adapter.clone(),
            version: run.version,
            seed: run.seed,
            record: run.record,
            boot_id: self.boot_id.clone(),
            progress: run.progress.subscribe(),
            fault: None,
        })
    }

    /// Cancels a request and refuses its id from now on; returns the tokens generated.
    pub(crate) fn cancel(&mut self, request_id: &str) -> u32 {
        self.cancelled.insert(request_id.into(), Instant::now());
        self.running.retain(|id| **id != *request_id);
        self.waiting.retain(|id| **id != *request_id);
        self.end_run(request_id, RunEnd::Cancelled);
        self.note_change();
        self.runs.get(request_id).map_or(0, |run| run.progress.borrow().generated)
    }

    /// Checks an order's fencing token and records the order.
    pub(crate) fn check_order(
        &mut self,
        kind: OrderKind,
        subject: &str,
        token: Option<u64>,
    ) -> Result<(), EngineRefusal> {
        let stale = token.is_none_or(|token| token < self.highest_token);
        let refused = stale && self.settings.fencing == Fencing::Enforced;
        let at = Instant::now();
        self.orders.push(OrderRecord { kind, subject: subject.into(), at, token, stale, refused });
        self.highest_token = self.highest_token.max(token.unwrap_or(0));
        if refused {
            let message = format!("token {token:?} is older than {}", self.highest_token);
            return Err((409, "stale_token", message));
        }
        Ok(())
    }

    /// Reserves a slot for an adapter. `Ok(true)` asks the caller to load it; `Ok(false)` means
    /// that the adapter is ready or another load is under way.
    pub(crate) fn reserve_slot(
        &mut self,
        adapter: &str,
        version: u32,
    ) -> Result<bool, EngineRefusal> {
        if self.slots.iter().any(|slot| *slot.adapter == *adapter && slot.version == version) {
            return Ok(false);
        }
        if self.slots.len() >= self.settings.slots {
            return Err((507, "no_slot", format!("all {} slots are taken", self.slots.len())));
        }
        self.slots.push(Slot { adapter: adapter.into(), version, ready: false });
        Ok(true)
    }

    /// Ends a load: the adapter becomes ready, or its slot is freed.
    pub(crate) fn finish_load(&mut self, adapter: &str, version: u32, loaded: bool) {
        let position =
            self.slots.iter().position(|s| *s.adapter == *adapter && s.version == version);
        match position {
            Some(index) if loaded => self.slots[index].ready = true,
            Some(index) => drop(self.slots.remove(index)),
            None => {}
        }
        self.note_change();
    }

    pub(crate) fn is_ready(&self, adapter: &str, version: u32) -> bool {
        self.slots.iter().any(|s| *s.adapter == *adapter && s.version == version && s.ready)
    }

    pub(crate) fn is_reserved(&self, adapter: &str, version: u32) -> bool {
        self.slots.iter().any(|slot| *slot.adapter == *adapter && slot.version == version)
    }

    /// Unloads an adapter and records what was in flight on it.
    pub(crate) fn unload(
        &mut self,
        adapter: &str,
        version: u32,
        token: Option<u64>,
    ) -> Result<(), EngineRefusal> {
        if !self.is_ready(adapter, version) {
            let message = format!("adapter {adapter}@{version} is not loaded");
            return Err((409, "adapter_missing", message));
        }
        let in_flight: Vec<Box<str>> = self
            .running
            .iter()
            .chain(&self.waiting)
            .filter(|id| {
                let run = &self.runs[*id];
                *run.adapter == *adapter && run.version == version
            })
            .cloned()
            .collect();
        let refused = !in_flight.is_empty() && !self.settings.evicts_in_use;
        self.evictions.push(Eviction {
            adapter: adapter.into(),
            version,
            at: Instant::now(),
            token,
            in_flight: in_flight.clone(),
            refused,
        });
        if refused {
            let message = format!("{} requests use {adapter}@{version}", in_flight.len());
            return Err((409, "adapter_in_use", message));
        }
        self.slots.retain(|slot| *slot.adapter != *adapter || slot.version != version);
        for id in in_flight {
            self.running.retain(|other| *other != id);
            self.waiting.retain(|other| *other != id);
            self.end_run(&id, RunEnd::Evicted);
            self.runs.remove(&id);
        }
        self.note_change();
        Ok(())
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn has_work(&self) -> bool {
        let held = |id: &str| {
            self.hold_at.is_some_and(|limit| self.runs[id].progress.borrow().generated >= limit)
        };
        !self.waiting.is_empty() && self.running.len() < self.settings.max_batch
            || self.running.iter().any(|id| !held(id))
    }

    /// Advances up to `max_batch` running requests by one token each.
    pub(crate) fn step(&mut self) {
        self.admit_waiting();
        let mut finished = Vec::new();
        let mut advanced = 0;
        for id in &self.running {
            let run = &self.runs[id];
            let generated = run.progress.borrow().generated;
            if self.hold_at.is_some_and(|limit| generated >= limit) {
                continue;
            }
            if generated < run.max_tokens {
                advanced += 1;
                run.progress.send_modify(|progress| progress.generated += 1);
                self.records[run.record].tokens_generated += 1;
            }
            if generated + 1 >= run.max_tokens {
                finished.push(id.clone());
            }
        }
        // A step that only admits requests to the batch is not a step of the model.
        self.steps += u64::from(advanced > 0);
        self.batched_tokens += advanced;
        for id in &finished {
            self.running.retain(|other| other != id);
            self.end_run(id, RunEnd::Finished);
        }
        if !finished.is_empty() {
            self.note_change();
        }
    }

    fn admit_waiting(&mut self) {
        if self.waiting.is_empty() || self.running.len() >= self.settings.max_batch {
            return;
        }
        let runs = &self.runs;
        self.waiting.sort_by_key(|id| {
            let run = &runs[id];
            (std::cmp::Reverse(run.priority), run.order)
        });
        let room = self.settings.max_batch - self.running.len();
        let admitted = self.waiting.drain(..room.min(self.waiting.len()));
        self.running.extend(admitted);
    }

    fn end_run(&mut self, id: &str, end: RunEnd) {
        let Some(run) = self.runs.get_mut(id).filter(|run| run.finished_at.is_none()) else {
            return;
        };
        let now = Instant::now();
        run.finished_at = Some(now);
        run.progress.send_modify(|progress| progress.end = Some(end));
        let record = &mut self.records[run.record];
        record.end = Some(now);
        record.ended = Some(end);
    }

    fn forget_finished(&mut self) {
        self.runs.retain(|_, run| run.finished_at.is_none_or(|at| at.elapsed() < FINISHED_KEPT));
        self.cancelled.retain(|_, at| at.elapsed() < FINISHED_KEPT);
    }

    /// Returns the report that the engine gives now, with its lag.
    pub(crate) fn report(&mut self) -> Report {
        let lag_ms = self.settings.report_lag_ms;
        let report = self.current_report();
        if lag_ms == 0 {
            return report;
        }
        self.reports.push(report, lag_ms);
        self.reports.delayed(lag_ms).expect("a report was just pushed")
    }

    /// Counts a change and, when reports lag, remembers the state for later reports.
    fn note_change(&mut self) {
        self.sequence += 1;
        let lag_ms = self.settings.report_lag_ms;
        if lag_ms > 0 {
            let report = self.current_report();
            self.reports.push(report, lag_ms);
        }
    }

    fn current_report(&self) -> Report {
        let active = || self.running.iter().chain(&self.waiting);
        let running_on = |slot: &Slot| {
            active()
                .filter(|id| {
                    let run = &self.runs[*id];
                    run.adapter == slot.adapter && run.version == slot.version
                })
                .count()
        };
        Report {
            boot_id: self.boot_id.clone(),
            sequence: self.sequence,
            running: self.running.len(),
            waiting: self.waiting.len(),
            leaving: self.leaving,
            slot_count: self.settings.slots,
            max_batch: self.settings.max_batch,
            steps: self.steps,
            batched_tokens: self.batched_tokens,
            slots: self
                .slots
                .iter()
                .filter(|slot| slot.ready)
                .map(|slot| SlotReport {
                    adapter: slot.adapter.clone(),
                    version: slot.version,
                    running: running_on(slot),
                })
                .collect(),
            requests: active().cloned().collect(),
        }
    }
}
