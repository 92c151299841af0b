//! A model of an engine with continuous batching and few adapter slots.

use std::collections::VecDeque;

/// Time of a step without its requests.
const STEP_BASE_US: u64 = 12_000;
/// Time that each request in the batch adds to a step.
const STEP_REQUEST_US: u64 = 500;
/// Time that each distinct adapter in the batch adds to a step.
const STEP_ADAPTER_US: u64 = 500;
/// Time that the prompt of a new request adds to its first step.
const PROMPT_US: u64 = 6_000;

/// A slot of the modelled engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot {
    pub(crate) adapter: u32,
    pub(crate) ready: bool,
    pub(crate) used_us: u64,
    /// Since when the adapter is ready.
    pub(crate) ready_us: u64,
}

/// A request at the modelled engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) request: usize,
    pub(crate) adapter: u32,
    pub(crate) tokens_left: u32,
    pub(crate) started: bool,
    /// When it was sent to the engine.
    pub(crate) sent_us: u64,
}

/// A step that begins.
#[derive(Debug)]
pub(crate) struct StepBegin {
    pub(crate) took_us: u64,
    /// Requests that join the batch.
    pub(crate) joined: Vec<Running>,
}

/// The modelled engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) boot: u64,
    pub(crate) slot_count: usize,
    pub(crate) max_batch: usize,
    pub(crate) slots: Vec<Slot>,
    pub(crate) batch: Vec<Running>,
    pub(crate) queue: VecDeque<Running>,
    pub(crate) stepping: bool,
    pub(crate) steps: u64,
    pub(crate) batched_tokens: u64,
}

impl Engine {
    pub(crate) fn new(slot_count: usize, max_batch: usize) -> Engine {
        Engine {
            boot: 1,
            slot_count,
            max_batch,
            slots: Vec::new(),
            batch: Vec::new(),
            queue: VecDeque::new(),
            stepping: false,
            steps: 0,
            batched_tokens: 0,
        }
    }

    pub(crate) fn is_ready(&self, adapter: u32) -> bool {
        self.slots.iter().any(|it| it.adapter == adapter && it.ready)
    }

    pub(crate) fn in_use(&self, adapter: u32) -> bool {
        self.running(adapter) > 0
    }

    /// Requests on the adapter, in the batch or waiting for it.
    pub(crate) fn running(&self, adapter: u32) -> usize {
        self.batch.iter().chain(&self.queue).filter(|it| it.adapter == adapter).count()
    }

    pub(crate) fn load(&self) -> usize {
        self.batch.len() + self.queue.len()
    }

    /// Begins a step and returns its time, unless there is nothing to do.
    pub(crate) fn begin_step(&mut self) -> Option<StepBegin> {
        let mut joined = Vec::new();
        while self.batch.len() < self.max_batch
            && let Some(running) = self.queue.pop_front()
        {
            self.batch.push(running);
            joined.push(running);
        }
        self.stepping = !self.batch.is_empty();
        if !self.stepping {
            return None;
        }
        let mut adapters: Vec<u32> = self.batch.iter().map(|it| it.adapter).collect();
        adapters.sort_unstable();
        adapters.dedup();
        let took_us = STEP_BASE_US
            + STEP_REQUEST_US * self.batch.len() as u64
            + STEP_ADAPTER_US * adapters.len() as u64
            + PROMPT_US * joined.len() as u64;
        Some(StepBegin { took_us, joined })
    }

    /// Ends a step: each request in the batch gets a token. Returns the requests with their first
    /// token and those that ended.
    pub(crate) fn end_step(&mut self) -> (Vec<usize>, Vec<Running>) {
        self.steps += 1;
        self.batched_tokens += self.batch.len() as u64;
        let mut first = Vec::new();
        let mut ended = Vec::new();
        self.batch.retain_mut(|it| {
            if !std::mem::replace(&mut it.started, true) {
                first.push(it.request);
            }
            it.tokens_left -= 1;
            if it.tokens_left == 0 {
                ended.push(*it);
            }
            it.tokens_left > 0
        });
        (first, ended)
    }

    /// Restarts cold and returns the requests that were lost.
    pub(crate) fn restart(&mut self) -> Vec<Running> {
        self.boot += 1;
        self.slots.clear();
        self.batch.drain(..).chain(self.queue.drain(..)).collect()
    }
}
