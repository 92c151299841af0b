//! Requests that wait to be placed, and the order in which they are.

use crate::message::PlaceRequest;

/// A request that was not placed at once.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) entry: u64,
    pub(super) id: u64,
    pub(super) request: PlaceRequest,
    pub(super) received_ms: u64,
    /// By when the first event should reach the caller.
    pub(super) objective_ms: u64,
}

/// How much later a request of the next priority is placed than one of the priority before.
const PRIORITY_STEP_MS: u64 = 150;
/// From placing to the first event of an engine without other prompts.
const FIRST_EVENT_MS: u64 = 120;
/// A caller that has used more of its time than this was refused before.
const COMEBACK_MS: u64 = 300;
/// How long a request may wait for its turn.
const MAX_WAIT_MS: u64 = 1_500;

impl Waiting {
    pub(super) fn new(now_ms: u64, entry: u64, id: u64, request: PlaceRequest) -> Waiting {
        let remaining_ms = request.objective_ms.saturating_sub(request.spent_ms);
        Waiting { entry, id, received_ms: now_ms, objective_ms: now_ms + remaining_ms, request }
    }

    /// Whether the first event can't come in time any more. Such a request is worth a fraction, so
    /// it waits behind all that can still be on time.
    pub(super) fn is_late(&self, now_ms: u64) -> bool {
        now_ms + FIRST_EVENT_MS > self.objective_ms
    }

    /// The order in which requests are placed: those that can be on time, then those of callers
    /// that were refused before, then the others.
    pub(super) fn rank(&self, now_ms: u64) -> (u8, u64) {
        let group = match (self.is_late(now_ms), self.request.spent_ms > COMEBACK_MS) {
            (false, _) => 0,
            (true, true) => 1,
            (true, false) => 2,
        };
        let handicap_ms = u64::from(self.request.priority) * PRIORITY_STEP_MS;
        (group, self.received_ms + handicap_ms)
    }

    /// Whether the request has waited as long as it may.
    pub(super) fn is_over(&self, now_ms: u64) -> bool {
        self.received_ms + MAX_WAIT_MS <= now_ms
            || self.received_ms + self.request.remaining_ms <= now_ms
    }
}
