//! Servers that fall over when they must turn requests away, in the view of an entry process.

use super::{Capability, FleetView};
use crate::{brittle_services::BrittleService, ids::BackendKey, message::FleetMessage};

/// Time for which this process sends nothing to a brittle server that has rejected a request for want of room.
const FULL_HOLD_MS: u64 = 1_000;

impl FleetView {
    /// Records what an answer to a request that was sent at `sent_ms` says of its service, and reports it to the
    /// coordinator if it is new; returns whether it is.
    pub(crate) fn record_brittle_answer(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        brittle: BrittleService,
    ) -> bool {
        let is_new = self.brittle_rooms.services.record_answer(now_ms, sent_ms, &brittle);
        if is_new {
            self.report_brittle_services(vec![brittle]);
        }
        is_new
    }

    /// Takes over what the coordinator has announced.
    pub(crate) fn set_brittle_services(&mut self, now_ms: u64, services: &[BrittleService]) {
        for brittle in services {
            self.brittle_rooms.set(now_ms, brittle);
        }
    }

    /// Reports all brittle services to a new coordinator.
    pub(crate) fn report_all_brittle_services(&self) {
        self.report_brittle_services(self.brittle_rooms.services.all());
    }

    fn report_brittle_services(&self, services: Vec<BrittleService>) {
        if !services.is_empty() && self.coordinator_has_capability(Capability::SoftwareVersions) {
            self.send_to_coordinator(&FleetMessage::BrittleServices(services));
        }
    }

    pub(crate) fn is_brittle(&self, service: &str) -> bool {
        self.brittle_rooms.services.is_brittle(service)
    }

    /// Returns whether a server belongs to a brittle service.
    pub(crate) fn is_brittle_server(&self, server: BackendKey) -> bool {
        self.backends.get(&server).is_some_and(|state| self.is_brittle(&state.backend.service))
    }

    /// Records that a server has rejected a request for want of room, if that may end it.
    pub(crate) fn record_full(&mut self, now_ms: u64, server: BackendKey) {
        if !self.is_brittle_server(server) {
            return;
        }
        self.record_hold(server, now_ms + FULL_HOLD_MS);
        if self.coordinator_has_capability(Capability::SoftwareVersions) {
            self.send_to_coordinator(&FleetMessage::ServerFull { server });
        }
    }

    /// Takes a request to a brittle server without a coordinator.
    ///
    /// # Errors
    ///
    /// Returns the time until the next one.
    pub(super) fn try_take_room(&mut self, now_ms: u64, server: BackendKey) -> Result<(), u64> {
        let processes = self.sharing_processes();
        let Some(state) = self.backends.get(&server) else { return Ok(()) };
        let (service, slots) = (&state.backend.service, state.backend.slots);
        self.brittle_rooms.try_take_turn(now_ms, service, server, slots, processes)
    }

    /// Records the duration of a request.
    pub(crate) fn record_duration(&mut self, server: BackendKey, duration_ms: u64) {
        if let Some(state) = self.backends.get(&server) {
            self.brittle_rooms.record_duration(&state.backend.service, duration_ms);
        }
    }
}
