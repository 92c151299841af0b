//! Places requests on engines that have their adapter loaded.

use std::collections::{HashMap, HashSet};

use crate::{
    ids::{BackendKey, SoftwareVersion},
    message::{PlaceReply, PlaceRequest, RefusalCause},
};

use super::{
    AddressedPlaceReply, CopyStatus, EXPECTED_ADAPTERS_PER_STORE_LOAD, LOAD_RETRY_MARGIN_MS,
    PIN_EXPIRY_SLACK_MS, Pin, Planner, RETRY_AFTER_RANGE_MS, RETURN_SLACK_MS,
    demand::{AdapterDemand, load_order},
    engine::Engine,
    held_parts::SharedParts,
    prompt_reuse::CandidateLoad,
    prompts::PROMPT_TOKENS_PER_MS,
    waiting_request::WaitingRequest,
};

/// An engine that can take a request, with the version of the adapter on it.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) key: BackendKey,
    engine: &'a Engine,
    version: u64,
}

/// Returns whether the parts that an engine holds count in its estimate, given the candidate with the shortest
/// wait.
pub(super) fn counts_parts(
    key: BackendKey,
    engine: &Engine,
    shortest: &Candidate<'_>,
    load: &CandidateLoad,
) -> bool {
    key == shortest.key || load.allows(engine.placed_requests)
}

fn saturate(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

impl Planner {
    /// Places waiting requests on engines that have their adapter loaded, the most urgent first,
    /// and refuses those that have timed out.
    pub(super) fn place_waiting(&mut self, now_ms: u64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|waiting| waiting.rank(now_ms));
        // If the most urgent request for an adapter can't be placed, the others can't either, unless they may go to
        // engines that it must not go to again.
        let mut blocked: HashSet<(u64, Vec<BackendKey>)> = HashSet::new();
        waiting.retain(|waiting| {
            let for_all = (waiting.model_hash, Vec::new());
            let for_its_engines = (waiting.model_hash, waiting.request.excluded_engines.clone());
            let is_blocked = blocked.contains(&for_all) || blocked.contains(&for_its_engines);
            if is_blocked && !waiting.has_timed_out(now_ms) {
                return true;
            }
            let is_done = self.try_place(now_ms, waiting);
            if !is_done {
                blocked.insert(for_its_engines);
            }
            !is_done
        });
        self.waiting = waiting;
    }

    /// Places a request, or refuses it if it has timed out; returns whether it no longer waits.
    pub(super) fn try_place(&mut self, now_ms: u64, waiting: &WaitingRequest) -> bool {
        let request = &waiting.request;
        let id = (waiting.entry, waiting.id);
        let best = self.immediate_placement(now_ms, request, waiting.software);
        if let Some((key, version)) = best
            && let Some(engine) = self.engines.get_mut(&key)
            && self.grants.take(now_ms, key).is_ok()
        {
            let pace = engine.relative_pace(now_ms, self.usual_ms_per_token);
            if engine.is_slow_for_streams(pace) {
                self.slow_placements.record(now_ms, &request.model);
            }
            engine.add_request(now_ms, id, request);
            let pin = Pin {
                engine: key,
                model: request.model.clone(),
                tokens: request.tokens(),
                expires_ms: now_ms
                    .saturating_add(request.remaining_ms)
                    .saturating_add(PIN_EXPIRY_SLACK_MS),
            };
            self.pins.insert(id, pin);
            self.summary.count_placed();
            self.push_reply(waiting, PlaceReply::Placed { engine: key, version });
            return true;
        }
        if waiting.has_timed_out(now_ms) {
            self.refuse(now_ms, waiting);
            return true;
        }
        false
    }

    /// Returns the engine that a request is sent to at once, and the version of the adapter on it.
    pub(super) fn immediate_placement(
        &self,
        now_ms: u64,
        request: &PlaceRequest,
        software: Option<SoftwareVersion>,
    ) -> Option<(BackendKey, Option<u64>)> {
        self.best_engine(now_ms, request, software)
            .filter(|(key, _)| self.can_prefill(now_ms, request, &self.engines[key]))
    }

    pub(super) fn push_reply(&mut self, waiting: &WaitingRequest, reply: PlaceReply) {
        if matches!(reply, PlaceReply::RefusedFor { .. }) {
            self.summary.count_refused();
        }
        self.replies.push(AddressedPlaceReply { entry: waiting.entry, id: waiting.id, reply });
    }

    /// Refuses a request for which no engine was found in time.
    fn refuse(&mut self, now_ms: u64, waiting: &WaitingRequest) {
        let cause = self.timeout_cause(now_ms, waiting);
        let retry_after_ms = fastrand::u64(RETRY_AFTER_RANGE_MS);
        self.push_reply(waiting, PlaceReply::RefusedFor { retry_after_ms, cause });
    }

    /// Returns whether no engine can hold the adapter of a request beside its base model.
    pub(super) fn is_too_large(&self, request: &PlaceRequest) -> bool {
        let service = self.services.get(&request.service);
        service.is_some_and(|service| service.memory.is_too_large(&request.model))
    }

    /// Refuses a request whose adapter no engine can hold, from an entry process that doesn't have this configuration.
    pub(super) fn refuse_too_large(&mut self, waiting: &WaitingRequest) {
        let cause = RefusalCause::NotLoadedInTime {
            loads_in_flight: saturate(self.store.in_flight()),
            load_limit: 0,
        };
        let retry_after_ms = fastrand::u64(RETRY_AFTER_RANGE_MS);
        self.push_reply(waiting, PlaceReply::RefusedFor { retry_after_ms, cause });
    }

    /// Returns why no engine was found in time for a request.
    pub(super) fn timeout_cause(&self, now_ms: u64, waiting: &WaitingRequest) -> RefusalCause {
        let model = &waiting.request.model;
        match self.copy_status(now_ms, model, waiting.software) {
            CopyStatus::Loaded { .. } => {
                let engines = self.model_index.engines_with(&self.engines, model).count();
                let waiting = self.waiting.len();
                RefusalCause::EnginesBusy { engines: saturate(engines), waiting: saturate(waiting) }
            }
            CopyStatus::None | CopyStatus::Loading => RefusalCause::NotLoadedInTime {
                loads_in_flight: saturate(self.store.in_flight()),
                load_limit: self.store.limit() as u32,
            },
        }
    }

    /// Refuses the requests whose adapter can't be loaded before their callers leave, and returns the
    /// adapters of the others in the order in which they are loaded.
    ///
    /// Answers the load at which more adapters are requested than the store delivers: what can't be
    /// served is rejected at once with the time at which the adapter will be loaded, and the adapter
    /// is loaded for the caller's return.
    pub(super) fn refuse_unservable(&mut self, now_ms: u64) -> Vec<(AdapterDemand, CopyStatus)> {
        let (kept, completions) = self.load_schedule(now_ms, &self.waiting);
        let waiting = std::mem::take(&mut self.waiting);
        for mut waiting in waiting {
            match completions.get(&waiting.model_hash) {
                Some(completion_ms)
                    if *completion_ms > waiting.last_start_ms && !waiting.is_admitted =>
                {
                    self.refuse_until_loaded(now_ms, *completion_ms, &waiting);
                }
                _ => {
                    waiting.is_admitted = true;
                    self.waiting.push(waiting);
                }
            }
        }
        kept
    }

    /// Returns the adapters of waiting requests that are loaded in time, in the order in which they are loaded,
    /// and the times at which those without a copy could be loaded.
    pub(super) fn load_schedule<'a>(
        &self,
        now_ms: u64,
        waiting: impl IntoIterator<Item = &'a WaitingRequest>,
    ) -> (Vec<(AdapterDemand, CopyStatus)>, HashMap<u64, u64>) {
        let orders_from_ms = self.earliest_order_ms.saturating_sub(now_ms);
        let mut loads_ahead = 0;
        let mut completions: HashMap<u64, u64> = HashMap::new();
        let mut kept = Vec::new();
        for demand in load_order(now_ms, waiting) {
            let status = self.copy_status(now_ms, &demand.model, demand.software);
            if status == CopyStatus::None {
                let completion_ms = now_ms + orders_from_ms + self.store.completion_ms(loads_ahead);
                completions.insert(demand.model_hash, completion_ms);
                if completion_ms > demand.last_start_ms && !demand.is_admitted {
                    continue;
                }
                loads_ahead += 1;
            }
            kept.push((demand, status));
        }
        (kept, completions)
    }

    /// Refuses a request with the time at which its adapter will be loaded.
    fn refuse_until_loaded(&mut self, now_ms: u64, completion_ms: u64, waiting: &WaitingRequest) {
        let retry_after_ms =
            completion_ms.saturating_sub(now_ms) + fastrand::u64(LOAD_RETRY_MARGIN_MS);
        log::debug!(
            "coordinator: a request for {} is refused; the adapter can be loaded in {} ms",
            waiting.request.model,
            completion_ms.saturating_sub(now_ms),
        );
        let max_expected = (self.store.limit() * EXPECTED_ADAPTERS_PER_STORE_LOAD) as usize;
        let has_room = self.expected.len() < max_expected
            || self.expected.contains_key(&waiting.request.model);
        if has_room && waiting.software.is_none() {
            let until_ms = now_ms + retry_after_ms + RETURN_SLACK_MS;
            self.expected.insert(waiting.request.model.clone(), until_ms);
        }
        let cause = self.load_too_late(now_ms, completion_ms, waiting);
        self.push_reply(waiting, PlaceReply::RefusedFor { retry_after_ms, cause });
    }

    pub(super) fn load_too_late(
        &self,
        now_ms: u64,
        completion_ms: u64,
        waiting: &WaitingRequest,
    ) -> RefusalCause {
        RefusalCause::LoadTooLate {
            load_ms: completion_ms.saturating_sub(now_ms),
            patience_ms: waiting.last_start_ms.saturating_sub(now_ms),
            loads_in_flight: saturate(self.store.in_flight()),
            load_limit: self.store.limit() as u32,
        }
    }

    /// Returns the engine, and the version of the adapter on it, that can start the request first.
    pub(super) fn best_engine(
        &self,
        now_ms: u64,
        request: &PlaceRequest,
        software: Option<SoftwareVersion>,
    ) -> Option<(BackendKey, Option<u64>)> {
        let (shortest, load) = self.shortest_wait(now_ms, request, software)?;
        let best = if self.reuses_prompts {
            self.earliest_start(now_ms, request, software, shortest, &load)
        } else {
            shortest
        };
        let version = self.versions.get(&request.model).map(|_| best.version);
        Some((best.key, version))
    }

    /// Returns the candidate with the shortest wait, and the load of all candidates.
    pub(super) fn shortest_wait<'a>(
        &'a self,
        now_ms: u64,
        request: &'a PlaceRequest,
        software: Option<SoftwareVersion>,
    ) -> Option<(Candidate<'a>, CandidateLoad)> {
        let mut load = CandidateLoad::default();
        let candidates = self.candidates(now_ms, request, software).map(|candidate| {
            load.add(candidate.engine.placed_requests);
            (self.start_cost_ms(now_ms, request, candidate.engine), candidate)
        });
        let (_, shortest) = candidates.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some((shortest, load))
    }

    /// Returns the candidate with the earliest first event, given the one with the shortest wait.
    ///
    /// The parts that an engine holds count only while its load is near the mean. For the engine with the
    /// shortest wait they always count, so that the estimate of the choice is never above that engine's. If the
    /// choice can't read the prompt now, the request goes where it would go without regard to parts.
    fn earliest_start<'a>(
        &'a self,
        now_ms: u64,
        request: &'a PlaceRequest,
        software: Option<SoftwareVersion>,
        shortest: Candidate<'a>,
        load: &CandidateLoad,
    ) -> Candidate<'a> {
        let shared = SharedParts::of(request);
        let none = SharedParts::default();
        let estimate_ms = |candidate: &Candidate<'_>| {
            let counts_parts = counts_parts(candidate.key, candidate.engine, &shortest, load);
            let parts = if counts_parts { &shared } else { &none };
            let engine = candidate.engine;
            let pace = self.pace_of(now_ms, engine);
            engine.first_event_estimate(now_ms, request, parts).total_ms() * pace
                + engine.delay_cost_ms(request, pace)
        };
        let estimates = self
            .candidates(now_ms, request, software)
            .map(|candidate| (estimate_ms(&candidate), candidate));
        let earliest = estimates.min_by(|left, right| left.0.total_cmp(&right.0));
        match earliest {
            Some((_, earliest)) if self.can_prefill(now_ms, request, earliest.engine) => earliest,
            _ => shortest,
        }
    }

    /// Returns the cost of a request at an engine without regard to the parts that it holds: the time that the
    /// engine needs for what it has to do, and the delay of its other streams.
    pub(super) fn start_cost_ms(
        &self,
        now_ms: u64,
        request: &PlaceRequest,
        engine: &Engine,
    ) -> f64 {
        let pace = self.pace_of(now_ms, engine);
        let prompt_ms = f64::from(request.prompt_tokens) / PROMPT_TOKENS_PER_MS;
        let work_ms = engine.prefill_backlog_ms() + engine.batch_cost_ms() + prompt_ms;
        work_ms * pace + engine.delay_cost_ms(request, pace)
    }

    /// Returns the time that an engine needs for its work, relative to the usual one.
    pub(super) fn pace_of(&self, now_ms: u64, engine: &Engine) -> f64 {
        engine.relative_pace(now_ms, self.usual_ms_per_token)
    }

    /// Returns whether a prompt can be sent to an engine now without delaying the events of other streams.
    pub(super) fn can_prefill(&self, now_ms: u64, request: &PlaceRequest, engine: &Engine) -> bool {
        engine.can_prefill(now_ms, request, self.pace_of(now_ms, engine))
    }

    /// Returns the engines that can take a request now.
    fn candidates<'a>(
        &'a self,
        now_ms: u64,
        request: &'a PlaceRequest,
        software: Option<SoftwareVersion>,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let newest = self.versions.get(&request.model).copied();
        let locations = self.model_index.engines_with(&self.engines, &request.model);
        locations.filter_map(move |(key, engine, model_state)| {
            let obstacle = self.obstacle(now_ms, request, software, newest, (engine, model_state));
            obstacle.is_none().then_some(Candidate { key, engine, version: model_state.version })
        })
    }
}
