//! Other entry processes that may send a request on which this process can't send itself.

use std::{collections::HashMap, net::SocketAddr};

use smallvec::SmallVec;

/// Maximum number of processes to which one request is passed on.
pub(super) const MAX_PEERS_PER_REQUEST: usize = 3;
/// Time for which a process that doesn't reach a service gets no requests for it.
const UNREACHABLE_MS: u64 = 500;
/// Time for which a process that failed gets no requests.
const FAILED_MS: u64 = 1_000;

/// What this process knows of another entry process.
#[derive(Debug, Default)]
struct Peer {
    /// Requests that are passed on to it and have not ended.
    in_flight: u32,
    failed_until_ms: u64,
    /// The services that it doesn't reach, and until when that counts.
    unreachable_until_ms: HashMap<Box<str>, u64>,
}

/// The entry processes to which requests may be passed on.
///
/// Answers a cut between some entry processes, or most of them, and the servers: the others serve their callers.
/// Requests go to the least busy process of the own data centre, or else of another, and spread over all of
/// these. While the last processes that were asked don't reach a service either, its servers have ended or all
/// processes are cut off, and requests are refused at once.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: HashMap<SocketAddr, Peer>,
}

impl Peers {
    /// Chooses the process that gets a request for a service.
    ///
    /// `candidates` are the ready entry processes with their data centres, and `tried` those that have had the
    /// request.
    pub(super) fn choose<'a>(
        &mut self,
        now_ms: u64,
        service: &str,
        own_data_centre: &str,
        candidates: impl Iterator<Item = (SocketAddr, &'a str)>,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let mut unreachable = 0;
        let mut best: Option<((bool, u32, u64), SocketAddr)> = None;
        for (front, data_centre) in candidates {
            let peer = self.peers.entry(front).or_default();
            let is_unreachable =
                peer.unreachable_until_ms.get(service).is_some_and(|until_ms| now_ms < *until_ms);
            if is_unreachable {
                unreachable += 1;
                continue;
            }
            if now_ms < peer.failed_until_ms || tried.contains(&front) {
                continue;
            }
            let rank = (data_centre != own_data_centre, peer.in_flight, fastrand::u64(..));
            if best.is_none_or(|(lowest, _)| rank < lowest) {
                best = Some((rank, front));
            }
        }
        best.filter(|_| unreachable < MAX_PEERS_PER_REQUEST).map(|(_, front)| front)
    }

    pub(super) fn started(&mut self, peer: SocketAddr) {
        self.peers.entry(peer).or_default().in_flight += 1;
    }

    pub(super) fn ended(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
    }

    /// Records that a process answered a request for a service.
    pub(super) fn answered(&mut self, peer: SocketAddr, service: &str) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.unreachable_until_ms.remove(service);
        }
    }

    /// Records that a process can't send requests for a service on either.
    pub(super) fn unreachable(&mut self, now_ms: u64, peer: SocketAddr, service: &str) {
        let peer = self.peers.entry(peer).or_default();
        peer.unreachable_until_ms.insert(service.into(), now_ms + UNREACHABLE_MS);
    }

    /// Records that a process didn't answer.
    pub(super) fn failed(&mut self, now_ms: u64, peer: SocketAddr) {
        self.peers.entry(peer).or_default().failed_until_ms = now_ms + FAILED_MS;
    }

    /// Forgets the processes that are gone.
    pub(super) fn retain(&mut self, is_ready: impl Fn(SocketAddr) -> bool) {
        self.peers.retain(|front, peer| peer.in_flight > 0 || is_ready(*front));
    }
}

/// The processes that have had one request.
pub(super) type TriedPeers = SmallVec<[SocketAddr; MAX_PEERS_PER_REQUEST]>;

#[cfg(test)]
mod tests;
