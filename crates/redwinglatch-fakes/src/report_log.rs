//! Reports of a fake engine, delivered with a lag.

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
pub(crate) struct Report {
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

/// Past reports; holds one report older than the lag and all later ones.
#[derive(Debug, Default)]
pub(crate) struct ReportLog {
    reports: VecDeque<(Instant, Report)>,
}

impl ReportLog {
    pub(crate) fn push(&mut self, report: Report, lag_ms: u64) {
        self.reports.push_back((Instant::now(), report));
        let lag = Duration::from_millis(lag_ms);
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is older than the lag, or else the oldest.
    pub(crate) fn delayed(&self, lag_ms: u64) -> Option<Report> {
        let lag = Duration::from_millis(lag_ms);
        self.reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .or(self.reports.front())
            .map(|(_, report)| report.clone())
    }
}
