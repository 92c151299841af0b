//! Metrics and invariant violations of one run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::{PlacementRow, RefusedRow};

/// The state or final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The request waits for an engine on which its adapter is loaded.
    Waiting,
    /// The request was sent to an engine.
    Sent,
    /// The request ran to completion.
    Completed,
    /// The request was refused as not run.
    Refused,
    /// The request was still waiting at its deadline.
    Missed,
}

/// Metrics of the requests that arrived during the measured period.
#[derive(Debug)]
pub(crate) struct RunMetrics {
    pub(crate) requests: u64,
    pub(crate) completed: u64,
    pub(crate) in_time: u64,
    pub(crate) missed: u64,
    pub(crate) refused: BTreeMap<&'static str, u64>,
    pub(crate) stall_us: u64,
    pub(crate) batch_wait_us: u64,
    pub(crate) first_token_ms: Histogram<u64>,
    pub(crate) engine_refusals: u64,
    pub(crate) loads: u64,
    pub(crate) violations: u64,
    pub(crate) first_violation: Option<String>,
}

impl RunMetrics {
    pub(crate) fn new() -> RunMetrics {
        RunMetrics {
            requests: 0,
            completed: 0,
            in_time: 0,
            missed: 0,
            refused: BTreeMap::new(),
            stall_us: 0,
            batch_wait_us: 0,
            first_token_ms: Histogram::new(3).expect("three digits are allowed"),
            engine_refusals: 0,
            loads: 0,
            violations: 0,
            first_violation: None,
        }
    }

    pub(crate) fn record_first_token(&mut self, elapsed_ms: u64) {
        // The histogram grows as needed, so recording can't fail.
        let recorded = self.first_token_ms.record(elapsed_ms);
        self.check(recorded.is_ok(), || {
            format!("first-token time of {elapsed_ms} ms can't be recorded")
        });
    }

    /// Counts a violation unless `is_valid`.
    pub(crate) fn check(&mut self, is_valid: bool, describe: impl FnOnce() -> String) {
        if !is_valid {
            self.violations += 1;
            self.first_violation.get_or_insert_with(describe);
        }
    }

    /// Converts the metrics to a row of the report.
    pub(crate) fn into_row(
        self,
        (settings, workload, policy): (&str, &str, &str),
        measured_ms: u64,
        budget_ms: u64,
        batch_efficiency: f64,
    ) -> PlacementRow {
        let ratio = |count: f64, of: u64| count / of.max(1) as f64;
        let stall_total_ms = self.stall_us / 1_000;
        let lost = self.missed + self.refused.values().sum::<u64>();
        PlacementRow {
            settings: settings.to_owned(),
            workload: workload.to_owned(),
            policy: policy.to_owned(),
            requests: self.requests,
            completed: self.completed,
            in_time: self.in_time,
            missed_deadlines: self.missed,
            refused: self
                .refused
                .into_iter()
                .map(|(reason, count)| RefusedRow { reason: reason.to_owned(), count })
                .collect(),
            stall_total_ms,
            stall_with_lost_ms: stall_total_ms + lost * budget_ms,
            batch_wait_total_ms: self.batch_wait_us / 1_000,
            stall_per_completed_ms: ratio(stall_total_ms as f64, self.completed),
            goodput_per_s: ratio(self.in_time as f64 * 1e3, measured_ms),
            first_token_p95_ms: self.first_token_ms.value_at_quantile(0.95),
            first_token_p99_ms: self.first_token_ms.value_at_quantile(0.99),
            batch_efficiency,
            engine_refusals: self.engine_refusals,
            loads: self.loads,
            loads_per_1000: ratio(self.loads as f64 * 1e3, self.requests),
            violations: self.violations,
            first_violation: self.first_violation,
        }
    }
}
