//! The deadline and priority of a request under its contract.

use redwinglatch_core::prelude::*;

/// The deadline and priority that a request gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTerms {
    /// Time after which the response is no longer useful.
    pub deadline_ms: u64,
    /// From 0, the lowest, to 9.
    pub priority: u8,
}

impl RequestTerms {
    /// Applies the contract to the time budget and priority that the request states. Values above
    /// the maximum of the contract are lowered to it.
    ///
    /// # Errors
    ///
    /// Refuses a request whose time budget is already exhausted.
    pub fn resolve(
        contract: &Contract,
        arrived_at_ms: u64,
        now_ms: u64,
        budget_ms: Option<u32>,
        priority: Option<u8>,
    ) -> Result<RequestTerms, Refusal> {
        let budget_ms = budget_ms.unwrap_or(contract.default_deadline_ms);
        let budget_ms = budget_ms.min(contract.max_deadline_ms);
        let deadline_ms = arrived_at_ms + u64::from(budget_ms);
        check_deadline(now_ms, deadline_ms, 0)?;
        let priority = priority.unwrap_or(contract.default_priority).min(contract.max_priority);
        Ok(RequestTerms { deadline_ms, priority })
    }
}

/// Checks that `needed_ms` of work can end before the deadline.
///
/// # Errors
///
/// Refuses the request at once if not, so that its caller need not wait for the deadline.
pub fn check_deadline(now_ms: u64, deadline_ms: u64, needed_ms: u64) -> Result<(), Refusal> {
    let remaining_ms = deadline_ms.saturating_sub(now_ms);
    if remaining_ms > needed_ms {
        return Ok(());
    }
    let detail =
        format!("{remaining_ms} ms remain until the deadline, but {needed_ms} ms are needed");
    Err(Refusal::not_run(RefusalReason::DeadlinePassed, detail).retry_after_ms(1))
}
