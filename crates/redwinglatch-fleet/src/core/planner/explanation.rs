//! Explains where a request would be placed now, without placing it.

use std::ops::RangeInclusive;

use serde::{Serialize, Serializer};

use crate::{
    ids::{BackendKey, SoftwareVersion},
    message::{PlaceRequest, RefusalCause},
};

use super::{
    CopyStatus, LOAD_RETRY_MARGIN_MS, Planner, RETRY_AFTER_RANGE_MS,
    engine::{Engine, ModelPhase, ModelState},
    held_parts::SharedParts,
    placing::counts_parts,
    prompt_reuse::FirstEventEstimate,
    waiting_request::WaitingRequest,
};

/// Engines that an explanation lists, so that the answer of a large fleet stays within 100 kB.
const MAX_ENGINES: usize = 256;

/// Why an engine can't take a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Obstacle {
    /// The model or adapter is not loaded.
    NotLoaded,
    /// A newer version of the model or adapter is in force.
    OldVersion,
    /// The engine belongs to another service.
    OtherService,
    /// The request goes on at another software version.
    OtherSoftware,
    Leaving,
    /// The engine doesn't answer report requests.
    Unresponsive,
    /// The base model is being replaced.
    UpdatesBaseModel,
    /// The request must not go there again.
    Excluded,
    /// All request slots or the memory are taken.
    Full,
    /// The engine falls over when it must reject requests, and has no room.
    NoRoom,
    /// The request limit that the engine has named is used up.
    Limited,
}

/// Where a request would be placed now, and why.
#[derive(Debug, Clone, Serialize)]
pub(in crate::core) struct PlacementExplanation {
    pub(super) decision: Decision,
    /// Whether prompt parts that engines hold count.
    prompt_reuse: bool,
    /// Requests that wait, and those among them that come before this one.
    waiting: usize,
    waiting_before: usize,
    loads_in_flight: usize,
    load_limit: u32,
    /// The engines of the service: first those that can take the request, then those that have the adapter.
    pub(super) engines: Vec<EngineExplanation>,
    /// Engines that are left out of the list.
    engines_omitted: usize,
}

/// What becomes of a request that arrives now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub(super) enum Decision {
    Placed {
        engine: Box<str>,
        #[serde(skip)]
        key: BackendKey,
        version: Option<u64>,
    },
    /// The request waits, at most until it is refused for this cause.
    Waits {
        reason: WaitReason,
        refused_after_ms: u64,
        #[serde(serialize_with = "as_text")]
        cause: RefusalCause,
    },
    Refused {
        #[serde(serialize_with = "as_text")]
        cause: RefusalCause,
        /// Range of the time after which the caller may retry.
        retry_after_ms: (u64, u64),
    },
    /// The coordinator knows no engine of the service, so it doesn't reply and entry processes choose.
    LeftToEntryProcesses,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub(super) enum WaitReason {
    /// Requests for the model or adapter that are at least as urgent wait already.
    RequestsAhead { requests: usize },
    /// The engines with the adapter have as many unread prompt tokens as keep their streams steady.
    PromptsQueued,
    /// No engine with the adapter can take a request.
    EnginesBusy,
    /// The adapter is being loaded.
    Loading,
    /// The adapter must be loaded, which may be complete by then.
    LoadNeeded { loaded_in_ms: u64 },
}

/// The state of an engine, as far as it matters to a request.
#[derive(Debug, Clone, Serialize)]
pub(super) struct EngineExplanation {
    pub(super) engine: Box<str>,
    #[serde(skip)]
    pub(super) is_known: bool,
    /// State of the adapter: `loaded`, `loading`, `unloading`, `in_own_memory` or `absent`.
    pub(super) adapter: &'static str,
    /// `None` if the engine can take the request.
    pub(super) obstacle: Option<Obstacle>,
    /// Whether the engine can read the prompt without delaying the events of other streams.
    pub(super) can_prefill: bool,
    pub(super) placed_requests: u32,
    pub(super) slots: u32,
    pub(super) placed_tokens: u64,
    pub(super) cache_tokens: u64,
    pub(super) queued_prompt_tokens: u64,
    pub(super) report_age_ms: Option<u64>,
    /// Prompt tokens that the engine is expected to hold.
    pub(super) held_prompt_tokens: f64,
    /// Whether these count in the estimate.
    pub(super) counts_parts: bool,
    /// The time that the engine needs for its work, relative to the usual one.
    pub(super) pace: f64,
    /// The cost by queued prompts, the running batch, the prompt and the delay of other streams at the engine's
    /// pace, which decides without `prompt_reuse`.
    pub(super) wait_ms: f64,
    pub(super) estimate: EstimateExplanation,
}

/// A [`FirstEventEstimate`] in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct EstimateExplanation {
    queue_ms: f64,
    prompt_ms: f64,
    batch_ms: f64,
    memory_ms: f64,
    total_ms: f64,
}

impl From<FirstEventEstimate> for EstimateExplanation {
    fn from(estimate: FirstEventEstimate) -> EstimateExplanation {
        EstimateExplanation {
            queue_ms: rounded(estimate.queue_ms),
            prompt_ms: rounded(estimate.prompt_ms),
            batch_ms: rounded(estimate.batch_ms),
            memory_ms: rounded(estimate.memory_ms),
            total_ms: rounded(estimate.total_ms()),
        }
    }
}

fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn as_text<S: Serializer>(cause: &RefusalCause, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(cause)
}

fn refused(cause: RefusalCause, retry_after_ms: RangeInclusive<u64>) -> Decision {
    Decision::Refused { cause, retry_after_ms: retry_after_ms.into_inner() }
}

impl Planner {
    /// Explains where a request that arrives now would be placed, by the functions that place requests.
    pub(in crate::core) fn explain(
        &self,
        now_ms: u64,
        request: PlaceRequest,
    ) -> PlacementExplanation {
        // No waiting request belongs to this entry process; the request gets no place among them.
        let new = WaitingRequest::new(now_ms, u64::MAX, u64::MAX, request, None);
        let decision = self.decision(now_ms, &new);
        let rank = new.rank(now_ms);
        let before = self.waiting.iter().filter(|waiting| waiting.rank(now_ms) <= rank);
        let (engines, engines_omitted) = self.explain_engines(now_ms, &new.request);
        PlacementExplanation {
            decision,
            prompt_reuse: self.reuses_prompts,
            waiting: self.waiting.len(),
            waiting_before: before.count(),
            loads_in_flight: self.store.in_flight(),
            load_limit: self.store.limit() as u32,
            engines,
            engines_omitted,
        }
    }

    /// Follows [`Planner::place`] and the placement pass after it.
    fn decision(&self, now_ms: u64, new: &WaitingRequest) -> Decision {
        let request = &new.request;
        if self.knows_no_engine(now_ms, &request.service) {
            return Decision::LeftToEntryProcesses;
        }
        if let Some(ms) = self.quarantine_ms(now_ms, request) {
            return refused(RefusalCause::Quarantined, ms..=ms);
        }
        // The most urgent request for a model or adapter is tried first, and the others only after it.
        let rank = new.rank(now_ms);
        let is_ahead = |waiting: &&WaitingRequest| {
            waiting.model_hash == new.model_hash && waiting.rank(now_ms) <= rank
        };
        let ahead = self.waiting.iter().filter(is_ahead).count();
        let placement = self.immediate_placement(now_ms, request, new.software);
        if let Some((key, version)) = placement.filter(|_| ahead == 0) {
            let engine = self.engines[&key].backend.id.clone();
            return Decision::Placed { engine, key, version };
        }
        let timeout_cause = self.timeout_cause(now_ms, new);
        if new.has_timed_out(now_ms) {
            return refused(
                timeout_cause,
                RETRY_AFTER_RANGE_MS.start..=RETRY_AFTER_RANGE_MS.end - 1,
            );
        }
        if let Some((retry_after_ms, cause)) = self.limit_refusal(now_ms, new) {
            return refused(cause, retry_after_ms);
        }
        let (_, completions) =
            self.load_schedule(now_ms, self.waiting.iter().chain(std::iter::once(new)));
        let completion_ms = completions.get(&new.model_hash).copied();
        if let Some(completion_ms) = completion_ms.filter(|at_ms| *at_ms > new.last_start_ms) {
            let load_ms = completion_ms.saturating_sub(now_ms);
            let range =
                load_ms + LOAD_RETRY_MARGIN_MS.start..=load_ms + LOAD_RETRY_MARGIN_MS.end - 1;
            return refused(self.load_too_late(now_ms, completion_ms, new), range);
        }
        let reason = match self.copy_status(now_ms, &request.model, new.software) {
            _ if ahead > 0 => WaitReason::RequestsAhead { requests: ahead },
            CopyStatus::Loading => WaitReason::Loading,
            CopyStatus::None => WaitReason::LoadNeeded {
                loaded_in_ms: completion_ms.unwrap_or(now_ms).saturating_sub(now_ms),
            },
            CopyStatus::Loaded { .. } => match self.best_engine(now_ms, request, new.software) {
                Some(_) => WaitReason::PromptsQueued,
                None => WaitReason::EnginesBusy,
            },
        };
        let refused_after_ms = new.last_start_ms.saturating_sub(now_ms);
        Decision::Waits { reason, refused_after_ms, cause: timeout_cause }
    }

    /// Returns why an engine that has the model can't take a request now.
    pub(super) fn obstacle(
        &self,
        now_ms: u64,
        request: &PlaceRequest,
        software: Option<SoftwareVersion>,
        newest: Option<u64>,
        (engine, model_state): (&Engine, &ModelState),
    ) -> Option<Obstacle> {
        let key = engine.backend.key;
        if model_state.phase != ModelPhase::Loaded {
            Some(Obstacle::NotLoaded)
        } else if newest.is_some_and(|newest| model_state.version < newest) {
            Some(Obstacle::OldVersion)
        } else if *engine.backend.service != *request.service {
            Some(Obstacle::OtherService)
        } else if !engine.has_software(software) {
            Some(Obstacle::OtherSoftware)
        } else if !engine.is_available() {
            Some(unavailability(engine))
        } else if request.excluded_engines.contains(&key) {
            Some(Obstacle::Excluded)
        } else if !engine.has_capacity(request) {
            Some(Obstacle::Full)
        } else if !self.has_room(now_ms, engine) {
            Some(Obstacle::NoRoom)
        } else if !self.grants.may_take(now_ms, key) {
            Some(Obstacle::Limited)
        } else {
            None
        }
    }

    fn explain_engines(
        &self,
        now_ms: u64,
        request: &PlaceRequest,
    ) -> (Vec<EngineExplanation>, usize) {
        let newest = self.versions.get(&request.model).copied();
        let shared = SharedParts::of(request);
        let shortest = self.shortest_wait(now_ms, request, None);
        let of_service =
            self.engines.values().filter(|engine| engine.backend.service == request.service);
        let explain = |engine: &Engine| {
            let model_state = engine.models.get(&request.model);
            let obstacle = match model_state {
                Some(model_state) => {
                    self.obstacle(now_ms, request, None, newest, (engine, model_state))
                }
                None if engine.is_available() => Some(Obstacle::NotLoaded),
                None => Some(unavailability(engine)),
            };
            let counts_parts = self.reuses_prompts
                && shortest.as_ref().is_none_or(|(shortest, load)| {
                    counts_parts(engine.backend.key, engine, shortest, load)
                });
            let none = SharedParts::default();
            let counted = if counts_parts { &shared } else { &none };
            let held_tokens = match &engine.held_parts {
                Some(held_parts) => held_parts.expected_tokens(now_ms, &shared),
                None => {
                    let uncached_tokens = engine.uncached_tokens(now_ms, request);
                    f64::from(request.prompt_tokens.saturating_sub(uncached_tokens))
                }
            };
            EngineExplanation {
                engine: engine.backend.id.clone(),
                is_known: model_state.is_some(),
                adapter: match model_state.map(|model_state| model_state.phase) {
                    Some(ModelPhase::Loaded) => "loaded",
                    Some(ModelPhase::Loading) => "loading",
                    Some(ModelPhase::Unloading) => "unloading",
                    None if engine.was_recently_unloaded(&request.model) => "in_own_memory",
                    None => "absent",
                },
                obstacle,
                can_prefill: self.can_prefill(now_ms, request, engine),
                placed_requests: engine.placed_requests,
                slots: engine.limits.slots,
                placed_tokens: engine.placed_tokens,
                cache_tokens: engine.limits.cache_tokens,
                queued_prompt_tokens: engine.prefill_tokens(),
                report_age_ms: engine.reported_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
                held_prompt_tokens: rounded(held_tokens),
                counts_parts,
                pace: rounded(self.pace_of(now_ms, engine)),
                wait_ms: rounded(self.start_cost_ms(now_ms, request, engine)),
                estimate: engine.first_event_estimate(now_ms, request, counted).into(),
            }
        };
        let mut engines: Vec<EngineExplanation> = of_service.map(explain).collect();
        engines.sort_by(|left, right| {
            let group = |engine: &EngineExplanation| (engine.obstacle.is_some(), !engine.is_known);
            let cost = |engine: &EngineExplanation| {
                if self.reuses_prompts { engine.estimate.total_ms } else { engine.wait_ms }
            };
            group(left).cmp(&group(right)).then(cost(left).total_cmp(&cost(right)))
        });
        let omitted = engines.len().saturating_sub(MAX_ENGINES);
        engines.truncate(MAX_ENGINES);
        (engines, omitted)
    }
}

fn unavailability(engine: &Engine) -> Obstacle {
    if engine.is_leaving() {
        Obstacle::Leaving
    } else if engine.is_unresponsive() {
        Obstacle::Unresponsive
    } else {
        Obstacle::UpdatesBaseModel
    }
}
