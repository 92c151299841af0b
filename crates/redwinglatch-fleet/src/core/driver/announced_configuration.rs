//! The applied configuration, and what entry processes are told of it and of the versions of adapters.

use std::sync::Arc;

use redwinglatch_routing::RouteTable;

use crate::{link::LinkSender, message::FleetMessage};

use super::Driver;

/// Time after a start without a leader after which entry processes are told of a configuration that may be outdated:
/// several election timeouts on a slow machine. A log without a majority doesn't stop service.
const MAX_WITHHELD_MS: u64 = 6_000;

impl Driver {
    /// Puts a newly applied configuration in force, and tells entry processes of it.
    pub(super) fn announce_configuration(&mut self) {
        self.load_configuration();
        if self.state.version == 0 {
            return;
        }
        log::info!("core: configuration {} is in force", self.state.version);
        self.tell_configuration();
    }

    /// Reads the applied configuration.
    pub(super) fn load_configuration(&mut self) {
        if self.state.version == 0 {
            return;
        }
        let table =
            (self.dialect.decode_configuration)(&self.state.document).and_then(|configuration| {
                RouteTable::new(configuration).map_err(|error| error.to_string().into())
            });
        match table {
            Ok(table) => self.table = Some(Arc::new(table)),
            Err(error) => log::error!("core: cannot read the stored configuration: {error}"),
        }
        self.update_stream_lifetime();
        self.update_planner_services();
        self.update_caps();
    }

    /// Tells entry processes of the configuration once this process has applied what the leader has committed.
    ///
    /// Answers a restart of all processes: until there is a leader, a core process has applied no more than its last
    /// snapshot, and an entry process that has just started would put that in force.
    pub(super) fn announce_withheld_configuration(&mut self, now_ms: u64) {
        if !self.withholds_configuration {
            return;
        }
        let is_behind = !self.replica.is_leader()
            && self.replica.leader_commit_index().is_none_or(|index| self.applied_index < index);
        let is_current = self.knows_log() && !is_behind;
        if !is_current && now_ms < self.started_ms + MAX_WITHHELD_MS {
            return;
        }
        self.withholds_configuration = false;
        if !is_current && self.state.version > 0 {
            log::warn!(
                "core: no leader has confirmed the log; entry processes are told of configuration {}, which may be \
                 outdated",
                self.state.version
            );
        }
        self.tell_configuration();
        self.tell_versions();
    }

    /// Tells all entry processes of the configuration.
    pub(super) fn tell_configuration(&self) {
        self.entries.broadcast_progress(self.log_progress());
        if let Some(notice) = self.configuration_notice() {
            self.entries.broadcast(&notice);
        }
    }

    /// Tells all entry processes the newest versions of adapters.
    pub(super) fn tell_versions(&self) {
        if !self.withholds_configuration {
            self.entries.broadcast(&self.versions_message());
        }
    }

    /// Tells an entry process that has just connected of the configuration and the versions of adapters.
    pub(super) fn tell_new_entry(&self, sender: &LinkSender) {
        if let Some(notice) = self.configuration_notice() {
            sender.send(&notice);
        }
        if !self.withholds_configuration {
            sender.send(&self.versions_message());
        }
    }

    /// Sends the configuration to an entry process that requests it.
    pub(super) fn send_configuration(&mut self, sender: &LinkSender) {
        if self.state.version > 0 {
            sender.send_frame(self.compressed_configuration.frame(&self.state));
            sender.send(&self.versions_message());
        }
    }

    fn configuration_notice(&self) -> Option<FleetMessage> {
        let version = self.state.version;
        let is_told = version > 0 && !self.withholds_configuration;
        is_told.then_some(FleetMessage::ConfigurationNotice { version })
    }

    fn versions_message(&self) -> FleetMessage {
        let versions = self.state.versions.iter();
        FleetMessage::Versions(versions.map(|(model, version)| (model.clone(), *version)).collect())
    }
}
