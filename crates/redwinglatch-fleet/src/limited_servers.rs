//! Backend servers that have named a request limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ids::BackendKey, request_rate::RequestRate};

/// Maximum number of servers whose limits are kept; of more, that of the longest ago is forgotten.
const MAX_LIMITED_SERVERS: usize = 1_024;

/// The request limit of a backend server, as processes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestLimit {
    pub(crate) server: BackendKey,
    /// The limit, or `None` if the server no longer names one.
    pub(crate) rate: Option<RequestRate>,
}

/// A server that has named a limit, and what a process keeps for it.
#[derive(Debug)]
pub(crate) struct LimitedServer<State> {
    pub(crate) rate: RequestRate,
    /// Time at which the process last learned of the limit.
    pub(crate) learned_ms: u64,
    pub(crate) state: State,
}

/// The limits in force.
///
/// A server names its limit in each answer for as long as it needs one, for the requests of all processes
/// together. It keeps the limit while it is missing from the backend list, and loses it when it starts
/// again, because it has another key then.
#[derive(Debug)]
pub(crate) struct LimitedServers<State> {
    servers: BTreeMap<BackendKey, LimitedServer<State>>,
}

impl<State> Default for LimitedServers<State> {
    fn default() -> LimitedServers<State> {
        LimitedServers { servers: BTreeMap::new() }
    }
}

impl<State: Default> LimitedServers<State> {
    /// Sets or ends the limit of a server, and returns whether it had another.
    pub(crate) fn set(&mut self, now_ms: u64, limit: RequestLimit) -> bool {
        let RequestLimit { server: key, rate } = limit;
        let Some(rate) = rate else { return self.servers.remove(&key).is_some() };
        if let Some(server) = self.servers.get_mut(&key) {
            server.learned_ms = now_ms;
            return std::mem::replace(&mut server.rate, rate) != rate;
        }
        if self.servers.len() >= MAX_LIMITED_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, server)| server.learned_ms);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.servers.remove(&oldest);
            }
        }
        let server = LimitedServer { rate, learned_ms: now_ms, state: State::default() };
        self.servers.insert(key, server);
        true
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub(crate) fn get(&self, key: BackendKey) -> Option<&LimitedServer<State>> {
        self.servers.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: BackendKey) -> Option<&mut LimitedServer<State>> {
        self.servers.get_mut(&key)
    }

    /// Returns all limits.
    pub(crate) fn limits(&self) -> Vec<RequestLimit> {
        let servers = self.servers.iter();
        servers
            .map(|(key, server)| RequestLimit { server: *key, rate: Some(server.rate) })
            .collect()
    }
}

#[cfg(test)]
mod tests;
