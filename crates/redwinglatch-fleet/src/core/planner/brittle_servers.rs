//! Requests for servers that fall over when they must turn requests away.

use crate::{brittle_services::BrittleService, ids::BackendKey};

use super::{Planner, engine::Engine, server_rooms::ServerLoad};

impl Planner {
    /// Takes over what the servers of a service say of themselves, and returns whether it is new.
    pub(in crate::core) fn set_brittle(&mut self, now_ms: u64, brittle: &BrittleService) -> bool {
        self.rooms.set_brittle(now_ms, brittle)
    }

    /// Returns all brittle services.
    pub(in crate::core) fn brittle_services(&self) -> Vec<BrittleService> {
        self.rooms.brittle_services()
    }

    /// Records that a brittle server has rejected a request for want of room.
    pub(in crate::core) fn server_full(&mut self, now_ms: u64, key: BackendKey) {
        let placed = self.engines.get(&key).map_or(0, |engine| engine.placed_requests);
        self.rooms.server_full(now_ms, key, placed);
    }

    /// Takes room for a request to a backend server that an entry process selected.
    pub(super) fn take_room(
        &mut self,
        now_ms: u64,
        key: BackendKey,
        holder: (u64, u64),
    ) -> Result<(), u64> {
        let (service, load) = match (self.engines.get(&key), self.plain_servers.get(&key)) {
            (Some(engine), _) => (engine.backend.service.clone(), self.engine_load(engine)),
            (None, Some(backend)) => {
                let load = ServerLoad { slots: backend.slots, placed: 0, reported: 0 };
                (backend.service.clone(), ServerLoad { reported: self.reported(key), ..load })
            }
            (None, None) => return Ok(()),
        };
        self.rooms.take(now_ms, &service, key, holder, load)
    }

    /// Returns whether an engine has room for one more request, if it is brittle.
    pub(super) fn has_room(&self, now_ms: u64, engine: &Engine) -> bool {
        let service = &engine.backend.service;
        !self.rooms.is_brittle(service)
            || self.rooms.has_room(now_ms, service, engine.backend.key, self.engine_load(engine))
    }

    fn engine_load(&self, engine: &Engine) -> ServerLoad {
        ServerLoad {
            slots: engine.limits.slots,
            placed: engine.placed_requests,
            reported: self.reported(engine.backend.key),
        }
    }

    /// Returns the requests in flight at a server, as all entry processes report them.
    fn reported(&self, key: BackendKey) -> u32 {
        let entries = self.entries.values();
        entries.filter_map(|entry| entry.in_flight.get(&key)).sum()
    }
}
