//! Orders loads and drops of adapters.

use std::collections::HashSet;

use crate::{
    OrderKind,
    core::orders::OrderOutcome,
    ids::{BackendKey, ModelName, rendezvous_weight},
    message::{ModelLocation, ModelLocationChange},
};

use super::{
    CONFIRM_INTERVAL_MS, CONFLICT_PAUSE_MS, COPY_WAIT_MS, Copies, DROP_INTERVAL_MS,
    HOME_LOAD_SLACK, MAX_COMING, PlannedOrder, Planner, RECENT_USE_MS, REFUSED_PAUSE_MS, RELOAD_MS,
    STORE_LOAD_MS, Step, UNKNOWN_PAUSE_MS,
    engine::{Engine, Holding, OrderState, Phase},
};

impl Planner {
    /// Takes the answer to an order.
    pub(in crate::core) fn order_done(
        &mut self,
        now_ms: u64,
        order: &PlannedOrder,
        outcome: OrderOutcome,
    ) {
        self.holders.invalidate();
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        engine.order_sent_ms = None;
        let Some(holding) = engine.holdings.get_mut(&order.model) else { return };
        // An order that is sent again counts once, and so does an adapter that is in place.
        let is_counted = match (outcome, order.kind) {
            (OrderOutcome::Accepted, _) | (OrderOutcome::Holds, OrderKind::Unload) => {
                holding.order != OrderState::Accepted
            }
            (OrderOutcome::Holds, OrderKind::Load) => holding.order == OrderState::Unanswered,
            _ => false,
        };
        match (outcome, order.kind) {
            (OrderOutcome::Accepted, OrderKind::Load) if !order.model.contains('/') => {
                // The report tells when a base model is in place.
                holding.order = OrderState::Accepted;
                holding.repeat_ms = u64::MAX;
            }
            (OrderOutcome::Accepted, OrderKind::Load) => {
                holding.order = OrderState::Accepted;
                let age_ms = now_ms.saturating_sub(holding.since_ms);
                holding.repeat_ms = if age_ms < RELOAD_MS {
                    holding.since_ms + RELOAD_MS
                } else {
                    (holding.since_ms + STORE_LOAD_MS).max(now_ms + CONFIRM_INTERVAL_MS)
                };
            }
            (OrderOutcome::Holds, OrderKind::Load) => {
                if holding.phase == Phase::Coming && holding.from_store && holding.is_timed {
                    self.store.load_took(now_ms.saturating_sub(holding.since_ms));
                }
                holding.phase = Phase::Ready;
                holding.order = OrderState::Accepted;
                holding.since_ms = now_ms;
                self.changes.push(ModelLocationChange::Added(ModelLocation {
                    engine: order.engine,
                    model: order.model.clone(),
                    version: holding.version,
                }));
            }
            (OrderOutcome::Accepted, OrderKind::Unload) => {
                holding.order = OrderState::Accepted;
                holding.repeat_ms = now_ms + DROP_INTERVAL_MS;
            }
            (OrderOutcome::Holds, OrderKind::Unload) => engine.forget(&order.model),
            (OrderOutcome::Unknown, _) => {
                if holding.order == OrderState::Sent {
                    holding.order = OrderState::Unanswered;
                }
                holding.is_timed = false;
                holding.repeat_ms = now_ms + UNKNOWN_PAUSE_MS;
                engine.order_unanswered(now_ms);
            }
            (OrderOutcome::Conflict, _) => {
                // The engine has accepted orders that are not known here; its report counts them.
                holding.is_timed = false;
                holding.repeat_ms = now_ms + CONFLICT_PAUSE_MS;
                engine.paused_until_ms = now_ms + CONFLICT_PAUSE_MS;
                engine.report_due_ms = engine.report_due_ms.min(now_ms);
            }
            (OrderOutcome::Fenced | OrderOutcome::Refused, kind) => {
                engine.paused_until_ms = now_ms + REFUSED_PAUSE_MS;
                holding.repeat_ms = now_ms + REFUSED_PAUSE_MS;
                let may_come = holding.order != OrderState::Sent;
                if kind == OrderKind::Load && !may_come {
                    engine.holdings.remove(&order.model);
                }
            }
        }
        if is_counted {
            engine.count_accepted(now_ms, order);
        }
    }

    /// Adds an order to the plan and counts it as sent.
    pub(super) fn give(
        &mut self,
        now_ms: u64,
        orders: &mut Vec<PlannedOrder>,
        order: PlannedOrder,
    ) {
        self.holders.invalidate();
        let Some(engine) = self.engines.get_mut(&order.engine) else { return };
        engine.order_sent_ms = Some(now_ms);
        let phase = match order.kind {
            OrderKind::Load => Phase::Coming,
            OrderKind::Unload => Phase::Going,
        };
        let is_base = !order.model.contains('/');
        let from_store = !is_base && !engine.held_lately(&order.model);
        let newest = self.versions.get(&order.model).copied().unwrap_or_default().max(1);
        let is_new = !engine.holdings.contains_key(&order.model);
        let holding = engine
            .holdings
            .entry(order.model.clone())
            .or_insert_with(|| Holding::new(0, phase, now_ms));
        holding.repeat_ms = u64::MAX;
        if is_new || holding.phase != phase {
            if holding.phase == Phase::Ready {
                let model = order.model.clone();
                self.changes.push(ModelLocationChange::Removed { engine: order.engine, model });
            }
            holding.phase = phase;
            holding.order = OrderState::Sent;
            holding.is_timed = true;
            holding.since_ms = now_ms;
            if phase == Phase::Coming {
                holding.from_store = from_store;
                holding.version = newest;
                if from_store {
                    self.store.load_started();
                }
            }
        }
        orders.push(order);
    }

    /// Sends orders again whose end is to be expected.
    pub(super) fn repeat_orders(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        let due: Vec<PlannedOrder> = self
            .engines
            .values()
            .filter(|engine| engine.can_take_order(now_ms))
            .filter_map(|engine| {
                let (model, holding) = engine
                    .holdings
                    .iter()
                    .filter(|(model, holding)| {
                        // A load that is sent again would fetch the newest version beside this
                        // one; a report tells when this one is in place.
                        let is_old = holding.phase == Phase::Coming
                            && holding.version < self.newest_version(model);
                        holding.phase != Phase::Ready && holding.repeat_ms <= now_ms && !is_old
                    })
                    .min_by_key(|(_, holding)| holding.repeat_ms)?;
                let kind = match holding.phase {
                    Phase::Going => OrderKind::Unload,
                    Phase::Ready | Phase::Coming => OrderKind::Load,
                };
                Some(engine.order(kind, model.clone()))
            })
            .collect();
        for order in due {
            self.give(now_ms, orders, order);
        }
    }

    /// Drops older versions that no request uses.
    ///
    /// The newest version is loaded where the old one isn't in place: a load beside the old version
    /// would take a second slot for as long as the old one has requests.
    pub(super) fn drop_old_versions(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        let mut due: Vec<PlannedOrder> = Vec::new();
        for (model, newest) in &self.versions {
            for (key, engine, holding) in self.holders.of(&self.engines, model) {
                let is_unused_old = holding.phase == Phase::Ready
                    && holding.version < *newest
                    && holding.pins == 0
                    && !self.reported_use.is_used(key, model);
                let is_planned = due.iter().any(|order| order.engine == key);
                if is_unused_old && engine.can_take_order(now_ms) && !is_planned {
                    due.push(engine.order(OrderKind::Unload, model.clone()));
                }
            }
        }
        for order in due {
            self.give(now_ms, orders, order);
        }
    }

    /// Loads adapters that requests wait for, the most urgent first.
    pub(super) fn load_for_waiting(&mut self, now_ms: u64, orders: &mut Vec<PlannedOrder>) {
        let mut seen: HashSet<ModelName> = HashSet::new();
        let mut missing = Vec::new();
        let mut crowded = Vec::new();
        for waiting in &self.waiting {
            let model = &waiting.request.model;
            if !seen.insert(model.clone()) {
                continue;
            }
            match self.copies(now_ms, model) {
                Copies::None => missing.push(model.clone()),
                Copies::Ready { since_ms } => {
                    if waiting.received_ms.max(since_ms) + COPY_WAIT_MS <= now_ms {
                        crowded.push(model.clone());
                    }
                }
                Copies::Coming => {}
            }
        }
        // A first copy serves requests that can't be served otherwise.
        for model in missing.into_iter().chain(crowded) {
            if let Some(order) = self.next_order_for(now_ms, &model, &seen) {
                self.give(now_ms, orders, order);
            }
        }
    }

    /// Whether engines that take work hold an adapter or load it.
    pub(super) fn copies(&self, now_ms: u64, model: &str) -> Copies {
        let newest = self.newest_version(model);
        let mut copies = Copies::None;
        let holders = self.holders.of(&self.engines, model);
        for (_, engine, holding) in holders.filter(|(_, engine, _)| engine.takes_work()) {
            match (holding.phase, &copies) {
                _ if holding.version < newest => {}
                (Phase::Coming, _)
                    if holding.order != OrderState::Accepted
                        && engine.is_silent_to_orders(now_ms) => {}
                (Phase::Coming, _) => return Copies::Coming,
                (Phase::Ready, Copies::Ready { since_ms }) if *since_ms > holding.since_ms => {}
                (Phase::Ready, _) => copies = Copies::Ready { since_ms: holding.since_ms },
                (Phase::Going, _) => {}
            }
        }
        copies
    }

    /// The next order on the way to a copy of `model`: a load, or a drop that makes room for it.
    ///
    /// An engine that held the adapter lately is preferred, because its load doesn't take the
    /// weight store's time; the others follow in the order of the adapter's preference.
    /// Adapters in `wanted` make no room.
    pub(super) fn next_order_for(
        &self,
        now_ms: u64,
        model: &str,
        wanted: &HashSet<ModelName>,
    ) -> Option<PlannedOrder> {
        let base = model.split('/').next().unwrap_or(model);
        let mut preferred: Vec<(bool, u64, BackendKey, u32)> = self
            .engines
            .iter()
            .filter(|(_, engine)| {
                engine.takes_work()
                    && !engine.is_silent_to_orders(now_ms)
                    && engine.models.iter().any(|held| **held == *base)
                    && !engine.holdings.contains_key(model)
            })
            .map(|(key, engine)| {
                (engine.held_lately(model), rendezvous_weight(model, *key), *key, engine.placed)
            })
            .collect();
        preferred.sort_unstable_by_key(|(lately, preference, ..)| {
            std::cmp::Reverse((*lately, *preference))
        });
        let least = preferred.iter().map(|(.., placed)| *placed).min()?;
        let store_is_free = self.store.has_room();
        preferred
            .iter()
            .filter(|(lately, _, _, placed)| {
                *placed <= least + HOME_LOAD_SLACK && (*lately || store_is_free)
            })
            .find_map(|(_, _, key, _)| match self.step_towards(now_ms, *key, model, wanted) {
                Step::Order(order) => Some(Some(order)),
                // The engine can take the adapter in a moment.
                Step::Wait => Some(None),
                Step::Full => None,
            })
            .flatten()
    }

    fn step_towards(
        &self,
        now_ms: u64,
        key: BackendKey,
        model: &str,
        wanted: &HashSet<ModelName>,
    ) -> Step {
        let Some(engine) = self.engines.get(&key) else { return Step::Full };
        let kind = if engine.taken_slots() < engine.limits.adapter_slots {
            if engine.coming() >= MAX_COMING {
                return Step::Wait;
            }
            OrderKind::Load
        } else if engine.holdings.values().any(|holding| holding.phase == Phase::Going) {
            return Step::Wait;
        } else {
            OrderKind::Unload
        };
        let model = match kind {
            OrderKind::Load => Some(ModelName::from(model)),
            OrderKind::Unload => self.victim(now_ms, key, engine, wanted),
        };
        match model {
            Some(model) if engine.can_take_order(now_ms) => Step::Order(engine.order(kind, model)),
            Some(_) => Step::Wait,
            None => Step::Full,
        }
    }

    /// The adapter that makes room for another one.
    pub(super) fn victim(
        &self,
        now_ms: u64,
        key: BackendKey,
        engine: &Engine,
        wanted: &HashSet<ModelName>,
    ) -> Option<ModelName> {
        let unused = engine.holdings.iter().filter(|(held, holding)| {
            held.contains('/')
                && holding.phase == Phase::Ready
                && holding.pins == 0
                && holding.used_ms + RECENT_USE_MS <= now_ms
                && !self.reported_use.is_used(key, held)
                && !wanted.contains(*held)
        });
        unused
            .min_by_key(|(held, holding)| (holding.used_ms, (*held).clone()))
            .map(|(held, _)| held.clone())
    }
}
