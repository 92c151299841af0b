//! When a log that tolerates too few losses is reported.

/// Time after which a margin that is too small is reported: longer than a replacement takes.
const SMALL_MARGIN_MS: u64 = 4_000;
/// Interval between reports of a margin that is too small.
const REPORT_INTERVAL_MS: u64 = 10_000;

/// A report on the number of losses that the log tolerates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MarginReport {
    /// The log has tolerated too few losses for this time.
    Small { lasted_ms: u64 },
    /// The log tolerates enough losses again after it was reported, or would have been, for this time.
    Restored { lasted_ms: u64 },
}

/// Time since which the log tolerates fewer losses than required, as the leader counts it.
#[derive(Debug, Default)]
pub(super) struct SmallMargin {
    since_ms: Option<u64>,
    next_report_ms: u64,
}

impl SmallMargin {
    /// Records whether the log tolerates too few losses now; returns what is to be reported.
    pub(super) fn observe(&mut self, now_ms: u64, is_small: bool) -> Option<MarginReport> {
        if !is_small {
            let lasted_ms = now_ms - self.since_ms.take()?;
            let was_reported = lasted_ms >= SMALL_MARGIN_MS;
            return was_reported.then_some(MarginReport::Restored { lasted_ms });
        }
        let lasted_ms = now_ms - *self.since_ms.get_or_insert(now_ms);
        if lasted_ms < SMALL_MARGIN_MS || now_ms < self.next_report_ms {
            return None;
        }
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
        Some(MarginReport::Small { lasted_ms })
    }
}

#[cfg(test)]
mod tests;
