//! Past reports of a fake engine, from which lagging reports are served.

use std::collections::VecDeque;

use serde::Serialize;
use tokio::time::{Duration, Instant};

#[derive(Debug, Clone, Serialize)]
pub(crate) struct SlotReport {
    pub(crate) adapter: Box<str>,
    pub(crate) version: u32,
    pub(crate) running: usize,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct EngineReport {
    pub(crate) boot_id: Box<str>,
    pub(crate) sequence: u64,
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) leaving: bool,
    pub(crate) slot_count: usize,
    pub(crate) max_batch: usize,
    pub(crate) steps: u64,
    pub(crate) batched_tokens: u64,
    pub(crate) slots: Vec<SlotReport>,
    pub(crate) requests: Vec<Box<str>>,
}

/// Past reports: the newest one that is at least as old as the lag, and all later ones.
#[derive(Debug, Default)]
pub(crate) struct ReportLog {
    reports: VecDeque<(Instant, EngineReport)>,
}

impl ReportLog {
    pub(crate) fn push(&mut self, report: EngineReport, lag_ms: u64) {
        self.reports.push_back((Instant::now(), report));
        let lag = Duration::from_millis(lag_ms);
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least as old as the lag, or else the oldest report.
    pub(crate) fn delayed(&self, lag_ms: u64) -> Option<EngineReport> {
        let lag = Duration::from_millis(lag_ms);
        self.reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .or(self.reports.front())
            .map(|(_, report)| report.clone())
    }
}
