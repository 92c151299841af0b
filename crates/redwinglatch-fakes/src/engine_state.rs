//! State of a fake engine: adapter slots, runs, the batch and the records.

use std::collections::{HashMap, VecDeque};

use tokio::{
    sync::watch,
    time::{Duration, Instant},
};

use crate::{
    EngineSettings, Eviction, FencingMode, OrderKind, OrderRecord, RunEnd, RunRecord, StreamFault,
    prefix_cache::PrefixCache,
    prefix_hashes,
    report_log::{EngineReport, ReportLog, SlotReport},
    text::text_seed,
};

/// How long a finished stream can be resumed and a cancelled request id is rejected.
const FINISHED_RETENTION: Duration = Duration::from_secs(60);

/// Status, code and message of a rejected request.
pub(crate) type EngineRefusal = (u16, &'static str, String);

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunProgress {
    pub(crate) tokens: u32,
    pub(crate) end: Option<RunEnd>,
}

#[derive(Debug)]
struct Slot {
    adapter: Box<str>,
    version: u32,
    is_ready: bool,
}

#[derive(Debug)]
struct Run {
    adapter: Box<str>,
    version: u32,
    max_tokens: u32,
    priority: u8,
    arrival_number: u64,
    seed: u64,
    record_index: usize,
    finished_at: Option<Instant>,
    progress: watch::Sender<RunProgress>,
}

/// The JSON body of a completion request.
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

/// The data from which a stream's events are written.
#[derive(Debug)]
pub(crate) struct StreamSource {
    pub(crate) adapter: Box<str>,
    pub(crate) version: u32,
    pub(crate) seed: u64,
    pub(crate) record_index: usize,
    pub(crate) boot_id: Box<str>,
    pub(crate) progress: watch::Receiver<RunProgress>,
    pub(crate) fault: Option<(u32, StreamFault)>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) boot_id: Box<str>,
    pub(crate) is_leaving: bool,
    pub(crate) hold_at: Option<u32>,
    pub(crate) loads_to_fail: u32,
    pub(crate) injected_refusals: VecDeque<(u16, Box<str>, bool)>,
    pub(crate) reports_to_lose: u32,
    pub(crate) stream_faults: VecDeque<(u32, StreamFault)>,
    pub(crate) records: Vec<RunRecord>,
    pub(crate) evictions: Vec<Eviction>,
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) prefixes: PrefixCache,
    port: u16,
    boot_count: u32,
    highest_token: u64,
    slots: Vec<Slot>,
    runs: HashMap<Box<str>, Run>,
    cancelled: HashMap<Box<str>, Instant>,
    running: Vec<Box<str>>,
    waiting: Vec<Box<str>>,
    arrival_count: u64,
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
            is_leaving: false,
            hold_at: None,
            loads_to_fail: 0,
            injected_refusals: VecDeque::new(),
            reports_to_lose: 0,
            stream_faults: VecDeque::new(),
            records: Vec::new(),
            evictions: Vec::new(),
            orders: Vec::new(),
            prefixes,
            port,
            boot_count: 0,
            highest_token: 0,
            slots: Vec::new(),
            runs: HashMap::new(),
            cancelled: HashMap::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            arrival_count: 0,
            steps: 0,
            batched_tokens: 0,
            sequence: 0,
            reports: ReportLog::default(),
        };
        state.boot();
        state
    }

    /// Discards everything except the settings and the records, and starts with a new boot id.
    pub(crate) fn restart_cold(&mut self) {
        let active_ids: Vec<Box<str>> =
            self.running.drain(..).chain(self.waiting.drain(..)).collect();
        for id in active_ids {
            self.end_run(&id, RunEnd::Restarted);
        }
        self.runs.clear();
        self.cancelled.clear();
        self.slots.clear();
        self.highest_token = 0;
        self.steps = 0;
        self.batched_tokens = 0;
        self.sequence = 0;
        self.is_leaving = false;
        self.reports = ReportLog::default();
        self.prefixes = PrefixCache::new(self.settings.prefix_capacity);
        self.boot();
    }

    /// Sets the port, which is part of the boot id so that ids are unique among a test's engines.
    pub(crate) fn set_port(&mut self, port: u16) {
        self.port = port;
        self.boot_count = 0;
        self.boot();
    }

    fn boot(&mut self) {
        self.boot_count += 1;
        self.boot_id = format!("{}-{}", self.port, self.boot_count).into();
        self.record_change();
    }

    /// Adds a request to the queue.
    pub(crate) fn accept(&mut self, body: &CompletionBody) -> Result<StreamSource, EngineRefusal> {
        self.remove_expired();
        if body.model != self.settings.model {
            let message = format!("model {} is not served by this engine", body.model);
            return Err((404, "unknown_model", message));
        }
        if self.cancelled.contains_key(&body.request_id) {
            return Err((409, "cancelled", format!("request {} was cancelled", body.request_id)));
        }
        if !self.is_ready(&body.adapter, body.version) {
            let message = format!("adapter {}@{} is not loaded", body.adapter, body.version);
            return Err((409, "adapter_missing", message));
        }
        if self.waiting.len() >= self.settings.max_waiting {
            return Err((
                429,
                "queue_full",
                format!("the queue is full with {} requests", self.waiting.len()),
            ));
        }
        self.prefixes.store(&prefix_hashes(&body.prompt, &body.adapter, body.version));
        self.arrival_count += 1;
        let record = RunRecord {
            request_id: body.request_id.clone(),
            adapter: body.adapter.clone(),
            version: body.version,
            boot_id: self.boot_id.clone(),
            start: Instant::now(),
            end: None,
            end_reason: None,
            tokens_generated: 0,
            tokens_delivered: 0,
            resumes: 0,
        };
        let run = Run {
            adapter: body.adapter.clone(),
            version: body.version,
            max_tokens: body.max_tokens,
            priority: body.priority,
            arrival_number: self.arrival_count,
            seed: text_seed(&body.prompt, &body.adapter, body.version),
            record_index: self.records.len(),
            finished_at: None,
            progress: watch::Sender::new(RunProgress::default()),
        };
        self.records.push(record);
        self.runs.insert(body.request_id.clone(), run);
        self.waiting.push(body.request_id.clone());
        let mut source = self.stream_source(&body.request_id).expect("the run was just inserted");
        source.fault = self.stream_faults.pop_front();
        self.record_change();
        Ok(source)
    }

    /// Whether a run with this request id is queued, running, or finished and still retained.
    pub(crate) fn has_run(&self, request_id: &str) -> bool {
        self.runs.contains_key(request_id)
    }

    /// Returns the source of a stream to resume.
    pub(crate) fn resume(&mut self, request_id: &str) -> Option<StreamSource> {
        self.remove_expired();
        let mut source = self.stream_source(request_id)?;
        self.records[source.record_index].resumes += 1;
        source.fault = self.stream_faults.pop_front();
        Some(source)
    }

    fn stream_source(&self, request_id: &str) -> Option<StreamSource> {
        let run = self.runs.get(request_id)?;
        Some(StreamSource {
            adapter: run.adapter.clone(),
            version: run.version,
            seed: run.seed,
            record_index: run.record_index,
            boot_id: self.boot_id.clone(),
            progress: run.progress.subscribe(),
            fault: None,
        })
    }

    /// Cancels a request, rejects its id from now on, and returns the number of tokens generated.
    pub(crate) fn cancel(&mut self, request_id: &str) -> u32 {
        self.cancelled.insert(request_id.into(), Instant::now());
        self.running.retain(|id| **id != *request_id);
        self.waiting.retain(|id| **id != *request_id);
        self.end_run(request_id, RunEnd::Cancelled);
        self.record_change();
        self.runs.get(request_id).map_or(0, |run| run.progress.borrow().tokens)
    }

    /// Checks an order's fencing token and records the order.
    pub(crate) fn check_order(
        &mut self,
        kind: OrderKind,
        subject: &str,
        token: Option<u64>,
    ) -> Result<(), EngineRefusal> {
        let is_stale = token.is_none_or(|token| token < self.highest_token);
        let is_refused = is_stale && self.settings.fencing == FencingMode::Enforced;
        let at = Instant::now();
        self.orders.push(OrderRecord {
            kind,
            subject: subject.into(),
            at,
            token,
            is_stale,
            is_refused,
        });
        self.highest_token = self.highest_token.max(token.unwrap_or(0));
        if is_refused {
            let message =
                format!("fencing token {token:?} is missing or older than {}", self.highest_token);
            return Err((409, "stale_token", message));
        }
        Ok(())
    }

    /// Reserves a slot for an adapter. Returns `Ok(true)` if the caller has to load it, `Ok(false)`
    /// if it is loaded or another load is in progress.
    pub(crate) fn reserve_slot(
        &mut self,
        adapter: &str,
        version: u32,
    ) -> Result<bool, EngineRefusal> {
        if self.slots.iter().any(|slot| *slot.adapter == *adapter && slot.version == version) {
            return Ok(false);
        }
        if self.slots.len() >= self.settings.slots {
            return Err((507, "no_slot", format!("all {} slots are in use", self.slots.len())));
        }
        self.slots.push(Slot { adapter: adapter.into(), version, is_ready: false });
        Ok(true)
    }

    /// Completes a load: marks the adapter as ready, or frees its slot if the load failed.
    pub(crate) fn finish_load(&mut self, adapter: &str, version: u32, succeeded: bool) {
        let position =
            self.slots.iter().position(|slot| *slot.adapter == *adapter && slot.version == version);
        match position {
            Some(index) if succeeded => self.slots[index].is_ready = true,
            Some(index) => drop(self.slots.remove(index)),
            None => {}
        }
        self.record_change();
    }

    pub(crate) fn is_ready(&self, adapter: &str, version: u32) -> bool {
        self.slots
            .iter()
            .any(|slot| *slot.adapter == *adapter && slot.version == version && slot.is_ready)
    }

    pub(crate) fn is_reserved(&self, adapter: &str, version: u32) -> bool {
        self.slots.iter().any(|slot| *slot.adapter == *adapter && slot.version == version)
    }

    /// Unloads an adapter and records the requests that were using it.
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
        let is_refused = !in_flight.is_empty() && !self.settings.evicts_in_use;
        self.evictions.push(Eviction {
            adapter: adapter.into(),
            version,
            at: Instant::now(),
            token,
            in_flight: in_flight.clone(),
            is_refused,
        });
        if is_refused {
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
        self.record_change();
        Ok(())
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn has_work(&self) -> bool {
        let is_paused = |id: &str| {
            self.hold_at.is_some_and(|limit| self.runs[id].progress.borrow().tokens >= limit)
        };
        !self.waiting.is_empty() && self.running.len() < self.settings.max_batch
            || self.running.iter().any(|id| !is_paused(id))
    }

    /// Advances up to `max_batch` running requests by one token each.
    pub(crate) fn step(&mut self) {
        self.fill_batch();
        let mut finished = Vec::new();
        let mut advanced = 0;
        for id in &self.running {
            let run = &self.runs[id];
            let generated = run.progress.borrow().tokens;
            if self.hold_at.is_some_and(|limit| generated >= limit) {
                continue;
            }
            if generated < run.max_tokens {
                advanced += 1;
                run.progress.send_modify(|progress| progress.tokens += 1);
                self.records[run.record_index].tokens_generated += 1;
            }
            if generated + 1 >= run.max_tokens {
                finished.push(id.clone());
            }
        }
        // A step that only adds requests to the batch does not count as a model step.
        self.steps += u64::from(advanced > 0);
        self.batched_tokens += advanced;
        for id in &finished {
            self.running.retain(|other| other != id);
            self.end_run(id, RunEnd::Finished);
        }
        if !finished.is_empty() {
            self.record_change();
        }
    }

    fn fill_batch(&mut self) {
        if self.waiting.is_empty() || self.running.len() >= self.settings.max_batch {
            return;
        }
        let runs = &self.runs;
        self.waiting.sort_by_key(|id| {
            let run = &runs[id];
            (std::cmp::Reverse(run.priority), run.arrival_number)
        });
        let room = self.settings.max_batch - self.running.len();
        let joining = self.waiting.drain(..room.min(self.waiting.len()));
        self.running.extend(joining);
    }

    fn end_run(&mut self, id: &str, end: RunEnd) {
        let Some(run) = self.runs.get_mut(id).filter(|run| run.finished_at.is_none()) else {
            return;
        };
        let now = Instant::now();
        run.finished_at = Some(now);
        run.progress.send_modify(|progress| progress.end = Some(end));
        let record = &mut self.records[run.record_index];
        record.end = Some(now);
        record.end_reason = Some(end);
    }

    fn remove_expired(&mut self) {
        self.runs
            .retain(|_, run| run.finished_at.is_none_or(|at| at.elapsed() < FINISHED_RETENTION));
        self.cancelled.retain(|_, at| at.elapsed() < FINISHED_RETENTION);
    }

    /// Returns the current report, or an older one if reports lag.
    pub(crate) fn report(&mut self) -> EngineReport {
        let lag_ms = self.settings.report_lag_ms;
        let report = self.current_report();
        if lag_ms == 0 {
            return report;
        }
        self.reports.push(report, lag_ms);
        self.reports.delayed(lag_ms).expect("a report was just pushed")
    }

    /// Counts a state change and, if reports lag, saves the state for later reports.
    fn record_change(&mut self) {
        self.sequence += 1;
        let lag_ms = self.settings.report_lag_ms;
        if lag_ms > 0 {
            let report = self.current_report();
            self.reports.push(report, lag_ms);
        }
    }

    fn current_report(&self) -> EngineReport {
        let active_ids = || self.running.iter().chain(&self.waiting);
        let requests_on = |slot: &Slot| {
            active_ids()
                .filter(|id| {
                    let run = &self.runs[*id];
                    run.adapter == slot.adapter && run.version == slot.version
                })
                .count()
        };
        EngineReport {
            boot_id: self.boot_id.clone(),
            sequence: self.sequence,
            running: self.running.len(),
            waiting: self.waiting.len(),
            leaving: self.is_leaving,
            slot_count: self.settings.slots,
            max_batch: self.settings.max_batch,
            steps: self.steps,
            batched_tokens: self.batched_tokens,
            slots: self
                .slots
                .iter()
                .filter(|slot| slot.is_ready)
                .map(|slot| SlotReport {
                    adapter: slot.adapter.clone(),
                    version: slot.version,
                    running: requests_on(slot),
                })
                .collect(),
            requests: active_ids().cloned().collect(),
        }
    }
}
