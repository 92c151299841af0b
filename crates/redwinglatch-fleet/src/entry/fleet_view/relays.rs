//! Other entry processes in the view of an entry process.

use std::net::SocketAddr;

use super::FleetView;

impl FleetView {
    /// Chooses the ready entry process to which a request for a service is passed on, among those that have not
    /// had it.
    pub(crate) fn choose_peer(
        &mut self,
        now_ms: u64,
        service: &str,
        data_centre: &str,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let (own, ready) = (self.front, &self.ready_entries);
        let others = ready.endpoints().filter(|(front, _)| *front != own);
        self.peers.choose(now_ms, service, data_centre, others, tried)
    }

    pub(crate) fn peer_request_started(&mut self, peer: SocketAddr) {
        self.peers.started(peer);
    }

    pub(crate) fn peer_request_ended(&mut self, peer: SocketAddr) {
        self.peers.ended(peer);
    }

    /// Records that a process answered a request for a service.
    pub(crate) fn peer_answered(&mut self, peer: SocketAddr, service: &str) {
        self.peers.answered(peer, service);
    }

    /// Records that a process can't send requests for a service on either.
    pub(crate) fn peer_unreachable(&mut self, now_ms: u64, peer: SocketAddr, service: &str) {
        self.peers.unreachable(now_ms, peer, service);
    }

    /// Records that a process didn't answer.
    pub(crate) fn peer_failed(&mut self, now_ms: u64, peer: SocketAddr) {
        self.peers.failed(now_ms, peer);
    }

    /// Applies a change of the ready entry processes.
    pub(crate) fn update_peers(&mut self) {
        let ready = &self.ready_entries;
        self.most_ready_entries = self.most_ready_entries.max(ready.addresses().len());
        self.peers.retain(|front| ready.contains(front));
    }
}
