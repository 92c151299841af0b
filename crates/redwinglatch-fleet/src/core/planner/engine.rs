//! What the coordinator knows of one engine.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::{
    EngineReport, LoadedAdapter, OrderKind,
    ids::ModelName,
    message::{Backend, ModelLocation, ModelLocationChange, PlaceRequest},
};

use super::{EngineLimits, PlannedOrder, UNKNOWN_PAUSE_MS};

/// How much a report may lag behind what the engine has answered to orders.
const REPORT_LAG_MS: u64 = 1_000;
/// Reports that fail in a row before an engine counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Prompt tokens that an engine reads per millisecond while it also generates.
const PROMPT_TOKENS_PER_MS: f64 = 18.0;
/// Prompt tokens that an engine may have to read at a time. An engine step reads them all, and an
/// event takes three steps, so the events of its streams come within 250 ms.
const MAX_UNREAD_TOKENS: u32 = 1_850;
/// A prompt counts as read after this much more than its usual time, also without a first event.
const READ_SLACK_MS: u64 = 400;
/// The part of an engine's memory that requests may take; cached prompts share it.
const MEMORY_SHARE: f64 = 0.92;
/// How long an engine usually takes at most to answer an order.
const USUAL_ANSWER_MS: u64 = 60;
/// How long a load takes the weight store's time if its engine doesn't tell when it ends.
const UNTOLD_LOAD_MS: u64 = 400;
/// How long other engines are preferred to one that left an order without an answer.
const SILENT_TO_ORDERS_MS: u64 = 1_000;
/// Adapters beyond those in place that an engine has at hand.
const MAX_DROPPED_LATELY: usize = 100;
/// Prompt parts that are remembered for each engine.
const MAX_KNOWN_PARTS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Ready,
    /// It is being loaded; the same order again tells whether the load is complete.
    Coming,
    /// It is being dropped, once no request uses it.
    Going,
}

/// What the engine has said to the order that began a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderState {
    /// Nothing yet, or it has refused it.
    Sent,
    /// The time for an answer has passed, so the engine may have accepted it or may do so later.
    Unanswered,
    /// It has accepted it.
    Accepted,
}

#[derive(Debug, Clone)]
pub(super) struct Holding {
    pub(super) version: u64,
    pub(super) phase: Phase,
    pub(super) order: OrderState,
    /// When the phase began.
    pub(super) since_ms: u64,
    /// When the order of the phase is sent again.
    pub(super) repeat_ms: u64,
    pub(super) used_ms: u64,
    /// Requests that were placed here and have not ended.
    pub(super) pins: u32,
    /// Whether a load takes it from the weight store, and not from the engine's own memory.
    pub(super) from_store: bool,
    /// Whether all orders of the phase were answered, so that the end of a load is known in time.
    pub(super) is_timed: bool,
}

impl Holding {
    pub(super) fn new(version: u64, phase: Phase, now_ms: u64) -> Holding {
        Holding {
            version,
            phase,
            order: OrderState::Accepted,
            since_ms: now_ms,
            repeat_ms: u64::MAX,
            used_ms: now_ms,
            pins: 0,
            from_store: false,
            is_timed: true,
        }
    }
}

/// A prompt that was sent to an engine and has brought no event yet.
#[derive(Debug)]
struct Reading {
    request: (u64, u64),
    tokens: u32,
    until_ms: u64,
}

/// The adapters that an engine dropped last.
#[derive(Debug, Default)]
struct RecentDrops {
    /// The oldest first; an adapter stands here once more for each further drop.
    order: VecDeque<ModelName>,
    /// How often each adapter stands in the order.
    counts: HashMap<ModelName, u32>,
}

impl RecentDrops {
    fn contains(&self, model: &str) -> bool {
        self.counts.contains_key(model)
    }

    fn add(&mut self, model: ModelName) {
        *self.counts.entry(model.clone()).or_default() += 1;
        self.order.push_back(model);
        while self.counts.len() > MAX_DROPPED_LATELY
            && let Some(oldest) = self.order.pop_front()
        {
            if let Some(count) = self.counts.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&oldest);
                }
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) backend: Backend,
    pub(super) limits: EngineLimits,
    /// The base models, once the engine has reported them.
    pub(super) models: Vec<ModelName>,
    /// Whether it loads or drops a base model.
    busy: bool,
    pub(super) holdings: HashMap<ModelName, Holding>,
    /// How many orders the engine has accepted, once it has reported that. Every order names this
    /// number, so the engine carries none out whose plan rests on an older state.
    sequence: Option<u64>,
    /// When the last order was counted; reports from before may not count it.
    sequence_since_ms: u64,
    /// Adapters that the engine dropped, the oldest first; it still has the newest of them.
    dropped_lately: RecentDrops,
    /// When the order was sent that has no answer yet.
    pub(super) order_sent_ms: Option<u64>,
    /// Until then the engine is taken for one that doesn't answer orders.
    silent_to_orders_until_ms: u64,
    pub(super) paused_until_ms: u64,
    pub(super) report_due_ms: u64,
    pub(super) report_in_flight: bool,
    pub(super) failed_reports: u32,
    /// Requests placed here that have not ended, and the tokens they may take.
    pub(super) placed: u32,
    pub(super) placed_tokens: u64,
    /// Prompts that the engine has not read yet.
    reading: Vec<Reading>,
    /// Prompt parts that the engine has read, by adapter.
    parts: HashSet<(ModelName, u64)>,
}

impl Engine {
    pub(super) fn new(backend: Backend, limits: EngineLimits, now_ms: u64) -> Engine {
        Engine {
            backend,
            limits,
            models: Vec::new(),
            busy: false,
            holdings: HashMap::new(),
            sequence: None,
            sequence_since_ms: 0,
            dropped_lately: RecentDrops::default(),
            order_sent_ms: None,
            silent_to_orders_until_ms: 0,
            paused_until_ms: 0,
            report_due_ms: now_ms,
            report_in_flight: false,
            failed_reports: 0,
            placed: 0,
            placed_tokens: 0,
            reading: Vec::new(),
            parts: HashSet::new(),
        }
    }

    pub(super) fn can_take_order(&self, now_ms: u64) -> bool {
        self.sequence.is_some() && self.order_sent_ms.is_none() && self.paused_until_ms <= now_ms
    }

    /// Whether it has reported that it neither holds nor loads a model.
    pub(super) fn is_empty(&self) -> bool {
        self.sequence.is_some() && self.models.is_empty() && !self.busy && self.holdings.is_empty()
    }

    /// An order had no answer.
    pub(super) fn order_unanswered(&mut self, now_ms: u64) {
        self.paused_until_ms = now_ms + UNKNOWN_PAUSE_MS;
        self.silent_to_orders_until_ms = now_ms + SILENT_TO_ORDERS_MS;
        self.report_due_ms = self.report_due_ms.min(now_ms);
    }

    /// Whether the engine leaves orders without an answer, so that loads are better ordered from
    /// others.
    pub(super) fn is_silent_to_orders(&self, now_ms: u64) -> bool {
        now_ms < self.silent_to_orders_until_ms
            || self.order_sent_ms.is_some_and(|sent_ms| sent_ms + USUAL_ANSWER_MS < now_ms)
    }

    /// An order that rests on what is known of the engine now.
    pub(super) fn order(&self, kind: OrderKind, model: ModelName) -> PlannedOrder {
        let expected_sequence = self.sequence.unwrap_or_default();
        PlannedOrder { engine: self.backend.key, kind, model, expected_sequence }
    }

    /// Counts an order that the engine has accepted.
    pub(super) fn count_accepted(&mut self, now_ms: u64, order: &PlannedOrder) {
        self.sequence = self.sequence.max(Some(order.expected_sequence + 1));
        self.sequence_since_ms = now_ms;
    }

    pub(super) fn takes_work(&self) -> bool {
        !self.backend.leaving && !self.is_silent()
    }

    pub(super) fn is_silent(&self) -> bool {
        self.failed_reports >= SILENT_AFTER_FAILURES
    }

    pub(super) fn coming(&self) -> usize {
        let coming = self.holdings.iter();
        coming.filter(|(model, held)| model.contains('/') && held.phase == Phase::Coming).count()
    }

    /// Loads that take the weight store's time. An order without an answer may not be one, and an
    /// engine that leaves orders without answers doesn't tell when a load ends.
    pub(super) fn coming_from_store(&self, now_ms: u64) -> usize {
        let is_silent = self.is_silent_to_orders(now_ms);
        let coming = |holding: &&Holding| {
            let may_have_ended = holding.since_ms + UNTOLD_LOAD_MS < now_ms;
            holding.phase == Phase::Coming
                && holding.from_store
                && (!is_silent || (holding.order == OrderState::Accepted && !may_have_ended))
        };
        self.holdings.values().filter(coming).count()
    }

    /// Whether the engine has the adapter at hand, so that it need not come from the store.
    pub(super) fn held_lately(&self, model: &str) -> bool {
        self.dropped_lately.contains(model)
    }

    /// Slots that are taken, also by loads and drops that have not ended.
    pub(super) fn taken_slots(&self) -> usize {
        self.holdings.keys().filter(|model| model.contains('/')).count()
    }

    /// How long a prompt that is sent now waits for the prompts before it.
    pub(super) fn backlog_ms(&self) -> f64 {
        f64::from(self.reading_tokens()) / PROMPT_TOKENS_PER_MS
    }

    fn reading_tokens(&self) -> u32 {
        self.reading.iter().map(|reading| reading.tokens).sum()
    }

    /// Whether a prompt can be sent now without delaying the events of other streams.
    pub(super) fn can_read(&self, request: &PlaceRequest) -> bool {
        let tokens = self.reading_tokens();
        tokens == 0 || tokens + self.unread_tokens(request) <= MAX_UNREAD_TOKENS
    }

    /// The first event of a request shows that its prompt was read.
    pub(super) fn has_read(&mut self, request: (u64, u64)) {
        self.reading.retain(|reading| reading.request != request);
    }

    /// Counts prompts as read whose first event is overdue.
    pub(super) fn end_old_reading(&mut self, now_ms: u64) {
        self.reading.retain(|reading| now_ms < reading.until_ms);
    }

    /// Whether the engine has a free place and memory for a request.
    pub(super) fn has_room(&self, request: &PlaceRequest) -> bool {
        let memory = (self.limits.cache_tokens as f64 * MEMORY_SHARE) as u64;
        self.placed < self.limits.slots
            && (self.placed == 0 || self.placed_tokens + request.tokens() <= memory)
    }

    /// Counts a request that is sent here.
    pub(super) fn place(&mut self, now_ms: u64, id: (u64, u64), request: &PlaceRequest) {
        let tokens = self.unread_tokens(request);
        let usual_ms = self.backlog_ms() + f64::from(tokens) / PROMPT_TOKENS_PER_MS;
        let until_ms = now_ms + usual_ms as u64 + READ_SLACK_MS;
        self.reading.push(Reading { request: id, tokens, until_ms });
        if self.parts.len() > MAX_KNOWN_PARTS {
            self.parts.clear();
        }
        for (part, _) in request.shared_parts() {
            self.parts.insert((request.model.clone(), *part));
        }
        self.placed += 1;
        self.placed_tokens += request.tokens();
        if let Some(holding) = self.holdings.get_mut(&request.model) {
            holding.pins += 1;
            holding.used_ms = now_ms;
        }
    }

    /// Counts the end of a request that was sent here.
    pub(super) fn release(&mut self, now_ms: u64, id: (u64, u64), model: &str, tokens: u64) {
        self.has_read(id);
        self.placed = self.placed.saturating_sub(1);
        self.placed_tokens = self.placed_tokens.saturating_sub(tokens);
        if let Some(holding) = self.holdings.get_mut(model) {
            holding.pins = holding.pins.saturating_sub(1);
            holding.used_ms = now_ms;
        }
    }

    /// Prompt tokens that the engine has not read yet.
    pub(super) fn unread_tokens(&self, request: &PlaceRequest) -> u32 {
        let known = request
            .shared_parts()
            .iter()
            .take_while(|(part, _)| self.parts.contains(&(request.model.clone(), *part)))
            .map(|(_, tokens)| *tokens)
            .sum::<u32>();
        request.prompt_tokens.saturating_sub(known)
    }

    /// Forgets an adapter and its prompts.
    pub(super) fn forget(&mut self, model: &str) {
        self.holdings.remove(model);
        self.dropped_lately.add(model.into());
        self.parts.retain(|(held, _)| **held != *model);
    }

    /// Corrects what is known of the engine by its report.
    ///
    /// A report lags. One that was made before the last accepted order says nothing new, and one
    /// that was made after orders of others shows all that they have changed.
    pub(super) fn take_report(
        &mut self,
        now_ms: u64,
        report: &EngineReport,
        changes: &mut Vec<ModelLocationChange>,
    ) {
        let made_ms = now_ms.saturating_sub(REPORT_LAG_MS);
        self.models = report.models.iter().map(|model| model.name.clone()).collect();
        let known = self.sequence;
        let is_old = known.is_some_and(|known| report.sequence < known);
        if is_old && made_ms < self.sequence_since_ms {
            return;
        }
        self.busy = report.busy;
        let has_changed = known != Some(report.sequence);
        self.sequence = Some(report.sequence);
        let reported = reported_models(report);
        let engine = self.backend.key;
        let order_in_flight = self.order_sent_ms.is_some();
        self.holdings.retain(|model, holding| {
            let listed = reported.contains_key(model)
                || report.loading.iter().any(|coming| coming.name == *model);
            let carried_out = match holding.phase {
                Phase::Coming => listed,
                Phase::Going => !listed && has_changed,
                Phase::Ready => false,
            };
            if carried_out {
                // The reported number counts the order of this phase already.
                holding.order = OrderState::Accepted;
            }
            let is_recent = made_ms < holding.since_ms && (order_in_flight || !has_changed);
            // An engine lists a base model only once it is in place.
            let is_base_coming =
                report.busy && holding.phase == Phase::Coming && !model.contains('/');
            if listed || is_recent || is_base_coming {
                return true;
            }
            if holding.phase == Phase::Ready {
                changes.push(ModelLocationChange::Removed { engine, model: model.clone() });
            }
            // A load that the engine has lost sight of is asked for again while requests wait.
            false
        });
        for coming in &report.loading {
            self.holdings.entry(coming.name.clone()).or_insert_with(|| {
                let holding = Holding::new(0, Phase::Coming, now_ms);
                Holding { repeat_ms: now_ms, ..holding }
            });
        }
        for (model, version) in reported {
            let coming = report.loading.iter().any(|coming| coming.name == model);
            self.take_reported(now_ms, (model, version), coming, changes);
        }
    }

    fn take_reported(
        &mut self,
        now_ms: u64,
        (model, version): (ModelName, u64),
        coming: bool,
        changes: &mut Vec<ModelLocationChange>,
    ) {
        let made_ms = now_ms.saturating_sub(REPORT_LAG_MS);
        let is_new = !self.holdings.contains_key(&model);
        let order_in_flight = self.order_sent_ms.is_some();
        let holding = self
            .holdings
            .entry(model.clone())
            .or_insert_with(|| Holding::new(version, Phase::Ready, now_ms));
        let corrects = match holding.phase {
            Phase::Ready => holding.since_ms < made_ms && holding.version != version,
            // The report was made after the load was accepted.
            Phase::Coming => !coming && !order_in_flight,
            Phase::Going => false,
        };
        if is_new || corrects {
            holding.phase = Phase::Ready;
            holding.version = version;
            let engine = self.backend.key;
            changes.push(ModelLocationChange::Added(ModelLocation { engine, model, version }));
        }
    }
}

fn reported_models(report: &EngineReport) -> HashMap<ModelName, u64> {
    let mut reported = HashMap::new();
    for model in &report.models {
        reported.insert(model.name.clone(), 0);
        for LoadedAdapter { name, version } in &model.adapters {
            reported.insert(format!("{}/{name}", model.name).into(), *version);
        }
    }
    reported
}
