//! A simulated engine.

use std::collections::HashMap;

use crate::{
    EngineReport, LoadedAdapter, LoadedModel, OrderKind,
    core::{orders::OrderOutcome, planner::PlannedOrder},
    ids::ModelName,
};

/// Duration of an adapter load.
pub(super) const LOAD_MS: u64 = 250;
/// Duration of a base model load.
pub(super) const BASE_LOAD_MS: u64 = 1_500;
/// Lag of the reports.
pub(super) const LAG_MS: u64 = 200;

/// A simulated engine that carries out orders.
#[derive(Default)]
pub(super) struct FakeEngine {
    /// Time at which the load of each adapter completes.
    pub(super) adapters: HashMap<ModelName, u64>,
    /// Time at which the load of the base model completes; 0 for an engine that starts with it,
    /// `u64::MAX` if it is not loaded.
    pub(super) base_ready_ms: u64,
    pub(super) base_loads_ms: Vec<u64>,
    pub(super) base_version: u64,
    /// The version of the base model that the weight store has.
    pub(super) newest_base_version: u64,
    /// The engine reports a copy of the base model on its own disk.
    pub(super) has_own_copy: bool,
    pub(super) sequence: u64,
    /// Reports, the oldest first, with the time from which each is current.
    pub(super) states: Vec<(u64, EngineReport)>,
    pub(super) most_adapters: usize,
    pub(super) loads: usize,
}

impl FakeEngine {
    pub(super) fn carry_out(&mut self, now_ms: u64, order: &PlannedOrder) -> OrderOutcome {
        if order.expected_sequence != self.sequence {
            return OrderOutcome::Conflict;
        }
        if *order.model == *"m" {
            return self.carry_out_for_base(now_ms, order.kind);
        }
        if now_ms < self.base_ready_ms {
            return OrderOutcome::Refused;
        }
        match order.kind {
            OrderKind::Unload => {
                self.sequence += u64::from(self.adapters.remove(&order.model).is_some());
                OrderOutcome::InEffect
            }
            OrderKind::Load => {
                let ready_ms = self.adapters.get(&order.model).copied().unwrap_or_else(|| {
                    self.loads += 1;
                    self.sequence += 1;
                    self.adapters.insert(order.model.clone(), now_ms + LOAD_MS);
                    now_ms + LOAD_MS
                });
                self.most_adapters = self.most_adapters.max(self.adapters.len());
                if ready_ms <= now_ms { OrderOutcome::InEffect } else { OrderOutcome::Accepted }
            }
        }
    }

    /// Carries out an order for the base model; unloading it drops its adapters.
    fn carry_out_for_base(&mut self, now_ms: u64, kind: OrderKind) -> OrderOutcome {
        let is_loaded = self.base_ready_ms <= now_ms;
        let is_loading = !is_loaded && self.base_ready_ms != u64::MAX;
        match kind {
            OrderKind::Load if is_loaded => return OrderOutcome::InEffect,
            OrderKind::Unload if !is_loaded && !is_loading => return OrderOutcome::InEffect,
            _ if is_loading => return OrderOutcome::Conflict,
            OrderKind::Load => {
                self.base_ready_ms = now_ms + BASE_LOAD_MS;
                self.base_loads_ms.push(now_ms);
                self.base_version = self.newest_base_version;
            }
            OrderKind::Unload => {
                self.base_ready_ms = u64::MAX;
                self.adapters.clear();
            }
        }
        self.sequence += 1;
        OrderOutcome::Accepted
    }

    /// Returns the report of `LAG_MS` ago.
    pub(super) fn report(&mut self, now_ms: u64) -> EngineReport {
        let (loaded, loading): (Vec<_>, Vec<_>) =
            self.adapters.iter().partition(|(_, ready_ms)| **ready_ms <= now_ms);
        let adapters = loaded.into_iter().map(|(model, _)| LoadedAdapter {
            name: model.split_once('/').expect("an adapter").1.into(),
            version: 1,
        });
        let base = LoadedModel {
            name: "m".into(),
            version: self.base_version,
            adapters: adapters.collect(),
        };
        let has_base = self.base_ready_ms <= now_ms;
        let models = if has_base { vec![base] } else { Vec::new() };
        let busy = !has_base && self.base_ready_ms != u64::MAX;
        let loading = loading
            .into_iter()
            .map(|(model, _)| LoadedAdapter { name: model.clone(), version: 1 })
            .collect();
        let sequence = self.sequence;
        let local_copies = if self.has_own_copy { vec!["m".into()] } else { Vec::new() };
        let report = EngineReport {
            models,
            loading,
            sequence,
            busy,
            local_copies,
            ..EngineReport::default()
        };
        self.states.push((now_ms, report));
        let old = self.states.iter().rposition(|(since_ms, _)| since_ms + LAG_MS <= now_ms);
        self.states.drain(..old.unwrap_or_default());
        self.states[0].1.clone()
    }
}
