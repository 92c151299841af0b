//! Outcomes of requests, and the requests that are refused because of them.

use std::net::SocketAddr;

use super::{Capability, FleetView};
use crate::{
    message::FleetMessage, quarantine::QuarantinedKey, request_digests::RequestDigests,
    suspects::FailedRequest,
};

impl FleetView {
    /// Adds the quarantined prompt parts and digests that a core process has announced.
    pub(crate) fn add_quarantined(&mut self, now_ms: u64, keys: Vec<QuarantinedKey>) {
        let ended = self.quarantine.ended(now_ms);
        self.quarantine.retain(|key| !ended.contains(&key));
        for key in keys {
            self.quarantine.add(now_ms, key);
        }
    }

    /// Returns for how long a request with these prompt parts is refused, if it is. `digests` is called only
    /// if anything is quarantined.
    pub(crate) fn quarantine_ms(
        &self,
        now_ms: u64,
        parts: &[(u64, u32)],
        digests: impl FnOnce() -> RequestDigests,
    ) -> Option<u64> {
        if self.quarantine.is_empty() {
            return None;
        }
        let parts = parts.iter().map(|(part, _)| *part);
        self.quarantine.remaining_ms(now_ms, parts.chain(digests().both()))
    }

    /// Reports which of these requests had complete answers recently; `core` asks for them as the
    /// coordinator.
    pub(crate) fn report_watched_requests(
        &mut self,
        now_ms: u64,
        core: SocketAddr,
        watched: &[u64],
    ) {
        if self.coordinator_address != Some(core) {
            return;
        }
        let completed = self.recent_completions.take(now_ms, watched);
        if !completed.is_empty() {
            self.send_to_coordinator(&FleetMessage::RequestsCompleted(completed));
        }
    }

    /// Reports to the coordinator that a request broke off at `failed_ms`, unless its server is about to stop
    /// or no longer listed. Without a coordinator, the next one is told.
    pub(crate) fn request_failed(&mut self, now_ms: u64, failed_ms: u64, request: FailedRequest) {
        if self.backends.get(&request.server).is_none_or(|state| state.is_leaving()) {
            return;
        }
        let age_ms = now_ms.saturating_sub(failed_ms);
        if !(self.coordinator_has_capability(Capability::RequestLimits)
            && self.send_failed_request(age_ms, request.clone()))
        {
            self.unreported_failures.add(failed_ms, request);
        }
    }

    /// Tells the coordinator of a failed request, and returns whether it is connected.
    fn send_failed_request(&self, age_ms: u64, request: FailedRequest) -> bool {
        let message = if self.coordinator_has_capability(Capability::SoftwareVersions) {
            FleetMessage::RequestBrokeOff { age_ms, request }
        } else {
            let FailedRequest { server, suspect, has_ended } = request;
            FleetMessage::RequestFailed { server, suspect, has_ended }
        };
        self.send_to_coordinator(&message)
    }

    /// Reports the failed requests to a new coordinator that no other was told of.
    pub(crate) fn report_unreported_failures(&mut self, now_ms: u64) {
        if !self.coordinator_has_capability(Capability::RequestLimits) {
            return;
        }
        for (failed_ms, request) in self.unreported_failures.take(now_ms) {
            self.send_failed_request(now_ms.saturating_sub(failed_ms), request);
        }
    }

    /// Records a complete answer to a request with these prompt parts.
    pub(crate) fn request_completed(
        &mut self,
        now_ms: u64,
        parts: &[(u64, u32)],
        digests: RequestDigests,
    ) {
        self.completed_parts.record(parts);
        self.recent_completions.record(now_ms, digests);
    }

    /// Reports to the coordinator which prompt parts had complete answers since the last call.
    pub(crate) fn report_completed_parts(&mut self) {
        let parts = self.completed_parts.take();
        if !parts.is_empty() && self.coordinator_has_capability(Capability::RequestLimits) {
            self.send_to_coordinator(&FleetMessage::RequestsCompleted(parts));
        }
    }
}
