//! Requests that wait to be placed, and the order in which they are placed.

use crate::{
    ids::{SoftwareVersion, name_hash},
    message::PlaceRequest,
};

/// A request that could not be placed immediately.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub(super) entry: u64,
    pub(super) id: u64,
    pub(super) request: PlaceRequest,
    /// The software version of the engines that may get the request.
    pub(super) software: Option<SoftwareVersion>,
    /// Hash of the adapter's name and of that version, which groups requests without comparing names.
    pub(super) model_hash: u64,
    pub(super) received_ms: u64,
    /// Time by which the first event should reach the caller.
    pub(super) objective_ms: u64,
    /// Latest time of the placement; after it the caller would leave before the first event.
    pub(super) last_start_ms: u64,
    /// The request was found servable when it arrived. The estimate varies while loads are in
    /// flight, so such a request is refused only once it is too late to place it.
    pub(super) is_admitted: bool,
}

/// Delay of a request compared with one of the next more urgent priority.
const PRIORITY_STEP_MS: u64 = 150;
/// Time from placement to the first event on an engine without other prompts.
const MIN_FIRST_EVENT_MS: u64 = 120;
/// A caller that has used more of its latency objective than this was refused before.
const MAX_FIRST_ATTEMPT_MS: u64 = 300;
/// Time before a caller leaves at which its request is refused, so that it learns when to return.
const FIRST_EVENT_MARGIN_MS: u64 = 400;

impl WaitingRequest {
    pub(super) fn new(
        now_ms: u64,
        entry: u64,
        id: u64,
        request: PlaceRequest,
        software: Option<SoftwareVersion>,
    ) -> WaitingRequest {
        let remaining_ms = request.objective_ms.saturating_sub(request.spent_ms);
        WaitingRequest {
            entry,
            id,
            received_ms: now_ms,
            is_admitted: false,
            software,
            model_hash: name_hash(&request.model) ^ software.map_or(0, |version| version.0),
            objective_ms: now_ms.saturating_add(remaining_ms),
            last_start_ms: now_ms.saturating_add(
                request.patience_ms.min(request.remaining_ms).saturating_sub(FIRST_EVENT_MARGIN_MS),
            ),
            request,
        }
    }

    /// Returns whether the first event can no longer arrive in time. Such a request has a fraction
    /// of its value, so it waits behind all requests that can still be on time.
    pub(super) fn is_late(&self, now_ms: u64) -> bool {
        now_ms + MIN_FIRST_EVENT_MS > self.objective_ms
    }

    /// Returns the sort key of placement: requests that can be on time come first, then those of
    /// callers that were refused before, then the others.
    pub(super) fn rank(&self, now_ms: u64) -> (u8, u64) {
        let group = match (self.is_late(now_ms), self.is_returned()) {
            (false, _) => 0,
            (true, true) => 1,
            (true, false) => 2,
        };
        (group, self.ranked_ms())
    }

    /// Returns whether the caller was refused before.
    pub(super) fn is_returned(&self) -> bool {
        self.request.spent_ms > MAX_FIRST_ATTEMPT_MS
    }

    /// Returns the time of arrival, delayed for less urgent requests.
    pub(super) fn ranked_ms(&self) -> u64 {
        self.received_ms + u64::from(self.request.priority) * PRIORITY_STEP_MS
    }

    /// Returns whether it is too late to place the request.
    pub(super) fn has_timed_out(&self, now_ms: u64) -> bool {
        self.last_start_ms <= now_ms
    }
}
