//! Requests under which backend servers end.

use crate::{
    ids::BackendKey,
    message::{PlaceReply, PlaceRequest, RefusalCause},
    quarantine::Quarantine,
    suspects::{FailedRequest, ServerEnd},
};

use super::{Planner, engine::Engine};

impl Planner {
    /// Sets the quarantined prompt parts, and refuses the waiting requests that have one.
    pub(in crate::core) fn set_quarantine(&mut self, now_ms: u64, quarantine: &Quarantine) {
        self.quarantine.clone_from(quarantine);
        self.fatal_requests.add_former(quarantine.keys());
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

    /// Takes over the ends of servers that an earlier coordinator has recorded.
    pub(in crate::core) fn restore_ends(
        &mut self,
        now_ms: u64,
        ends: impl DoubleEndedIterator<Item = ServerEnd>,
    ) {
        self.fatal_requests.restore(now_ms, ends);
    }

    /// Returns the requests and prompt parts that have become fatal since the last call.
    pub(in crate::core) fn take_fatal(&mut self) -> Vec<u64> {
        self.fatal_requests.take_fatal()
    }

    /// Returns the suspects with complete answers since the last call, for the next coordinator.
    pub(in crate::core) fn take_exonerated(&mut self) -> Vec<u64> {
        self.fatal_requests.take_exonerated()
    }

    /// Returns the ends of servers since the last call, for the next coordinator.
    pub(in crate::core) fn take_new_ends(&mut self) -> Vec<ServerEnd> {
        self.fatal_requests.take_new_ends()
    }

    /// Returns the digests of the requests under which servers have ended if there are others than at the last
    /// call. Complete answers to them are evidence too.
    pub(in crate::core) fn take_watched_change(&mut self) -> Option<Vec<u64>> {
        self.fatal_requests.take_watched_change()
    }

    /// Records a request that broke off this long ago.
    ///
    /// The next report shows whether an engine has ended. Of a server without an engine, the entry process
    /// tells whether it refuses connections, and the backend list whether it is gone.
    pub(in crate::core) fn request_failed(
        &mut self,
        now_ms: u64,
        age_ms: u64,
        request: FailedRequest,
    ) {
        let FailedRequest { server: key, suspect, has_ended } = request;
        let engine = self.engines.get(&key);
        let is_leaving = engine.is_some_and(Engine::is_leaving)
            || self.plain_servers.get(&key).is_some_and(|backend| backend.leaving);
        if is_leaving {
            return;
        }
        let is_engine = engine.is_some();
        self.fatal_requests.record_failure(now_ms, age_ms, key, suspect);
        if is_engine {
            self.request_report_if_suspected(now_ms, key);
        } else if has_ended {
            self.fatal_requests.server_ended(key, now_ms);
        }
    }

    /// Records complete answers to requests with these prompt parts or digests.
    pub(in crate::core) fn requests_completed(&mut self, now_ms: u64, keys: &[u64]) {
        self.fatal_requests.record_completions(now_ms, keys);
    }

    /// Makes the report of an engine due if its end would be evidence.
    pub(super) fn request_report_if_suspected(&mut self, now_ms: u64, key: BackendKey) {
        if self.fatal_requests.is_suspected(key)
            && let Some(engine) = self.engines.get_mut(&key)
        {
            engine.report_due_ms = now_ms;
        }
    }

    /// Returns for how long requests with the prompt parts of this one are refused, if they are.
    pub(super) fn quarantine_ms(&self, now_ms: u64, request: &PlaceRequest) -> Option<u64> {
        self.quarantine.remaining_ms(now_ms, request.shared_parts().iter().map(|(part, _)| *part))
    }
}
