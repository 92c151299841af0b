//! The prompts of an engine's requests: those that it has not read yet, and the parts that it holds.

use crate::message::PlaceRequest;

use super::{
    FULL_BATCH_COST_MS, Planner,
    engine::Engine,
    held_parts::{HeldParts, SharedParts},
    prompt_reuse::{EngineLoad, FirstEventEstimate, PromptNeed, estimate_first_event},
};

/// Prompt tokens that an engine processes per millisecond while it also generates.
pub(super) const PROMPT_TOKENS_PER_MS: f64 = 18.0;
/// Maximum prompt tokens queued for prefill on an engine. An engine step processes them all, and an
/// event takes three steps, so the events of its streams arrive within 250 ms.
const MAX_PREFILL_TOKENS: f64 = 1_850.0;
/// Time for which reading a prompt may stop the events of other streams without making them late, and time
/// from which on they are late.
const SAFE_STOP_MS: f64 = 120.0;
const LATE_STOP_MS: f64 = 220.0;
/// Cost of a stream that becomes late.
const LATE_STREAM_COST_MS: f64 = 40.0;
/// Pace up to which prompts of the usual size don't make streams late.
const MAX_STREAM_PACE: f64 = 1.25;
/// Time after the estimated end of a prefill at which the prompt counts as processed even without a
/// first event.
const PREFILL_SLACK_MS: u64 = 400;
/// Share of an engine's KV cache that requests may reserve; cached prompts use the same memory.
const CACHE_SHARE: f64 = 0.92;
/// Cached prompt parts that are remembered for each engine.
const MAX_CACHED_PARTS: usize = 4_096;

/// A prompt that was sent to an engine and has not produced an event yet.
#[derive(Debug)]
pub(super) struct Prefill {
    request: (u64, u64),
    tokens: u32,
    /// The tokens of the prompt and of those before it.
    tokens_to_read: u64,
    sent_ms: u64,
    until_ms: u64,
}

impl Engine {
    /// Returns how long a prompt that is sent now waits for the prompts before it.
    pub(super) fn prefill_backlog_ms(&self) -> f64 {
        self.prefill_tokens() as f64 / PROMPT_TOKENS_PER_MS
    }

    /// Returns the cost of the running batch.
    pub(super) fn batch_cost_ms(&self) -> f64 {
        self.fill() * FULL_BATCH_COST_MS
    }

    pub(super) fn prefill_tokens(&self) -> u64 {
        self.prefills.iter().map(|prefill| u64::from(prefill.tokens)).sum()
    }

    /// Returns whether a prompt can be sent now without delaying the events of other streams; `pace` is the
    /// time that the engine needs, relative to the usual one.
    pub(super) fn can_prefill(&self, now_ms: u64, request: &PlaceRequest, pace: f64) -> bool {
        let tokens = self.prefill_tokens();
        let max_tokens = (MAX_PREFILL_TOKENS / pace.max(1.0)) as u64;
        let unread_tokens = u64::from(self.uncached_tokens(now_ms, request));
        tokens == 0 || tokens + unread_tokens <= max_tokens
    }

    /// Returns the cost of the delay that the prompt of a request brings to the streams in progress.
    ///
    /// Answers large prompts on engines with many streams: the events of all of these stop while the prompt
    /// is read, and the streams are late if that takes longer than their gap objective.
    pub(super) fn delay_cost_ms(&self, request: &PlaceRequest, pace: f64) -> f64 {
        let tokens = self.prefill_tokens() + u64::from(request.prompt_tokens);
        let stop_ms = tokens as f64 / PROMPT_TOKENS_PER_MS * pace;
        let risk = ((stop_ms - SAFE_STOP_MS) / (LATE_STOP_MS - SAFE_STOP_MS)).clamp(0.0, 1.0);
        f64::from(self.placed_requests) * risk * LATE_STREAM_COST_MS
    }

    /// Returns whether prompts are likely to delay the streams in progress because the engine is slow.
    pub(super) fn is_slow_for_streams(&self, pace: f64) -> bool {
        pace > MAX_STREAM_PACE && self.placed_requests > 0
    }

    /// Returns the time that the engine needs for its work, relative to the usual one.
    pub(super) fn relative_pace(&self, now_ms: u64, usual_ms_per_token: Option<f64>) -> f64 {
        self.pace.relative(now_ms, usual_ms_per_token)
    }

    /// Records the first event of a request, which shows that its prompt was processed.
    fn record_first_event(
        &mut self,
        now_ms: u64,
        request: (u64, u64),
        usual_ms_per_token: Option<f64>,
    ) {
        if let Some(prefill) = self.prefills.iter().find(|prefill| prefill.request == request) {
            let elapsed_ms = now_ms.saturating_sub(prefill.sent_ms);
            self.pace.record(now_ms, elapsed_ms, prefill.tokens_to_read, usual_ms_per_token);
        }
        self.prefill_finished(request);
    }

    /// Removes the prompt of a request; its first event shows that the prompt was processed.
    pub(super) fn prefill_finished(&mut self, request: (u64, u64)) {
        self.prefills.retain(|prefill| prefill.request != request);
        if let Some(held_parts) = &mut self.held_parts {
            held_parts.read(request);
        }
    }

    /// Counts prompts whose first event is overdue as processed.
    pub(super) fn expire_prefills(&mut self, now_ms: u64) {
        self.prefills.retain(|prefill| now_ms < prefill.until_ms);
    }

    /// Returns whether the engine has a free request slot and memory for a request.
    pub(super) fn has_capacity(&self, request: &PlaceRequest) -> bool {
        let max_tokens = (self.limits.cache_tokens as f64 * CACHE_SHARE) as u64;
        self.placed_requests < self.limits.slots
            && (self.placed_requests == 0 || self.placed_tokens + request.tokens() <= max_tokens)
    }

    /// Counts a request that is sent to the engine.
    pub(super) fn add_request(&mut self, now_ms: u64, id: (u64, u64), request: &PlaceRequest) {
        let tokens = self.uncached_tokens(now_ms, request);
        let expected_ms = self.prefill_backlog_ms() + f64::from(tokens) / PROMPT_TOKENS_PER_MS;
        let until_ms = now_ms.saturating_add(expected_ms as u64).saturating_add(PREFILL_SLACK_MS);
        let tokens_to_read = self.prefill_tokens() + u64::from(tokens);
        self.prefills.push(Prefill {
            request: id,
            tokens,
            tokens_to_read,
            sent_ms: now_ms,
            until_ms,
        });
        if let Some(held_parts) = &mut self.held_parts {
            let read_by_ms = now_ms.saturating_add(expected_ms as u64);
            held_parts.begin(now_ms, id, request, read_by_ms, self.limits.cache_tokens);
        } else {
            if self.cached_parts.len() > MAX_CACHED_PARTS {
                self.cached_parts.clear();
            }
            for (part, _) in request.shared_parts() {
                self.cached_parts.insert((request.model.clone(), *part));
            }
        }
        self.placed_requests += 1;
        self.placed_tokens += request.tokens();
        if let Some(model_state) = self.models.get_mut(&request.model) {
            model_state.pins += 1;
            model_state.last_used_ms = now_ms;
        }
    }

    /// Counts the end of a request that was sent to the engine.
    pub(super) fn remove_request(&mut self, now_ms: u64, id: (u64, u64), model: &str, tokens: u64) {
        self.prefills.retain(|prefill| prefill.request != id);
        if let Some(held_parts) = &mut self.held_parts {
            held_parts.end(now_ms, id, self.limits.cache_tokens);
        }
        self.placed_requests = self.placed_requests.saturating_sub(1);
        self.placed_tokens = self.placed_tokens.saturating_sub(tokens);
        if let Some(model_state) = self.models.get_mut(model) {
            model_state.pins = model_state.pins.saturating_sub(1);
            model_state.last_used_ms = now_ms;
        }
    }

    /// Returns the prompt tokens of a request that the engine has not processed yet.
    pub(super) fn uncached_tokens(&self, now_ms: u64, request: &PlaceRequest) -> u32 {
        if let Some(held_parts) = &self.held_parts {
            let expected = held_parts.expected_tokens(now_ms, &SharedParts::of(request));
            return request.prompt_tokens.saturating_sub(expected as u32);
        }
        let cached_tokens = request
            .shared_parts()
            .iter()
            .take_while(|(part, _)| self.cached_parts.contains(&(request.model.clone(), *part)))
            .fold(0u32, |sum, (_, tokens)| sum.saturating_add(*tokens));
        request.prompt_tokens.saturating_sub(cached_tokens)
    }

    /// Sets whether placement takes the parts into account that the engine holds.
    pub(super) fn with_prompt_reuse(mut self, is_on: bool) -> Engine {
        self.held_parts = is_on.then(HeldParts::default);
        self
    }

    /// Estimates the time to the first event of a request that is placed now.
    pub(super) fn first_event_estimate(
        &self,
        now_ms: u64,
        request: &PlaceRequest,
        shared: &SharedParts,
    ) -> FirstEventEstimate {
        let memory = self.held_parts.as_ref().map(HeldParts::memory).unwrap_or_default();
        let load = EngineLoad {
            queued_tokens: self.prefill_tokens(),
            running: self.placed_requests,
            slots: self.limits.slots,
            in_use_tokens: memory.in_use,
            idle_tokens: memory.idle,
            idle_shared_tokens: memory.idle_shared,
            cache_tokens: self.limits.cache_tokens,
        };
        let held_tokens = self
            .held_parts
            .as_ref()
            .map_or(0.0, |held_parts| held_parts.expected_tokens(now_ms, shared));
        let need = PromptNeed {
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            held_tokens,
        };
        estimate_first_event(&load, &need)
    }
}

impl Planner {
    /// Sets whether requests prefer engines that hold parts of their prompts; called before the engines are known.
    pub(in crate::core) fn set_prompt_reuse(&mut self, is_on: bool) {
        self.reuses_prompts = is_on;
    }
    /// Records that the first event of a request has arrived.
    pub(in crate::core) fn first_event(&mut self, now_ms: u64, entry: u64, id: u64) {
        let usual_ms_per_token = self.usual_ms_per_token;
        let engine = self.pins.get(&(entry, id)).map(|pin| pin.engine);
        if let Some(engine) = engine.and_then(|key| self.engines.get_mut(&key)) {
            engine.record_first_event(now_ms, (entry, id), usual_ms_per_token);
        }
    }
}
