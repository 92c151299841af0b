//! Simulation of an engine with continuous batching and few adapter slots.

use std::collections::VecDeque;

/// Duration of a step without the time that its requests add.
const STEP_BASE_US: u64 = 12_000;
/// Time that each request in the batch adds to a step.
const STEP_REQUEST_US: u64 = 500;
/// Time that each distinct adapter in the batch adds to a step.
const STEP_ADAPTER_US: u64 = 500;
/// Time that the prompt of a new request adds to its first step.
const PROMPT_US: u64 = 6_000;

/// An adapter slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot {
    pub(crate) adapter: u32,
    pub(crate) is_ready: bool,
    pub(crate) last_used_us: u64,
    /// When the adapter became ready.
    pub(crate) ready_since_us: u64,
}

/// A request on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineRequest {
    pub(crate) request: usize,
    pub(crate) adapter: u32,
    pub(crate) tokens_remaining: u32,
    pub(crate) has_started: bool,
    /// When the request was sent to the engine.
    pub(crate) sent_us: u64,
}

/// A step that starts.
#[derive(Debug)]
pub(crate) struct StepStart {
    pub(crate) duration_us: u64,
    /// Requests that were added to the batch.
    pub(crate) added: Vec<EngineRequest>,
}

/// An engine of the simulation.
#[derive(Debug)]
pub(crate) struct SimulatedEngine {
    pub(crate) boot_number: u64,
    pub(crate) slot_count: usize,
    pub(crate) max_batch: usize,
    pub(crate) slots: Vec<Slot>,
    pub(crate) batch: Vec<EngineRequest>,
    pub(crate) queue: VecDeque<EngineRequest>,
    pub(crate) is_stepping: bool,
    pub(crate) steps: u64,
    pub(crate) batched_tokens: u64,
}

impl SimulatedEngine {
    pub(crate) fn new(slot_count: usize, max_batch: usize) -> SimulatedEngine {
        SimulatedEngine {
            boot_number: 1,
            slot_count,
            max_batch,
            slots: Vec::new(),
            batch: Vec::new(),
            queue: VecDeque::new(),
            is_stepping: false,
            steps: 0,
            batched_tokens: 0,
        }
    }

    pub(crate) fn is_ready(&self, adapter: u32) -> bool {
        self.slots.iter().any(|it| it.adapter == adapter && it.is_ready)
    }

    pub(crate) fn is_in_use(&self, adapter: u32) -> bool {
        self.requests_on(adapter) > 0
    }

    /// Returns the number of requests for the adapter, in the batch or in the queue.
    pub(crate) fn requests_on(&self, adapter: u32) -> usize {
        self.batch.iter().chain(&self.queue).filter(|it| it.adapter == adapter).count()
    }

    pub(crate) fn request_count(&self) -> usize {
        self.batch.len() + self.queue.len()
    }

    /// Starts a step and returns its duration and new requests, or `None` if there are no requests.
    pub(crate) fn begin_step(&mut self) -> Option<StepStart> {
        let mut added = Vec::new();
        while self.batch.len() < self.max_batch
            && let Some(running) = self.queue.pop_front()
        {
            self.batch.push(running);
            added.push(running);
        }
        self.is_stepping = !self.batch.is_empty();
        if !self.is_stepping {
            return None;
        }
        let mut adapters: Vec<u32> = self.batch.iter().map(|it| it.adapter).collect();
        adapters.sort_unstable();
        adapters.dedup();
        let duration_us = STEP_BASE_US
            + STEP_REQUEST_US * self.batch.len() as u64
            + STEP_ADAPTER_US * adapters.len() as u64
            + PROMPT_US * added.len() as u64;
        Some(StepStart { duration_us, added })
    }

    /// Ends a step, in which each request in the batch gets a token. Returns the requests that got
    /// their first token and those that finished.
    pub(crate) fn end_step(&mut self) -> (Vec<usize>, Vec<EngineRequest>) {
        self.steps += 1;
        self.batched_tokens += self.batch.len() as u64;
        let mut with_first_token = Vec::new();
        let mut finished = Vec::new();
        self.batch.retain_mut(|it| {
            if !std::mem::replace(&mut it.has_started, true) {
                with_first_token.push(it.request);
            }
            it.tokens_remaining -= 1;
            if it.tokens_remaining == 0 {
                finished.push(*it);
            }
            it.tokens_remaining > 0
        });
        (with_first_token, finished)
    }

    /// Simulates a cold restart and returns the requests that were lost.
    pub(crate) fn restart(&mut self) -> Vec<EngineRequest> {
        self.boot_number += 1;
        self.slots.clear();
        self.batch.drain(..).chain(self.queue.drain(..)).collect()
    }
}
