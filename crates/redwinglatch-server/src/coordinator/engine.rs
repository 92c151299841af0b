//! The coordinator task's record of an engine.

use std::net::SocketAddr;

use redwinglatch_backends::EngineReport;
use redwinglatch_core::AdapterVersion;
use redwinglatch_operators::{EngineStatus, SlotStatus};

use super::ListedEngine;

pub(super) struct Engine {
    pub(super) pool: Box<str>,
    pub(super) address: SocketAddr,
    pub(super) data_centre: Box<str>,
    pub(super) is_leaving: bool,
    pub(super) report_ms: u64,
    pub(super) report_due_ms: u64,
    pub(super) is_reading_report: bool,
    /// The time at which the last report was requested, and the report.
    pub(super) last_report: Option<(u64, EngineReport)>,
}

impl Engine {
    /// Whether the last applied list entry of this engine equals `listed`.
    pub(super) fn is_listed_as(&self, listed: &ListedEngine) -> bool {
        self.address == listed.address
            && self.pool == listed.pool
            && self.data_centre == listed.data_centre
            && self.is_leaving == listed.is_leaving
    }

    pub(super) fn status(&self, now_ms: u64) -> EngineStatus {
        let report = self.last_report.as_ref();
        let slot = |slot: &redwinglatch_backends::SlotReport| SlotStatus {
            adapter: AdapterVersion::new(slot.adapter.clone(), slot.version),
            pins: slot.running,
            is_loading: false,
        };
        EngineStatus {
            pool: self.pool.clone(),
            address: self.address,
            data_centre: Some(self.data_centre.clone()),
            is_leaving: self.is_leaving || report.is_some_and(|(_, report)| report.leaving),
            report_age_ms: report.map(|(requested_ms, _)| now_ms.saturating_sub(*requested_ms)),
            running: report.map_or(0, |(_, report)| report.running),
            waiting: report.map_or(0, |(_, report)| report.waiting),
            slot_count: report.map_or(0, |(_, report)| report.slot_count),
            slots: report.map_or_else(Vec::new, |(_, it)| it.slots.iter().map(slot).collect()),
            batch_efficiency_permille: report.and_then(|(_, report)| batch_efficiency(report)),
        }
    }
}

/// Mean fraction of the batch capacity in use since the engine started, in permille.
fn batch_efficiency(report: &EngineReport) -> Option<u32> {
    let capacity = report.steps.checked_mul(u64::from(report.max_batch))?;
    let permille = (report.batched_tokens * 1_000).checked_div(capacity)?;
    u32::try_from(permille).ok()
}
