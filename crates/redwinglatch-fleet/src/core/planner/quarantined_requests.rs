//! Requests with prompt parts under which engines end.

use crate::{
    ids::BackendKey,
    message::{PlaceReply, PlaceRequest, RefusalCause},
    quarantine::Quarantine,
};

use super::Planner;

impl Planner {
    /// Sets the quarantined prompt parts, and refuses the waiting requests that have one.
    pub(in crate::core) fn set_quarantine(&mut self, now_ms: u64, quarantine: &Quarantine) {
        self.quarantine.clone_from(quarantine);
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            match self.quarantine_ms(now_ms, &waiting.request) {
                Some(retry_after_ms) => {
                    let cause = RefusalCause::Quarantined;
                    self.push_reply(&waiting, PlaceReply::RefusedFor { retry_after_ms, cause });
                }
                None => self.waiting.push(waiting),
            }
        }
    }

    /// Returns the parts that have become fatal since the last call.
    pub(in crate::core) fn take_fatal_parts(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.new_fatal_parts)
    }

    /// Records a request that broke off before or soon after its first event. The next report shows
    /// whether its engine has ended.
    pub(in crate::core) fn prompt_failed(&mut self, now_ms: u64, key: BackendKey, parts: &[u64]) {
        let Some(engine) = self.engines.get(&key) else { return };
        if engine.is_leaving() {
            return;
        }
        self.fatal_parts.record_failure(now_ms, key, parts);
        self.request_report_if_suspected(now_ms, key);
    }

    /// Records complete answers to requests with these prompt parts.
    pub(in crate::core) fn prompts_completed(&mut self, now_ms: u64, parts: &[u64]) {
        self.fatal_parts.record_completions(now_ms, parts);
    }

    /// Makes the report of an engine due if its end would be evidence.
    pub(super) fn request_report_if_suspected(&mut self, now_ms: u64, key: BackendKey) {
        if self.fatal_parts.is_suspected(key)
            && let Some(engine) = self.engines.get_mut(&key)
        {
            engine.report_due_ms = now_ms;
        }
    }

    /// Returns for how long requests with the prompt parts of this one are refused, if they are.
    pub(super) fn quarantine_ms(&self, now_ms: u64, request: &PlaceRequest) -> Option<u64> {
        self.quarantine.remaining_ms(now_ms, request.shared_parts())
    }
}
