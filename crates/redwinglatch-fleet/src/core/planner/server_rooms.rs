//! The room at servers that fall over when they must turn requests away.

use std::collections::HashMap;

use crate::{
    brittle_services::{BrittleService, BrittleServices},
    ids::BackendKey,
};

/// Time for which the requests that entry processes report count as well: this coordinator has not granted those
/// that were in progress when it learned of the service, or when it began.
const SETTLING_MS: u64 = 1_500;
/// Time after which a request that never ended no longer counts.
const MAX_REQUEST_MS: u64 = 60_000;
/// Time for which a server gets nothing that has rejected a request for want of room.
const FULL_MS: u64 = 1_000;
/// Time after that for which it gets no more requests at once than it had room for.
const REDUCED_MS: u64 = 5_000;
/// Time after which a request may be asked for again that finds no room.
const NO_ROOM_RETRY_MS: u64 = 25;

/// A request that was granted, by its entry process and number.
type Holder = (u64, u64);

/// The requests at one server.
#[derive(Debug, Default)]
struct Room {
    /// The requests that were granted and have not ended, with the time at which they were.
    granted_ms: HashMap<Holder, u64>,
    full_until_ms: u64,
    /// The number of requests for which there was room when one was rejected, and until when that counts.
    reduced: Option<(u32, u64)>,
}

/// The load of a server, besides the requests that were granted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServerLoad {
    /// The requests that the server runs at once.
    pub(super) slots: u32,
    /// The requests that the coordinator has placed.
    pub(super) placed: u32,
    /// The requests in flight, as all entry processes report them.
    pub(super) reported: u32,
}

/// Keeps the requests at servers of brittle services to what they have room for.
///
/// Answers an overload of servers that let hardly any request wait: the room is counted here, over all processes
/// together and before a request is sent, because a rejection is what ends such a server. One that rejects a
/// request nevertheless gets nothing for a while.
#[derive(Debug, Default)]
pub(super) struct ServerRooms {
    services: BrittleServices,
    rooms: HashMap<BackendKey, Room>,
    started_ms: u64,
    /// This process is certain that no other one is the coordinator.
    is_active: bool,
}

impl ServerRooms {
    /// Sets whether requests may be granted; a coordinator that begins doesn't know those in progress.
    pub(super) fn set_active(&mut self, now_ms: u64, is_active: bool) {
        if is_active && !self.is_active {
            self.started_ms = now_ms;
        }
        self.is_active = is_active;
    }

    /// Takes over what servers say of themselves, and returns whether it is new.
    pub(super) fn set_brittle(&mut self, now_ms: u64, brittle: &BrittleService) -> bool {
        self.services.set(now_ms, brittle)
    }

    pub(super) fn brittle_services(&self) -> Vec<BrittleService> {
        self.services.all()
    }

    pub(super) fn is_brittle(&self, service: &str) -> bool {
        self.services.is_brittle(service)
    }

    /// Returns whether a server has room for one more request.
    pub(super) fn has_room(
        &self,
        now_ms: u64,
        service: &str,
        server: BackendKey,
        load: ServerLoad,
    ) -> bool {
        let Some(learned_ms) = self.services.learned_ms(service) else { return true };
        let empty = Room::default();
        let room = self.rooms.get(&server).unwrap_or(&empty);
        let mut slots = load.slots.max(1);
        if let Some((reduced, until_ms)) = room.reduced
            && now_ms < until_ms
        {
            slots = slots.min(reduced);
        }
        let granted = room.granted_ms.values().filter(|at_ms| now_ms < **at_ms + MAX_REQUEST_MS);
        let mut in_use = load.placed + u32::try_from(granted.count()).unwrap_or(u32::MAX);
        if now_ms < learned_ms.max(self.started_ms) + SETTLING_MS {
            in_use = in_use.max(load.reported);
        }
        self.is_active && room.full_until_ms <= now_ms && in_use < slots
    }

    /// Takes room for a request at a server of a brittle service.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may be asked for again.
    pub(super) fn take(
        &mut self,
        now_ms: u64,
        service: &str,
        server: BackendKey,
        holder: Holder,
        load: ServerLoad,
    ) -> Result<(), u64> {
        if !self.has_room(now_ms, service, server, load) {
            let full_until_ms = self.rooms.get(&server).map_or(0, |room| room.full_until_ms);
            return Err(full_until_ms.saturating_sub(now_ms).max(NO_ROOM_RETRY_MS));
        }
        if self.is_brittle(service) {
            self.rooms.entry(server).or_default().granted_ms.insert(holder, now_ms);
        }
        Ok(())
    }

    /// Ends a request that was granted.
    pub(super) fn release(&mut self, holder: Holder) {
        for room in self.rooms.values_mut() {
            room.granted_ms.remove(&holder);
        }
    }

    /// Ends all requests of an entry process that is gone.
    pub(super) fn entry_disconnected(&mut self, entry: u64) {
        for room in self.rooms.values_mut() {
            room.granted_ms.retain(|(owner, _), _| *owner != entry);
        }
    }

    /// Records that a server has rejected a request for want of room, with `placed` others placed there.
    pub(super) fn server_full(&mut self, now_ms: u64, server: BackendKey, placed: u32) {
        let room = self.rooms.entry(server).or_default();
        let in_use = placed + u32::try_from(room.granted_ms.len()).unwrap_or(u32::MAX);
        // The rejected request still counts among these.
        let had_room_for = in_use.saturating_sub(1).max(1);
        room.full_until_ms = now_ms + FULL_MS;
        room.reduced = Some((had_room_for, now_ms + FULL_MS + REDUCED_MS));
    }

    /// Forgets servers that are gone.
    pub(super) fn retain(&mut self, is_listed: impl Fn(BackendKey) -> bool) {
        self.rooms.retain(|server, _| is_listed(*server));
    }
}

#[cfg(test)]
mod tests;
