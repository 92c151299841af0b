//! Request limits of backend servers in the view of an entry process.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::{Capability, FleetView};
use crate::{ids::BackendKey, limited_servers::RequestLimit, message::FleetMessage};

/// Smallest number of processes among which a limit is divided. A process that has just started doesn't
/// know all of them.
const MIN_PROCESSES: usize = 12;

impl FleetView {
    /// Records the request limit in an answer to a request that was sent at `sent_ms`, and reports it to the
    /// coordinator if it is new or was not confirmed lately; returns whether it is new.
    pub(crate) fn record_request_limit(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        limit: RequestLimit,
    ) -> bool {
        let is_new = self.request_limits.record_answer(now_ms, sent_ms, limit);
        let is_confirmed =
            limit.rate.is_some() && self.request_limits.take_confirmation(now_ms, limit.server);
        if is_new || is_confirmed {
            self.report_request_limits(vec![limit]);
        }
        is_new
    }

    /// Takes over limits that a core process has announced.
    pub(crate) fn add_request_limits(
        &mut self,
        now_ms: u64,
        core: SocketAddr,
        limits: Vec<RequestLimit>,
    ) {
        self.add_capability(core, Capability::RequestLimits);
        for limit in limits {
            self.request_limits.set(now_ms, limit);
        }
    }

    /// Reports all known limits to a new coordinator.
    pub(crate) fn report_all_request_limits(&self) {
        self.report_request_limits(self.request_limits.limits());
    }

    fn report_request_limits(&self, limits: Vec<RequestLimit>) {
        if !limits.is_empty() && self.coordinator_has_capability(Capability::RequestLimits) {
            self.send_to_coordinator(&FleetMessage::RequestLimits(limits));
        }
    }

    /// Returns whether a backend server has named a request limit.
    pub(crate) fn is_limited(&self, key: BackendKey) -> bool {
        self.request_limits.is_limited(key)
    }

    /// Requests a grant from the coordinator, and returns its id, or `None` if no coordinator is usable.
    pub(crate) fn start_grant(
        &mut self,
        now_ms: u64,
        reply: oneshot::Sender<Result<(), u64>>,
        server: BackendKey,
    ) -> Option<u64> {
        if now_ms < self.coordinator_suspect_until_ms
            || !self.coordinator_has_capability(Capability::RequestLimits)
        {
            return None;
        }
        let id = self.next_placement_id;
        self.next_placement_id += 1;
        if !self.send_to_coordinator(&FleetMessage::GrantRequest { id, server }) {
            return None;
        }
        self.grant_replies.insert(id, reply);
        Some(id)
    }

    pub(crate) fn deliver_grant(&mut self, id: u64, granted: Result<(), u64>) {
        if let Some(reply) = self.grant_replies.remove(&id) {
            // The request may have ended.
            let _ = reply.send(granted);
        }
    }

    pub(crate) fn end_grant(&mut self, id: u64) {
        self.grant_replies.remove(&id);
    }

    /// Takes one of the requests that this process may send to a limited or brittle server without a coordinator.
    ///
    /// # Errors
    ///
    /// Returns the time until the next one.
    pub(crate) fn try_take_turn(&mut self, now_ms: u64, server: BackendKey) -> Result<(), u64> {
        if self.is_brittle_server(server) {
            self.try_take_room(now_ms, server)?;
        }
        let processes = self.sharing_processes();
        self.request_limits.try_take_turn(now_ms, server, processes)
    }

    /// Returns the number of processes among which what a server takes is divided without a coordinator.
    pub(super) fn sharing_processes(&self) -> usize {
        self.ready_entry_addresses().len().max(MIN_PROCESSES)
    }

    /// Records that no request may be sent to a limited or brittle server before `until_ms`.
    pub(crate) fn deny_until(&mut self, server: BackendKey, until_ms: u64) {
        if self.is_brittle_server(server) {
            self.brittle_rooms.deny_until(server, until_ms);
        }
        self.request_limits.deny_until(server, until_ms);
    }

    /// Returns until when no request may be sent to a limited or brittle server.
    pub(super) fn denied_until_ms(&self, now_ms: u64, server: BackendKey) -> Option<u64> {
        let limit_ms = self.request_limits.denied_until_ms(now_ms, server);
        limit_ms.max(self.brittle_rooms.denied_until_ms(now_ms, server))
    }

    /// Returns whether requests to a server need a grant.
    pub(crate) fn needs_grant(&self, server: BackendKey) -> bool {
        self.is_limited(server) || self.is_brittle_server(server)
    }
}
