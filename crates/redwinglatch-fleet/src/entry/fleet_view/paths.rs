//! The paths from this process to backend servers.

use std::net::SocketAddr;

use super::FleetView;
use crate::{ids::BackendKey, server_paths::PathChange};

/// A server that is to be checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServerCheck {
    pub(crate) server: BackendKey,
    pub(crate) address: SocketAddr,
    /// The path of its health check, if it must answer as well.
    pub(crate) health_path: Option<Box<str>>,
}

impl FleetView {
    /// Returns the service of a server while it is listed.
    pub(crate) fn service_of(&self, server: BackendKey) -> Option<Box<str>> {
        self.backends.get(&server).map(|state| state.backend.service.clone())
    }

    /// Records that a request was sent to a server.
    pub(crate) fn record_sent(&mut self, now_ms: u64, server: BackendKey) {
        if let Some(state) = self.backends.get(&server) {
            self.server_paths.sent(now_ms, &state.backend.service, server);
        }
    }

    /// Records that a server has sent something.
    pub(crate) fn record_heard(&mut self, now_ms: u64, server: BackendKey) {
        let Some(state) = self.backends.get(&server) else { return };
        let change = self.server_paths.heard(now_ms, &state.backend.service);
        log_change(&state.backend.service, change);
    }

    /// Records that a server has accepted a connection.
    pub(crate) fn record_connected(&mut self, now_ms: u64, server: BackendKey) {
        self.record_connection_attempt(now_ms, server, true);
    }

    /// Records that a connection to a server has failed.
    pub(crate) fn record_connect_failure(&mut self, now_ms: u64, server: BackendKey) {
        self.record_connection_attempt(now_ms, server, false);
    }

    fn record_connection_attempt(&mut self, now_ms: u64, server: BackendKey, is_accepted: bool) {
        let Some(service) = self.service_of(server) else { return };
        let servers = self.usable_backends(&service, &[]).count();
        let change = self.server_paths.tried(now_ms, &service, server, is_accepted, servers);
        log_change(&service, change);
    }

    /// Returns whether servers of a service accept no connections of this process or don't answer.
    pub(crate) fn is_path_lost(&self, service: &str) -> bool {
        self.server_paths.is_lost(service)
    }

    /// Returns whether the path to the service of a server is lost.
    pub(crate) fn is_server_path_lost(&self, server: BackendKey) -> bool {
        self.service_of(server).is_some_and(|service| self.is_path_lost(&service))
    }

    /// Returns whether requests may still be sent to a service on kept connections.
    pub(crate) fn has_sound_connections(&self, now_ms: u64, service: &str) -> bool {
        self.server_paths.has_sound_connections(now_ms, service)
    }

    /// Returns whether this process reaches no server of any service that it has sent requests to.
    pub(crate) fn is_cut_off(&self) -> bool {
        let listed = self.services.iter().filter(|(_, servers)| !servers.is_empty());
        self.server_paths.are_all_lost(listed.map(|(service, _)| &**service))
    }

    /// Returns servers of the services whose paths are in doubt or lost, `per_service` of each, in random order.
    pub(crate) fn take_server_checks(
        &mut self,
        now_ms: u64,
        per_service: usize,
    ) -> Vec<ServerCheck> {
        for service in self.server_paths.services_with_silence(now_ms) {
            let servers = self.usable_backends(&service, &[]).count();
            log_change(&service, self.server_paths.check_silence(now_ms, &service, servers));
        }
        let mut chosen = Vec::new();
        // Processes that are cut off aren't ready, and check as well.
        let processes = self.most_ready_entries;
        for check in self.server_paths.take_due_checks(now_ms, processes) {
            let mut servers: Vec<BackendKey> =
                self.usable_backends(&check.service, &check.failed).collect();
            fastrand::shuffle(&mut servers);
            servers.truncate(per_service);
            // A health check needs room as any other request.
            let may_request = check.needs_answer && !self.is_brittle(&check.service);
            let health_path = self.health_path(&check.service).filter(|_| may_request);
            let checks = servers.into_iter().filter_map(|server| {
                let address = self.backends.get(&server)?.backend.address;
                Some(ServerCheck { server, address, health_path: health_path.clone() })
            });
            chosen.extend(checks);
        }
        chosen
    }

    fn health_path(&self, service: &str) -> Option<Box<str>> {
        self.table.as_ref()?.service_named(service)?.health_path.clone()
    }
}

fn log_change(service: &str, change: Option<PathChange>) {
    match change {
        Some(PathChange::Lost { failed_servers }) => log::warn!(
            "entry: no server of {service} accepts connections or answers; {failed_servers} were tried"
        ),
        Some(PathChange::Found { lost_ms }) => {
            log::info!("entry: servers of {service} answer again after {lost_ms} ms");
        }
        None => {}
    }
}
