//! The core processes and their coordinator in the view of an entry process.

use std::net::SocketAddr;

use tokio::sync::mpsc;

use super::FleetView;
use crate::{
    ids::SoftwareVersion,
    link::LinkSender,
    message::{FleetMessage, PlaceReply, PlaceRequest},
};

/// Time without a coordinator after which changes of model locations may have been missed.
const MAX_MISSED_MS: u64 = 2_000;

/// Time for which a core process whose link was lost still counts. It believes for at most a second that it is current
/// after it was cut off.
const RECENT_CORE_MS: u64 = 3_000;

/// Messages that a core process understands. It shows so by a message that older versions don't send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Capability {
    /// Those about request limits and outcomes of requests.
    RequestLimits,
    /// Those about software versions and brittle services as well.
    SoftwareVersions,
    /// Those about caps of customers as well.
    CustomerCredits,
}

/// Result of a message from a process that is the coordinator of an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinatorAcceptance {
    /// A newer coordinator is known, so the message is ignored.
    Outdated,
    /// The message is of the known coordinator.
    Current,
    /// The sender has become the coordinator, or is connected again.
    New,
}

impl FleetView {
    /// Adds a core process and returns whether it was unknown.
    pub(crate) fn add_core(&mut self, address: SocketAddr) -> bool {
        if self.cores.contains_key(&address) {
            return false;
        }
        self.cores.insert(address, None);
        true
    }

    pub(crate) fn core_connected(&mut self, address: SocketAddr, sender: LinkSender) {
        self.cores.insert(address, Some(sender));
    }

    pub(crate) fn core_disconnected(&mut self, now_ms: u64, address: SocketAddr) {
        self.cores.insert(address, None);
        self.cores_lost_ms.insert(address, now_ms);
        self.capabilities.remove(&address);
        self.forget_announced_versions(address);
        self.forget_credit_requests(address);
        if self.connected_cores() > 0 {
            self.ready_entries.remove(address);
        }
        if self.coordinator_address == Some(address) {
            self.coordinator_address = None;
            self.coordinator_lost_ms = Some(now_ms);
            self.forget_requests_to_coordinator();
        }
    }

    /// Records that a core process understands messages; returns whether that is new.
    pub(super) fn add_capability(&mut self, core: SocketAddr, capability: Capability) -> bool {
        let is_new = !self.has_capability(core, capability);
        if is_new {
            self.capabilities.insert(core, capability);
        }
        is_new
    }

    pub(super) fn has_capability(&self, core: SocketAddr, capability: Capability) -> bool {
        self.capabilities.get(&core).is_some_and(|known| *known >= capability)
    }

    pub(super) fn coordinator_has_capability(&self, capability: Capability) -> bool {
        self.coordinator_address.is_some_and(|core| self.has_capability(core, capability))
    }

    /// Records that this process was told all model locations.
    pub(crate) fn locations_received(&mut self) {
        self.has_all_locations = true;
        self.coordinator_lost_ms = None;
    }

    /// Returns whether a new coordinator must be asked for all model locations, because this process has never been
    /// told them or may have missed changes.
    pub(crate) fn take_needs_locations(&mut self, now_ms: u64) -> bool {
        let lost_ms = self.coordinator_lost_ms.take();
        !self.has_all_locations || lost_ms.is_some_and(|lost_ms| lost_ms + MAX_MISSED_MS < now_ms)
    }

    /// Lets requests that wait for the previous coordinator go on without it.
    fn forget_requests_to_coordinator(&mut self) {
        self.placement_replies.clear();
        self.grant_replies.clear();
    }

    pub(crate) fn connected_cores(&self) -> usize {
        self.connected_core_addresses().count()
    }

    /// Returns the addresses of the core processes to which this process has a link.
    pub(crate) fn connected_core_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let is_open =
            |link: &Option<LinkSender>| link.as_ref().is_some_and(|link| !link.is_closed());
        self.cores.iter().filter(move |(_, link)| is_open(link)).map(|(core, _)| *core)
    }

    /// Returns the number of core processes to which this process has a link, or had one a moment ago.
    pub(crate) fn recent_cores(&self, now_ms: u64) -> usize {
        let was_lost = |core: &SocketAddr| {
            self.cores_lost_ms.get(core).is_some_and(|lost_ms| now_ms <= lost_ms + RECENT_CORE_MS)
        };
        let links = self.cores.iter();
        links.filter(|(core, link)| link.is_some() || was_lost(core)).count()
    }

    /// Returns the link to a core process while it is connected.
    pub(crate) fn core_link(&self, core: SocketAddr) -> Option<LinkSender> {
        self.cores.get(&core).cloned().flatten()
    }

    /// Sends `full` to the coordinator, and `short` to the other core processes.
    pub(crate) fn send_to_cores(&self, full: &FleetMessage, short: Option<&FleetMessage>) {
        for (core, sender) in &self.cores {
            let message = if self.coordinator_address == Some(*core) { Some(full) } else { short };
            if let (Some(sender), Some(message)) = (sender, message) {
                sender.send(message);
            }
        }
    }

    fn coordinator_link(&self) -> Option<&LinkSender> {
        self.coordinator_address
            .and_then(|address| self.cores.get(&address))
            .and_then(Option::as_ref)
    }

    pub(crate) fn send_to_coordinator(&self, message: &FleetMessage) -> bool {
        self.coordinator_link().is_some_and(|sender| sender.send(message))
    }

    /// Requests a placement from the coordinator, on engines of a software version if one is given. Returns the
    /// id of the placement and the coordinator's epoch, or `None` if no coordinator is usable.
    pub(crate) fn start_placement(
        &mut self,
        now_ms: u64,
        replies: mpsc::Sender<PlaceReply>,
        request: PlaceRequest,
        version: Option<SoftwareVersion>,
    ) -> Option<(u64, u64)> {
        if now_ms < self.coordinator_suspect_until_ms {
            return None;
        }
        let id = self.next_placement_id;
        self.next_placement_id += 1;
        let message = match version {
            None => FleetMessage::Place { id, request },
            Some(_) if !self.coordinator_has_capability(Capability::SoftwareVersions) => {
                return None;
            }
            Some(version) => FleetMessage::PlaceAtVersion { id, request, version },
        };
        if !self.send_to_coordinator(&message) {
            return None;
        }
        self.placement_replies.insert(id, replies);
        Some((id, self.coordinator_epoch))
    }

    pub(crate) fn deliver_place_reply(&mut self, id: u64, reply: PlaceReply) {
        if let Some(replies) = self.placement_replies.get(&id) {
            // The request may have ended; its `Release` message then follows.
            let _ = replies.try_send(reply);
        }
    }

    pub(crate) fn end_placement(&mut self, id: u64) {
        self.placement_replies.remove(&id);
    }

    pub(crate) fn suspect_coordinator_until(&mut self, until_ms: u64) {
        self.coordinator_suspect_until_ms = until_ms;
    }

    /// Accepts `core` as the coordinator of `epoch`, unless the epoch is outdated.
    pub(crate) fn accept_coordinator(
        &mut self,
        core: SocketAddr,
        epoch: u64,
    ) -> CoordinatorAcceptance {
        if epoch < self.coordinator_epoch {
            return CoordinatorAcceptance::Outdated;
        }
        let is_known = epoch == self.coordinator_epoch && self.coordinator_address == Some(core);
        if epoch > self.coordinator_epoch {
            self.forget_requests_to_coordinator();
        }
        self.coordinator_epoch = epoch;
        self.coordinator_address = Some(core);
        if !is_known {
            self.trust_for_credits(core);
        }
        if is_known { CoordinatorAcceptance::Current } else { CoordinatorAcceptance::New }
    }
}
