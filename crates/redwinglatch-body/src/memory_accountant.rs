//! Accounting of the memory that peers hold in a process.
//!
//! The accountant is plain: it reads no clock and closes nothing. Its owner states what happens on each connection
//! and closes the connections that the accountant names.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::IpAddr,
};

use crate::progress::{Activity, ProgressLimits, ProgressRecord, StallRank};

/// Size up to which a body counts as small. Large bodies only have a part of the memory, so that they don't keep
/// small ones out.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Size of a head that is contained in the memory of a connection.
const HEAD_BYTES: usize = 16 << 10;
/// Part of each bound that connections of one peer address may take. Many honest callers may share an address.
const PEER_SHARE: f64 = 0.75;
/// Part of each bound below which the part of a peer address isn't looked at.
const PRESSURE: f64 = 0.5;
/// Part of each bound above which connections that have stalled for [`LONG_STALL_MS`] are closed, so that callers
/// don't have to wait for room.
const RELIEF: f64 = 0.625;
/// See [`RELIEF`].
const LONG_STALL_MS: u64 = 1_000;
/// Part of the bound that is freed at a time, so that a flood doesn't cause a search at each of its requests.
const RECLAIM_PART: usize = 8;
/// Part of the bound that may be granted again before the connections that held it have ended.
const LEAVING_PART: usize = 8;
/// Memory counted for a response that its reader doesn't take: the queue of a stream, the chunk that waits for
/// room in it, and the buffer of the connection.
pub const UNREAD_RESPONSE_BYTES: usize = 192 << 10;

/// Bounds of the memory that peers hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Connections, their heads, bodies and unread responses together.
    pub total_bytes: usize,
    /// The parts of bodies beyond the first 64 KiB of each.
    pub large_bytes: usize,
    /// The memory of a connection without a body, if its heads have up to 16 KiB.
    pub connection_bytes: usize,
    /// The number of connections.
    pub connections: usize,
}

/// Identifies a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// The bounds leave no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// What a peer address holds.
#[derive(Debug, Clone, Copy, Default)]
struct PeerUse {
    bytes: usize,
    connections: usize,
}

#[derive(Debug)]
struct Connection {
    peer: IpAddr,
    /// Its memory without a body.
    base_bytes: usize,
    /// The part of a body that is being read; it is freed when the connection is closed.
    body_bytes: usize,
    unread_bytes: usize,
    progress: ProgressRecord,
    /// Whether the connection was named to be closed.
    is_leaving: bool,
    /// Whether its body was named to be refused.
    is_refused: bool,
}

/// The memory of one body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyAccount {
    connection: Option<(ConnectionId, IpAddr)>,
    bytes: usize,
}

impl BodyAccount {
    fn large_bytes(bytes: usize) -> usize {
        bytes.saturating_sub(SMALL_BODY_BYTES)
    }
}

/// Grants memory to connections and bodies, and names the connections to close when there is too little.
///
/// Answers clients that hold memory without making progress: thousands of connections that stay open in a head or a
/// body, or whose responses are not read. Connections that make progress, and requests that are being served, are
/// never named.
#[derive(Debug)]
pub struct MemoryAccountant {
    bounds: MemoryBounds,
    connections: BTreeMap<ConnectionId, Connection>,
    peers: HashMap<IpAddr, PeerUse>,
    used_bytes: usize,
    large_bytes: usize,
    /// Memory of connections that were named and have not ended.
    leaving_bytes: usize,
    leaving_connections: usize,
    last_id: u64,
    named: Vec<ConnectionId>,
    refused: Vec<ConnectionId>,
}

impl MemoryAccountant {
    /// Creates an accountant.
    #[must_use]
    pub fn new(bounds: MemoryBounds) -> MemoryAccountant {
        MemoryAccountant {
            bounds,
            connections: BTreeMap::new(),
            peers: HashMap::new(),
            used_bytes: 0,
            large_bytes: 0,
            leaving_bytes: 0,
            leaving_connections: 0,
            last_id: 0,
            named: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Returns the memory that is counted.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Grants a new connection whose heads may have up to `head_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be closed instead; the caller may try again later.
    pub fn open(
        &mut self,
        now_ms: u64,
        peer: IpAddr,
        limits: ProgressLimits,
        head_bytes: usize,
    ) -> Result<ConnectionId, NoRoom> {
        let needed_bytes =
            self.bounds.connection_bytes.saturating_add(head_bytes.saturating_sub(HEAD_BYTES));
        if !self.has_room(Some(peer), needed_bytes, 1) {
            self.reclaim(now_ms, Some(peer), needed_bytes, 1);
            if !self.has_room(Some(peer), needed_bytes, 1) {
                return Err(NoRoom);
            }
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            peer,
            base_bytes: needed_bytes,
            body_bytes: 0,
            unread_bytes: 0,
            progress: ProgressRecord::new(now_ms, limits),
            is_leaving: false,
            is_refused: false,
        };
        self.connections.insert(id, connection);
        self.charge(Some(peer), needed_bytes);
        self.peers.entry(peer).or_default().connections += 1;
        Ok(id)
    }

    /// Records that a connection has ended. Its bodies are released on their own.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        let bytes = connection.base_bytes + connection.unread_bytes;
        if connection.is_leaving {
            self.leaving_bytes = self.leaving_bytes.saturating_sub(bytes + connection.body_bytes);
            self.leaving_connections = self.leaving_connections.saturating_sub(1);
        } else if connection.is_refused {
            self.leaving_bytes = self.leaving_bytes.saturating_sub(connection.body_bytes);
        }
        self.discharge(Some(connection.peer), bytes);
        if let Some(peer) = self.peers.get_mut(&connection.peer) {
            peer.connections = peer.connections.saturating_sub(1);
            if peer.connections == 0 && peer.bytes == 0 {
                self.peers.remove(&connection.peer);
            }
        }
    }

    /// Records what a connection does, and returns whether it makes too little progress to stay open.
    pub fn observe(&mut self, now_ms: u64, id: ConnectionId, activity: Activity) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let has_expired = connection.progress.record(now_ms, activity);
        let unread_bytes = match activity {
            Activity::Sending { .. } => UNREAD_RESPONSE_BYTES,
            _ => 0,
        };
        let is_named = connection.is_leaving || connection.is_refused;
        if !matches!(activity, Activity::Body { .. }) && !is_named {
            connection.body_bytes = 0;
        }
        if unread_bytes != connection.unread_bytes && !connection.is_leaving {
            let peer = connection.peer;
            let old_bytes = std::mem::replace(&mut connection.unread_bytes, unread_bytes);
            self.discharge(Some(peer), old_bytes);
            self.charge(Some(peer), unread_bytes);
        }
        has_expired
    }

    /// Closes connections that have stalled for long while little is left, and others without progress if more memory
    /// is held than the bound: an unread response is counted when it is noticed, without a grant.
    pub fn relieve(&mut self, now_ms: u64) {
        if self.used_bytes > self.bounds.total_bytes {
            self.reclaim(now_ms, None, 0, 0);
        }
        let excess = |used: usize, leaving: usize, bound: usize| {
            used.saturating_sub(leaving).saturating_sub((bound as f64 * RELIEF) as usize)
        };
        let needed = Needed {
            bytes: excess(self.used_bytes, self.leaving_bytes, self.bounds.total_bytes),
            connections: excess(
                self.connections.len(),
                self.leaving_connections,
                self.bounds.connections,
            ),
            ..Needed::default()
        };
        self.name_victims(now_ms, None, needed, LONG_STALL_MS);
    }

    /// Closes at least one connection without progress, for example because no file descriptors are free.
    pub fn shed(&mut self, now_ms: u64) {
        let limit = self.connections.len().saturating_sub(self.leaving_connections);
        let bound = std::mem::replace(&mut self.bounds.connections, limit.saturating_sub(1));
        self.reclaim(now_ms, None, 0, 0);
        self.bounds.connections = bound;
    }

    /// Returns an account for a body; that of a server belongs to no connection.
    #[must_use]
    pub fn body(&self, connection: Option<ConnectionId>) -> BodyAccount {
        let peer = |id| self.connections.get(&id).map(|connection| (id, connection.peer));
        BodyAccount { connection: connection.and_then(peer), bytes: 0 }
    }

    /// Grants a body memory for `bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails if no memory can be freed instead; the caller may try again later.
    pub fn grow(
        &mut self,
        now_ms: u64,
        account: &mut BodyAccount,
        bytes: usize,
    ) -> Result<(), NoRoom> {
        let Some(more) = bytes.checked_sub(account.bytes).filter(|more| *more > 0) else {
            return Ok(());
        };
        let more_large = BodyAccount::large_bytes(bytes) - BodyAccount::large_bytes(account.bytes);
        let peer = account.connection.map(|(_, peer)| peer);
        // Small answers of servers always have room: their requests may have run, and are bounded by connections.
        let is_small_answer = peer.is_none() && bytes <= SMALL_BODY_BYTES;
        if is_small_answer {
            account.bytes = bytes;
            self.charge(None, more);
            return Ok(());
        }
        if !self.has_room(peer, more, 0) || !self.has_large_room(more_large) {
            let needed = if self.has_large_room(more_large) { more } else { more.max(more_large) };
            self.reclaim_for_body(now_ms, peer, needed, more_large);
            if !self.has_room(peer, more, 0) || !self.has_large_room(more_large) {
                return Err(NoRoom);
            }
        }
        account.bytes = bytes;
        self.large_bytes += more_large;
        self.charge(peer, more);
        if let Some((id, _)) = account.connection
            && let Some(connection) = self.connections.get_mut(&id)
        {
            connection.body_bytes = bytes;
            if connection.is_leaving || connection.is_refused {
                self.leaving_bytes += more;
            }
        }
        Ok(())
    }

    /// Takes the memory of a body back.
    pub fn release(&mut self, account: BodyAccount) {
        self.large_bytes = self.large_bytes.saturating_sub(BodyAccount::large_bytes(account.bytes));
        self.discharge(account.connection.map(|(_, peer)| peer), account.bytes);
        if let Some((id, _)) = account.connection
            && let Some(connection) = self.connections.get_mut(&id)
        {
            let body_bytes = std::mem::take(&mut connection.body_bytes);
            if connection.is_leaving || std::mem::take(&mut connection.is_refused) {
                self.leaving_bytes = self.leaving_bytes.saturating_sub(body_bytes);
            }
        }
    }

    /// Returns the connections to close since the last call.
    pub fn take_named(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.named)
    }

    /// Returns the connections whose bodies are to be refused since the last call. They stay open for an answer.
    pub fn take_refused(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.refused)
    }

    fn charge(&mut self, peer: Option<IpAddr>, bytes: usize) {
        self.used_bytes += bytes;
        if let Some(peer) = peer {
            self.peers.entry(peer).or_default().bytes += bytes;
        }
    }

    fn discharge(&mut self, peer: Option<IpAddr>, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
        let Some(peer) = peer else { return };
        if let Some(held) = self.peers.get_mut(&peer) {
            held.bytes = held.bytes.saturating_sub(bytes);
            if held.connections == 0 && held.bytes == 0 {
                self.peers.remove(&peer);
            }
        }
    }

    /// Returns the memory of leaving connections that may be granted again.
    fn lent_bytes(&self) -> usize {
        self.leaving_bytes.min(self.bounds.total_bytes / LEAVING_PART)
    }

    fn leaving_slack(&self) -> usize {
        self.leaving_connections.min(self.bounds.connections / LEAVING_PART + 1)
    }

    fn has_room(&self, peer: Option<IpAddr>, bytes: usize, connections: usize) -> bool {
        let used = self.used_bytes.saturating_add(bytes).saturating_sub(self.lent_bytes());
        let open = (self.connections.len() + connections).saturating_sub(self.leaving_slack());
        if used > self.bounds.total_bytes || (connections > 0 && open > self.bounds.connections) {
            return false;
        }
        let Some(held) = peer.and_then(|peer| self.peers.get(&peer)) else { return true };
        let part = |bound: usize, part: f64| (bound as f64 * part) as usize;
        let is_memory_short = used > part(self.bounds.total_bytes, PRESSURE);
        let are_connections_short = open > part(self.bounds.connections, PRESSURE);
        let held_bytes = held.bytes.saturating_add(bytes).saturating_sub(self.lent_bytes());
        let held_connections =
            (held.connections + connections).saturating_sub(self.leaving_slack());
        let exceeds_bytes =
            is_memory_short && held_bytes > part(self.bounds.total_bytes, PEER_SHARE);
        let exceeds_connections = connections > 0
            && are_connections_short
            && held_connections > part(self.bounds.connections, PEER_SHARE);
        !exceeds_bytes && !exceeds_connections
    }

    fn has_large_room(&self, more: usize) -> bool {
        let lent = self.lent_bytes().min(self.bounds.large_bytes / LEAVING_PART);
        more == 0 || self.large_bytes + more <= self.bounds.large_bytes + lent
    }

    fn reclaim(&mut self, now_ms: u64, peer: Option<IpAddr>, bytes: usize, connections: usize) {
        let total = self.bounds.total_bytes;
        let excess = |used: usize, bound: usize| used.saturating_sub(bound);
        let part = |bound: usize| (bound as f64 * PEER_SHARE) as usize;
        let held = peer.and_then(|peer| self.peers.get(&peer)).copied().unwrap_or_default();
        let over_peer_bytes = excess(held.bytes.saturating_add(bytes), part(total));
        let over_bytes = excess(self.used_bytes.saturating_add(bytes), total);
        let over_connections =
            excess(self.connections.len() + connections, self.bounds.connections);
        let over_peer_connections =
            excess(held.connections + connections, part(self.bounds.connections));
        let is_peer_over = over_peer_bytes > over_bytes || over_peer_connections > over_connections;
        let victims_of = peer.filter(|_| is_peer_over);
        let needed_bytes = over_bytes.max(over_peer_bytes);
        let needed_connections = over_connections.max(over_peer_connections);
        let spare = |needed: usize, bound: usize| {
            if needed > 0 { bound / RECLAIM_PART } else { 0 }
        };
        let needed = Needed {
            bytes: needed_bytes.saturating_sub(self.leaving_bytes),
            connections: needed_connections.saturating_sub(self.leaving_connections),
            spare_bytes: spare(needed_bytes, total),
            spare_connections: spare(needed_connections, self.bounds.connections),
            is_large: false,
        };
        self.name_victims(now_ms, victims_of, needed, 0);
    }

    fn reclaim_for_body(
        &mut self,
        now_ms: u64,
        peer: Option<IpAddr>,
        bytes: usize,
        large_bytes: usize,
    ) {
        if !self.has_room(peer, bytes, 0) {
            self.reclaim(now_ms, peer, bytes, 0);
        }
        if !self.has_large_room(large_bytes) {
            let needed = Needed {
                bytes: large_bytes.saturating_sub(self.leaving_bytes),
                spare_bytes: self.bounds.large_bytes / RECLAIM_PART,
                is_large: true,
                ..Needed::default()
            };
            self.name_victims(now_ms, None, needed, 0);
        }
    }

    /// Names connections without progress until enough is freed: those first that have held the most memory for the
    /// longest time. Connections that are idle after a response are named only for what is needed.
    fn name_victims(
        &mut self,
        now_ms: u64,
        peer: Option<IpAddr>,
        needed: Needed,
        least_stalled_ms: u64,
    ) {
        if needed.bytes == 0 && needed.connections == 0 {
            return;
        }
        let mut victims: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.is_leaving && !connection.is_refused)
            .filter(|(_, connection)| peer.is_none_or(|peer| connection.peer == peer))
            .filter(|(_, connection)| {
                let holds_large =
                    connection.body_bytes > SMALL_BODY_BYTES || connection.unread_bytes > 0;
                !needed.is_large || holds_large
            })
            .filter_map(|(id, connection)| {
                let bytes = connection.base_bytes + connection.body_bytes + connection.unread_bytes;
                let (rank, stalled_ms) = connection.progress.stalled(now_ms)?;
                let is_spared = least_stalled_ms > 0
                    && (rank == StallRank::Idle || stalled_ms < least_stalled_ms);
                let weight = stalled_ms.saturating_mul(bytes as u64);
                (!is_spared).then_some((rank, Reverse(weight), *id, bytes))
            })
            .collect();
        victims.sort_unstable();
        let (mut freed_bytes, mut freed_connections) = (0, 0);
        for (rank, _, id, bytes) in victims {
            let is_enough = match rank {
                StallRank::Idle => {
                    freed_bytes >= needed.bytes && freed_connections >= needed.connections
                }
                _ => {
                    freed_bytes >= needed.bytes.saturating_add(needed.spare_bytes)
                        && freed_connections >= needed.connections + needed.spare_connections
                }
            };
            if is_enough {
                break;
            }
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            if needed.connections == 0 && connection.body_bytes > 0 {
                // A caller that is only slow gets an answer that promises that its request has not run.
                freed_bytes += connection.body_bytes;
                self.leaving_bytes += connection.body_bytes;
                connection.is_refused = true;
                self.refused.push(id);
                continue;
            }
            freed_bytes += bytes;
            freed_connections += 1;
            self.leaving_bytes += bytes;
            self.leaving_connections += 1;
            connection.is_leaving = true;
            self.named.push(id);
        }
    }
}

/// What connections that are closed must free, and what they may free beyond that.
#[derive(Debug, Clone, Copy, Default)]
struct Needed {
    bytes: usize,
    connections: usize,
    spare_bytes: usize,
    spare_connections: usize,
    /// Whether only the parts of large bodies help.
    is_large: bool,
}

#[cfg(test)]
mod tests;
