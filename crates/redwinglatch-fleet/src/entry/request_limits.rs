//! The request limits that backend servers have named.

use std::collections::BTreeMap;

use crate::{ids::BackendKey, request_rate::RequestRate};

/// Maximum number of servers whose limits are kept; of more, that of the longest ago is forgotten.
const MAX_LIMITED_SERVERS: usize = 1_024;

/// A server that has named a limit.
#[derive(Debug)]
struct LimitedServer {
    rate: RequestRate,
    /// Time at which this process last learned of the limit.
    learned_ms: u64,
}

/// The limits that are in force.
///
/// A server names its limit in each answer for as long as it needs one, for the requests of all processes
/// together.
#[derive(Debug, Default)]
pub(super) struct RequestLimits {
    servers: BTreeMap<BackendKey, LimitedServer>,
}

impl RequestLimits {
    /// Records the limit in an answer to a request that was sent at `sent_ms`, or that it names none;
    /// returns whether that is new.
    ///
    /// Only an answer to a request that was sent after the limit became known ends it: an older one may have
    /// been on its way when the server named the limit to another request.
    pub(super) fn record_answer(
        &mut self,
        now_ms: u64,
        key: BackendKey,
        sent_ms: u64,
        named: Option<RequestRate>,
    ) -> bool {
        match named {
            Some(rate) => self.set(now_ms, key, rate),
            None => {
                let learned_ms = self.servers.get(&key).map(|server| server.learned_ms);
                learned_ms.is_some_and(|learned_ms| learned_ms < sent_ms)
                    && self.servers.remove(&key).is_some()
            }
        }
    }

    pub(super) fn is_limited(&self, key: BackendKey) -> bool {
        self.servers.contains_key(&key)
    }

    /// Sets the limit of a server, and returns whether it had another or none.
    fn set(&mut self, now_ms: u64, key: BackendKey, rate: RequestRate) -> bool {
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
        self.servers.insert(key, LimitedServer { rate, learned_ms: now_ms });
        true
    }
}

#[cfg(test)]
mod tests;
