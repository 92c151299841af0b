//! Requests whose backend servers all want no requests for some time.

use super::refusal::RefusalReason;

/// Longest time for which a request waits. Those that wait reach the servers together, so they must be few.
const MAX_WAIT_MS: u64 = 400;
/// Time that remains for the request after the wait until its caller leaves.
const SERVICE_MARGIN_MS: u64 = 200;

/// Returns how long a request waits for a server that takes requests again in `hold_ms`, or why it is
/// refused; its caller leaves in `patience_ms`.
///
/// Answers a service whose servers are all overloaded and say so: during a short pause requests wait and
/// are served late instead of being sent back; during a long one callers are told at once when to return.
pub(super) fn wait_ms(hold_ms: u64, patience_ms: u64) -> Result<u64, RefusalReason> {
    if hold_ms <= MAX_WAIT_MS && hold_ms + SERVICE_MARGIN_MS <= patience_ms {
        Ok(hold_ms)
    } else {
        Err(RefusalReason::BackendsOnHold { retry_after_ms: hold_ms })
    }
}

#[cfg(test)]
mod tests;
