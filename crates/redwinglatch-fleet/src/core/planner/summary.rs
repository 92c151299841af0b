//! A periodic summary of the coordinator's decisions, for its log.

use std::{collections::HashSet, fmt};

use crate::ids::ModelName;

use super::{CopyStatus, Planner, demand::AdapterDemand};

/// Interval between summaries while requests wait.
const INTERVAL_MS: u64 = 1_000;

/// Adapter loads from the weight store that were ordered, by the reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct LoadCounts {
    /// The first load of the adapter by this coordinator.
    first: u64,
    /// A further copy beside one on another engine.
    copies: u64,
    /// A load of an adapter that was loaded before and evicted.
    reloads: u64,
}

/// Counts loads and decides when a summary is due.
#[derive(Debug, Default)]
pub(super) struct Summary {
    due_ms: u64,
    loads: LoadCounts,
    loaded_before: HashSet<ModelName>,
    placed: u64,
    refused: u64,
}

impl Summary {
    pub(super) fn count_placed(&mut self) {
        self.placed += 1;
    }

    pub(super) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Counts a load from the weight store.
    pub(super) fn count_load(&mut self, model: &ModelName, has_copy: bool) {
        let is_first = self.loaded_before.insert(model.clone());
        let count = match (is_first, has_copy) {
            (_, true) => &mut self.loads.copies,
            (true, false) => &mut self.loads.first,
            (false, false) => &mut self.loads.reloads,
        };
        *count += 1;
    }
}

impl Planner {
    /// Logs a summary if one is due and requests wait.
    pub(super) fn log_summary(&mut self, now_ms: u64, demands: &[(AdapterDemand, CopyStatus)]) {
        if now_ms < self.summary.due_ms || (demands.is_empty() && self.summary.refused == 0) {
            return;
        }
        self.summary.due_ms = now_ms + INTERVAL_MS;
        let count = |wanted: fn(&CopyStatus) -> bool| {
            demands.iter().filter(|(_, status)| wanted(status)).count()
        };
        log::info!(
            "coordinator: waiting={} adapters={} missing={} loading={} expected={} {} \
             store_in_flight={} store_limit={:.0} engines={} unresponsive={} placed={} refused={}",
            self.waiting.len(),
            demands.len(),
            count(|status| *status == CopyStatus::None),
            count(|status| *status == CopyStatus::Loading),
            self.expected.len(),
            self.summary.loads,
            self.store.in_flight(),
            self.store.limit(),
            self.engines.len(),
            self.engines
                .values()
                .filter(|engine| {
                    !engine.is_available() || engine.is_unresponsive_to_orders(now_ms)
                })
                .count(),
            self.summary.placed,
            self.summary.refused,
        );
        (self.summary.placed, self.summary.refused) = (0, 0);
    }
}

impl fmt::Display for LoadCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoadCounts { first, copies, reloads } = self;
        write!(formatter, "first_loads={first} copies={copies} reloads={reloads}")
    }
}
